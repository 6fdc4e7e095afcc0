//! An entry instance: takes callers' calls in and relays them.
//!
//! The life of a call:
//!
//! 1. [`serve`] finds its route, reads its body and repeats attempts until one succeeds, none is
//!    left, or the time is up.
//! 2. Each attempt begins with a choice of an upstream in the own region or of an entry instance
//!    in another one ([`choice`]), or with a refusal.
//! 3. [`attempt`] sends the call and judges what comes back: an answer, a promise that the call was
//!    not run, or a failure after which nobody knows.
//! 4. A whole answer is passed on at once. A stream is passed on event by event by [`relay`], which
//!    goes on at another upstream if the first one breaks off and the route allows it.
//!
//! A call that another region has handed over takes the same way, but is never handed on.

mod answers;
mod attempt;
mod call;
mod choice;
mod crashes;
mod forwarded;
mod limited;
mod plan;
mod relay;
mod serve;

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use medlarlug::{
    coordination::clock::Clock,
    transport::{
        http_client::HttpClient,
        http_server::{self, ServerError, ServerLimits},
    },
};
use medlarlug_core::{
    gateway::{
        availability::Availabilities,
        cold::{ColdSends, Suspicions},
        contacts::{Card, Contacts, Part, RegionWait, Spare, Status},
        health::Healths,
        keeper_view::{SOURCES, View},
        load_exchange::Member,
        peer_loads::{LoadReport, Source},
        placement::{Demand, Loads},
        prefill_queue::TurnWaits,
        remote_region::USUAL_PROMPT,
        retry_budget::RetryWindow,
        table::{RouteTable, ServiceName, TableVersion},
        upstreams::{Birth, Effect, UpstreamState, Upstreams},
    },
    ids::{InstanceId, RegionId, UpstreamId, ZoneId},
    time::Time,
};
use tokio::{
    sync::watch,
    task,
    time::{MissedTickBehavior, interval, sleep},
};

pub(crate) use self::limited::LimitMessage;
use self::{answers::Answers, crashes::Crashes, limited::Limited};
pub use serve::Ended;

use crate::{
    headers::HeaderNames,
    keeper_links::{Links, Owner, chain},
    link::{Head, Message, News},
    load_exchange::{self, Exchange},
    metrics as names,
    settings::{LONGEST_AGE, NodeSettings},
};

/// Time between two rounds of upkeep.
const UPKEEP_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which a table that was asked for is asked for again.
const FETCH_TIMEOUT: Duration = Duration::from_millis(600);
/// Time for which callers still come after this instance has said that it is leaving: until most
/// have asked for the directory again, and early enough for streams to end within the grace period.
const LINGER: Duration = Duration::from_millis(2_500);
/// Silence after which an instance is forgotten: longer than with keepers, which tell only of
/// changes, so that an instance that returns after a long silence is told of anew.
const FORGET_AFTER: Duration = Duration::from_secs(60);
/// Time for which the predicted spare capacity is told: it goes to all keepers, each at its own time.
const SPARE_LIFETIME: Duration = Duration::from_millis(300);
/// Part of the grace period after which calls that still run are cut.
const GRACE_SHARE: f64 = 0.92;
/// Pause between two looks at whether calls still run.
const DRAIN_PAUSE: Duration = Duration::from_millis(50);
/// Time in which the last bytes of answers go out.
const FLUSH_TIME: Duration = Duration::from_millis(100);
/// Time after the start in which the table and the upstreams become known: upstreams announce
/// themselves every second or so, also to keepers that have just started.
const STARTING_TIME: Duration = Duration::from_secs(4);
/// Connections of callers and other instances; the system's own limit on descriptors is lower.
const CONNECTIONS: usize = 3_000;
/// Time for which a connection may be idle or send a head. Callers are told in the table how long
/// they may reuse a connection, which is less.
const CONNECTION_IDLE: Duration = Duration::from_secs(120);

