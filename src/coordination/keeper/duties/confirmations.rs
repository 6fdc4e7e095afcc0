//! Rollout of revisions to the instances, tracked by the leader of the configuration group, and the
//! removal of drained items once it is complete.
//!
//! An instance confirms its revision by each update request that it sends to this keeper, and by its
//! heartbeats. Every instance of the cluster file counts permanently: one that this keeper receives
//! nothing from may still get confirmations of its configuration from its peers, so a revision counts
//! as rolled out to it only once its lease has expired.

use std::{cell::RefCell, rc::Rc, time::Duration};

use medlarlug_core::{
    configuration_group::{Command, DrainTracker, Reply, Rollout, RolloutTracker},
    follower::{self, MAX_CLOCK_DRIFT},
    ids::{InstanceId, Revision},
    release::Configuration,
};
use tokio::{sync::watch, time::interval};

use crate::{
    coordination::{
        calls,
        keeper::{
            Keeper,
            duties::{CALL_TIMEOUT, TASK_INTERVAL},
            machine::StateMachine,
        },
        node::Node,
    },
    protocol::GroupId,
};

/// The revisions that instances have confirmed; empty while this keeper doesn't lead.
#[derive(Default)]
pub struct Confirmations {
    tracker: RefCell<Option<RolloutTracker>>,
}

impl Confirmations {
    /// Records the revision that `instance` reported; ignored while this keeper doesn't lead.
    pub fn record(&self, node: &Node, instance: &InstanceId, revision: Revision) {
        let Some(peer) = node.cluster.peer(instance) else { return };
        if let Some(tracker) = &mut *self.tracker.borrow_mut() {
            tracker.record_confirmation(instance.clone(), peer.zone.clone(), revision);
        }
    }

    /// The rollout of `revision`; `None` while this keeper doesn't lead.
    pub fn rollout(&self, node: &Node, revision: Revision) -> Option<Rollout> {
        Some(self.tracker.borrow().as_ref()?.rollout(node.now(), revision))
    }

    /// Records the group's newest revision, and what the heartbeats of live instances report.
    fn update(&self, node: &Node, revision: Revision) {
        let mut tracker = self.tracker.borrow_mut();
        let tracker = tracker.get_or_insert_with(|| new_tracker(node));
        tracker.record_commit(node.now(), revision);
        tracker.record_confirmation(node.own.id.clone(), node.own.zone.clone(), revision);
        let members = node.members.borrow();
        for peer in members.peers().iter().filter(|it| it.is_live()) {
            let (id, zone) = (peer.seed.id.clone(), peer.seed.zone.clone());
            tracker.record_confirmation(id, zone, peer.status.revision);
        }
    }

    fn clear(&self) {
        self.tracker.replace(None);
    }
}

fn new_tracker(node: &Node) -> RolloutTracker {
    let lease: Duration = follower::Timing::default().lease;
    let mut tracker = RolloutTracker::new(lease, MAX_CLOCK_DRIFT);
    for peer in &node.cluster.instances {
        tracker.add_instance(peer.id.clone(), peer.zone.clone());
    }
    tracker
}

/// Tracks rollouts and removes drained items while this keeper leads the configuration group.
pub async fn run(keeper: Rc<Keeper>, mut stop: watch::Receiver<bool>) {
    let mut changes = keeper.changes();
    let mut ticks = interval(TASK_INTERVAL);
    let mut draining = DrainTracker::default();
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            _ = changes.changed() => {}
            _ = stop.wait_for(|stop| *stop) => return,
        }
        match newest_revision(&keeper) {
            Some(revision) => {
                keeper.confirmations.update(&keeper.node, revision);
                if let Some(configuration) = draining_configuration(&keeper) {
                    remove_drained(&keeper, &configuration, &mut draining).await;
                }
            }
            None => {
                keeper.confirmations.clear();
                draining.reset();
            }
        }
    }
}

/// The newest revision, if this keeper leads the group.
fn newest_revision(keeper: &Keeper) -> Option<Revision> {
    let group = GroupId::Configuration;
    if !keeper.leads(&group) {
        return None;
    }
    keeper.with_state_machine(&group, StateMachine::revision).flatten()
}

/// A copy of the newest configuration, if it has draining items.
///
/// Without draining items nothing is copied, since this runs after every commit of every group of
/// this keeper.
fn draining_configuration(keeper: &Keeper) -> Option<Configuration> {
    let newest = keeper.with_state_machine(&GroupId::Configuration, |machine| match machine {
        StateMachine::Configuration(machine) => {
            Some(machine.configuration()).filter(|it| !it.draining().is_empty()).cloned()
        }
        StateMachine::Home(_) | StateMachine::Publication(_) => None,
    });
    newest.flatten()
}

async fn remove_drained(keeper: &Keeper, newest: &Configuration, draining: &mut DrainTracker) {
    let node = &keeper.node;
    let rollout = keeper.confirmations.rollout(node, newest.note_revision);
    let is_rollout_complete = rollout.is_some_and(|it| it.is_complete());
    let items = draining.removable_items(node.now(), newest, is_rollout_complete);
    if items.is_empty() {
        return;
    }
    let command = Command::RemoveDrained { revision: newest.revision, items };
    match calls::submit_configuration_command(node, command, CALL_TIMEOUT).await {
        Ok(Reply::Removed(revision)) => tracing::info!(%revision, "drained items removed"),
        Ok(reply) => tracing::debug!(?reply, "drained items not removed"),
        Err(error) => tracing::warn!(%error, "drained items not removed"),
    }
}
