//! Late orders about evacuated zones.

use medlarlug_core::{
    gateway::{
        cold::Evacuations,
        evacuation_orders::{EvacuationLog, Timeliness},
    },
    ids::ZoneId,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_support::id;

fn zones() -> Vec<ZoneId> {
    ["a", "b", "c"].map(id).to_vec()
}

/// A log with the state that it observed last.
#[derive(Default)]
struct Observer {
    log: EvacuationLog,
    round: u64,
    evacuated: Vec<ZoneId>,
}

impl Observer {
    fn state(&self) -> Evacuations<'_> {
        Evacuations { round: self.round, zones: &self.evacuated }
    }

    fn observe(&mut self, round: u64, evacuated: &[ZoneId]) {
        let before = Evacuations { round: self.round, zones: &self.evacuated };
        self.log.observe(before, Evacuations { round, zones: evacuated });
        (self.round, self.evacuated) = (round, evacuated.to_vec());
    }

    fn judge(&self, zone: &ZoneId, evacuates: bool, known_round: u64) -> Timeliness {
        self.log.judge(self.state(), zone, evacuates, known_round)
    }
}

#[test]
fn order_is_outdated_only_by_a_later_change_of_its_own_zone() {
    let mut observer = Observer::default();
    observer.observe(1, &[id("a")]);
    observer.observe(2, &[id("a"), id("b")]);
    observer.observe(3, &[id("b")]);
    observer.observe(4, &[id("a"), id("b")]);

    assert_eq!(observer.judge(&id("a"), false, 1), Timeliness::Outdated);
    assert_eq!(observer.judge(&id("a"), false, 4), Timeliness::Current);
    assert_eq!(observer.judge(&id("b"), false, 2), Timeliness::Current);
    assert_eq!(observer.judge(&id("b"), false, 1), Timeliness::Outdated);
    assert_eq!(observer.judge(&id("b"), true, 1), Timeliness::Current);
    assert_eq!(observer.judge(&id("c"), true, 0), Timeliness::Current);
    assert_eq!(observer.judge(&id("c"), true, 5), Timeliness::Unknown);
}

/// Several changes that become known at once, as after a start, may concern any zone.
#[test]
fn changes_that_were_not_seen_one_by_one_outdate_orders_for_every_zone() {
    let mut observer = Observer::default();
    observer.observe(5, &[id("a")]);

    assert_eq!(observer.judge(&id("b"), true, 4), Timeliness::Outdated);
    assert_eq!(observer.judge(&id("b"), true, 5), Timeliness::Current);
}

/// Compares the log with a list of all changes: an order that was received before a change of its zone
/// is never judged current unless it is in effect.
#[test]
fn no_order_from_before_a_change_of_its_zone_is_current() {
    for seed in 0..200 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (mut observer, mut changes): (Observer, Vec<ZoneId>) = Default::default();
        let mut evacuated: Vec<ZoneId> = Vec::new();
        for _ in 0..30 {
            let zone = zones()[rng.random_range(0..3)].clone();
            match evacuated.binary_search(&zone) {
                Ok(at) => drop(evacuated.remove(at)),
                Err(at) => evacuated.insert(at, zone.clone()),
            }
            changes.push(zone);
            if rng.random_bool(0.3) {
                continue;
            }
            observer.observe(changes.len() as u64, &evacuated);
            for zone in zones() {
                for known in 0..=changes.len() {
                    let is_changed = changes[known..].contains(&zone);
                    let evacuates = evacuated.binary_search(&zone).is_err();
                    let verdict = observer.judge(&zone, evacuates, known as u64);
                    if is_changed {
                        assert_eq!(verdict, Timeliness::Outdated, "seed {seed}");
                    }
                }
                let now = changes.len() as u64;
                assert_eq!(observer.judge(&zone, true, now), Timeliness::Current, "seed {seed}");
            }
        }
    }
}