/// A running entry instance.
pub struct Entry {
    settings: RefCell<NodeSettings>,
    names: HeaderNames,
    clock: Clock,
    started: Time,
    table: RefCell<Option<Rc<RouteTable>>>,
    /// Newest replicated state that was heard of; the table may still be on its way.
    head: RefCell<Head>,
    /// The version that was asked for, and when.
    fetching: Cell<Option<(TableVersion, Time)>>,
    upstreams: RefCell<Upstreams>,
    contacts: RefCell<Contacts>,
    /// Which keepers this instance hears.
    view: RefCell<View>,
    loads: RefCell<Loads>,
    exchange: Exchange,
    turn_waits: RefCell<TurnWaits>,
    healths: RefCell<Healths>,
    availabilities: RefCell<Availabilities>,
    limited: Limited,
    cold: RefCell<ColdSends>,
    crashes: RefCell<Crashes>,
    suspicions: RefCell<Suspicions>,
    /// Predicted waits of other regions, sorted.
    waits: RefCell<Vec<RegionWait>>,
    /// What this instance could take over, and when that was predicted.
    spare: RefCell<(Option<Time>, Vec<Spare>)>,
    /// Prompt tokens handed over to each region and not answered yet, sorted by region.
    away: RefCell<Vec<(RegionId, u64)>>,
    /// Calls and repeats of each service, sorted by service.
    windows: RefCell<Vec<(ServiceName, RetryWindow)>>,
    links: Links,
    client: HttpClient,
    answers: Answers,
    is_draining: Cell<bool>,
    running: Cell<usize>,
}

impl Entry {
    /// Starts the loops of an entry instance on the current thread, and listens for other
    /// instances.
    ///
    /// # Errors
    ///
    /// The internal address can't be listened at.
    pub async fn start(
        settings: NodeSettings,
        names: HeaderNames,
        stop: watch::Receiver<bool>,
    ) -> Result<Rc<Entry>, ServerError> {
        let internal = http_server::listen("peers", settings.card.internal).await?;
        let clock = Clock::start_after(LONGEST_AGE);
        let entry = Rc::new(Entry {
            settings: RefCell::new(settings),
            names,
            started: clock.now(),
            clock,
            table: RefCell::default(),
            head: RefCell::default(),
            fetching: Cell::default(),
            upstreams: RefCell::default(),
            contacts: RefCell::default(),
            view: RefCell::default(),
            loads: RefCell::default(),
            exchange: Exchange::default(),
            turn_waits: RefCell::default(),
            healths: RefCell::default(),
            availabilities: RefCell::default(),
            limited: Limited::default(),
            cold: RefCell::default(),
            crashes: RefCell::default(),
            suspicions: RefCell::default(),
            waits: RefCell::default(),
            spare: RefCell::default(),
            away: RefCell::default(),
            windows: RefCell::default(),
            links: Links::default(),
            client: HttpClient::default(),
            answers: Answers::default(),
            is_draining: Cell::new(false),
            running: Cell::new(0),
        });
        entry.links.follow(&entry);
        task::spawn_local(upkeep(entry.clone()));
        let address = entry.card().internal;
        let socket = load_exchange::open(address).await.map_err(|source| ServerError::Listen {
            role: "load reports",
            address,
            source,
        })?;
        let socket = Rc::new(socket);
        task::spawn_local(load_exchange::tell(entry.clone(), socket.clone()));
        task::spawn_local(load_exchange::tell_changes(entry.clone(), socket.clone()));
        task::spawn_local(load_exchange::pass_changes_on(entry.clone(), socket.clone()));
        task::spawn_local(limited::run(entry.clone(), socket.clone()));
        task::spawn_local(load_exchange::hear(entry.clone(), socket));
        let this = entry.clone();
        task::spawn_local(http_server::serve(internal, limits(), stop, move |request, _| {
            serve::forwarded(this.clone(), request)
        }));
        Ok(entry)
    }

    /// Serves callers until `stop` turns true and open calls have ended.
    ///
    /// # Errors
    ///
    /// The address can't be listened at.
    pub async fn serve(
        self: &Rc<Entry>,
        front: SocketAddr,
        stop: watch::Receiver<bool>,
    ) -> Result<(), ServerError> {
        let listener = http_server::listen("callers", front).await?;
        let this = self.clone();
        let handler = move |request, _| serve::from_caller(this.clone(), request);
        http_server::serve(listener, limits(), stop, handler).await;
        Ok(())
    }

    /// Takes changed settings over: other contacts and bounds.
    pub fn reload(self: &Rc<Entry>, settings: NodeSettings) {
        *self.settings.borrow_mut() = settings;
        self.links.follow(self);
    }

