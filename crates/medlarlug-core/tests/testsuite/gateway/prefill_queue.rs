//! Turns of long prompts at engines.

use std::time::Duration;

use medlarlug_core::{
    gateway::prefill_queue::{Turn, TurnWaits, turn},
    time::Time,
};

const OBJECTIVE: Duration = Duration::from_secs(1);

#[test]
fn call_of_an_overloaded_engine_is_refused_within_its_objective() {
    let turns: Vec<Turn> = (0..=10)
        .map(|tenth| turn(false, OBJECTIVE.mul_f64(f64::from(tenth) / 10.0), OBJECTIVE, 1))
        .collect();

    assert_eq!(turns[0], Turn::Wait);
    assert_eq!(turns[10], Turn::Refuse);
}

#[test]
fn urgent_call_goes_when_it_has_waited_long_enough() {
    assert_eq!(turn(false, OBJECTIVE, OBJECTIVE, 0), Turn::Go);
}

#[test]
fn free_engine_takes_a_call_however_long_it_has_waited() {
    assert_eq!(turn(true, OBJECTIVE * 3, OBJECTIVE, 1), Turn::Go);
}

#[test]
fn expected_wait_follows_the_calls_and_is_forgotten() {
    let mut waits = TurnWaits::default();

    for tenth in 0..20 {
        waits.count(Time::from_millis(tenth * 100), Duration::from_millis(400));
    }
    let busy = waits.expected(Time::from_millis(1_900));
    let later = waits.expected(Time::from_millis(6_900));

    assert!(busy > Duration::from_millis(250) && busy < Duration::from_millis(400), "{busy:?}");
    assert!(later < Duration::from_millis(5), "{later:?}");
}

/// The load that turns answer: more long prompts than an engine can read, beside streams that run.
/// An engine that reads without a break gives its streams a token in each step with a part of a
/// prompt only.
#[test]
fn streams_end_in_time_beside_more_long_prompts_than_can_be_read() {
    let with_turns = slowest_stream(|waited| turn(false, waited, OBJECTIVE, 1));
    let without = slowest_stream(|_| Turn::Go);

    assert!(with_turns < Duration::from_secs(15), "{with_turns:?}");
    assert!(without > Duration::from_secs(15), "{without:?}");
}

/// Time that a stream of 300 tokens takes at an engine that gets ten prompts of 9,000 tokens a
/// second for a minute, when `decide` tells what becomes of a prompt that finds the engine busy.
fn slowest_stream(decide: impl Fn(Duration) -> Turn) -> Duration {
    const STEP: Duration = Duration::from_millis(5);
    const PART: u32 = 4_096;
    const PART_STEP: Duration = Duration::from_millis(100);
    // The turn passes on after the news of the end has travelled, and somebody has looked.
    const HANDOVER: Duration = Duration::from_millis(12);
    let (mut now, mut tokens, mut queued) = (Duration::ZERO, 0, 0_u32);
    let mut waiting: Vec<Duration> = Vec::new();
    let (mut arrivals, mut free_since) = (0, Duration::ZERO);
    while tokens < 300 {
        while now < Duration::from_secs(60) && Duration::from_millis(100) * arrivals <= now {
            waiting.push(Duration::from_millis(100) * arrivals);
            arrivals += 1;
        }
        let decided = |came: &Duration| decide(now.saturating_sub(*came));
        queued += 9_000 * waiting.iter().filter(|came| decided(came) == Turn::Go).count() as u32;
        waiting.retain(|came| decided(came) == Turn::Wait);
        if queued == 0 && !waiting.is_empty() && now >= free_since + HANDOVER {
            waiting.remove(0);
            queued = 9_000;
        }
        let part = queued.min(PART);
        now += if part > 0 { PART_STEP.mul_f64(f64::from(part) / f64::from(PART)) } else { STEP };
        if part > 0 && part == queued {
            free_since = now;
        }
        queued -= part;
        tokens += 1;
    }
    now
}
