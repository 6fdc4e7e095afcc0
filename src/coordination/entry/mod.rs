//! The entry process: takes callers' requests in and sends them to upstreams.
//!
//! One loop on one thread feeds the cores with messages and time; each caller's request is a task
//! on the same thread. Cores are behind `RefCell`s, which are borrowed for one call and never
//! across an `await`.
//!
//! * [`process`]: start and loop.
//! * [`graceful_shutdown`]: requests in flight, and the graceful end.
//! * [`callers`]: the callers' HTTP interface.
//! * [`inference`]: the life of an inference request.
//! * [`services`]: the life of a call to a plain service, and of a booking.
//! * [`outcomes`]: questions to plain services about bookings of unknown outcome.
//! * [`exchange`]: one attempt at an upstream or another zone.
//! * [`relay`]: delivery of a streamed answer.
//! * [`connection_recovery`]: replacement of connections that have gone silent.
//! * [`internal`]: announcements of upstreams and requests forwarded by other zones.
//! * [`admission`]: admission to the zone's upstreams.
//! * [`cooldown`]: upstreams at which new connections have just failed.
//! * [`crashes`]: requests that crash upstreams.
//! * [`journal`]: the records of requests.
//! * [`records`]: their delivery to the home groups.

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
use tokio::task;

pub use crate::coordination::entry::process::{EntryError, run};
use crate::{
    coordination::{
        entry::{
            admission::ZoneAdmission, cooldown::Cooldowns, graceful_shutdown::Intake,
            journal::Journal,
        },
        node::{InForce, Node, Received},
        operators::ProcessPart,
    },
    protocol::Message,
    settings::{EntrySettings, Peer},
    telemetry::metrics,
    transport::{http_client::HttpClient, http_server::ServerLimits},
};

/// Ticks between two reports of the teams' demand.
const TICKS_PER_HEARTBEAT: u32 = 4;

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
    pub admission: ZoneAdmission,
    /// Upstreams at which new connections have just failed.
    pub cooldowns: Cooldowns<UpstreamId>,
    /// Entry instances of other zones that have just been found closed.
    pub closed_entries: Cooldowns<InstanceId>,
    /// Requests in flight.
    pub intake: Intake,
    /// Requests that crash upstreams.
    pub suspects: RefCell<Suspects>,
    /// The teams' limits.
    pub limits: RefCell<Limits>,
    configured: Cell<Revision>,
    ticks: Cell<u32>,
    retries: RefCell<Vec<(Target, RetryBudget)>>,
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
            admission: ZoneAdmission::default(),
            cooldowns: Cooldowns::default(),
            closed_entries: Cooldowns::default(),
            suspects: RefCell::default(),
            limits: RefCell::new(limits),
            configured: Cell::default(),
            ticks: Cell::new(0),
            retries: RefCell::default(),
            intake: Intake::default(),
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

    /// The last word to a request that is cut at the drain deadline.
    pub fn cut_refusal(&self, outcome: Outcome) -> Refusal {
        Refusal { outcome, ..self.refusal(Reason::Leaving, Duration::from_secs(1)) }
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
    ///
    /// # Errors
    ///
    /// Fails with the refusal `leaving` once the instance has begun to stop.
    pub fn begin(&self, team: TeamId, target: ItemKey) -> Result<RequestId, Refusal> {
        self.admit()?;
        Ok(self.journal.borrow_mut().begin(self.node.now(), team, target))
    }

    /// Counts a request in; one of another zone has its record where it came from.
    ///
    /// # Errors
    ///
    /// Fails with the refusal `leaving` once the instance has begun to stop.
    pub fn admit(&self) -> Result<(), Refusal> {
        self.intake.admit().map_err(|it| self.refusal(it.reason, it.after))
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
        self.intake.release();
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

    fn retry_budgets(&self) -> Vec<serde_json::Value> {
        let budgets = self.retries.borrow();
        let shown = budgets.iter().map(|(target, budget)| {
            json!({
                "target": target,
                "left": budget.left(),
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
        for target in self.admission.targets() {
            let capacity = admission::capacity(self, &target);
            self.admission.set_capacity(self.node.now(), &target, capacity);
        }
        self.admission.tick(self.node.now());
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

    fn receive(self: &Rc<Self>, received: Received) {
        match received {
            Received::Done => {}
            Received::Notices(notices) => self.note(&notices),
            Received::Other(from, message) => self.receive_from_entry(from, *message),
        }
    }

    fn receive_from_entry(self: &Rc<Self>, from: InstanceId, message: Message) {
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
            Message::Questions { home, questions } => {
                task::spawn_local(outcomes::settle_all(self.clone(), home, questions));
            }
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

    fn part(&self) -> ProcessPart {
        let running = u64::from(self.intake.in_flight());
        ProcessPart { leaving: self.intake.is_leaving(), running, groups: Vec::new() }
    }

    fn dump(&self) -> serde_json::Value {
        json!({
            "running": self.intake.in_flight(),
            "waiting": self.admission.waiting(),
            "quarantines": self.suspects.borrow().ledger().quarantines(self.node.now()).len(),
            "limits_settled": self.limits.borrow().is_settled(),
            "retry_budgets": self.retry_budgets(),
            "attempts": self.router.borrow().in_flight(),
            "leaving": self.intake.is_leaving(),
        })
    }
}
