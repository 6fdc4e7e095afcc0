//! A simulated network of membership cores with a seeded random generator: delays, losses,
//! duplicates, partitions and restarts.

use std::time::Duration;

use medlarlug_core::{
    announcement::{Announcement, LoadReport, LoadedModel, UpstreamKind},
    ids::{Incarnation, InstanceId, UpstreamId, ZoneId},
    membership::{Effect, Event, InstanceKind, Membership, Message, Seed, Settings},
    time::Time,
    units::Slots,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_support::id;

/// Faults that the network injects.
#[derive(Debug, Clone, Copy)]
pub struct Faults {
    pub drop: f64,
    pub duplicate: f64,
    pub delay: Duration,
}

impl Faults {
    pub const NONE: Faults = Faults { drop: 0.0, duplicate: 0.0, delay: Duration::from_millis(10) };
    pub const ROUGH: Faults =
        Faults { drop: 0.05, duplicate: 0.1, delay: Duration::from_millis(300) };
}

pub struct Node {
    pub seed: Seed,
    pub membership: Membership,
    pub is_up: bool,
    pub sent: usize,
    pub received: usize,
    incarnation: Incarnation,
    offset: Duration,
}

pub struct FakeUpstream {
    pub announcement: Announcement,
    pub is_up: bool,
    next: Duration,
}

struct Delivery {
    at: Duration,
    to: usize,
    event: Event,
}

pub struct Network {
    pub now: Duration,
    pub nodes: Vec<Node>,
    pub upstreams: Vec<FakeUpstream>,
    pub faults: Faults,
    pub cut: Vec<usize>,
    pub unresponsive: Vec<(usize, usize)>,
    pub notices: Vec<(usize, medlarlug_core::membership::Notice)>,
    pub measures_bytes: bool,
    pub delivers: fn(&Message) -> bool,
    random: ChaCha8Rng,
    deliveries: Vec<Delivery>,
}

const STEP: Duration = Duration::from_millis(50);
const RENEWAL: Duration = Duration::from_secs(1);

pub fn entry(name: &str, zone: &str, region: &str) -> Seed {
    Seed { id: id(name), kind: InstanceKind::Entry, zone: id(zone), region: id(region) }
}

pub fn engine(name: &str, zone: &str, models: &[&str]) -> Announcement {
    let loaded =
        |model: &&str| LoadedModel { model: id(model), version: id("v1"), adapters: Vec::new() };
    Announcement {
        id: id(name),
        incarnation: Incarnation(1),
        sequence: 0,
        zone: id(zone),
        address: "127.0.0.1:9000".parse().unwrap(),
        kind: UpstreamKind::Engine { models: models.iter().map(loaded).collect() },
        slots: Slots(8),
        fencing: true,
        leaving: false,
        load: LoadReport::default(),
    }
}

impl Network {
    pub fn new(seed: u64, seeds: Vec<Seed>) -> Network {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut network = Network {
            now: Duration::ZERO,
            nodes: Vec::new(),
            upstreams: Vec::new(),
            faults: Faults::NONE,
            cut: Vec::new(),
            unresponsive: Vec::new(),
            notices: Vec::new(),
            measures_bytes: false,
            delivers: |_| true,
            random: ChaCha8Rng::seed_from_u64(seed + 1),
            deliveries: Vec::new(),
        };
        for own in &seeds {
            let offset = Duration::from_millis(random.random_range(0..100_000));
            let incarnation = Incarnation(1);
            let membership = start(offset, own, incarnation, &seeds);
            network.nodes.push(Node {
                seed: own.clone(),
                membership,
                is_up: true,
                sent: 0,
                received: 0,
                incarnation,
                offset,
            });
        }
        network
    }

    pub fn random(&mut self) -> &mut ChaCha8Rng {
        &mut self.random
    }

    pub fn add_upstream(&mut self, announcement: Announcement) {
        let next = self.now + Duration::from_millis(self.random.random_range(0..1_000));
        self.upstreams.push(FakeUpstream { announcement, is_up: true, next });
    }

    pub fn clock(&self, node: usize) -> Time {
        Time::ZERO + self.now + self.nodes[node].offset
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    pub fn step(&mut self) {
        self.now += STEP;
        self.renew();
        let (due, later) = std::mem::take(&mut self.deliveries)
            .into_iter()
            .partition(|it: &Delivery| it.at <= self.now);
        self.deliveries = later;
        let mut due: Vec<Delivery> = due;
        due.sort_by_key(|it| it.at);
        for delivery in due {
            if self.nodes[delivery.to].is_up {
                self.feed(delivery.to, delivery.event);
            }
        }
        for node in 0..self.nodes.len() {
            let phase = Duration::from_millis(50 * (node as u64 % 5));
            let is_due = (self.now + phase).as_millis().is_multiple_of(250);
            if is_due && self.nodes[node].is_up {
                self.feed(node, Event::Tick);
            }
        }
    }

    fn feed(&mut self, node: usize, event: Event) {
        let now = self.clock(node);
        let mut effects = Vec::new();
        self.nodes[node].membership.handle(now, event, &mut effects);
        for effect in effects {
            match effect {
                Effect::Send { to, message } => self.send(node, &to, message),
                Effect::Reconnect { peer } => {
                    let peer = self.node(&peer);
                    self.unresponsive.retain(|it| *it != (node, peer) && *it != (peer, node));
                }
                Effect::Notice(notice) => self.notices.push((node, notice)),
            }
        }
    }

    pub fn node(&self, id: &InstanceId) -> usize {
        self.nodes.iter().position(|it| it.seed.id == *id).unwrap()
    }

    fn send(&mut self, from: usize, to: &InstanceId, message: Message) {
        let to = self.node(to);
        if self.measures_bytes {
            let bytes = postcard::to_allocvec(&message).unwrap().len();
            self.nodes[from].sent += bytes;
            self.nodes[to].received += bytes;
        }
        let is_cut = self.cut.contains(&from) != self.cut.contains(&to);
        let is_unresponsive =
            self.unresponsive.contains(&(from, to)) || self.unresponsive.contains(&(to, from));
        if is_cut || is_unresponsive || !(self.delivers)(&message) {
            return;
        }
        let sender = self.nodes[from].seed.id.clone();
        self.deliver(to, Event::Message { from: sender, message });
    }

    fn deliver(&mut self, to: usize, event: Event) {
        if self.random.random_bool(self.faults.drop) {
            return;
        }
        let copies = 1 + usize::from(self.random.random_bool(self.faults.duplicate));
        for _ in 0..copies {
            let delay = self.faults.delay.mul_f64(self.random.random_range(0.0..1.0));
            self.deliveries.push(Delivery { at: self.now + delay, to, event: event.clone() });
        }
    }

    /// Upstreams announce themselves to two live entry instances of their zone.
    fn renew(&mut self) {
        for index in 0..self.upstreams.len() {
            let upstream = &mut self.upstreams[index];
            if !upstream.is_up || upstream.next > self.now {
                continue;
            }
            upstream.next = self.now + RENEWAL;
            upstream.announcement.sequence += 1;
            self.announce(index);
        }
    }

    pub fn announce(&mut self, index: usize) {
        let announcement = self.upstreams[index].announcement.clone();
        let zone = &announcement.zone;
        let in_zone = |it: &usize| self.nodes[*it].seed.zone == *zone && self.nodes[*it].is_up;
        let nodes: Vec<usize> = (0..self.nodes.len()).filter(in_zone).collect();
        for shift in 0..nodes.len().min(2) {
            let to = nodes[(index + shift) % nodes.len()];
            self.deliver(to, Event::Announced(announcement.clone()));
        }
    }

    pub fn leave(&mut self, index: usize) {
        let upstream = &mut self.upstreams[index];
        upstream.announcement.leaving = true;
        upstream.announcement.sequence += 1;
        self.announce(index);
    }

    pub fn restart_upstream(&mut self, index: usize) {
        let upstream = &mut self.upstreams[index];
        upstream.is_up = true;
        upstream.announcement.incarnation = upstream.announcement.incarnation.next();
        upstream.announcement.leaving = false;
        upstream.announcement.sequence = 0;
        self.announce(index);
    }

    pub fn restart_node(&mut self, node: usize) {
        let seeds: Vec<Seed> = self.nodes.iter().map(|it| it.seed.clone()).collect();
        let now = self.nodes[node].offset + self.now;
        let node = &mut self.nodes[node];
        node.incarnation = node.incarnation.next();
        node.membership = start(now, &node.seed, node.incarnation, &seeds);
        node.is_up = true;
    }

    pub fn usable(&self, node: usize) -> Vec<UpstreamId> {
        let membership = &self.nodes[node].membership;
        let usable = membership.upstreams(self.clock(node));
        usable.map(|it| it.announcement.id.clone()).collect()
    }

    /// The usable upstreams of a zone by the state of the simulation, as the reference.
    pub fn expected_usable(&self, zone: &ZoneId) -> Vec<UpstreamId> {
        let in_zone = self.upstreams.iter().filter(|it| it.announcement.zone == *zone);
        let usable = in_zone.filter(|it| it.is_up && !it.announcement.leaving);
        let mut ids: Vec<UpstreamId> = usable.map(|it| it.announcement.id.clone()).collect();
        ids.sort();
        ids
    }
}

fn start(now: Duration, own: &Seed, incarnation: Incarnation, peers: &[Seed]) -> Membership {
    let settings = Settings { own: own.clone(), incarnation, peers: peers.to_vec() };
    Membership::new(Time::ZERO + now, settings)
}
