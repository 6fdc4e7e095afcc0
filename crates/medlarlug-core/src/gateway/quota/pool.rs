//! The tokens that a region holds for a team.

use std::time::Duration;

use super::{Budget, MAX_WAIT, Shortage};
use crate::time::Time;

/// Time constant of the measured rates of a pool.
const RATE_TIME: Duration = Duration::from_secs(2);
/// Time between two requests for tokens of other regions: just above their answer's round trip.
const WANT_INTERVAL: Duration = Duration::from_millis(120);
/// The same time when the other regions have had none repeatedly.
const MAX_WANT_INTERVAL: Duration = Duration::from_secs(1);
/// Share of the depth that may be missing before tokens of other regions are requested. It leaves
/// time for them to arrive before the pool is empty.
const WANT_SHARE: f64 = 0.25;
/// Share of the depth below which tokens are not worth a message. Without it, the pools of a team
/// beyond its limit keep asking each other for what each has gained since.
const MIN_GIVEN_SHARE: f64 = 0.06;
/// Time for which a pool may hold more than its depth, to collect tokens for a single call: how long
/// that call waits, and a repetition.
const COLLECT_TIME: Duration = Duration::from_millis(500);

/// A rate that is measured with exponentially decreasing weights.
#[derive(Debug, Clone, Copy, Default)]
struct Meter {
    per_second: f64,
    at: Time,
}

impl Meter {
    fn per_second(&self, now: Time) -> f64 {
        let age = (now - self.at).as_secs_f64();
        self.per_second * (-age / RATE_TIME.as_secs_f64()).exp()
    }

    fn add(&mut self, now: Time, amount: f64) {
        self.per_second = self.per_second(now) + amount / RATE_TIME.as_secs_f64();
        self.at = now;
    }
}

/// The token bucket of one team in one region. It begins empty.
#[derive(Debug, Clone)]
pub struct Pool {
    budget: Budget,
    /// Share of the region's rate and depth that this pool has.
    fraction: f64,
    /// Available tokens, as of `filled_at`; negative in debt.
    level: f64,
    /// Later than now while the pool doesn't fill yet.
    filled_at: Time,
    used: Meter,
    received: Meter,
    /// A cost above the depth that tokens are collected for, and when it was last asked for.
    collecting: Option<(f64, Time)>,
    /// When tokens of other regions may be requested again.
    next_want: Time,
    want_interval: Duration,
    /// Tokens that were requested since the last `next_want` and have not arrived.
    wanted: f64,
    /// Whether a request to other regions may still be answered.
    has_hope: bool,
    /// Whether a call had to wait since tokens were last requested.
    is_short: bool,
    /// Cost of the calls that wait, which new calls leave to them. It decreases as the pool fills, in
    /// case they don't ask again.
    promised: f64,
}

impl Pool {
    /// An empty pool that fills from `start` on.
    pub fn new(budget: Budget, fraction: f64, start: Time) -> Pool {
        Pool {
            budget,
            fraction,
            level: 0.0,
            filled_at: start,
            used: Meter::default(),
            received: Meter::default(),
            collecting: None,
            next_want: Time::ZERO,
            want_interval: WANT_INTERVAL,
            wanted: 0.0,
            has_hope: false,
            is_short: false,
            promised: 0.0,
        }
    }

    /// Whether the pool grants tokens yet.
    pub fn is_open(&self, now: Time) -> bool {
        self.filled_at <= now
    }

    /// Available tokens; negative in debt.
    pub fn level(&mut self, now: Time) -> f64 {
        self.fill(now);
        self.level
    }

    /// Applies a changed budget. Tokens that were saved are void if it is lower.
    pub fn set_budget(&mut self, now: Time, budget: Budget) {
        self.fill(now);
        if self.budget.is_lowered_by(&budget) {
            self.level = self.level.min(0.0);
        }
        self.budget = budget;
    }

    /// Changes the share of the region's rate and depth.
    pub fn set_fraction(&mut self, now: Time, fraction: f64) {
        self.fill(now);
        self.fraction = fraction;
        self.fill(now);
    }

    /// Voids the saved tokens. The pool fills from `start` on.
    pub fn restart(&mut self, start: Time) {
        self.level = self.level.min(0.0);
        self.filled_at = self.filled_at.max(start);
        self.collecting = None;
    }

