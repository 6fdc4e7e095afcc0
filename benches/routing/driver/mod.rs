//! The event loop that simulates entry instances, engines and callers.

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
    membership::{Event as MembershipEvent, InstanceKind, Membership, Seed, Settings},
    release::Configuration,
    routing::{AttemptId, CallerRequest, Router},
    time::Time,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_support::id;

use crate::{
    deployment::{Deployment, Fault, RUN_SECONDS, Scenario},
    engine::{Engine, Job},
    figures::Figures,
    policy::Decider,
    traffic::Traffic,
};

/// Requests that arrive before this time, in simulated seconds, are not measured.
const WARM_UP_SECONDS: f64 = 15.0;
/// One-way delay within a zone, in seconds.
const ZONE_DELAY_SECONDS: f64 = 0.001;
/// Seconds after which an attempt without an answer counts as failed.
const ATTEMPT_TIMEOUT_SECONDS: f64 = 1.0;

enum SimulationEvent {
    Arrive { region: usize },
    Tick { entry: usize },
    Deliver { entry: usize, event: Box<MembershipEvent> },
    ReadLoad { engine: usize },
    Announce { engine: usize, load: Box<LoadReport> },
    ReachEngine { request_index: usize, engine: usize },
    ReachZone { request_index: usize, zone: usize },
    FirstToken { request_index: usize },
    End { request_index: usize, engine: usize, epoch: u64 },
    AttemptFailed { request_index: usize },
    ForwardRefused { request_index: usize },
    GiveUp { request_index: usize },
    Fault,
    Repair,
}

struct Entry {
    zone: usize,
    membership: Membership,
    decider: Decider,
}

/// A request of a caller with the state of its current attempt.
struct Request {
    caller_request: CallerRequest,
    entry: usize,
    arrived: f64,
    job: Job,
    attempts: u32,
    attempt_id: Option<AttemptId>,
    serving_entry: Option<(usize, Option<AttemptId>)>,
    engine: Option<(usize, u64)>,
    is_remote: bool,
    is_started: bool,
    is_over: bool,
}

pub struct Driver {
    deployment: Deployment,
    scenario: Scenario,
    configuration: Configuration,
    /// Has its own random generator, so that the traffic is identical for both routers.
    traffic: Traffic,
    random: ChaCha8Rng,
    now: f64,
    sequence: u64,
    heap: BinaryHeap<Reverse<(u64, u64)>>,
    pending: BTreeMap<u64, SimulationEvent>,
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
        if driver.now > RUN_SECONDS + deployment.deadline {
            break;
        }
        let event = driver.pending.remove(&sequence).unwrap();
        driver.handle(event);
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
            driver.at(phase, SimulationEvent::ReadLoad { engine });
        }
        for region in 0..3 {
            driver.at(3.0, SimulationEvent::Arrive { region });
        }
        if scenario.fault == Fault::SlowIdle {
            driver.engines[0].slowdown = 10.0;
            driver.engines[0].reports_idle = true;
        }
        driver.at(RUN_SECONDS / 3.0, SimulationEvent::Fault);
        driver.at(RUN_SECONDS * 2.0 / 3.0, SimulationEvent::Repair);
        driver
    }

    fn add_entries(&mut self, is_real: bool) {
        let mut seeds = Vec::new();
        for (zone, count) in self.deployment.entries.into_iter().enumerate() {
            let (zone_name, region) = self.deployment.zones[zone];
            seeds.extend((0..count).map(|it| (zone, seed(zone, it, zone_name, region))));
        }
        let peers: Vec<Seed> = seeds.iter().map(|it| it.1.clone()).collect();
        for (index, (zone, own)) in seeds.into_iter().enumerate() {
            let settings = Settings { own, incarnation: Incarnation(1), peers: peers.clone() };
            let membership = Membership::new(Time::ZERO, settings);
            let decider = if is_real {
                Decider::Real(Box::new(Router::new(Time::ZERO, index as u64)))
            } else {
                Decider::Naive { next_index: index }
            };
            self.entries.push(Entry { zone, membership, decider });
            self.at(0.01 * index as f64, SimulationEvent::Tick { entry: index });
        }
    }

    fn at(&mut self, time: f64, event: SimulationEvent) {
        self.sequence += 1;
        let micros = (time.max(self.now) * 1e6) as u64;
        self.heap.push(Reverse((micros, self.sequence)));
        self.pending.insert(self.sequence, event);
    }

    fn after(&mut self, delay: f64, event: SimulationEvent) {
        self.at(self.now + delay, event);
    }

    fn clock(&self) -> Time {
        Time::from_micros((self.now * 1e6) as u64)
    }

    fn handle(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::Arrive { region } => self.arrive(region),
            SimulationEvent::Tick { entry } => {
                self.handle_membership(entry, MembershipEvent::Tick);
                self.after(0.25, SimulationEvent::Tick { entry });
            }
            SimulationEvent::Deliver { entry, event } => self.handle_membership(entry, *event),
            SimulationEvent::ReadLoad { engine } => self.read_load(engine),
            SimulationEvent::Announce { engine, load } => self.announce(engine, *load),
            SimulationEvent::ReachEngine { request_index, engine } => {
                self.reach_engine(request_index, engine)
            }
            SimulationEvent::ReachZone { request_index, zone } => {
                self.reach_zone(request_index, zone)
            }
            SimulationEvent::FirstToken { request_index } => self.first_token(request_index),
            SimulationEvent::End { request_index, engine, epoch } => {
                self.end(request_index, engine, epoch)
            }
            SimulationEvent::AttemptFailed { request_index } => self.attempt_failed(request_index),
            SimulationEvent::ForwardRefused { request_index } => {
                self.forward_refused(request_index)
            }
            SimulationEvent::GiveUp { request_index } => self.give_up(request_index),
            SimulationEvent::Fault => self.fault(),
            SimulationEvent::Repair => self.repair(),
        }
    }

    fn engine_zone(&self, engine: usize) -> usize {
        engine * 3 / self.deployment.engines
    }
}

fn seed(zone: usize, index: usize, zone_name: &str, region: &str) -> Seed {
    let name = format!("e{zone}-{index}");
    Seed { id: id(&name), kind: InstanceKind::Entry, zone: id(zone_name), region: id(region) }
}

fn engine_id(engine: usize) -> UpstreamId {
    id(&format!("u{engine:02}"))
}
