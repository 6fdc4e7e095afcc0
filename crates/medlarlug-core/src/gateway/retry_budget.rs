//! The retries that one entry instance may make for a service.
//!
//! A service tolerates a number of retries in each window, summed over all entry instances: a ratio
//! of its calls plus a fixed allowance. An instance earns the ratio from the calls that it receives
//! itself, so this part of the sum holds whichever instances freeze, join or are cut off.
//!
//! The allowance is divided by the largest number of entry instances that were ever known, and an
//! instance gets its share once its [`keeper_view`](super::keeper_view) has been complete. Half of
//! the allowance is never granted.
//!
//! What an instance has spent is lost when it restarts. Its successor makes no retries until a
//! window has passed, so that no window contains retries of both processes.

use std::{collections::VecDeque, time::Duration};

use crate::time::Time;

/// Bounds on the retries that reach a service, over all entry instances.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBounds {
    /// Retries per call.
    pub ratio: f64,
    /// Retries beyond the ratio, in one window.
    pub allowance: f64,
    /// Length of a window.
    pub window: Duration,
}

impl Default for RetryBounds {
    fn default() -> RetryBounds {
        RetryBounds { ratio: 0.1, allowance: 10.0, window: Duration::from_secs(10) }
    }
}

/// Longest time from the moment at which a retry is taken from the budget to its arrival at an
/// upstream: a new connection to another region, and one to an upstream there.
const MAX_DELIVERY_TIME: Duration = Duration::from_secs(1);
/// The assumed delivery time is at most the window divided by this.
const DELIVERY_WINDOW_DIVISOR: u32 = 4;
/// Share of the allowance that is granted. The rest covers retries that arrive later than
/// [`MAX_DELIVERY_TIME`], and instances that the others do not know yet.
const GRANTED_ALLOWANCE_SHARE: f64 = 0.5;

/// The part of a budget that one instance may spend.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InstanceShare {
    /// Largest number of entry instances that were ever known, this one included.
    pub instances: usize,
    /// Time since this process started; `None` if no earlier process of the instance can have made
    /// retries.
    pub process_age: Option<Duration>,
    /// Whether its view of the other instances has been complete since it started.
    pub has_complete_view: bool,
}

impl InstanceShare {
    /// Whether retries of the previous process may still count in the present window.
    fn overlaps_predecessor(self, bounds: RetryBounds) -> bool {
        self.process_age.is_some_and(|age| age <= bounds.window + delivery_time(bounds))
    }

    /// Retries that the instance may make in a window beyond those earned by calls.
    pub fn allowance(self, bounds: RetryBounds) -> f64 {
        match self.has_complete_view {
            true => GRANTED_ALLOWANCE_SHARE * bounds.allowance / self.instances.max(1) as f64,
            false => 0.0,
        }
    }
}

/// State of the budget of a service at this entry instance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Balance {
    /// Calls within the window.
    pub calls: usize,
    /// Retries within the window.
    pub retries: usize,
    /// Retries that may still be made; zero or less if none.
    pub remaining: f64,
}

/// Calls and retries of one service at this entry instance.
///
/// Retries taken from the budget in one window may arrive up to a second later, together with those
/// of the next window. Calls therefore count for a shorter time than a window, and retries for a
/// longer one.
#[derive(Debug, Clone, Default)]
pub struct RetryWindow {
    calls: VecDeque<Time>,
    retries: VecDeque<Time>,
}

impl RetryWindow {
    /// Counts a call to the service.
    pub fn record_call(&mut self, now: Time, bounds: RetryBounds) {
        self.trim(now, bounds);
        self.calls.push_back(now);
    }

    /// Takes one retry from the budget; returns whether there was one.
    pub fn try_take_retry(&mut self, now: Time, bounds: RetryBounds, share: InstanceShare) -> bool {
        self.trim(now, bounds);
        if self.balance(bounds, share).remaining < 1.0 {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    /// State of the budget as of the last change.
    pub fn balance(&self, bounds: RetryBounds, share: InstanceShare) -> Balance {
        let (calls, retries) = (self.calls.len(), self.retries.len());
        let remaining = match share.overlaps_predecessor(bounds) {
            true => 0.0,
            false => bounds.ratio * calls as f64 + share.allowance(bounds) - retries as f64,
        };
        Balance { calls, retries, remaining }
    }

    fn trim(&mut self, now: Time, bounds: RetryBounds) {
        let delivery_time = delivery_time(bounds);
        drop_older_than(&mut self.calls, now, bounds.window.saturating_sub(delivery_time));
        drop_older_than(&mut self.retries, now, bounds.window + delivery_time);
    }
}

fn delivery_time(bounds: RetryBounds) -> Duration {
    MAX_DELIVERY_TIME.min(bounds.window / DELIVERY_WINDOW_DIVISOR)
}

fn drop_older_than(times: &mut VecDeque<Time>, now: Time, age: Duration) {
    while times.front().is_some_and(|time| now - *time > age) {
        times.pop_front();
    }
}

/// What one call has spent of the budget at one entry instance.
///
/// The first request that reaches an upstream is free; each further one is paid for before it is
/// sent. A payment for a request that reached no upstream is kept for the next one.
///
/// ```
/// use medlarlug_core::gateway::retry_budget::Spending;
///
/// let mut spending = Spending::default();
/// assert!(spending.is_covered());
/// spending.record_arrival();
/// assert!(!spending.is_covered());
/// spending.pay();
/// assert!(spending.is_covered());
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Spending {
    arrivals: u32,
    paid: u32,
}

impl Spending {
    /// Whether the next request is free or already paid for.
    pub fn is_covered(self) -> bool {
        self.arrivals <= self.paid
    }

    /// Pays for one more request.
    pub fn pay(&mut self) {
        self.paid += 1;
    }

    /// Counts a request that has reached an upstream, or another instance that sent it to one.
    pub fn record_arrival(&mut self) {
        self.arrivals += 1;
    }
}
