//! An entry instance: accepts the calls of callers and relays them.
//!
//! The life of a call:
//!
//! 1. [`serve`] finds its route, reads its body and makes attempts until one succeeds, none is
//!    left, or the time is up.
//! 2. Each attempt begins with the choice of an upstream in the own region or of an entry instance
//!    in another one ([`choice`]), or with a refusal. While this instance reaches no upstream
//!    ([`path_check`]), other entry instances of the own region may be chosen as well.
//! 3. [`attempt`] sends the call and classifies the result: an answer, a guarantee that the call
//!    was not run, or a failure after which it is unknown whether the call has run.
//! 4. A complete answer is passed on at once. A stream is passed on event by event by [`relay`],
//!    which resumes it at another upstream if the first one breaks off and the route allows it.
//!
//! A call that another instance has forwarded is served in the same way, but never forwarded again.

mod attempt;
mod brittle;
mod call;
mod choice;
mod crashes;
mod explain;
mod forwarded;
mod limited;
mod liveness;
mod pace;
mod path_check;
mod plan;
mod pressure;
mod quota;
mod relay;
mod residency;
mod serve;
mod stream_lookup;

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use medlarlug::{
    coordination::clock::Clock,
    transport::{
        answers::AnswerReader,
        http_client::HttpClient,
        http_server::{self, ServerError, ServerLimits},
        memory::Memory,
    },
};
use medlarlug_core::{
    gateway::{
        availability::AvailabilityTracker,
        cold::{ColdDetector, ColdSendPacer},
        contacts::{Contacts, InstanceInfo, InstanceKind, RegionWait, ServiceWait, Status},
        health::HealthTracker,
        keeper_view::{KEEPER_SOURCES, KeeperView},
        load_exchange::Member,
        pace::Ramps,
        peer_loads::{LoadReport, ReportSource},
        placement::{Demand, Loads},
        prefill_queue::QueueWaits,
        remote_region::REFERENCE_PROMPT_TOKENS,
        retry_budget::RetryWindow,
        table::{CallerLimits, RouteTable, ServiceName, TableVersion},
        table_fetch::TableFetch,
        table_lease::{TableLease, TableReport},
        upstreams::{Birth, Effect, UpstreamState, Upstreams},
    },
    ids::{InstanceId, RegionId, UpstreamId, ZoneId},
    time::Time,
};
use tokio::{
    sync::watch,
    task::{self, JoinHandle},
    time::{MissedTickBehavior, interval, sleep, timeout},
};

pub use self::explain::ExplainError;
use self::{
    brittle::BrittleState, crashes::Crashes, limited::LimitState, liveness::LivenessState,
    path_check::PathState, pressure::PressureState, quota::QuotaState, stream_lookup::StreamState,
};
pub(crate) use self::{
    limited::LimitMessage, liveness::LivenessMessage, stream_lookup::StreamMessage,
};
pub use serve::CallOutcome;

use crate::{
    headers::HeaderNames,
    keeper_links::{LinkOwner, Links, error_chain},
    link::{Message, PublicationHead, Update},
    load_exchange::{self, Exchange},
    metrics as names,
    packed::PackedDocument,
    settings::{MAX_UPDATE_AGE, NodeSettings},
};

/// Time between two rounds of housekeeping.
const UPKEEP_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which callers are still accepted after this instance has announced that it is leaving.
/// Most callers fetch the directory again within it, and streams still have the rest of the grace
/// period to end.
const DRAIN_ACCEPT_TIME: Duration = Duration::from_millis(2_500);
/// Time without a sign of life after which an instance is removed. It is longer than at keepers:
/// they send only changes, so an instance must be removed there first to be sent again when it
/// returns.
const CONTACT_EXPIRY: Duration = Duration::from_secs(60);
/// Time for which the prediction of spare capacity is reused. Each keeper is sent it in its own
/// ping.
const SPARE_LIFETIME: Duration = Duration::from_millis(300);
/// Fraction of the grace period after which calls that are still running are cut.
const GRACE_FRACTION: f64 = 0.92;
/// Time between two checks whether calls are still running.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Long answers of each kind that are read at a time. Their buffers take a fifth of the memory of
/// the smallest machine of an entry instance, which is 160 MB.
const MAX_LONG_ANSWERS: usize = 2;
/// Time for the last bytes of answers to be written.
const FLUSH_TIME: Duration = Duration::from_millis(100);
/// Time after start within which the table and the upstreams become known. Upstreams announce
/// themselves about every second, also to keepers that have just started.
const STARTUP_TIME: Duration = Duration::from_secs(4);
/// Maximum number of connections from callers and other instances. The system's own limit on file
/// descriptors is lower.
const MAX_CONNECTIONS: usize = 3_000;
/// Time for which a connection may be idle or take to send a request head. The table tells callers
/// how long they may reuse a connection, which is less.
const CONNECTION_IDLE_TIMEOUT: Duration = Duration::from_secs(120);

