//! The entry process: takes callers' requests in and sends them to upstreams.
//!
//! One loop on one thread feeds the cores with messages and time; each caller's request is a task
//! on the same thread. Cores are behind `RefCell`s, which are borrowed for one call and never
//! across an `await`.
//!
//! * [`callers`]: the callers' HTTP interface.
//! * [`inference`]: the life of an inference request.
//! * [`services`]: the life of a call to a plain service, and of a booking.
//! * [`exchange`]: one attempt at an upstream or another zone.
//! * [`relay`]: delivery of a streamed answer.
//! * [`silence`]: replacement of connections that have gone silent.
//! * [`internal`]: announcements of upstreams and requests forwarded by other zones.
//! * [`gate`]: admission to the zone's upstreams.
//! * [`cooldown`]: upstreams at which new connections have just failed.
//! * [`evidence`]: requests that crash upstreams.
//! * [`journal`]: the records of requests.

pub mod attempt;
pub mod callers;
pub mod cooldown;
pub mod evidence;
pub mod exchange;
pub mod forward;
pub mod gate;
pub mod inference;
pub mod internal;
pub mod journal;
pub mod orders;
pub mod relay;
pub mod services;
pub mod silence;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use medlarlug_core::{
    home,
    ids::{InstanceId, RegionId, RequestId, Revision, TeamId, UpstreamId},
    limits::{self, LimitPolicy, Limits, TeamLimit},
    membership::{Notice, Status, Target},
    record::{Outcome, Stage},
    refusal::{Reason, Refusal, Spread},
    release::ItemKey,
    retry::RetryBudget,
    routing::{ConfigurationLease, Router, router},
    suspects::{self, Suspects},
};
use serde_json::json;
use thiserror::Error;
use tokio::{
    sync::watch,
    task,
    time::{Instant, interval, sleep, timeout},
};

use crate::{
    coordination::{
        calls,
        clock::incarnation_of_start,
        daemon::Context,
        entry::{cooldown::Cooldowns, gate::Gate, journal::Journal},
        keeper::operator_limits,
        node::{InForce, Node, Received},
        operators::{self, OperatorApi, ProcessPart},
    },
    protocol::Message,
    settings::{EntrySettings, Peer},
    state::{DataFolder, SavedConfiguration, StateError},
    telemetry::metrics,
    transport::{
        http_client::HttpClient,
        http_server::{self, ServerError, ServerLimits},
        links::{LinkError, Links},
    },
};

/// Time between two ticks of the cores.
const TICK: Duration = Duration::from_millis(250);

/// Ticks between two reports of the teams' demand.
const TICKS_PER_HEARTBEAT: u32 = 4;

/// Time between two batches of records.
const RECORD_INTERVAL: Duration = Duration::from_millis(200);

/// Records in one batch at most.
const RECORD_BATCH: usize = 500;

/// Time that a batch of records has to be committed.
const RECORD_LIMIT: Duration = Duration::from_secs(3);

/// Time for which a leaving instance still answers before it closes its ports, so that peers
/// learn that it leaves.
const LEAVING_NOTICE: Duration = Duration::from_millis(500);

/// Time in which the answers of requests that have ended reach their callers.
const LAST_ANSWERS_LIMIT: Duration = Duration::from_secs(5);

/// Time in which requests that are cut at the drain deadline get their last word.
const CUT_LIMIT: Duration = Duration::from_millis(500);

