//! What the leader of a group does unasked.
//!
//! * Every member of the configuration group hands new revisions to its own follower; the leader
//!   also pushes them to every instance. The leader confirms the newest revision by reading it, and
//!   the other members ask it.
//! * The leader of a home group founds it ([`founding`]), fetches the bookings of teams whose home
//!   moves here ([`moves`]), records which bookings have lost their owner ([`owners`]) and has
//!   services asked about unknown outcomes ([`outcomes`]).
//! * The leader of the configuration group keeps track of where revisions are in force, and
//!   removes what has drained ([`confirmations`]).

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

/// Time between two rounds of a duty.
const ROUND: Duration = Duration::from_millis(500);

/// Time between two rounds of questions about unknown outcomes.
const QUESTION_ROUND: Duration = Duration::from_secs(2);

/// Time that a call of a duty may take.
const CALL_LIMIT: Duration = Duration::from_secs(2);

pub use owners::declare_lost;

/// Does the duties of the process until `stop` turns true.
///
/// Each duty has a task of its own, so that a group without a leader holds up no other duty.
pub fn start(keeper: &Rc<Keeper>, stop: &watch::Receiver<bool>) {
    task::spawn_local(follow(keeper.clone(), stop.clone()));
    task::spawn_local(confirm_often(keeper.clone(), stop.clone()));
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

async fn follow(keeper: Rc<Keeper>, mut stop: watch::Receiver<bool>) {
    let mut changes = keeper.changes();
    loop {
        follow_own_group(&keeper);
        tokio::select! {
            _ = changes.changed() => {}
            _ = stop.wait_for(|stop| *stop) => return,
        }
    }
}

async fn confirm_often(keeper: Rc<Keeper>, mut stop: watch::Receiver<bool>) {
    let mut rounds = interval(ROUND);
    loop {
        tokio::select! {
            _ = rounds.tick() => confirm(&keeper).await,
            _ = stop.wait_for(|stop| *stop) => return,
        }
    }
}

/// Hands what is new in the configuration group to the follower, and to everybody if it leads.
fn follow_own_group(keeper: &Keeper) {
    let group = GroupId::Configuration;
    let node = &keeper.node;
    let revision = node.follower.borrow().revision();
    let ask = follower::UpdateRequest { token: 0, revision, full: false };
    let newer = keeper.with_state_machine(&group, |machine| match machine {
        StateMachine::Configuration(machine) => machine.update_for(&ask),
        StateMachine::Home(_) | StateMachine::Publication(_) => None,
    });
    let Some(update) = newer.flatten() else { return };
    node.apply_update(update.clone());
    if keeper.leads(&group) {
        for peer in node.cluster.instances.iter().filter(|it| it.id != node.own.id) {
            node.send(&peer.id, Message::Push(Box::new(update.clone())));
        }
    }
}

/// Whom a member of the configuration group asks: the leader, or the others while none is known.
fn sources(keeper: &Keeper) -> Sources {
    let own = &keeper.node.own.id;
    let leader = keeper.leader(&GroupId::Configuration).filter(|it| it != own);
    let others = || keeper.node.cluster.configuration.iter().filter(|it| *it != own).cloned();
    let voters = leader.map_or_else(|| others().collect(), |leader| vec![leader]);
    Sources { voters, peers: Vec::new() }
}

/// Confirms the newest revision by a linearizable read, which a leader that was replaced fails.
///
/// The other members ask the leader, as followers.
async fn confirm(keeper: &Keeper) {
    let group = GroupId::Configuration;
    let node = &keeper.node;
    if !keeper.group_ids().contains(&group) {
        return;
    }
    node.set_update_sources(sources(keeper));
    if !keeper.leads(&group) {
        return;
    }
    let asked = node.now();
    match calls::submit(node, &group, GroupRequest::Revision, CALL_LIMIT).await {
        Ok(GroupReply::Revision(revision)) => {
            let age = node.now() - asked;
            node.apply_confirmation(follower::Confirmation { revision, age });
        }
        Ok(reply) => tracing::warn!(?reply, "configuration not confirmed"),
        Err(error) => tracing::debug!(%error, "configuration not confirmed"),
    }
}
