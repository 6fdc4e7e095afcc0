//! Division of the teams' limits, checked against plain token buckets.

use std::time::Duration;

use assert_matches::assert_matches;
use medlarlug_core::{
    ids::{Incarnation, InstanceId, TeamId},
    limits::{
        DemandEntry, DemandLevel, DemandReport, Effect, Event, INITIAL_SHARE, LimitPolicy,
        RateLimiter, TeamKey, TeamLimit,
    },
    refusal::Reason,
    time::Time,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_support::id;

const RATE: f64 = 32.0;
const BURST: f64 = 16.0;
const STEP_MS: u64 = 10;
const HEARTBEAT_MS: u64 = 500;
const MAX_DELAY_MS: u64 = 300;
/// Maximum number of consecutive reports lost on a link, so that the next one still arrives within the
/// settle time.
const MAX_CONSECUTIVE_LOSSES: u32 = 2;

fn limit(team: &str) -> TeamLimit {
    TeamLimit {
        team: id(team),
        rate: RATE.try_into().unwrap(),
        burst: id(&(BURST as u32).to_string()),
    }
}

fn instance(number: usize) -> InstanceId {
    id(&format!("entry-{number}"))
}

fn limits(number: usize, incarnation: u64, now: Time) -> RateLimiter {
    let policy = LimitPolicy::default();
    let mut limits = RateLimiter::new(instance(number), Incarnation(incarnation), policy);
    limits.handle(now, Event::Configured(vec![limit("survey")]), &mut Vec::new());
    limits
}

/// A settled instance without peers, and the time of its last heartbeat.
fn settled() -> (RateLimiter, Time) {
    let mut limits = limits(0, 1, Time::ZERO);
    for heartbeat in 0..6 {
        limits.handle(
            Time::from_millis(heartbeat * HEARTBEAT_MS),
            Event::Heartbeat,
            &mut Vec::new(),
        );
    }
    (limits, Time::from_millis(5 * HEARTBEAT_MS))
}

fn report(sequence: u64, base: u64, demand: f64) -> Event {
    let entry = DemandEntry { team: TeamKey::of(&id("survey")), level: DemandLevel::of(demand) };
    let report = DemandReport {
        from: instance(1),
        incarnation: Incarnation(1),
        sequence,
        base,
        entries: vec![entry],
    };
    Event::ReportReceived { report, age: Duration::ZERO }
}

/// Reference: one leaky bucket over all requests that one side of a partition admits.
struct LeakyBucket {
    level: f64,
    updated_at: Time,
    bound: f64,
}

impl LeakyBucket {
    fn new(now: Time, instances: usize) -> LeakyBucket {
        LeakyBucket { level: 0.0, updated_at: now, bound: BURST + instances as f64 }
    }

    fn count(&mut self, now: Time) {
        self.level = (self.level - RATE * (now - self.updated_at).as_secs_f64()).max(0.0) + 1.0;
        self.updated_at = now;
        assert!(self.level <= self.bound + 1e-6, "{} above {} at {now}", self.level, self.bound);
    }

    fn allow_start(&mut self) {
        let settle = LimitPolicy::default().settle_time.as_secs_f64();
        self.bound += (RATE * settle + BURST) / 8.0 + 1.0;
    }
}

struct Region {
    random: ChaCha8Rng,
    now: Time,
    nodes: Vec<Option<RateLimiter>>,
    sides: Vec<usize>,
    messages: Vec<(Time, usize, usize, Event, Time)>,
    lost: Vec<u32>,
    demand: Vec<f64>,
    team: TeamId,
}

impl Region {
    fn new(seed: u64, count: usize) -> Region {
        Region {
            random: ChaCha8Rng::seed_from_u64(seed),
            now: Time::ZERO,
            nodes: (0..count).map(|it| Some(limits(it, 1, Time::ZERO))).collect(),
            sides: vec![0; count],
            messages: Vec::new(),
            lost: vec![0; count * count],
            demand: vec![0.0; count],
            team: id("survey"),
        }
    }

    /// Simulates one step; calls `admitted` with the time and the instance of each admitted request.
    fn step(&mut self, mut admitted: impl FnMut(Time, usize)) {
        self.now = self.now + Duration::from_millis(STEP_MS);
        self.deliver();
        for number in 0..self.nodes.len() {
            if (self.now.as_micros() / 1_000 + 70 * number as u64).is_multiple_of(HEARTBEAT_MS) {
                self.handle(number, Event::Heartbeat);
            }
            let chance = self.demand[number] * STEP_MS as f64 / 1_000.0;
            for _ in 0..chance.ceil() as u32 {
                let is_sent = self.random.random_bool((chance / chance.ceil()).min(1.0));
                let Some(node) = self.nodes[number].as_mut().filter(|_| is_sent) else {
                    continue;
                };
                if node.admit(self.now, &self.team).is_ok() {
                    admitted(self.now, number);
                }
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) =
            std::mem::take(&mut self.messages).into_iter().partition(|it| it.0 <= now);
        self.messages = later;
        for (_, from, to, event, sent) in due {
            let event = match event {
                Event::ReportReceived { report, .. } => {
                    Event::ReportReceived { report, age: now - sent }
                }
                event => event,
            };
            if self.sides[from] == self.sides[to] {
                self.handle(to, event);
            }
        }
    }

    fn handle(&mut self, number: usize, event: Event) {
        let mut out = Vec::new();
        let Some(node) = self.nodes[number].as_mut() else {
            return;
        };
        node.handle(self.now, event, &mut out);
        for effect in out {
            match effect {
                Effect::Broadcast(report) => {
                    for to in (0..self.nodes.len()).filter(|&it| it != number) {
                        let report = report.clone();
                        self.send(
                            number,
                            to,
                            Event::ReportReceived { report, age: Duration::ZERO },
                        );
                    }
                }
                Effect::RequestResync(peer) => {
                    let to = (0..self.nodes.len()).find(|&it| instance(it) == peer).unwrap();
                    self.send(number, to, Event::ResyncRequested(instance(number)));
                }
                Effect::Send { to: peer, report } => {
                    let to = (0..self.nodes.len()).find(|&it| instance(it) == peer).unwrap();
                    self.send(number, to, Event::ReportReceived { report, age: Duration::ZERO });
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, event: Event) {
        let lost = &mut self.lost[from * self.nodes.len() + to];
        if *lost < MAX_CONSECUTIVE_LOSSES && self.random.random_bool(0.2) {
            *lost += 1;
            return;
        }
        *lost = 0;
        let delay = Duration::from_millis(self.random.random_range(0..MAX_DELAY_MS));
        self.messages.push((self.now + delay, from, to, event, self.now));
    }

    fn change_demand(&mut self) {
        for demand in &mut self.demand {
            let choices = [0.0, 0.0, 1.0, RATE / 4.0, RATE, 4.0 * RATE];
            *demand = choices[self.random.random_range(0..choices.len())];
        }
    }
}

#[test]
fn single_instance_decides_like_a_token_bucket() {
    for seed in 0..200 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut limits = limits(0, 1, Time::ZERO);
        let (tick, mut now) = (Duration::from_micros(15_625), Time::ZERO);
        for _ in 0..256 {
            now = now + tick;
            limits.handle(now, Event::Heartbeat, &mut Vec::new());
        }
        let (mut tokens, mut filled) = (BURST, now);

        for step in 0..1_500 {
            now = now + tick;
            if step % 32 == 0 {
                limits.handle(now, Event::Heartbeat, &mut Vec::new());
            }
            for _ in 0..random.random_range(0..3) {
                tokens = (tokens + RATE * (now - filled).as_secs_f64()).min(BURST);
                filled = now;
                let expected = tokens >= 1.0;
                tokens -= if expected { 1.0 } else { 0.0 };

                let admitted = limits.admit(now, &id("survey")).is_ok();

                assert_eq!(admitted, expected, "seed {seed}, step {step}");
            }
        }
    }
}

#[test]
fn limit_holds_in_total_while_demand_changes_and_reports_are_lost() {
    for seed in 0..60 {
        let mut region = Region::new(seed, 5);
        (0..400).for_each(|_| region.step(|_, _| {}));
        let mut bucket = LeakyBucket::new(region.now, 5);

        for step in 0..2_000 {
            if step % 150 == 0 {
                region.change_demand();
            }
            region.step(|now, _| bucket.count(now));
        }
    }
}

#[test]
fn limit_holds_in_total_within_the_documented_bound_over_crashes_and_restarts() {
    for seed in 100..160 {
        let mut region = Region::new(seed, 5);
        let mut bucket = LeakyBucket::new(region.now, 5);
        (0..5).for_each(|_| bucket.allow_start());

        for step in 0..2_000 {
            if step % 150 == 0 {
                region.change_demand();
                let number = region.random.random_range(0..5);
                let is_back = region.nodes[number].is_none();
                region.nodes[number] = is_back.then(|| limits(number, 2 + step, region.now));
                if is_back {
                    bucket.allow_start();
                }
            }
            region.step(|now, _| bucket.count(now));
        }
    }
}

#[test]
fn each_side_of_a_partition_holds_the_limit() {
    for seed in 200..240 {
        let mut region = Region::new(seed, 6);
        (0..400).for_each(|_| region.step(|_, _| {}));
        let cut = region.random.random_range(1..6);
        region.sides = (0..6).map(|it| usize::from(it < cut)).collect();
        let sides = region.sides.clone();
        let mut buckets = [LeakyBucket::new(region.now, 6), LeakyBucket::new(region.now, 6)];

        for step in 0..1_200 {
            if step % 150 == 0 {
                region.change_demand();
            }
            region.step(|now, number| buckets[sides[number]].count(now));
        }
        region.sides = vec![0; 6];
        (0..200).for_each(|_| region.step(|_, _| {}));
        let mut bucket = LeakyBucket::new(region.now, 6);
        for _ in 0..600 {
            region.step(|now, _| bucket.count(now));
        }
    }
}

#[test]
fn instance_with_all_the_demand_gets_most_of_the_limit() {
    let mut region = Region::new(7, 8);
    (0..400).for_each(|_| region.step(|_, _| {}));
    region.demand[3] = 4.0 * RATE;
    (0..500).for_each(|_| region.step(|_, _| {}));

    let mut admitted = 0;
    (0..1_000).for_each(|_| region.step(|_, _| admitted += 1));

    assert!(f64::from(admitted) >= 0.85 * RATE * 10.0, "{admitted}");
}

#[test]
fn share_of_a_crashed_instance_is_taken_over() {
    let mut region = Region::new(8, 2);
    region.demand = vec![4.0 * RATE; 2];
    (0..400).for_each(|_| region.step(|_, _| {}));

    region.nodes[1] = None;
    (0..700).for_each(|_| region.step(|_, _| {}));

    assert_eq!(region.nodes[0].as_ref().unwrap().share(&id("survey")), Some(1.0));
}

#[test]
fn stalled_instance_joins_again() {
    let mut region = Region::new(9, 3);
    (0..400).for_each(|_| region.step(|_, _| {}));
    let mut node = region.nodes[0].take().unwrap();
    assert!(node.is_settled());

    let admitted = node.admit(region.now + Duration::from_secs(3), &id("survey"));

    assert!(admitted.is_ok());
    assert!(!node.is_settled());
}

#[test]
fn unknown_team_and_missing_configuration_have_their_own_reasons() {
    let mut known = limits(0, 1, Time::ZERO);
    let mut empty = RateLimiter::new(instance(1), Incarnation(1), LimitPolicy::default());

    let unknown = known.admit(Time::ZERO, &id("nobody")).unwrap_err();
    let unconfigured = empty.admit(Time::ZERO, &id("survey")).unwrap_err();

    assert_eq!(unknown.reason, Reason::NotPermitted);
    assert_eq!(unconfigured.reason, Reason::NoConfiguration);
}

#[test]
fn removed_team_that_is_added_again_is_counted_from_zero_by_peers() {
    let mut region = Region::new(10, 2);
    region.demand = vec![RATE, RATE];
    (0..600).for_each(|_| region.step(|_, _| {}));
    region.demand = vec![0.0, RATE];

    region.handle(0, Event::Configured(Vec::new()));
    (0..200).for_each(|_| region.step(|_, _| {}));
    region.handle(0, Event::Configured(vec![limit("survey")]));
    (0..600).for_each(|_| region.step(|_, _| {}));

    let share = region.nodes[1].as_ref().unwrap().share(&id("survey")).unwrap();
    assert!(share > 0.9, "{share}");
}

#[test]
fn reports_of_2700_teams_are_bounded() {
    let teams: Vec<TeamLimit> = (0..2_700).map(|it| limit(&format!("team-{it}"))).collect();
    let names: Vec<TeamId> = teams.iter().map(|it| it.team.clone()).collect();
    let mut limits = RateLimiter::new(instance(0), Incarnation(1), LimitPolicy::default());
    let mut out = Vec::new();
    limits.handle(Time::ZERO, Event::Configured(teams), &mut out);
    limits.handle(Time::ZERO, Event::Heartbeat, &mut out);

    for heartbeat in 1..60 {
        let now = Time::from_millis(heartbeat * 1_000);
        for name in &names {
            for _ in 0..heartbeat % 7 {
                let _ = limits.admit(now, name);
            }
        }
        limits.handle(now, Event::Heartbeat, &mut out);
    }
    limits.handle(Time::from_millis(60_000), Event::ResyncRequested(instance(1)), &mut out);

    let mut buffer = vec![0; 1 << 16];
    for effect in out {
        let (report, bound) = match &effect {
            Effect::Broadcast(report) => (report, 512),
            Effect::Send { report, .. } => (report, 6 * 2_700 + 128),
            Effect::RequestResync(_) => continue,
        };
        assert!(postcard::to_slice(report, &mut buffer).unwrap().len() <= bound);
    }
}

#[test]
fn peer_with_missing_reports_counts_with_the_largest_weight_until_it_resyncs() {
    let (mut limits, now) = settled();
    limits.handle(now, report(1, 1, 0.0), &mut Vec::new());
    let known = limits.share(&id("survey")).unwrap();
    let mut out = Vec::new();

    limits.handle(now, report(6, 1, 0.0), &mut out);
    let missing = limits.share(&id("survey")).unwrap();
    limits.handle(now, report(6, 6, 0.0), &mut Vec::new());
    let again = limits.share(&id("survey")).unwrap();

    assert_matches!(&out[..], [Effect::RequestResync(peer)] if *peer == instance(1));
    assert_eq!((known, again), (0.5, 0.5));
    assert!(missing < 0.02, "{missing}");
}

#[test]
fn missed_full_report_causes_a_resync() {
    let (mut limits, now) = settled();
    limits.handle(now, report(1, 1, 0.0), &mut Vec::new());
    let mut out = Vec::new();

    limits.handle(now, report(3, 2, 0.0), &mut out);

    assert_matches!(&out[..], [Effect::RequestResync(_)]);
}

/// Whether each of the next `heartbeats` of an instance sends a report.
fn reports_in(limits: &mut RateLimiter, from: Time, heartbeats: u64) -> Vec<bool> {
    let is_sent = |heartbeat: u64| {
        let mut out = Vec::new();
        let now = from + Duration::from_millis(heartbeat * HEARTBEAT_MS);
        limits.handle(now, Event::Heartbeat, &mut out);
        out.iter().any(|it| matches!(it, Effect::Broadcast(_)))
    };
    (1..=heartbeats).map(is_sent).collect()
}

#[test]
fn unchanged_demand_is_reported_three_times_within_the_lifetime() {
    let (mut limits, now) = settled();
    let lifetime = LimitPolicy::default().peer_lifetime.as_millis() as u64;

    let sent = reports_in(&mut limits, now, 10 * lifetime / HEARTBEAT_MS);

    let reports = sent.iter().filter(|it| **it).count();
    assert!((30..=40).contains(&reports), "{reports} in ten lifetimes");
}

#[test]
fn new_peer_is_sent_reports_at_the_next_heartbeats() {
    let (mut limits, now) = settled();
    limits.handle(now, report(1, 1, 0.0), &mut Vec::new());

    let sent = reports_in(&mut limits, now, 3);

    assert_eq!(sent, [true; 3]);
}

#[test]
fn lowered_share_drops_excess_tokens_at_once() {
    let (mut limits, now) = settled();
    let now = now + Duration::from_millis(HEARTBEAT_MS);
    limits.handle(now, report(1, 1, 4.0 * RATE), &mut Vec::new());

    let admitted = (0..16).filter(|_| limits.admit(now, &id("survey")).is_ok()).count();

    assert_eq!(admitted, 1);
}

#[test]
fn new_instance_has_the_initial_share_until_its_reports_are_settled() {
    let mut limits = limits(0, 1, Time::ZERO);
    limits.handle(Time::ZERO, report(1, 1, 4.0 * RATE), &mut Vec::new());
    let settle = LimitPolicy::default().settle_time.as_millis() as u64;
    let mut shares = Vec::new();

    for heartbeat in 0..=settle / HEARTBEAT_MS {
        limits.handle(
            Time::from_millis(heartbeat * HEARTBEAT_MS),
            Event::Heartbeat,
            &mut Vec::new(),
        );
        shares.push(limits.share(&id("survey")).unwrap());
    }

    let last = shares.pop().unwrap();
    assert!(shares.iter().all(|it| *it == INITIAL_SHARE));
    assert!(last < INITIAL_SHARE);
}

#[test]
fn new_instance_among_many_has_an_equal_share() {
    let mut limits = limits(0, 1, Time::ZERO);
    for number in 1..16 {
        let Event::ReportReceived { mut report, age } = report(1, 1, 0.0) else {
            unreachable!("a report")
        };
        report.from = instance(number);
        limits.handle(Time::ZERO, Event::ReportReceived { report, age }, &mut Vec::new());
    }

    assert_eq!(limits.share(&id("survey")), Some(1.0 / 16.0));
}
