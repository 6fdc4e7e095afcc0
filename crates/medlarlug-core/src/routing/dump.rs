//! What the router has learned as plain data, for the state dump that operators ask for.

use serde::Serialize;

use crate::{
    ids::{UpstreamId, ZoneId},
    routing::{router::Router, stats::DestinationStats},
    time::Time,
};

/// What the router has learned at one moment.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RouterDump {
    /// Upstreams of the own zone.
    pub upstreams: Vec<DestinationDump<UpstreamId>>,
    /// Other zones.
    pub zones: Vec<DestinationDump<ZoneId>>,
}

/// What was learned of one place.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct DestinationDump<Id> {
    /// The place.
    pub id: Id,
    /// Own requests that haven't ended.
    #[serde(rename = "flights")]
    pub in_flight: usize,
    /// Ratio of observed to predicted times to the first token.
    pub ratio: f64,
    /// Whether failures keep it from being used.
    pub paused: bool,
}

impl Router {
    /// What was learned, as plain data.
    pub fn dump(&self, now: Time) -> RouterDump {
        let upstreams = self.upstreams.iter().map(|it| dump_place(now, it.id.clone(), &it.learned));
        let zones = self.zones.iter().map(|it| dump_place(now, it.id.clone(), &it.learned));
        RouterDump { upstreams: upstreams.collect(), zones: zones.collect() }
    }
}

fn dump_place<Id>(now: Time, id: Id, learned: &DestinationStats) -> DestinationDump<Id> {
    let (in_flight, ratio) = (learned.in_flight(), learned.bias(now));
    DestinationDump { id, in_flight, ratio, paused: learned.is_paused(now) }
}