    /// Whether callers may be sent here: a table is in force, and the instance stays.
    pub fn is_ready(&self) -> bool {
        self.table.borrow().is_some() && !self.is_draining.get()
    }

    /// Tells everyone that this instance leaves, closes its listeners once callers have moved, and
    /// returns when open calls have ended or the grace period is nearly over.
    pub async fn drain(&self, close: &watch::Sender<bool>) {
        self.is_draining.set(true);
        self.links.send_all(&Message::Ping { status: self.status(), is_primary: false });
        let grace = self.settings.borrow().grace;
        let began = self.now();
        let latest = began + grace.mul_f64(GRACE_SHARE);
        sleep(LINGER.min(grace / 2)).await;
        close.send_replace(true);
        while self.running.get() > 0 && self.now() < latest {
            sleep(DRAIN_PAUSE).await;
        }
        tracing::info!(running = self.running.get(), "drained");
        sleep(FLUSH_TIME).await;
    }

    pub(crate) fn now(&self) -> Time {
        self.clock.now()
    }

    /// Time since the process started.
    fn uptime(&self) -> Duration {
        self.now() - self.started
    }

    /// Whether the instance has started so recently that news may be on its way to it.
    fn is_starting(&self) -> bool {
        self.uptime() < STARTING_TIME
    }

    /// Whether the instance can judge calls: it has a table, and has heard all keepers but one since it
    /// started, of which one at least knows the contents that crash upstreams.
    fn is_informed(&self) -> bool {
        self.table.borrow().is_some() && self.view.borrow().was_complete()
    }

    /// Live entry instances of the own region, this one included.
    fn region_entries(&self) -> Vec<InstanceId> {
        let settings = self.settings.borrow();
        let own = &settings.card;
        let contacts = self.contacts.borrow();
        let live = contacts.live_entries(self.now()).map(|contact| &contact.card);
        let mut ids: Vec<InstanceId> =
            live.filter(|card| card.region == own.region).map(|card| card.id.clone()).collect();
        ids.push(own.id.clone());
        ids.sort();
        ids.dedup();
        ids
    }

    /// This instance and all live entry instances of its region, with their internal addresses.
    pub(crate) fn region_members(&self) -> (Member, Vec<(Member, SocketAddr)>) {
        let settings = self.settings.borrow();
        let own = &settings.card;
        let member = |card: &Card| Member { id: card.id.clone(), zone: card.zone.clone() };
        let contacts = self.contacts.borrow();
        let live = contacts.live_entries(self.now()).map(|contact| &contact.card);
        let others = live.filter(|card| card.region == own.region && card.id != own.id);
        let mut all: Vec<(Member, SocketAddr)> =
            others.map(|card| (member(card), card.internal)).collect();
        all.push((member(own), own.internal));
        (member(own), all)
    }

    /// The own id.
    pub(crate) fn id(&self) -> InstanceId {
        self.settings.borrow().card.id.clone()
    }

    /// What this instance knows of the exchange of loads.
    pub(crate) fn exchange(&self) -> &Exchange {
        &self.exchange
    }

    /// What this instance has under way at upstreams.
    pub(crate) fn load_report(&self) -> Vec<LoadReport> {
        self.loads.borrow().report()
    }

    /// What this instance has under way at some upstreams.
    pub(crate) fn load_report_of(&self, upstreams: &[UpstreamId]) -> Vec<LoadReport> {
        let loads = self.loads.borrow();
        upstreams.iter().map(|id| loads.report_of(id)).collect()
    }

    /// What all instances of the region but one have under way, and how many they are.
    pub(crate) fn sum_for(&self, to: &InstanceId) -> (usize, Vec<LoadReport>) {
        self.loads.borrow().sum_for(to)
    }

    /// The own zone, what its instances have under way, and how many they are.
    pub(crate) fn zone_sum(&self) -> (ZoneId, usize, Vec<LoadReport>) {
        let (instances, loads) = self.loads.borrow().zone_sum();
        (self.settings.borrow().card.zone.clone(), instances, loads)
    }

    /// Drops reports of peers that count no more.
    pub(crate) fn forget_silent(&self) {
        self.loads.borrow_mut().forget_silent(self.now());
    }

    /// Takes in what other instances have under way at some upstreams.
    pub(crate) fn hear_changes(&self, from: &Source, changes: Vec<LoadReport>) {
        let mut loads = self.loads.borrow_mut();
        changes.into_iter().for_each(|change| loads.hear_change(from, change));
    }

