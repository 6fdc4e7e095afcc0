//! The headers that calls carry, under the names of whoever speaks to this system.

use hyper::header::HeaderName;

/// Names of the headers that are read or set.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Id of a call, echoed in its answer.
    pub call_id: HeaderName,
    /// Time that the caller waits, in milliseconds.
    pub deadline: HeaderName,
    /// Last event of a stream that the caller has; the stream goes on after it.
    pub last_event: HeaderName,
    /// Parts of the prompt: `id:tokens` with the id in hexadecimal, separated by commas.
    pub prompt_parts: HeaderName,
    /// Tokens of the prompt and of the answer at most, separated by a comma.
    pub token_counts: HeaderName,
    /// The upstream that is to run the call; another one answers status 421 instead.
    pub expected_upstream: HeaderName,
    /// In an answer: the call was not run.
    pub not_run: HeaderName,
    /// In an answer: it was made by an upstream.
    pub signature: HeaderName,
    /// In an answer: the upstream that made it is leaving.
    pub leaving: HeaderName,
    /// In an answer: requests a second that the upstream which made it takes from all instances together.
    pub limit: HeaderName,
    /// Rank of a call at an engine, 0 first.
    pub rank: HeaderName,
    /// Headers that only the system may set; those of callers are dropped.
    pub reserved: Vec<HeaderName>,
}
