//! Quotas of teams in a simulation of the entry instances of several regions, with message delays,
//! losses, partitions, freezes, kills and restarts.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use medlarlug_core::{
    gateway::{
        quota::{Budget, ClaimId, Claims, Decision, QuotaMessage, QuotaView, Quotas, Tolerance},
        teams::{Quota, QuotaUnit, TeamName},
    },
    ids::InstanceId,
    time::Time,
};
use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const TOLERANCE: Tolerance =
    Tolerance { window: Duration::from_secs(8), overage: 0.1, slack: 72_000.0 };
/// Time after which the pools of a started system are full.
const FILL_TIME: f64 = 8.0;

/// A team and its load.
#[derive(Debug, Clone, Copy)]
struct Load {
    name: &'static str,
    /// Tokens per second and burst of its quota.
    limit: (f64, f64),
    /// Tokens per second that it sends.
    sent: f64,
    /// Whether it sends to the first instance only.
    is_local: bool,
}

/// The small team, at a share of its limit.
fn small(share: f64) -> Load {
    Load { name: "small", limit: (18e3, 18e3), sent: 18e3 * share, is_local: true }
}

/// A team that uses all instances, at a share of its limit.
fn wide(rate: f64, share: f64) -> Load {
    Load { name: "wide", limit: (rate, rate), sent: rate * share, is_local: false }
}

/// Instances that don't hear each other.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Cut {
    None,
    /// Each region from the others.
    Regions,
    /// The instances of each region with an even number from those with an odd number.
    Halves,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    Cut(Cut),
    /// Freezes the instance that keeps the pool of a team in a region, for some milliseconds.
    Freeze(usize, u64),
    /// Kills that instance, and starts it again after some milliseconds.
    Kill(usize, u64),
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Call(usize),
    Upkeep(usize),
    Poll(usize),
    Message(usize, usize, Vec<u8>),
    Start(usize),
}

struct Node {
    id: InstanceId,
    quotas: Quotas,
    is_up: bool,
    frozen_until: Time,
    next_poll: Time,
    peak: Option<usize>,
    /// Number of messages that it has sent.
    sent: usize,
    /// When each instance was last alive, as far as this one has heard.
    heard: Vec<Option<Time>>,
    /// Calls that wait: id, team, cost, and whether it is below the limit.
    calls: Vec<(ClaimId, usize, u64, bool)>,
}

#[derive(Debug, Clone, Default)]
struct Outcome {
    /// Time and cost of each call that was charged.
    used: Vec<(Time, u64)>,
    /// Calls below the limit, which one bucket for all instances has the tokens for, and those of
    /// them that were not charged.
    admissible: usize,
    refused: usize,
}

impl Outcome {
    /// The largest cost in a window as a share of what is allowed.
    fn peak(&self, load: &Load) -> f64 {
        let (rate, burst) = load.limit;
        let (window, overage) = (TOLERANCE.window, TOLERANCE.overage);
        let allowed = (rate * window.as_secs_f64() + burst) * (1.0 + overage) + TOLERANCE.slack;
        let (mut first, mut sum, mut peak) = (0, 0, 0);
        for (at, cost) in &self.used {
            sum += cost;
            while *at - self.used[first].0 > window {
                sum -= self.used[first].1;
                first += 1;
            }
            peak = peak.max(sum);
        }
        peak as f64 / allowed
    }
}

struct World {
    now: Time,
    random: ChaCha8Rng,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    number: u64,
    regions: usize,
    nodes: Vec<Node>,
    loads: Vec<Load>,
    /// For each team, the level of one bucket with its rate and burst from which all charged calls are
    /// taken, and when it was last filled.
    ideal: Vec<(f64, Time)>,
    outcomes: Vec<Outcome>,
    cut: Cut,
    /// Share of messages that are lost.
    loss: f64,
    /// Bytes of the messages that were sent.
    bytes: usize,
}

fn team(name: &str) -> TeamName {
    name.parse().unwrap()
}

