//! Request records and quarantines of a home group, compared with naive models.

use std::time::Duration;

use assert_matches::assert_matches;
use medlarlug_core::{
    fingerprint::Fingerprint,
    home::{Action, Command, HomeGroup, RecordLookup, Reply},
    ids::{Incarnation, RequestId, Revision, UpstreamId},
    record::{Outcome, RequestRecord},
    release::ItemKey,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_support::id;

const SUSPICION_LIFETIME: Duration = Duration::from_secs(10 * 60);
const QUARANTINE_LIFETIME: Duration = Duration::from_secs(60 * 60);

fn founded() -> HomeGroup {
    let mut group = HomeGroup::default();
    apply(&mut group, Action::Found { revision: Revision(1), first: true });
    group
}

fn apply(group: &mut HomeGroup, action: Action) -> Reply {
    group.apply(Command { elapsed: Duration::ZERO, action })
}

fn record(request: &str, outcome: Option<Outcome>) -> RequestRecord {
    let target = ItemKey::Model(id("scribe"));
    RequestRecord { id: id(request), team: id("anna"), target, outcome, timeline: Vec::new() }
}

#[test]
fn open_records_of_a_dead_incarnation_become_not_recorded() {
    let mut group = founded();
    let (open, ended) = ("riga.entry-1.1.1", "riga.entry-1.1.2");
    let records = vec![record(open, None), record(ended, Some(Outcome::Answered))];
    apply(&mut group, Action::Records(records));

    let incarnation = Incarnation(2);
    apply(&mut group, Action::InstanceStarted { instance: id("entry-1"), incarnation });

    assert_eq!(
        group.look_up(&id(open)),
        RecordLookup::Found(record(open, Some(Outcome::NotRecorded)))
    );
    let answered = record(ended, Some(Outcome::Answered));
    assert_eq!(group.look_up(&id(ended)), RecordLookup::Found(answered));
    assert_eq!(group.look_up(&id("riga.entry-1.1.9")), RecordLookup::Expired);
    assert_eq!(group.look_up(&id("riga.entry-1.2.1")), RecordLookup::Pending);
}

#[test]
fn late_outcome_replaces_not_recorded() {
    let mut group = founded();
    let request = "riga.entry-1.1.1";
    apply(&mut group, Action::Records(vec![record(request, None)]));
    let incarnation = Incarnation(1);
    apply(&mut group, Action::InstanceDead { instance: id("entry-1"), incarnation });

    let ended = record(request, Some(Outcome::Failed));
    apply(&mut group, Action::Records(vec![ended.clone()]));
    apply(&mut group, Action::Records(vec![record(request, None)]));

    assert_eq!(group.look_up(&id(request)), RecordLookup::Found(ended));
}

#[test]
fn records_are_bounded_and_the_oldest_expires() {
    let mut group = founded();
    let numbered = |sequence: u64| record(&format!("riga.entry-1.1.{sequence}"), None);

    for batch in 0..66 {
        let records = (batch * 1_024..(batch + 1) * 1_024).map(numbered).collect();
        apply(&mut group, Action::Records(records));
    }

    // 66 batches of 1,024 records exceed the limit of 65,536 records by 2,048.
    assert_eq!(group.look_up(&id("riga.entry-1.1.2047")), RecordLookup::Expired);
    assert_matches!(group.look_up(&id("riga.entry-1.1.2048")), RecordLookup::Found(_));
    assert_eq!(group.look_up(&id("riga.entry-1.1.70000")), RecordLookup::Pending);
}

#[test]
fn records_equal_a_list_scan() {
    let outcomes =
        [None, Some(Outcome::Answered), Some(Outcome::Unknown), Some(Outcome::NotRecorded)];
    for seed in 0..500 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (mut group, mut naive) = (founded(), Vec::<RequestRecord>::new());
        for _ in 0..100 {
            let request =
                format!("riga.entry-{}.1.{}", rng.random_range(0..2), rng.random_range(0..9));
            let record = record(&request, outcomes[rng.random_range(0..outcomes.len())]);
            apply(&mut group, Action::Records(vec![record.clone()]));
            match naive.iter_mut().find(|it| it.id == record.id) {
                None => naive.push(record),
                Some(stored)
                    if outcome_rank(&record) > outcome_rank(stored) || stored.outcome.is_none() =>
                {
                    *stored = record;
                }
                Some(_) => {}
            }
        }

        for record in naive {
            let request: RequestId = record.id.clone();
            assert_eq!(group.look_up(&request), RecordLookup::Found(record), "seed {seed}");
        }
    }
}

