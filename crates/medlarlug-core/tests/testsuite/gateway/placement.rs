//! Placement under load, compared with naive policies.

use std::time::Duration;

use medlarlug_core::{
    gateway::{
        peer_loads::{LoadReport, ReportSource, UpstreamKey},
        placement::{Candidate, Choice, Demand, Loads, PromptPart},
    },
    ids::UpstreamId,
    time::Time,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Prompt tokens that an emulated engine prefills in a millisecond.
const PREFILL_TOKENS_PER_MS: f64 = 40.0;

fn ids(count: usize) -> Vec<UpstreamId> {
    (0..count).map(|at| format!("engine-{at}").parse().unwrap()).collect()
}

fn engines(ids: &[UpstreamId]) -> Vec<Candidate<'_>> {
    let engine = |id| {
        let distance = Duration::ZERO;
        Candidate {
            id,
            slots: 128,
            memory_tokens: 250_000,
            failure_rate: 0.0,
            round_trip: distance,
        }
    };
    ids.iter().map(engine).collect()
}

/// A prompt with a part that all prompts share, one of its session and one of its own.
fn session(number: u64, call: u64) -> Demand {
    let parts = vec![
        PromptPart { id: 1, tokens: 2_500 },
        PromptPart { id: 100 + number, tokens: 3_800 },
        PromptPart { id: 1_000_000 + call, tokens: 2_900 },
    ];
    Demand { parts, prompt_tokens: 9_200, output_tokens: 50, priority: 1 }
}

/// A report without urgent tokens.
fn load(upstream: &UpstreamId, running: u32, prefill_tokens: u32) -> LoadReport {
    LoadReport {
        upstream: UpstreamKey::new(upstream),
        running,
        prefill_tokens,
        urgent_tokens: 0,
        queued_tokens: 0,
    }
}

fn from_peer(id: &str) -> ReportSource {
    ReportSource::Peer(id.parse().unwrap())
}

