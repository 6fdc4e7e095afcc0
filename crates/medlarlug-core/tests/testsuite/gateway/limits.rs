//! Limits that are sums over all entry instances: retries and requests to cold upstreams; and the
//! health of upstreams.

use std::time::Duration;

use medlarlug_core::{
    gateway::{
        cold::{ColdSends, Evacuations, Observations, Process, Suspicions, sender},
        health::{CallEnd, Healths},
        retry_budget::{RetryBounds, RetryWindow, Share, Spending},
        upstreams::Upstreams,
    },
    ids::{InstanceId, ZoneId},
    time::Time,
};

use super::fixture::upstream;

const BOUNDS: RetryBounds =
    RetryBounds { ratio: 0.2, allowance: 54.0, window: Duration::from_secs(10) };

fn instances(count: usize) -> Vec<InstanceId> {
    (0..count).map(|at| format!("entry-{at}").parse().unwrap()).collect()
}

fn share(instances: usize) -> Share {
    Share { instances, age: None, has_seen_all: true }
}

/// Asserts that repeats stay within the bounds in every window: calls count in that window, the one
/// before it or the one half a window before it, whichever has most.
fn assert_within_bounds(calls: &[Time], repeats: &[Time]) {
    let count = |times: &[Time], end: u64| {
        let within = |it: &&Time| {
            **it > Time::from_millis(end.saturating_sub(10_000)) && **it <= Time::from_millis(end)
        };
        times.iter().filter(within).count() as f64
    };
    for end in (10_000..60_000).step_by(100) {
        let repeated = count(repeats, end);
        let called = [end, end.saturating_sub(5_000), end.saturating_sub(10_000)]
            .map(|end| count(calls, end))
            .into_iter()
            .fold(0.0, f64::max);
        let limit = BOUNDS.ratio * called + BOUNDS.allowance;
        assert!(repeated <= limit, "{repeated} repeats above {limit} at {end} ms");
    }
}

/// All instances take as many repeats as they can, in every window of a minute.
#[test]
fn repeats_of_all_instances_stay_within_the_bounds() {
    let instances = 7;
    let mut windows = vec![RetryWindow::default(); instances];
    let mut calls: Vec<Time> = Vec::new();
    let mut repeats: Vec<Time> = Vec::new();

    for millis in (0..60_000).step_by(20) {
        let now = Time::from_millis(millis);
        for window in &mut windows {
            // Calls stop for a while, as when callers leave.
            if !(20_000..=40_000).contains(&millis) {
                window.count(now, BOUNDS);
                calls.push(now);
            }
            if window.take(now, BOUNDS, share(instances)) {
                repeats.push(now);
            }
        }
    }

    assert_within_bounds(&calls, &repeats);
}

/// A burst as long as a window is over when the last repeats that it has earned are taken.
#[test]
fn repeats_after_a_burst_stay_within_the_bounds() {
    let mut windows = vec![RetryWindow::default(); 7];
    let mut calls: Vec<Time> = Vec::new();
    let mut repeats: Vec<Time> = Vec::new();

    for millis in (0..60_000).step_by(10) {
        let now = Time::from_millis(millis);
        for window in &mut windows {
            if (20_000..30_000).contains(&millis) || millis % 100 == 0 {
                window.count(now, BOUNDS);
                calls.push(now);
            }
            if millis >= 30_000 && window.take(now, BOUNDS, share(7)) {
                repeats.push(now);
            }
        }
    }

    assert_within_bounds(&calls, &repeats);
}

#[test]
fn repeats_of_instances_that_restart_again_and_again_stay_within_the_bounds() {
    let mut windows = vec![RetryWindow::default(); 7];
    let mut started = Time::ZERO;
    let mut calls: Vec<Time> = Vec::new();
    let mut repeats: Vec<Time> = Vec::new();

    for millis in (0..60_000).step_by(20) {
        let now = Time::from_millis(millis);
        if millis % 1_500 == 0 {
            windows = vec![RetryWindow::default(); 7];
            started = now;
        }
        for window in &mut windows {
            if millis % 100 == 0 {
                window.count(now, BOUNDS);
                calls.push(now);
            }
            let share = Share { age: Some(now - started), ..share(7) };
            if window.take(now, BOUNDS, share) {
                repeats.push(now);
            }
        }
    }

    assert_within_bounds(&calls, &repeats);
}

