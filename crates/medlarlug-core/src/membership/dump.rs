//! The view as plain data, for the state dump that operators ask for.

use std::time::Duration;

use serde::Serialize;

use crate::{
    ids::{Incarnation, InstanceId, RegionId, Revision, UpstreamId, ZoneId},
    membership::{
        EntryLoad, Peer, PeerState, Status, TargetSummary, Upstream, ZoneView, core::Membership,
    },
    time::Time,
};

/// What an instance knows at one moment.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct MembershipDump {
    /// The instance.
    pub own: InstanceId,
    /// Its status.
    pub status: Status,
    /// Whether it sends the summaries of its zone.
    pub speaker: bool,
    /// Upstreams of its zone.
    pub upstreams: Vec<UpstreamDump>,
    /// Number of tombstones.
    pub tombstones: usize,
    /// Instances that it watches.
    pub peers: Vec<PeerDump>,
    /// Other zones.
    pub zones: Vec<ZoneDump>,
}

/// What is known of one upstream.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct UpstreamDump {
    /// The upstream.
    pub id: UpstreamId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Number of its latest announcement.
    pub sequence: u64,
    /// Age of that announcement.
    pub age: Duration,
    /// Whether it takes new work.
    pub usable: bool,
    /// Requests that run, by its report.
    pub running: u32,
    /// Requests that wait, by its report.
    pub waiting: u32,
}

/// What is known of one instance.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct PeerDump {
    /// The instance.
    pub id: InstanceId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Whether it counts as alive.
    pub live: bool,
    /// Whether its connection was silent and has been replaced.
    pub reconnecting: bool,
    /// Its latest status.
    pub status: Status,
}

/// What is known of one zone.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ZoneDump {
    /// The zone.
    pub zone: ZoneId,
    /// Its region.
    pub region: RegionId,
    /// Age of its latest summary.
    pub age: Option<Duration>,
    /// Highest configuration revision in force in it.
    pub revision: Revision,
    /// Entry instances that it names.
    pub entries: Vec<EntryLoad>,
    /// What it can do, as far as younger than the lifetime.
    pub rows: Vec<TargetSummary>,
}

impl Membership {
    /// The view as plain data.
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
