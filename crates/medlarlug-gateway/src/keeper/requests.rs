//! Requests of upstreams, operators and callers to a keeper.

use std::{net::SocketAddr, time::Duration};

use medlarlug::{
    coordination::keeper::group::Caller,
    protocol::{GroupReply, GroupRequest},
};
use medlarlug_core::{
    gateway::{
        contacts::{DirectoryQuery, Listing, Scope, entry_addresses},
        evacuation_orders::Timeliness,
        publication::{Command, Publication},
        table::{HostHomes, RouteTable, TableVersion},
        table_lease::TableReport,
        upstreams::{Effect, Upstream, UpstreamState},
    },
    ids::{RegionId, UpstreamId, ZoneId},
    time::Time,
};
use serde_bytes::ByteBuf;
use thiserror::Error;
use tokio::{
    sync::oneshot,
    time::{sleep, timeout},
};

use super::{Keeper, LoggedScope};
use crate::{
    link::Message,
    metrics as names,
    settings::{DocumentError, address_of},
};

/// Timeout of an operator's request. Clients try the next keeper after one second.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(950);
/// Delay before a request is retried while there is no leader.
const RETRY_DELAY: Duration = Duration::from_millis(60);
/// Time within which entry instances have to confirm that an upstream is leaving. The upstream
/// expects an answer within a second.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(700);
/// Time between two checks which entry instances have confirmed.
const CONFIRM_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time after start in which too few entry instances are connected to list them to callers.
const WARM_UP_TIME: Duration = Duration::from_millis(1_500);
/// Time for which a keeper waits for the leader's answer about the newest version of the table. The answer
/// counts from the request, so a late one is of use as well.
const VERSION_READ_TIMEOUT: Duration = Duration::from_secs(3);

/// Most combinations of a region and homes for which the scope of the directory is logged.
const MAX_LOGGED_SCOPES: usize = 64;

/// Time for which the caller of an order is watched before the order is carried out. Bytes that a
/// partition held up arrive before the end of their connection, which follows at the latest one round
/// trip later: 120 ms between distant regions, and as much again for a lost packet.
const CALLER_WATCH_TIME: Duration = Duration::from_millis(250);

/// No leader answered the request in time; it may have been carried out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("no leader of the keepers answered in time")]
pub struct Unavailable;

/// Why an order of an operator is not acknowledged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum OrderError {
    /// No leader answered in time; the order may have been carried out.
    #[error(transparent)]
    Unavailable(#[from] Unavailable),
    /// The zone has changed since the order was received; the order has no effect.
    #[error("the zone was evacuated or taken back since the order was received; send it again")]
    Outdated,
}

impl Keeper {
    /// Applies an announcement. If the upstream is leaving, returns once every connected entry
    /// instance knows, or when a timeout passes.
    pub async fn announce(&self, upstream: Upstream) {
        let is_leaving = upstream.state != UpstreamState::Ready;
        let id = upstream.id.clone();
        let (birth, sequence, state) = (upstream.birth.0, upstream.sequence, upstream.state);
        let software = upstream.software.clone().map(tracing::field::display);
        let now = self.now();
        let age = self.stall.borrow().max_message_age(now);
        let effect = self.upstreams.borrow_mut().announce_local(now, upstream, age);
        self.count_announcement(effect);
        if effect == Effect::Changed {
            let age_ms = age.as_millis() as u64;
            tracing::info!(upstream = %id, birth, sequence, ?state, software, age_ms, "upstream changed");
            self.push();
        }
        if is_leaving {
            self.wait_for_entries(CONFIRM_TIMEOUT).await;
        }
    }

    /// Records that an upstream has left. Returns once every connected entry instance knows, or
    /// when a timeout passes.
    ///
    /// The request names no incarnation. If the upstream is in service, it may be a late one of an
    /// earlier incarnation, so its caller is watched first.
    pub async fn upstream_left(&self, id: &UpstreamId, unknown: Upstream) {
        let mut limit = CONFIRM_TIMEOUT;
        if self.is_in_service(id) {
            watch_caller(format!("remove {id}"), None).await;
            limit -= CALLER_WATCH_TIME;
        }
        let now = self.now();
        let effect = self.upstreams.borrow_mut().mark_unknown_gone(now, unknown);
        self.count_announcement(effect);
        if effect == Effect::Changed {
            tracing::info!(upstream = %id, "upstream left");
            self.push();
        }
        self.wait_for_entries(limit).await;
    }

