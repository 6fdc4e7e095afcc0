//! Trials of quarantined contents, over a day with the test's own clock.

use std::time::Duration;

use medlarlug_core::{
    fingerprint::Fingerprint,
    ids::Incarnation,
    suspects::{CrashId, CrashLedger, CrashReport, Fact, trial_instance},
    time::Time,
};
use test_support::id;

/// Time after the third crash from which on sends count.
const CONTACT_TIME: Duration = Duration::from_secs(5);
/// Sends that may reach upstreams after that.
const LATE_SENDS: usize = 3;

fn content() -> Fingerprint {
    Fingerprint::of(b"crash")
}

fn lost(upstream: usize, is_trial: bool) -> Fact {
    let key = CrashId { upstream: id(&format!("engine-{upstream}")), incarnation: Incarnation(1) };
    let trials = if is_trial { vec![content()] } else { Vec::new() };
    Fact::Crashed(CrashReport { key, age: Duration::ZERO, in_flight: vec![content()], trials })
}

/// When a content that crashes upstreams reaches them within a day, after `first` crashes at once; each crash is
/// noticed `lag` later.
fn arrivals(first: usize, lag: Duration) -> Vec<Time> {
    let mut ledger = CrashLedger::default();
    let mut now = Time::ZERO;
    let mut arrivals = vec![now; first];
    (0..first).for_each(|number| {
        ledger.apply(now, &lost(number, false));
    });
    while now < Time::ZERO + Duration::from_secs(24 * 3_600) {
        now = now + Duration::from_millis(500);
        ledger.expire(now);
        let Some(trials) = ledger.trials(content()) else { continue };
        if trials.next_trial_at(0, None) <= now {
            arrivals.push(now);
            now = now + lag;
            ledger.apply(now, &lost(arrivals.len(), true));
        }
    }
    arrivals
}

#[test]
fn content_that_fails_its_trials_reaches_upstreams_no_more_often_in_a_day_than_is_allowed() {
    for first in [2, 3, 6] {
        for lag in [0, 500, 4_000, 15_000] {
            let arrivals = arrivals(first, Duration::from_millis(lag));

            let third = arrivals[2] + Duration::from_millis(lag);
            let late = arrivals.iter().filter(|at| **at > third + CONTACT_TIME).count();
            assert!(late <= LATE_SENDS, "{late} after {first} crashes, {lag} ms: {arrivals:?}");
        }
    }
}

#[test]
fn whole_run_ends_the_quarantine_and_forgets_the_failed_trials() {
    let mut ledger = CrashLedger::default();
    [lost(0, false), lost(1, false), lost(2, true)].iter().for_each(|fact| {
        ledger.apply(Time::ZERO, fact);
    });
    let failed = ledger.trials(content()).unwrap().failed;

    let crashes = ledger.crashes_of(content());
    let fact = Fact::Cleared { fingerprint: content(), crashes, age: Duration::ZERO };
    ledger.apply(Time::ZERO, &fact);

    assert_eq!(failed, 1);
    assert_eq!(ledger.trials(content()), None);
}

#[test]
fn attempts_that_prove_nothing_are_repeated_more_and_more_rarely() {
    let mut ledger = CrashLedger::default();
    [lost(0, false), lost(1, false)].iter().for_each(|fact| {
        ledger.apply(Time::ZERO, fact);
    });
    let trials = ledger.trials(content()).unwrap();

    let pauses: Vec<u64> = (0..7)
        .map(|attempts| (trials.next_trial_at(attempts, None) - Time::ZERO).as_secs())
        .collect();

    assert_eq!(pauses, [2, 4, 8, 16, 32, 60, 60]);
}

#[test]
fn all_instances_agree_on_the_one_that_tries_a_content() {
    let all = ["entry-1", "entry-2", "entry-3"].map(id);
    let other = ["entry-3", "entry-1", "entry-2"].map(id);

    assert_eq!(trial_instance(content(), &all), trial_instance(content(), &other));
    assert_eq!(trial_instance(content(), &[]), None);
}
