//! Names of the headers that calls and answers carry. The embedding program chooses them.

use hyper::header::HeaderName;

/// Names of the headers that are read or set.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Id of a call, echoed in its answer.
    pub call_id: HeaderName,
    /// Time for which the caller waits, in milliseconds.
    pub deadline: HeaderName,
    /// Id of the last stream event that the caller has received; the stream resumes after it.
    pub last_event: HeaderName,
    /// Sent when a caller resumes a stream: id of the call that brought the first event of it.
    pub resumed_call: HeaderName,
    /// Parts of the prompt: `id:tokens` with the id in hexadecimal, separated by commas.
    pub prompt_parts: HeaderName,
    /// Number of prompt tokens and upper bound of answer tokens, separated by a comma.
    pub token_counts: HeaderName,
    /// Id of the upstream that the call is meant for; any other upstream answers status 421.
    pub expected_upstream: HeaderName,
    /// In an answer: the call was not run.
    pub not_run: HeaderName,
    /// In an answer: it comes from an upstream, not from an intermediary.
    pub signature: HeaderName,
    /// In an answer: the upstream that sent it is shutting down.
    pub leaving: HeaderName,
    /// In an answer: the rate limit of the upstream that sent it, in requests per second over all
    /// entry instances together.
    pub limit: HeaderName,
    /// In an answer: the upstream crashes if it has to refuse more than this number of requests in a
    /// second.
    pub brittle: HeaderName,
    /// Scheduling priority of a call at a model engine; 0 is served first.
    pub priority: HeaderName,
    /// Name of the team that a call is served for, if the table has teams.
    pub team: HeaderName,
    /// Headers that only the system sets; they are removed from callers' requests.
    pub reserved: Vec<HeaderName>,
}
