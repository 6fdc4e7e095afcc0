//! Who tells whom of loads, and what comes of it.

use std::collections::BTreeSet;

use medlarlug_core::{
    gateway::{
        load_exchange::{Member, Plan, Role},
        peer_loads::{LoadReport, PeerLoads, Source, UpstreamKey},
    },
    ids::InstanceId,
    time::Time,
};

fn member(at: usize, zone: &str) -> Member {
    Member { id: format!("entry-{at}").parse().unwrap(), zone: zone.parse().unwrap() }
}

/// A region of two zones.
fn region(instances: usize) -> Vec<Member> {
    (0..instances).map(|at| member(at, ["riga-a", "riga-b"][at % 2])).collect()
}

fn load(upstream: &str, running: u32, unread: u32) -> LoadReport {
    let upstream = UpstreamKey::of(&upstream.parse().unwrap());
    LoadReport { upstream, running, unread, urgent: 0, waiting: 0 }
}

fn peer(at: usize) -> Source {
    Source::Peer(member(at, "riga-a").id)
}

#[test]
fn few_instances_tell_each_other() {
    let region = region(8);

    let plans: Vec<Plan> = region.iter().map(|own| Plan::of(own, &region)).collect();

    assert!(plans.iter().all(|it| it.role == Role::Direct && it.report_to.len() == 7));
}

#[test]
fn instances_of_a_large_region_report_to_the_collectors_of_their_zone() {
    let region = region(75);

    for own in &region {
        let plan = Plan::of(own, &region);

        let zone_of = |id: &InstanceId| &region.iter().find(|it| it.id == *id).unwrap().zone;
        assert!(plan.report_to.iter().all(|id| *zone_of(id) == own.zone));
        assert!(plan.sum_to.iter().all(|id| *zone_of(id) != own.zone));
        let expected = if plan.role == Role::Reporter { (4, 0) } else { (3, 4) };
        assert_eq!((plan.report_to.len(), plan.sum_to.len()), expected);
    }
}

/// The work of a region grows with its instances, not with their square.
#[test]
fn messages_of_a_round_grow_with_the_instances() {
    let messages = |instances: usize| {
        let region = region(instances);
        let plans = region.iter().map(|own| Plan::of(own, &region));
        // A collector answers every instance of its zone in the same round.
        let told = plans.map(|it| {
            let sums = if it.role == Role::Reporter { 1 } else { 0 };
            it.report_to.len() + it.sum_to.len() + sums
        });
        told.sum::<usize>()
    };

    assert!(messages(20) <= 20 * 7 && messages(75) <= 75 * 7, "{}", messages(75));
}

/// Instances that agree on who is alive agree on the collectors, whatever their order.
#[test]
fn collectors_do_not_depend_on_the_order_of_the_instances() {
    let all = region(30);
    let mut reversed = all.clone();
    reversed.reverse();

    let plans = [&all, &reversed].map(|region| Plan::of(&all[4], region));

    assert_eq!(plans[0], plans[1]);
}

#[test]
fn other_collectors_stay_when_the_first_one_dies() {
    let all = region(30);
    let reporter = all.iter().find(|it| Plan::of(it, &all).role == Role::Reporter).unwrap();
    let before = Plan::of(reporter, &all);

    let left: Vec<Member> = all.iter().filter(|it| it.id != before.report_to[0]).cloned().collect();
    let after = Plan::of(reporter, &left);

    let stayed: Vec<_> =
        after.report_to.iter().filter(|it| before.report_to.contains(it)).collect();
    assert_eq!(stayed, before.report_to[1..].iter().collect::<Vec<_>>());
}

