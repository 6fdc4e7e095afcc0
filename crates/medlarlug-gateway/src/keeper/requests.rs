//! What upstreams, operators and callers ask of a keeper.

use std::{net::SocketAddr, time::Duration};

use medlarlug::{
    coordination::keeper::group::Caller,
    protocol::{GroupReply, GroupRequest},
};
use medlarlug_core::{
    gateway::{
        contacts::directory,
        publication::{Command, Publication},
        table::{RouteTable, TableVersion},
        upstreams::{Effect, Upstream, UpstreamState},
    },
    ids::{RegionId, UpstreamId, ZoneId},
};
use serde_bytes::ByteBuf;
use thiserror::Error;
use tokio::{
    sync::oneshot,
    time::{sleep, timeout},
};

use super::Keeper;
use crate::{
    link::Message,
    metrics as names,
    settings::{DocumentError, address_of},
};

/// Time that an operator's request has: callers try the next keeper after a second.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(950);
/// Pause before a request is tried again while there is no leader.
const RETRY_PAUSE: Duration = Duration::from_millis(60);
/// Time that entry instances have to confirm the leaving of an upstream, which gives an answer a
/// second.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(700);
/// Pause between two looks at who has confirmed.
const CONFIRM_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time after the start in which too few entry instances are linked to name them to callers.
const WARM_UP: Duration = Duration::from_millis(1_500);

/// A request that no leader has answered; it may have been carried out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("no leader of the keepers answered in time")]
pub struct Unavailable;

impl Keeper {
    /// Takes an announcement in. Returns once every linked entry instance knows of it, if the
    /// upstream is leaving.
    pub async fn announce(&self, upstream: Upstream) {
        let is_leaving = upstream.state != UpstreamState::Ready;
        let id = upstream.id.clone();
        let (birth, sequence, state) = (upstream.birth.0, upstream.sequence, upstream.state);
        let now = self.now();
        let age = self.stall.borrow().age(now);
        let effect = self.upstreams.borrow_mut().announce_here(now, upstream, age);
        self.count_announcement(effect);
        if effect == Effect::Changed {
            let age_ms = age.as_millis() as u64;
            tracing::info!(upstream = %id, birth, sequence, ?state, age_ms, "upstream changed");
            self.push();
        }
        if is_leaving {
            self.wait_for_entries().await;
        }
    }

    /// Takes in that an upstream has left. Returns once every linked entry instance knows.
    pub async fn upstream_left(&self, id: &UpstreamId, unknown: Upstream) {
        let now = self.now();
        let effect = self.upstreams.borrow_mut().leave_unknown(now, unknown);
        self.count_announcement(effect);
        if effect == Effect::Changed {
            tracing::info!(upstream = %id, "upstream left");
            self.push();
        }
        self.wait_for_entries().await;
    }

    /// Puts a table in force that was checked before.
    ///
    /// # Errors
    ///
    /// No leader answered in time.
    pub async fn publish(
        &self,
        version: TableVersion,
        document: Vec<u8>,
    ) -> Result<(), Unavailable> {
        if version <= self.head.borrow().version {
            // An applied version is committed, so it is in force or overtaken already.
            return Ok(());
        }
        let command = Command::Publish { version, document: ByteBuf::from(document) };
        self.submit(GroupRequest::Publish(command)).await.map(|_| ())
    }

    /// Evacuates a zone, or withdraws that.
    ///
    /// # Errors
    ///
    /// No leader answered in time.
    pub async fn evacuate(&self, zone: ZoneId, is_evacuated: bool) -> Result<(), Unavailable> {
        let command = match is_evacuated {
            true => Command::Evacuate(zone),
            false => Command::Restore(zone),
        };
        self.submit(GroupRequest::Publish(command)).await.map(|_| ())
    }

    /// The newest replicated state, confirmed by a majority.
    ///
    /// # Errors
    ///
    /// No leader answered in time.
    pub async fn read_publication(&self) -> Result<Publication, Unavailable> {
        match self.submit(GroupRequest::Published).await? {
            GroupReply::Published(publication) => Ok(*publication),
            _ => Err(Unavailable),
        }
    }

    /// Entry instances to name to a caller, near ones first; empty while too few are known.
    pub fn directory(
        &self,
        host: Option<&str>,
        zone: Option<&ZoneId>,
        region: Option<&RegionId>,
    ) -> Vec<SocketAddr> {
        if self.now() - self.started < WARM_UP {
            return Vec::new();
        }
        let table = self.table.borrow();
        let homes = match (&*table, host) {
            (Some(table), Some(host)) => table.homes_of(host),
            _ => Vec::new(),
        };
        directory(&self.contacts.borrow(), self.now(), zone, region, &homes)
    }

    /// Reads a table, as the settings say.
    ///
    /// # Errors
    ///
    /// The document is no valid table.
    pub fn read_table(&self, document: &[u8]) -> Result<RouteTable, DocumentError> {
        let read = self.settings.borrow().read_table;
        read(document)
    }

    fn count_announcement(&self, effect: Effect) {
        let effect = match effect {
            Effect::Ignored => "ignored",
            Effect::Renewed => "renewed",
            Effect::Changed => "changed",
        };
        metrics::counter!(names::ANNOUNCEMENTS, "effect" => effect).increment(1);
    }

    async fn wait_for_entries(&self) {
        let pending = self.subscribers.borrow().unacknowledged_by_entries();
        let confirmed = async {
            while !self.subscribers.borrow().all_acknowledged(&pending) {
                sleep(CONFIRM_POLL_INTERVAL).await;
            }
        };
        if timeout(CONFIRM_TIMEOUT, confirmed).await.is_err() {
            tracing::warn!("entry instances didn't confirm that an upstream leaves");
        }
    }

    /// Carries a request out at the leader, wherever that is.
    async fn submit(&self, request: GroupRequest) -> Result<GroupReply, Unavailable> {
        let attempts = async {
            loop {
                match self.attempt(request.clone()).await {
                    Some(GroupReply::NotLeader(_)) | None => sleep(RETRY_PAUSE).await,
                    Some(GroupReply::Uncertain | GroupReply::Unfit) => return Err(Unavailable),
                    Some(reply) => return Ok(reply),
                }
            }
        };
        timeout(REQUEST_TIMEOUT, attempts).await.unwrap_or(Err(Unavailable))
    }

    /// One attempt; `None` if no leader is known.
    async fn attempt(&self, request: GroupRequest) -> Option<GroupReply> {
        let own = self.settings.borrow().card.id.clone();
        let leader = self.group.borrow().replica().leader().cloned()?;
        let call = self.last_call.get() + 1;
        self.last_call.set(call);
        let (sender, receiver) = oneshot::channel();
        self.calls.borrow_mut().push((call, sender));
        if leader == own {
            let caller = Caller { instance: own, call };
            self.drive_group(|group, now, out| group.call(now, caller, request, out));
        } else {
            let port = self.settings.borrow().card.internal.port();
            let address = address_of(&leader, port)?;
            self.links.send(address, &Message::Call { call, request });
        }
        receiver.await.ok()
    }

    pub(super) fn complete_call(&self, call: u64, reply: GroupReply) {
        let mut calls = self.calls.borrow_mut();
        calls.retain(|it| !it.1.is_closed());
        if let Ok(at) = calls.binary_search_by(|it| it.0.cmp(&call)) {
            // A caller that gave up in this moment needs no answer.
            let _ = calls.remove(at).1.send(reply);
        }
    }
}
