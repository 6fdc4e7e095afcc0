//! Moves of a team to another home region, carried out by the leader of the new home group.
//!
//! The steps of a move are: `Seal` at the former home group, which from then on starts no booking of
//! the team and replies with its bookings; `Adopt` at the new one; `Release` at the former one;
//! finally `HomeAdopted` in the configuration group, which ends the move. Each step is idempotent,
//! and the configuration group lists the move until the last step. A new leader therefore completes
//! a move that was interrupted: it resumes at the first step that it doesn't know to be done.
//!
//! A home group that was rebuilt may have lost bookings that it had adopted. So its leader also
//! repeats the completed moves of teams whose home is here but whose bookings it doesn't have.

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
            duties::{CALL_TIMEOUT, TASK_INTERVAL},
            machine::StateMachine,
        },
    },
    protocol::GroupId,
};

/// Errors that interrupt a move; it is retried at the next interval.
#[derive(Debug, Error)]
enum MoveError {
    /// A call to a group failed.
    #[error(transparent)]
    Call(#[from] CallError),
    /// A home group refused the step.
    #[error("home group of region {region} replied {reply:?}")]
    Refused { region: RegionId, reply: Box<Reply> },
}

/// Carries out the moves to `region` while this keeper leads its home group.
pub async fn run(keeper: Rc<Keeper>, region: RegionId, mut stop: watch::Receiver<bool>) {
    let group = GroupId::Home(region.clone());
    let mut ticks = interval(TASK_INTERVAL);
    // The moves of all revisions up to this one are complete.
    let mut completed = Revision(0);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            _ = stop.wait_for(|stop| *stop) => return,
        }
        if !keeper.leads(&group) {
            continue;
        }
        let newest = newest_move(&keeper, &region);
        if newest <= completed {
            adopt_missing_teams(&keeper, &region).await;
            continue;
        }
        match carry_out_moves(&keeper, &region).await {
            Ok(()) => completed = newest,
            Err(error) => tracing::warn!(%region, %error, "move of a home not complete yet"),
        }
    }
}

/// The latest revision that moved the home of a team to `region`.
fn newest_move(keeper: &Keeper, region: &RegionId) -> Revision {
    let Some(configuration) = keeper.node.configuration() else { return Revision(0) };
    let homes = configuration.homes().iter();
    let moved = homes.filter(|it| it.region == *region && it.from.is_some());
    moved.map(|it| it.epoch).max().unwrap_or(Revision(0))
}

/// Repeats the completed moves of teams whose bookings the home group doesn't have.
async fn adopt_missing_teams(keeper: &Keeper, region: &RegionId) {
    let Some(configuration) = keeper.node.configuration() else { return };
    let homes = configuration.homes().iter().filter(|it| it.region == *region);
    let moves = homes.filter_map(|it| {
        let (team, from, to) = (it.team.clone(), it.from.clone()?, it.region.clone());
        Some(HomeMove { team, from, to, epoch: it.epoch })
    });
    for it in moves.filter(|it| !has_adopted(keeper, it)) {
        match carry_out_move(keeper, &it).await {
            Ok(()) => tracing::info!(team = %it.team, from = %it.from, "team adopted again"),
            Err(error) => tracing::warn!(team = %it.team, %error, "team not adopted again yet"),
        }
    }
}

async fn carry_out_moves(keeper: &Keeper, region: &RegionId) -> Result<(), MoveError> {
    let moves = calls::read_home_moves(&keeper.node, CALL_TIMEOUT).await?;
    let mut result = Ok(());
    for it in moves.into_iter().filter(|it| it.to == *region) {
        // A former home group that can't be reached must not delay the other moves.
        match carry_out_move(keeper, &it).await {
            Ok(()) => tracing::info!(team = %it.team, from = %it.from, "home moved here"),
            Err(error) => result = Err(error),
        }
    }
    result
}

async fn carry_out_move(keeper: &Keeper, it: &HomeMove) -> Result<(), MoveError> {
    let node = &keeper.node;
    let (team, epoch) = (it.team.clone(), it.epoch);
    if !has_adopted(keeper, it) {
        let seal = Action::Seal { team: team.clone(), to: it.to.clone(), epoch };
        let handover = match calls::submit_home_action(node, &it.from, seal, CALL_TIMEOUT).await? {
            Reply::Handover(handover) => handover,
            reply => return Err(refused(&it.from, reply)),
        };
        match calls::submit_home_action(node, &it.to, Action::Adopt(handover), CALL_TIMEOUT).await?
        {
            Reply::Ok => {}
            reply => return Err(refused(&it.to, reply)),
        }
    }
    let release = Action::Release { team: team.clone(), epoch };
    match calls::submit_home_action(node, &it.from, release, CALL_TIMEOUT).await? {
        Reply::Ok | Reply::NoSuchBooking => {}
        reply => return Err(refused(&it.from, reply)),
    }
    calls::submit_configuration_command(node, Command::HomeAdopted { team, epoch }, CALL_TIMEOUT)
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

fn refused(region: &RegionId, reply: Reply) -> MoveError {
    MoveError::Refused { region: region.clone(), reply: Box::new(reply) }
}
