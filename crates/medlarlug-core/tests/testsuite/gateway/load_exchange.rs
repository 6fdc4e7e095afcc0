//! Which instances exchange their loads, and the resulting totals.

use std::collections::BTreeSet;

use medlarlug_core::{
    gateway::{
        load_exchange::{ExchangePlan, Member, Role},
        peer_loads::{LoadReport, PeerLoads, ReportSource, UpstreamKey},
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

fn load(upstream: &str, running: u32, prefill_tokens: u32) -> LoadReport {
    let upstream = UpstreamKey::new(&upstream.parse().unwrap());
    LoadReport { upstream, running, prefill_tokens, urgent_tokens: 0, queued_tokens: 0 }
}

fn peer(at: usize) -> ReportSource {
    ReportSource::Peer(member(at, "riga-a").id)
}

#[test]
fn few_instances_report_to_each_other() {
    let region = region(8);

    let plans: Vec<ExchangePlan> =
        region.iter().map(|own| ExchangePlan::new(own, &region)).collect();

    assert!(plans.iter().all(|it| it.role == Role::Direct && it.report_to.len() == 7));
}

#[test]
fn instances_of_a_large_region_report_to_the_collectors_of_their_zone() {
    let region = region(75);

    for own in &region {
        let plan = ExchangePlan::new(own, &region);

        let zone_of = |id: &InstanceId| &region.iter().find(|it| it.id == *id).unwrap().zone;
        assert!(plan.report_to.iter().all(|id| *zone_of(id) == own.zone));
        assert!(plan.aggregate_to.iter().all(|id| *zone_of(id) != own.zone));
        let expected = if plan.role == Role::Reporter { (4, 0) } else { (3, 4) };
        assert_eq!((plan.report_to.len(), plan.aggregate_to.len()), expected);
    }
}

/// The number of messages grows with the instances, not with their square.
#[test]
fn messages_of_a_round_grow_with_the_instances() {
    let messages = |instances: usize| {
        let region = region(instances);
        let plans = region.iter().map(|own| ExchangePlan::new(own, &region));
        // A collector answers every instance of its zone in the same round.
        let messages = plans.map(|it| {
            let aggregates = if it.role == Role::Reporter { 1 } else { 0 };
            it.report_to.len() + it.aggregate_to.len() + aggregates
        });
        messages.sum::<usize>()
    };

    assert!(messages(20) <= 20 * 7 && messages(75) <= 75 * 7, "{}", messages(75));
}

/// Instances that agree on the live instances agree on the collectors, whatever their order.
#[test]
fn collectors_do_not_depend_on_the_order_of_the_instances() {
    let all = region(30);
    let mut reversed = all.clone();
    reversed.reverse();

    let plans = [&all, &reversed].map(|region| ExchangePlan::new(&all[4], region));

    assert_eq!(plans[0], plans[1]);
}

#[test]
fn other_collectors_stay_when_the_first_one_dies() {
    let all = region(30);
    let reporter =
        all.iter().find(|it| ExchangePlan::new(it, &all).role == Role::Reporter).unwrap();
    let before = ExchangePlan::new(reporter, &all);

    let left: Vec<Member> = all.iter().filter(|it| it.id != before.report_to[0]).cloned().collect();
    let after = ExchangePlan::new(reporter, &left);

    let stayed: Vec<_> =
        after.report_to.iter().filter(|it| before.report_to.contains(it)).collect();
    assert_eq!(stayed, before.report_to[1..].iter().collect::<Vec<_>>());
}

/// In the end, each instance knows the in-flight load of all others, each counted once.
#[test]
fn aggregates_include_every_other_instance_once() {
    let region = region(20);
    let own =
        |at: usize| vec![load("engine-1", 1 + at as u32, 100), load(&format!("e-{at}"), 1, 0)];
    let mut collectors: Vec<(ExchangePlan, usize, PeerLoads)> = (0..20)
        .map(|at| (ExchangePlan::new(&region[at], &region), at, PeerLoads::default()))
        .filter(|it| it.0.role == Role::Collector { place: 0 })
        .collect();

    for (_, at, peer_loads) in &mut collectors {
        let zone = &region[*at].zone;
        let members = (0..20).filter(|other| other != at && region[*other].zone == *zone);
        members.for_each(|other| {
            peer_loads.apply_report(Time::ZERO, peer(other), 1, sorted(own(other)))
        });
    }
    let aggregates: Vec<(usize, Vec<LoadReport>)> = collectors
        .iter()
        .map(|(_, at, peer_loads)| {
            peer_loads
                .aggregate(&sorted(own(*at)), |source| matches!(source, ReportSource::Zone(_)))
        })
        .collect();
    for (number, (_, at, peer_loads)) in collectors.iter_mut().enumerate() {
        let (instances, loads) = aggregates[1 - number].clone();
        let other = if region[*at].zone.as_str() == "riga-a" { "riga-b" } else { "riga-a" };
        peer_loads.apply_report(
            Time::ZERO,
            ReportSource::Zone(other.parse().unwrap()),
            instances,
            loads,
        );
    }

    let mut covered = BTreeSet::new();
    for (_, at, peer_loads) in &collectors {
        let zone = &region[*at].zone;
        for other in (0..20).filter(|other| other != at && region[*other].zone == *zone) {
            let (instances, loads) =
                peer_loads.aggregate(&sorted(own(*at)), |source| *source == peer(other));
            let engine = UpstreamKey::new(&"engine-1".parse().unwrap());
            let running = loads.iter().find(|it| it.upstream == engine).unwrap().running;
            let all: u32 = (0..20).map(|at| 1 + at as u32).sum();
            assert_eq!((instances, running), (19, all - (1 + other as u32)));
            covered.insert(other);
        }
    }
    assert_eq!(covered.len(), 18);
}

fn sorted(mut loads: Vec<LoadReport>) -> Vec<LoadReport> {
    loads.sort_by_key(|it| it.upstream);
    loads
}

#[test]
fn aggregate_of_a_collector_replaces_single_reports_and_vice_versa() {
    let key = UpstreamKey::new(&"engine-1".parse().unwrap());
    let mut peer_loads = PeerLoads::default();

    peer_loads.apply_report(Time::ZERO, peer(1), 1, vec![load("engine-1", 2, 0)]);
    peer_loads.apply_report(Time::ZERO, ReportSource::Collector, 9, vec![load("engine-1", 5, 0)]);
    let aggregated = peer_loads.load_at(Time::ZERO, key);
    peer_loads.apply_report(Time::ZERO, peer(1), 1, vec![load("engine-1", 3, 0)]);
    let single = peer_loads.load_at(Time::ZERO, key);

    assert_eq!((aggregated.0.running, aggregated.1), (5, 9));
    assert_eq!((single.0.running, single.1), (3, 1));
}

/// The running total equals the sum over the newest reports, in any order of events.
#[test]
fn total_is_that_of_the_newest_reports() {
    use rand::{RngExt, SeedableRng};
    for seed in 0..20 {
        let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        let mut peer_loads = PeerLoads::default();
        let mut naive: Vec<(usize, u64, Vec<LoadReport>)> = Vec::new();
        for step in 0..400_u64 {
            let now = Time::from_millis(step * 20);
            let from = random.random_range(0..6);
            let upstream = format!("engine-{}", random.random_range(0..4));
            let change = load(&upstream, random.random_range(0..5), random.random_range(0..900));
            if random.random_range(0..3) == 0 {
                let loads = vec![change];
                peer_loads.apply_report(now, peer(from), 1, loads.clone());
                naive.retain(|it| it.0 != from);
                naive.push((from, step * 20, loads));
            } else {
                peer_loads.apply_change(&peer(from), change);
                if let Some(report) = naive.iter_mut().find(|it| it.0 == from) {
                    report.2.retain(|it| it.upstream != change.upstream);
                    report.2.push(change);
                }
            }
            naive.retain(|it| step * 20 - it.1 < 1_200);

            let (at, instances) = peer_loads.load_at(now, change.upstream);

            let loads = naive.iter().flat_map(|it| &it.2);
            let same = loads.filter(|it| it.upstream == change.upstream);
            let expected =
                same.fold((0, 0), |sum, it| (sum.0 + it.running, sum.1 + it.prefill_tokens));
            assert_eq!((at.running, at.prefill_tokens), expected, "seed {seed}, step {step}");
            assert_eq!(instances, naive.len(), "seed {seed}, step {step}");
        }
    }
}