/// Rank of a record by how much it says about the outcome.
fn outcome_rank(record: &RequestRecord) -> u8 {
    match record.outcome {
        None => 0,
        Some(Outcome::NotRecorded) => 1,
        Some(Outcome::Unknown) => 2,
        Some(_) => 3,
    }
}

/// Naive model of the quarantines: a list of all reported crashes.
#[derive(Default)]
struct NaiveQuarantines {
    clock: Duration,
    crashes: Vec<(Fingerprint, UpstreamId, Incarnation, Duration)>,
    quarantined: Vec<(Fingerprint, Duration)>,
}

impl NaiveQuarantines {
    fn is_quarantined(&self, fingerprint: Fingerprint) -> bool {
        self.quarantined
            .iter()
            .any(|it| it.0 == fingerprint && it.1 + QUARANTINE_LIFETIME > self.clock)
    }

    fn record_crash(
        &mut self,
        fingerprint: Fingerprint,
        upstream: &UpstreamId,
        incarnation: Incarnation,
    ) {
        if self.is_quarantined(fingerprint) {
            return;
        }
        let last = self.crashes.iter().filter(|it| it.0 == fingerprint).map(|it| it.3).max();
        if last.is_none_or(|it| it + SUSPICION_LIFETIME <= self.clock) {
            self.crashes.retain(|it| it.0 != fingerprint);
        }
        let is_reported = |it: &&(Fingerprint, UpstreamId, Incarnation, Duration)| {
            it.0 == fingerprint && it.1 == *upstream && it.2 == incarnation
        };
        if !self.crashes.iter().any(|it| is_reported(&it)) {
            self.crashes.push((fingerprint, upstream.clone(), incarnation, self.clock));
        }
        if self.crashes.iter().filter(|it| it.0 == fingerprint).count() == 2 {
            self.crashes.retain(|it| it.0 != fingerprint);
            self.quarantined.push((fingerprint, self.clock));
        }
    }
}

#[test]
fn two_crashes_quarantine_a_request_as_in_a_list_scan() {
    let mut quarantines = 0;
    for seed in 0..500 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (mut group, mut naive) = (founded(), NaiveQuarantines::default());
        for _ in 0..200 {
            let elapsed = Duration::from_secs(rng.random_range(0..400));
            naive.clock += elapsed;
            let fingerprint = Fingerprint(rng.random_range(0..4));
            let action = if rng.random_range(0..5) == 0 {
                naive.crashes.retain(|it| it.0 != fingerprint);
                Action::Clear(fingerprint)
            } else {
                let upstream: UpstreamId = id(&format!("engine-{}", rng.random_range(0..2)));
                let incarnation = Incarnation(rng.random_range(0..2));
                naive.record_crash(fingerprint, &upstream, incarnation);
                Action::Loss { upstream, incarnation, suspects: vec![fingerprint] }
            };

            group.apply(Command { elapsed, action });

            for fingerprint in (0..4).map(Fingerprint) {
                let is_quarantined =
                    group.suspect(fingerprint).is_some_and(|it| it.quarantined.is_some());
                assert_eq!(
                    is_quarantined,
                    naive.is_quarantined(fingerprint),
                    "seed {seed}: {fingerprint}"
                );
                quarantines += usize::from(is_quarantined);
            }
        }
    }
    assert!(quarantines > 1_000, "only {quarantines} quarantines occurred");
}

#[test]
fn crash_reported_by_several_instances_counts_once() {
    let mut group = founded();
    let fingerprint = Fingerprint::of(b"crash");
    let crash = |incarnation| Action::Loss {
        upstream: id("engine-1"),
        incarnation: Incarnation(incarnation),
        suspects: vec![fingerprint],
    };
    apply(&mut group, crash(1));

    let repeated = apply(&mut group, crash(1));
    let second = apply(&mut group, crash(2));

    assert_matches!(repeated, Reply::Suspects(it) => assert_eq!(it[0].quarantined, None));
    assert_matches!(second, Reply::Suspects(it) => assert_eq!(it[0].quarantined, Some(QUARANTINE_LIFETIME)));
}
