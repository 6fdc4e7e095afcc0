//! Bookings whose owner is gone.
//!
//! An instance that was only cut off may still end its bookings; until then their outcome is
//! unknown. So a wrong suspicion costs no promise.

use std::{rc::Rc, time::Duration};

use medlarlug_core::{
    home::{self, Owner},
    ids::{InstanceId, RegionId},
    membership::{DeadPeer, PeerState},
    time::Time,
};
use tokio::{sync::watch, task, time::interval};

use crate::{
    coordination::{
        calls,
        keeper::{Keeper, duties::CALL_LIMIT, machine::StateMachine},
        node::Node,
    },
    protocol::GroupId,
};

/// Time between two comparisons of the owners with the instances that run.
const ROUND: Duration = Duration::from_secs(2);

/// Time since the keeper's start after which an instance that it never heard counts as gone.
const UNHEARD_LIMIT: Duration = Duration::from_secs(10);

/// Compares, while this keeper leads the home group of `region`, the owners of bookings under way
/// with the instances that run.
///
/// This finds what the notice of a death missed: a death before or during a change of leader.
pub async fn run(keeper: Rc<Keeper>, region: RegionId, mut stop: watch::Receiver<bool>) {
    let mut rounds = interval(ROUND);
    let group = GroupId::Home(region.clone());
    loop {
        tokio::select! {
            _ = rounds.tick() => {
                for owner in gone_owners(&keeper, &group) {
                    lose(&keeper.node, &region, owner).await;
                }
            }
            _ = stop.wait_for(|stop| *stop) => return,
        }
    }
}

fn gone_owners(keeper: &Keeper, group: &GroupId) -> Vec<Owner> {
    if !keeper.leads(group) {
        return Vec::new();
    }
    let owners = keeper.with_state_machine(group, |machine| match machine {
        StateMachine::Home(machine) => machine.open_owners(),
        StateMachine::Configuration(_) | StateMachine::Publication(_) => Vec::new(),
    });
    owners.unwrap_or_default().into_iter().filter(|it| is_gone(keeper, it)).collect()
}

fn is_gone(keeper: &Keeper, owner: &Owner) -> bool {
    let members = keeper.node.members.borrow();
    let is_lost = |it: &DeadPeer| it.id == owner.instance && it.incarnation >= owner.incarnation;
    if members.reported_dead().iter().any(is_lost) {
        return true;
    }
    members.peer(&owner.instance).is_some_and(|peer| {
        let is_late = keeper.node.now() >= Time::ZERO + UNHEARD_LIMIT;
        match peer.state {
            PeerState::Dead { .. } => true,
            PeerState::NeverSeen => is_late,
            PeerState::Up | PeerState::Reconnecting { .. } => peer.incarnation > owner.incarnation,
        }
    })
}

async fn lose(node: &Node, region: &RegionId, owner: Owner) {
    let Owner { instance, incarnation } = owner;
    tracing::info!(%region, %instance, "owner of bookings lost");
    let action = home::Action::InstanceDead { instance, incarnation };
    if let Err(error) = calls::submit_home_action(node, region, action, CALL_LIMIT).await {
        tracing::warn!(%region, %error, "loss of an instance not recorded");
    }
}

/// Records in the home groups that this keeper leads that an instance is dead.
pub fn declare_lost(keeper: &Keeper, instance: &InstanceId) {
    let incarnation = {
        let members = keeper.node.members.borrow();
        let peer = members.peer(instance);
        let lost = members.reported_dead().iter().find(|it| it.id == *instance);
        peer.map(|it| it.incarnation).or(lost.map(|it| it.incarnation))
    };
    let Some(incarnation) = incarnation else { return };
    for group in keeper.group_ids().into_iter().filter(|it| keeper.leads(it)) {
        let GroupId::Home(region) = group else { continue };
        let owner = Owner { instance: instance.clone(), incarnation };
        let node = keeper.node.clone();
        task::spawn_local(async move { lose(&node, &region, owner).await });
    }
}
