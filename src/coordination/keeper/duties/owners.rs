//! Bookings whose owner is dead.
//!
//! The outcome of such a booking is recorded as unknown. An instance that was only disconnected may
//! still end its bookings afterwards, so wrongly declaring it dead breaks no guarantee.

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
        keeper::{Keeper, duties::CALL_TIMEOUT, machine::StateMachine},
        node::Node,
    },
    protocol::GroupId,
};

/// Interval between two checks of the owners of in-flight bookings.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Time after the keeper's start from which on an instance that it has never seen counts as dead.
const NEVER_SEEN_TIMEOUT: Duration = Duration::from_secs(10);

/// Checks the owners of in-flight bookings while this keeper leads the home group of `region`.
///
/// This finds owners that died before or during a change of leader, whose death
/// [`record_dead_instance`] didn't record.
pub async fn run(keeper: Rc<Keeper>, region: RegionId, mut stop: watch::Receiver<bool>) {
    let mut ticks = interval(CHECK_INTERVAL);
    let group = GroupId::Home(region.clone());
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                for owner in dead_owners(&keeper, &group) {
                    record_death(&keeper.node, &region, owner).await;
                }
            }
            _ = stop.wait_for(|stop| *stop) => return,
        }
    }
}

fn dead_owners(keeper: &Keeper, group: &GroupId) -> Vec<Owner> {
    if !keeper.leads(group) {
        return Vec::new();
    }
    let owners = keeper.with_state_machine(group, |machine| match machine {
        StateMachine::Home(machine) => machine.open_owners(),
        StateMachine::Configuration(_) | StateMachine::Publication(_) => Vec::new(),
    });
    owners.unwrap_or_default().into_iter().filter(|it| is_dead(keeper, it)).collect()
}

fn is_dead(keeper: &Keeper, owner: &Owner) -> bool {
    let members = keeper.node.members.borrow();
    let is_owner = |it: &DeadPeer| it.id == owner.instance && it.incarnation >= owner.incarnation;
    if members.reported_dead().iter().any(is_owner) {
        return true;
    }
    members.peer(&owner.instance).is_some_and(|peer| {
        let has_timed_out = keeper.node.now() >= Time::ZERO + NEVER_SEEN_TIMEOUT;
        match peer.state {
            PeerState::Dead { .. } => true,
            PeerState::NeverSeen => has_timed_out,
            PeerState::Up | PeerState::Reconnecting { .. } => peer.incarnation > owner.incarnation,
        }
    })
}

async fn record_death(node: &Node, region: &RegionId, owner: Owner) {
    let Owner { instance, incarnation } = owner;
    tracing::info!(%region, %instance, "owner of bookings is dead");
    let action = home::Action::InstanceDead { instance, incarnation };
    if let Err(error) = calls::submit_home_action(node, region, action, CALL_TIMEOUT).await {
        tracing::warn!(%region, %error, "death of an instance not recorded");
    }
}

/// Records the death of `instance` in the home groups that this keeper leads.
pub fn record_dead_instance(keeper: &Keeper, instance: &InstanceId) {
    let incarnation = {
        let members = keeper.node.members.borrow();
        let peer = members.peer(instance);
        let reported = members.reported_dead().iter().find(|it| it.id == *instance);
        peer.map(|it| it.incarnation).or(reported.map(|it| it.incarnation))
    };
    let Some(incarnation) = incarnation else { return };
    for group in keeper.group_ids().into_iter().filter(|it| keeper.leads(it)) {
        let GroupId::Home(region) = group else { continue };
        let owner = Owner { instance: instance.clone(), incarnation };
        let node = keeper.node.clone();
        task::spawn_local(async move { record_death(&node, &region, owner).await });
    }
}
