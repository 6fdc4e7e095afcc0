//! The directory of entry instances.

use std::time::Duration;

use medlarlug_core::{
    directory::{LIFETIME, for_caller, order},
    ids::Incarnation,
    membership::{EntryView, Membership, Settings},
    release::item::{Residency, Team},
    time::Time,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_support::{id, team};

use crate::network::entry;

fn view(name: &str, zone: &str, region: &str, load: u32) -> EntryView {
    EntryView { id: id(name), zone: id(zone), region: id(region), load, settling: false }
}

/// A team at home in riga.
fn survey(residency: Residency) -> Team {
    Team { residency, ..team("survey", "riga") }
}

#[test]
fn nearest_instances_are_listed_first() {
    let entries = vec![
        view("far", "kochi-a", "kochi", 0),
        view("near", "riga-b", "riga", 5),
        view("own", "riga-a", "riga", 50),
    ];
    let mut random = ChaCha8Rng::seed_from_u64(1);

    let directory =
        order(&entry("own", "riga-a", "riga"), entries, &survey(Residency::Anywhere), &mut random);

    assert_eq!(directory.entries, [id("own"), id("near"), id("far")]);
}

#[test]
fn caller_whose_region_lost_its_instances_is_not_sent_to_a_forbidden_region_first() {
    let entries = vec![
        view("forbidden", "kochi-a", "kochi", 0),
        view("home", "riga-a", "riga", 500),
        view("listed", "liepaja-a", "kurzeme", 500),
        view("own", "tartu-a", "tartu", 50),
    ];
    let own = entry("own", "tartu-a", "tartu");
    let two_regions = Residency::Regions(vec![id("kurzeme"), id("riga")]);

    for seed in 0..50 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let at_home = order(&own, entries.clone(), &survey(Residency::Home), &mut random).entries;
        let in_two = order(&own, entries.clone(), &survey(two_regions.clone()), &mut random);

        assert_eq!(at_home[..2], [id("home"), id("own")], "seed {seed}");
        assert_eq!(at_home.len(), 4, "seed {seed}");
        let mut permitted = in_two.entries[..2].to_vec();
        permitted.sort();
        assert_eq!(permitted, [id("home"), id("listed")], "seed {seed}");
        assert_eq!(in_two.entries[2..], [id("own"), id("forbidden")], "seed {seed}");
    }
}

#[test]
fn caller_that_asks_in_a_forbidden_region_is_listed_instances_of_the_home_that_have_just_started() {
    let home = EntryView { settling: true, ..view("home", "riga-a", "riga", 0) };
    let own = view("own", "tartu-a", "tartu", 0);
    let stalled = EntryView { settling: true, ..own.clone() };
    let forbidden = view("forbidden", "kochi-a", "kochi", 0);
    let cases = [
        (vec![home.clone(), own.clone()], ["home", "own"]),
        (vec![home, stalled.clone()], ["home", "own"]),
        (vec![stalled, forbidden], ["own", "forbidden"]),
    ];
    let (asked, mut random) = (entry("own", "tartu-a", "tartu"), ChaCha8Rng::seed_from_u64(1));

    for (heard, listed) in cases {
        let directory = order(&asked, heard, &survey(Residency::Home), &mut random);

        assert_eq!(directory.entries, listed.map(id));
    }
}

#[test]
fn caller_of_an_instance_that_hears_nothing_of_the_home_is_listed_the_home_all_the_same() {
    let own = entry("own", "tartu-a", "tartu");
    let peers = vec![entry("forbidden", "kochi-a", "kochi"), entry("home", "riga-a", "riga")];
    let settings = Settings { own, incarnation: Incarnation(1), peers };
    let membership = Membership::new(Time::ZERO, settings);
    let mut random = ChaCha8Rng::seed_from_u64(1);

    let [at_home, anywhere] = [Residency::Home, Residency::Anywhere]
        .map(|it| for_caller(Time::ZERO, &membership, &survey(it), &mut random).entries);

    assert_eq!(at_home, [id("home"), id("own")]);
    assert_eq!(anywhere, [id("own")]);
}

