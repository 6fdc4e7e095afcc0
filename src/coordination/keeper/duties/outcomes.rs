//! Bookings of unknown outcome, about which services can be asked.
//!
//! The leader of the home group can't ask: keepers don't know the upstreams. It hands questions to
//! one entry instance of each zone whose region the team and the service permit, another one in
//! each round, so that one that is gone holds nothing up for long.

use std::rc::Rc;

use medlarlug_core::{home::OutcomeQuery, ids::RegionId};
use tokio::{sync::watch, time::interval};

use crate::{
    coordination::keeper::{Keeper, duties::QUESTION_ROUND, machine::StateMachine},
    protocol::{GroupId, Message},
    settings::Peer,
};

/// Questions in one round at most.
const ROUND_QUESTIONS: usize = 16;

/// Has services asked while this keeper leads the home group of `region`.
pub async fn run(keeper: Rc<Keeper>, region: RegionId, mut stop: watch::Receiver<bool>) {
    let mut rounds = interval(QUESTION_ROUND);
    let group = GroupId::Home(region.clone());
    let mut count = 0;
    loop {
        tokio::select! {
            _ = rounds.tick() => {
                if keeper.leads(&group) {
                    count += 1;
                    hand_out(&keeper, &region, count);
                }
            }
            _ = stop.wait_for(|stop| *stop) => return,
        }
    }
}

/// Hands the questions of one round out; those that found no place in it come in a later one.
fn hand_out(keeper: &Keeper, region: &RegionId, round: usize) {
    let group = GroupId::Home(region.clone());
    let questions = keeper.with_state_machine(&group, |machine| match machine {
        StateMachine::Home(machine) => machine.outcome_queries().collect(),
        StateMachine::Configuration(_) | StateMachine::Publication(_) => Vec::new(),
    });
    let mut questions: Vec<OutcomeQuery> = questions.unwrap_or_default();
    if questions.is_empty() {
        return;
    }
    let first = round * ROUND_QUESTIONS % questions.len();
    questions.rotate_left(first);
    questions.truncate(ROUND_QUESTIONS);
    let Some(configuration) = keeper.node.configuration() else { return };
    let cluster = &keeper.node.cluster;
    for zone in &cluster.zones {
        let entries: Vec<&Peer> = cluster.entries().filter(|it| it.zone == zone.id).collect();
        if entries.is_empty() {
            continue;
        }
        let is_permitted = |it: &&OutcomeQuery| it.is_permitted_in(&configuration, &zone.region);
        let queries: Vec<OutcomeQuery> = questions.iter().filter(is_permitted).cloned().collect();
        if !queries.is_empty() {
            let entry = entries[round % entries.len()];
            let home = region.clone();
            keeper.node.send(&entry.id, Message::OutcomeQueries { home, queries });
        }
    }
}