fn budgets(loads: &[Load], regions: usize) -> Vec<(TeamName, Budget)> {
    let budget = |load: &Load| {
        let (rate, burst) = load.limit;
        let quota = Quota { unit: QuotaUnit::Tokens, rate, burst, plain_cost: 200 };
        (team(load.name), Budget::new(&quota, TOLERANCE, regions).unwrap())
    };
    let mut all: Vec<_> = loads.iter().map(budget).collect();
    all.sort_by(|a, b| a.0.cmp(&b.0));
    all
}

impl World {
    fn new(seed: u64, regions: usize, instances: usize, loads: &[Load]) -> World {
        let id = |number: usize| format!("entry-{number:03}").parse().unwrap();
        let node = |number| Node {
            id: id(number),
            quotas: Quotas::new(id(number), 0),
            is_up: false,
            frozen_until: Time::ZERO,
            next_poll: Time::ZERO,
            peak: None,
            sent: 0,
            heard: Vec::new(),
            calls: Vec::new(),
        };
        let mut world = World {
            now: Time::ZERO,
            random: ChaCha8Rng::seed_from_u64(seed),
            events: BinaryHeap::new(),
            number: 0,
            regions,
            nodes: (0..instances).map(node).collect(),
            loads: loads.to_vec(),
            ideal: loads.iter().map(|it| (it.limit.1, Time::ZERO)).collect(),
            outcomes: vec![Outcome::default(); loads.len()],
            cut: Cut::None,
            loss: 0.0,
            bytes: 0,
        };
        (0..instances).for_each(|node| world.start(node));
        world.run(FILL_TIME);
        (0..loads.len()).for_each(|load| world.schedule(0, Event::Call(load)));
        world
    }

    fn schedule(&mut self, delay_us: u64, event: Event) {
        self.number += 1;
        let at = self.now + Duration::from_micros(delay_us);
        self.events.push(Reverse((at, self.number, event)));
    }

    fn start(&mut self, at: usize) {
        let (first_id, count) = (self.random.random(), self.nodes.len());
        let node = &mut self.nodes[at];
        node.quotas = Quotas::new(node.id.clone(), first_id);
        (node.is_up, node.next_poll, node.peak) = (true, Time::ZERO, None);
        node.calls.clear();
        node.heard = vec![None; count];
        let budgets = budgets(&self.loads, self.regions);
        self.nodes[at].quotas.set_budgets(self.now, budgets);
        let delay = self.random.random_range(0..500_000);
        self.schedule(delay, Event::Upkeep(at));
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        let half = |node: usize| node / self.regions % 2;
        match self.cut {
            Cut::None => false,
            Cut::Regions => a % self.regions != b % self.regions,
            Cut::Halves => half(a) != half(b),
        }
    }

