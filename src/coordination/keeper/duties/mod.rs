//! Background tasks of a keeper, most of which run only while it leads a group.
//!
//! * Every member of the configuration group passes new revisions to its own follower; the leader
//!   also pushes them to every instance. The leader confirms the newest revision by a linearizable
//!   read; the other members request the confirmation from the leader.
//! * The leader of a home group founds it (`founding`), fetches the bookings of teams whose home
//!   region moves here (`moves`), records which bookings have a dead owner (`owners`) and has
//!   services queried about bookings of unknown outcome (`outcomes`).
//! * The leader of the configuration group tracks the rollout of revisions to the instances, and
//!   removes items that have drained ([`confirmations`]).

pub mod confirmations;
mod founding;
mod moves;
mod outcomes;
mod owners;

use std::{rc::Rc, time::Duration};

use medlarlug_core::follower::{self, Sources};
use tokio::{sync::watch, task, time::interval};

use crate::{
    coordination::{
        calls,
        keeper::{Keeper, machine::StateMachine},
    },
    protocol::{GroupId, GroupReply, GroupRequest, Message},
};

/// Interval at which a task checks for work.
const TASK_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between two batches of queries about bookings of unknown outcome.
const OUTCOME_QUERY_INTERVAL: Duration = Duration::from_secs(2);

/// Time-out of a task's call to a replication group, retries included.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

pub use owners::record_dead_instance;

/// Starts the background tasks, which run until `stop` turns true.
///
/// Each job runs in its own task, so that a group without a leader doesn't delay the others.
pub fn start(keeper: &Rc<Keeper>, stop: &watch::Receiver<bool>) {
    task::spawn_local(distribute_updates(keeper.clone(), stop.clone()));
    task::spawn_local(confirm_periodically(keeper.clone(), stop.clone()));
    task::spawn_local(confirmations::run(keeper.clone(), stop.clone()));
    for group in keeper.group_ids() {
        if let GroupId::Home(region) = group {
            task::spawn_local(founding::run(keeper.clone(), region.clone(), stop.clone()));
            task::spawn_local(moves::run(keeper.clone(), region.clone(), stop.clone()));
            task::spawn_local(owners::run(keeper.clone(), region.clone(), stop.clone()));
            task::spawn_local(outcomes::run(keeper.clone(), region, stop.clone()));
        }
    }
}

async fn distribute_updates(keeper: Rc<Keeper>, mut stop: watch::Receiver<bool>) {
    let mut changes = keeper.changes();
    loop {
        distribute_update(&keeper);
        tokio::select! {
            _ = changes.changed() => {}
            _ = stop.wait_for(|stop| *stop) => return,
        }
    }
}

async fn confirm_periodically(keeper: Rc<Keeper>, mut stop: watch::Receiver<bool>) {
    let mut ticks = interval(TASK_INTERVAL);
    loop {
        tokio::select! {
            _ = ticks.tick() => confirm(&keeper).await,
            _ = stop.wait_for(|stop| *stop) => return,
        }
    }
}

/// Passes a revision that is new in the configuration group to the own follower, and to all other
/// instances if this keeper leads the group.
fn distribute_update(keeper: &Keeper) {
    let group = GroupId::Configuration;
    let node = &keeper.node;
    let revision = node.follower.borrow().revision();
    let request = follower::UpdateRequest { token: 0, revision, full: false };
    let update = keeper.with_state_machine(&group, |machine| match machine {
        StateMachine::Configuration(machine) => machine.update_for(&request),
        StateMachine::Home(_) | StateMachine::Publication(_) => None,
    });
    let Some(update) = update.flatten() else { return };
    node.apply_update(update.clone());
    if keeper.leads(&group) {
        for peer in node.cluster.instances.iter().filter(|it| it.id != node.own.id) {
            node.send(&peer.id, Message::Push(Box::new(update.clone())));
        }
    }
}

/// Where a member of the configuration group sends its update requests: to the leader, or to the
/// other voters while no leader is known.
fn update_sources(keeper: &Keeper) -> Sources {
    let own = &keeper.node.own.id;
    let leader = keeper.leader(&GroupId::Configuration).filter(|it| it != own);
    let others = || keeper.node.cluster.configuration.iter().filter(|it| *it != own).cloned();
    let voters = leader.map_or_else(|| others().collect(), |leader| vec![leader]);
    Sources { voters, peers: Vec::new() }
}

/// Confirms the newest revision by a linearizable read, which fails if this leader was replaced.
///
/// The followers of the other members request the confirmation from the leader.
async fn confirm(keeper: &Keeper) {
    let group = GroupId::Configuration;
    let node = &keeper.node;
    if !keeper.group_ids().contains(&group) {
        return;
    }
    node.set_update_sources(update_sources(keeper));
    if !keeper.leads(&group) {
        return;
    }
    let read_started_at = node.now();
    match calls::submit(node, &group, GroupRequest::Revision, CALL_TIMEOUT).await {
        Ok(GroupReply::Revision(revision)) => {
            let age = node.now() - read_started_at;
            node.apply_confirmation(follower::Confirmation { revision, age });
        }
        Ok(reply) => tracing::warn!(?reply, "configuration not confirmed"),
        Err(error) => tracing::debug!(%error, "configuration not confirmed"),
    }
}