/// A running entry instance.
pub struct Entry {
    settings: RefCell<NodeSettings>,
    names: HeaderNames,
    clock: Clock,
    started: Time,
    table: RefCell<Option<Rc<RouteTable>>>,
    /// Newest replicated state that a keeper has sent; the table may not have arrived yet.
    head: RefCell<PublicationHead>,
    /// For how long the home regions of the table may be relied on.
    lease: RefCell<TableLease>,
    /// The request for a table that has not arrived yet.
    pending_fetch: RefCell<Option<TableFetch>>,
    upstreams: RefCell<Upstreams>,
    contacts: RefCell<Contacts>,
    /// Which keepers this instance receives updates from.
    view: RefCell<KeeperView>,
    loads: RefCell<Loads>,
    exchange: Exchange,
    queue_waits: RefCell<QueueWaits>,
    healths: RefCell<HealthTracker>,
    availabilities: RefCell<AvailabilityTracker>,
    limited: LimitState,
    brittle: BrittleState,
    liveness: LivenessState,
    paths: PathState,
    streams: StreamState,
    quota: QuotaState,
    pressure: PressureState,
    cold_pacer: RefCell<ColdSendPacer>,
    ramps: RefCell<Ramps>,
    /// Number of calls that wait for room at upstreams that ramp up.
    room_waits: Cell<usize>,
    crashes: RefCell<Crashes>,
    cold_detector: RefCell<ColdDetector>,
    /// Predicted waiting times of other regions, sorted by region and service.
    waits: RefCell<Vec<RegionWait>>,
    /// Predicted spare capacity of this instance, and when it was predicted.
    spare: RefCell<(Option<Time>, Vec<ServiceWait>)>,
    /// Prompt tokens forwarded to each region whose calls are not answered yet, sorted by region.
    forwarded_tokens: RefCell<Vec<(RegionId, u64)>>,
    /// Recent calls and retries of each service, sorted by service.
    retry_windows: RefCell<Vec<(ServiceName, RetryWindow)>>,
    links: Links,
    client: HttpClient,
    answers: AnswerReader,
    is_draining: Cell<bool>,
    /// The server for other instances; it ends once its connections are closed.
    internal: RefCell<Option<JoinHandle<()>>>,
    running: Cell<usize>,
    /// What the servers of the process hold for their clients.
    memory: Memory,
}

