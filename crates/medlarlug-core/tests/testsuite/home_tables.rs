//! Records of requests and quarantines of a home group against naive models.

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

const SUSPICION: Duration = Duration::from_secs(10 * 60);
const QUARANTINE: Duration = Duration::from_secs(60 * 60);

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
fn open_records_of_a_lost_incarnation_are_not_recorded() {
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
fn late_batch_with_the_end_replaces_not_recorded() {
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

    // 66 batches of 1,024 are 2,048 more than the 65,536 that are kept.
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
                Some(held) if rank(&record) > rank(held) || held.outcome.is_none() => {
                    *held = record;
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

/// How much a record tells of the end.
fn rank(record: &RequestRecord) -> u8 {
    match record.outcome {
        None => 0,
        Some(Outcome::NotRecorded) => 1,
        Some(Outcome::Unknown) => 2,
        Some(_) => 3,
    }
}

/// Every loss that was reported, by request.
#[derive(Default)]
struct NaiveLosses {
    clock: Duration,
    losses: Vec<(Fingerprint, UpstreamId, Incarnation, Duration)>,
    quarantined: Vec<(Fingerprint, Duration)>,
}

impl NaiveLosses {
    fn is_quarantined(&self, print: Fingerprint) -> bool {
        self.quarantined.iter().any(|it| it.0 == print && it.1 + QUARANTINE > self.clock)
    }

    fn lose(&mut self, print: Fingerprint, upstream: &UpstreamId, incarnation: Incarnation) {
        if self.is_quarantined(print) {
            return;
        }
        let last = self.losses.iter().filter(|it| it.0 == print).map(|it| it.3).max();
        if last.is_none_or(|it| it + SUSPICION <= self.clock) {
            self.losses.retain(|it| it.0 != print);
        }
        let is_reported = |it: &&(Fingerprint, UpstreamId, Incarnation, Duration)| {
            it.0 == print && it.1 == *upstream && it.2 == incarnation
        };
        if !self.losses.iter().any(|it| is_reported(&it)) {
            self.losses.push((print, upstream.clone(), incarnation, self.clock));
        }
        if self.losses.iter().filter(|it| it.0 == print).count() == 2 {
            self.losses.retain(|it| it.0 != print);
            self.quarantined.push((print, self.clock));
        }
    }
}

#[test]
fn two_losses_quarantine_as_a_list_scan_tells() {
    let mut quarantines = 0;
    for seed in 0..500 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (mut group, mut naive) = (founded(), NaiveLosses::default());
        for _ in 0..200 {
            let elapsed = Duration::from_secs(rng.random_range(0..400));
            naive.clock += elapsed;
            let print = Fingerprint(rng.random_range(0..4));
            let action = if rng.random_range(0..5) == 0 {
                naive.losses.retain(|it| it.0 != print);
                Action::Clear(print)
            } else {
                let upstream: UpstreamId = id(&format!("engine-{}", rng.random_range(0..2)));
                let incarnation = Incarnation(rng.random_range(0..2));
                naive.lose(print, &upstream, incarnation);
                Action::Loss { upstream, incarnation, suspects: vec![print] }
            };

            group.apply(Command { elapsed, action });

            for print in (0..4).map(Fingerprint) {
                let is_quarantined =
                    group.suspect(print).is_some_and(|it| it.quarantined.is_some());
                assert_eq!(is_quarantined, naive.is_quarantined(print), "seed {seed}: {print}");
                quarantines += usize::from(is_quarantined);
            }
        }
    }
    assert!(quarantines > 1_000, "quarantines were seen {quarantines} times only");
}

#[test]
fn one_loss_that_several_instances_report_counts_once() {
    let mut group = founded();
    let print = Fingerprint::of(b"crash");
    let loss = |incarnation| Action::Loss {
        upstream: id("engine-1"),
        incarnation: Incarnation(incarnation),
        suspects: vec![print],
    };
    apply(&mut group, loss(1));

    let again = apply(&mut group, loss(1));
    let second = apply(&mut group, loss(2));

    assert_matches!(again, Reply::Suspects(it) => assert_eq!(it[0].quarantined, None));
    assert_matches!(second, Reply::Suspects(it) => assert_eq!(it[0].quarantined, Some(QUARANTINE)));
}