#[test]
fn instance_that_has_just_started_is_listed_only_when_no_other_is_ready() {
    let settling = |name, zone| EntryView { settling: true, ..view(name, zone, "riga", 0) };
    let started = vec![settling("lone", "riga-b"), settling("new", "riga-a")];
    let mut some = started.clone();
    some.push(view("old", "riga-a", "riga", 50));
    let (own, mut random) = (entry("new", "riga-a", "riga"), ChaCha8Rng::seed_from_u64(1));
    let survey = survey(Residency::Anywhere);

    let beside_ready = order(&own, some, &survey, &mut random);
    let alone = order(&own, started, &survey, &mut random);

    assert_eq!(beside_ready.entries, [id("old")]);
    assert_eq!(alone.entries, [id("new"), id("lone")]);
}

/// An instance counts as just started after a stall too, and may have heard of no other one of its region.
#[test]
fn instance_that_started_or_was_stalled_sends_no_caller_to_a_forbidden_region_first() {
    let settling = |name, zone, region| EntryView { settling: true, ..view(name, zone, region, 0) };
    let heard = vec![
        view("forbidden", "kochi-a", "kochi", 0),
        settling("forbidden-new", "kochi-b", "kochi"),
        settling("own", "riga-a", "riga"),
    ];
    let with_permitted = [heard.clone(), vec![view("listed", "liepaja-a", "kurzeme", 5)]].concat();
    let (own, mut random) = (entry("own", "riga-a", "riga"), ChaCha8Rng::seed_from_u64(1));
    let two_regions = Residency::Regions(vec![id("kurzeme"), id("riga")]);

    let alone = order(&own, heard, &survey(Residency::Home), &mut random);
    let beside_permitted = order(&own, with_permitted, &survey(two_regions), &mut random);

    assert_eq!(alone.entries, [id("own"), id("forbidden")]);
    assert_eq!(beside_permitted.entries, [id("listed"), id("forbidden")]);
}

/// Highest ratio of the busiest instance's load to the mean, for callers that follow the directory. The
/// directory uses loads that are up to half a second old.
fn max_load_over_mean(seed: u64) -> f64 {
    const ENTRIES: usize = 8;
    const CALLERS: usize = 200;
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut used: Vec<Option<usize>> = vec![None; CALLERS];
    let mut next: Vec<Duration> =
        (0..CALLERS).map(|_| LIFETIME.mul_f64(random.random_range(0.0..1.0))).collect();
    let mut loads = [0u32; ENTRIES];
    let mut worst: f64 = 0.0;
    let survey = survey(Residency::Anywhere);
    for step in 0..600u32 {
        let now = Duration::from_millis(100) * step;
        if step % 5 == 0 {
            loads = [0; ENTRIES];
            used.iter().flatten().for_each(|it| loads[*it] += 1);
        }
        for caller in 0..CALLERS {
            if next[caller] > now {
                continue;
            }
            next[caller] = now + LIFETIME;
            let entries =
                (0..ENTRIES).map(|it| view(&format!("e{it}"), "riga-a", "riga", loads[it]));
            let asked = used[caller].unwrap_or_else(|| random.random_range(0..ENTRIES));
            let asked = entry(&format!("e{asked}"), "riga-a", "riga");
            let directory = order(&asked, entries.collect(), &survey, &mut random);
            used[caller] = Some(directory.entries[0].as_str()[1..].parse().unwrap());
        }
        if now > 2 * LIFETIME && step % 10 == 0 {
            let mut counts = [0u32; ENTRIES];
            used.iter().flatten().for_each(|it| counts[*it] += 1);
            let busiest = f64::from(*counts.iter().max().unwrap());
            worst = worst.max(busiest / (CALLERS as f64 / ENTRIES as f64));
        }
    }
    worst
}

#[test]
fn load_stays_balanced_without_a_load_balancer() {
    for seed in 0..20 {
        let ratio = max_load_over_mean(seed);
        println!("seed {seed}: busiest {ratio:.2} times the mean");
        assert!(ratio <= 1.25, "seed {seed}: busiest {ratio} times the mean");
    }
}
