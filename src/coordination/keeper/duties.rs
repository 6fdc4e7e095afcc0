//! What the leader of a group does unasked.
//!
//! * Every member of the configuration group hands new revisions to its own follower; the leader
//!   also pushes them to every instance. Members confirm the newest revision by reading it.
//! * The leader of a home group founds it, once the configuration names the region.

use std::{rc::Rc, time::Duration};

use medlarlug_core::{
    configuration_group, follower,
    home::{self, FoundToken},
    ids::RegionId,
};
use tokio::{sync::watch, time::interval};

use crate::{
    coordination::{
        calls,
        keeper::{Keeper, machine::Machine},
    },
    protocol::{GroupId, GroupReply, GroupRequest, Message},
};

/// Time between two rounds of duties when nothing changes.
const ROUND: Duration = Duration::from_millis(500);

/// Time that a call of a duty may take.
const CALL_LIMIT: Duration = Duration::from_secs(2);

/// Does the duties of the process until `stop` turns true.
pub async fn run(keeper: Rc<Keeper>, mut stop: watch::Receiver<bool>) {
    let mut changes = keeper.changes();
    let mut rounds = interval(ROUND);
    loop {
        tokio::select! {
            _ = changes.changed() => {}
            _ = rounds.tick() => {}
            _ = stop.wait_for(|stop| *stop) => return,
        }
        follow_own_group(&keeper);
        confirm(&keeper).await;
        for group in keeper.group_ids() {
            if let GroupId::Home(region) = group {
                found(&keeper, &region).await;
            }
        }
    }
}

/// Hands the state of the configuration group to the follower, and to everybody if it leads.
fn follow_own_group(keeper: &Keeper) {
    let group = GroupId::Configuration;
    let node = &keeper.node;
    let known = node.follower.borrow().revision();
    let newer = keeper.with_machine(&group, |machine| match machine {
        Machine::Configuration(machine) => {
            let configuration = machine.configuration();
            (configuration.revision > known).then(|| configuration.clone())
        }
        Machine::Home(_) => None,
    });
    let leads = keeper.leads(&group);
    if let Some(configuration) = newer.flatten() {
        let update = follower::Update::Full(configuration);
        node.push(update.clone());
        if leads {
            for peer in node.cluster.instances.iter().filter(|it| it.id != node.own.id) {
                node.send(&peer.id, Message::Push(Box::new(update.clone())));
            }
        }
    }
}

/// Confirms the newest revision by a linearizable read, which a leader that was replaced fails.
async fn confirm(keeper: &Keeper) {
    let group = GroupId::Configuration;
    let node = &keeper.node;
    if !keeper.group_ids().contains(&group) {
        return;
    }
    let asked = node.now();
    match calls::submit(node, &group, GroupRequest::Revision, CALL_LIMIT).await {
        Ok(GroupReply::Revision(revision)) => {
            let age = node.now() - asked;
            node.confirm(follower::Confirmation { revision, age });
        }
        Ok(reply) => tracing::warn!(?reply, "configuration not confirmed"),
        Err(error) => tracing::debug!(%error, "configuration not confirmed"),
    }
}

/// Founds a home group that this keeper leads.
async fn found(keeper: &Keeper, region: &RegionId) {
    let group = GroupId::Home(region.clone());
    let is_founded = keeper.with_machine(&group, |machine| match machine {
        Machine::Home(machine) => machine.founded().is_some(),
        Machine::Configuration(_) => true,
    });
    if !keeper.leads(&group) || is_founded != Some(false) {
        return;
    }
    let node = &keeper.node;
    let is_configured = node.configuration().is_some_and(|it| it.region(region).is_some());
    if !is_configured {
        return;
    }
    let command = configuration_group::Command::FoundHome {
        region: region.clone(),
        token: FoundToken(rand::random()),
    };
    let (revision, first) = match calls::configure(node, command, CALL_LIMIT).await {
        Ok(configuration_group::Reply::Founded { revision, first }) => (revision, first),
        Ok(reply) => return tracing::warn!(%region, ?reply, "home group not founded"),
        Err(error) => return tracing::warn!(%region, %error, "home group not founded"),
    };
    let action = home::Action::Found { revision, first };
    if let Err(error) = calls::act(node, region, action, CALL_LIMIT).await {
        tracing::warn!(%region, %error, "home group not founded");
    }
}