#[test]
fn calls_of_a_session_stay_on_one_engine_while_it_is_free() {
    let ids = ids(5);
    let mut loads = Loads::default();
    let mut used = Vec::new();

    for call in 0..10 {
        let now = Time::from_millis(call * 500);
        let choice = loads.choose(now, &session(7, call), &engines(&ids), 3).unwrap();
        loads.record_sent(now, &choice, &session(7, call), 250_000);
        loads.record_first_token(now, &choice, choice.wait);
        loads.record_end(now, &choice, true);
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
    loads.apply_report(Time::ZERO, from_peer("entry-2"), 1, vec![busy]);
    let moved = loads.choose(Time::ZERO, &session(7, 1), &engines(&ids), 2).unwrap();

    assert_ne!(moved.id, home.id);
}

#[test]
fn report_of_an_unresponsive_peer_expires() {
    let ids = ids(2);
    let mut loads = Loads::default();
    let home = loads.choose(Time::ZERO, &session(7, 0), &engines(&ids), 1).unwrap();
    let busy = load(&home.id, 8, 60_000);
    loads.apply_report(Time::ZERO, from_peer("entry-2"), 1, vec![busy]);

    let later = loads.choose(Time::from_millis(1_300), &session(7, 1), &engines(&ids), 2);

    assert_eq!(later.unwrap().id, home.id);
}

/// An engine prefills urgent prompts first, so a queue of other prompts hardly delays them.
#[test]
fn urgent_call_does_not_wait_for_less_urgent_prompts() {
    let ids = ids(1);
    let mut loads = Loads::default();
    let busy = load(&ids[0], 8, 60_000);
    loads.apply_report(Time::ZERO, from_peer("entry-2"), 1, vec![busy]);
    let wait = |rank| {
        let demand = Demand { prompt_tokens: 800, priority: rank, ..Demand::default() };
        loads.choose(Time::ZERO, &demand, &engines(&ids), 2).unwrap().wait
    };

    assert!(wait(0) < Duration::from_millis(250), "{:?}", wait(0));
    assert!(wait(1) > Duration::from_millis(1_000), "{:?}", wait(1));
}

/// Guards against calls that wait for admission unnoticed: others joined them while other engines
/// were free.
#[test]
fn call_goes_elsewhere_when_others_wait_for_admission_at_its_engine() {
    let ids = ids(5);
    let mut loads = Loads::default();
    let home = loads.choose(Time::ZERO, &session(7, 0), &engines(&ids), 2).unwrap();
    let queue = LoadReport { queued_tokens: 60_000, ..load(&home.id, 1, 3_000) };

    loads.apply_report(Time::ZERO, from_peer("entry-2"), 1, vec![queue]);
    let moved = loads.choose(Time::ZERO, &session(7, 1), &engines(&ids), 2).unwrap();
    // The calls that wait there are sent as soon as the engine is free.
    let can_admit = loads.can_admit(Time::ZERO, &home, 2);

    assert_ne!(moved.id, home.id);
    assert!(can_admit);
}

/// Calls that cross availability zones take longer and cost money.
#[test]
fn nearer_engine_is_preferred_while_it_is_not_busier() {
    let ids = ids(2);
    let mut candidates = engines(&ids);
    candidates[0].round_trip = Duration::from_millis(16);
    let query = Demand { prompt_tokens: 800, output_tokens: 300, ..Demand::default() };
    let mut loads = Loads::default();

    let idle = loads.choose(Time::ZERO, &query, &candidates, 2).unwrap();
    let busy = load(&ids[1], 60, 0);
    loads.apply_report(Time::ZERO, from_peer("entry-2"), 1, vec![busy]);
    let beside_a_busy_one = loads.choose(Time::ZERO, &query, &candidates, 2).unwrap();

    assert_eq!((idle.id, beside_a_busy_one.id), (ids[1].clone(), ids[0].clone()));
}

#[test]
fn engine_that_fails_half_of_its_calls_is_used_last() {
    let ids = ids(2);
    let mut candidates = engines(&ids);
    let demand = Demand { prompt_tokens: 800, ..Demand::default() };
    candidates[0].failure_rate = 0.5;

    let choice = Loads::default().choose(Time::ZERO, &demand, &candidates, 1).unwrap();

    assert_eq!(choice.id, ids[1]);
}

/// Engine that prefills one prompt at a time and keeps the most recently used parts.
struct EmulatedEngine {
    free_at: f64,
    cached: Vec<(u64, u32)>,
}

impl EmulatedEngine {
    /// Prefills a prompt that arrives at `now`, and returns when that is done, in milliseconds.
    fn read(&mut self, now: f64, demand: &Demand) -> f64 {
        let mut prefill_tokens = 0;
        let mut is_cached = true;
        for part in &demand.parts {
            is_cached &= self.cached.iter().any(|it| it.0 == part.id);
            if !is_cached {
                prefill_tokens += part.tokens;
            }
            self.cached.retain(|it| it.0 != part.id);
            self.cached.push((part.id, part.tokens));
        }
        while self.cached.iter().map(|it| it.1).sum::<u32>() > 150_000 {
            self.cached.remove(0);
        }
        self.free_at = self.free_at.max(now) + f64::from(prefill_tokens) / PREFILL_TOKENS_PER_MS;
        self.free_at
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

/// About 36 calls per second, more than five engines with empty caches can prefill.
const FIVE_ENGINES: Traffic = Traffic { engines: 5, sessions: 95, calls: 3_000, gap: 28.0 };

/// Share of calls whose first token comes within a second, when `place` selects the engine.
fn share_in_time(
    seed: u64,
    traffic: &Traffic,
    mut place: impl FnMut(f64, &Demand, &mut ChaCha8Rng, &mut Vec<EmulatedEngine>) -> usize,
) -> f64 {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut engines: Vec<EmulatedEngine> =
        (0..traffic.engines).map(|_| EmulatedEngine { free_at: 0.0, cached: Vec::new() }).collect();
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

/// The peak load: prompts of many sessions, more than engines can prefill without their caches.
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
                    loads.record_first_token(time, choice, choice.wait);
                    loads.record_end(time, choice, true);
                }
                !is_done
            });
            let choice = loads.choose(time, demand, &engines(&ids), 1).unwrap();
            loads.record_sent(time, &choice, demand, 250_000);
            let at = ids.iter().position(|id| *id == choice.id).unwrap();
            let done = emulated[at].free_at.max(now)
                + f64::from(choice.prefill_tokens) / PREFILL_TOKENS_PER_MS;
            open.push((done, choice));
            at
        });
        let least_loaded = share_in_time(seed, &FIVE_ENGINES, |_, _, _, engines| {
            let free_at = |at: &usize| (engines[*at].free_at * 1_000.0) as u64;
            (0..engines.len()).min_by_key(free_at).unwrap()
        });
        let at_random = share_in_time(seed, &FIVE_ENGINES, |_, _, random, engines| {
            random.random_range(0..engines.len())
        });

        assert!(placed > 0.9, "seed {seed}: {placed} in time");
        assert!(placed > least_loaded, "seed {seed}: {placed} against {least_loaded}");
        assert!(placed > at_random, "seed {seed}: {placed} against {at_random}");
    }
}

