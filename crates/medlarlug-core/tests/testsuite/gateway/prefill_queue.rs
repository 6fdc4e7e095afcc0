//! Admission of long prompts to engines.

use std::time::Duration;

use medlarlug_core::{
    gateway::prefill_queue::{PrefillDecision, QueueWaits, decide},
    time::Time,
};

const OBJECTIVE: Duration = Duration::from_secs(1);

#[test]
fn call_of_an_overloaded_engine_is_refused_within_its_objective() {
    let decisions: Vec<PrefillDecision> = (0..=10)
        .map(|tenth| decide(false, OBJECTIVE.mul_f64(f64::from(tenth) / 10.0), OBJECTIVE, 1))
        .collect();

    assert_eq!(decisions[0], PrefillDecision::Wait);
    assert_eq!(decisions[10], PrefillDecision::Refuse);
}

#[test]
fn urgent_call_is_sent_when_it_has_waited_long_enough() {
    assert_eq!(decide(false, OBJECTIVE, OBJECTIVE, 0), PrefillDecision::Send);
}

#[test]
fn free_engine_accepts_a_call_however_long_it_has_waited() {
    assert_eq!(decide(true, OBJECTIVE * 3, OBJECTIVE, 1), PrefillDecision::Send);
}

#[test]
fn expected_wait_follows_the_calls_and_is_forgotten() {
    let mut waits = QueueWaits::default();

    for tenth in 0..20 {
        waits.record(Time::from_millis(tenth * 100), Duration::from_millis(400));
    }
    let busy = waits.expected(Time::from_millis(1_900));
    let later = waits.expected(Time::from_millis(6_900));

    assert!(busy > Duration::from_millis(250) && busy < Duration::from_millis(400), "{busy:?}");
    assert!(later < Duration::from_millis(5), "{later:?}");
}

/// More long prompts than an engine can prefill, beside streams that run. An engine that prefills
/// without a break gives its streams one token per step, and each step contains a chunk of a
/// prompt.
#[test]
fn streams_end_in_time_beside_more_long_prompts_than_can_be_read() {
    let with_admission = slowest_stream(|waited| decide(false, waited, OBJECTIVE, 1));
    let without = slowest_stream(|_| PrefillDecision::Send);

    assert!(with_admission < Duration::from_secs(15), "{with_admission:?}");
    assert!(without > Duration::from_secs(15), "{without:?}");
}

/// Time that a stream of 300 tokens takes at an engine that gets ten prompts of 9,000 tokens per
/// second for a minute, when `decide` decides about a prompt that finds the engine busy.
fn slowest_stream(decide: impl Fn(Duration) -> PrefillDecision) -> Duration {
    const DECODE_STEP: Duration = Duration::from_millis(5);
    const CHUNK_TOKENS: u32 = 4_096;
    const CHUNK_STEP: Duration = Duration::from_millis(100);
    // The next prompt is admitted after the report of the previous one's end has arrived and the
    // waiting call has checked again.
    const ADMISSION_DELAY: Duration = Duration::from_millis(12);
    let (mut now, mut tokens, mut queued) = (Duration::ZERO, 0, 0_u32);
    let mut waiting: Vec<Duration> = Vec::new();
    let (mut arrivals, mut free_since) = (0, Duration::ZERO);
    while tokens < 300 {
        while now < Duration::from_secs(60) && Duration::from_millis(100) * arrivals <= now {
            waiting.push(Duration::from_millis(100) * arrivals);
            arrivals += 1;
        }
        let decided = |arrived: &Duration| decide(now.saturating_sub(*arrived));
        queued += 9_000
            * waiting.iter().filter(|arrived| decided(arrived) == PrefillDecision::Send).count()
                as u32;
        waiting.retain(|arrived| decided(arrived) == PrefillDecision::Wait);
        if queued == 0 && !waiting.is_empty() && now >= free_since + ADMISSION_DELAY {
            waiting.remove(0);
            queued = 9_000;
        }
        let chunk = queued.min(CHUNK_TOKENS);
        now += if chunk > 0 {
            CHUNK_STEP.mul_f64(f64::from(chunk) / f64::from(CHUNK_TOKENS))
        } else {
            DECODE_STEP
        };
        if chunk > 0 && chunk == queued {
            free_since = now;
        }
        queued -= chunk;
        tokens += 1;
    }
    now
}
