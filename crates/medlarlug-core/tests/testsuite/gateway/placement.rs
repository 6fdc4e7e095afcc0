//! Placing under load, against naive policies.

use std::time::Duration;

use medlarlug_core::{
    gateway::{
        peer_loads::{LoadReport, Source, UpstreamKey},
        placement::{Candidate, Choice, Demand, Loads, PromptPart},
    },
    ids::UpstreamId,
    time::Time,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Prompt tokens that an emulated engine reads in a millisecond.
const READ_RATE: f64 = 40.0;

fn ids(count: usize) -> Vec<UpstreamId> {
    (0..count).map(|at| format!("engine-{at}").parse().unwrap()).collect()
}

fn engines(ids: &[UpstreamId]) -> Vec<Candidate<'_>> {
    let engine = |id| {
        let distance = Duration::ZERO;
        Candidate { id, slots: 128, memory: 250_000, failures: 0.0, distance }
    };
    ids.iter().map(engine).collect()
}

/// A prompt with a part that all share, one of its session and one of its own.
fn session(number: u64, call: u64) -> Demand {
    let parts = vec![
        PromptPart { id: 1, tokens: 2_500 },
        PromptPart { id: 100 + number, tokens: 3_800 },
        PromptPart { id: 1_000_000 + call, tokens: 2_900 },
    ];
    Demand { parts, prompt: 9_200, output: 50, rank: 1 }
}

/// A report of 0 urgent tokens.
fn load(upstream: &UpstreamId, running: u32, unread: u32) -> LoadReport {
    LoadReport { upstream: UpstreamKey::of(upstream), running, unread, urgent: 0, waiting: 0 }
}

fn from_peer(id: &str) -> Source {
    Source::Peer(id.parse().unwrap())
}

#[test]
fn calls_of_a_session_stay_on_one_engine_while_it_is_free() {
    let ids = ids(5);
    let mut loads = Loads::default();
    let mut used = Vec::new();

    for call in 0..10 {
        let now = Time::from_millis(call * 500);
        let choice = loads.choose(now, &session(7, call), &engines(&ids), 3).unwrap();
        loads.sent(now, &choice, &session(7, call), 250_000);
        loads.answered(now, &choice, choice.wait);
        loads.ended(now, &choice, true);
        used.push(choice.id);
    }

    used.dedup();
    assert_eq!(used.len(), 1);
}

#[test]
fn instances_prefer_the_same_engine_for_a_session() {
    let ids = ids(5);
    let (first, second) = (Loads::default(), Loads::default());

    for number in 0..40 {
        let demand = session(number, 0);
        let at_first = first.choose(Time::ZERO, &demand, &engines(&ids), 3).unwrap();
        let at_second = second.choose(Time::ZERO, &demand, &engines(&ids), 3).unwrap();

        assert_eq!(at_first.id, at_second.id);
    }
}

#[test]
fn long_queue_moves_a_session_to_another_engine() {
    let ids = ids(5);
    let mut loads = Loads::default();
    let home = loads.choose(Time::ZERO, &session(7, 0), &engines(&ids), 1).unwrap();

    let busy = load(&home.id, 8, 60_000);
    loads.hear(Time::ZERO, from_peer("entry-2"), 1, vec![busy]);
    let moved = loads.choose(Time::ZERO, &session(7, 1), &engines(&ids), 2).unwrap();

    assert_ne!(moved.id, home.id);
}

#[test]
fn report_of_a_silent_peer_counts_no_more() {
    let ids = ids(2);
    let mut loads = Loads::default();
    let home = loads.choose(Time::ZERO, &session(7, 0), &engines(&ids), 1).unwrap();
    let busy = load(&home.id, 8, 60_000);
    loads.hear(Time::ZERO, from_peer("entry-2"), 1, vec![busy]);

    let later = loads.choose(Time::from_millis(1_300), &session(7, 1), &engines(&ids), 2);

    assert_eq!(later.unwrap().id, home.id);
}

