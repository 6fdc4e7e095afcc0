//! One loop over entry instances, engines and callers.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::Duration,
};

use medlarlug_core::{
    announcement::{Announcement, LoadReport, LoadedModel, UpstreamKind},
    ids::{Incarnation, InstanceId, UpstreamId, ZoneId},
    membership::{Effect, Event as News, InstanceKind, Membership, Seed, Settings},
    release::Configuration,
    routing::{Event, Forwarded, Origin, Router, Ticket},
    time::Time,
    units::Slots,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_support::id;

use crate::{
    deployment::{Deployment, Fault, LINK_PRICE, PROMPT_PRICE, SECONDS, Scenario},
    engine::{Engine, Job, SLOTS, Started},
    policy::{Decider, Decision},
    traffic::Traffic,
};

/// Seconds before measuring begins.
const WARM_UP: f64 = 15.0;
/// Seconds one way inside a zone.
const NEAR: f64 = 0.001;
/// Seconds after which a lost answer counts as a failure.
const LOSS: f64 = 1.0;
/// Share of cache events that are lost.
const EVENT_LOSS: f64 = 0.2;
/// Attempts at most for one request.
const ATTEMPTS: u32 = 3;

#[derive(Debug, Clone, Default)]
pub struct Figures {
    pub first_tokens: Vec<f64>,
    pub cost: f64,
    pub requests: usize,
    pub good: usize,
    pub refused: usize,
    pub away: usize,
    pub hits: usize,
    pub starts: usize,
}

enum What {
    Arrive { region: usize },
    Tick { entry: usize },
    Deliver { entry: usize, news: Box<News> },
    Read { engine: usize },
    Announce { engine: usize, load: Box<LoadReport> },
    Reach { attempt: usize, engine: usize },
    Cross { attempt: usize, zone: usize },
    FirstToken { attempt: usize },
    End { attempt: usize, engine: usize, epoch: u64 },
    Lost { attempt: usize },
    Returned { attempt: usize },
    GiveUp { attempt: usize },
    Fault,
    Repair,
}

struct Entry {
    zone: usize,
    membership: Membership,
    decider: Decider,
}

/// One request; retries reuse it.
struct Request {
    origin: Origin,
    entry: usize,
    arrived: f64,
    job: Job,
    tries: u32,
    ticket: Option<Ticket>,
    server: Option<(usize, Option<Ticket>)>,
    engine: Option<(usize, u64)>,
    is_away: bool,
    is_started: bool,
    is_over: bool,
}

pub struct Driver {
    deployment: Deployment,
    scenario: Scenario,
    configuration: Configuration,
    /// Draws of the traffic, which is the same for every router.
    traffic: Traffic,
    random: ChaCha8Rng,
    now: f64,
    sequence: u64,
    heap: BinaryHeap<Reverse<(u64, u64)>>,
    pending: BTreeMap<u64, What>,
    entries: Vec<Entry>,
    engines: Vec<Engine>,
    announced: Vec<u64>,
    requests: Vec<Request>,
    figures: Figures,
}

pub fn run(deployment: Deployment, scenario: Scenario, is_real: bool, seed: u64) -> Figures {
    let mut driver = Driver::new(deployment, scenario, is_real, seed);
    while let Some(Reverse((micros, sequence))) = driver.heap.pop() {
        driver.now = micros as f64 / 1e6;
        if driver.now > SECONDS + deployment.deadline {
            break;
        }
        let what = driver.pending.remove(&sequence).unwrap();
        driver.happen(what);
    }
    driver.figures
}

impl Driver {
    fn new(deployment: Deployment, scenario: Scenario, is_real: bool, seed: u64) -> Driver {
        let mut driver = Driver {
            deployment,
            scenario,
            configuration: deployment.configuration(),
            traffic: Traffic::new(deployment, seed),
            random: ChaCha8Rng::seed_from_u64(seed + 1),
            now: 0.0,
            sequence: 0,
            heap: BinaryHeap::new(),
            pending: BTreeMap::new(),
            entries: Vec::new(),
            engines: (0..deployment.engines).map(|_| Engine::new()).collect(),
            announced: vec![0; deployment.engines],
            requests: Vec::new(),
            figures: Figures::default(),
        };
        driver.add_entries(is_real);
        for engine in 0..deployment.engines {
            let phase = driver.random.random_range(0.0..1.0);
            driver.at(phase, What::Read { engine });
        }
        for region in 0..3 {
            driver.at(3.0, What::Arrive { region });
        }
        if scenario.fault == Fault::SlowIdle {
            driver.engines[0].slowness = 10.0;
            driver.engines[0].reports_idle = true;
        }
        driver.at(SECONDS / 3.0, What::Fault);
        driver.at(SECONDS * 2.0 / 3.0, What::Repair);
        driver
    }

    fn add_entries(&mut self, is_real: bool) {
        let mut seeds = Vec::new();
        for (zone, count) in self.deployment.entries.into_iter().enumerate() {
            let (zone_name, region) = self.deployment.zones[zone];
            seeds.extend((0..count).map(|it| (zone, seed(zone, it, zone_name, region))));
        }
        let peers: Vec<Seed> = seeds.iter().map(|it| it.1.clone()).collect();
        for (place, (zone, own)) in seeds.into_iter().enumerate() {
            let settings = Settings { own, incarnation: Incarnation(1), peers: peers.clone() };
            let membership = Membership::new(Time::ZERO, settings);
            let decider = if is_real {
                Decider::Real(Box::new(Router::new(Time::ZERO, place as u64)))
            } else {
                Decider::Naive { turn: place }
            };
            self.entries.push(Entry { zone, membership, decider });
            self.at(0.01 * place as f64, What::Tick { entry: place });
        }
    }

    fn at(&mut self, time: f64, what: What) {
        self.sequence += 1;
        let micros = (time.max(self.now) * 1e6) as u64;
        self.heap.push(Reverse((micros, self.sequence)));
        self.pending.insert(self.sequence, what);
    }

    fn after(&mut self, delay: f64, what: What) {
        self.at(self.now + delay, what);
    }

    fn clock(&self) -> Time {
        Time::from_micros((self.now * 1e6) as u64)
    }

    fn happen(&mut self, what: What) {
        match what {
            What::Arrive { region } => self.arrive(region),
            What::Tick { entry } => {
                self.feed(entry, News::Tick);
                self.after(0.25, What::Tick { entry });
            }
            What::Deliver { entry, news } => self.feed(entry, *news),
            What::Read { engine } => self.read(engine),
            What::Announce { engine, load } => self.announce(engine, *load),
            What::Reach { attempt, engine } => self.reach(attempt, engine),
            What::Cross { attempt, zone } => self.cross(attempt, zone),
            What::FirstToken { attempt } => self.first_token(attempt),
            What::End { attempt, engine, epoch } => self.end(attempt, engine, epoch),
            What::Lost { attempt } => self.lost(attempt),
            What::Returned { attempt } => self.returned(attempt),
            What::GiveUp { attempt } => self.give_up(attempt),
            What::Fault => self.fault(),
            What::Repair => self.repair(),
        }
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        let is_apart = (a == 0) != (b == 0);
        self.scenario.fault == Fault::ZoneCut && is_apart && self.scenario.is_faulty_at(self.now)
    }

    fn feed(&mut self, entry: usize, news: News) {
        let now = self.clock();
        let mut effects = Vec::new();
        self.entries[entry].membership.handle(now, news, &mut effects);
        for effect in effects {
            let Effect::Send { to, message } = effect else {
                continue;
            };
            let from = self.entries[entry].membership.own().id.clone();
            let to = self.entry(&to);
            let zones = (self.entries[entry].zone, self.entries[to].zone);
            if !self.is_cut(zones.0, zones.1) {
                let delay = if zones.0 == zones.1 { NEAR } else { self.deployment.far };
                let news = Box::new(News::Message { from, message });
                self.after(delay, What::Deliver { entry: to, news });
            }
        }
    }

    fn entry(&self, id: &InstanceId) -> usize {
        self.entries.iter().position(|it| it.membership.own().id == *id).unwrap()
    }

    fn entry_of_zone(&mut self, zone: usize) -> usize {
        let first: usize = self.deployment.entries[..zone].iter().sum();
        first + self.random.random_range(0..self.deployment.entries[zone])
    }

    fn engine_zone(&self, engine: usize) -> usize {
        engine * 3 / self.deployment.engines
    }

    /// Reads the load; the announcement with it goes out half a second later.
    fn read(&mut self, engine: usize) {
        self.after(1.0, What::Read { engine });
        if !self.engines[engine].is_up {
            return;
        }
        let mut load = self.engines[engine].report(self.now);
        load.age = Duration::from_millis(500);
        load.cached.retain(|_| !self.random.random_bool(EVENT_LOSS));
        load.evicted.retain(|_| !self.random.random_bool(EVENT_LOSS));
        self.after(0.5, What::Announce { engine, load: Box::new(load) });
    }

    fn announce(&mut self, engine: usize, load: LoadReport) {
        if !self.engines[engine].is_up {
            return;
        }
        self.announced[engine] += 1;
        let zone = self.engine_zone(engine);
        let loaded = LoadedModel { model: id("m"), version: id("v1"), adapters: Vec::new() };
        let announcement = Announcement {
            id: engine_id(engine),
            incarnation: Incarnation(1 + self.engines[engine].epoch),
            sequence: self.announced[engine],
            zone: id(self.deployment.zones[zone].0),
            address: "127.0.0.1:9000".parse().unwrap(),
            kind: UpstreamKind::Engine { models: vec![loaded] },
            slots: Slots(SLOTS),
            fencing: true,
            leaving: false,
            load,
        };
        let first: usize = self.deployment.entries[..zone].iter().sum();
        for turn in 0..2 {
            let entry = first + (engine + turn) % self.deployment.entries[zone];
            let news = Box::new(News::Announced(announcement.clone()));
            self.after(NEAR, What::Deliver { entry, news });
        }
    }

    fn arrive(&mut self, region: usize) {
        let rate = self.scenario.demand()[region]
            * self.deployment.engine_rate()
            * (self.deployment.engines / 3) as f64;
        let gap = self.traffic.gap(rate);
        if self.now + gap < SECONDS {
            self.after(gap, What::Arrive { region });
        }
        let request = self.request(region);
        self.requests.push(request);
        let attempt = self.requests.len() - 1;
        if self.is_measured(attempt) {
            self.figures.requests += 1;
        }
        self.after(self.deployment.deadline, What::GiveUp { attempt });
        self.decide(attempt);
    }

    fn request(&mut self, region: usize) -> Request {
        let attempt = self.requests.len();
        let (facts, job) = self.traffic.request(region, attempt);
        Request {
            origin: Origin::new(facts),
            entry: self.traffic.entry(region),
            arrived: self.now,
            job,
            tries: 0,
            ticket: None,
            server: None,
            engine: None,
            is_away: false,
            is_started: false,
            is_over: false,
        }
    }

    fn is_measured(&self, attempt: usize) -> bool {
        self.requests[attempt].arrived >= WARM_UP
    }

    fn decide(&mut self, attempt: usize) {
        let now = self.clock();
        let request = &mut self.requests[attempt];
        if request.is_over {
            return;
        }
        request.tries += 1;
        let spent = self.now - request.arrived;
        let left = (self.deployment.deadline - spent).max(0.0);
        request.origin.facts.deadline = Duration::from_secs_f64(left);
        if request.tries > ATTEMPTS {
            return self.refuse(attempt);
        }
        let entry = &mut self.entries[request.entry];
        let decision =
            entry.decider.origin(now, &entry.membership, &self.configuration, &request.origin);
        match decision {
            Decision::Serve(upstream, ticket) => {
                request.ticket = None;
                request.server = Some((request.entry, ticket));
                request.is_away = false;
                self.send(attempt, &upstream);
            }
            Decision::Forward(zone, ticket) => {
                request.ticket = ticket;
                request.server = None;
                request.is_away = true;
                let zone = self.zone(&zone);
                let own = self.entries[self.requests[attempt].entry].zone;
                if self.is_cut(own, zone) {
                    self.after(LOSS, What::Lost { attempt });
                } else {
                    self.after(self.deployment.far, What::Cross { attempt, zone });
                }
            }
            Decision::Refuse => self.refuse(attempt),
        }
    }

    fn zone(&self, zone: &ZoneId) -> usize {
        self.deployment.zones.iter().position(|it| it.0 == zone.as_str()).unwrap()
    }

    fn send(&mut self, attempt: usize, upstream: &UpstreamId) {
        let engine = upstream.as_str()[1..].parse().unwrap();
        self.after(NEAR, What::Reach { attempt, engine });
    }

    fn cross(&mut self, attempt: usize, zone: usize) {
        let now = self.clock();
        let entry_place = self.entry_of_zone(zone);
        let own = id(self.deployment.zones[zone].1);
        let request = &mut self.requests[attempt];
        let header = header(&self.configuration, &request.origin, &own);
        let forwarded = Forwarded::receive(header, &self.configuration, &own).unwrap();
        let entry = &mut self.entries[entry_place];
        let decision =
            entry.decider.forwarded(now, &entry.membership, &self.configuration, &forwarded);
        match decision {
            Decision::Serve(upstream, ticket) => {
                request.server = Some((entry_place, ticket));
                self.send(attempt, &upstream);
            }
            _ => {
                request.origin.refuse(id(self.deployment.zones[zone].0));
                self.after(self.deployment.far, What::Returned { attempt });
            }
        }
    }

    fn reach(&mut self, attempt: usize, engine: usize) {
        if !self.engines[engine].is_up {
            return self.after(LOSS, What::Lost { attempt });
        }
        if self.requests[attempt].is_over {
            return self.settle(attempt, Event::Ended);
        }
        self.requests[attempt].engine = Some((engine, self.engines[engine].epoch));
        let started = self.engines[engine].accept(self.now, self.requests[attempt].job);
        if let Some(started) = started {
            self.started(engine, started);
        }
    }

    fn started(&mut self, engine: usize, started: Started) {
        let Started { attempt, first, end, processed, is_hit } = started;
        let epoch = self.engines[engine].epoch;
        self.requests[attempt].is_started = true;
        if self.is_measured(attempt) {
            self.figures.starts += 1;
            self.figures.hits += usize::from(is_hit);
            self.figures.cost += processed as f64 / 1_000.0 * PROMPT_PRICE;
        }
        self.at(first, What::FirstToken { attempt });
        self.at(end, What::End { attempt, engine, epoch });
    }

    fn first_token(&mut self, attempt: usize) {
        let request = &self.requests[attempt];
        let Some((engine, epoch)) = request.engine else {
            return;
        };
        if self.engines[engine].epoch != epoch || request.is_over {
            return;
        }
        let far = if request.is_away { self.deployment.far } else { 0.0 };
        let took = self.now - request.arrived + far + NEAR + 2.0 * self.deployment.client;
        self.learn(attempt, Event::FirstToken);
        let is_measured = self.is_measured(attempt);
        self.requests[attempt].is_over = true;
        if is_measured {
            self.figures.first_tokens.push(took);
            self.figures.good += usize::from(took <= self.deployment.deadline);
            self.figures.away += usize::from(self.requests[attempt].is_away);
            let link = if self.requests[attempt].is_away { LINK_PRICE } else { 0.0 };
            self.figures.cost += link;
        }
    }

    fn learn(&mut self, attempt: usize, event: fn(Ticket) -> Event) {
        let now = self.clock();
        let request = &self.requests[attempt];
        if let Some((server, Some(ticket))) = request.server {
            self.entries[server].decider.learn(now, event(ticket));
        }
        if let Some(ticket) = request.ticket {
            self.entries[request.entry].decider.learn(now, event(ticket));
        }
    }

    fn settle(&mut self, attempt: usize, event: fn(Ticket) -> Event) {
        self.learn(attempt, event);
        self.requests[attempt].server = None;
        self.requests[attempt].ticket = None;
    }

    fn end(&mut self, attempt: usize, engine: usize, epoch: u64) {
        if self.engines[engine].epoch != epoch {
            return;
        }
        self.settle(attempt, Event::Ended);
        let next = self.engines[engine].end(self.now);
        if let Some(started) = next {
            self.started(engine, started);
        }
    }

    /// The attempt's answer was lost before the first token.
    fn lost(&mut self, attempt: usize) {
        self.settle(attempt, Event::Failed);
        let request = &mut self.requests[attempt];
        if let Some((engine, _)) = request.engine.take() {
            let upstream = engine_id(engine);
            if let Err(place) = request.origin.facts.excluded.binary_search(&upstream) {
                request.origin.facts.excluded.insert(place, upstream);
            }
        }
        request.is_started = false;
        self.decide(attempt);
    }

    fn returned(&mut self, attempt: usize) {
        self.settle(attempt, Event::Failed);
        self.decide(attempt);
    }

    fn give_up(&mut self, attempt: usize) {
        if self.requests[attempt].is_over {
            return;
        }
        self.refuse(attempt);
        if let Some((engine, epoch)) = self.requests[attempt].engine
            && self.engines[engine].epoch == epoch
            && self.engines[engine].cancel(attempt)
        {
            self.settle(attempt, Event::Ended);
        }
    }

    fn refuse(&mut self, attempt: usize) {
        self.requests[attempt].is_over = true;
        if self.is_measured(attempt) {
            self.figures.refused += 1;
        }
    }

    fn fault(&mut self) {
        if self.scenario.fault != Fault::RegionLost {
            return;
        }
        for engine in 0..self.deployment.engines / 3 {
            self.engines[engine].crash();
        }
        for attempt in 0..self.requests.len() {
            let request = &self.requests[attempt];
            let is_hit = request.engine.is_some_and(|it| it.0 < self.deployment.engines / 3);
            if is_hit && (request.server.is_some() || request.ticket.is_some()) {
                self.after(LOSS, What::Lost { attempt });
            }
        }
    }

    fn repair(&mut self) {
        for engine in &mut self.engines {
            engine.is_up = true;
        }
    }
}

fn seed(zone: usize, place: usize, zone_name: &str, region: &str) -> Seed {
    let name = format!("e{zone}-{place}");
    Seed { id: id(&name), kind: InstanceKind::Entry, zone: id(zone_name), region: id(region) }
}

fn engine_id(engine: usize) -> UpstreamId {
    id(&format!("u{engine:02}"))
}

fn header(
    configuration: &Configuration,
    origin: &Origin,
    region: &medlarlug_core::ids::RegionId,
) -> medlarlug_core::routing::ForwardHeader {
    use medlarlug_core::routing::{ConfigurationLease, Permit};
    let lease = ConfigurationLease::Valid;
    let permit = Permit::check(configuration, lease, &origin.facts, region, region).unwrap();
    origin.header(&permit)
}
