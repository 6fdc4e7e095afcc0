//! What upstreams tell of themselves.
//!
//! There is no list of upstreams: each announces itself to entry instances of its availability
//! zone and renews the announcement, with a load report, well within its lease.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    fingerprint::Fingerprint,
    ids::{AdapterId, Incarnation, ModelId, ServiceId, UpstreamId, VersionId, ZoneId},
    units::{Slots, Tokens},
};

/// An upstream's description of itself and its latest load, sent as JSON to
/// `POST /v1/announce` of an entry instance's internal port.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The upstream.
    pub id: UpstreamId,
    /// Its incarnation: rises with each start.
    pub incarnation: Incarnation,
    /// Number of this announcement within the incarnation.
    pub sequence: u64,
    /// Availability zone in which it runs.
    pub zone: ZoneId,
    /// Address at which it takes requests.
    pub address: SocketAddr,
    /// What it serves.
    pub kind: UpstreamKind,
    /// Requests that it runs at once.
    pub slots: Slots,
    /// Whether it refuses orders that carry an old fencing number.
    pub fencing: bool,
    /// Whether it takes no new work because it is about to stop.
    pub leaving: bool,
    /// Its load when the report was made.
    pub load: LoadReport,
}

/// What an upstream serves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamKind {
    /// A model engine.
    Engine {
        /// Model versions that are loaded, sorted.
        models: Vec<LoadedModel>,
    },
    /// A plain service.
    Service {
        /// The service.
        service: ServiceId,
    },
}

/// A model version that an engine has loaded.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadedModel {
    /// The model.
    pub model: ModelId,
    /// Its version.
    pub version: VersionId,
    /// Adapters that are loaded beside it, sorted.
    #[serde(default)]
    pub adapters: Vec<AdapterId>,
}

/// An upstream's load, as it was `age` before the announcement was sent.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadReport {
    /// Time between the reading and the sending.
    pub age: Duration,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Prompt tokens that wait to be processed.
    pub backlog: Tokens,
    /// Tokens generated a second over the last reports.
    pub speed: f64,
    /// Prefixes that entered the cache since the last report; gaps are possible.
    #[serde(default)]
    pub cached: Vec<Fingerprint>,
    /// Prefixes that left the cache since the last report; gaps are possible.
    #[serde(default)]
    pub evicted: Vec<Fingerprint>,
}
