//! Queries to services about bookings of unknown outcome.
//!
//! The leader of the home group can't query the services itself, since keepers don't know the
//! upstreams. It sends the queries to one entry instance of each zone whose region the residency
//! rules of the team and the service permit, and to another instance each time, so that an instance
//! that has crashed delays no query for long.

use std::rc::Rc;

use medlarlug_core::{home::OutcomeQuery, ids::RegionId};
use tokio::{sync::watch, time::interval};

use crate::{
    coordination::keeper::{Keeper, duties::OUTCOME_QUERY_INTERVAL, machine::StateMachine},
    protocol::{GroupId, Message},
    settings::Peer,
};

/// Maximum number of queries in a batch.
const MAX_BATCH_QUERIES: usize = 16;

/// Has services queried while this keeper leads the home group of `region`.
pub async fn run(keeper: Rc<Keeper>, region: RegionId, mut stop: watch::Receiver<bool>) {
    let mut ticks = interval(OUTCOME_QUERY_INTERVAL);
    let group = GroupId::Home(region.clone());
    let mut batch = 0;
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                if keeper.leads(&group) {
                    batch += 1;
                    send_queries(&keeper, &region, batch);
                }
            }
            _ = stop.wait_for(|stop| *stop) => return,
        }
    }
}

/// Sends the queries of batch number `batch`; those beyond its size are left to later batches.
fn send_queries(keeper: &Keeper, region: &RegionId, batch: usize) {
    let group = GroupId::Home(region.clone());
    let queries = keeper.with_state_machine(&group, |machine| match machine {
        StateMachine::Home(machine) => machine.outcome_queries().collect(),
        StateMachine::Configuration(_) | StateMachine::Publication(_) => Vec::new(),
    });
    let mut queries: Vec<OutcomeQuery> = queries.unwrap_or_default();
    if queries.is_empty() {
        return;
    }
    let first = batch * MAX_BATCH_QUERIES % queries.len();
    queries.rotate_left(first);
    queries.truncate(MAX_BATCH_QUERIES);
    let Some(configuration) = keeper.node.configuration() else { return };
    let cluster = &keeper.node.cluster;
    for zone in &cluster.zones {
        let entries: Vec<&Peer> = cluster.entries().filter(|it| it.zone == zone.id).collect();
        if entries.is_empty() {
            continue;
        }
        let is_permitted = |it: &&OutcomeQuery| it.is_permitted_in(&configuration, &zone.region);
        let permitted: Vec<OutcomeQuery> = queries.iter().filter(is_permitted).cloned().collect();
        if !permitted.is_empty() {
            let entry = entries[batch % entries.len()];
            let home = region.clone();
            keeper.node.send(&entry.id, Message::OutcomeQueries { home, queries: permitted });
        }
    }
}