/// An engine reads urgent prompts first, so a queue of others hardly delays them.
#[test]
fn urgent_call_does_not_wait_for_less_urgent_prompts() {
    let ids = ids(1);
    let mut loads = Loads::default();
    let busy = load(&ids[0], 8, 60_000);
    loads.hear(Time::ZERO, from_peer("entry-2"), 1, vec![busy]);
    let wait = |rank| {
        let demand = Demand { prompt: 800, rank, ..Demand::default() };
        loads.choose(Time::ZERO, &demand, &engines(&ids), 2).unwrap().wait
    };

    assert!(wait(0) < Duration::from_millis(250), "{:?}", wait(0));
    assert!(wait(1) > Duration::from_millis(1_000), "{:?}", wait(1));
}

/// Calls that wait for their turn were not seen by others, which joined them while other engines were
/// free.
#[test]
fn call_goes_elsewhere_when_others_wait_for_their_turn_at_its_engine() {
    let ids = ids(5);
    let mut loads = Loads::default();
    let home = loads.choose(Time::ZERO, &session(7, 0), &engines(&ids), 2).unwrap();
    let queue = LoadReport { waiting: 60_000, ..load(&home.id, 1, 3_000) };

    loads.hear(Time::ZERO, from_peer("entry-2"), 1, vec![queue]);
    let moved = loads.choose(Time::ZERO, &session(7, 1), &engines(&ids), 2).unwrap();
    // Whoever waits there itself goes as soon as the engine is free.
    let is_free = loads.is_free(Time::ZERO, &home, 2);

    assert_ne!(moved.id, home.id);
    assert!(is_free);
}

/// Calls that cross availability zones take longer and are paid for.
#[test]
fn nearer_engine_is_preferred_while_it_is_not_busier() {
    let ids = ids(2);
    let mut candidates = engines(&ids);
    candidates[0].distance = Duration::from_millis(16);
    let query = Demand { prompt: 800, output: 300, ..Demand::default() };
    let mut loads = Loads::default();

    let idle = loads.choose(Time::ZERO, &query, &candidates, 2).unwrap();
    let busy = load(&ids[1], 60, 0);
    loads.hear(Time::ZERO, from_peer("entry-2"), 1, vec![busy]);
    let beside_a_busy_one = loads.choose(Time::ZERO, &query, &candidates, 2).unwrap();

    assert_eq!((idle.id, beside_a_busy_one.id), (ids[1].clone(), ids[0].clone()));
}

#[test]
fn engine_that_fails_half_of_its_calls_is_used_last() {
    let ids = ids(2);
    let mut candidates = engines(&ids);
    let demand = Demand { prompt: 800, ..Demand::default() };
    candidates[0].failures = 0.5;

    let choice = Loads::default().choose(Time::ZERO, &demand, &candidates, 1).unwrap();

    assert_eq!(choice.id, ids[1]);
}

/// Engines that read one prompt after the other and keep the parts used last.
struct Emulated {
    free: f64,
    held: Vec<(u64, u32)>,
}

impl Emulated {
    /// Reads a prompt that arrives at `now` and returns when that is done, in milliseconds.
    fn read(&mut self, now: f64, demand: &Demand) -> f64 {
        let mut unread = 0;
        let mut is_held = true;
        for part in &demand.parts {
            is_held &= self.held.iter().any(|it| it.0 == part.id);
            if !is_held {
                unread += part.tokens;
            }
            self.held.retain(|it| it.0 != part.id);
            self.held.push((part.id, part.tokens));
        }
        while self.held.iter().map(|it| it.1).sum::<u32>() > 150_000 {
            self.held.remove(0);
        }
        self.free = self.free.max(now) + f64::from(unread) / READ_RATE;
        self.free
    }
}

/// Calls that arrive at engines.
struct Traffic {
    engines: usize,
    sessions: u64,
    calls: u64,
    /// Mean time between two calls, in milliseconds.
    gap: f64,
}

/// About 36 calls a second, more than five cold engines can read.
const FIVE_ENGINES: Traffic = Traffic { engines: 5, sessions: 95, calls: 3_000, gap: 28.0 };

