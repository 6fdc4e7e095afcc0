//! Typed refusals and their retry delays.
//!
//! Every request that is not answered ends in one [`Refusal`]. The HTTP layer turns it into a
//! problem document (RFC 9457): [`Reason::slug`] is its `type`, [`Reason::title`] its `title`,
//! [`Reason::status`] its `status`, and `outcome` states whether an upstream may have begun the
//! work. Jitter is added to `Retry-After`, so that callers that were refused together don't retry
//! together.

use std::{fmt, time::Duration};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use crate::record::Outcome;

/// Minimum retry delay of a refusal.
pub const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Maximum retry delay of a refusal, before jitter.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(600);
/// Maximum jitter, as a fraction of the retry delay.
const MAX_JITTER_FRACTION: f64 = 0.5;

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The team has used up its rate limit.
    RateLimited,
    /// The predicted queueing time is too long.
    Overloaded,
    /// The deadline can't be met even without a queue, or passed while the request was queued.
    DeadlineImpossible,
    /// The content is quarantined because it has crashed upstreams.
    Quarantined,
    /// The instance is shutting down and accepts no new requests.
    Leaving,
    /// The instance has no configuration yet.
    NoConfiguration,
    /// No region is permitted to serve the request.
    NotPermitted,
    /// Live upstreams serve the target, but only in regions where the request must not be served.
    ServedElsewhere,
    /// No live upstream serves the target.
    NoUpstream,
    /// Every attempt failed before an upstream could begin the work.
    NotStarted,
    /// The upstream failed, and the retries are used up.
    UpstreamFailed,
    /// The answer was lost, and the call is not idempotent; it is unknown whether the call ran.
    AnswerLost,
    /// The instance can't confirm that the residency rule that it knows is the newest one.
    Unconfirmed,
}

impl Reason {
    /// All reasons.
    pub const ALL: [Reason; 13] = [
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
        Reason::Unconfirmed,
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
            Reason::Unconfirmed => "unconfirmed",
        }
    }

    /// Short human-readable text, the `title` of the problem document.
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
            Reason::Unconfirmed => "This instance can't confirm its rules of residency now",
        }
    }

    /// HTTP status code of the answer.
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
            | Reason::NotStarted
            | Reason::Unconfirmed => 503,
        }
    }

    /// Outcome of a request that is refused for this reason before any attempt.
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

/// The final answer to a request that is not served.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why the request is refused.
    pub reason: Reason,
    /// Whether an upstream may have begun the work.
    pub outcome: Outcome,
    /// Time after which the caller may retry.
    #[serde(rename = "after")]
    pub retry_after: Duration,
}

impl Refusal {
    /// Creates a refusal with the default outcome of `reason`.
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

    /// Value of `Retry-After` in whole seconds, rounded up.
    pub fn retry_after_secs(&self) -> u64 {
        self.retry_after.as_secs() + u64::from(self.retry_after.subsec_nanos() > 0)
    }
}

/// Seeded jitter for retry delays.
#[derive(Debug, Clone)]
pub struct RetryJitter {
    random: ChaCha8Rng,
}

impl RetryJitter {
    /// Creates a source of jitter; the same seed gives the same sequence.
    pub fn new(seed: u64) -> RetryJitter {
        RetryJitter { random: ChaCha8Rng::seed_from_u64(seed) }
    }

    /// Clamps `wait` to [`MIN_RETRY_AFTER`] and [`MAX_RETRY_AFTER`], then lengthens it by up to a half.
    ///
    /// ```
    /// use medlarlug_core::refusal::RetryJitter;
    /// use std::time::Duration;
    ///
    /// let delay = RetryJitter::new(7).apply(Duration::from_secs(10));
    /// assert!(delay >= Duration::from_secs(10) && delay <= Duration::from_secs(15));
    /// ```
    pub fn apply(&mut self, wait: Duration) -> Duration {
        let base = wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        let jitter: f64 = self.random.random_range(0.0..MAX_JITTER_FRACTION);
        base.mul_f64(1.0 + jitter)
    }

    /// Creates a refusal with the retry delay `wait`, clamped and with jitter.
    pub fn refuse(&mut self, reason: Reason, wait: Duration) -> Refusal {
        Refusal::new(reason, self.apply(wait))
    }
}
