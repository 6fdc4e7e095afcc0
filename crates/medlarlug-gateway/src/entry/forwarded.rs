//! Headers of calls that one region hands over to another.

use hyper::header::HeaderValue;
use medlarlug_core::gateway::handover::Handover;

/// Header of a call that was handed over: a [`Handover`] in JSON.
pub(super) const HEADER: &str = "medlarlug-forwarded";
/// Header of an answer to such a call: it was refused and not run.
pub(super) const NOT_RUN: &str = "medlarlug-not-run";
/// Header of an answer to such a call: how many upstreams ran it.
pub(super) const RUNS: &str = "medlarlug-runs";

pub(super) fn encode(handover: &Handover) -> Option<HeaderValue> {
    let text = serde_json::to_vec(handover).ok()?;
    HeaderValue::from_bytes(&text).ok()
}

pub(super) fn decode(value: &HeaderValue) -> Option<Handover> {
    serde_json::from_slice(value.as_bytes()).ok()
}