impl Entry {
    /// Starts the background tasks of an entry instance on the current thread, and listens for
    /// other instances.
    ///
    /// # Errors
    ///
    /// The internal address can't be bound.
    pub async fn start(
        settings: NodeSettings,
        names: HeaderNames,
        stop: watch::Receiver<bool>,
    ) -> Result<Rc<Entry>, ServerError> {
        let memory = settings.resources.client_memory(CallerLimits::default().body_bytes);
        let internal = http_server::listen_within("peers", settings.info.internal, &memory).await?;
        let clock = Clock::start_with_offset(MAX_UPDATE_AGE);
        let quota = QuotaState::new(settings.info.id.clone());
        let lease = RefCell::new(TableLease::new(settings.table_bounds));
        let entry = Rc::new(Entry {
            settings: RefCell::new(settings),
            names,
            started: clock.now(),
            clock,
            table: RefCell::default(),
            head: RefCell::default(),
            lease,
            pending_fetch: RefCell::default(),
            upstreams: RefCell::default(),
            contacts: RefCell::default(),
            view: RefCell::default(),
            loads: RefCell::default(),
            exchange: Exchange::default(),
            queue_waits: RefCell::default(),
            healths: RefCell::default(),
            availabilities: RefCell::default(),
            limited: LimitState::default(),
            brittle: BrittleState::default(),
            liveness: LivenessState::default(),
            paths: PathState::default(),
            streams: StreamState::default(),
            quota,
            pressure: PressureState::default(),
            cold_pacer: RefCell::default(),
            ramps: RefCell::default(),
            room_waits: Cell::default(),
            crashes: RefCell::default(),
            cold_detector: RefCell::default(),
            waits: RefCell::default(),
            spare: RefCell::default(),
            forwarded_tokens: RefCell::default(),
            retry_windows: RefCell::default(),
            links: Links::default(),
            client: HttpClient::within(&memory),
            answers: AnswerReader::new(memory.clone(), MAX_LONG_ANSWERS),
            is_draining: Cell::new(false),
            internal: RefCell::default(),
            running: Cell::new(0),
            memory: memory.clone(),
        });
        entry.links.connect_new(&entry);
        task::spawn_local(upkeep(entry.clone()));
        task::spawn_local(path_check::run(entry.clone()));
        let address = entry.info().internal;
        let socket = load_exchange::open(address).await.map_err(|source| ServerError::Listen {
            role: "load reports",
            address,
            source,
        })?;
        let socket = Rc::new(socket);
        task::spawn_local(load_exchange::send_reports(entry.clone(), socket.clone()));
        task::spawn_local(load_exchange::send_changes(entry.clone(), socket.clone()));
        task::spawn_local(load_exchange::forward_changes(entry.clone(), socket.clone()));
        task::spawn_local(limited::run(entry.clone(), socket.clone()));
        task::spawn_local(liveness::run(entry.clone(), socket.clone()));
        task::spawn_local(liveness::ask(entry.clone(), socket.clone()));
        task::spawn_local(stream_lookup::run(entry.clone(), socket.clone()));
        task::spawn_local(pace::run(entry.clone(), socket.clone()));
        task::spawn_local(quota::run(entry.clone(), socket.clone()));
        task::spawn_local(load_exchange::receive_datagrams(entry.clone(), socket));
        let this = entry.clone();
        let handler = move |request, _| serve::forwarded(this.clone(), request);
        let limits = server_limits(&memory, PEERS_SHARE);
        let server = http_server::serve_within(internal, limits, memory, stop, handler);
        *entry.internal.borrow_mut() = Some(task::spawn_local(server));
        Ok(entry)
    }