    /// Takes the cost of a call. A repeated request is that of a call that waits: it goes first.
    ///
    /// # Errors
    ///
    /// The tokens are not available.
    ///
    /// ```
    /// use medlarlug_core::gateway::{quota::{Budget, Pool, Tolerance}, teams::{Quota, QuotaUnit}};
    /// use medlarlug_core::time::Time;
    /// use std::time::Duration;
    ///
    /// let quota = Quota { unit: QuotaUnit::Tokens, rate: 1e3, burst: 4e3, plain_cost: 200 };
    /// let tolerance = Tolerance { window: Duration::from_secs(8), overage: 0.0, slack: 0.0 };
    /// let budget = Budget::new(&quota, tolerance, 1).unwrap();
    /// let mut pool = Pool::new(budget, 1.0, Time::ZERO);
    /// let now = Time::from_millis(500);
    /// assert!(pool.take(now, 400, false).is_ok());
    /// assert_eq!(pool.take(now, 300, false).unwrap_err().wait_ms, 200);
    /// ```
    pub fn take(&mut self, now: Time, cost: u64, is_repeated: bool) -> Result<(), Shortage> {
        let cost = cost as f64;
        if cost > self.depth() + self.debt() && cost <= self.budget.max_cost() {
            self.collecting = Some((cost, now));
        }
        self.fill(now);
        let debt = if cost > self.depth() { self.debt() } else { 0.0 };
        let promised = if is_repeated { 0.0 } else { self.promised };
        let missing = cost + promised - debt - self.level;
        if missing <= 0.0 {
            self.level -= cost;
            if is_repeated {
                self.promised = (self.promised - cost).max(0.0);
            }
            self.used.add(now, cost);
            self.collecting = None;
            return Ok(());
        }
        self.is_short = true;
        let rate = self.budget.pool_rate() * self.fraction + self.received.per_second(now);
        let seconds = missing / rate.min(self.budget.rate());
        let wait_ms = (seconds * 1e3).ceil() as u32;
        let (has_hope, next_want) = match now < self.next_want {
            true => (self.has_hope, self.next_want),
            false => (self.may_hope(), now + self.want_interval),
        };
        let next_want_ms = (next_want - now).as_millis() as u32 + 1;
        let ask_ms = if has_hope { wait_ms.min(next_want_ms) } else { wait_ms };
        if !is_repeated && Duration::from_millis(ask_ms.into()) < MAX_WAIT {
            self.promised += cost;
        }
        Err(Shortage { wait_ms, ask_ms })
    }

    /// The tokens to request from other regions now, if the pool is short of tokens.
    pub fn want(&mut self, now: Time) -> Option<u64> {
        self.fill(now);
        let is_due = now >= self.next_want;
        if is_due {
            self.wanted = 0.0;
        }
        let cap = self.cap(now);
        let missing = cap - self.level - self.wanted;
        let is_low = missing > cap * WANT_SHARE || (is_due && self.is_short);
        if !is_low || missing < 1.0 || !self.is_open(now) {
            return None;
        }
        if is_due {
            self.has_hope = self.may_hope();
            self.next_want = now + self.want_interval;
            self.want_interval = (self.want_interval * 2).min(MAX_WANT_INTERVAL);
        }
        self.is_short = false;
        self.wanted += missing;
        Some(missing as u64)
    }

    /// Removes up to `want` tokens for another region: those that calls of this region, at the rate
    /// of the last seconds, won't use within a second. Gives none if they are few.
    pub fn give(&mut self, now: Time, want: u64) -> u64 {
        self.fill(now);
        let needed = self.used.per_second(now).min(self.depth());
        let given = (self.level - needed).max(0.0).min(want as f64);
        if given < (self.depth() * MIN_GIVEN_SHARE).min(want as f64) {
            return 0;
        }
        self.level -= given.floor();
        given as u64
    }

    /// Adds tokens that another region has given. Tokens beyond the depth are void.
    pub fn receive(&mut self, now: Time, tokens: u64) {
        self.fill(now);
        if !self.is_open(now) {
            return;
        }
        self.level += tokens as f64;
        self.received.add(now, tokens as f64);
        self.wanted = (self.wanted - tokens as f64).max(0.0);
        self.want_interval = WANT_INTERVAL;
        self.next_want = self.next_want.min(now + WANT_INTERVAL);
        self.fill(now);
    }

    /// Whether other regions are likely to have tokens.
    fn may_hope(&self) -> bool {
        self.budget.regions > 1.0 && self.want_interval < MAX_WANT_INTERVAL
    }

    fn depth(&self) -> f64 {
        self.budget.depth() * self.fraction
    }

    fn debt(&self) -> f64 {
        self.budget.debt() * self.fraction
    }

    /// Maximum number of tokens now.
    fn cap(&self, now: Time) -> f64 {
        let collecting = self.collecting.filter(|it| now - it.1 <= COLLECT_TIME);
        self.depth().max(collecting.map_or(0.0, |it| it.0 - self.debt()))
    }

    fn fill(&mut self, now: Time) {
        let gained = self.budget.pool_rate() * self.fraction * (now - self.filled_at).as_secs_f64();
        self.level = (self.level + gained).min(self.cap(now));
        self.promised = (self.promised - gained).max(0.0);
        self.filled_at = self.filled_at.max(now);
        self.collecting = self.collecting.filter(|it| now - it.1 <= COLLECT_TIME);
    }
}
