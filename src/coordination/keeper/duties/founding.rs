//! Founding of home groups.

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
            duties::{CALL_TIMEOUT, TASK_INTERVAL},
            machine::StateMachine,
        },
    },
    protocol::GroupId,
};

/// Founds the home group of `region` as soon as this keeper leads it, if it is not founded yet.
///
/// All attempts of one formation of the group use the same token, whichever keeper leads. So a retry
/// after a lost reply or a failed leader is not mistaken for a second founding of the region, after
/// which keys would count as used.
pub async fn run(keeper: Rc<Keeper>, region: RegionId, mut stop: watch::Receiver<bool>) {
    let mut ticks = interval(TASK_INTERVAL);
    loop {
        tokio::select! {
            _ = ticks.tick() => {
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
    // A new leader may not have applied its log yet, so the revision needs a linearizable read.
    if calls::read_founding_revision(node, region, CALL_TIMEOUT).await?.is_some() {
        return Ok(());
    }
    let command = configuration_group::Command::FoundHome { region: region.clone(), token };
    let (revision, first) =
        match calls::submit_configuration_command(node, command, CALL_TIMEOUT).await? {
            configuration_group::Reply::Founded { revision, first } => (revision, first),
            reply => {
                tracing::warn!(%region, ?reply, "home group not founded");
                return Ok(());
            }
        };
    calls::submit_home_action(node, region, home::Action::Found { revision, first }, CALL_TIMEOUT)
        .await?;
    Ok(())
}
