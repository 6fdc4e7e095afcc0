//! JSON of the operators' port.
//!
//! | request | answer |
//! | --- | --- |
//! | `GET /status` | [`ProcessStatus`] |
//! | `GET /upstreams` | list of [`UpstreamStatus`] |
//! | `GET /requests/{id}` | [`RequestRecord`](medlarlug_core::record::RequestRecord) |
//! | `GET /dump` | the state of the process, for reading only |
//! | `GET /release` | [`Configuration`](medlarlug_core::release::Configuration) |
//! | `GET /release/history` | list of [`AcceptedNote`], the oldest first |
//! | `GET /release/confirmations` | [`Confirmations`] |
//! | `POST /release/check`, `POST /release/apply` | takes a [`RawNote`](medlarlug_core::release::RawNote), answers [`AcceptedNote`] |
//! | `POST /drain` | empty object |
//! | `PUT /log-level` | takes and answers [`LevelChange`] |
//!
//! Whatever is refused is answered by a [`Problem`](crate::protocol::Problem).

use std::net::SocketAddr;

use medlarlug_core::ids::{
    Incarnation, InstanceId, OperatorId, RegionId, ReleaseNumber, Revision, UpstreamId, ZoneId,
};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::telemetry::logs::LogLevel;

/// What a process tells of itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ProcessStatus {
    /// The instance.
    pub instance: InstanceId,
    /// `entry` or `keeper`.
    pub kind: SmolStr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its region.
    pub region: RegionId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Configuration revision in force there.
    pub revision: Revision,
    /// Whether it drains.
    pub leaving: bool,
    /// Requests that run there.
    pub running: u64,
    /// The instances that it knows, sorted by id.
    pub peers: Vec<PeerStatus>,
    /// The replication groups in which it votes.
    pub groups: Vec<GroupStatus>,
}

/// What a process knows of another one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// The instance.
    pub instance: InstanceId,
    /// `up`, `reconnecting`, `dead` or `unheard`.
    pub state: SmolStr,
    /// Age of that knowledge in milliseconds, if there is any.
    pub age_ms: Option<u64>,
}

/// What a voter knows of its replication group.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GroupStatus {
    /// The group: `configuration` or `home-REGION`.
    pub group: SmolStr,
    /// `leader`, `follower` or `candidate`.
    pub role: SmolStr,
    /// Its term.
    pub term: u64,
    /// The leader, if it knows one.
    pub leader: Option<InstanceId>,
    /// The voters as this process knows them, as `instance@storage`.
    pub voters: Vec<SmolStr>,
    /// Index of the last committed entry.
    pub committed: u64,
}

/// What an entry instance knows of an upstream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// The upstream.
    pub id: UpstreamId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its models with versions, or its service.
    pub serves: SmolStr,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Requests that run there, as last reported.
    pub running: u32,
    /// Requests that wait there, as last reported.
    pub waiting: u32,
    /// Whether it leaves.
    pub leaving: bool,
    /// Age of the report in milliseconds.
    pub age_ms: u64,
}

/// A release note that was accepted, or that `check` found acceptable.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedNote {
    /// Number of the note.
    pub number: ReleaseNumber,
    /// Operator who applied it.
    pub operator: OperatorId,
    /// Revision that it produced, or would produce.
    pub revision: Revision,
}

/// Where which revision is in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirmations {
    /// The revision in question; the newest accepted one if none was named.
    pub revision: Revision,
    /// Whether it is in force everywhere: confirmed by every instance, or the configuration leases
    /// of the others have run out.
    pub everywhere: bool,
    /// Milliseconds until these leases have run out; `None` when the configuration group could
    /// not be asked.
    pub leases_ms: Option<u64>,
    /// The zones, sorted by id.
    pub zones: Vec<ZoneConfirmation>,
}

/// Which revision is in force in one availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneConfirmation {
    /// The zone.
    pub zone: ZoneId,
    /// Lowest revision in force at an instance of the zone; `None` when none was heard of.
    pub revision: Option<Revision>,
    /// Instances of the zone that have not confirmed the revision in question.
    pub missing: Vec<InstanceId>,
}

/// The level of a process's logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LevelChange {
    /// Least severe events that are written.
    pub level: LogLevel,
}