/// An engine that prefills prompts without a break pauses all its streams.
#[test]
fn long_prompt_waits_for_admission_and_a_short_one_does_not() {
    let ids = ids(1);
    let mut loads = Loads::default();
    let short = Demand { prompt_tokens: 800, output_tokens: 300, ..Demand::default() };
    let first = loads.choose(Time::ZERO, &session(1, 1), &engines(&ids), 1).unwrap();
    let second = loads.choose(Time::ZERO, &session(2, 2), &engines(&ids), 1).unwrap();
    let query = loads.choose(Time::ZERO, &short, &engines(&ids), 1).unwrap();

    let before = loads.can_admit(Time::ZERO, &first, 1);
    loads.record_sent(Time::ZERO, &first, &session(1, 1), 250_000);
    let during = loads.can_admit(Time::ZERO, &second, 1);
    let beside = loads.can_admit(Time::ZERO, &query, 1);
    loads.record_first_token(Time::from_millis(200), &first, Duration::from_millis(200));
    let after = loads.can_admit(Time::from_millis(200), &second, 1);

    assert_eq!((before, during, beside, after), (true, false, true, true));
}

#[test]
fn long_prompt_waits_for_those_of_peers() {
    let ids = ids(1);
    let mut loads = Loads::default();
    let busy = load(&ids[0], 1, 6_000);
    let choice = loads.choose(Time::ZERO, &session(1, 1), &engines(&ids), 2).unwrap();

    loads.apply_report(Time::ZERO, from_peer("entry-2"), 1, vec![busy]);

    assert!(!loads.can_admit(Time::ZERO, &choice, 2));
}

/// Guards against simultaneous long prompts: 24 instances report twice a second, so several of them
/// sent long prompts to one engine before they knew of each other's.
#[test]
fn long_prompt_of_a_peer_counts_as_soon_as_it_is_reported_alone() {
    let ids = ids(1);
    let (mut loads, mut peer) = (Loads::default(), Loads::default());
    let peer_id = from_peer("entry-2");
    loads.apply_report(Time::ZERO, from_peer("entry-2"), 1, Vec::new());
    let choice = loads.choose(Time::ZERO, &session(1, 1), &engines(&ids), 2).unwrap();

    peer.record_sent(Time::ZERO, &choice, &session(2, 2), 250_000);
    let before = loads.can_admit(Time::ZERO, &choice, 2);
    loads.apply_change(&peer_id, peer.report_of(&ids[0]));
    let during = loads.can_admit(Time::ZERO, &choice, 2);
    peer.record_first_token(Time::from_millis(200), &choice, Duration::from_millis(200));
    loads.apply_change(&peer_id, peer.report_of(&ids[0]));
    let after = loads.can_admit(Time::from_millis(200), &choice, 2);

    assert_eq!((before, during, after), (true, false, true));
}