/// What each instance hears in the end is what all others have under way, each counted once.
#[test]
fn sums_hold_every_other_instance_once() {
    let region = region(20);
    let own =
        |at: usize| vec![load("engine-1", 1 + at as u32, 100), load(&format!("e-{at}"), 1, 0)];
    let mut collectors: Vec<(Plan, usize, PeerLoads)> = (0..20)
        .map(|at| (Plan::of(&region[at], &region), at, PeerLoads::default()))
        .filter(|it| it.0.role == Role::Collector { place: 0 })
        .collect();

    for (_, at, heard) in &mut collectors {
        let zone = &region[*at].zone;
        let members = (0..20).filter(|other| other != at && region[*other].zone == *zone);
        members.for_each(|other| heard.hear(Time::ZERO, peer(other), 1, sorted(own(other))));
    }
    let sums: Vec<(usize, Vec<LoadReport>)> = collectors
        .iter()
        .map(|(_, at, heard)| {
            heard.sum(&sorted(own(*at)), |source| matches!(source, Source::Zone(_)))
        })
        .collect();
    for (number, (_, at, heard)) in collectors.iter_mut().enumerate() {
        let (instances, loads) = sums[1 - number].clone();
        let other = if region[*at].zone.as_str() == "riga-a" { "riga-b" } else { "riga-a" };
        heard.hear(Time::ZERO, Source::Zone(other.parse().unwrap()), instances, loads);
    }

    let mut told = BTreeSet::new();
    for (_, at, heard) in &collectors {
        let zone = &region[*at].zone;
        for other in (0..20).filter(|other| other != at && region[*other].zone == *zone) {
            let (instances, loads) = heard.sum(&sorted(own(*at)), |source| *source == peer(other));
            let engine = UpstreamKey::of(&"engine-1".parse().unwrap());
            let running = loads.iter().find(|it| it.upstream == engine).unwrap().running;
            let all: u32 = (0..20).map(|at| 1 + at as u32).sum();
            assert_eq!((instances, running), (19, all - (1 + other as u32)));
            told.insert(other);
        }
    }
    assert_eq!(told.len(), 18);
}

fn sorted(mut loads: Vec<LoadReport>) -> Vec<LoadReport> {
    loads.sort_by_key(|it| it.upstream);
    loads
}

#[test]
fn sum_of_a_collector_replaces_single_reports_and_the_other_way_round() {
    let key = UpstreamKey::of(&"engine-1".parse().unwrap());
    let mut heard = PeerLoads::default();

    heard.hear(Time::ZERO, peer(1), 1, vec![load("engine-1", 2, 0)]);
    heard.hear(Time::ZERO, Source::Collector, 9, vec![load("engine-1", 5, 0)]);
    let summed = heard.at(Time::ZERO, key);
    heard.hear(Time::ZERO, peer(1), 1, vec![load("engine-1", 3, 0)]);
    let single = heard.at(Time::ZERO, key);

    assert_eq!((summed.0.running, summed.1), (5, 9));
    assert_eq!((single.0.running, single.1), (3, 1));
}

/// The running total is what a sum over the newest reports gives, in any order of events.
#[test]
fn total_is_that_of_the_newest_reports() {
    use rand::{RngExt, SeedableRng};
    for seed in 0..20 {
        let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        let mut heard = PeerLoads::default();
        let mut naive: Vec<(usize, u64, Vec<LoadReport>)> = Vec::new();
        for step in 0..400_u64 {
            let now = Time::from_millis(step * 20);
            let from = random.random_range(0..6);
            let upstream = format!("engine-{}", random.random_range(0..4));
            let change = load(&upstream, random.random_range(0..5), random.random_range(0..900));
            if random.random_range(0..3) == 0 {
                let loads = vec![change];
                heard.hear(now, peer(from), 1, loads.clone());
                naive.retain(|it| it.0 != from);
                naive.push((from, step * 20, loads));
            } else {
                heard.hear_change(&peer(from), change);
                if let Some(told) = naive.iter_mut().find(|it| it.0 == from) {
                    told.2.retain(|it| it.upstream != change.upstream);
                    told.2.push(change);
                }
            }
            naive.retain(|it| step * 20 - it.1 < 1_200);

            let (at, instances) = heard.at(now, change.upstream);

            let loads = naive.iter().flat_map(|it| &it.2);
            let same = loads.filter(|it| it.upstream == change.upstream);
            let expected = same.fold((0, 0), |sum, it| (sum.0 + it.running, sum.1 + it.unread));
            assert_eq!((at.running, at.unread), expected, "seed {seed}, step {step}");
            assert_eq!(instances, naive.len(), "seed {seed}, step {step}");
        }
    }
}
