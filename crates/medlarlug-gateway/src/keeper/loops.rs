//! The loops of a keeper: links that others open, the replica's clock, and news.

use std::{rc::Rc, time::Duration};

use medlarlug_core::gateway::{
    contacts::{self, Card},
    upstreams,
};
use tokio::{
    net::{TcpListener, TcpStream},
    task,
    time::{MissedTickBehavior, interval, sleep},
};

use super::Keeper;
use crate::{
    keeper_links::chain,
    link::{self, LinkReceiver},
};

/// Time between two ticks of the replica, a part of its heartbeat.
pub(super) const TICK: Duration = Duration::from_millis(50);
/// Time between two rounds of news; changes that matter are told at once.
const NEWS_INTERVAL: Duration = Duration::from_millis(250);
/// Time for which the disk may be behind before a leader hands over.
const DISK_PATIENCE: Duration = Duration::from_millis(600);

pub(super) async fn accept_links(keeper: Rc<Keeper>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                task::spawn_local(serve_link(keeper.clone(), stream));
            }
            Err(error) => {
                tracing::warn!(%error, "failed to accept a link");
                sleep(TICK).await;
            }
        }
    }
}

async fn serve_link(keeper: Rc<Keeper>, stream: TcpStream) {
    let (card, sender, mut receiver): (Card, _, LinkReceiver) = match link::accept(stream).await {
        Ok(accepted) => accepted,
        Err(error) => {
            tracing::debug!(error = %chain(&error), "a link didn't begin");
            return;
        }
    };
    let now = keeper.now();
    let is_new = keeper.contacts.borrow_mut().hear(now, card.clone(), None, Duration::ZERO);
    tracing::info!(instance = %card.id, part = ?card.part, is_new, "link accepted");
    let link = keeper.subscribers.borrow_mut().add(card.id.clone(), card.part, sender);
    keeper.links.follow(&keeper);
    keeper.push();
    let error = loop {
        match receiver.receive().await {
            Ok(message) => keeper.on_subscriber(link, &card, message),
            Err(error) => break error,
        }
    };
    keeper.subscribers.borrow_mut().remove(link);
    tracing::info!(instance = %card.id, error = %chain(&error), "link ended");
}

pub(super) async fn tick(keeper: Rc<Keeper>) {
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let stalled = keeper.stall.borrow_mut().turn(keeper.now());
        if let Some(time) = stalled {
            let stalled_ms = time.as_millis() as u64;
            tracing::warn!(
                stalled_ms,
                "process was stalled, announcements that queued count as old"
            );
        }
        keeper.run(|group, now, out| group.tick(now, out));
        let now = keeper.now();
        let is_behind =
            keeper.unsynced.borrow().first().is_some_and(|it| now - it.1 > DISK_PATIENCE);
        if is_behind && keeper.is_leader() {
            tracing::warn!("the disk is behind, handing leadership over");
            keeper.run(|group, now, out| group.transfer(now, out));
        }
    }
}

pub(super) async fn tell_news(keeper: Rc<Keeper>) {
    let mut ticks = interval(NEWS_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let now = keeper.now();
        keeper.contacts.borrow_mut().forget(now, contacts::FORGET_AFTER);
        for id in keeper.upstreams.borrow_mut().forget(now) {
            tracing::info!(upstream = %id, silent_s = upstreams::FORGET_AFTER.as_secs(), "upstream forgotten");
        }
        keeper.facts.borrow_mut().expire(now);
        keeper.keep_facts();
        keeper.push();
        keeper.links.follow(&keeper);
    }
}
