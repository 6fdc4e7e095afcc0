//! Background tasks of a keeper: accepting links, the clock of the replica, and periodic updates.

use std::{rc::Rc, time::Duration};

use medlarlug_core::gateway::{
    contacts::{self, InstanceInfo},
    upstreams,
};
use tokio::{
    net::{TcpListener, TcpStream},
    task,
    time::{MissedTickBehavior, interval, sleep, timeout},
};

use super::Keeper;
use crate::{
    keeper_links::error_chain,
    link::{self, LinkReceiver},
};

/// Time between two ticks of the replica; a fraction of its heartbeat interval.
pub(super) const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Time between two confirmations that the table is the newest. A table may be relied on for several
/// times as long.
const CONFIRM_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which a confirmation that failed is tried again: as long as an election takes at least.
const CONFIRM_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Time between two rounds of updates; important changes are sent at once.
const UPDATE_INTERVAL: Duration = Duration::from_millis(250);

pub(super) async fn accept_links(keeper: Rc<Keeper>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                task::spawn_local(serve_link(keeper.clone(), stream));
            }
            Err(error) => {
                tracing::warn!(%error, "failed to accept a link");
                sleep(TICK_INTERVAL).await;
            }
        }
    }
}

async fn serve_link(keeper: Rc<Keeper>, stream: TcpStream) {
    let (info, sender, mut receiver): (InstanceInfo, _, LinkReceiver) =
        match link::accept(stream).await {
            Ok(accepted) => accepted,
            Err(error) => {
                tracing::debug!(error = %error_chain(&error), "link handshake failed");
                return;
            }
        };
    let now = keeper.now();
    let is_new = keeper.contacts.borrow_mut().update(now, info.clone(), None, Duration::ZERO);
    tracing::info!(instance = %info.id, part = ?info.kind, is_new, "link accepted");
    let link = keeper.subscribers.borrow_mut().add(info.id.clone(), info.kind, sender);
    keeper.links.connect_new(&keeper);
    keeper.push();
    let error = loop {
        match receiver.receive().await {
            Ok(message) => keeper.on_subscriber_message(link, &info, message),
            Err(error) => break error,
        }
    };
    keeper.subscribers.borrow_mut().remove(link);
    tracing::info!(instance = %info.id, error = %error_chain(&error), "link ended");
}

pub(super) async fn tick(keeper: Rc<Keeper>) {
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let stalled = keeper.stall.borrow_mut().tick(keeper.now());
        if let Some(time) = stalled {
            let stalled_ms = time.as_millis() as u64;
            tracing::warn!(
                stalled_ms,
                "process was stalled; queued announcements are considered old"
            );
        }
        keeper.drive_group(|group, now, out| group.tick(now, out));
    }
}

pub(super) async fn push_updates(keeper: Rc<Keeper>) {
    let mut ticks = interval(UPDATE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let now = keeper.now();
        keeper.contacts.borrow_mut().forget_expired(now, contacts::FORGET_AFTER);
        for id in keeper.upstreams.borrow_mut().forget_expired(now) {
            tracing::info!(upstream = %id, silent_s = upstreams::FORGET_AFTER.as_secs(), "upstream expired");
        }
        keeper.facts.borrow_mut().expire(now);
        keeper.store_facts();
        keeper.review_lease();
        keeper.push();
        keeper.links.connect_new(&keeper);
    }
}

/// Confirms the table again and again, and at once after its version or the own role has changed.
pub(super) async fn confirm_table(keeper: Rc<Keeper>) {
    loop {
        let pause = match keeper.confirm_table().await {
            true => CONFIRM_INTERVAL,
            false => CONFIRM_RETRY_DELAY,
        };
        // Without a change, the time for the next confirmation has come.
        let _ = timeout(pause, keeper.confirm.notified()).await;
    }
}
