//! Messages between the instances that watch each other.
//!
//! No message carries a wall-clock time: what it tells is dated by its age when it was sent.

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
    /// The sender is alive.
    Heartbeat(Heartbeat),
    /// News of upstreams of the sender's zone.
    Upstreams(Vec<UpstreamUpdate>),
    /// Asks for the whole announcement of upstreams that the sender doesn't know.
    Pull(Vec<UpstreamKey>),
    /// Summaries of zones, on their way through regions and zones.
    Summaries(Summaries),
    /// Entry instances of the sender's zone that are dead, for those who don't watch the zone.
    #[serde(rename = "Lost")]
    DeadPeers(Vec<DeadPeer>),
}

/// An instance that is dead.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeadPeer {
    /// The instance.
    pub id: InstanceId,
    /// The incarnation that died.
    pub incarnation: Incarnation,
}

/// Sign of life of an instance, and what it passes on with it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Load and state of the sender.
    pub status: Status,
    /// Hash of the upstreams and tombstones that the sender knows.
    pub digest: u32,
    /// News of upstreams, for entry instances of the sender's zone.
    #[serde(rename = "news")]
    pub updates: Vec<UpstreamUpdate>,
}

/// Short name of what an upstream announced besides its load: 32 bits of a hash of its id, its
/// incarnation and the rest.
///
/// Two upstreams of a zone that shared a key would be taken for each other in renewals.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct UpstreamKey(pub [u8; 4]);

/// What an instance tells of itself.
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

/// News of one upstream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum UpstreamUpdate {
    /// Everything known of it.
    Full {
        /// Its latest announcement.
        announcement: Box<Announcement>,
        /// Time since the announcement arrived.
        age: Duration,
    },
    /// A renewal that changes the load only.
    Renewal {
        /// The upstream, its incarnation and what it announced besides its load.
        key: UpstreamKey,
        /// Number of the announcement.
        sequence: u64,
        /// Time since the announcement arrived.
        age: Millis,
        /// The new load.
        load: LoadUpdate,
    },
    /// This incarnation takes no new work any more.
    Left {
        /// The upstream.
        id: UpstreamId,
        /// The incarnation that left.
        incarnation: Incarnation,
    },
}

/// A time in milliseconds, which takes fewer bytes than a [`Duration`].
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

/// A load report in few bytes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadUpdate {
    /// Time between the reading and the sending of the announcement.
    pub age: Millis,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Prompt tokens that wait to be processed.
    pub backlog: Tokens,
    /// Tokens generated a second.
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
    /// The report without its cache events, whose fingerprints are shortened.
    fn from(news: &LoadUpdate) -> LoadReport {
        LoadReport {
            age: news.age.into(),
            running: news.running,
            waiting: news.waiting,
            backlog: news.backlog,
            speed: f64::from(news.speed),
            cached: Vec::new(),
            evicted: Vec::new(),
        }
    }
}

/// Summaries of zones and how far they still travel.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Summaries {
    /// How far the receiver hands them on.
    pub scope: Scope,
    /// The summaries.
    pub zones: Vec<ZoneUpdate>,
}

/// How far a receiver hands a summary on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Scope {
    /// To the other zones of its region, and in its own zone.
    Region,
    /// In its own zone.
    Zone,
    /// To so many further instances of its zone, one after the other.
    Chain(u8),
}

/// Changes of one zone's summary.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ZoneUpdate {
    /// The zone.
    pub zone: ZoneId,
    /// The instance that made the summary.
    pub speaker: InstanceId,
    /// Time since it was made.
    pub age: Millis,
    /// Highest configuration revision in force in the zone.
    pub revision: Revision,
    /// Entry instances that callers may use, the least loaded first, and their load.
    pub entries: Vec<EntryLoad>,
    /// Rows that changed or are due for a refresh.
    pub rows: Vec<TargetSummary>,
}

/// Load of an entry instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryLoad {
    /// The instance.
    pub id: InstanceId,
    /// Requests in progress.
    pub load: u32,
}
