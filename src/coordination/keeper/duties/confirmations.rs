//! Where revisions are in force, as the leader of the configuration group knows it; and the
//! removal of items that have drained since.
//!
//! An instance confirms its revision by each question that it asks this keeper, and by its
//! heartbeats. Every instance of the cluster file counts as a member for good: one that is not
//! heard may still get confirmations from its peers, so only the passing of its lease covers it.

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
            duties::{CALL_LIMIT, ROUND},
            machine::StateMachine,
        },
        node::Node,
    },
    protocol::GroupId,
};

/// Where revisions are in force; empty while this keeper does not lead.
#[derive(Default)]
pub struct Confirmations {
    tracker: RefCell<Option<RolloutTracker>>,
}

impl Confirmations {
    /// An instance told its revision.
    pub fn told(&self, node: &Node, instance: &InstanceId, revision: Revision) {
        let Some(peer) = node.cluster.peer(instance) else { return };
        if let Some(tracker) = &mut *self.tracker.borrow_mut() {
            tracker.record_confirmation(instance.clone(), peer.zone.clone(), revision);
        }
    }

    /// Where `revision` is in force; `None` while this keeper does not lead.
    pub fn force(&self, node: &Node, revision: Revision) -> Option<Rollout> {
        Some(self.tracker.borrow().as_ref()?.rollout(node.now(), revision))
    }

    /// Brings the tracker up to date with the group's newest revision.
    fn committed(&self, node: &Node, revision: Revision) {
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

/// Follows the revisions while this keeper leads the configuration group.
pub async fn run(keeper: Rc<Keeper>, mut stop: watch::Receiver<bool>) {
    let mut changes = keeper.changes();
    let mut rounds = interval(ROUND);
    let mut draining = DrainTracker::default();
    loop {
        tokio::select! {
            _ = rounds.tick() => {}
            _ = changes.changed() => {}
            _ = stop.wait_for(|stop| *stop) => return,
        }
        match newest_revision(&keeper) {
            Some(revision) => {
                keeper.confirmations.committed(&keeper.node, revision);
                if let Some(configuration) = newest_draining(&keeper) {
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

/// The newest configuration, if something drains.
///
/// It is copied for that only: every commit of every group of this keeper leads here.
fn newest_draining(keeper: &Keeper) -> Option<Configuration> {
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
    let force = keeper.confirmations.force(node, newest.last_note_revision);
    let is_everywhere = force.is_some_and(|it| it.is_complete());
    let items = draining.removable_items(node.now(), newest, is_everywhere);
    if items.is_empty() {
        return;
    }
    let command = Command::RemoveDrained { revision: newest.revision, items };
    match calls::submit_configuration_command(node, command, CALL_LIMIT).await {
        Ok(Reply::Removed(revision)) => tracing::info!(%revision, "drained items removed"),
        Ok(reply) => tracing::debug!(?reply, "drained items not removed"),
        Err(error) => tracing::warn!(%error, "drained items not removed"),
    }
}
