//! JSON types of the operators' port.
//!
//! | request | response |
//! | --- | --- |
//! | `GET /status` | [`ProcessStatus`] |
//! | `GET /upstreams` | list of [`UpstreamStatus`] |
//! | `GET /requests/{id}` | [`RequestRecord`](medlarlug_core::record::RequestRecord) |
//! | `GET /dump` | the complete state of the process, read-only |
//! | `GET /release` | [`Configuration`](medlarlug_core::release::Configuration) |
//! | `GET /release/history` | list of [`AcceptedNote`], the oldest first |
//! | `GET /release/confirmations` | [`Confirmations`] |
//! | `POST /release/check`, `POST /release/apply` | [`AcceptedNote`] for a [`RawNote`](medlarlug_core::release::RawNote) in the body |
//! | `POST /drain` | empty object |
//! | `PUT /log-level` | [`LevelChange`], as in the body |
//!
//! A refused request is answered with a [`Problem`](crate::protocol::Problem).

use std::net::SocketAddr;

use medlarlug_core::ids::{
    Incarnation, InstanceId, OperatorId, RegionId, ReleaseNumber, Revision, UpstreamId, ZoneId,
};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::telemetry::logs::LogLevel;

/// State of a process as it reports it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ProcessStatus {
    /// Id of the reporting instance in the cluster file.
    pub instance: InstanceId,
    /// `entry` or `keeper`.
    pub kind: SmolStr,
    /// Availability zone in which the cluster file places the process.
    pub zone: ZoneId,
    /// Region to which that availability zone belongs.
    pub region: RegionId,
    /// Number of this start of the process; later starts have higher ones.
    pub incarnation: Incarnation,
    /// Configuration revision in effect in the process.
    pub revision: Revision,
    /// Whether it is draining.
    pub leaving: bool,
    /// Requests in flight in the process.
    pub running: u64,
    /// The instances known to it, sorted by id.
    pub peers: Vec<PeerStatus>,
    /// The replication groups of which it is a voter.
    pub groups: Vec<GroupStatus>,
}

/// State of another instance as a process knows it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Id of the instance that the state is about.
    pub instance: InstanceId,
    /// `up`, `reconnecting`, `dead` or `unheard`.
    pub state: SmolStr,
    /// Age of this information in milliseconds; `None` if there is none.
    pub age_ms: Option<u64>,
}

/// State of a replication group as one of its voters knows it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GroupStatus {
    /// The group: `configuration` or `home-REGION`.
    pub group: SmolStr,
    /// `leader`, `follower` or `candidate`.
    pub role: SmolStr,
    /// Current term of this voter.
    pub term: u64,
    /// The leader, if it is known.
    pub leader: Option<InstanceId>,
    /// The voters known to this process, each as `instance@storage`.
    pub voters: Vec<SmolStr>,
    /// Index of the last committed entry.
    pub committed: u64,
}

/// State of an upstream as an entry instance knows it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// The upstream.
    pub id: UpstreamId,
    /// Availability zone in which it runs, according to its announcement.
    pub zone: ZoneId,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Its models with versions, or its service.
    pub serves: SmolStr,
    /// Requests that it can run at the same time.
    pub slots: u32,
    /// Running requests in the last load report.
    pub running: u32,
    /// Queued requests in the last load report.
    pub waiting: u32,
    /// Whether it has announced that it is leaving.
    pub leaving: bool,
    /// Age of the load report in milliseconds.
    pub age_ms: u64,
}

/// A release note that was accepted, or that `check` found acceptable.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedNote {
    /// Number of the note.
    pub number: ReleaseNumber,
    /// Operator who submitted the note.
    pub operator: OperatorId,
    /// Revision that the note produced, or would produce.
    pub revision: Revision,
}

/// Which revision is in effect in which zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirmations {
    /// The requested revision; the newest accepted one if the request named none.
    pub revision: Revision,
    /// Whether it is in effect everywhere: every instance has confirmed it, or the configuration
    /// leases of the others have expired.
    pub everywhere: bool,
    /// Milliseconds until these leases expire; `None` when the configuration group could not be
    /// reached.
    pub leases_ms: Option<u64>,
    /// The zones, sorted by id.
    pub zones: Vec<ZoneConfirmation>,
}

/// Which revision is in effect in one availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneConfirmation {
    /// Availability zone whose instances are summarized.
    pub zone: ZoneId,
    /// Lowest revision in effect at an instance of the zone; `None` when no instance has reported one.
    pub revision: Option<Revision>,
    /// Instances of the zone that have not confirmed the requested revision.
    pub missing: Vec<InstanceId>,
}

/// The log level of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LevelChange {
    /// Events of this level and above are logged.
    pub level: LogLevel,
}
