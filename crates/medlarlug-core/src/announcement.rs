//! The announcements by which upstreams register and report their load.
//!
//! There is no configured list of upstreams: each announces itself to entry instances of its availability
//! zone, and renews the announcement, with a load report, well within its lease.

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
    /// Id of the upstream.
    pub id: UpstreamId,
    /// Incarnation of the upstream, which rises with each start.
    pub incarnation: Incarnation,
    /// Sequence number of the announcement within the incarnation.
    pub sequence: u64,
    /// Availability zone in which the upstream runs.
    pub zone: ZoneId,
    /// Address at which the upstream accepts requests.
    pub address: SocketAddr,
    /// Models or service that the upstream serves.
    pub kind: UpstreamKind,
    /// Maximum number of requests that the upstream runs at once.
    pub slots: Slots,
    /// Whether the upstream refuses orders with an outdated fencing token.
    pub fencing: bool,
    /// Whether the upstream accepts no new requests because it is shutting down.
    pub leaving: bool,
    /// Load of the upstream when the report was made.
    pub load: LoadReport,
}

/// The kind of an upstream and what it serves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamKind {
    /// An inference engine, which can be sent orders.
    Engine {
        /// Loaded model versions, sorted.
        models: Vec<LoadedModel>,
    },
    /// A service that is no inference engine.
    Service {
        /// Service whose requests may be routed to the upstream.
        service: ServiceId,
    },
}

/// A model version that an engine has loaded.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadedModel {
    /// Model, listed once for each of its loaded versions.
    pub model: ModelId,
    /// Version of the model.
    pub version: VersionId,
    /// Adapters that are loaded for the model, sorted.
    #[serde(default)]
    pub adapters: Vec<AdapterId>,
}

/// The load of an upstream, measured `age` before the announcement was sent.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadReport {
    /// Time between the measurement and the sending of the announcement.
    pub age: Duration,
    /// Number of running requests.
    pub running: u32,
    /// Number of requests that wait for a slot.
    pub waiting: u32,
    /// Prompt tokens that wait for prefill.
    pub backlog: Tokens,
    /// Tokens generated per second, averaged over the last reports.
    pub speed: f64,
    /// Prefixes added to the cache since the last report; the list may be incomplete.
    #[serde(default)]
    pub cached: Vec<Fingerprint>,
    /// Prefixes evicted from the cache since the last report; the list may be incomplete.
    #[serde(default)]
    pub evicted: Vec<Fingerprint>,
}
