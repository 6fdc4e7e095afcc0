//! The retry budget and the decision to try again.
//!
//! One [`RetryBudget`] per instance and model holds [`MAX_STORED_RETRIES`] retries, full at the
//! start. A retry that was taken comes back after [`SUCCESSES_PER_RETRY`] successes. So among any
//! 100 requests in a row there are at most 10 retries: the attempts stay at 1.1 times the requests
//! or below. When every upstream fails, 10 retries are made in all, and none until successes have
//! been counted again. Only the instance that sent a request to an upstream deposits its success:
//! one that forwarded it to another zone does not, so that each success pays once.
//!
//! Only idempotent work is tried again, or work that was proven not to have run: the connection
//! was refused before a byte was sent, or the receiving zone refused it as not run.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    record::Outcome,
    refusal::{Reason, Refusal, RetryJitter},
    time::Time,
};

/// Retries that the budget holds at most.
pub const MAX_STORED_RETRIES: u32 = 10;
/// Attempts that one request gets at most.
pub const MAX_ATTEMPTS: u32 = 3;
/// Successes after which a retry that was taken comes back.
pub const SUCCESSES_PER_RETRY: u64 = 100;
/// Time to come back when the budget is used up.
const BUDGET_WAIT: Duration = Duration::from_secs(2);

/// Retries that successes pay for.
///
/// ```
/// use medlarlug_core::retry::{MAX_STORED_RETRIES, RetryBudget, SUCCESSES_PER_RETRY};
///
/// let mut budget = RetryBudget::default();
/// assert!((0..MAX_STORED_RETRIES).all(|_| budget.take()));
/// assert!(!budget.take());
/// (0..SUCCESSES_PER_RETRY).for_each(|_| budget.record_success());
/// assert!(budget.take());
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetryBudget {
    successes: u64,
    // Successes that had been counted when each retry was taken, the oldest first.
    taken: Vec<u64>,
}

impl RetryBudget {
    /// Counts a request that was answered.
    pub fn record_success(&mut self) {
        self.successes += 1;
        let successes = self.successes;
        self.taken.retain(|it| successes - it < SUCCESSES_PER_RETRY);
    }

    /// Takes one retry out, if there is one.
    pub fn take(&mut self) -> bool {
        if self.remaining() == 0 {
            return false;
        }
        self.taken.push(self.successes);
        true
    }

    /// Requests that were answered.
    pub fn successes(&self) -> u64 {
        self.successes
    }

    /// Whole retries that are left.
    pub fn remaining(&self) -> u32 {
        MAX_STORED_RETRIES.saturating_sub(self.taken.len() as u32)
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
    pub min_attempt_time: Duration,
    made: u32,
    zones: u32,
    may_have_run: bool,
}

/// What to do after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Try another upstream of the same zone.
    RetryInZone,
    /// Hand the request to one other permitted zone.
    RetryInOtherZone,
    /// Give the caller this final answer now.
    GiveUp(Refusal),
}

impl Attempts {
    /// A request without an attempt so far.
    pub fn new(
        idempotent: bool,
        forwarded: bool,
        deadline: Time,
        min_attempt_time: Duration,
    ) -> Attempts {
        Attempts {
            idempotent,
            forwarded,
            deadline,
            min_attempt_time,
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
    ///     refusal::RetryJitter,
    ///     retry::{Attempts, Decision, Failure, RetryBudget},
    ///     time::Time,
    /// };
    /// use std::time::Duration;
    ///
    /// let deadline = Time::from_millis(5_000);
    /// let mut booking = Attempts::new(false, false, deadline, Duration::ZERO);
    /// let mut budget = RetryBudget::default();
    /// let decision = booking.decide(Time::ZERO, Failure::Lost, &mut budget, &mut RetryJitter::new(1));
    /// let Decision::GiveUp(refusal) = decision else { panic!("a booking is never sent twice") };
    /// assert_eq!(refusal.outcome, Outcome::Unknown);
    /// ```
    pub fn decide(
        &mut self,
        now: Time,
        failure: Failure,
        budget: &mut RetryBudget,
        spread: &mut RetryJitter,
    ) -> Decision {
        self.count(failure);
        let is_in_time = now + self.min_attempt_time < self.deadline;
        if !self.is_repeatable(failure) || !is_in_time || !budget.take() {
            return Decision::GiveUp(self.refusal(spread));
        }
        match failure {
            Failure::ZoneRefused => Decision::RetryInOtherZone,
            _ => Decision::RetryInZone,
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

    /// The final answer when no further attempt is possible because of `refusal`.
    ///
    /// It says that the work was not run only if no attempt so far can have run it.
    ///
    /// ```
    /// use medlarlug_core::{
    ///     record::Outcome,
    ///     refusal::{Reason, Refusal, RetryJitter},
    ///     retry::{Attempts, Failure, RetryBudget},
    ///     time::Time,
    /// };
    /// use std::time::Duration;
    ///
    /// let mut attempts = Attempts::new(true, false, Time::from_millis(5_000), Duration::ZERO);
    /// let refusal = Refusal::new(Reason::NoUpstream, Duration::from_secs(1));
    /// assert_eq!(attempts.final_refusal(refusal).outcome, Outcome::NotRun);
    /// let mut budget = RetryBudget::default();
    /// attempts.decide(Time::ZERO, Failure::Lost, &mut budget, &mut RetryJitter::new(1));
    /// assert_eq!(attempts.final_refusal(refusal).outcome, Outcome::Failed);
    /// ```
    pub fn final_refusal(&self, refusal: Refusal) -> Refusal {
        match self.outcome() {
            Outcome::NotRun => refusal,
            outcome => Refusal { reason: self.reason(), outcome, ..refusal },
        }
    }

    fn reason(&self) -> Reason {
        match self.outcome() {
            Outcome::NotRun => Reason::NotStarted,
            Outcome::Unknown => Reason::AnswerLost,
            _ => Reason::UpstreamFailed,
        }
    }

    fn refusal(&self, spread: &mut RetryJitter) -> Refusal {
        spread.refuse(self.reason(), BUDGET_WAIT)
    }
}
