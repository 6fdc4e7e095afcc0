//! The retry budget and the decision to try again.
//!
//! One [`RetryBudget`] per instance and model holds a token bucket that successes fill: each
//! deposits a tenth of a retry. With `s` successes at most `s / 10` retries are made, so the
//! attempts stay below 1.1 times the requests, also when every upstream fails. The bucket starts
//! empty and its size is bounded, so a region that returns meets no stored-up retries. Only the
//! instance that sent a request to an upstream deposits its success: one that forwarded it to
//! another zone does not, so that each success pays once.
//!
//! Only idempotent work is tried again, or work that was proven not to have run: the connection
//! was refused before a byte was sent, or the receiving zone refused it as not run.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    record::Outcome,
    refusal::{Reason, Refusal, Spread},
    time::Time,
};

/// Retries that the budget holds at most.
pub const MAX_STORED_RETRIES: u32 = 10;
/// Attempts that one request gets at most.
pub const MAX_ATTEMPTS: u32 = 3;
/// Successes that pay for one retry.
const SUCCESSES_PER_RETRY: u32 = 10;
/// Time to come back when the budget is used up.
const BUDGET_WAIT: Duration = Duration::from_secs(2);

/// Token bucket for retries that successes fill; counts in tenths of a retry.
///
/// ```
/// use medlarlug_core::retry::RetryBudget;
///
/// let mut budget = RetryBudget::default();
/// assert!(!budget.take());
/// (0..10).for_each(|_| budget.deposit());
/// assert!(budget.take());
/// assert!(!budget.take());
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetryBudget {
    tenths: u32,
}

impl RetryBudget {
    /// Counts a request that was answered.
    pub fn deposit(&mut self) {
        let limit = MAX_STORED_RETRIES * SUCCESSES_PER_RETRY;
        self.tenths = (self.tenths + 1).min(limit);
    }

    /// Takes one retry out, if there is one.
    pub fn take(&mut self) -> bool {
        let Some(rest) = self.tenths.checked_sub(SUCCESSES_PER_RETRY) else {
            return false;
        };
        self.tenths = rest;
        true
    }

    /// Whole retries that are left.
    pub fn left(&self) -> u32 {
        self.tenths / SUCCESSES_PER_RETRY
    }
}

/// How an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Failure {
    /// The connection was refused before a byte was sent.
    NotSent,
    /// The receiving zone refused the request as not run.
    ZoneRefused,
    /// The connection was lost, or stayed silent, after the request was sent.
    Lost,
    /// The upstream answered with an error after it may have begun the work.
    Error,
}

impl Failure {
    /// Whether no upstream can have begun the work of this attempt.
    pub fn is_not_run(self) -> bool {
        matches!(self, Failure::NotSent | Failure::ZoneRefused)
    }
}

/// The attempts that were made for one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Attempts {
    /// Whether the work may be repeated.
    pub idempotent: bool,
    /// Whether another zone handed the request over; it crosses no further.
    pub forwarded: bool,
    /// Moment by which the answer has to begin.
    pub deadline: Time,
    /// Time that an attempt takes at least.
    pub estimate: Duration,
    made: u32,
    zones: u32,
    may_have_run: bool,
}

/// What to do after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Try another upstream of the same zone.
    RetryHere,
    /// Hand the request to one other permitted zone.
    RetryElsewhere,
    /// Give the caller this final answer now.
    GiveUp(Refusal),
}

impl Attempts {
    /// A request without an attempt so far.
    pub fn new(idempotent: bool, forwarded: bool, deadline: Time, estimate: Duration) -> Attempts {
        Attempts {
            idempotent,
            forwarded,
            deadline,
            estimate,
            made: 0,
            zones: 0,
            may_have_run: false,
        }
    }

    /// Attempts that failed so far.
    pub fn made(&self) -> u32 {
        self.made
    }

    /// How the request ends if it is given up now.
    pub fn outcome(&self) -> Outcome {
        match (self.may_have_run, self.idempotent) {
            (false, _) => Outcome::NotRun,
            (true, true) => Outcome::Failed,
            (true, false) => Outcome::Unknown,
        }
    }

    /// Counts a failed attempt and decides what follows.
    ///
    /// ```
    /// use medlarlug_core::{
    ///     record::Outcome,
    ///     refusal::Spread,
    ///     retry::{Attempts, Decision, Failure, RetryBudget},
    ///     time::Time,
    /// };
    /// use std::time::Duration;
    ///
    /// let deadline = Time::from_millis(5_000);
    /// let mut booking = Attempts::new(false, false, deadline, Duration::ZERO);
    /// let mut budget = RetryBudget::default();
    /// let decision = booking.decide(Time::ZERO, Failure::Lost, &mut budget, &mut Spread::new(1));
    /// let Decision::GiveUp(refusal) = decision else { panic!("a booking is never sent twice") };
    /// assert_eq!(refusal.outcome, Outcome::Unknown);
    /// ```
    pub fn decide(
        &mut self,
        now: Time,
        failure: Failure,
        budget: &mut RetryBudget,
        spread: &mut Spread,
    ) -> Decision {
        self.count(failure);
        let is_in_time = now + self.estimate < self.deadline;
        if !self.is_repeatable(failure) || !is_in_time || !budget.take() {
            return Decision::GiveUp(self.refusal(spread));
        }
        match failure {
            Failure::ZoneRefused => Decision::RetryElsewhere,
            _ => Decision::RetryHere,
        }
    }

    fn count(&mut self, failure: Failure) {
        self.made += 1;
        self.may_have_run |= !failure.is_not_run();
        self.zones += u32::from(failure == Failure::ZoneRefused);
    }

    fn is_repeatable(&self, failure: Failure) -> bool {
        let is_safe = self.idempotent || !self.may_have_run;
        let may_cross = !self.forwarded && self.zones <= 1;
        let has_place = failure != Failure::ZoneRefused || may_cross;
        is_safe && has_place && self.made < MAX_ATTEMPTS
    }

    fn refusal(&self, spread: &mut Spread) -> Refusal {
        let reason = match self.outcome() {
            Outcome::NotRun => Reason::NotStarted,
            Outcome::Unknown => Reason::AnswerLost,
            _ => Reason::UpstreamFailed,
        };
        spread.refuse(reason, BUDGET_WAIT)
    }
}