/// The load of a peer without a full report is estimated, and its load at one upstream alone must
/// not replace that estimate.
#[test]
fn change_of_a_peer_without_a_full_report_is_ignored() {
    let ids = ids(1);
    let mut loads = Loads::default();
    let choice = loads.choose(Time::ZERO, &session(1, 1), &engines(&ids), 2).unwrap();
    let change = load(&ids[0], 1, 60_000);

    loads.apply_change(&from_peer("entry-2"), change);

    assert!(loads.can_admit(Time::ZERO, &choice, 2));
}

/// Share of calls in time when several instances place them. The instances report their load twice
/// a second and, with `reports_at_once`, each long prompt when it is sent and when it was
/// prefilled.
fn share_among_instances(seed: u64, reports_at_once: bool) -> f64 {
    const INSTANCES: usize = 12;
    let ids = ids(5);
    let names: Vec<ReportSource> =
        (0..INSTANCES).map(|at| from_peer(&format!("entry-{at}"))).collect();
    let mut all: Vec<Loads> = vec![Loads::default(); INSTANCES];
    let mut open: Vec<(f64, usize, Choice)> = Vec::new();
    let (mut reported, mut next_instance) = (0.0, 0);
    share_in_time(seed, &FIVE_ENGINES, |now, demand, _, emulated| {
        let time = Time::from_micros((now * 1_000.0) as u64);
        let report_load = |all: &mut Vec<Loads>, from: usize, engine: &UpstreamId| {
            let report = all[from].report_of(engine);
            for (at, loads) in all.iter_mut().enumerate().filter(|_| reports_at_once) {
                if at != from {
                    loads.apply_change(&names[from], report);
                }
            }
        };
        let (done, still): (Vec<_>, Vec<_>) = open.drain(..).partition(|it| it.0 <= now);
        open = still;
        for (_, by, choice) in done {
            all[by].record_first_token(time, &choice, choice.wait);
            all[by].record_end(time, &choice, true);
            report_load(&mut all, by, &choice.id);
        }
        if now - reported > 500.0 {
            reported = now;
            for from in 0..INSTANCES {
                let report = all[from].report();
                for (_, loads) in all.iter_mut().enumerate().filter(|it| it.0 != from) {
                    loads.apply_report(time, names[from].clone(), 1, report.clone());
                }
            }
        }
        next_instance = (next_instance + 1) % INSTANCES;
        let choice = all[next_instance].choose(time, demand, &engines(&ids), INSTANCES).unwrap();
        all[next_instance].record_sent(time, &choice, demand, 250_000);
        report_load(&mut all, next_instance, &choice.id);
        let at = ids.iter().position(|id| *id == choice.id).unwrap();
        let done = emulated[at].free_at.max(now)
            + f64::from(choice.prefill_tokens) / PREFILL_TOKENS_PER_MS;
        open.push((done, next_instance, choice));
        at
    })
}

/// Many instances, each with few of the calls, as at the largest sites.
#[test]
fn more_calls_are_in_time_when_long_prompts_are_reported_at_once() {
    for seed in 0..5 {
        let at_once = share_among_instances(seed, true);
        let by_reports = share_among_instances(seed, false);

        assert!(at_once > by_reports, "seed {seed}: {at_once} against {by_reports}");
    }
}

/// How the instances of a large region exchange their loads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Exchange {
    /// Each reports to all others, long prompts at once and everything every 1.36 s; a shorter
    /// interval would take more processor time than the calls.
    All,
    /// Each reports at once to the collector of its zone, which sends aggregates to all every 20
    /// ms.
    Collectors,
}

