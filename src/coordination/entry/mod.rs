//! The entry process: accepts callers' requests and sends them to upstreams.
//!
//! One event loop on one thread drives the cores with messages and timer ticks; each caller's
//! request is a task on the same thread. Cores are behind `RefCell`s, which are borrowed for one
//! call and never across an `await`.
//!
//! * [`process`]: startup, event loop and shutdown.
//! * [`graceful_shutdown`]: counting of in-flight requests, and the graceful shutdown.
//! * [`callers`]: the callers' HTTP interface.
//! * [`inference`]: the lifecycle of an inference request.
//! * [`services`]: the lifecycle of a call to a plain service, and of a booking.
//! * [`attempt`]: the protocol of a booking with its home group.
//! * [`outcomes`]: outcome queries to plain services about bookings of unknown outcome.
//! * [`exchange`]: one attempt at an upstream or another zone.
//! * [`forward`]: requests forwarded to another zone.
//! * [`relay`]: delivery of a streamed answer.
//! * [`connection_recovery`]: replacement of unresponsive and broken connections.
//! * [`internal`]: announcements of upstreams and requests forwarded by other zones.
//! * [`orders`]: orders to the engines of the own zone.
//! * [`admission`]: admission to the zone's upstreams.
//! * [`cooldown`]: upstreams and instances to which new connections have just failed.
//! * [`crashes`]: requests that crash upstreams.
//! * [`journal`]: the records of requests.
//! * [`records`]: delivery of the records to the home groups.

pub mod admission;
pub mod attempt;
pub mod callers;
pub mod connection_recovery;
pub mod cooldown;
pub mod crashes;
pub mod exchange;
pub mod forward;
pub mod graceful_shutdown;
pub mod inference;
pub mod internal;
pub mod journal;
pub mod orders;
pub mod outcomes;
pub mod process;
pub mod records;
pub mod relay;
pub mod services;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use medlarlug_core::{
    ids::{InstanceId, RequestId, Revision, TeamId, UpstreamId},
    limits::{self, LimitPolicy, RateLimiter, TeamLimit},
    membership::{Notice, Status, Target},
    record::{Outcome, Stage},
    refusal::{Reason, Refusal, RetryJitter},
    release::ItemKey,
    retry::RetryBudget,
    routing::{ConfigurationLease, Router, router},
    suspects::{self, SuspectTracker},
    units::ByteSize,
};
use serde_json::json;
use tokio::{sync::Semaphore, task};

pub use crate::coordination::entry::process::{EntryError, run};
use crate::{
    coordination::{
        entry::{
            admission::ZoneAdmission, cooldown::Cooldowns, graceful_shutdown::Intake,
            journal::Journal,
        },
        keeper::memory_of,
        node::{ActiveConfiguration, Node, Received},
        operators::ProcessDetails,
    },
    protocol::Message,
    settings::{EntrySettings, Peer},
    telemetry::metrics,
    transport::{
        answers::AnswerReader, http_client::HttpClient, http_server::ServerLimits, memory::Memory,
    },
};

/// Ticks between two reports of the teams' demand to the other entry instances of the region.
const TICKS_PER_DEMAND_REPORT: u32 = 4;

/// State of the entry process, shared by the event loop and the tasks of requests.
pub struct Entry {
    /// The part that all kinds of processes have: links, membership, configuration and clock.
    pub node: Rc<Node>,
    /// Settings, read once at startup.
    pub settings: EntrySettings,
    /// HTTP client with the connections to upstreams and other instances.
    pub client: HttpClient,
    /// Chooses upstreams and zones.
    pub router: RefCell<Router>,
    /// Records of the requests that this instance received.
    pub journal: RefCell<Journal>,
    /// Adds jitter to the retry delays of refusals.
    pub retry_jitter: RefCell<RetryJitter>,
    /// Admission queues of the zone's upstreams, one for each target.
    pub admission: ZoneAdmission,
    /// Upstreams to which a new connection has just failed.
    pub cooldowns: Cooldowns<UpstreamId>,
    /// Entry instances of other zones that refused a request as leaving, or could not be reached.
    pub unavailable_entries: Cooldowns<InstanceId>,
    /// Counts the in-flight requests, and refuses new ones during shutdown.
    pub intake: Intake,
    /// Contents that are suspected to crash upstreams.
    pub suspects: RefCell<SuspectTracker>,
    /// The teams' rate limits; this instance enforces its share of each.
    pub limits: RefCell<RateLimiter>,
    configured_revision: Cell<Revision>,
    tick_count: Cell<u32>,
    retry_budgets: RefCell<Vec<(Target, RetryBudget)>>,
    /// What the servers of the process hold for their clients.
    pub memory: Memory,
    /// Reads the complete answers of upstreams and of other instances within that memory.
    pub answers: AnswerReader,
}

