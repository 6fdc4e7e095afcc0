//! One loop over entry instances, engines and callers.

mod fault;
mod messages;
mod request;
mod serving;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
};

use medlarlug_core::{
    announcement::LoadReport,
    ids::{Incarnation, UpstreamId},
    membership::{Event as News, InstanceKind, Membership, Seed, Settings},
    release::Configuration,
    routing::{Origin, Router, Ticket},
    time::Time,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_support::id;

use crate::{
    deployment::{Deployment, Fault, SECONDS, Scenario},
    engine::{Engine, Job},
    figures::Figures,
    policy::Decider,
    traffic::Traffic,
};

/// Seconds before measuring begins.
const WARM_UP: f64 = 15.0;
/// Seconds one way inside a zone.
const NEAR: f64 = 0.001;
/// Seconds after which a lost answer counts as a failure.
const LOSS: f64 = 1.0;

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

    fn engine_zone(&self, engine: usize) -> usize {
        engine * 3 / self.deployment.engines
    }
}

fn seed(zone: usize, place: usize, zone_name: &str, region: &str) -> Seed {
    let name = format!("e{zone}-{place}");
    Seed { id: id(&name), kind: InstanceKind::Entry, zone: id(zone_name), region: id(region) }
}

fn engine_id(engine: usize) -> UpstreamId {
    id(&format!("u{engine:02}"))
}