    /// Serves callers until `stop` becomes true and open calls have ended.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub async fn serve(
        self: &Rc<Entry>,
        front: SocketAddr,
        stop: watch::Receiver<bool>,
    ) -> Result<(), ServerError> {
        let listener = http_server::listen_within("callers", front, &self.memory).await?;
        let this = self.clone();
        let handler = move |request, _| serve::from_caller(this.clone(), request);
        let (limits, memory) = (server_limits(&self.memory, CALLERS_SHARE), self.memory.clone());
        http_server::serve_within(listener, limits, memory, stop, handler).await;
        Ok(())
    }

    /// What the servers of the process hold for their clients.
    pub fn memory(&self) -> &Memory {
        &self.memory
    }

    /// Applies changed settings. Contacts and retry bounds take effect at once.
    pub fn reload(self: &Rc<Entry>, settings: NodeSettings) {
        self.lease.borrow_mut().set_bounds(settings.table_bounds);
        *self.settings.borrow_mut() = settings;
        self.links.connect_new(self);
    }

    /// Whether callers may be sent here: a table is in effect, and the instance is not draining.
    pub fn is_ready(&self) -> bool {
        self.table.borrow().is_some() && !self.is_draining.get()
    }

    /// Announces to all keepers that this instance is leaving, closes its listeners once callers
    /// have moved, and returns when open calls have ended or the grace period is nearly over. Returns
    /// the time that is left for their answers to be written.
    pub async fn drain(&self, close: &watch::Sender<bool>) -> Duration {
        self.is_draining.set(true);
        self.links.send_all(&Message::Ping { status: self.status(), is_primary: false, number: 0 });
        let grace = self.settings.borrow().grace;
        let started = self.now();
        let latest = started + grace.mul_f64(GRACE_FRACTION);
        sleep(DRAIN_ACCEPT_TIME.min(grace / 2)).await;
        close.send_replace(true);
        sleep(http_server::LAST_REQUEST_TIME).await;
        while self.running.get() > 0 && self.now() < latest {
            sleep(DRAIN_POLL_INTERVAL).await;
        }
        tracing::info!(running = self.running.get(), "drained");
        let forwarded = self.internal.borrow_mut().take();
        if let Some(forwarded) = forwarded
            && timeout(latest - self.now(), forwarded).await.is_err()
        {
            tracing::warn!("connections of other instances cut at the end of the grace period");
        }
        sleep(FLUSH_TIME).await;
        latest - self.now()
    }

    pub(crate) fn now(&self) -> Time {
        self.clock.now()
    }

    fn uptime(&self) -> Duration {
        self.now() - self.started
    }

    /// Whether the instance started so recently that it may not have received all updates yet.
    fn is_starting(&self) -> bool {
        self.uptime() < STARTUP_TIME
    }

    /// Whether the instance can judge calls: it has a table, and since its start has received
    /// updates from all keepers but one, of which at least one knows the contents that crash
    /// upstreams.
    fn is_informed(&self) -> bool {
        self.table.borrow().is_some() && self.view.borrow().was_complete()
    }

    /// The ids of the live entry instances of the own region, this one included, sorted.
    fn region_entries(&self) -> Vec<InstanceId> {
        let settings = self.settings.borrow();
        let own = &settings.info;
        let contacts = self.contacts.borrow();
        let live = contacts.live_entries(self.now()).map(|contact| &contact.info);
        let mut ids: Vec<InstanceId> =
            live.filter(|info| info.region == own.region).map(|info| info.id.clone()).collect();
        ids.push(own.id.clone());
        ids.sort();
        ids.dedup();
        ids
    }

    /// This instance, and all live entry instances of its region with their internal addresses.
    pub(crate) fn region_members(&self) -> (Member, Vec<(Member, SocketAddr)>) {
        let settings = self.settings.borrow();
        let own = &settings.info;
        let member = |info: &InstanceInfo| Member { id: info.id.clone(), zone: info.zone.clone() };
        let contacts = self.contacts.borrow();
        let live = contacts.live_entries(self.now()).map(|contact| &contact.info);
        let others = live.filter(|info| info.region == own.region && info.id != own.id);
        let mut all: Vec<(Member, SocketAddr)> =
            others.map(|info| (member(info), info.internal)).collect();
        all.push((member(own), own.internal));
        (member(own), all)
    }

    /// The id of this instance.
    pub(crate) fn id(&self) -> InstanceId {
        self.settings.borrow().info.id.clone()
    }

    /// The state of the load exchange.
    pub(crate) fn exchange(&self) -> &Exchange {
        &self.exchange
    }

    /// The in-flight load of this instance at all upstreams.
    pub(crate) fn load_report(&self) -> Vec<LoadReport> {
        self.loads.borrow().report()
    }

    /// The in-flight load of this instance at the given upstreams.
    pub(crate) fn load_report_of(&self, upstreams: &[UpstreamId]) -> Vec<LoadReport> {
        let loads = self.loads.borrow();
        upstreams.iter().map(|id| loads.report_of(id)).collect()
    }

    /// The number of instances of the region other than `to`, and their aggregate load.
    pub(crate) fn aggregate_for(&self, to: &InstanceId) -> (usize, Vec<LoadReport>) {
        self.loads.borrow().aggregate_for(to)
    }

    /// The own zone, the number of its instances, and their aggregate load.
    pub(crate) fn zone_aggregate(&self) -> (ZoneId, usize, Vec<LoadReport>) {
        let (instances, loads) = self.loads.borrow().zone_aggregate();
        (self.settings.borrow().info.zone.clone(), instances, loads)
    }

    /// Removes reports of peers that have expired.
    pub(crate) fn expire_peer_loads(&self) {
        self.loads.borrow_mut().drop_expired_reports(self.now());
    }

    /// Applies changed loads of other instances at some upstreams.
    pub(crate) fn apply_load_changes(&self, from: &ReportSource, changes: Vec<LoadReport>) {
        let mut loads = self.loads.borrow_mut();
        changes.into_iter().for_each(|change| loads.apply_change(from, change));
    }

    /// Replaces the load that `from` reported before by `loads`.
    pub(crate) fn apply_loads(&self, from: ReportSource, instances: usize, loads: Vec<LoadReport>) {
        self.loads.borrow_mut().apply_report(self.now(), from, instances, loads);
    }

    fn on_update(&self, from: SocketAddr, mut update: Update) {
        let now = self.now();
        for (upstream, age) in update.take_upstreams() {
            let software = upstream.software.clone();
            let (id, state) = (upstream.id.clone(), upstream.state);
            let (birth, sequence) = (upstream.birth.0, upstream.sequence);
            let before = self.upstreams.borrow().get(&id).map(|it| it.upstream.birth);
            self.on_replacement(&upstream);
            let effect = match state {
                UpstreamState::Gone => self.upstreams.borrow_mut().mark_unknown_gone(now, upstream),
                _ => self.upstreams.borrow_mut().announce(now, upstream, age),
            };
            self.upstreams.borrow_mut().record_keeper(from, &id, Birth(birth));
            if effect != Effect::Changed {
                continue;
            }
            let software = software.map(tracing::field::display);
            tracing::info!(upstream = %id, birth, sequence, ?state, software, age_ms = age.as_millis() as u64, %from, "upstream changed");
            self.streams.review();
            self.recheck_path();
            let is_new = before.is_some_and(|before| before.0 < birth);
            if is_new {
                self.healths.borrow_mut().forget(&id);
                self.loads.borrow_mut().reset(&id);
            }
        }
        self.apply_contacts(now, update.contacts, update.instance_heartbeats);
        if let Some(heartbeat) = &update.heartbeat {
            self.upstreams.borrow_mut().apply_heartbeat(now, from, heartbeat);
        }
        if !update.waits.is_empty() {
            *self.waits.borrow_mut() = update.waits;
        }
        if let Some(head) = update.head {
            self.on_head(from, head, &update.restored);
        }
        if !update.facts.is_empty() {
            self.apply_facts(update.facts);
        }
        self.links.send(from, &Message::Acknowledged(update.number));
    }

    fn apply_contacts(
        &self,
        now: Time,
        changed: Vec<(InstanceInfo, bool, u32)>,
        instance_heartbeats: Vec<(InstanceId, u32)>,
    ) {
        let mut contacts = self.contacts.borrow_mut();
        for (info, ready, age) in changed {
            let age = Duration::from_millis(age.into());
            let status = Status { ready, service_waits: Vec::new() };
            contacts.update(now, info, Some(status), age);
        }
        for (id, age) in instance_heartbeats {
            contacts.renew(now, &id, Duration::from_millis(age.into()));
        }
    }

    /// Updates the view with the current list of keepers, and logs if the process was stalled.
    fn update_view(&self) {
        let stalled = self.view.borrow_mut().update(self.now(), &self.keepers());
        if let Some(time) = stalled {
            let stalled_ms = time.as_millis() as u64;
            tracing::warn!(
                stalled_ms,
                "process was stalled; upstreams are considered cold until their next announcement"
            );
        }
    }

    /// The nearest keepers with an open link. Only they send renewals; all keepers send changes.
    fn primary_keepers(&self) -> Vec<SocketAddr> {
        let own = self.info();
        let contacts = self.contacts.borrow();
        let distance = |address: &SocketAddr| {
            let known = contacts.all().iter().find(|it| it.info.internal == *address);
            known.map_or(3, |it| match &it.info {
                info if info.zone == own.zone => 0,
                info if info.region == own.region => 1,
                _ => 2,
            })
        };
        let mut open = self.links.connected();
        open.sort_by_key(|address| (distance(address), *address));
        open.truncate(KEEPER_SOURCES);
        open
    }

    fn on_head(&self, from: SocketAddr, head: PublicationHead, restored: &[(ZoneId, u32)]) {
        let mut own = self.head.borrow_mut();
        if head.round > own.round {
            let now = self.now();
            let seen = head.evacuations().restored_since(own.evacuations());
            let was_away = seen.is_none();
            tracing::info!(round = head.round, evacuated = ?head.evacuated, was_away, ?restored, %from, "evacuated zones changed");
            let mut cold_detector = self.cold_detector.borrow_mut();
            match seen {
                Some(zones) => zones.iter().for_each(|zone| cold_detector.zone_restored(now, zone)),
                None => restored.iter().for_each(|(zone, age)| {
                    let age = Duration::from_millis((*age).into());
                    cold_detector.zone_restored(now.saturating_sub(age), zone);
                }),
            }
            own.round = head.round;
            own.evacuated = head.evacuated;
        }
        if head.version > own.version {
            own.version = head.version;
        }
        drop(own);
        self.fetch(from, head.version);
    }

    /// Requests a table from a keeper if it is newer than the own one, unless a table is about to arrive.
    fn fetch(&self, from: SocketAddr, version: TableVersion) {
        if version <= self.version() {
            return;
        }
        let now = self.now();
        let mut pending = self.pending_fetch.borrow_mut();
        if let Some(fetch) = &mut *pending {
            fetch.observe(now, self.links.received_bytes(fetch.keeper()));
        }
        if pending.as_ref().is_some_and(|fetch| fetch.is_active(now)) {
            return;
        }
        let Some(received) = self.links.received_bytes(from) else { return };
        if self.links.send(from, &Message::Fetch { version, accepts_packed: true }) {
            if let Some(before) = &*pending {
                tracing::info!(version = version.0, keeper = %from, before = %before.keeper(), "requesting the table again");
            }
            *pending = Some(TableFetch::new(now, from, received));
        }
    }

    /// Requests a table from the keeper that follows the one asked last, which may lack it.
    fn fetch_from_next(&self, version: TableVersion) {
        let mut keepers = self.keepers();
        let asked = self.pending_fetch.borrow().as_ref().map(TableFetch::keeper);
        let followers = asked.map_or(0, |asked| keepers.partition_point(|it| *it <= asked));
        keepers.rotate_left(followers);
        keepers.into_iter().for_each(|keeper| self.fetch(keeper, version));
    }

    /// Ends the request that a keeper has answered with the table `received`, and requests a newer one that
    /// has become known meanwhile.
    fn fetch_newer(&self, from: SocketAddr, received: TableVersion) {
        *self.pending_fetch.borrow_mut() = None;
        let newest = self.head.borrow().version;
        if newest > received {
            self.fetch(from, newest);
        }
    }

    /// Version of the table in effect; zero before the first one.
    fn version(&self) -> TableVersion {
        self.table.borrow().as_ref().map(|table| table.version()).unwrap_or_default()
    }

    fn on_packed_document(
        &self,
        from: SocketAddr,
        version: TableVersion,
        document: &PackedDocument,
    ) {
        if version <= self.version() {
            return;
        }
        match document.unpack() {
            Ok(bytes) => self.on_document(from, version, &bytes),
            Err(error) => {
                tracing::error!(version = version.0, %error, %from, "failed to unpack a table")
            }
        }
    }

    fn on_document(&self, from: SocketAddr, version: TableVersion, bytes: &[u8]) {
        if version <= self.version() {
            return;
        }
        let read = self.settings.borrow().read_table;
        match read(bytes) {
            Ok(table) => {
                let routes = table.routes().len();
                tracing::info!(version = version.0, routes, %from, "table in force");
                metrics::gauge!(names::TABLE_VERSION).set(version.0 as f64);
                *self.table.borrow_mut() = Some(Rc::new(table));
                self.review_quotas();
            }
            Err(error) => {
                tracing::error!(version = version.0, error = %error_chain(&error), %from, "invalid table ignored");
            }
        }
    }

    /// Logs if the home regions of the table may be relied on no longer, or again.
    fn review_lease(&self) {
        let (now, version) = (self.now(), self.version());
        let mut lease = self.lease.borrow_mut();
        lease.retain_keepers(&self.keepers());
        let Some(is_held) = lease.review(now, version) else { return };
        let age_ms = lease.age(now, version).map(|it| it.as_millis() as u64);
        let newest = self.head.borrow().version.0;
        match is_held {
            true => {
                tracing::info!(version = version.0, newest, age_ms, "homes of the table confirmed")
            }
            false => {
                tracing::warn!(
                    version = version.0,
                    newest,
                    age_ms,
                    "homes of the table not confirmed"
                );
            }
        }
    }

    /// Whether no newer table than the one in effect is known, and the instance would have heard of
    /// one.
    fn has_newest_table(&self) -> bool {
        self.head.borrow().version <= self.version() && self.view.borrow().is_settled(self.now())
    }

    /// Predicted waiting times of calls of usual size at this instance, by service.
    fn spare(&self) -> Vec<ServiceWait> {
        let now = self.now();
        let mut spare = self.spare.borrow_mut();
        if spare.0.is_none_or(|when| now - when > SPARE_LIFETIME) {
            *spare = (Some(now), self.predict_spare());
        }
        spare.1.clone()
    }

    fn predict_spare(&self) -> Vec<ServiceWait> {
        let Some(table) = self.table.borrow().clone() else { return Vec::new() };
        let spare = table.services().iter().map(|service| {
            let prompt = service.engine.map_or(0, |_| REFERENCE_PROMPT_TOKENS);
            let demand = Demand { prompt_tokens: prompt, priority: 1, ..Demand::default() };
            let choice = self.choose_local(&table, &service.name, &demand, &|_| true);
            let wait = choice.map(|choice| self.cost(&choice).as_millis());
            let wait_ms = wait.map(|wait| u32::try_from(wait).unwrap_or(u32::MAX));
            ServiceWait { service: service.name.clone(), wait_ms }
        });
        spare.collect()
    }
}