/// Long answers of each kind that are read at a time when the memory is limited.
const MAX_LONG_ANSWERS: usize = 2;

/// Share of the descriptors and of the memory for connections that callers may use. As many are left for
/// the connections to upstreams.
const CALLERS_SHARE: f64 = 0.3125;

impl Entry {
    fn new(node: Rc<Node>, settings: EntrySettings) -> Entry {
        let seed = node.incarnation.0;
        let policy = LimitPolicy { seed, ..LimitPolicy::default() };
        let limits = RateLimiter::new(node.own.id.clone(), node.incarnation, policy);
        let journal = Journal::new(node.region.clone(), node.own.id.clone(), node.incarnation);
        let largest = settings.limits.body.0 + internal::FORWARD_OVERHEAD_BYTES as u64;
        let memory = memory_of(settings.resources, ByteSize(largest));
        let max_long = match memory.is_limited() {
            true => MAX_LONG_ANSWERS,
            false => Semaphore::MAX_PERMITS,
        };
        Entry {
            answers: AnswerReader::new(memory.clone(), max_long),
            client: HttpClient::within(&memory),
            router: RefCell::new(Router::new(node.now(), seed)),
            journal: RefCell::new(journal),
            retry_jitter: RefCell::new(RetryJitter::new(seed)),
            admission: ZoneAdmission::default(),
            cooldowns: Cooldowns::default(),
            unavailable_entries: Cooldowns::default(),
            suspects: RefCell::default(),
            limits: RefCell::new(limits),
            configured_revision: Cell::default(),
            tick_count: Cell::new(0),
            retry_budgets: RefCell::default(),
            intake: Intake::default(),
            memory,
            settings,
            node,
        }
    }

    /// Limits of the HTTP server for callers, from the settings.
    pub fn server_limits(&self) -> ServerLimits {
        let limits = &self.settings.limits;
        ServerLimits {
            header_bytes: limits.header.0 as usize,
            header_time: limits.receive_timeout,
            connections: self.memory.connections(limits.connections as usize, CALLERS_SHARE),
            requests: limits.requests,
        }
    }

    /// The refusal sent to a request that is aborted at the drain deadline.
    pub fn abort_refusal(&self, outcome: Outcome) -> Refusal {
        Refusal { outcome, ..self.refusal(Reason::Leaving, Duration::from_secs(1)) }
    }

    /// The configuration in effect at this instance; `None` until a first revision is known.
    pub fn configuration(&self) -> Option<Rc<ActiveConfiguration>> {
        self.node.configuration()
    }

    /// Whether the configuration in effect at this instance still permits requests to cross regions.
    pub fn lease(&self) -> ConfigurationLease {
        match self.node.follower.borrow().may_cross_regions(self.node.now()) {
            true => ConfigurationLease::Valid,
            false => ConfigurationLease::Lapsed,
        }
    }

    /// Admits a caller's request and opens its record.
    ///
    /// # Errors
    ///
    /// Fails with the refusal `leaving` once the instance is shutting down.
    pub fn begin_request(&self, team: TeamId, target: ItemKey) -> Result<RequestId, Refusal> {
        self.admit_request()?;
        Ok(self.journal.borrow_mut().begin(self.node.now(), team, target))
    }

    /// Adds a request to those in flight. The record of a request from another zone is kept by the
    /// instance that forwarded it.
    ///
    /// # Errors
    ///
    /// Fails with the refusal `leaving` once the instance is shutting down.
    pub fn admit_request(&self) -> Result<(), Refusal> {
        self.intake.admit().map_err(|it| self.refusal(it.reason, it.retry_after))
    }

