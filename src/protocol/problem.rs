//! Refusals and failures as problem documents (RFC 9457).

use std::time::Duration;

use medlarlug_core::{ids::RequestId, record::Outcome, refusal::Refusal};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Media type of a problem document.
pub const MEDIA_TYPE: &str = "application/problem+json";

/// A refusal or failure, as the caller sees it.
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
    /// What happened, for a person.
    pub title: SmolStr,
    /// HTTP status.
    pub status: u16,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// The request, when it was taken in.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<RequestId>,
    /// When to come back, in seconds, rounded up.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after: Option<u64>,
    /// What became of earlier requests under the same key: unknown, as the home group was not
    /// asked. [`outcome`](Self::outcome) speaks of this request only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub earlier: Option<Outcome>,
}

impl Problem {
    /// A problem without a request and without a time to come back.
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

    /// The problem that a refusal is told as.
    pub fn from_refusal(refusal: &Refusal) -> Problem {
        let reason = refusal.reason;
        let problem = Problem::new(reason.status(), reason.slug(), reason.title(), refusal.outcome);
        problem.with_retry_after(refusal.retry_after)
    }

    /// The same problem of the request `id`.
    pub fn for_request(self, id: &RequestId) -> Problem {
        Problem { request: Some(id.clone()), ..self }
    }

    /// The same problem of a booking whose key may have been used before.
    pub fn with_unknown_earlier_outcome(self) -> Problem {
        Problem { earlier: Some(Outcome::Unknown), ..self }
    }

    /// The same problem with the time after which another try is worth it.
    pub fn with_retry_after(self, wait: Duration) -> Problem {
        let seconds = wait.as_millis().div_ceil(1000).max(1);
        Problem { retry_after: u64::try_from(seconds).ok(), ..self }
    }
}
