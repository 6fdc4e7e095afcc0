//! Refusals and errors as problem documents (RFC 9457).

use std::time::Duration;

use medlarlug_core::{ids::RequestId, record::Outcome, refusal::Refusal};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Media type of a problem document.
pub const MEDIA_TYPE: &str = "application/problem+json";

/// A refusal or error as it is sent to the caller.
///
/// ```
/// use medlarlug::protocol::Problem;
/// use medlarlug_core::record::Outcome;
///
/// let problem = Problem::new(503, "overloaded", "every upstream is busy", Outcome::NotRun);
/// assert!(serde_json::to_string(&problem).unwrap().contains("not_run"));
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Stable name of the kind of problem.
    #[serde(rename = "type")]
    pub kind: SmolStr,
    /// Human-readable description.
    pub title: SmolStr,
    /// HTTP status code of the answer.
    pub status: u16,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Id of the request, once it was accepted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<RequestId>,
    /// Time until a retry is worthwhile, in seconds, rounded up.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after: Option<u64>,
    /// Outcome of earlier requests with the same idempotency key: unknown, because the home group was
    /// not asked. [`outcome`](Self::outcome) describes this request only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub earlier: Option<Outcome>,
}

impl Problem {
    /// A problem without a request id and without a retry time.
    pub fn new(status: u16, kind: &str, title: &str, outcome: Outcome) -> Problem {
        Problem {
            kind: kind.into(),
            title: title.into(),
            status,
            outcome,
            request: None,
            retry_after: None,
            earlier: None,
        }
    }

    /// The problem document for a refusal.
    pub fn from_refusal(refusal: &Refusal) -> Problem {
        let reason = refusal.reason;
        let problem = Problem::new(reason.status(), reason.slug(), reason.title(), refusal.outcome);
        problem.with_retry_after(refusal.retry_after)
    }

    /// Sets the request id.
    pub fn for_request(self, id: &RequestId) -> Problem {
        Problem { request: Some(id.clone()), ..self }
    }

    /// States that the outcome of earlier requests with the same idempotency key is unknown.
    pub fn with_unknown_earlier_outcome(self) -> Problem {
        Problem { earlier: Some(Outcome::Unknown), ..self }
    }

    /// Sets the time after which a retry is worthwhile, at least one second.
    pub fn with_retry_after(self, wait: Duration) -> Problem {
        let seconds = wait.as_millis().div_ceil(1000).max(1);
        Problem { retry_after: u64::try_from(seconds).ok(), ..self }
    }
}
