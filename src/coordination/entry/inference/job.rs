//! A request that is ready to be routed, and the values derived from its parameters.

use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use medlarlug_core::{
    fingerprint::Fingerprint,
    ids::UpstreamId,
    routing::{CallerRequest, ForwardedRequest, Prefix, RequestFacts},
    suspects::RequestContents,
    units::Tokens,
};
use smol_str::SmolStr;

use crate::{
    coordination::entry::exchange::Call, protocol::inference::InferenceParams,
    transport::http_client::Reuse,
};

/// Deadline for the first token if the policy sets none.
pub const DEFAULT_DEADLINE: Duration = Duration::from_secs(10);

/// Estimated number of bytes of a prompt for each token.
const BYTES_PER_TOKEN: u64 = 4;

/// A request that is ready to be routed, at the instance that serves or forwards it.
pub struct Job {
    /// Source of the request, with the facts by which it is routed.
    pub origin: JobOrigin,
    /// Content of the request, as it is sent to the destination.
    pub call: Call,
    /// Size of the request for fair queueing, in tokens.
    pub cost: u32,
}

/// The source of a request.
#[derive(Debug, Clone)]
pub enum JobOrigin {
    /// From a caller of this instance.
    Caller(CallerRequest),
    /// From another zone; the request is served here or refused, and not forwarded again.
    Zone(ForwardedRequest),
}

impl Job {
    /// The facts by which the request is routed.
    pub fn facts(&self) -> &RequestFacts {
        match &self.origin {
            JobOrigin::Caller(origin) => &origin.facts,
            JobOrigin::Zone(forwarded) => forwarded.facts(),
        }
    }

    /// Shortens the deadline by the time for which the request has waited.
    pub(super) fn deduct_wait(&mut self, waited: Duration) {
        match &mut self.origin {
            JobOrigin::Caller(origin) => {
                origin.facts.deadline = origin.facts.deadline.saturating_sub(waited);
            }
            JobOrigin::Zone(forwarded) => forwarded.deduct_wait(waited),
        }
    }

    /// Permits every upstream again.
    pub(super) fn clear_excluded(&mut self) {
        match &mut self.origin {
            JobOrigin::Caller(origin) => origin.facts.excluded.clear(),
            JobOrigin::Zone(forwarded) => forwarded.clear_excluded(),
        }
    }

    /// Excludes an upstream from the next choices.
    pub(super) fn exclude(&mut self, upstream: &UpstreamId) {
        match &mut self.origin {
            JobOrigin::Caller(origin) => origin.facts.exclude(upstream),
            JobOrigin::Zone(forwarded) => forwarded.exclude(upstream),
        }
    }
}

/// Size for fair queueing of a request whose size is unknown.
pub const DEFAULT_COST_TOKENS: u32 = 1_000;

/// Size of an inference request for fair queueing, in tokens.
pub fn cost_of(params: &InferenceParams) -> u32 {
    let tokens = params.prompt_tokens.0.saturating_add(params.answer_tokens.0);
    u32::try_from(tokens).unwrap_or(u32::MAX)
}

/// Time for an upstream to send the head of its answer.
pub fn head_timeout(facts: &RequestFacts) -> Duration {
    facts.deadline + HEAD_TIMEOUT_MARGIN
}

/// Time beyond the deadline for which an answer that the upstream has begun is still awaited.
const HEAD_TIMEOUT_MARGIN: Duration = Duration::from_secs(20);

/// The prefixes of a prompt in the form that the router takes, the longest first.
pub fn prefixes_of(params: &InferenceParams) -> Vec<Prefix> {
    let block = medlarlug_core::fingerprint::PREFIX_BLOCK_BYTES as u64 / BYTES_PER_TOKEN;
    let numbered = params.prefixes.iter().zip(1u64..);
    let mut prefixes: Vec<Prefix> = numbered
        .map(|(fingerprint, count)| Prefix {
            fingerprint: *fingerprint,
            tokens: Tokens(count * block),
        })
        .collect();
    prefixes.reverse();
    prefixes
}

/// Creates the call for an inference request.
pub fn call_of(
    path: SmolStr,
    body: Bytes,
    params: &InferenceParams,
    head_timeout: Duration,
) -> Call {
    let whole = Fingerprint::of(&body);
    Call {
        method: Method::POST,
        path,
        media: Some("application/json".into()),
        key: None,
        contents: RequestContents::new(whole, params.shared_parts.clone()),
        body,
        stream: params.stream,
        reuse: Reuse::Allowed,
        head_timeout,
    }
}