    fn run(&mut self, seconds: f64) {
        let end = self.now + Duration::from_secs_f64(seconds);
        while self.events.peek().is_some_and(|it| it.0.0 < end) {
            let Reverse((at, _, event)) = self.events.pop().unwrap();
            self.now = at;
            let node = match &event {
                Event::Call(_) | Event::Start(_) => None,
                Event::Upkeep(node) | Event::Poll(node) | Event::Message(node, ..) => Some(*node),
            };
            match node.map(|it| &self.nodes[it]) {
                Some(node) if node.frozen_until > at => {
                    let delay = node.frozen_until - at;
                    self.schedule(delay.as_micros() as u64, event);
                }
                Some(node) if !node.is_up => {}
                _ => self.handle(event),
            }
        }
        self.now = end;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Call(load) => self.call(load),
            Event::Start(node) => self.start(node),
            Event::Upkeep(node) => {
                self.update_view(node);
                self.schedule(500_000, Event::Upkeep(node));
            }
            Event::Poll(node) => self.poll(node),
            Event::Message(to, from, bytes) => {
                let message: QuotaMessage = postcard::from_bytes(&bytes).unwrap();
                let from = self.nodes[from].id.clone();
                self.nodes[to].quotas.receive(self.now, &from, message);
                self.poll(to);
            }
        }
    }

    /// Hears of the instances that are alive, as pings and the heartbeats of keepers tell it: late.
    fn update_view(&mut self, at: usize) {
        let count = self.nodes.len();
        for other in 0..count {
            if self.nodes[other].is_up
                && self.nodes[other].frozen_until <= self.now
                && !self.is_cut(at, other)
            {
                let age = Duration::from_millis(self.random.random_range(0..1_200));
                let heard = self.now.saturating_sub(if at == other { Duration::ZERO } else { age });
                let known = &mut self.nodes[at].heard[other];
                *known = (*known).max(Some(heard));
            }
        }
        let is_live = |other: &usize| {
            let heard = self.nodes[at].heard[*other];
            heard.is_some_and(|heard| self.now - heard <= Duration::from_millis(2_500))
        };
        let live: Vec<usize> = (0..count).filter(is_live).collect();
        let region = |region: usize| -> Vec<InstanceId> {
            let members = live.iter().filter(|it| *it % self.regions == region);
            members.map(|it| self.nodes[*it].id.clone()).collect()
        };
        let own = at % self.regions;
        let peak = (self.cut == Cut::None || self.nodes[at].peak.is_some())
            .then(|| self.nodes[at].peak.unwrap_or(0).max(live.len()));
        let view = QuotaView {
            own_region: region(own),
            other_regions: (0..self.regions).filter(|it| *it != own).map(region).collect(),
            peak_entries: peak,
        };
        self.nodes[at].peak = peak;
        self.nodes[at].quotas.set_view(self.now, view);
        self.poll(at);
    }

    /// A call of a team, and the time of the next one.
    fn call(&mut self, load: usize) {
        let Load { sent, is_local, .. } = self.loads[load];
        let cost = if self.random.random_bool(0.25) { 9_200 } else { 850 };
        let mean_us = (0.25 * 9_200.0 + 0.75 * 850.0) / sent * 1e6;
        let delay = -mean_us * (1.0 - self.random.random::<f64>()).ln();
        self.schedule(delay as u64, Event::Call(load));
        let node = if is_local { 0 } else { self.random.random_range(0..self.nodes.len()) };
        if self.nodes[node].is_up && self.nodes[node].frozen_until <= self.now {
            self.claim(node, load, cost);
        }
    }

    fn claim(&mut self, node: usize, load: usize, cost: u64) {
        let Load { name, limit: (rate, burst), .. } = self.loads[load];
        let (level, at) = &mut self.ideal[load];
        *level = (*level + (self.now - *at).as_secs_f64() * rate).min(burst);
        *at = self.now;
        let is_admissible = *level >= cost as f64;
        self.outcomes[load].admissible += usize::from(is_admissible);
        let id = self.nodes[node].quotas.claim(self.now, &team(name), cost);
        self.nodes[node].calls.push((id, load, cost, is_admissible));
        self.poll(node);
    }

    fn poll(&mut self, at: usize) {
        let outbox = self.nodes[at].quotas.poll(self.now);
        for (id, decision) in outbox.decisions {
            let calls = &mut self.nodes[at].calls;
            let found = calls.iter().position(|it| it.0 == id).unwrap();
            let (_, load, cost, is_admissible) = calls.swap_remove(found);
            let outcome = &mut self.outcomes[load];
            match decision {
                Decision::Charged => {
                    outcome.used.push((self.now, cost));
                    self.ideal[load].0 -= cost as f64;
                }
                _ => outcome.refused += usize::from(is_admissible),
            }
        }
        for (to, message) in outbox.messages {
            let to = self.nodes.iter().position(|it| it.id == to).unwrap();
            let bytes = postcard::to_stdvec(&message).unwrap();
            self.bytes += bytes.len();
            self.nodes[at].sent += 1;
            let is_lost = self.random.random_bool(self.loss);
            if is_lost || self.is_cut(at, to) {
                continue;
            }
            let delay = match at % self.regions == to % self.regions {
                true => self.random.random_range(1_500..3_500),
                false => self.random.random_range(54_000..56_000),
            };
            self.schedule(delay, Event::Message(to, at, bytes));
        }
        let node = &mut self.nodes[at];
        if let Some(due) = node.quotas.next_due()
            && (due < node.next_poll || node.next_poll <= self.now)
        {
            node.next_poll = due;
            self.schedule((due - self.now).as_micros() as u64, Event::Poll(at));
        }
    }

    /// The instance that keeps the pool of the first team in a region.
    fn allocator(&mut self, region: usize) -> Option<usize> {
        let team = team(self.loads[0].name);
        let of_region = (region % self.regions..self.nodes.len()).step_by(self.regions);
        let mut up = of_region.filter(|it| self.nodes[*it].is_up).collect::<Vec<_>>();
        up.retain(|it| self.nodes[*it].quotas.allocates(&team));
        up.first().copied()
    }

    fn apply(&mut self, fault: Fault) {
        match fault {
            Fault::Cut(cut) => self.cut = cut,
            Fault::Freeze(region, ms) => {
                if let Some(node) = self.allocator(region) {
                    self.nodes[node].frozen_until = self.now + Duration::from_millis(ms);
                }
            }
            Fault::Kill(region, ms) => {
                if let Some(node) = self.allocator(region) {
                    self.nodes[node].is_up = false;
                    self.schedule(ms * 1_000, Event::Start(node));
                }
            }
        }
    }

    fn assert_bounded(&self) {
        for (load, outcome) in self.loads.iter().zip(&self.outcomes) {
            let peak = outcome.peak(load);
            assert!(peak <= 1.0, "{} used {peak} of what a window allows", load.name);
        }
    }

    /// Share of admissible calls of a team that were refused.
    fn refused(&self, load: usize) -> f64 {
        let Outcome { admissible, refused, .. } = self.outcomes[load];
        refused as f64 / admissible.max(1) as f64
    }
}

