//! Measures membership messages: heartbeats, upstreams and summaries.
//!
//! Runs the core of every instance and encodes each message as a real frame. Instances tick one
//! after the other and messages take no time.

use std::{collections::VecDeque, time::Duration};

use medlarlug::protocol::{DeploymentKeys, Message, frame};
use medlarlug_core::{
    ids::{Incarnation, InstanceId},
    membership::{
        self, Effect, Event, InstanceKind, Membership, Message as Body, Seed, Settings, TICK,
    },
    time::Time,
};
use test_support::scale::{self, Scale};

use crate::wire;

const WARM_UP_TIME: Duration = Duration::from_secs(5);
const MEASURED_TIME: Duration = Duration::from_secs(20);
/// Number of entry instances to which an engine announces itself.
const ANNOUNCED_INSTANCES: usize = 2;
/// Ticks between two announcements of an engine: 500 ms.
const TICKS_PER_RENEWAL: u64 = 2;

/// Bytes and messages that one instance sent and received.
#[derive(Debug, Clone, Copy, Default)]
pub struct Traffic {
    pub sent: f64,
    pub received: f64,
    pub messages: f64,
    /// Bytes sent and received, by kind: heartbeats, upstreams, summaries.
    pub kinds: [f64; 3],
}

/// Traffic per second, averaged over the instances of a role.
pub struct Sample {
    pub entry: Traffic,
    pub speaker: Traffic,
    pub keeper: Traffic,
    /// Share of a core that one node uses, including the driver of the benchmark.
    pub processor: f64,
}

struct Host {
    core: Membership,
    traffic: Traffic,
}

struct Network {
    keys: DeploymentKeys,
    seeds: Vec<Seed>,
    hosts: Vec<Host>,
    messages: VecDeque<(usize, Vec<u8>)>,
    is_counting: bool,
}

impl Network {
    fn new(scale: &Scale) -> Network {
        let seeds = scale.seeds();
        let settings = |own: &Seed| Settings {
            own: own.clone(),
            incarnation: Incarnation(1_764_720_000_000),
            peers: seeds.clone(),
        };
        let host = |own: &Seed| Host {
            core: Membership::new(Time::ZERO, settings(own)),
            traffic: Traffic::default(),
        };
        let hosts = seeds.iter().map(host).collect();
        Network { keys: wire::keys(), seeds, hosts, messages: VecDeque::new(), is_counting: false }
    }

    fn handle(&mut self, now: Time, at: usize, event: Event) {
        let mut out = Vec::new();
        self.hosts[at].core.handle(now, event, &mut out);
        for effect in out {
            if let Effect::Send { to, message } = effect {
                self.send(at, &to, message);
            }
        }
    }

    fn send(&mut self, at: usize, to: &InstanceId, message: Body) {
        let receiver = self.seeds.binary_search_by(|it| it.id.cmp(to)).expect("an instance");
        let (kind, updates) = (kind_of(&message), update_bytes(&message));
        let envelope = wire::envelope(&self.seeds[at].id, to, Message::Membership(message));
        let frame = frame::encode(&self.keys, &envelope).expect("a frame");
        if self.is_counting {
            let bytes = frame.len() as f64;
            let sender = &mut self.hosts[at].traffic;
            sender.sent += bytes;
            sender.messages += 1.0;
            sender.kinds[kind] += bytes - updates;
            sender.kinds[1] += updates;
            let traffic = &mut self.hosts[receiver].traffic;
            traffic.received += bytes;
            traffic.messages += 1.0;
            traffic.kinds[kind] += bytes - updates;
            traffic.kinds[1] += updates;
        }
        self.messages.push_back((receiver, frame));
    }

    fn deliver(&mut self, now: Time) {
        while let Some((to, frame)) = self.messages.pop_front() {
            let envelope = frame::decode(&self.keys, &self.seeds[to].id, &frame).expect("a frame");
            let Message::Membership(message) = envelope.message else { continue };
            let from = envelope.from;
            self.handle(now, to, Event::Message { from, message });
        }
    }
}

