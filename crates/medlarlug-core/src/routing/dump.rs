//! The router's statistics as plain data, for the state dump that operators request.

use serde::Serialize;

use crate::{
    ids::{UpstreamId, ZoneId},
    routing::{destination_stats::DestinationStats, router::Router},
    time::Time,
};

/// The router's statistics at one moment.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RouterDump {
    /// Upstreams of the own zone.
    pub upstreams: Vec<DestinationDump<UpstreamId>>,
    /// Other zones.
    pub zones: Vec<DestinationDump<ZoneId>>,
}

/// Statistics of one destination: an upstream of the own zone, or another zone.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct DestinationDump<Id> {
    /// The upstream or zone.
    pub id: Id,
    /// Requests that this instance sent to it and that haven't ended.
    #[serde(rename = "flights")]
    pub in_flight: usize,
    /// Ratio of the observed to the predicted time to the first token; 1.0 without observations.
    pub ratio: f64,
    /// Whether it is in a cool-down after failures, so that routing avoids it.
    pub paused: bool,
}

impl Router {
    /// Statistics of every upstream and zone that the router knows.
    pub fn dump(&self, now: Time) -> RouterDump {
        let upstreams =
            self.upstreams.iter().map(|it| dump_destination(now, it.id.clone(), &it.stats));
        let zones = self.zones.iter().map(|it| dump_destination(now, it.id.clone(), &it.stats));
        RouterDump { upstreams: upstreams.collect(), zones: zones.collect() }
    }
}

fn dump_destination<Id>(now: Time, id: Id, stats: &DestinationStats) -> DestinationDump<Id> {
    let (in_flight, ratio) = (stats.in_flight(), stats.latency_ratio(now));
    DestinationDump { id, in_flight, ratio, paused: stats.is_cooling_down(now) }
}