fn faults() -> impl Strategy<Value = Vec<(Fault, f64)>> {
    let cut = prop_oneof![Just(Cut::None), Just(Cut::Regions), Just(Cut::Halves)];
    let fault = prop_oneof![
        cut.prop_map(Fault::Cut),
        (0_usize..3, 100_u64..6_000).prop_map(|(region, ms)| Fault::Freeze(region, ms)),
        (0_usize..3, 100_u64..6_000).prop_map(|(region, ms)| Fault::Kill(region, ms)),
    ];
    prop::collection::vec((fault, 0.5_f64..6.0), 4..9)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(12))]

    /// Guards against tokens that are granted twice: by two allocators, from saved tokens of another
    /// one, or without an allocator.
    #[test]
    fn no_window_exceeds_the_rule_under_faults(
        seed: u64,
        loss in 0.0_f64..0.2,
        faults in faults(),
    ) {
        // The allowance is what the team may use in 1.2 s, so that two allocators at once break the rule.
        let flood = Load { limit: (240e3, 24e3), ..wide(240e3, 6.0) };
        let loads = [flood, small(0.55)];
        let mut world = World::new(seed, 3, 36, &loads);
        world.loss = loss;
        for (fault, seconds) in faults {
            world.apply(fault);
            world.run(seconds);
        }
        world.apply(Fault::Cut(Cut::None));
        world.run(10.0);
        world.assert_bounded();
    }
}

/// Guards against refusals of a team whose tokens are in the pools of regions that it doesn't use.
#[test]
fn small_team_is_served_below_its_limit_beside_a_flood() {
    for (regions, share) in [(3, 0.55), (3, 0.95), (8, 0.55)] {
        let mut world = World::new(7, regions, 72, &[wide(60e3, 6.0), small(share)]);

        world.run(240.0);

        world.assert_bounded();
        let refused = world.refused(1);
        assert!(refused <= 0.01, "{refused} refused at {share} with {regions} regions");
        let used: u64 = world.outcomes[0].used.iter().map(|it| it.1).sum();
        assert!(used as f64 >= 0.9 * 60e3 * 240.0, "the flood got {used} tokens");
    }
}

/// Guards against refusals of a team in big use, and against a rule that depends on the number of
/// instances.
#[test]
fn big_team_is_served_below_its_limit_with_any_number_of_instances() {
    for instances in [9, 72, 576] {
        let mut world = World::new(7, 3, instances, &[wide(1.2e6, 0.95)]);

        world.run(16.0);

        world.assert_bounded();
        let refused = world.refused(0);
        assert!(refused <= 0.001, "{refused} refused with {instances} instances");
    }
}

