//! Moves of a team's home region, carried out by the leader of the new home group.
//!
//! For each team on its way here: `Seal` at the former home, which then begins no booking of the
//! team any more and hands its bookings over; `Adopt` here; `Release` at the former home; at last
//! `HomeAdopted` in the configuration group, which ends the move. Each step is idempotent, and
//! the configuration group lists the move until its last step. So a new leader, which begins
//! again with the first step that is not known to be done, leaves nothing half done.
//!
//! A group that lost its state may have forgotten what it had adopted. So its leader also carries
//! out the moves of teams whose home is here and whose bookings it does not hold.

use std::rc::Rc;

use medlarlug_core::{
    configuration_group::{Command, HomeMove},
    home::{Action, Reply},
    ids::{RegionId, Revision},
    release::TeamHome,
};
use thiserror::Error;
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

/// Why a move did not go on.
#[derive(Debug, Error)]
enum MoveError {
    /// A group gave no reply.
    #[error(transparent)]
    Call(#[from] CallError),
    /// A group is not ready for the step.
    #[error("region {region} replied {reply:?}")]
    NotReady { region: RegionId, reply: Box<Reply> },
}

/// Carries out the moves to `region` while this keeper leads its home group.
pub async fn run(keeper: Rc<Keeper>, region: RegionId, mut stop: watch::Receiver<bool>) {
    let group = GroupId::Home(region.clone());
    let mut rounds = interval(ROUND);
    // Home changes up to this revision are complete.
    let mut complete = Revision(0);
    loop {
        tokio::select! {
            _ = rounds.tick() => {}
            _ = stop.wait_for(|stop| *stop) => return,
        }
        if !keeper.leads(&group) {
            continue;
        }
        let newest = newest_move(&keeper, &region);
        if newest <= complete {
            adopt_again(&keeper, &region).await;
            continue;
        }
        match carry_out_all(&keeper, &region).await {
            Ok(()) => complete = newest,
            Err(error) => tracing::warn!(%region, %error, "move of a home not complete yet"),
        }
    }
}

/// The last revision at which a team's home was moved to `region`.
fn newest_move(keeper: &Keeper, region: &RegionId) -> Revision {
    let Some(configuration) = keeper.node.configuration() else { return Revision(0) };
    let homes = configuration.homes().iter();
    let moved = homes.filter(|it| it.region == *region && it.from.is_some());
    moved.map(|it| it.epoch).max().unwrap_or(Revision(0))
}

/// Adopts the teams whose move here is complete and that the group does not hold.
async fn adopt_again(keeper: &Keeper, region: &RegionId) {
    let Some(configuration) = keeper.node.configuration() else { return };
    let homes = configuration.homes().iter().filter(|it| it.region == *region);
    let moves = homes.filter_map(|it| {
        let (team, from, to) = (it.team.clone(), it.from.clone()?, it.region.clone());
        Some(HomeMove { team, from, to, epoch: it.epoch })
    });
    for it in moves.filter(|it| !has_adopted(keeper, it)) {
        match carry_out(keeper, &it).await {
            Ok(()) => tracing::info!(team = %it.team, from = %it.from, "team adopted again"),
            Err(error) => tracing::warn!(team = %it.team, %error, "team not adopted again yet"),
        }
    }
}

async fn carry_out_all(keeper: &Keeper, region: &RegionId) -> Result<(), MoveError> {
    let moves = calls::read_home_moves(&keeper.node, CALL_LIMIT).await?;
    let mut result = Ok(());
    for it in moves.into_iter().filter(|it| it.to == *region) {
        // One former home that can't be reached holds up no other move.
        match carry_out(keeper, &it).await {
            Ok(()) => tracing::info!(team = %it.team, from = %it.from, "home moved here"),
            Err(error) => result = Err(error),
        }
    }
    result
}

async fn carry_out(keeper: &Keeper, it: &HomeMove) -> Result<(), MoveError> {
    let node = &keeper.node;
    let (team, epoch) = (it.team.clone(), it.epoch);
    if !has_adopted(keeper, it) {
        let seal = Action::Seal { team: team.clone(), to: it.to.clone(), epoch };
        let handover = match calls::submit_home_action(node, &it.from, seal, CALL_LIMIT).await? {
            Reply::Handover(handover) => handover,
            reply => return Err(not_ready(&it.from, reply)),
        };
        match calls::submit_home_action(node, &it.to, Action::Adopt(handover), CALL_LIMIT).await? {
            Reply::Ok => {}
            reply => return Err(not_ready(&it.to, reply)),
        }
    }
    let release = Action::Release { team: team.clone(), epoch };
    match calls::submit_home_action(node, &it.from, release, CALL_LIMIT).await? {
        Reply::Ok | Reply::NoSuchBooking => {}
        reply => return Err(not_ready(&it.from, reply)),
    }
    calls::submit_configuration_command(node, Command::HomeAdopted { team, epoch }, CALL_LIMIT)
        .await?;
    Ok(())
}

fn has_adopted(keeper: &Keeper, it: &HomeMove) -> bool {
    let home = TeamHome {
        team: it.team.clone(),
        region: it.to.clone(),
        epoch: it.epoch,
        from: Some(it.from.clone()),
    };
    let group = GroupId::Home(it.to.clone());
    let has_adopted = keeper.with_state_machine(&group, |machine| match machine {
        StateMachine::Home(machine) => machine.has_adopted(&home),
        StateMachine::Configuration(_) | StateMachine::Publication(_) => false,
    });
    has_adopted.unwrap_or(false)
}

fn not_ready(region: &RegionId, reply: Reply) -> MoveError {
    MoveError::NotReady { region: region.clone(), reply: Box::new(reply) }
}
