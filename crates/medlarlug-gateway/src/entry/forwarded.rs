//! Headers of calls that one region hands over to another.

use hyper::{HeaderMap, header::HeaderValue};
use medlarlug_core::gateway::handover::Handover;

/// Header of a call that was handed over: a [`Handover`] in JSON.
pub(super) const HEADER: &str = "medlarlug-forwarded";
/// Header of an answer to such a call: it was refused and not run.
pub(super) const NOT_RUN: &str = "medlarlug-not-run";
/// Header of an answer to such a call: how many upstreams ran it.
pub(super) const RUNS: &str = "medlarlug-runs";
/// Header of an answer to such a call: how many requests for it reached upstreams.
pub(super) const ARRIVALS: &str = "medlarlug-arrivals";

pub(super) fn encode(handover: &Handover) -> Option<HeaderValue> {
    let text = serde_json::to_vec(handover).ok()?;
    HeaderValue::from_bytes(&text).ok()
}

/// A count that another instance reports; one if the header is missing, since the call was sent to
/// it.
pub(super) fn count(headers: &HeaderMap, name: &str) -> u32 {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.and_then(|value| value.parse().ok()).unwrap_or(1)
}

pub(super) fn decode(value: &HeaderValue) -> Option<Handover> {
    serde_json::from_slice(value.as_bytes()).ok()
}
