//! Where a revision of the configuration is in force, zone by zone.

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

/// Time that the question for confirmations may take.
const FORCE_LIMIT: Duration = Duration::from_secs(2);

/// Where the revision named by the request, or else the newest one, is in force.
///
/// The leader of the configuration group knows it. While it can't be asked, the answer is what
/// this process's peers told it.
pub(super) async fn confirmations(api: &OperatorApi, request: &Request<Incoming>) -> Confirmations {
    let revision = revision_of(request);
    match calls::read_rollout(&api.node, revision, FORCE_LIMIT).await {
        Ok(force) => confirmations_of(&api.node, &force),
        Err(error) => {
            tracing::debug!(%error, "confirmations taken from peers");
            heard_confirmations(api, revision)
        }
    }
}

/// The value of `revision` in the query.
fn revision_of(request: &Request<Incoming>) -> Option<Revision> {
    let mut pairs = request.uri().query()?.split('&');
    let value = pairs.find_map(|it| it.strip_prefix("revision="))?;
    value.parse().ok().map(Revision)
}

fn confirmations_of(node: &Node, force: &Rollout) -> Confirmations {
    let members = node.members.borrow();
    let zone = |it: &ZoneRollout| {
        let instances = node.cluster.instances.iter().filter(|peer| peer.zone == it.zone);
        let told = instances.filter_map(|peer| told_revision(node, &members, &peer.id)).min();
        let revision = match it.pending.is_empty() {
            true => Some(told.unwrap_or(force.revision).max(force.revision)),
            false => told.filter(|told| *told < force.revision),
        };
        ZoneConfirmation { zone: it.zone.clone(), revision, missing: it.pending.clone() }
    };
    Confirmations {
        revision: force.revision,
        everywhere: force.is_complete(),
        leases_ms: Some(millis(force.leases)),
        zones: force.zones.iter().map(zone).collect(),
    }
}

/// The revision in force in each zone, as this process's peers told it.
fn heard_confirmations(api: &OperatorApi, revision: Option<Revision>) -> Confirmations {
    let node = &api.node;
    let members = node.members.borrow();
    let newest = members.highest_revision().max(node.follower.borrow().revision());
    let revision = revision.unwrap_or(newest);
    let zones = node.cluster.zones.iter().map(|zone| {
        let instances = node.cluster.instances.iter().filter(|it| it.zone == zone.id);
        let told = instances.map(|it| (it.id.clone(), told_revision(node, &members, &it.id)));
        let told: Vec<(InstanceId, Option<Revision>)> = told.collect();
        let missing = told.iter().filter(|it| it.1.is_none_or(|it| it < revision));
        ZoneConfirmation {
            zone: zone.id.clone(),
            revision: told.iter().filter_map(|it| it.1).min(),
            missing: missing.map(|it| it.0.clone()).collect(),
        }
    });
    Confirmations { revision, everywhere: false, leases_ms: None, zones: zones.collect() }
}

/// The revision of an instance; `None` while it is not heard.
fn told_revision(node: &Node, members: &Membership, id: &InstanceId) -> Option<Revision> {
    if *id == node.own.id {
        return Some(node.follower.borrow().revision());
    }
    let peer = members.peer(id)?;
    peer.is_live().then_some(peer.status.revision)
}