    /// Takes in what other instances have under way.
    pub(crate) fn hear_loads(&self, from: Source, instances: usize, loads: Vec<LoadReport>) {
        self.loads.borrow_mut().hear(self.now(), from, instances, loads);
    }

    fn on_news(&self, from: SocketAddr, news: News) {
        let now = self.now();
        for (upstream, age) in news.upstreams {
            let age = Duration::from_millis(age.into());
            let (id, state) = (upstream.id.clone(), upstream.state);
            let (birth, sequence) = (upstream.birth.0, upstream.sequence);
            let before = self.upstreams.borrow().get(&id).map(|it| it.upstream.birth);
            self.replaced_by(&upstream);
            let effect = match state {
                UpstreamState::Gone => self.upstreams.borrow_mut().leave_unknown(now, upstream),
                _ => self.upstreams.borrow_mut().announce(now, upstream, age),
            };
            self.upstreams.borrow_mut().told_by(from, &id, Birth(birth));
            if effect != Effect::Changed {
                continue;
            }
            tracing::info!(upstream = %id, birth, sequence, ?state, age_ms = age.as_millis() as u64, %from, "upstream changed");
            let is_new = before.is_some_and(|before| before.0 < birth);
            if is_new {
                self.healths.borrow_mut().forget(&id);
                self.loads.borrow_mut().forget(&id);
            }
        }
        self.take_contacts(now, news.contacts, news.pulses);
        if let Some(pulse) = &news.pulse {
            self.upstreams.borrow_mut().take_pulse(now, from, pulse);
        }
        if !news.waits.is_empty() {
            *self.waits.borrow_mut() = news.waits;
        }
        if let Some(head) = news.head {
            self.on_head(from, head, &news.restored);
        }
        if !news.facts.is_empty() {
            self.learn_facts(news.facts);
        }
        self.links.send(from, &Message::Seen(news.number));
    }

    fn take_contacts(
        &self,
        now: Time,
        changed: Vec<(Card, bool, u32)>,
        pulses: Vec<(InstanceId, u32)>,
    ) {
        let mut contacts = self.contacts.borrow_mut();
        for (card, ready, age) in changed {
            let age = Duration::from_millis(age.into());
            let status = Status { ready, spare: Vec::new() };
            contacts.hear(now, card, Some(status), age);
        }
        for (id, age) in pulses {
            contacts.renew(now, &id, Duration::from_millis(age.into()));
        }
    }

    /// Takes in which keepers there are now, for the view.
    fn look(&self) {
        let stalled = self.view.borrow_mut().look(self.now(), &self.keepers());
        if let Some(time) = stalled {
            let stalled_ms = time.as_millis() as u64;
            tracing::warn!(
                stalled_ms,
                "process was stalled, upstreams count as cold until heard anew"
            );
        }
    }

    /// The keepers with an open link that are nearest; as many tell renewals, besides changes, which
    /// all keepers tell.
    fn primaries(&self) -> Vec<SocketAddr> {
        let own = self.card();
        let contacts = self.contacts.borrow();
        let distance = |address: &SocketAddr| {
            let known = contacts.all().iter().find(|it| it.card.internal == *address);
            known.map_or(3, |it| match &it.card {
                card if card.zone == own.zone => 0,
                card if card.region == own.region => 1,
                _ => 2,
            })
        };
        let mut open = self.links.open_to();
        open.sort_by_key(|address| (distance(address), *address));
        open.truncate(SOURCES);
        open
    }