/// Upstreams begin to refuse calls after a calm time, and the instances restart a second later.
#[test]
fn repeats_that_were_saved_up_are_not_earned_again_after_a_restart() {
    let mut windows = vec![RetryWindow::default(); 7];
    let mut started = None;
    let mut calls: Vec<Time> = Vec::new();
    let mut repeats: Vec<Time> = Vec::new();

    for millis in (0..60_000).step_by(20) {
        let now = Time::from_millis(millis);
        if millis >= 30_000 && millis % 3_000 == 1_000 {
            windows = vec![RetryWindow::default(); 7];
            started = Some(now);
        }
        for window in &mut windows {
            window.count(now, BOUNDS);
            calls.push(now);
            let share = Share { age: started.map(|started| now - started), ..share(7) };
            if millis >= 30_000 && window.take(now, BOUNDS, share) {
                repeats.push(now);
            }
        }
    }

    assert_within_bounds(&calls, &repeats);
}

/// Repeats may wait in an upstream's queue of connections and arrive with later ones.
#[test]
fn repeats_that_arrive_a_second_late_stay_within_the_bounds() {
    let mut window = RetryWindow::default();
    let mut calls: Vec<Time> = Vec::new();
    let mut repeats: Vec<Time> = Vec::new();

    for millis in (0..60_000).step_by(10) {
        let now = Time::from_millis(millis);
        window.count(now, BOUNDS);
        calls.push(now);
        if window.take(now, BOUNDS, share(1)) {
            repeats.push(Time::from_millis(millis.div_ceil(1_000) * 1_000));
        }
    }

    assert_within_bounds(&calls, &repeats);
}

#[test]
fn instance_that_has_not_seen_the_others_has_no_share_of_the_allowance() {
    let mut window = RetryWindow::default();
    let unseen = Share { has_seen_all: false, ..share(1) };

    assert!(!window.take(Time::ZERO, BOUNDS, unseen));
}

/// Half of the allowance is handed out: 54 / 2 / 7.
#[test]
fn service_without_calls_still_has_its_share_of_the_allowance() {
    let mut window = RetryWindow::default();

    let taken = (0..20).filter(|_| window.take(Time::ZERO, BOUNDS, share(7))).count();

    assert_eq!(taken, 3);
}

#[test]
fn instances_that_see_the_same_peers_agree_on_one_sender() {
    let upstream = "engine-1".parse().unwrap();
    let peers = instances(5);
    let mut reversed = peers.clone();
    reversed.reverse();

    assert_eq!(sender(&upstream, &peers), sender(&upstream, &reversed));
}

/// Two instances that disagree about who is alive stay below 1.5 times the rate and 3 more.
#[test]
fn two_senders_stay_below_the_limit_of_a_cold_upstream() {
    let (rate, limit) = (2.7, 2.7 * 1.5 + 3.0);
    let upstream = "engine-1".parse().unwrap();
    let mut senders = vec![ColdSends::default(); 2];
    let mut sent: Vec<u64> = Vec::new();

    for millis in 0..5_000 {
        let now = Time::from_millis(millis);
        for cold in &mut senders {
            if cold.may_send(now, &upstream, rate) {
                cold.sent(now, &upstream, rate);
                sent.push(millis);
            }
        }
    }

    let in_second =
        |from: u64| sent.iter().filter(|at| **at >= from && **at < from + 1_000).count();
    let most = (0..4_000).map(in_second).max().unwrap();
    assert!(most as f64 <= limit, "{most} requests in a second");
}

