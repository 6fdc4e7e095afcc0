//! Placing under load, against naive policies.

use std::time::Duration;

use medlarlug_core::{
    gateway::placing::{Candidate, Choice, Demand, LoadReport, Loads, PromptPart},
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

    let busy = LoadReport { id: home.id.clone(), running: 8, unread: 60_000, urgent: 0 };
    loads.hear(Time::ZERO, "entry-2".parse().unwrap(), vec![busy]);
    let moved = loads.choose(Time::ZERO, &session(7, 1), &engines(&ids), 2).unwrap();

    assert_ne!(moved.id, home.id);
}

#[test]
fn report_of_a_silent_peer_counts_no_more() {
    let ids = ids(2);
    let mut loads = Loads::default();
    let home = loads.choose(Time::ZERO, &session(7, 0), &engines(&ids), 1).unwrap();
    let busy = LoadReport { id: home.id.clone(), running: 8, unread: 60_000, urgent: 0 };
    loads.hear(Time::ZERO, "entry-2".parse().unwrap(), vec![busy]);

    let later = loads.choose(Time::from_millis(1_300), &session(7, 1), &engines(&ids), 2);

    assert_eq!(later.unwrap().id, home.id);
}

/// An engine reads urgent prompts first, so a queue of others hardly delays them.
#[test]
fn urgent_call_does_not_wait_for_less_urgent_prompts() {
    let ids = ids(1);
    let mut loads = Loads::default();
    let busy = LoadReport { id: ids[0].clone(), running: 8, unread: 60_000, urgent: 0 };
    loads.hear(Time::ZERO, "entry-2".parse().unwrap(), vec![busy]);
    let wait = |rank| {
        let demand = Demand { prompt: 800, rank, ..Demand::default() };
        loads.choose(Time::ZERO, &demand, &engines(&ids), 2).unwrap().wait
    };

    assert!(wait(0) < Duration::from_millis(250), "{:?}", wait(0));
    assert!(wait(1) > Duration::from_millis(1_000), "{:?}", wait(1));
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
    let busy = LoadReport { id: ids[1].clone(), running: 60, unread: 0, urgent: 0 };
    loads.hear(Time::ZERO, "entry-2".parse().unwrap(), vec![busy]);
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

/// Share of calls whose first token comes within a second, when `place` picks the engine.
fn share_in_time(
    seed: u64,
    mut place: impl FnMut(f64, &Demand, &mut ChaCha8Rng, &mut Vec<Emulated>) -> usize,
) -> f64 {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut engines: Vec<Emulated> =
        (0..5).map(|_| Emulated { free: 0.0, held: Vec::new() }).collect();
    let (mut now, mut in_time, calls) = (0.0, 0, 3_000);
    for call in 0..calls {
        // About 36 calls a second, more than cold engines can read.
        now += -random.random::<f64>().max(1e-9).ln() * 28.0;
        let demand = session(random.random_range(0..95), call);
        let at = place(now, &demand, &mut random, &mut engines);
        if engines[at].read(now, &demand) - now <= 1_000.0 {
            in_time += 1;
        }
    }
    in_time as f64 / calls as f64
}

/// The heaviest minutes: prompts of many sessions, more than engines can read without their caches.
#[test]
fn more_calls_are_in_time_than_with_the_least_loaded_engine() {
    for seed in 0..5 {
        let ids = ids(5);
        let mut loads = Loads::default();
        let mut open: Vec<(f64, Choice)> = Vec::new();

        let placed = share_in_time(seed, |now, demand, _, emulated| {
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
        let least_loaded = share_in_time(seed, |_, _, _, engines| {
            let free = |at: &usize| (engines[*at].free * 1_000.0) as u64;
            (0..engines.len()).min_by_key(free).unwrap()
        });
        let at_random =
            share_in_time(seed, |_, _, random, engines| random.random_range(0..engines.len()));

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
    let busy = LoadReport { id: ids[0].clone(), running: 1, unread: 6_000, urgent: 0 };
    let choice = loads.choose(Time::ZERO, &session(1, 1), &engines(&ids), 2).unwrap();

    loads.hear(Time::ZERO, "entry-2".parse().unwrap(), vec![busy]);

    assert!(!loads.is_free(Time::ZERO, &choice, 2));
}

/// Seen on the grown sites: 24 instances report twice a second, so several of them sent long prompts
/// to one engine before they knew of each other's.
#[test]
fn long_prompt_of_a_peer_counts_as_soon_as_it_is_told_alone() {
    let ids = ids(1);
    let (mut loads, mut peer) = (Loads::default(), Loads::default());
    let peer_id = "entry-2".parse().unwrap();
    loads.hear(Time::ZERO, "entry-2".parse().unwrap(), Vec::new());
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
    let change = LoadReport { id: ids[0].clone(), running: 1, unread: 60_000, urgent: 0 };

    loads.hear_change(&"entry-2".parse().unwrap(), change);

    assert!(loads.is_free(Time::ZERO, &choice, 2));
}

/// Share of calls in time when several instances place them, which report their load twice a second
/// and, with `tells_at_once`, each long prompt as it goes out and as it was read.
fn share_among_instances(seed: u64, tells_at_once: bool) -> f64 {
    const INSTANCES: usize = 12;
    let ids = ids(5);
    let names: Vec<medlarlug_core::ids::InstanceId> =
        (0..INSTANCES).map(|at| format!("entry-{at}").parse().unwrap()).collect();
    let mut all: Vec<Loads> = vec![Loads::default(); INSTANCES];
    let mut open: Vec<(f64, usize, Choice)> = Vec::new();
    let (mut reported, mut turn) = (0.0, 0);
    share_in_time(seed, |now, demand, _, emulated| {
        let time = Time::from_micros((now * 1_000.0) as u64);
        let tell = |all: &mut Vec<Loads>, from: usize, engine: &UpstreamId| {
            let report = all[from].report_of(engine);
            for (at, loads) in all.iter_mut().enumerate().filter(|_| tells_at_once) {
                if at != from {
                    loads.hear_change(&names[from], report.clone());
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
                    loads.hear(time, names[from].clone(), report.clone());
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
