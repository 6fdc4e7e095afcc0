//! The retry budget and the retry decision.
//!
//! One [`RetryBudget`] per instance and model holds [`MAX_STORED_RETRIES`] retries and is full at the
//! start. A used retry is returned after [`SUCCESSES_PER_RETRY`] successes, so any 100 consecutive
//! requests cause at most 10 retries: there are at most 1.1 times as many attempts as requests. If
//! every upstream fails, 10 retries are made in all, and none after that until successes have been
//! counted again. Only the instance that sent a request to an upstream records its success; one that
//! forwarded the request to another zone does not, so that each success counts once.
//!
//! A request is retried only if it is idempotent, or if it has certainly not run: the connection
//! was refused before a byte was sent, or the receiving zone refused the request as not run.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    record::Outcome,
    refusal::{Reason, Refusal, RetryJitter},
    time::Time,
};

/// Maximum number of retries in the budget.
pub const MAX_STORED_RETRIES: u32 = 10;
/// Maximum number of attempts per request, including the first.
pub const MAX_ATTEMPTS: u32 = 3;
/// Number of successes after which a used retry is returned to the budget.
pub const SUCCESSES_PER_RETRY: u64 = 100;
/// Retry delay of a request that is given up after a failed attempt.
const GIVEN_UP_RETRY_AFTER: Duration = Duration::from_secs(2);

/// A budget of retries that successful requests refill.
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
    // Value of `successes` when each used retry was taken, oldest first.
    taken: Vec<u64>,
}

impl RetryBudget {
    /// Counts an answered request, and returns the retries that were taken long enough ago.
    pub fn record_success(&mut self) {
        self.successes += 1;
        let successes = self.successes;
        self.taken.retain(|it| successes - it < SUCCESSES_PER_RETRY);
    }

    /// Takes one retry; returns `false` if the budget is used up.
    pub fn take(&mut self) -> bool {
        if self.remaining() == 0 {
            return false;
        }
        self.taken.push(self.successes);
        true
    }

    /// Number of answered requests recorded so far.
    pub fn successes(&self) -> u64 {
        self.successes
    }

    /// Number of retries that can be taken.
    pub fn remaining(&self) -> u32 {
        MAX_STORED_RETRIES.saturating_sub(self.taken.len() as u32)
    }
}

/// How an attempt failed, which decides whether its work may have begun.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Failure {
    /// The connection was refused before a byte was sent.
    NotSent,
    /// The receiving zone refused the request as not run.
    ZoneRefused,
    /// The connection was lost or timed out after the request had been sent.
    Lost,
    /// The upstream answered with an error after it may have begun the work.
    Error,
}

impl Failure {
    /// Whether it is certain that no upstream began the work of this attempt.
    pub fn is_not_run(self) -> bool {
        matches!(self, Failure::NotSent | Failure::ZoneRefused)
    }
}

/// The attempts made for one request, and the conditions for another one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Attempts {
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether another zone forwarded the request; it is not forwarded again.
    pub forwarded: bool,
    /// Time by which the answer has to begin.
    pub deadline: Time,
    /// Minimum duration of an attempt; a retry needs that much time before the deadline.
    pub attempt_time: Duration,
    made: u32,
    zone_refusals: u32,
    may_have_run: bool,
}

/// The action after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Retry on another upstream of the same zone.
    RetryInZone,
    /// Forward the request to one other permitted zone.
    RetryInOtherZone,
    /// Refuse the request to the caller.
    GiveUp(Refusal),
}

impl Attempts {
    /// Creates the state of a request before its first attempt.
    pub fn new(
        idempotent: bool,
        forwarded: bool,
        deadline: Time,
        attempt_time: Duration,
    ) -> Attempts {
        Attempts {
            idempotent,
            forwarded,
            deadline,
            attempt_time,
            made: 0,
            zone_refusals: 0,
            may_have_run: false,
        }
    }

    /// Number of failed attempts so far.
    pub fn made(&self) -> u32 {
        self.made
    }

    /// Outcome of the request if it is given up now.
    pub fn outcome(&self) -> Outcome {
        match (self.may_have_run, self.idempotent) {
            (false, _) => Outcome::NotRun,
            (true, true) => Outcome::Failed,
            (true, false) => Outcome::Unknown,
        }
    }

    /// Counts a failed attempt, and takes a retry from `budget` if the request is retried.
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
        jitter: &mut RetryJitter,
    ) -> Decision {
        self.count(failure);
        let is_in_time = now + self.attempt_time < self.deadline;
        if !self.may_retry(failure) || !is_in_time || !budget.take() {
            return Decision::GiveUp(self.refusal(jitter));
        }
        match failure {
            Failure::ZoneRefused => Decision::RetryInOtherZone,
            _ => Decision::RetryInZone,
        }
    }

    fn count(&mut self, failure: Failure) {
        self.made += 1;
        self.may_have_run |= !failure.is_not_run();
        self.zone_refusals += u32::from(failure == Failure::ZoneRefused);
    }

    fn may_retry(&self, failure: Failure) -> bool {
        let is_safe = self.idempotent || !self.may_have_run;
        let may_cross = !self.forwarded && self.zone_refusals <= 1;
        let has_target = failure != Failure::ZoneRefused || may_cross;
        is_safe && has_target && self.made < MAX_ATTEMPTS
    }

    /// The final refusal if no further attempt is possible because of `refusal`.
    ///
    /// Its outcome is [`Outcome::NotRun`] only if no attempt so far can have begun the work.
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

    fn refusal(&self, jitter: &mut RetryJitter) -> Refusal {
        jitter.refuse(self.reason(), GIVEN_UP_RETRY_AFTER)
    }
}
