//! The rollout of a configuration revision, by zone.

use std::time::Duration;

use hyper::{Request, body::Incoming};
use medlarlug_core::{
    configuration_group::{Rollout, ZoneRollout},
    ids::{InstanceId, Revision},
    membership::Membership,
};

use crate::{
    coordination::{
        calls,
        node::Node,
        operators::{OperatorApi, status::millis},
    },
    protocol::operators::{Confirmations, ZoneConfirmation},
};

/// Time-out of the read from the leader of the configuration group.
const ROLLOUT_TIMEOUT: Duration = Duration::from_secs(2);

/// The rollout of the revision that the request names, or of the newest one.
///
/// The leader of the configuration group tracks it. While the leader can't be reached, the answer is
/// derived from the revisions that the peers of this process report.
pub(super) async fn confirmations(api: &OperatorApi, request: &Request<Incoming>) -> Confirmations {
    let revision = requested_revision(request);
    match calls::read_rollout(&api.node, revision, ROLLOUT_TIMEOUT).await {
        Ok(rollout) => confirmations_of(&api.node, &rollout),
        Err(error) => {
            tracing::debug!(%error, "confirmations taken from peers");
            confirmations_of_peers(api, revision)
        }
    }
}

/// The query parameter `revision`; `None` if it is missing or not a number.
fn requested_revision(request: &Request<Incoming>) -> Option<Revision> {
    let mut pairs = request.uri().query()?.split('&');
    let value = pairs.find_map(|it| it.strip_prefix("revision="))?;
    value.parse().ok().map(Revision)
}

fn confirmations_of(node: &Node, rollout: &Rollout) -> Confirmations {
    let members = node.members.borrow();
    let zone = |it: &ZoneRollout| {
        let instances = node.cluster.instances.iter().filter(|peer| peer.zone == it.zone);
        let reported =
            instances.filter_map(|peer| reported_revision(node, &members, &peer.id)).min();
        let revision = match it.pending.is_empty() {
            true => Some(reported.unwrap_or(rollout.revision).max(rollout.revision)),
            false => reported.filter(|reported| *reported < rollout.revision),
        };
        ZoneConfirmation { zone: it.zone.clone(), revision, missing: it.pending.clone() }
    };
    Confirmations {
        revision: rollout.revision,
        everywhere: rollout.is_complete(),
        leases_ms: Some(millis(rollout.leases)),
        zones: rollout.zones.iter().map(zone).collect(),
    }
}

/// The rollout according to the revisions that the peers of this process report.
fn confirmations_of_peers(api: &OperatorApi, revision: Option<Revision>) -> Confirmations {
    let node = &api.node;
    let members = node.members.borrow();
    let newest = members.highest_revision().max(node.follower.borrow().revision());
    let revision = revision.unwrap_or(newest);
    let zones = node.cluster.zones.iter().map(|zone| {
        let instances = node.cluster.instances.iter().filter(|it| it.zone == zone.id);
        let reported =
            instances.map(|it| (it.id.clone(), reported_revision(node, &members, &it.id)));
        let reported: Vec<(InstanceId, Option<Revision>)> = reported.collect();
        let missing = reported.iter().filter(|it| it.1.is_none_or(|it| it < revision));
        ZoneConfirmation {
            zone: zone.id.clone(),
            revision: reported.iter().filter_map(|it| it.1).min(),
            missing: missing.map(|it| it.0.clone()).collect(),
        }
    });
    Confirmations { revision, everywhere: false, leases_ms: None, zones: zones.collect() }
}

/// The own revision, or the one that a live peer reported last; `None` for other peers.
fn reported_revision(node: &Node, members: &Membership, id: &InstanceId) -> Option<Revision> {
    if *id == node.own.id {
        return Some(node.follower.borrow().revision());
    }
    let peer = members.peer(id)?;
    peer.is_live().then_some(peer.status.revision)
}