/// Found by a hunted day: engines were cold when their evacuation was withdrawn, and got nine
/// requests in a second before they had announced it.
#[test]
fn upstream_of_a_restored_zone_counts_as_cold_until_it_is_heard_anew() {
    let mut upstreams = Upstreams::default();
    let mut suspicions = Suspicions::default();
    let id = "engine-1".parse().unwrap();
    upstreams.announce(Time::ZERO, upstream("engine-1", 1), Duration::ZERO);

    suspicions.restored(Time::from_millis(500), &"kochi-a".parse().unwrap());
    let now = Time::from_millis(900);
    let before = suspicions.is_cold(
        now,
        upstreams.get(&id).unwrap(),
        Observations::default(),
        Process::default(),
    );
    upstreams.announce(now, upstream("engine-1", 2), Duration::ZERO);
    let after = suspicions.is_cold(
        now,
        upstreams.get(&id).unwrap(),
        Observations::default(),
        Process::default(),
    );

    assert_eq!((before, after), (true, false));
}

fn zones(names: &[&str]) -> Vec<ZoneId> {
    names.iter().map(|name| name.parse().unwrap()).collect()
}

#[test]
fn restored_zones_are_those_that_were_evacuated_before() {
    let (before, after) = (zones(&["kochi-a", "kollam-a"]), zones(&["kochi-a"]));

    let restored = Evacuations { round: 3, zones: &after }
        .restored_since(Evacuations { round: 2, zones: &before });

    assert_eq!(restored, Some(zones(&["kollam-a"])));
}

/// An instance that was cut off, or has just started, took a restored zone for warm.
#[test]
fn evacuation_that_came_and_went_unseen_may_have_been_of_any_zone() {
    let restored =
        Evacuations { round: 2, zones: &[] }.restored_since(Evacuations { round: 0, zones: &[] });

    assert_eq!(restored, None);
}

/// Its age counts from its arrival at a keeper, so it may seem a little younger than it is.
#[test]
fn announcement_from_before_a_zone_was_restored_does_not_make_an_upstream_warm() {
    let mut upstreams = Upstreams::default();
    let mut suspicions = Suspicions::default();
    suspicions.restored(Time::from_millis(500), &"kochi-a".parse().unwrap());

    let now = Time::from_millis(900);
    upstreams.announce(now, upstream("engine-1", 1), Duration::from_millis(250));

    let known = upstreams.get(&"engine-1".parse().unwrap()).unwrap();
    assert!(suspicions.is_cold(now, known, Observations::default(), Process::default()));
}

#[test]
fn unreachable_upstream_counts_as_cold_until_it_is_heard_anew() {
    let mut upstreams = Upstreams::default();
    let mut healths = Healths::default();
    let id = "engine-1".parse().unwrap();
    upstreams.announce(Time::ZERO, upstream("engine-1", 1), Duration::ZERO);

    healths.ended(Time::from_millis(500), &id, CallEnd::Unreachable);

    let known = upstreams.get(&id).unwrap();
    let now = Time::from_millis(1_500);
    assert!(Suspicions::default().is_cold(
        now,
        known,
        healths.observations(&id),
        Process::default()
    ));
}

/// It may have started anew behind a cut, and an instance that has just started has not seen how.
#[test]
fn upstream_that_is_no_longer_heard_counts_as_cold_unless_it_goes_on_answering() {
    let mut upstreams = Upstreams::default();
    let mut healths = Healths::default();
    let id = "engine-1".parse().unwrap();
    upstreams.announce(Time::ZERO, upstream("engine-1", 1), Duration::ZERO);
    let known = upstreams.get(&id).unwrap();
    let now = Time::from_millis(5_000);
    let is_cold = |healths: &Healths| {
        Suspicions::default().is_cold(now, known, healths.observations(&id), Process::default())
    };

    let unseen = is_cold(&healths);
    healths.ended(Time::from_millis(3_000), &id, CallEnd::Answered);
    let answering = is_cold(&healths);
    healths.ended(Time::from_millis(4_000), &id, CallEnd::Broken);
    let broken = is_cold(&healths);

    assert_eq!((unseen, answering, broken), (true, false, true));
}