/// Guards against tokens that were saved under a higher limit and are used under a lower one.
#[test]
fn lower_limit_voids_what_was_saved() {
    let mut world = World::new(7, 3, 24, &[wide(1.2e6, 0.0001)]);
    world.run(5.0);
    world.loads = vec![Load { sent: 360e3, ..wide(30e3, 1.0) }];
    let lowered = budgets(&world.loads, 3);
    (0..24).for_each(|it| world.nodes[it].quotas.set_budgets(world.now, lowered.clone()));
    world.outcomes = vec![Outcome::default()];
    world.schedule(0, Event::Call(0));

    world.run(20.0);

    let (used, full) = (&world.outcomes[0].used, 30e3 * 4.0);
    let began = used[0].0;
    let early = used.iter().filter(|it| it.0 - began < Duration::from_secs(2)).map(|it| it.1);
    assert!(early.sum::<u64>() as f64 <= full, "tokens were saved under the old limit");
    world.assert_bounded();
}

/// Guards against calls that can never be served: their cost exceeds what a region may save, but not the
/// burst of their team.
#[test]
fn call_that_costs_more_than_a_pool_holds_gets_tokens_of_other_regions() {
    let quota = Load { limit: (10e3, 60e3), ..small(0.0001) };
    let mut world = World::new(7, 3, 9, &[quota]);
    world.run(30.0);
    let mut is_charged = false;

    for _ in 0..4 {
        world.claim(1, 0, 50_000);
        let before = world.outcomes[0].used.len();
        world.run(0.5);
        is_charged |= world.outcomes[0].used[before..].iter().any(|it| it.1 == 50_000);
    }

    assert!(is_charged);
}

/// Guards against tokens that are refunded after others of the team have used them, in a later window.
#[test]
fn refunded_tokens_are_used_by_the_same_instance_and_become_void() {
    let (charged, team, mut claims) = (Time::from_millis(1_000), team("small"), Claims::new(0));
    claims.set_budgets(charged, &budgets(&[small(1.0)], 3));
    let (soon, late) = (charged + Duration::from_millis(500), charged + Duration::from_secs(1));

    claims.refund(soon, &team, 9_200, charged);
    assert!(claims.take_refunded(soon, &team, 5_000));
    assert!(!claims.take_refunded(soon, &team, 5_000), "used twice");

    assert!(!claims.take_refunded(late, &team, 4_200));
    claims.refund(late, &team, 9_200, charged);
    assert!(!claims.take_refunded(late, &team, 4_200));
}

/// Guards against messages that multiply with the number of instances, and against any without quotas.
/// Prints the figures of `docs/CAPACITY.md`.
#[test]
fn messages_grow_with_the_calls_only() {
    let seconds = 10.0;
    for (regions, instances) in [(3, 75), (3, 140), (8, 340)] {
        let mean_cost = 0.25 * 9_200.0 + 0.75 * 850.0;
        let sent = 8.0 * instances as f64 * mean_cost;
        let mut world = World::new(7, regions, instances, &[wide(sent / 0.9, 0.9)]);
        let mut idle = World::new(7, regions, instances, &[]);

        world.run(seconds);
        idle.run(seconds);

        let messages: usize = world.nodes.iter().map(|it| it.sent).sum();
        let per_second = |count: usize| count as f64 / seconds / instances as f64;
        let (mean, bytes) = (per_second(messages), per_second(world.bytes));
        let busiest = per_second(world.nodes.iter().map(|it| it.sent).max().unwrap());
        let busiest = busiest * instances as f64;
        println!(
            "{instances} instances: each {mean:.1} messages/s, {bytes:.0} B/s; busiest {busiest:.0}/s"
        );
        assert!(mean <= 8.0 * 2.5, "{mean} messages a second for each of {instances} instances");
        assert_eq!(idle.nodes.iter().map(|it| it.sent).sum::<usize>(), 0);
    }
}