/// Share of calls whose first token comes within a second, when `place` picks the engine.
fn share_in_time(
    seed: u64,
    traffic: &Traffic,
    mut place: impl FnMut(f64, &Demand, &mut ChaCha8Rng, &mut Vec<Emulated>) -> usize,
) -> f64 {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut engines: Vec<Emulated> =
        (0..traffic.engines).map(|_| Emulated { free: 0.0, held: Vec::new() }).collect();
    let (mut now, mut in_time) = (0.0, 0);
    for call in 0..traffic.calls {
        now += -random.random::<f64>().max(1e-9).ln() * traffic.gap;
        let demand = session(random.random_range(0..traffic.sessions), call);
        let at = place(now, &demand, &mut random, &mut engines);
        if engines[at].read(now, &demand) - now <= 1_000.0 {
            in_time += 1;
        }
    }
    f64::from(in_time) / traffic.calls as f64
}

/// The heaviest minutes: prompts of many sessions, more than engines can read without their caches.
#[test]
fn more_calls_are_in_time_than_with_the_least_loaded_engine() {
    for seed in 0..5 {
        let ids = ids(5);
        let mut loads = Loads::default();
        let mut open: Vec<(f64, Choice)> = Vec::new();

        let placed = share_in_time(seed, &FIVE_ENGINES, |now, demand, _, emulated| {
            let time = Time::from_micros((now * 1_000.0) as u64);
            open.retain(|(done, choice)| {
                let is_done = *done <= now;
                if is_done {
                    loads.answered(time, choice, choice.wait);
                    loads.ended(time, choice, true);
                }
                !is_done
            });
            let choice = loads.choose(time, demand, &engines(&ids), 1).unwrap();
            loads.sent(time, &choice, demand, 250_000);
            let at = ids.iter().position(|id| *id == choice.id).unwrap();
            let done = emulated[at].free.max(now) + f64::from(choice.unread) / READ_RATE;
            open.push((done, choice));
            at
        });
        let least_loaded = share_in_time(seed, &FIVE_ENGINES, |_, _, _, engines| {
            let free = |at: &usize| (engines[*at].free * 1_000.0) as u64;
            (0..engines.len()).min_by_key(free).unwrap()
        });
        let at_random = share_in_time(seed, &FIVE_ENGINES, |_, _, random, engines| {
            random.random_range(0..engines.len())
        });

        assert!(placed > 0.9, "seed {seed}: {placed} in time");
        assert!(placed > least_loaded, "seed {seed}: {placed} against {least_loaded}");
        assert!(placed > at_random, "seed {seed}: {placed} against {at_random}");
    }
}

/// Found on valaloft's quiet day: prompts that an engine reads without a break pause all its streams.
#[test]
fn long_prompt_waits_for_its_turn_and_a_short_one_does_not() {
    let ids = ids(1);
    let mut loads = Loads::default();
    let short = Demand { prompt: 800, output: 300, ..Demand::default() };
    let first = loads.choose(Time::ZERO, &session(1, 1), &engines(&ids), 1).unwrap();
    let second = loads.choose(Time::ZERO, &session(2, 2), &engines(&ids), 1).unwrap();
    let query = loads.choose(Time::ZERO, &short, &engines(&ids), 1).unwrap();

    let before = loads.is_free(Time::ZERO, &first, 1);
    loads.sent(Time::ZERO, &first, &session(1, 1), 250_000);
    let during = loads.is_free(Time::ZERO, &second, 1);
    let beside = loads.is_free(Time::ZERO, &query, 1);
    loads.answered(Time::from_millis(200), &first, Duration::from_millis(200));
    let after = loads.is_free(Time::from_millis(200), &second, 1);

    assert_eq!((before, during, beside, after), (true, false, true, true));
}

#[test]
fn long_prompt_waits_for_those_of_peers() {
    let ids = ids(1);
    let mut loads = Loads::default();
    let busy = load(&ids[0], 1, 6_000);
    let choice = loads.choose(Time::ZERO, &session(1, 1), &engines(&ids), 2).unwrap();

    loads.hear(Time::ZERO, from_peer("entry-2"), 1, vec![busy]);

    assert!(!loads.is_free(Time::ZERO, &choice, 2));
}

