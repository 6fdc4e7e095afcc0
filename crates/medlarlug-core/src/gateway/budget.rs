//! The share of a service's retries that one entry instance may use.
//!
//! A service bears a number of repeated arrivals in each window, a ratio of its calls and a fixed
//! allowance, summed over all entry instances. An instance earns the ratio from the calls that it
//! takes in itself, and an equal part of the allowance. It divides by every instance that it has
//! known for a while, not only by the live ones, so the sum holds while a partition makes others
//! look dead.

use std::{collections::VecDeque, time::Duration};

use crate::time::Time;

/// Bounds on the repeated arrivals at a service, over all entry instances.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBounds {
    /// Repeats for each call.
    pub ratio: f64,
    /// Repeats beyond the ratio, in one window.
    pub allowance: f64,
    /// Length of a window.
    pub window: Duration,
}

impl Default for RetryBounds {
    fn default() -> RetryBounds {
        RetryBounds { ratio: 0.1, allowance: 10.0, window: Duration::from_secs(10) }
    }
}

/// Part of the bounds that is used; the rest covers arrivals that fall into another window there.
const SAFE_SHARE: f64 = 0.75;

/// Calls and repeats of one service at this entry instance.
#[derive(Debug, Clone, Default)]
pub struct RetryWindow {
    calls: VecDeque<Time>,
    repeats: VecDeque<Time>,
}

impl RetryWindow {
    /// Counts a call for the service.
    pub fn count(&mut self, now: Time, bounds: RetryBounds) {
        self.trim(now, bounds);
        self.calls.push_back(now);
    }

    /// Takes one repeat out of the budget; `instances` share it.
    pub fn take(&mut self, now: Time, bounds: RetryBounds, instances: usize) -> bool {
        self.trim(now, bounds);
        if self.left(bounds, instances) < 1.0 {
            return false;
        }
        self.repeats.push_back(now);
        true
    }

    /// Calls and repeats in the present window, for the log.
    pub fn counts(&self) -> (usize, usize) {
        (self.calls.len(), self.repeats.len())
    }

    /// Repeats that are left in the present window.
    pub fn left(&self, bounds: RetryBounds, instances: usize) -> f64 {
        let earned = bounds.ratio * self.calls.len() as f64;
        let share = bounds.allowance / instances.max(1) as f64;
        SAFE_SHARE * (earned + share) - self.repeats.len() as f64
    }

    fn trim(&mut self, now: Time, bounds: RetryBounds) {
        for times in [&mut self.calls, &mut self.repeats] {
            while times.front().is_some_and(|time| now - *time > bounds.window) {
                times.pop_front();
            }
        }
    }
}

/// What one call has spent of the budget, at one entry instance.
///
/// The first request that reaches an upstream is free, each further one is paid for before it goes
/// out. What was paid for a request that reached nobody is kept for the next one.
///
/// ```
/// use medlarlug_core::gateway::budget::Spending;
///
/// let mut spending = Spending::default();
/// assert!(spending.is_covered());
/// spending.arrived();
/// assert!(!spending.is_covered());
/// spending.pay();
/// assert!(spending.is_covered());
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Spending {
    arrived: u32,
    paid: u32,
}

impl Spending {
    /// Whether the next request is free or paid for.
    pub fn is_covered(self) -> bool {
        self.arrived <= self.paid
    }

    /// One more request is paid for.
    pub fn pay(&mut self) {
        self.paid += 1;
    }

    /// A request has reached an upstream, or another instance that sent it to one.
    pub fn arrived(&mut self) {
        self.arrived += 1;
    }
}
