//! What the router has learned as plain data, for the state dump that operators ask for.

use serde::Serialize;

use crate::{
    ids::{UpstreamId, ZoneId},
    routing::{destination_stats::Learned, router::Router},
    time::Time,
};

/// What the router has learned at one moment.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RouterDump {
    /// Upstreams of the own zone.
    pub upstreams: Vec<LearnedDump<UpstreamId>>,
    /// Other zones.
    pub zones: Vec<LearnedDump<ZoneId>>,
}

/// What was learned of one place.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct LearnedDump<Id> {
    /// The place.
    pub id: Id,
    /// Own requests that haven't ended.
    pub flights: usize,
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

fn dump_place<Id>(now: Time, id: Id, learned: &Learned) -> LearnedDump<Id> {
    let (flights, ratio) = (learned.in_flight(), learned.bias(now));
    LearnedDump { id, flights, ratio, paused: learned.is_paused(now) }
}