/// Share of calls in time in a region as large as the largest one of the large deployment.
fn share_in_a_large_region(seed: u64, exchange: Exchange) -> f64 {
    const INSTANCES: usize = 66;
    const TRAFFIC: Traffic = Traffic { engines: 70, sessions: 900, calls: 6_000, gap: 1.6 };
    let ids = ids(TRAFFIC.engines);
    let names: Vec<ReportSource> =
        (0..INSTANCES).map(|at| from_peer(&format!("entry-{at}"))).collect();
    let zone = |at: usize| at % 2;
    let mut all: Vec<Loads> = vec![Loads::default(); INSTANCES];
    // The collectors are instances 0 and 1.
    let mut open: Vec<(f64, usize, Choice)> = Vec::new();
    let mut last_sent = 0.0;
    share_in_time(seed, &TRAFFIC, |now, demand, random, emulated| {
        let time = Time::from_micros((now * 1_000.0) as u64);
        let report_load = |all: &mut Vec<Loads>, from: usize, engine: &UpstreamId| {
            let report = all[from].report_of(engine);
            let to = match exchange {
                Exchange::All => 0..INSTANCES,
                Exchange::Collectors => zone(from)..zone(from) + 1,
            };
            to.filter(|to| *to != from).for_each(|to| all[to].apply_change(&names[from], report));
        };
        let (done, still): (Vec<_>, Vec<_>) = open.drain(..).partition(|it| it.0 <= now);
        open = still;
        for (_, by, choice) in done {
            all[by].record_first_token(time, &choice, choice.wait);
            all[by].record_end(time, &choice, true);
            report_load(&mut all, by, &choice.id);
        }
        let interval = if exchange == Exchange::All { 1_360.0 } else { 20.0 };
        if last_sent == 0.0 || now - last_sent > interval {
            last_sent = now;
            let reports: Vec<_> = all.iter().map(Loads::report).collect();
            for (from, to) in
                (0..INSTANCES).flat_map(|from| (0..INSTANCES).map(move |to| (from, to)))
            {
                let receives = exchange == Exchange::All || to == zone(from);
                if from != to && receives {
                    all[to].apply_report(time, names[from].clone(), 1, reports[from].clone());
                }
            }
            if exchange == Exchange::Collectors {
                let sums = [all[0].zone_aggregate(), all[1].zone_aggregate()];
                for (at, (instances, loads)) in sums.into_iter().enumerate() {
                    let source = ReportSource::Zone(format!("zone-{at}").parse().unwrap());
                    all[1 - at].apply_report(time, source, instances, loads);
                }
                for to in 2..INSTANCES {
                    let (instances, loads) =
                        all[zone(to)].aggregate_for(&format!("entry-{to}").parse().unwrap());
                    all[to].apply_report(time, ReportSource::Collector, instances, loads);
                }
            }
        }
        let by = random.random_range(0..INSTANCES);
        let choice = all[by].choose(time, demand, &engines(&ids), INSTANCES).unwrap();
        all[by].record_sent(time, &choice, demand, 250_000);
        report_load(&mut all, by, &choice.id);
        let at = ids.iter().position(|id| *id == choice.id).unwrap();
        let done = emulated[at].free_at.max(now)
            + f64::from(choice.prefill_tokens) / PREFILL_TOKENS_PER_MS;
        open.push((done, by, choice));
        at
    })
}

/// The load of the peak seconds of the large deployment. Reports of all instances to all others at
/// once would be about 900 messages per second for each; reports to collectors and their aggregates
/// are about 80 (both calculated).
#[test]
fn as_many_calls_of_a_large_region_are_in_time_when_collectors_aggregate_loads() {
    for seed in 0..3 {
        let with_collectors = share_in_a_large_region(seed, Exchange::Collectors);
        let without_collectors = share_in_a_large_region(seed, Exchange::All);

        assert!(
            with_collectors > without_collectors - 0.02,
            "seed {seed}: {with_collectors} against {without_collectors}"
        );
        assert!(with_collectors > 0.95, "seed {seed}: {with_collectors}");
    }
}