    /// Reports progress or the end of an attempt to the router.
    pub fn notify_router(&self, event: router::Event) {
        self.router.borrow_mut().handle(self.node.now(), event);
    }

    /// Adds a stage to the record of a request and counts it in the metrics.
    pub fn record_stage(&self, id: &RequestId, stage: Stage) {
        match &stage {
            Stage::Forwarded { .. } => ::metrics::counter!(metrics::FORWARDED).increment(1),
            Stage::Retried { .. } => ::metrics::counter!(metrics::RETRIES).increment(1),
            Stage::FirstByte => self.record_elapsed(metrics::FIRST_BYTE, id),
            _ => {}
        }
        self.journal.borrow_mut().record_stage(self.node.now(), id, stage);
    }

    /// Records the time since a request was received in a histogram.
    fn record_elapsed(&self, histogram: &'static str, id: &RequestId) {
        if let Some(elapsed) = self.journal.borrow().elapsed(self.node.now(), id) {
            ::metrics::histogram!(histogram).record(elapsed.as_secs_f64());
        }
    }

    /// Ends a request and closes its record. Must be called exactly once for each request begun.
    pub fn end_request(&self, id: &RequestId, outcome: Outcome, reason: &str) {
        tracing::info!(
            request = %id, instance = %self.node.own.id, zone = %self.node.own.zone,
            %outcome, reason, "request ended"
        );
        ::metrics::counter!(metrics::REQUESTS, "outcome" => outcome.to_string()).increment(1);
        self.record_elapsed(metrics::DURATION, id);
        self.intake.release();
        self.journal.borrow_mut().end(self.node.now(), id, outcome, reason);
    }

    /// Counts a request against its team's rate limit.
    ///
    /// # Errors
    ///
    /// Fails with a refusal when the limit is exhausted.
    pub fn check_limit(&self, team: &TeamId) -> Result<(), Refusal> {
        self.update_limits();
        self.limits.borrow_mut().admit(self.node.now(), team)
    }

    /// Creates a refusal whose retry delay is `wait` plus jitter.
    pub fn refusal(&self, reason: Reason, wait: Duration) -> Refusal {
        self.retry_jitter.borrow_mut().refuse(reason, wait)
    }

    /// Runs `update` on the retry budget of a target, which is created on first use.
    pub fn with_retry_budget<T>(
        &self,
        target: &Target,
        update: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let mut budgets = self.retry_budgets.borrow_mut();
        let index = match budgets.binary_search_by(|it| it.0.cmp(target)) {
            Ok(index) => index,
            Err(index) => {
                budgets.insert(index, (target.clone(), RetryBudget::default()));
                index
            }
        };
        update(&mut budgets[index].1)
    }

    fn dump_retry_budgets(&self) -> Vec<serde_json::Value> {
        let budgets = self.retry_budgets.borrow();
        let shown = budgets.iter().map(|(target, budget)| {
            json!({
                "target": target,
                "left": budget.remaining(),
                "successes": budget.successes(),
            })
        });
        shown.collect()
    }

    fn set_gauges(&self) {
        let upstreams = self.node.members.borrow().upstreams(self.node.now()).count();
        let revision = self.node.follower.borrow().revision();
        ::metrics::gauge!(metrics::RUNNING).set(f64::from(self.intake.in_flight()));
        ::metrics::gauge!(metrics::UPSTREAMS).set(upstreams as f64);
        ::metrics::gauge!(metrics::REVISION).set(revision.0 as f64);
    }

    fn status(&self) -> Status {
        Status {
            load: self.intake.in_flight(),
            revision: self.node.follower.borrow().revision(),
            leaving: self.intake.is_leaving(),
            settling: !self.is_settled(),
        }
    }

    /// Whether the instance has a configuration and knows its share of the rate limits.
    fn is_settled(&self) -> bool {
        self.configured_revision.get() > Revision(0) && self.limits.borrow().is_settled()
    }

