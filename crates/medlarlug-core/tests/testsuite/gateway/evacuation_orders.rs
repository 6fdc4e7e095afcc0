//! Late orders about evacuated zones.

use medlarlug_core::{
    gateway::evacuation_orders::{EvacuationLog, Timeliness},
    ids::ZoneId,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_support::id;

fn zones() -> Vec<ZoneId> {
    ["a", "b", "c"].map(id).to_vec()
}

#[test]
fn order_is_outdated_only_by_a_later_change_of_its_own_zone() {
    let mut log = EvacuationLog::default();
    log.observe(1, &[id("a")]);
    log.observe(2, &[id("a"), id("b")]);
    log.observe(3, &[id("b")]);
    log.observe(4, &[id("a"), id("b")]);

    assert_eq!(log.judge(&id("a"), false, 1), Timeliness::Outdated);
    assert_eq!(log.judge(&id("a"), false, 4), Timeliness::Current);
    assert_eq!(log.judge(&id("b"), false, 2), Timeliness::Current);
    assert_eq!(log.judge(&id("b"), false, 1), Timeliness::Outdated);
    assert_eq!(log.judge(&id("b"), true, 1), Timeliness::Current);
    assert_eq!(log.judge(&id("c"), true, 0), Timeliness::Current);
    assert_eq!(log.judge(&id("c"), true, 5), Timeliness::Unknown);
}

/// Several changes that become known at once, as after a start, may concern any zone.
#[test]
fn changes_that_were_not_seen_one_by_one_outdate_orders_for_every_zone() {
    let mut log = EvacuationLog::default();
    log.observe(5, &[id("a")]);

    assert_eq!(log.judge(&id("b"), true, 4), Timeliness::Outdated);
    assert_eq!(log.judge(&id("b"), true, 5), Timeliness::Current);
}

/// Compares the log with a list of all changes: an order that was received before a change of its zone
/// is never judged current unless it is in effect.
#[test]
fn no_order_from_before_a_change_of_its_zone_is_current() {
    for seed in 0..200 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (mut log, mut changes): (EvacuationLog, Vec<ZoneId>) = Default::default();
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
            log.observe(changes.len() as u64, &evacuated);
            for zone in zones() {
                for known in 0..=changes.len() {
                    let is_changed = changes[known..].contains(&zone);
                    let evacuates = evacuated.binary_search(&zone).is_err();
                    let verdict = log.judge(&zone, evacuates, known as u64);
                    if is_changed {
                        assert_eq!(verdict, Timeliness::Outdated, "seed {seed}");
                    }
                }
                let now = changes.len() as u64;
                assert_eq!(log.judge(&zone, true, now), Timeliness::Current, "seed {seed}");
            }
        }
    }
}
