//! The log of facts about contents that crash upstreams, and which facts are forwarded or stored.

use std::time::Duration;

use medlarlug_core::{
    fingerprint::Fingerprint,
    ids::{Incarnation, UpstreamId},
    suspects::{
        CrashId, CrashLedger, CrashReport, Effect, Event, Fact, FactLog, MAX_LOGGED_CONTENTS,
        RequestContents, SuspectTracker,
    },
    time::Time,
};
use test_support::id;

fn content(number: u32) -> Fingerprint {
    Fingerprint::of(&number.to_be_bytes())
}

fn crashed(upstream: u32, contents: std::ops::Range<u32>) -> Fact {
    let requests = contents.map(|it| RequestContents::new(content(it), Vec::new()));
    let mut in_flight: Vec<RequestContents> = requests.collect();
    in_flight.sort();
    let key = CrashId { upstream: id(&format!("engine-{upstream}")), incarnation: Incarnation(1) };
    Fact::Crashed(CrashReport { key, age: Duration::ZERO, in_flight, trials: Vec::new() })
}

#[test]
fn fact_is_sent_with_its_current_age() {
    let mut log = FactLog::default();
    log.apply(Time::ZERO, &crashed(1, 0..1));

    let sent = log.since(Time::ZERO + Duration::from_secs(3), 0);

    assert_eq!(sent, [crashed(1, 0..1).aged_by(Duration::from_secs(3))]);
}

#[test]
fn receiver_that_lacks_dropped_facts_gets_all_remaining_ones() {
    let mut log = FactLog::default();
    let each = 100;
    let count = MAX_LOGGED_CONTENTS as u32 / each + 5;
    for upstream in 0..count {
        log.apply(Time::ZERO, &crashed(upstream, upstream * each..(upstream + 1) * each));
    }

    let sent = log.since(Time::ZERO, 0);

    assert_eq!(log.end(), u64::from(count));
    assert_eq!(sent.len(), MAX_LOGGED_CONTENTS / each as usize);
    assert_eq!(sent.last(), Some(&crashed(count - 1, (count - 1) * each..count * each)));
}

#[test]
fn repeated_crashes_name_only_contents_with_more_than_one_crash() {
    let mut ledger = CrashLedger::default();
    ledger.apply_all(Time::ZERO, &[crashed(1, 0..9), crashed(2, 8..12), crashed(3, 20..25)]);

    let repeated = ledger.repeated_crashes(Time::ZERO);

    assert_eq!(repeated, [crashed(1, 8..9), crashed(2, 8..9)]);
}

#[test]
fn facts_applied_together_give_the_same_ledger_as_facts_applied_one_by_one() {
    let facts = [crashed(1, 0..9), crashed(2, 8..12), crashed(3, 8..9)];
    let mut together = CrashLedger::default();
    together.apply_all(Time::ZERO, &facts);
    let mut single = CrashLedger::default();
    for fact in &facts {
        single.apply(Time::ZERO, fact);
    }

    assert_eq!(together, single);
}

/// Guards against keepers that look through all crashes for what to store each time (issue 77).
#[test]
fn repeated_crashes_are_given_again_only_once_they_have_changed() {
    let cleared = |number: u32, upstream: u32| Fact::Cleared {
        fingerprint: content(number),
        crashes: vec![CrashId {
            upstream: id(&format!("engine-{upstream}")),
            incarnation: Incarnation(1),
        }],
        age: Duration::ZERO,
    };
    for (fact, has_changed) in [
        (crashed(2, 8..12), true),
        (crashed(1, 0..9), false),
        (cleared(3, 1), false),
        (cleared(8, 1), true),
    ] {
        let mut log = FactLog::default();
        [crashed(1, 0..9), crashed(3, 8..10)].iter().for_each(|it| {
            log.apply(Time::ZERO, it);
        });
        log.take_changed_crashes(Time::ZERO);

        log.apply(Time::ZERO, &fact);

        let expected = has_changed.then(|| log.repeated_crashes(Time::ZERO));
        assert_eq!(log.take_changed_crashes(Time::ZERO), expected, "{fact:?}");
    }
}

/// Guards against reports of long prompts that no other instance receives, since keepers forward none that
/// names more contents than their log holds (issue 77).
#[test]
fn report_of_long_prompts_is_forwarded_with_every_request_and_the_parts_in_doubt() {
    let doubted = content(77);
    let mut tracker = SuspectTracker::default();
    let mut out = Vec::new();
    tracker.apply_all(Time::ZERO, &[crashed(1, 77..78)], &mut out);
    let upstream: UpstreamId = id("engine-2");
    for number in 0..64 {
        let own = (0..1_400).map(|it| content(1_000 + number * 1_400 + it));
        let sent = Event::Sent {
            request: id(&format!("riga.entry-1.1.{number}")),
            contents: RequestContents::new(content(number), own.chain([doubted]).collect()),
            upstream: upstream.clone(),
            incarnation: Incarnation(1),
        };
        tracker.handle(Time::ZERO, sent, &mut out);
    }

    tracker.handle(
        Time::ZERO,
        Event::UpstreamCrashed { upstream, incarnation: Incarnation(1) },
        &mut out,
    );

    let mut log = FactLog::default();
    for effect in &out {
        if let Effect::Publish(fact) = effect {
            log.apply(Time::ZERO, fact);
        }
    }
    let sent = log.since(Time::ZERO, 0);
    let in_flight = sent.iter().find_map(|fact| match fact {
        Fact::Crashed(report) => Some(&report.in_flight),
        Fact::Cleared { .. } => None,
    });
    let in_flight = in_flight.expect("the report is forwarded");
    assert_eq!(in_flight.iter().filter(|it| it.contains(doubted)).count(), 64);
    assert!(out.iter().any(|it| matches!(it, Effect::PartsOmitted { .. })), "{out:?}");
}
