//! What is passed on about contents that crash upstreams.

use std::time::Duration;

use medlarlug_core::{
    fingerprint::Fingerprint,
    ids::Incarnation,
    suspects::{CrashId, CrashLedger, CrashReport, Fact, FactLog, MAX_LOGGED_CONTENTS},
    time::Time,
};
use test_support::id;

fn content(number: u32) -> Fingerprint {
    Fingerprint::of(&number.to_be_bytes())
}

fn lost(upstream: u32, contents: std::ops::Range<u32>) -> Fact {
    let mut in_flight: Vec<Fingerprint> = contents.map(content).collect();
    in_flight.sort();
    let key = CrashId { upstream: id(&format!("engine-{upstream}")), incarnation: Incarnation(1) };
    Fact::Crashed(CrashReport { key, age: Duration::ZERO, in_flight, trials: Vec::new() })
}

#[test]
fn fact_is_told_with_the_age_that_it_has_by_then() {
    let mut log = FactLog::default();
    log.apply(Time::ZERO, &lost(1, 0..1));

    let told = log.since(Time::ZERO + Duration::from_secs(3), 0);

    assert_eq!(told, [lost(1, 0..1).aged_by(Duration::from_secs(3))]);
}

#[test]
fn receiver_that_lacks_dropped_facts_gets_all_that_are_left() {
    let mut log = FactLog::default();
    let each = 100;
    let facts = MAX_LOGGED_CONTENTS as u32 / each + 5;
    for upstream in 0..facts {
        log.apply(Time::ZERO, &lost(upstream, upstream * each..(upstream + 1) * each));
    }

    let told = log.since(Time::ZERO, 0);

    assert_eq!(log.end(), u64::from(facts));
    assert_eq!(told.len(), MAX_LOGGED_CONTENTS / each as usize);
    assert_eq!(told.last(), Some(&lost(facts - 1, (facts - 1) * each..facts * each)));
}

#[test]
fn repeated_losses_name_only_contents_that_were_lost_more_than_once() {
    let mut ledger = CrashLedger::default();
    ledger.apply_all(Time::ZERO, &[lost(1, 0..9), lost(2, 8..12), lost(3, 20..25)]);

    let kept = ledger.repeated_crashes(Time::ZERO);

    assert_eq!(kept, [lost(1, 8..9), lost(2, 8..9)]);
}

#[test]
fn facts_that_arrive_together_count_like_facts_that_arrive_one_by_one() {
    let facts = [lost(1, 0..9), lost(2, 8..12), lost(3, 8..9)];
    let mut together = CrashLedger::default();
    together.apply_all(Time::ZERO, &facts);
    let mut single = CrashLedger::default();
    for fact in &facts {
        single.apply(Time::ZERO, fact);
    }

    assert_eq!(together, single);
}
