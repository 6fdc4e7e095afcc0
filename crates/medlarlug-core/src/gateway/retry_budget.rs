//! The retries of a service that one entry instance may make.
//!
//! A service bears a number of repeated arrivals in each window, a ratio of its calls and a fixed
//! allowance, summed over all entry instances. An instance earns the ratio from the calls that it
//! takes in itself, so that this part of the sum holds whoever freezes, joins or is cut off.
//!
//! The allowance is divided by the most entry instances that were ever known, and an instance has a
//! share once its [`keeper_view`](super::keeper_view) of the others was complete. Half of the allowance is never
//! handed out.
//!
//! What an instance has spent is forgotten when it restarts. Its successor repeats no call until a
//! window has passed, so that no window holds repeats of both.

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

/// Longest time from the moment at which a repeat is paid for to its arrival at an upstream: a new
/// connection to another region, and one to an upstream there.
const LONGEST_WAY: Duration = Duration::from_secs(1);
/// Part of a window by which the way of a repeat is reckoned with at most.
const WAY_SHARE: u32 = 4;
/// Part of the allowance that is handed out; the rest covers repeats that arrive later than
/// [`LONGEST_WAY`], and instances that others do not know yet.
const ALLOWANCE_SHARE: f64 = 0.5;

/// What an instance may spend as one of many.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Share {
    /// The most entry instances that were ever known, this one included.
    pub instances: usize,
    /// Time for which this process has run, or `None` if there was none before it that may have
    /// repeated calls.
    pub age: Option<Duration>,
    /// Whether its view of the other instances was complete since it started.
    pub has_seen_all: bool,
}

impl Share {
    /// Whether repeats of the process before this one may still count in the present window.
    fn overlaps_predecessor(self, bounds: RetryBounds) -> bool {
        self.age.is_some_and(|age| age <= bounds.window + way(bounds))
    }

    /// Repeats that the instance may make in a window beyond those that it has earned.
    pub fn of(self, bounds: RetryBounds) -> f64 {
        match self.has_seen_all {
            true => ALLOWANCE_SHARE * bounds.allowance / self.instances.max(1) as f64,
            false => 0.0,
        }
    }
}

/// What a service has left at this entry instance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Balance {
    /// Calls that count.
    pub calls: usize,
    /// Repeats that count.
    pub repeats: usize,
    /// Repeats that are left.
    pub left: f64,
}

/// Calls and repeats of one service at this entry instance.
///
/// Repeats that are paid for in a window may arrive up to [`LONGEST_WAY`] later, together with those
/// of the next one. Calls count for a shorter time than a window, and repeats for a longer one.
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

    /// Takes one repeat out of the budget.
    pub fn take(&mut self, now: Time, bounds: RetryBounds, share: Share) -> bool {
        self.trim(now, bounds);
        if self.balance(bounds, share).left < 1.0 {
            return false;
        }
        self.repeats.push_back(now);
        true
    }

    /// What is left at the time of the last change.
    pub fn balance(&self, bounds: RetryBounds, share: Share) -> Balance {
        let (calls, repeats) = (self.calls.len(), self.repeats.len());
        let left = match share.overlaps_predecessor(bounds) {
            true => 0.0,
            false => bounds.ratio * calls as f64 + share.of(bounds) - repeats as f64,
        };
        Balance { calls, repeats, left }
    }

    fn trim(&mut self, now: Time, bounds: RetryBounds) {
        let way = way(bounds);
        drop_older(&mut self.calls, now, bounds.window.saturating_sub(way));
        drop_older(&mut self.repeats, now, bounds.window + way);
    }
}

fn way(bounds: RetryBounds) -> Duration {
    LONGEST_WAY.min(bounds.window / WAY_SHARE)
}

fn drop_older(times: &mut VecDeque<Time>, now: Time, age: Duration) {
    while times.front().is_some_and(|time| now - *time > age) {
        times.pop_front();
    }
}

/// What one call has spent of the budget, at one entry instance.
///
/// The first request that reaches an upstream is free, each further one is paid for before it goes
/// out. What was paid for a request that reached nobody is kept for the next one.
///
/// ```
/// use medlarlug_core::gateway::retry_budget::Spending;
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
