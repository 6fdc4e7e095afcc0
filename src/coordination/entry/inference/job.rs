//! A request whose facts are known, and what is read from its head.

use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use medlarlug_core::{
    fingerprint::Fingerprint,
    ids::UpstreamId,
    routing::{CallerRequest, ForwardedRequest, Prefix, RequestFacts},
    units::Tokens,
};
use smol_str::SmolStr;

use crate::{
    coordination::entry::exchange::Call, protocol::inference::InferenceHead,
    transport::http_client::Reuse,
};

/// Time until the first token when the policy names none.
pub const DEFAULT_DEADLINE: Duration = Duration::from_secs(10);

/// Bytes of a prompt that one token stands for.
const BYTES_PER_TOKEN: u64 = 4;

/// A request whose facts are known, at the instance that serves it or hands it on.
pub struct Job {
    /// Where it may go.
    pub origin: JobOrigin,
    /// What is sent.
    pub call: Call,
    /// Its size for fair queueing, in tokens.
    pub cost: u32,
}

/// Where a request came from.
#[derive(Debug, Clone)]
pub enum JobOrigin {
    /// From a caller of this instance.
    Caller(CallerRequest),
    /// From another zone; it is served here or refused.
    Zone(ForwardedRequest),
}

impl Job {
    /// The facts.
    pub fn facts(&self) -> &RequestFacts {
        match &self.origin {
            JobOrigin::Caller(origin) => &origin.facts,
            JobOrigin::Zone(forwarded) => forwarded.facts(),
        }
    }

    /// Takes time off that the request has waited.
    pub(super) fn deduct_wait(&mut self, waited: Duration) {
        match &mut self.origin {
            JobOrigin::Caller(origin) => {
                origin.facts.deadline = origin.facts.deadline.saturating_sub(waited);
            }
            JobOrigin::Zone(forwarded) => forwarded.deduct_wait(waited),
        }
    }

    /// Lets the request be sent to every upstream again.
    pub(super) fn clear_excluded(&mut self) {
        match &mut self.origin {
            JobOrigin::Caller(origin) => origin.facts.excluded.clear(),
            JobOrigin::Zone(forwarded) => forwarded.clear_excluded(),
        }
    }

    /// Keeps the request from being sent to an upstream.
    pub(super) fn exclude(&mut self, upstream: &UpstreamId) {
        match &mut self.origin {
            JobOrigin::Caller(origin) => origin.facts.exclude(upstream),
            JobOrigin::Zone(forwarded) => forwarded.exclude(upstream),
        }
    }
}

/// Size of a request of which only its being there is known, in tokens.
pub const DEFAULT_COST_TOKENS: u32 = 1_000;

/// Size of an inference request for fair queueing, in tokens.
pub fn cost_of(head: &InferenceHead) -> u32 {
    let tokens = head.prompt.0.saturating_add(head.answer.0);
    u32::try_from(tokens).unwrap_or(u32::MAX)
}

/// Time that an upstream has for the head of its answer.
pub fn head_timeout(facts: &RequestFacts) -> Duration {
    facts.deadline + HEAD_TIMEOUT_MARGIN
}

/// Time beyond the deadline for which an answer that has begun is still awaited.
const HEAD_TIMEOUT_MARGIN: Duration = Duration::from_secs(20);

/// The prefixes of a prompt as the router wants them, the longest first.
pub fn prefixes_of(head: &InferenceHead) -> Vec<Prefix> {
    let block = medlarlug_core::fingerprint::PREFIX_BLOCK_BYTES as u64 / BYTES_PER_TOKEN;
    let numbered = head.prefixes.iter().zip(1u64..);
    let mut prefixes: Vec<Prefix> = numbered
        .map(|(fingerprint, count)| Prefix {
            fingerprint: *fingerprint,
            tokens: Tokens(count * block),
        })
        .collect();
    prefixes.reverse();
    prefixes
}

/// What is sent for an inference request.
pub fn call_of(path: SmolStr, body: Bytes, stream: bool, head_timeout: Duration) -> Call {
    Call {
        method: Method::POST,
        path,
        media: Some("application/json".into()),
        key: None,
        fingerprint: Fingerprint::of(&body),
        body,
        stream,
        reuse: Reuse::Allowed,
        head_timeout,
    }
}