    fn is_in_service(&self, id: &UpstreamId) -> bool {
        let upstreams = self.upstreams.borrow();
        upstreams.get(id).is_some_and(|it| it.upstream.state == UpstreamState::Ready)
    }

    /// Publishes a table that was validated before. Does nothing if it is not newer than the one in
    /// effect.
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
            // An applied version is committed, so it is in effect or has been replaced already.
            return Ok(());
        }
        let command = Command::Publish { version, document: ByteBuf::from(document) };
        self.submit(GroupRequest::Publish(command)).await.map(|_| ())
    }

    /// Evacuates a zone, or withdraws its evacuation. Returns after [`CALLER_WATCH_TIME`] at the
    /// earliest; a caller that drops the future before has left, and its order is not carried out.
    ///
    /// # Errors
    ///
    /// No leader answered in time, or the zone has changed since the call.
    pub async fn evacuate(&self, zone: ZoneId, is_evacuated: bool) -> Result<(), OrderError> {
        let received = self.now();
        let known_round = Some(self.head.borrow().round);
        let (command, verb) = match is_evacuated {
            true => (Command::Evacuate(zone.clone()), "evacuate"),
            false => (Command::Restore(zone.clone()), "restore"),
        };
        watch_caller(format!("{verb} {zone}"), known_round).await;
        let request = LeaderRequest { request: GroupRequest::Publish(command), known_round };
        match self.submit_until(received + REQUEST_TIMEOUT, request).await? {
            GroupReply::Outdated => Err(OrderError::Outdated),
            _ => Ok(()),
        }
    }

    /// Reads the newest replicated state, confirmed by a majority.
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

    /// Asks the leader for the newest version of the table, which a majority has to confirm. Returns
    /// whether there was an answer.
    pub(super) async fn confirm_table(&self) -> bool {
        let requested = self.now();
        let Some(version) = self.read_version().await else { return false };
        self.confirmed.set(Some((version, requested)));
        self.lease.borrow_mut().record(requested, version);
        true
    }

    async fn read_version(&self) -> Option<TableVersion> {
        let request = LeaderRequest { request: GroupRequest::Revision, known_round: None };
        match timeout(VERSION_READ_TIMEOUT, self.attempt(request)).await.ok()?? {
            GroupReply::Revision(revision) => Some(TableVersion(revision.0)),
            // The leader is an earlier build.
            GroupReply::UnsupportedRequest => Some(self.read_publication().await.ok()?.version()),
            _ => None,
        }
    }

    /// What this keeper reports about the newest table.
    pub(super) fn table_report(&self) -> TableReport {
        let Some((version, at)) = self.confirmed.get() else { return TableReport::Unconfirmed };
        let age_ms = (self.now() - at).as_micros().div_ceil(1_000);
        TableReport::Confirmed { version, age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX) }
    }

    /// Logs if the home regions of the table may be relied on no longer, or again.
    pub(super) fn review_lease(&self) {
        let (now, version) = (self.now(), self.table_version());
        let mut lease = self.lease.borrow_mut();
        let Some(is_held) = lease.review(now, version) else { return };
        let age_ms = lease.age(now, version).map(|it| it.as_millis() as u64);
        match is_held {
            true => tracing::info!(version = version.0, age_ms, "homes of the table confirmed"),
            false => {
                tracing::warn!(version = version.0, age_ms, "homes of the table not confirmed")
            }
        }
    }

    /// Version of the table that this keeper has read; zero before the first one.
    pub(super) fn table_version(&self) -> TableVersion {
        self.table.borrow().as_ref().map(|table| table.version()).unwrap_or_default()
    }

    /// The entry instances to list to a caller; empty while too few are known, or if the caller should
    /// ask another keeper.
    pub fn directory(
        &self,
        host: Option<&str>,
        zone: Option<&ZoneId>,
        region: Option<&RegionId>,
    ) -> Vec<SocketAddr> {
        let now = self.now();
        if now - self.started < WARM_UP_TIME {
            return Vec::new();
        }
        let is_confirmed = self.lease.borrow().holds(now, self.table_version());
        let table = self.table.borrow().clone().filter(|_| is_confirmed);
        let homes = table.as_ref().and_then(|table| table.homes_of(host?));
        let query = DirectoryQuery { zone, region, homes };
        let listing = entry_addresses(&self.contacts.borrow(), now, query);
        metrics::counter!(names::DIRECTORY_ANSWERS, "scope" => listing.scope.name()).increment(1);
        self.log_scope(&query, &listing);
        listing.addresses
    }

    /// Logs the scope of the directory's answers to the callers of a region if it has changed.
    fn log_scope(&self, query: &DirectoryQuery, listing: &Listing) {
        let now = self.now();
        let is_of_deployment = |region: &&RegionId| {
            self.settings.borrow().zones.iter().any(|(_, known)| known == *region)
        };
        // Callers may send any name.
        let Some(region) = query.region.filter(is_of_deployment) else { return };
        let homes = query.homes;
        let Some(before) = self.replace_scope(region, homes, listing.scope) else { return };
        let is_near = |scope: Scope| matches!(scope, Scope::Zone | Scope::Region);
        if before == listing.scope || (is_near(before) && is_near(listing.scope)) {
            return;
        }
        let ready = self.contacts.borrow().ready_by_region(now);
        let ready = ready.iter().map(|it| format!("{}:{}@{}ms", it.0, it.1, it.2.as_millis()));
        let stalled = self.stall.borrow().last_resumed(now);
        let names = homes.into_iter().flat_map(HostHomes::regions).map(RegionId::as_str);
        tracing::info!(
            %region,
            homes = %names.collect::<Vec<_>>().join(","),
            scope = listing.scope.name(),
            before = before.name(),
            addresses = listing.addresses.len(),
            ready = %ready.collect::<Vec<_>>().join(","),
            table = self.head.borrow().version.0,
            has_table = self.table.borrow().is_some(),
            is_known = homes.is_some(),
            up_ms = (now - self.started).as_millis() as u64,
            since_stall_ms = stalled.map(|it| (now - it).as_millis() as u64),
            "scope of the directory changed"
        );
    }

    /// Remembers the scope of an answer, and returns the one before; `None` if too many are remembered.
    fn replace_scope(
        &self,
        region: &RegionId,
        homes: Option<&HostHomes>,
        scope: Scope,
    ) -> Option<Scope> {
        let mut scopes = self.scopes.borrow_mut();
        let key = (region, homes);
        match scopes.binary_search_by(|it| it.key().cmp(&key)) {
            Ok(at) => Some(std::mem::replace(&mut scopes[at].scope, scope)),
            Err(_) if scopes.len() >= MAX_LOGGED_SCOPES => None,
            Err(at) => {
                let (region, homes) = (region.clone(), homes.cloned());
                scopes.insert(at, LoggedScope { region, homes, scope });
                Some(Scope::Region)
            }
        }
    }

    /// Parses a table with the function from the settings.
    ///
    /// # Errors
    ///
    /// The document is not a valid table.
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

    async fn wait_for_entries(&self, limit: Duration) {
        let pending = self.subscribers.borrow().unacknowledged_by_entries();
        let confirmed = async {
            while !self.subscribers.borrow().all_acknowledged(&pending) {
                sleep(CONFIRM_POLL_INTERVAL).await;
            }
        };
        if timeout(limit, confirmed).await.is_err() {
            tracing::warn!("entry instances did not confirm in time that an upstream is leaving");
        }
    }

    /// Carries out a request at the leader, which may be this keeper or another one.
    async fn submit(&self, request: GroupRequest) -> Result<GroupReply, Unavailable> {
        let request = LeaderRequest { request, known_round: None };
        self.submit_until(self.now() + REQUEST_TIMEOUT, request).await
    }

    async fn submit_until(
        &self,
        deadline: Time,
        request: LeaderRequest,
    ) -> Result<GroupReply, Unavailable> {
        let retries = async {
            loop {
                // The process may have stood still, and its caller may have gone elsewhere.
                if self.now() >= deadline {
                    return Err(Unavailable);
                }
                match self.attempt(request.clone()).await {
                    Some(GroupReply::NotLeader(_)) | None => sleep(RETRY_DELAY).await,
                    Some(GroupReply::Uncertain | GroupReply::UnsupportedRequest) => {
                        return Err(Unavailable);
                    }
                    Some(reply) => return Ok(reply),
                }
            }
        };
        let limit = deadline - self.now();
        timeout(limit, retries).await.unwrap_or(Err(Unavailable))
    }

    /// Makes one attempt; `None` if no leader is known or it does not answer.
    async fn attempt(&self, request: LeaderRequest) -> Option<GroupReply> {
        let LeaderRequest { request, known_round } = request;
        let own = self.settings.borrow().info.id.clone();
        let leader = self.group.borrow().replica().leader().cloned()?;
        let call = self.last_call.get() + 1;
        self.last_call.set(call);
        let (sender, receiver) = oneshot::channel();
        self.calls.borrow_mut().push((call, sender));
        if leader == own {
            let caller = Caller { instance: own, call };
            self.call_group(caller, request, known_round);
        } else {
            let port = self.settings.borrow().info.internal.port();
            let address = address_of(&leader, port)?;
            self.links.send(address, &Message::Call { call, request, known_round });
        }
        receiver.await.ok()
    }

    /// Passes a request to the group, unless it is an order that arrives too late.
    pub(super) fn call_group(
        &self,
        caller: Caller,
        request: GroupRequest,
        known_round: Option<u64>,
    ) {
        if let (Some((zone, evacuates)), Some(known)) = (request.evacuation(), known_round)
            && self.is_leader()
            && let Some(reply) = self.judge_order(zone, evacuates, known)
        {
            return self.reply(caller, reply);
        }
        self.drive_group(|group, now, out| group.call(now, caller, request, out));
    }

    /// The reply to an order that is not carried out; `None` if it is.
    fn judge_order(&self, zone: &ZoneId, evacuates: bool, known_round: u64) -> Option<GroupReply> {
        // The sender asks again soon.
        let not_now = Some(GroupReply::NotLeader(None));
        if !self.group.borrow().holds_all_evacuations() {
            return not_now;
        }
        let head = self.head.borrow();
        match self.evacuations.borrow().judge(head.evacuations(), zone, evacuates, known_round) {
            Timeliness::Current => None,
            Timeliness::Unknown => not_now,
            Timeliness::Outdated => {
                let round = head.round;
                tracing::warn!(%zone, evacuates, known_round, round, "late order dropped");
                Some(GroupReply::Outdated)
            }
        }
    }

    pub(super) fn complete_call(&self, call: u64, reply: GroupReply) {
        let mut calls = self.calls.borrow_mut();
        calls.retain(|it| !it.1.is_closed());
        if let Ok(at) = calls.binary_search_by(|it| it.0.cmp(&call)) {
            // The receiver is gone if the requester has just timed out.
            let _ = calls.remove(at).1.send(reply);
        }
    }
}

/// A request for the leader.
#[derive(Debug, Clone)]
struct LeaderRequest {
    request: GroupRequest,
    /// For a change of the evacuated zones: how many this keeper knew when it received the order.
    known_round: Option<u64>,
}

/// Waits for [`CALLER_WATCH_TIME`]. The server drops the future if the connection of the caller ends,
/// also if only the caller's sending direction was closed.
async fn watch_caller(description: String, known_round: Option<u64>) {
    struct Watch {
        description: String,
        known_round: Option<u64>,
        is_over: bool,
    }

    impl Drop for Watch {
        fn drop(&mut self) {
            if !self.is_over {
                let (order, known_round) = (&self.description, self.known_round);
                tracing::warn!(order, known_round, "order dropped: its caller has left");
            }
        }
    }

    let mut watch = Watch { description, known_round, is_over: false };
    sleep(CALLER_WATCH_TIME).await;
    watch.is_over = true;
}
