//! Messages between the instances that watch each other.
//!
//! No message carries a wall-clock time. Contents are dated by their age at the time of sending.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    announcement::{Announcement, LoadReport},
    fingerprint::Fingerprint,
    ids::{Incarnation, InstanceId, Revision, UpstreamId, ZoneId},
    membership::{ShortFingerprint, summary::TargetSummary},
    units::Tokens,
};

/// A message from one instance to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Shows that the sender is alive.
    Heartbeat(Heartbeat),
    /// Updates on upstreams of the sender's zone, sent between heartbeats.
    Upstreams(Vec<UpstreamUpdate>),
    /// Requests the full announcements of upstreams that the sender doesn't know.
    Pull(Vec<UpstreamKey>),
    /// Summaries of zones, forwarded through regions and zones.
    Summaries(Summaries),
    /// Dead entry instances of the sender's zone, for keepers that don't watch the zone.
    #[serde(rename = "Lost")]
    DeadPeers(Vec<DeadPeer>),
}

/// An instance that is reported as dead.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeadPeer {
    /// Id of the instance.
    pub id: InstanceId,
    /// Incarnation that is dead; a later one may be alive.
    pub incarnation: Incarnation,
}

/// Periodic message that shows that the sender is alive, with its status and its updates on
/// upstreams.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Incarnation of the sender; heartbeats of earlier ones are ignored.
    pub incarnation: Incarnation,
    /// Load and state of the sender.
    pub status: Status,
    /// Hash of the upstreams that the sender knows.
    pub digest: u32,
    /// Updates on upstreams, for entry instances of the sender's zone only.
    #[serde(rename = "news")]
    pub updates: Vec<UpstreamUpdate>,
}

/// Short key of what an upstream announced besides its load: a 32-bit hash of its id, its
/// incarnation and the other properties.
///
/// If two upstreams of a zone shared a key, renewals of one would be applied to the other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct UpstreamKey(pub [u8; 4]);

/// Load and state that an instance reports of itself.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Requests in progress.
    pub load: u32,
    /// Revision of the configuration in force.
    pub revision: Revision,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// Whether it has just started and should get callers only when no other instance is ready.
    pub settling: bool,
}

/// An update on one upstream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum UpstreamUpdate {
    /// All that is known of the upstream.
    Full {
        /// Latest announcement of the upstream that the sender knows.
        announcement: Box<Announcement>,
        /// Time since the announcement arrived.
        age: Duration,
    },
    /// A renewal of the lease that changes nothing but the load.
    Renewal {
        /// Identifies the upstream, its incarnation and the properties besides its load.
        key: UpstreamKey,
        /// Sequence number of the announcement.
        sequence: u64,
        /// Time since the announcement arrived.
        age: Millis,
        /// Load in that announcement, and the cache events not sent before.
        load: LoadUpdate,
    },
    /// This incarnation accepts no new requests any more.
    Left {
        /// Id of the upstream.
        id: UpstreamId,
        /// The incarnation that left.
        incarnation: Incarnation,
    },
}

/// A time in milliseconds, which is encoded in fewer bytes than a [`Duration`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Millis(pub u32);

impl From<Duration> for Millis {
    fn from(duration: Duration) -> Millis {
        Millis(u32::try_from(duration.as_millis()).unwrap_or(u32::MAX))
    }
}

impl From<Millis> for Duration {
    fn from(millis: Millis) -> Duration {
        Duration::from_millis(u64::from(millis.0))
    }
}

/// A load report in a compact encoding.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadUpdate {
    /// Time between the measurement of the load and the sending of the announcement.
    pub age: Millis,
    /// Requests in progress.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Prompt tokens that wait to be processed.
    pub backlog: Tokens,
    /// Tokens generated per second.
    pub speed: u32,
    /// Prefixes that entered the cache.
    pub cached: Vec<ShortFingerprint>,
    /// Prefixes that left the cache.
    pub evicted: Vec<ShortFingerprint>,
}

impl From<&LoadReport> for LoadUpdate {
    fn from(load: &LoadReport) -> LoadUpdate {
        let short = |prints: &[Fingerprint]| prints.iter().map(|it| (*it).into()).collect();
        LoadUpdate {
            age: load.age.into(),
            running: load.running,
            waiting: load.waiting,
            backlog: load.backlog,
            speed: load.speed as u32,
            cached: short(&load.cached),
            evicted: short(&load.evicted),
        }
    }
}

impl From<&LoadUpdate> for LoadReport {
    /// The report without its cache events, of which only shortened fingerprints are sent.
    fn from(update: &LoadUpdate) -> LoadReport {
        LoadReport {
            age: update.age.into(),
            running: update.running,
            waiting: update.waiting,
            backlog: update.backlog,
            speed: f64::from(update.speed),
            cached: Vec::new(),
            evicted: Vec::new(),
        }
    }
}

/// Summaries of zones, and how far they are still to be forwarded.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Summaries {
    /// How far the receiver forwards them.
    pub scope: Scope,
    /// The summaries.
    pub zones: Vec<ZoneUpdate>,
}

/// How far a receiver forwards a summary.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Scope {
    /// To the other zones of its region, and in its own zone.
    Region,
    /// In its own zone.
    Zone,
    /// To this number of further instances of its zone, each of which forwards it to the next.
    Chain(u8),
}

/// Changes of one zone's summary.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ZoneUpdate {
    /// Zone that the summary describes; the sender may be in another one.
    pub zone: ZoneId,
    /// The instance that created the summary.
    pub speaker: InstanceId,
    /// Time since the summary was created.
    pub age: Millis,
    /// Highest configuration revision in force in the zone.
    pub revision: Revision,
    /// Entry instances that accept callers, the least loaded first; not necessarily all.
    pub entries: Vec<EntryLoad>,
    /// Rows that changed or are due for a refresh; the others stay as they were sent before.
    pub rows: Vec<TargetSummary>,
}

/// An entry instance and its load.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryLoad {
    /// Id of the instance.
    pub id: InstanceId,
    /// Requests in progress.
    pub load: u32,
}
