//! The membership view as plain data, for the state dump that operators request.

use std::time::Duration;

use serde::Serialize;

use crate::{
    ids::{Incarnation, InstanceId, RegionId, Revision, UpstreamId, ZoneId},
    membership::{
        EntryLoad, Peer, PeerState, Status, TargetSummary, Upstream, ZoneView, core::Membership,
    },
    time::Time,
};

/// An instance's membership view at one moment.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct MembershipDump {
    /// The instance.
    pub own: InstanceId,
    /// Load and state of the instance.
    pub status: Status,
    /// Whether it sends the summaries of its zone.
    pub speaker: bool,
    /// Known upstreams of its zone.
    pub upstreams: Vec<UpstreamDump>,
    /// Tombstones of upstreams that left or whose lease expired.
    pub tombstones: usize,
    /// Instances that it watches by heartbeats.
    pub peers: Vec<PeerDump>,
    /// Other zones.
    pub zones: Vec<ZoneDump>,
}

/// One upstream of the own zone.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct UpstreamDump {
    /// The upstream.
    pub id: UpstreamId,
    /// Incarnation that sent its latest announcement.
    pub incarnation: Incarnation,
    /// Sequence number of its latest announcement.
    pub sequence: u64,
    /// Time since that announcement reached the zone.
    pub age: Duration,
    /// Whether it accepts new requests.
    pub usable: bool,
    /// Requests in progress, by its load report.
    pub running: u32,
    /// Requests that wait for a slot, by its load report.
    pub waiting: u32,
}

/// One watched instance.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct PeerDump {
    /// The instance.
    pub id: InstanceId,
    /// Highest incarnation that it has reported; 0 before its first heartbeat.
    pub incarnation: Incarnation,
    /// Whether it counts as alive.
    pub live: bool,
    /// Whether its connection was unresponsive and has been replaced.
    pub reconnecting: bool,
    /// Load and state by its latest heartbeat.
    pub status: Status,
}

/// One other zone.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ZoneDump {
    /// Id of the zone; never that of the instance's own zone.
    pub zone: ZoneId,
    /// Region of the zone, by the settings of the instance.
    pub region: RegionId,
    /// Age of its latest summary; `None` if none was received.
    pub age: Option<Duration>,
    /// Highest configuration revision in force there, by its summaries.
    pub revision: Revision,
    /// Entry instances named by its latest summary.
    pub entries: Vec<EntryLoad>,
    /// Rows of its summaries that are younger than their lifetime.
    pub rows: Vec<TargetSummary>,
}

impl Membership {
    /// The current view; ages are relative to `now`.
    pub fn dump(&self, now: Time) -> MembershipDump {
        MembershipDump {
            own: self.settings.own.id.clone(),
            status: self.status,
            speaker: self.is_speaker(),
            upstreams: self.all_upstreams().iter().map(|it| dump_upstream(now, it)).collect(),
            tombstones: self.tombstones(),
            peers: self.peers().iter().map(dump_peer).collect(),
            zones: self.zones().iter().map(|it| dump_zone(now, it)).collect(),
        }
    }
}

fn dump_upstream(now: Time, upstream: &Upstream) -> UpstreamDump {
    let announcement = &upstream.announcement;
    UpstreamDump {
        id: announcement.id.clone(),
        incarnation: announcement.incarnation,
        sequence: announcement.sequence,
        age: now - upstream.received_at,
        usable: upstream.is_usable(now),
        running: announcement.load.running,
        waiting: announcement.load.waiting,
    }
}

fn dump_peer(peer: &Peer) -> PeerDump {
    PeerDump {
        id: peer.seed.id.clone(),
        incarnation: peer.incarnation,
        live: peer.is_live(),
        reconnecting: matches!(peer.state, PeerState::Reconnecting { .. }),
        status: peer.status,
    }
}

fn dump_zone(now: Time, zone: &ZoneView) -> ZoneDump {
    ZoneDump {
        zone: zone.zone.clone(),
        region: zone.region.clone(),
        age: zone.created_at.map(|created_at| now - created_at),
        revision: zone.revision,
        entries: zone.entries.clone(),
        rows: zone.rows(now).map(|it| it.summary.clone()).collect(),
    }
}