/// Why an entry instance stops.
#[derive(Debug, Error)]
pub enum EntryError {
    /// A link can't be set up.
    #[error("failed to set the links up")]
    Link(#[from] LinkError),
    /// The data folder failed.
    #[error("failed to read the saved configuration")]
    State(#[from] StateError),
    /// A server can't be started.
    #[error("failed to start a server")]
    Server(#[from] ServerError),
}

/// The entry process.
pub struct Entry {
    /// What every process has.
    pub node: Rc<Node>,
    /// The settings.
    pub settings: EntrySettings,
    /// Connections to upstreams and other instances.
    pub client: HttpClient,
    /// Chooses upstreams and zones.
    pub router: RefCell<Router>,
    /// Records of requests.
    pub journal: RefCell<Journal>,
    /// Spreads the times to come back.
    pub spread: RefCell<Spread>,
    /// Admission to the zone's upstreams.
    pub gate: Gate,
    /// Upstreams at which new connections have just failed.
    pub cooldowns: Cooldowns<UpstreamId>,
    /// Entry instances of other zones that have just been found closed.
    pub closed_entries: Cooldowns<InstanceId>,
    /// Requests that crash upstreams.
    pub suspects: RefCell<Suspects>,
    /// The teams' limits.
    pub limits: RefCell<Limits>,
    configured: Cell<Revision>,
    ticks: Cell<u32>,
    retries: RefCell<Vec<(Target, RetryBudget)>>,
    leaving: Cell<bool>,
    running: Cell<u32>,
    cut: watch::Sender<bool>,
}

/// Runs an entry instance until `drain` turns true and its requests have ended.
///
/// # Errors
///
/// Fails when it can't start.
pub async fn run(settings: EntrySettings, context: Context) -> Result<(), EntryError> {
    let drain = context.drain.clone();
    let own = settings.peer().clone();
    let (links, mut incoming) = Links::listen(own.id.clone(), settings.keys.clone(), own.peers)?;
    let (cluster, keys) = (settings.cluster.clone(), settings.keys.clone());
    let folder = settings.data.as_deref().map(|path| DataFolder::open(path, &own.id));
    let folder = folder.transpose()?;
    let saved = folder.as_ref().map(SavedConfiguration::new);
    let configuration = saved.as_ref().map(SavedConfiguration::read).transpose()?.flatten();
    let incarnation = incarnation_of_start();
    let node = Rc::new(Node::new(own, cluster, keys, incarnation, configuration, links));
    let entry = Rc::new(Entry::new(node.clone(), settings));
    if let Some(saved) = saved {
        task::spawn_local(save_configurations(entry.clone(), saved));
    }
    let (close, closed) = watch::channel(false);

    // The first heartbeat says that the instance has just started.
    entry.tick();
    let callers = start_servers(&entry, context, &closed).await?;
    task::spawn_local(send_records(entry.clone()));
    task::spawn_local(orders::run(entry.clone()));
    for home in &entry.node.cluster.homes {
        task::spawn_local(announce_start(entry.clone(), home.region.clone()));
    }
    let mut ticks = interval(TICK);
    let mut stop = drain.subscribe();
    let mut finished = Box::pin(async {
        let _ = stop.wait_for(|stop| *stop).await;
        entry.drain().await;
    });
    loop {
        tokio::select! {
            received = incoming.receive() => {
                if let Some((from, message)) = received {
                    entry.receive(node.receive(from, message));
                }
            }
            _ = ticks.tick() => entry.tick(),
            () = &mut finished => break,
        }
    }
    close.send_replace(true);
    // The last answers are on their way to callers that may read slowly.
    if timeout(LAST_ANSWERS_LIMIT, callers).await.is_err() {
        tracing::warn!("callers that do not read their answers are cut off");
    }
    Ok(())
}

async fn start_servers(
    entry: &Rc<Entry>,
    context: Context,
    closed: &watch::Receiver<bool>,
) -> Result<task::JoinHandle<()>, EntryError> {
    let node = &entry.node;
    let operators = entry.settings.operators.clone();
    let api = OperatorApi::new(node.clone(), operators, context);
    let dump = entry.clone();
    let process = entry.clone();
    let api = api.with_dump(move || dump.dump()).with_process(move || process.part());
    let listener = http_server::listen("operators", node.own.operators).await?;
    task::spawn_local(operators::serve(api, listener, operator_limits(), closed.clone()));

    let listener = http_server::listen("internal", node.own.internal).await?;
    task::spawn_local(internal::serve(entry.clone(), listener, closed.clone()));

    let address = node.own.callers.expect("the settings were checked");
    let listener = http_server::listen("callers", address).await?;
    let callers = task::spawn_local(callers::serve(entry.clone(), listener, closed.clone()));
    tracing::info!(instance = %node.own.id, zone = %node.own.zone, %address, "serving callers");
    Ok(callers)
}

impl Entry {
    fn new(node: Rc<Node>, settings: EntrySettings) -> Entry {
        let seed = node.incarnation.0;
        let policy = LimitPolicy { seed, ..LimitPolicy::default() };
        let limits = Limits::new(node.own.id.clone(), node.incarnation, policy);
        let journal = Journal::new(node.region.clone(), node.own.id.clone(), node.incarnation);
        Entry {
            client: HttpClient::default(),
            router: RefCell::new(Router::new(node.now(), seed)),
            journal: RefCell::new(journal),
            spread: RefCell::new(Spread::new(seed)),
            gate: Gate::default(),
            cooldowns: Cooldowns::default(),
            closed_entries: Cooldowns::default(),
            suspects: RefCell::default(),
            limits: RefCell::new(limits),
            configured: Cell::default(),
            ticks: Cell::new(0),
            retries: RefCell::default(),
            leaving: Cell::new(false),
            running: Cell::new(0),
            cut: watch::Sender::new(false),
            settings,
            node,
        }
    }

    /// Bounds of the callers' server.
    pub fn server_limits(&self) -> ServerLimits {
        let limits = &self.settings.limits;
        ServerLimits {
            header_bytes: limits.header.0 as usize,
            header_time: limits.sender,
            connections: limits.connections as usize,
            requests: limits.requests,
        }
    }

    /// Waits until requests that still run have to end because the drain deadline has passed.
    pub async fn wait_cut(&self) {
        let mut cut = self.cut.subscribe();
        if cut.wait_for(|cut| *cut).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// The last word to a request that is cut at the drain deadline.
    pub fn cut_refusal(&self, outcome: Outcome) -> Refusal {
        Refusal { outcome, ..self.refusal(Reason::Leaving, Duration::from_secs(1)) }
    }

    /// Whether this instance is about to stop.
    pub fn is_leaving(&self) -> bool {
        self.leaving.get()
    }

    /// The configuration in force here, if a revision is known.
    pub fn configuration(&self) -> Option<Rc<InForce>> {
        self.node.configuration()
    }

    /// Whether requests may cross regions under the configuration in force here.
    pub fn lease(&self) -> ConfigurationLease {
        match self.node.follower.borrow().may_cross_regions(self.node.now()) {
            true => ConfigurationLease::Valid,
            false => ConfigurationLease::Lapsed,
        }
    }

    /// Takes a caller's request in and opens its record.
    pub fn begin(&self, team: TeamId, target: ItemKey) -> RequestId {
        self.running.set(self.running.get() + 1);
        self.journal.borrow_mut().begin(self.node.now(), team, target)
    }

    /// Takes a request of another zone in; its record is kept where it came from.
    pub fn begin_forwarded(&self) {
        self.running.set(self.running.get() + 1);
    }

    /// Tells the router what became of an attempt.
    pub fn routed(&self, event: router::Event) {
        self.router.borrow_mut().handle(self.node.now(), event);
    }

    /// Adds a stage to the record of a request.
    pub fn step(&self, id: &RequestId, stage: Stage) {
        match &stage {
            Stage::Forwarded { .. } => ::metrics::counter!(metrics::FORWARDED).increment(1),
            Stage::Retried { .. } => ::metrics::counter!(metrics::RETRIES).increment(1),
            Stage::FirstByte => self.measure(metrics::FIRST_BYTE, id),
            _ => {}
        }
        self.journal.borrow_mut().step(self.node.now(), id, stage);
    }

    /// Adds the time since a request was received to a histogram.
    fn measure(&self, histogram: &'static str, id: &RequestId) {
        if let Some(elapsed) = self.journal.borrow().elapsed(self.node.now(), id) {
            ::metrics::histogram!(histogram).record(elapsed.as_secs_f64());
        }
    }

    /// Ends a request, which was begun just once, and its record.
    pub fn end(&self, id: &RequestId, outcome: Outcome, reason: &str) {
        tracing::info!(
            request = %id, instance = %self.node.own.id, zone = %self.node.own.zone,
            %outcome, reason, "request ended"
        );
        ::metrics::counter!(metrics::REQUESTS, "outcome" => outcome.to_string()).increment(1);
        self.measure(metrics::DURATION, id);
        self.running.set(self.running.get().saturating_sub(1));
        self.journal.borrow_mut().end(self.node.now(), id, outcome, reason);
    }

    /// Takes one request off a team's limit.
    ///
    /// # Errors
    ///
    /// Fails with the refusal when the limit is used up.
    pub fn check_limit(&self, team: &TeamId) -> Result<(), Refusal> {
        self.configure_limits();
        self.limits.borrow_mut().admit(self.node.now(), team)
    }

    /// A refusal whose time to come back is spread by jitter.
    pub fn refusal(&self, reason: Reason, wait: Duration) -> Refusal {
        self.spread.borrow_mut().refuse(reason, wait)
    }

    /// Runs `step` on the retry budget of a target.
    pub fn with_budget<T>(&self, target: &Target, step: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let mut budgets = self.retries.borrow_mut();
        let place = match budgets.binary_search_by(|it| it.0.cmp(target)) {
            Ok(found) => found,
            Err(place) => {
                budgets.insert(place, (target.clone(), RetryBudget::default()));
                place
            }
        };
        step(&mut budgets[place].1)
    }

    fn set_gauges(&self) {
        let upstreams = self.node.members.borrow().upstreams(self.node.now()).count();
        let revision = self.node.follower.borrow().revision();
        ::metrics::gauge!(metrics::RUNNING).set(f64::from(self.running.get()));
        ::metrics::gauge!(metrics::UPSTREAMS).set(upstreams as f64);
        ::metrics::gauge!(metrics::REVISION).set(revision.0 as f64);
    }

    fn status(&self) -> Status {
        Status {
            load: self.running.get(),
            revision: self.node.follower.borrow().revision(),
            leaving: self.leaving.get(),
            settling: !self.is_settled(),
        }
    }

    /// Whether it has a configuration and its share of the limits.
    fn is_settled(&self) -> bool {
        self.configured.get() > Revision(0) && self.limits.borrow().is_settled()
    }

    fn tick(&self) {
        self.set_gauges();
        self.note(&self.node.report(self.status()));
        self.note(&self.node.tick());
        self.configure_limits();
        self.suspect(suspects::Event::Tick);
        let count = self.ticks.get().wrapping_add(1);
        self.ticks.set(count);
        if count.is_multiple_of(TICKS_PER_HEARTBEAT) {
            self.limit(limits::Event::Heartbeat);
        }
        for target in self.gate.targets() {
            let capacity = gate::capacity(self, &target);
            self.gate.set_capacity(self.node.now(), &target, capacity);
        }
        self.gate.tick(self.node.now());
    }

    /// Hands the limits of a new revision to their core.
    fn configure_limits(&self) {
        let revision = self.node.follower.borrow().revision();
        if revision == self.configured.get() {
            return;
        }
        if let Some(configuration) = self.configuration() {
            self.configured.set(revision);
            let teams = configuration.teams().map(TeamLimit::from).collect();
            self.limit(limits::Event::Configured(teams));
        }
    }

    /// Feeds an event to the limits and carries its effects out.
    fn limit(&self, event: limits::Event) {
        let mut effects = Vec::new();
        self.limits.borrow_mut().handle(self.node.now(), event, &mut effects);
        for effect in effects {
            match effect {
                limits::Effect::Broadcast(report) => {
                    for peer in self.region_entries() {
                        self.node.send(&peer, Message::Demand { report: report.clone() });
                    }
                }
                limits::Effect::AskResync(peer) => {
                    self.node.send(&peer, Message::AskDemand);
                }
                limits::Effect::Send { to, report } => {
                    self.node.send(&to, Message::Demand { report });
                }
            }
        }
    }

    /// The other entry instances of the region.
    fn region_entries(&self) -> Vec<InstanceId> {
        let node = &self.node;
        let is_near = |it: &&Peer| {
            it.id != node.own.id && node.cluster.region_of(&it.zone) == Some(&node.region)
        };
        node.cluster.entries().filter(is_near).map(|it| it.id.clone()).collect()
    }

    fn receive(&self, received: Received) {
        match received {
            Received::Done => {}
            Received::Notices(notices) => self.note(&notices),
            Received::Other(from, message) => self.receive_from_entry(from, *message),
        }
    }

    fn receive_from_entry(&self, from: InstanceId, message: Message) {
        match message {
            Message::Demand { report } => {
                let age = Duration::ZERO;
                self.limit(limits::Event::Heard { report, age });
            }
            Message::AskDemand => self.limit(limits::Event::ResyncAsked(from)),
            Message::Fact(fact) => self.suspect(suspects::Event::Learned(fact)),
            Message::Reserve { upstream, lifetime } => {
                self.suspect(suspects::Event::Reserved { upstream, lifetime });
            }
            Message::Free { upstream } => self.suspect(suspects::Event::Freed { upstream }),
            message => {
                tracing::warn!(%from, ?message, "message for another kind of process");
            }
        }
    }

    /// Acts on what changed in the membership.
    pub fn note(&self, notices: &[Notice]) {
        for notice in notices {
            tracing::info!(?notice, "membership changed");
            match notice {
                Notice::PeerUp(peer) => self.inform(peer),
                Notice::PeerLeaving(peer) => self.limit(limits::Event::PeerGone(peer.clone())),
                _ => {}
            }
        }
    }

    /// Ends the instance's work: leaves the directory, then waits for open requests.
    async fn drain(&self) {
        self.leaving.set(true);
        self.note(&self.node.report(self.status()));
        let end = Instant::now() + self.settings.drain;
        sleep(LEAVING_NOTICE).await;
        while self.running.get() > 0 && Instant::now() < end {
            sleep(Duration::from_millis(20)).await;
        }
        let cut = self.running.get();
        tracing::info!(cut, "requests drained");
        self.cut.send_replace(true);
        let end = Instant::now() + CUT_LIMIT;
        while self.running.get() > 0 && Instant::now() < end {
            sleep(Duration::from_millis(20)).await;
        }
        flush_records(self).await;
    }

    fn part(&self) -> ProcessPart {
        let running = u64::from(self.running.get());
        ProcessPart { leaving: self.leaving.get(), running, groups: Vec::new() }
    }

    fn dump(&self) -> serde_json::Value {
        json!({
            "running": self.running.get(),
            "waiting": self.gate.waiting(),
            "quarantines": self.suspects.borrow().ledger().quarantines(self.node.now()).len(),
            "limits_settled": self.limits.borrow().is_settled(),
            "attempts": self.router.borrow().in_flight(),
            "leaving": self.leaving.get(),
        })
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
        match calls::act(node, &region, action, RECORD_LIMIT).await {
            Ok(home::Reply::Ok) => return,
            Ok(reply) => tracing::debug!(?reply, "start not recorded yet"),
            Err(error) => tracing::debug!(%error, "start not recorded yet"),
        }
        sleep(RECORD_INTERVAL).await;
    }
}

/// Saves every configuration that comes into force.
async fn save_configurations(entry: Rc<Entry>, saved: SavedConfiguration) {
    let mut revisions = entry.node.revisions();
    while revisions.changed().await.is_ok() {
        let Some(current) = entry.configuration() else { continue };
        let (configuration, saved) = (current.configuration.clone(), saved.clone());
        match task::spawn_blocking(move || saved.write(&configuration)).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => tracing::error!(%error, "configuration not saved"),
            Err(error) => tracing::error!(%error, "configuration not saved"),
        }
    }
}

async fn send_records(entry: Rc<Entry>) {
    loop {
        sleep(RECORD_INTERVAL).await;
        flush_records(&entry).await;
    }
}

/// Sends waiting records until none is left or the home group takes none.
async fn flush_records(entry: &Entry) {
    let node = &entry.node;
    loop {
        let batch = entry.journal.borrow_mut().take_batch(RECORD_BATCH);
        if batch.is_empty() {
            return;
        }
        let action = home::Action::Records(batch.clone());
        match calls::act(node, &node.region, action, RECORD_LIMIT).await {
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