/// Soak, seeds 523 and 9103: an upstream crashed and came back cold while no keeper heard it, and an
/// instance that had just started, which had seen no connection break, took it for warm.
#[test]
fn upstream_that_has_missed_an_announcement_counts_as_cold_to_an_instance_that_started_since() {
    let mut upstreams = Upstreams::default();
    let id = "engine-1".parse().unwrap();
    upstreams.announce(Time::ZERO, upstream("engine-1", 1), Duration::ZERO);
    let known = upstreams.get(&id).unwrap();
    let started = Time::from_millis(1_000);
    let is_cold = |millis, healths: &Healths, started| {
        let (now, process) = (Time::from_millis(millis), Process { started, resumed: None });
        Suspicions::default().is_cold(now, known, healths.observations(&id), process)
    };
    let mut serving = Healths::default();
    serving.ended(Time::from_millis(2_700), &id, CallEnd::Answered);

    let regular = is_cold(2_200, &Healths::default(), started);
    let missed = is_cold(2_792, &Healths::default(), started);
    let answering = is_cold(2_792, &serving, started);
    let to_an_older_instance = is_cold(2_792, &Healths::default(), Time::ZERO);

    assert_eq!((regular, missed), (false, true));
    assert_eq!((answering, to_an_older_instance), (false, false));
}

/// The first call that its cold rate let through was answered, and nine more followed at once.
#[test]
fn answer_of_an_upstream_that_counts_as_cold_does_not_make_it_warm() {
    let mut upstreams = Upstreams::default();
    let mut healths = Healths::default();
    let id = "engine-1".parse().unwrap();
    upstreams.announce(Time::ZERO, upstream("engine-1", 1), Duration::ZERO);

    healths.ended(Time::from_millis(5_000), &id, CallEnd::AnsweredCold);

    let now = Time::from_millis(5_100);
    let known = upstreams.get(&id).unwrap();
    assert!(Suspicions::default().is_cold(
        now,
        known,
        healths.observations(&id),
        Process::default()
    ));
}

#[test]
fn upstream_that_refuses_rests_and_returns() {
    let mut healths = Healths::default();
    let id = "engine-1".parse().unwrap();

    healths.ended(Time::ZERO, &id, CallEnd::Refused);

    assert!(healths.is_avoided(Time::from_millis(100), &id));
    assert!(!healths.is_avoided(Time::from_millis(200), &id));
}

/// Found on the first standard days: a full upstream looks idle, so that every call went there and
/// was refused in turn.
#[test]
fn upstream_that_goes_on_refusing_rests_longer() {
    let mut healths = Healths::default();
    let id = "engine-1".parse().unwrap();

    healths.ended(Time::ZERO, &id, CallEnd::Refused);
    healths.ended(Time::from_millis(200), &id, CallEnd::Refused);

    assert!(healths.is_avoided(Time::from_millis(450), &id));
}

#[test]
fn answer_ends_the_rest_of_an_upstream() {
    let mut healths = Healths::default();
    let id = "engine-1".parse().unwrap();
    healths.ended(Time::ZERO, &id, CallEnd::Unreachable);

    healths.ended(Time::from_millis(10), &id, CallEnd::Answered);

    assert!(!healths.is_avoided(Time::from_millis(20), &id));
}

#[test]
fn upstream_that_fails_a_part_of_its_calls_is_not_avoided() {
    let mut healths = Healths::default();
    let id = "engine-1".parse().unwrap();

    for _ in 0..20 {
        healths.ended(Time::ZERO, &id, CallEnd::Failed);
    }

    assert!(!healths.is_avoided(Time::ZERO, &id));
    assert!(healths.failures(&id) > 0.6);
}

#[test]
fn repeat_that_reached_nobody_is_not_paid_for_again() {
    let mut spending = Spending::default();
    spending.arrived();

    spending.pay();
    // The connection did not open.
    let is_covered = spending.is_covered();
    spending.arrived();

    assert!(is_covered);
    assert!(!spending.is_covered());
}
