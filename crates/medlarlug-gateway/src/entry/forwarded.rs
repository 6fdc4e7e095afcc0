//! What an entry instance tells another region's about a call that it hands over.

use hyper::header::HeaderValue;
use medlarlug_core::gateway::table::{Route, ServiceName, TableVersion};
use serde::{Deserialize, Serialize};

/// Header of a call that was handed over: a [`Forwarded`] in JSON.
pub(super) const HEADER: &str = "medlarlug-forwarded";
/// Header of an answer to such a call: it was refused and not run.
pub(super) const NOT_RUN: &str = "medlarlug-not-run";

/// Header of an answer to such a call: how many requests to upstreams it took.
pub(super) const ARRIVALS: &str = "medlarlug-arrivals";

/// The route of a call that was handed over, as the first instance saw it.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Forwarded {
    /// The table that the route is from.
    pub(super) version: TableVersion,
    /// The route, with the attempts that are left.
    pub(super) route: Route,
    /// The service that was picked by the route's weights.
    pub(super) service: ServiceName,
}

impl Forwarded {
    pub(super) fn encode(&self) -> Option<HeaderValue> {
        let text = serde_json::to_vec(self).ok()?;
        HeaderValue::from_bytes(&text).ok()
    }

    pub(super) fn decode(value: &HeaderValue) -> Option<Forwarded> {
        serde_json::from_slice(value.as_bytes()).ok()
    }
}