/// Seen on the grown sites: 24 instances report twice a second, so several of them sent long prompts
/// to one engine before they knew of each other's.
#[test]
fn long_prompt_of_a_peer_counts_as_soon_as_it_is_told_alone() {
    let ids = ids(1);
    let (mut loads, mut peer) = (Loads::default(), Loads::default());
    let peer_id = from_peer("entry-2");
    loads.hear(Time::ZERO, from_peer("entry-2"), 1, Vec::new());
    let choice = loads.choose(Time::ZERO, &session(1, 1), &engines(&ids), 2).unwrap();

    peer.sent(Time::ZERO, &choice, &session(2, 2), 250_000);
    let before = loads.is_free(Time::ZERO, &choice, 2);
    loads.hear_change(&peer_id, peer.report_of(&ids[0]));
    let during = loads.is_free(Time::ZERO, &choice, 2);
    peer.answered(Time::from_millis(200), &choice, Duration::from_millis(200));
    loads.hear_change(&peer_id, peer.report_of(&ids[0]));
    let after = loads.is_free(Time::from_millis(200), &choice, 2);

    assert_eq!((before, during, after), (true, false, true));
}

/// What a peer without a whole report has at other upstreams is estimated, and one load alone must
/// not replace that.
#[test]
fn change_of_a_peer_without_a_whole_report_is_left_out() {
    let ids = ids(1);
    let mut loads = Loads::default();
    let choice = loads.choose(Time::ZERO, &session(1, 1), &engines(&ids), 2).unwrap();
    let change = load(&ids[0], 1, 60_000);

    loads.hear_change(&from_peer("entry-2"), change);

    assert!(loads.is_free(Time::ZERO, &choice, 2));
}

/// Share of calls in time when several instances place them, which report their load twice a second
/// and, with `tells_at_once`, each long prompt as it goes out and as it was read.
fn share_among_instances(seed: u64, tells_at_once: bool) -> f64 {
    const INSTANCES: usize = 12;
    let ids = ids(5);
    let names: Vec<Source> = (0..INSTANCES).map(|at| from_peer(&format!("entry-{at}"))).collect();
    let mut all: Vec<Loads> = vec![Loads::default(); INSTANCES];
    let mut open: Vec<(f64, usize, Choice)> = Vec::new();
    let (mut reported, mut turn) = (0.0, 0);
    share_in_time(seed, &FIVE_ENGINES, |now, demand, _, emulated| {
        let time = Time::from_micros((now * 1_000.0) as u64);
        let tell = |all: &mut Vec<Loads>, from: usize, engine: &UpstreamId| {
            let report = all[from].report_of(engine);
            for (at, loads) in all.iter_mut().enumerate().filter(|_| tells_at_once) {
                if at != from {
                    loads.hear_change(&names[from], report);
                }
            }
        };
        let (done, still): (Vec<_>, Vec<_>) = open.drain(..).partition(|it| it.0 <= now);
        open = still;
        for (_, by, choice) in done {
            all[by].answered(time, &choice, choice.wait);
            all[by].ended(time, &choice, true);
            tell(&mut all, by, &choice.id);
        }
        if now - reported > 500.0 {
            reported = now;
            for from in 0..INSTANCES {
                let report = all[from].report();
                for (_, loads) in all.iter_mut().enumerate().filter(|it| it.0 != from) {
                    loads.hear(time, names[from].clone(), 1, report.clone());
                }
            }
        }
        turn = (turn + 1) % INSTANCES;
        let choice = all[turn].choose(time, demand, &engines(&ids), INSTANCES).unwrap();
        all[turn].sent(time, &choice, demand, 250_000);
        tell(&mut all, turn, &choice.id);
        let at = ids.iter().position(|id| *id == choice.id).unwrap();
        let done = emulated[at].free.max(now) + f64::from(choice.unread) / READ_RATE;
        open.push((done, turn, choice));
        at
    })
}

/// The load of the grown sites: many instances, each with few of the calls.
#[test]
fn more_calls_are_in_time_when_long_prompts_are_told_at_once() {
    for seed in 0..5 {
        let at_once = share_among_instances(seed, true);
        let by_reports = share_among_instances(seed, false);

        assert!(at_once > by_reports, "seed {seed}: {at_once} against {by_reports}");
    }
}