    fn on_head(&self, from: SocketAddr, head: Head, restored: &[(ZoneId, u32)]) {
        let mut own = self.head.borrow_mut();
        if head.round > own.round {
            let now = self.now();
            let seen = head.evacuations().restored_since(own.evacuations());
            let was_away = seen.is_none();
            tracing::info!(round = head.round, evacuated = ?head.evacuated, was_away, ?restored, %from, "evacuated zones changed");
            let mut suspicions = self.suspicions.borrow_mut();
            match seen {
                Some(zones) => zones.iter().for_each(|zone| suspicions.restored(now, zone)),
                None => restored.iter().for_each(|(zone, age)| {
                    let age = Duration::from_millis((*age).into());
                    suspicions.restored(now.saturating_sub(age), zone);
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

    /// Asks a keeper for a table that is newer than the own one, unless that was just done.
    fn fetch(&self, from: SocketAddr, version: TableVersion) {
        let now = self.now();
        let own = self.version();
        let is_asked = self
            .fetching
            .get()
            .is_some_and(|(asked, when)| asked >= version && now - when < FETCH_TIMEOUT);
        if version > own && !is_asked && self.links.send(from, &Message::Fetch(version)) {
            self.fetching.set(Some((version, now)));
        }
    }

    /// Version of the table in force; zero before the first one.
    fn version(&self) -> TableVersion {
        self.table.borrow().as_ref().map(|table| table.version()).unwrap_or_default()
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
            }
            Err(error) => {
                tracing::error!(version = version.0, error = %chain(&error), %from, "table refused");
            }
        }
    }

    /// Waits that calls of usual size would have here, by service, as of the last ping or so.
    fn spare(&self) -> Vec<Spare> {
        let now = self.now();
        let mut spare = self.spare.borrow_mut();
        if spare.0.is_none_or(|when| now - when > SPARE_LIFETIME) {
            *spare = (Some(now), self.predict_spare());
        }
        spare.1.clone()
    }

    fn predict_spare(&self) -> Vec<Spare> {
        let Some(table) = self.table.borrow().clone() else { return Vec::new() };
        let spare = table.services().iter().map(|service| {
            let prompt = service.engine.map_or(0, |_| USUAL_PROMPT);
            let demand = Demand { prompt, rank: 1, ..Demand::default() };
            let choice = self.choose_local(&table, &service.name, &demand, &[]);
            let wait = choice.map(|choice| self.cost(&choice).as_millis());
            let wait_ms = wait.map(|wait| u32::try_from(wait).unwrap_or(u32::MAX));
            Spare { service: service.name.clone(), wait_ms }
        });
        spare.collect()
    }
}

fn limits() -> ServerLimits {
    ServerLimits {
        header_bytes: 64 * 1024,
        header_time: CONNECTION_IDLE,
        connections: CONNECTIONS,
        requests: u32::MAX,
    }
}

impl Owner for Entry {
    fn card(&self) -> Card {
        self.settings.borrow().card.clone()
    }

    fn status(&self) -> Status {
        Status { ready: self.is_ready(), spare: self.spare() }
    }

    fn is_primary(&self, address: SocketAddr) -> bool {
        self.primaries().contains(&address)
    }

    fn keepers(&self) -> Vec<SocketAddr> {
        let contacts = self.contacts.borrow();
        let heard = contacts.all().iter().filter(|it| it.card.part == Part::Keeper);
        let mut all = self.settings.borrow().contacts.clone();
        all.extend(heard.map(|it| it.card.internal));
        all.sort();
        all.dedup();
        all
    }

    fn opened(&self, address: SocketAddr) {
        self.upstreams.borrow_mut().forget_teller(address);
        let facts = self.facts_to_keep();
        if !facts.is_empty() {
            self.links.send(address, &Message::Facts(facts));
        }
    }

    fn receive(&self, from: SocketAddr, message: Message) {
        let now = self.now();
        self.contacts.borrow_mut().renew_at(now, from);
        self.view.borrow_mut().hear(now, from);
        self.look();
        match message {
            Message::News(news) => self.on_news(from, news),
            Message::Document { version, bytes } => self.on_document(from, version, &bytes),
            Message::Pong => {}
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
        entry.contacts.borrow_mut().forget(now, FORGET_AFTER);
        entry.expire_crashes();
        for id in entry.upstreams.borrow_mut().forget(now) {
            entry.forget_limit(&id);
            tracing::info!(upstream = %id, "upstream forgotten");
        }
        entry.links.follow(&entry);
        entry.look();
        let wanted = entry.head.borrow().version;
        if wanted > entry.version() {
            for keeper in entry.keepers() {
                entry.fetch(keeper, wanted);
            }
        }
        metrics::gauge!(names::LINKS).set(entry.links.open() as f64);
        let upstreams = entry.upstreams.borrow();
        let ready = upstreams.all().iter().filter(|it| it.upstream.state == UpstreamState::Ready);
        metrics::gauge!(names::UPSTREAMS).set(ready.count() as f64);
    }
}