    fn tick(&self) {
        self.set_gauges();
        self.handle_notices(&self.node.report_status(self.status()));
        self.handle_notices(&self.node.tick());
        self.update_limits();
        self.handle_suspect_event(suspects::Event::Tick);
        let count = self.tick_count.get().wrapping_add(1);
        self.tick_count.set(count);
        if count.is_multiple_of(TICKS_PER_DEMAND_REPORT) {
            self.handle_limit_event(limits::Event::Heartbeat);
        }
        for target in self.admission.targets() {
            let capacity = admission::capacity(self, &target);
            self.admission.set_capacity(self.node.now(), &target, capacity);
        }
        self.admission.tick(self.node.now());
    }

    /// Passes the rate limits of a new configuration revision to the rate limiter.
    fn update_limits(&self) {
        let revision = self.node.follower.borrow().revision();
        if revision == self.configured_revision.get() {
            return;
        }
        if let Some(configuration) = self.configuration() {
            self.configured_revision.set(revision);
            let teams = configuration.teams().map(TeamLimit::from).collect();
            self.handle_limit_event(limits::Event::Configured(teams));
        }
    }

    /// Passes an event to the rate limiter and carries out the resulting effects.
    fn handle_limit_event(&self, event: limits::Event) {
        let mut effects = Vec::new();
        self.limits.borrow_mut().handle(self.node.now(), event, &mut effects);
        for effect in effects {
            match effect {
                limits::Effect::Broadcast(report) => {
                    for peer in self.region_entries() {
                        self.node.send(&peer, Message::Demand { report: report.clone() });
                    }
                }
                limits::Effect::RequestResync(peer) => {
                    self.node.send(&peer, Message::DemandRequest);
                }
                limits::Effect::Send { to, report } => {
                    self.node.send(&to, Message::Demand { report });
                }
            }
        }
    }

    /// The entry instances of the region except this one.
    fn region_entries(&self) -> Vec<InstanceId> {
        let node = &self.node;
        let is_in_region = |it: &&Peer| {
            it.id != node.own.id && node.cluster.region_of(&it.zone) == Some(&node.region)
        };
        node.cluster.entries().filter(is_in_region).map(|it| it.id.clone()).collect()
    }

    fn receive(self: &Rc<Self>, received: Received) {
        match received {
            Received::Handled => {}
            Received::Notices(notices) => self.handle_notices(&notices),
            Received::Other(from, message) => self.receive_from_entry(from, *message),
        }
    }

    fn receive_from_entry(self: &Rc<Self>, from: InstanceId, message: Message) {
        match message {
            Message::Demand { report } => {
                let age = Duration::ZERO;
                self.handle_limit_event(limits::Event::ReportReceived { report, age });
            }
            Message::DemandRequest => self.handle_limit_event(limits::Event::ResyncRequested(from)),
            Message::Fact(fact) => self.handle_suspect_event(suspects::Event::FactReceived(fact)),
            Message::Reserve { upstream, lifetime } => {
                self.handle_suspect_event(suspects::Event::Reserved { upstream, lifetime });
            }
            Message::Free { upstream } => {
                self.handle_suspect_event(suspects::Event::ReservationReleased { upstream })
            }
            Message::OutcomeQueries { home, queries } => {
                task::spawn_local(outcomes::resolve_all(self.clone(), home, queries));
            }
            message => {
                tracing::warn!(%from, ?message, "message for another kind of process");
            }
        }
    }

    /// Logs changes of the membership and acts on them.
    pub fn handle_notices(&self, notices: &[Notice]) {
        for notice in notices {
            tracing::info!(?notice, "membership changed");
            match notice {
                Notice::PeerUp(peer) => self.send_facts(peer),
                Notice::PeerLeaving(peer) => {
                    self.handle_limit_event(limits::Event::PeerStopped(peer.clone()))
                }
                _ => {}
            }
        }
    }

    fn details(&self) -> ProcessDetails {
        let running = u64::from(self.intake.in_flight());
        ProcessDetails { leaving: self.intake.is_leaving(), running, groups: Vec::new() }
    }

    fn dump(&self) -> serde_json::Value {
        json!({
            "running": self.intake.in_flight(),
            "waiting": self.admission.waiting(),
            "quarantines": self.suspects.borrow().ledger().quarantines(self.node.now()).len(),
            "limits_settled": self.limits.borrow().is_settled(),
            "retry_budgets": self.dump_retry_budgets(),
            "attempts": self.router.borrow().in_flight(),
            "leaving": self.intake.is_leaving(),
        })
    }
}
