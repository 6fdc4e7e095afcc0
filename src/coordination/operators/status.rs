//! Read-only views of a process: status, upstreams, dump.

use std::time::Duration;

use medlarlug_core::membership::{PeerState, Target};
use serde_json::{Value, json};
use smol_str::SmolStr;

use crate::{
    coordination::operators::OperatorApi,
    protocol::operators::{PeerStatus, ProcessStatus, UpstreamStatus},
};

pub(super) fn status(api: &OperatorApi) -> ProcessStatus {
    let node = &api.node;
    let now = node.now();
    let members = node.members.borrow();
    let peers = members.peers().iter().map(|peer| PeerStatus {
        instance: peer.seed.id.clone(),
        state: state_name(peer.state).into(),
        age_ms: peer.age(now).map(millis),
    });
    let details = (api.details)();
    ProcessStatus {
        instance: node.own.id.clone(),
        kind: node.own.kind.name().into(),
        zone: node.own.zone.clone(),
        region: node.region.clone(),
        incarnation: node.incarnation,
        revision: node.follower.borrow().revision(),
        leaving: details.leaving,
        running: details.running,
        peers: peers.collect(),
        groups: details.groups,
    }
}

pub(super) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn state_name(state: PeerState) -> &'static str {
    match state {
        PeerState::NeverSeen => "unheard",
        PeerState::Up => "up",
        PeerState::Reconnecting { .. } => "reconnecting",
        PeerState::Dead { .. } => "dead",
    }
}

pub(super) fn upstreams(api: &OperatorApi) -> Vec<UpstreamStatus> {
    let node = &api.node;
    let now = node.now();
    let members = node.members.borrow();
    let upstreams = members.all_upstreams().iter().map(|it| {
        let announcement = &it.announcement;
        UpstreamStatus {
            id: announcement.id.clone(),
            zone: announcement.zone.clone(),
            address: announcement.address,
            serves: target_names(&it.targets()),
            slots: announcement.slots.0,
            running: announcement.load.running,
            waiting: announcement.load.waiting,
            leaving: announcement.leaving,
            age_ms: millis(now - it.received_at),
        }
    });
    upstreams.collect()
}

fn target_names(targets: &[Target]) -> SmolStr {
    let names: Vec<String> = targets.iter().map(|it| it.key().to_string()).collect();
    names.join(", ").into()
}

/// The summaries of other zones, for the dump.
fn zone_summaries(api: &OperatorApi) -> Vec<Value> {
    let now = api.node.now();
    let members = api.node.members.borrow();
    let zones = members.zones().iter().map(|zone| {
        let rows = zone.rows(now).map(|it| {
            json!({
                "target": it.summary.target.key().to_string(),
                "upstreams": it.summary.upstreams,
                "free": it.summary.free,
                "age_ms": millis(now - it.created_at),
            })
        });
        let rows: Vec<Value> = rows.collect();
        json!({ "zone": zone.zone, "region": zone.region, "targets": rows })
    });
    zones.collect()
}

pub(super) fn dump(api: &OperatorApi) -> Value {
    let node = &api.node;
    let confirmed = node.follower.borrow().confirmed_age(node.now());
    json!({
        "status": status(api),
        "confirmed_ms": confirmed.map(millis),
        "upstreams": upstreams(api),
        "zones": zone_summaries(api),
        "process": (api.dump)(),
    })
}