/// How the instances of a large region tell each other of their loads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Telling {
    /// Each tells all others, of long prompts at once and of everything each 1.36 s: more often would
    /// take more of the processor than the calls.
    All,
    /// Each reports at once to the collector of its zone, which tells all each 20 ms.
    Collectors,
}

/// Share of calls in time in a region as large as the largest one of the large deployment.
fn share_in_a_large_region(seed: u64, telling: Telling) -> f64 {
    const INSTANCES: usize = 66;
    const TRAFFIC: Traffic = Traffic { engines: 70, sessions: 900, calls: 6_000, gap: 1.6 };
    let ids = ids(TRAFFIC.engines);
    let names: Vec<Source> = (0..INSTANCES).map(|at| from_peer(&format!("entry-{at}"))).collect();
    let zone = |at: usize| at % 2;
    let mut all: Vec<Loads> = vec![Loads::default(); INSTANCES];
    // The collectors are instances 0 and 1.
    let mut open: Vec<(f64, usize, Choice)> = Vec::new();
    let mut told = 0.0;
    share_in_time(seed, &TRAFFIC, |now, demand, random, emulated| {
        let time = Time::from_micros((now * 1_000.0) as u64);
        let tell = |all: &mut Vec<Loads>, from: usize, engine: &UpstreamId| {
            let report = all[from].report_of(engine);
            let to = match telling {
                Telling::All => 0..INSTANCES,
                Telling::Collectors => zone(from)..zone(from) + 1,
            };
            to.filter(|to| *to != from).for_each(|to| all[to].hear_change(&names[from], report));
        };
        let (done, still): (Vec<_>, Vec<_>) = open.drain(..).partition(|it| it.0 <= now);
        open = still;
        for (_, by, choice) in done {
            all[by].answered(time, &choice, choice.wait);
            all[by].ended(time, &choice, true);
            tell(&mut all, by, &choice.id);
        }
        let interval = if telling == Telling::All { 1_360.0 } else { 20.0 };
        if told == 0.0 || now - told > interval {
            told = now;
            let reports: Vec<_> = all.iter().map(Loads::report).collect();
            for (from, to) in
                (0..INSTANCES).flat_map(|from| (0..INSTANCES).map(move |to| (from, to)))
            {
                let hears = telling == Telling::All || to == zone(from);
                if from != to && hears {
                    all[to].hear(time, names[from].clone(), 1, reports[from].clone());
                }
            }
            if telling == Telling::Collectors {
                let sums = [all[0].zone_sum(), all[1].zone_sum()];
                for (at, (instances, loads)) in sums.into_iter().enumerate() {
                    let source = Source::Zone(format!("zone-{at}").parse().unwrap());
                    all[1 - at].hear(time, source, instances, loads);
                }
                for to in 2..INSTANCES {
                    let (instances, loads) =
                        all[zone(to)].sum_for(&format!("entry-{to}").parse().unwrap());
                    all[to].hear(time, Source::Collector, instances, loads);
                }
            }
        }
        let by = random.random_range(0..INSTANCES);
        let choice = all[by].choose(time, demand, &engines(&ids), INSTANCES).unwrap();
        all[by].sent(time, &choice, demand, 250_000);
        tell(&mut all, by, &choice.id);
        let at = ids.iter().position(|id| *id == choice.id).unwrap();
        let done = emulated[at].free.max(now) + f64::from(choice.unread) / READ_RATE;
        open.push((done, by, choice));
        at
    })
}

/// The load of the heaviest seconds of the large deployment. What all instances told all others at once
/// would take some 900 messages a second of each; reports to collectors and their sums, some 80 (both
/// calculated).
#[test]
fn calls_of_a_large_region_fare_as_well_when_collectors_sum_loads_up() {
    for seed in 0..3 {
        let summed = share_in_a_large_region(seed, Telling::Collectors);
        let by_all = share_in_a_large_region(seed, Telling::All);

        assert!(summed > by_all - 0.02, "seed {seed}: {summed} against {by_all}");
        assert!(summed > 0.95, "seed {seed}: {summed}");
    }
}
