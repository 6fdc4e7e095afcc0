//! Founding of a home group by its leader.

use std::rc::Rc;

use medlarlug_core::{
    configuration_group,
    home::{self, FoundingToken},
    ids::RegionId,
};
use tokio::{sync::watch, time::interval};

use crate::{
    coordination::{
        calls::{self, CallError},
        keeper::{
            Keeper,
            duties::{CALL_LIMIT, ROUND},
            machine::StateMachine,
        },
    },
    protocol::GroupId,
};

/// Founds the home group of `region` while this keeper leads it and it is not founded.
///
/// All tries of one formation of the group carry one token, whichever keeper leads: a try whose
/// reply was lost, or whose leader was, is not taken for an earlier founding, after which keys would
/// count as used.
pub async fn run(keeper: Rc<Keeper>, region: RegionId, mut stop: watch::Receiver<bool>) {
    let mut rounds = interval(ROUND);
    loop {
        tokio::select! {
            _ = rounds.tick() => {
                if !is_due(&keeper, &region) {
                    continue;
                }
                let group = GroupId::Home(region.clone());
                let Some(formation) = keeper.formation(&group) else { continue };
                if let Err(error) = found(&keeper, &region, formation.into()).await {
                    tracing::warn!(%region, %error, "home group not founded");
                }
            }
            _ = stop.wait_for(|stop| *stop) => return,
        }
    }
}

fn is_due(keeper: &Keeper, region: &RegionId) -> bool {
    let group = GroupId::Home(region.clone());
    let is_founded = keeper.with_state_machine(&group, |machine| match machine {
        StateMachine::Home(machine) => machine.founding_revision().is_some(),
        StateMachine::Configuration(_) | StateMachine::Publication(_) => true,
    });
    let is_configured =
        || keeper.node.configuration().is_some_and(|it| it.region(region).is_some());
    keeper.leads(&group) && is_founded == Some(false) && is_configured()
}

async fn found(keeper: &Keeper, region: &RegionId, token: FoundingToken) -> Result<(), CallError> {
    let node = &keeper.node;
    // A new leader may not have applied its log yet; a linearizable read tells.
    if calls::read_founding_revision(node, region, CALL_LIMIT).await?.is_some() {
        return Ok(());
    }
    let command = configuration_group::Command::FoundHome { region: region.clone(), token };
    let (revision, first) =
        match calls::submit_configuration_command(node, command, CALL_LIMIT).await? {
            configuration_group::Reply::Founded { revision, first } => (revision, first),
            reply => {
                tracing::warn!(%region, ?reply, "home group not founded");
                return Ok(());
            }
        };
    calls::submit_home_action(node, region, home::Action::Found { revision, first }, CALL_LIMIT)
        .await?;
    Ok(())
}