/// Share of the descriptors and of the memory for connections that callers may use. As many are left for
/// the connections to upstreams.
const CALLERS_SHARE: f64 = 0.3125;
/// The share of other instances.
const PEERS_SHARE: f64 = 0.125;
/// Buffer for a head and the bytes that are read with it: four times the longest head that the first
/// deployments permit, and twice within a memory limit.
const HEADER_BYTES: usize = 64 * 1024;
const LIMITED_HEADER_BYTES: usize = 32 * 1024;

fn server_limits(memory: &Memory, share: f64) -> ServerLimits {
    ServerLimits {
        header_bytes: if memory.is_limited() { LIMITED_HEADER_BYTES } else { HEADER_BYTES },
        header_time: CONNECTION_IDLE_TIMEOUT,
        connections: memory.connections(MAX_CONNECTIONS, share),
        requests: u32::MAX,
    }
}

impl LinkOwner for Entry {
    fn now(&self) -> Time {
        self.now()
    }

    fn info(&self) -> InstanceInfo {
        self.settings.borrow().info.clone()
    }

    fn status(&self) -> Status {
        Status { ready: self.is_ready(), service_waits: self.spare() }
    }

    fn is_primary(&self, address: SocketAddr) -> bool {
        self.primary_keepers().contains(&address)
    }

