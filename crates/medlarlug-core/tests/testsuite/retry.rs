//! The retry budget and the retry decision.

use std::time::Duration;

use assert_matches::assert_matches;
use medlarlug_core::{
    record::Outcome,
    refusal::{Reason, RetryJitter},
    retry::{Attempts, Decision, Failure, MAX_ATTEMPTS, MAX_STORED_RETRIES, RetryBudget},
    time::Time,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const FAILURES: [Failure; 4] =
    [Failure::NotSent, Failure::ZoneRefused, Failure::Lost, Failure::Error];

fn attempts(idempotent: bool, forwarded: bool) -> Attempts {
    let estimate = Duration::from_millis(200);
    Attempts::new(idempotent, forwarded, Time::from_millis(2_000), estimate)
}

fn full_budget() -> RetryBudget {
    let mut budget = RetryBudget::default();
    (0..1_000).for_each(|_| budget.record_success());
    budget
}

/// Number of attempts for one request until it is answered or given up.
fn attempt_until_end(
    random: &mut ChaCha8Rng,
    success_rate: f64,
    budget: &mut RetryBudget,
    jitter: &mut RetryJitter,
) -> u32 {
    let mut state = attempts(true, false);
    for sent in 1.. {
        if random.random_bool(success_rate) {
            budget.record_success();
            return sent;
        }
        let failure = FAILURES[random.random_range(0..FAILURES.len())];
        if matches!(state.decide(Time::ZERO, failure, budget, jitter), Decision::GiveUp(_)) {
            return sent;
        }
    }
    unreachable!("attempts are bounded")
}

#[test]
fn attempts_stay_within_1_1_times_any_100_requests_through_failure_and_recovery() {
    for seed in 0..500 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let (mut budget, mut jitter) = (RetryBudget::default(), RetryJitter::new(seed));
        let mut sent: Vec<u32> = Vec::new();

        for phase in 0..6 {
            let success_rate = if phase % 2 == 0 { random.random_range(0.5..1.0) } else { 0.0 };
            let one = |_| attempt_until_end(&mut random, success_rate, &mut budget, &mut jitter);
            sent.extend((0..200).map(one));
            if success_rate == 0.0 {
                let failed: u32 = sent[sent.len() - 200..].iter().sum();
                assert!(failed <= 200 + MAX_STORED_RETRIES, "seed {seed}");
            }
        }

        for window in sent.windows(100) {
            let attempts: u32 = window.iter().sum();
            assert!(attempts <= 110, "seed {seed}: {attempts} attempts at 100 requests");
        }
    }
}

#[test]
fn first_failure_after_the_start_is_retried() {
    let (mut budget, mut jitter) = (RetryBudget::default(), RetryJitter::new(1));

    let decision =
        attempts(true, false).decide(Time::ZERO, Failure::Lost, &mut budget, &mut jitter);

    assert_eq!(decision, Decision::RetryInZone);
}

#[test]
fn request_that_may_have_run_is_retried_only_if_idempotent() {
    for seed in 0..2_000 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut state = attempts(random.random(), random.random());
        let (mut budget, mut jitter) = (full_budget(), RetryJitter::new(seed));
        let (mut may_have_run, mut forwards) = (false, 0);
        for made in 1.. {
            let failure = FAILURES[random.random_range(0..FAILURES.len())];
            may_have_run |= matches!(failure, Failure::Lost | Failure::Error);

            match state.decide(Time::ZERO, failure, &mut budget, &mut jitter) {
                Decision::GiveUp(refusal) => {
                    let expected = match (may_have_run, state.idempotent) {
                        (false, _) => Outcome::NotRun,
                        (true, true) => Outcome::Failed,
                        (true, false) => Outcome::Unknown,
                    };
                    assert_eq!(refusal.outcome, expected, "seed {seed}");
                    break;
                }
                decision => {
                    forwards += u32::from(decision == Decision::RetryInOtherZone);
                    assert!(state.idempotent || !may_have_run, "seed {seed}");
                    assert!(forwards <= u32::from(!state.forwarded), "seed {seed}");
                    assert!(made < MAX_ATTEMPTS, "seed {seed}");
                }
            }
        }
    }
}

#[test]
fn attempt_that_would_miss_the_deadline_is_not_made() {
    let (mut budget, mut jitter) = (full_budget(), RetryJitter::new(1));
    let late = Time::from_millis(1_900);

    let decision = attempts(true, false).decide(late, Failure::NotSent, &mut budget, &mut jitter);

    assert_matches!(decision, Decision::GiveUp(it) if it.reason == Reason::NotStarted);
    assert_eq!(budget.remaining(), MAX_STORED_RETRIES);
}

#[test]
fn every_reason_has_its_own_slug_and_an_error_status() {
    let mut slugs: Vec<&str> = Reason::ALL.iter().map(|it| it.slug()).collect();
    slugs.sort_unstable();
    slugs.dedup();

    assert_eq!(slugs.len(), Reason::ALL.len());
    assert!(Reason::ALL.iter().all(|it| (400..600).contains(&it.status())));
    assert_eq!(Reason::Quarantined.outcome(), Outcome::Failed);
    assert_eq!(Reason::Leaving.outcome(), Outcome::NotRun);
}

#[test]
fn retry_delays_have_jitter() {
    let mut jitter = RetryJitter::new(3);

    let mut waits: Vec<Duration> =
        (0..100).map(|_| jitter.apply(Duration::from_secs(10))).collect();
    waits.sort_unstable();
    waits.dedup();

    assert_eq!(waits.len(), 100);
    assert!(waits[99] - waits[0] > Duration::from_secs(4));
}