fn kind_of(message: &membership::Message) -> usize {
    match message {
        Body::Heartbeat(_) | Body::DeadPeers(_) => 0,
        Body::Upstreams(_) | Body::Pull(_) => 1,
        Body::Summaries(_) => 2,
    }
}

/// Bytes of the updates of upstreams that a heartbeat carries, which count as upstream traffic.
fn update_bytes(message: &membership::Message) -> f64 {
    match message {
        Body::Heartbeat(heartbeat) => {
            let bytes = postcard::to_stdvec(&heartbeat.updates).expect("updates");
            (bytes.len() - 1) as f64
        }
        _ => 0.0,
    }
}

/// Simulates a deployment whose load reports name `prefixes` cached and as many evicted prefixes.
pub fn measure(scale: &Scale, prefixes: usize) -> Sample {
    let mut network = Network::new(scale);
    let mut engines = scale.announcements();
    let entries_in = |zone: &medlarlug_core::ids::ZoneId| -> Vec<usize> {
        let is_zone_entry = |it: &Seed| it.zone == *zone && it.kind == InstanceKind::Entry;
        (0..network.seeds.len()).filter(|it| is_zone_entry(&network.seeds[*it])).collect()
    };
    let targets: Vec<Vec<usize>> = engines.iter().map(|it| entries_in(&it.zone)).collect();
    let ticks = (WARM_UP_TIME + MEASURED_TIME).as_millis() / TICK.as_millis();
    let warm_up_ticks = WARM_UP_TIME.as_millis() / TICK.as_millis();
    let mut processor = 0.0;
    for tick in 0..ticks as u64 {
        let now = Time::ZERO + TICK * tick as u32;
        if u128::from(tick) == warm_up_ticks {
            network.is_counting = true;
            processor = wire::processor_seconds();
        }
        for (number, engine) in engines.iter_mut().enumerate() {
            if !(tick + number as u64).is_multiple_of(TICKS_PER_RENEWAL) {
                continue;
            }
            engine.sequence = tick + 1;
            engine.load = scale::load_report(tick * 1_000 + number as u64);
            engine.load.cached.truncate(prefixes);
            engine.load.evicted.truncate(prefixes);
            for offset in 0..ANNOUNCED_INSTANCES.min(targets[number].len()) {
                let at = targets[number][(number + offset) % targets[number].len()];
                network.handle(now, at, Event::Announced(engine.clone()));
            }
            network.deliver(now);
        }
        for at in 0..network.hosts.len() {
            network.handle(now, at, Event::Tick);
            network.deliver(now);
        }
    }
    let seconds = MEASURED_TIME.as_secs_f64();
    let processor = (wire::processor_seconds() - processor) / seconds / scale.nodes as f64;
    let mean = |select: &dyn Fn(&Host) -> bool| mean_of(&network.hosts, select, seconds);
    let is_entry = |it: &Host| it.core.own().kind == InstanceKind::Entry;
    Sample {
        entry: mean(&|it| is_entry(it) && !it.core.is_speaker()),
        speaker: mean(&|it| it.core.is_speaker()),
        keeper: mean(&|it| !is_entry(it)),
        processor,
    }
}

fn mean_of(hosts: &[Host], select: &dyn Fn(&Host) -> bool, seconds: f64) -> Traffic {
    let chosen: Vec<&Traffic> =
        hosts.iter().filter(|it| select(it)).map(|it| &it.traffic).collect();
    let per = chosen.len().max(1) as f64 * seconds;
    let sum = |of: &dyn Fn(&Traffic) -> f64| chosen.iter().map(|it| of(it)).sum::<f64>() / per;
    Traffic {
        sent: sum(&|it| it.sent),
        received: sum(&|it| it.received),
        messages: sum(&|it| it.messages),
        kinds: [0, 1, 2].map(|kind| sum(&|it| it.kinds[kind])),
    }
}