    fn keepers(&self) -> Vec<SocketAddr> {
        let contacts = self.contacts.borrow();
        let known = contacts.all().iter().filter(|it| it.info.kind == InstanceKind::Keeper);
        let mut all = self.settings.borrow().contacts.clone();
        all.extend(known.map(|it| it.info.internal));
        all.sort();
        all.dedup();
        all
    }

    fn link_opened(&self, address: SocketAddr) {
        self.upstreams.borrow_mut().forget_keeper(address);
        let facts = self.facts_to_resend();
        if !facts.is_empty() {
            self.links.send(address, &Message::Facts(facts));
        }
    }

    fn table_reported(&self, from: SocketAddr, sent: Time, report: TableReport) {
        if self.lease.borrow_mut().record_report(from, sent, report) {
            tracing::info!(keeper = %from, "keeper of an earlier build; it does not confirm tables");
        }
    }

    fn receive(&self, from: SocketAddr, message: Message) {
        let now = self.now();
        self.contacts.borrow_mut().renew_at(now, from);
        self.view.borrow_mut().record_keeper(now, from);
        self.update_view();
        match message {
            Message::Update(update) => self.on_update(from, update),
            Message::Document { version, bytes } => {
                self.on_document(from, version, &bytes);
                self.fetch_newer(from, version);
            }
            Message::PackedDocument { version, document } => {
                self.on_packed_document(from, version, &document);
                self.fetch_newer(from, version);
            }
            Message::Pong { .. } => {}
            _ => tracing::warn!(keeper = %from, "unexpected message"),
        }
    }
}

async fn upkeep(entry: Rc<Entry>) {
    let mut ticks = interval(UPKEEP_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let now = entry.now();
        entry.contacts.borrow_mut().forget_expired(now, CONTACT_EXPIRY);
        entry.expire_crashes();
        entry.expire_streams();
        entry.expire_brittle();
        entry.streams.review();
        for id in entry.upstreams.borrow_mut().forget_expired(now) {
            entry.forget_limit(&id);
            tracing::info!(upstream = %id, "upstream expired");
        }
        entry.links.connect_new(&entry);
        entry.update_view();
        entry.review_lease();
        entry.review_quotas();
        let wanted = entry.head.borrow().version;
        if wanted > entry.version() {
            entry.fetch_from_next(wanted);
        }
        metrics::gauge!(names::OPEN_LINKS).set(entry.links.open_count() as f64);
        let upstreams = entry.upstreams.borrow();
        let ready = upstreams.all().iter().filter(|it| it.upstream.state == UpstreamState::Ready);
        metrics::gauge!(names::READY_UPSTREAMS).set(ready.count() as f64);
    }
}
