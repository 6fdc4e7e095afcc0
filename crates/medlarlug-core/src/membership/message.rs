//! Messages between the instances that watch each other.
//!
//! No message carries a wall-clock time: what it tells is dated by its age when it was sent.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    announcement::{Announcement, LoadReport},
    ids::{Incarnation, InstanceId, Revision, UpstreamId, ZoneId},
    membership::summary::TargetSummary,
};

/// A message from one instance to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The sender is alive.
    Heartbeat(Heartbeat),
    /// News of upstreams of the sender's zone.
    Upstreams(Vec<UpstreamNews>),
    /// Asks for the whole announcement of upstreams that the sender doesn't know.
    Pull(Vec<UpstreamId>),
    /// Summaries of zones, on their way through regions and zones.
    Summaries(Summaries),
}

/// Sign of life of an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Load and state of the sender.
    pub status: Status,
    /// Hash of the upstreams and tombstones that the sender knows.
    pub digest: u32,
}

/// What an instance tells of itself.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Requests in progress.
    pub load: u32,
    /// Revision of the configuration in force.
    pub revision: Revision,
    /// Whether it is about to stop.
    pub leaving: bool,
}

/// News of one upstream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum UpstreamNews {
    /// Everything known of it.
    Full {
        /// Its latest announcement.
        announcement: Box<Announcement>,
        /// Time since the announcement arrived.
        age: Duration,
    },
    /// A renewal that changes the load only.
    Renewal {
        /// The upstream.
        id: UpstreamId,
        /// Its incarnation.
        incarnation: Incarnation,
        /// Number of the announcement.
        sequence: u64,
        /// Hash of what the upstream announced besides its load.
        shape: u32,
        /// Time since the announcement arrived.
        age: Duration,
        /// The new load.
        load: LoadReport,
    },
    /// This incarnation takes no new work any more.
    Left {
        /// The upstream.
        id: UpstreamId,
        /// The incarnation that left.
        incarnation: Incarnation,
    },
}

impl UpstreamNews {
    /// The upstream that it is about.
    pub fn id(&self) -> &UpstreamId {
        match self {
            UpstreamNews::Full { announcement, .. } => &announcement.id,
            UpstreamNews::Renewal { id, .. } | UpstreamNews::Left { id, .. } => id,
        }
    }
}

/// Summaries of zones and how far they still travel.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Summaries {
    /// How far the receiver hands them on.
    pub scope: Scope,
    /// The summaries.
    pub zones: Vec<ZoneNews>,
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
pub struct ZoneNews {
    /// The zone.
    pub zone: ZoneId,
    /// The instance that made the summary.
    pub speaker: InstanceId,
    /// Time since it was made.
    pub age: Duration,
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
