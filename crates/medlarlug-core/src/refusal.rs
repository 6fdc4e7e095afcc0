//! Typed refusals and the time to come back.
//!
//! Every request that is not answered ends in one [`Refusal`]. The HTTP shell turns it into a
//! problem document (RFC 9457): [`Reason::slug`] is its `type`, [`Reason::title`] its `title`,
//! [`Reason::status`] its `status`, and `outcome` says whether an upstream can have begun the
//! work. `Retry-After` is spread by jitter, so that callers that were refused together don't come
//! back together.

use std::{fmt, time::Duration};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use crate::record::Outcome;

/// Shortest time to come back that a refusal names.
pub const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Longest time to come back that a refusal names.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(600);
/// Largest share of the time to come back that jitter adds.
const JITTER_SHARE: f64 = 0.5;

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The team's rate is used up.
    RateLimited,
    /// The predicted queueing time is too long.
    Overloaded,
    /// The deadline can't be met even without a queue, or passed in the queue.
    DeadlineImpossible,
    /// The content crashed upstreams.
    Quarantined,
    /// The instance takes no new work because it is about to stop.
    Leaving,
    /// The instance has no configuration yet.
    NoConfiguration,
    /// No region is permitted to serve the request.
    NotPermitted,
    /// Live upstreams serve the target, but only where the request may not go.
    ServedElsewhere,
    /// No live upstream serves the target.
    NoUpstream,
    /// Every attempt failed before an upstream can have begun it.
    NotStarted,
    /// The upstream failed, and the retries are used up.
    UpstreamFailed,
    /// The answer was lost; whether the call ran can't be told.
    AnswerLost,
}

impl Reason {
    /// All reasons.
    pub const ALL: [Reason; 12] = [
        Reason::RateLimited,
        Reason::Overloaded,
        Reason::DeadlineImpossible,
        Reason::Quarantined,
        Reason::Leaving,
        Reason::NoConfiguration,
        Reason::NotPermitted,
        Reason::ServedElsewhere,
        Reason::NoUpstream,
        Reason::NotStarted,
        Reason::UpstreamFailed,
        Reason::AnswerLost,
    ];

    /// Stable name, the last segment of the problem document's `type`.
    ///
    /// ```
    /// use medlarlug_core::refusal::Reason;
    ///
    /// assert_eq!(Reason::RateLimited.slug(), "rate-limited");
    /// ```
    pub fn slug(self) -> &'static str {
        match self {
            Reason::RateLimited => "rate-limited",
            Reason::Overloaded => "overloaded",
            Reason::DeadlineImpossible => "deadline-impossible",
            Reason::Quarantined => "quarantined",
            Reason::Leaving => "leaving",
            Reason::NoConfiguration => "no-configuration",
            Reason::NotPermitted => "not-permitted",
            Reason::ServedElsewhere => "served-elsewhere",
            Reason::NoUpstream => "no-upstream",
            Reason::NotStarted => "not-started",
            Reason::UpstreamFailed => "upstream-failed",
            Reason::AnswerLost => "answer-lost",
        }
    }

    /// Short text for people.
    pub fn title(self) -> &'static str {
        match self {
            Reason::RateLimited => "The team's rate limit is used up",
            Reason::Overloaded => "The predicted queueing time is too long",
            Reason::DeadlineImpossible => "The deadline can't be met",
            Reason::Quarantined => "Requests with this content crashed upstreams",
            Reason::Leaving => "This instance is about to stop",
            Reason::NoConfiguration => "This instance has no configuration yet",
            Reason::NotPermitted => "No region is permitted to serve this request",
            Reason::ServedElsewhere => {
                "Only regions where this request may not go serve the target"
            }
            Reason::NoUpstream => "No live upstream serves this target",
            Reason::NotStarted => "No upstream could be reached",
            Reason::UpstreamFailed => "The upstream failed",
            Reason::AnswerLost => "The answer was lost",
        }
    }

    /// HTTP status.
    pub fn status(self) -> u16 {
        match self {
            Reason::RateLimited => 429,
            Reason::NotPermitted => 403,
            Reason::Quarantined => 422,
            Reason::UpstreamFailed | Reason::AnswerLost => 502,
            Reason::DeadlineImpossible => 504,
            Reason::Overloaded
            | Reason::Leaving
            | Reason::NoConfiguration
            | Reason::NoUpstream
            | Reason::ServedElsewhere
            | Reason::NotStarted => 503,
        }
    }

    /// How a request ends that is refused for this reason before any attempt.
    pub fn outcome(self) -> Outcome {
        match self {
            Reason::Quarantined | Reason::UpstreamFailed => Outcome::Failed,
            Reason::AnswerLost => Outcome::Unknown,
            _ => Outcome::NotRun,
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.slug())
    }
}

/// The final answer to a request that is given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// How the request ended.
    pub outcome: Outcome,
    /// Time after which to come back.
    #[serde(rename = "after")]
    pub retry_after: Duration,
}

impl Refusal {
    /// A refusal with the reason's own outcome.
    ///
    /// ```
    /// use medlarlug_core::{record::Outcome, refusal::{Reason, Refusal}};
    /// use std::time::Duration;
    ///
    /// let refusal = Refusal::new(Reason::Overloaded, Duration::from_millis(1_200));
    /// assert_eq!(refusal.outcome, Outcome::NotRun);
    /// assert_eq!(refusal.retry_after_secs(), 2);
    /// ```
    pub fn new(reason: Reason, retry_after: Duration) -> Refusal {
        Refusal { reason, outcome: reason.outcome(), retry_after }
    }

    /// `Retry-After` in whole seconds, rounded up.
    pub fn retry_after_secs(&self) -> u64 {
        self.retry_after.as_secs() + u64::from(self.retry_after.subsec_nanos() > 0)
    }
}

/// Seeded jitter for the time to come back.
#[derive(Debug, Clone)]
pub struct RetryJitter {
    random: ChaCha8Rng,
}

impl RetryJitter {
    /// A source of jitter.
    pub fn new(seed: u64) -> RetryJitter {
        RetryJitter { random: ChaCha8Rng::seed_from_u64(seed) }
    }

    /// `wait` within [`MIN_RETRY_AFTER`] and [`MAX_RETRY_AFTER`], lengthened by up to a half.
    ///
    /// ```
    /// use medlarlug_core::refusal::RetryJitter;
    /// use std::time::Duration;
    ///
    /// let after = RetryJitter::new(7).apply(Duration::from_secs(10));
    /// assert!(after >= Duration::from_secs(10) && after <= Duration::from_secs(15));
    /// ```
    pub fn apply(&mut self, wait: Duration) -> Duration {
        let base = wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        let jitter: f64 = self.random.random_range(0.0..JITTER_SHARE);
        base.mul_f64(1.0 + jitter)
    }

    /// A refusal with a spread time to come back.
    pub fn refuse(&mut self, reason: Reason, wait: Duration) -> Refusal {
        Refusal::new(reason, self.apply(wait))
    }
}
