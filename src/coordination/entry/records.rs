//! Delivery of request records, and of the instance's start, to the home groups.

use std::{rc::Rc, time::Duration};

use medlarlug_core::{home, ids::RegionId};
use tokio::{task, time::sleep};

use crate::coordination::{calls, entry::Entry};

/// Time between two batches of records.
const RECORD_INTERVAL: Duration = Duration::from_millis(200);

/// Records in one batch at most.
const MAX_BATCH_RECORDS: usize = 500;

/// Time that a batch of records has to be committed.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(3);

/// Starts the tasks that deliver records and tell each home group of the start.
pub fn start(entry: &Rc<Entry>) {
    task::spawn_local(send_records(entry.clone()));
    for home in &entry.node.cluster.homes {
        task::spawn_local(announce_start(entry.clone(), home.region.clone()));
    }
}

/// Tells a home group that the instance's earlier requests have no owner any more.
///
/// Every region's group is told, as an instance begins bookings of teams of all regions.
async fn announce_start(entry: Rc<Entry>, region: RegionId) {
    let node = &entry.node;
    loop {
        let action = home::Action::InstanceStarted {
            instance: node.own.id.clone(),
            incarnation: node.incarnation,
        };
        match calls::submit_home_action(node, &region, action, COMMIT_TIMEOUT).await {
            Ok(home::Reply::Ok) => return,
            Ok(reply) => tracing::debug!(?reply, "start not recorded yet"),
            Err(error) => tracing::debug!(%error, "start not recorded yet"),
        }
        sleep(RECORD_INTERVAL).await;
    }
}

async fn send_records(entry: Rc<Entry>) {
    loop {
        sleep(RECORD_INTERVAL).await;
        flush(&entry).await;
    }
}

/// Sends waiting records until none is left or the home group takes none.
pub async fn flush(entry: &Entry) {
    let node = &entry.node;
    loop {
        let batch = entry.journal.borrow_mut().take_batch(MAX_BATCH_RECORDS);
        if batch.is_empty() {
            return;
        }
        let action = home::Action::Records(batch.clone());
        match calls::submit_home_action(node, &node.region, action, COMMIT_TIMEOUT).await {
            Ok(home::Reply::Ok) => {}
            Ok(reply) => {
                tracing::debug!(?reply, "records not taken");
                return entry.journal.borrow_mut().put_back(batch);
            }
            Err(error) => {
                tracing::debug!(%error, "records not taken");
                return entry.journal.borrow_mut().put_back(batch);
            }
        }
    }
}
