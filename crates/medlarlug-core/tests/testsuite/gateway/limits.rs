//! Limits that apply to the sum over all entry instances, namely those of retries and of requests
//! to cold upstreams, and the health of upstreams.

use std::time::Duration;

use medlarlug_core::{
    gateway::{
        cold::{
            ColdDetector, ColdSendPacer, Evacuations, Observations, ProcessTimes, designated_sender,
        },
        health::{HealthTracker, UpstreamOutcome},
        retry_budget::{InstanceShare, RetryBounds, RetryWindow, Spending},
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

fn share(instances: usize) -> InstanceShare {
    InstanceShare { instances, process_age: None, has_complete_view: true }
}

/// Asserts that retries stay within the bounds in every window. Calls are counted in that window,
/// the one before it and the one half a window before it; the largest count applies.
fn assert_within_bounds(calls: &[Time], retries: &[Time]) {
    let count = |times: &[Time], end: u64| {
        let within = |it: &&Time| {
            **it > Time::from_millis(end.saturating_sub(10_000)) && **it <= Time::from_millis(end)
        };
        times.iter().filter(within).count() as f64
    };
    for end in (10_000..60_000).step_by(100) {
        let retried = count(retries, end);
        let called = [end, end.saturating_sub(5_000), end.saturating_sub(10_000)]
            .map(|end| count(calls, end))
            .into_iter()
            .fold(0.0, f64::max);
        let limit = BOUNDS.ratio * called + BOUNDS.allowance;
        assert!(retried <= limit, "{retried} retries above {limit} at {end} ms");
    }
}

/// All instances make as many retries as they can, in every window of a minute.
#[test]
fn retries_of_all_instances_stay_within_the_bounds() {
    let instances = 7;
    let mut windows = vec![RetryWindow::default(); instances];
    let mut calls: Vec<Time> = Vec::new();
    let mut retries: Vec<Time> = Vec::new();

    for millis in (0..60_000).step_by(20) {
        let now = Time::from_millis(millis);
        for window in &mut windows {
            // Calls stop for a while, as when callers leave.
            if !(20_000..=40_000).contains(&millis) {
                window.record_call(now, BOUNDS);
                calls.push(now);
            }
            if window.try_take_retry(now, BOUNDS, share(instances)) {
                retries.push(now);
            }
        }
    }

    assert_within_bounds(&calls, &retries);
}

/// A burst as long as a window is over when the last retries that it has earned are made.
#[test]
fn retries_after_a_burst_stay_within_the_bounds() {
    let mut windows = vec![RetryWindow::default(); 7];
    let mut calls: Vec<Time> = Vec::new();
    let mut retries: Vec<Time> = Vec::new();

    for millis in (0..60_000).step_by(10) {
        let now = Time::from_millis(millis);
        for window in &mut windows {
            if (20_000..30_000).contains(&millis) || millis % 100 == 0 {
                window.record_call(now, BOUNDS);
                calls.push(now);
            }
            if millis >= 30_000 && window.try_take_retry(now, BOUNDS, share(7)) {
                retries.push(now);
            }
        }
    }

    assert_within_bounds(&calls, &retries);
}

#[test]
fn retries_of_instances_that_restart_again_and_again_stay_within_the_bounds() {
    let mut windows = vec![RetryWindow::default(); 7];
    let mut started = Time::ZERO;
    let mut calls: Vec<Time> = Vec::new();
    let mut retries: Vec<Time> = Vec::new();

    for millis in (0..60_000).step_by(20) {
        let now = Time::from_millis(millis);
        if millis % 1_500 == 0 {
            windows = vec![RetryWindow::default(); 7];
            started = now;
        }
        for window in &mut windows {
            if millis % 100 == 0 {
                window.record_call(now, BOUNDS);
                calls.push(now);
            }
            let share = InstanceShare { process_age: Some(now - started), ..share(7) };
            if window.try_take_retry(now, BOUNDS, share) {
                retries.push(now);
            }
        }
    }

    assert_within_bounds(&calls, &retries);
}

/// Upstreams start to refuse calls after a time without retries, and the instances restart a second
/// later.
#[test]
fn accumulated_retries_are_not_earned_again_after_a_restart() {
    let mut windows = vec![RetryWindow::default(); 7];
    let mut started = None;
    let mut calls: Vec<Time> = Vec::new();
    let mut retries: Vec<Time> = Vec::new();

    for millis in (0..60_000).step_by(20) {
        let now = Time::from_millis(millis);
        if millis >= 30_000 && millis % 3_000 == 1_000 {
            windows = vec![RetryWindow::default(); 7];
            started = Some(now);
        }
        for window in &mut windows {
            window.record_call(now, BOUNDS);
            calls.push(now);
            let share =
                InstanceShare { process_age: started.map(|started| now - started), ..share(7) };
            if millis >= 30_000 && window.try_take_retry(now, BOUNDS, share) {
                retries.push(now);
            }
        }
    }

    assert_within_bounds(&calls, &retries);
}

/// Retries may wait in an upstream's connection queue and arrive together with later ones.
#[test]
fn retries_that_arrive_a_second_late_stay_within_the_bounds() {
    let mut window = RetryWindow::default();
    let mut calls: Vec<Time> = Vec::new();
    let mut retries: Vec<Time> = Vec::new();

    for millis in (0..60_000).step_by(10) {
        let now = Time::from_millis(millis);
        window.record_call(now, BOUNDS);
        calls.push(now);
        if window.try_take_retry(now, BOUNDS, share(1)) {
            retries.push(Time::from_millis(millis.div_ceil(1_000) * 1_000));
        }
    }

    assert_within_bounds(&calls, &retries);
}

#[test]
fn instance_without_a_complete_view_has_no_share_of_the_allowance() {
    let mut window = RetryWindow::default();
    let without_view = InstanceShare { has_complete_view: false, ..share(1) };

    assert!(!window.try_take_retry(Time::ZERO, BOUNDS, without_view));
}

/// Half of the allowance is granted: 54 / 2 / 7.
#[test]
fn service_without_calls_still_has_its_share_of_the_allowance() {
    let mut window = RetryWindow::default();

    let taken = (0..20).filter(|_| window.try_take_retry(Time::ZERO, BOUNDS, share(7))).count();

    assert_eq!(taken, 3);
}

#[test]
fn instances_that_see_the_same_peers_agree_on_one_sender() {
    let upstream = "engine-1".parse().unwrap();
    let peers = instances(5);
    let mut reversed = peers.clone();
    reversed.reverse();

    assert_eq!(designated_sender(&upstream, &peers), designated_sender(&upstream, &reversed));
}

/// Two instances that disagree about which instances are live stay below 1.5 times the rate plus 3.
#[test]
fn two_senders_stay_below_the_limit_of_a_cold_upstream() {
    let (rate, limit) = (2.7, 2.7 * 1.5 + 3.0);
    let upstream = "engine-1".parse().unwrap();
    let mut senders = vec![ColdSendPacer::default(); 2];
    let mut sent: Vec<u64> = Vec::new();

    for millis in 0..5_000 {
        let now = Time::from_millis(millis);
        for cold in &mut senders {
            if cold.may_send(now, &upstream, rate) {
                cold.record_send(now, &upstream, rate);
                sent.push(millis);
            }
        }
    }

    let in_second =
        |from: u64| sent.iter().filter(|at| **at >= from && **at < from + 1_000).count();
    let max = (0..4_000).map(in_second).max().unwrap();
    assert!(max as f64 <= limit, "{max} requests in a second");
}

/// Guards against a flood after an evacuation: engines were cold when their evacuation was
/// withdrawn, and got nine requests in a second before they had announced it.
#[test]
fn upstream_of_a_restored_zone_counts_as_cold_until_its_next_announcement() {
    let mut upstreams = Upstreams::default();
    let mut detector = ColdDetector::default();
    let id = "engine-1".parse().unwrap();
    upstreams.announce(Time::ZERO, upstream("engine-1", 1), Duration::ZERO);

    detector.zone_restored(Time::from_millis(500), &"kochi-a".parse().unwrap());
    let now = Time::from_millis(900);
    let before = detector.is_cold(
        now,
        upstreams.get(&id).unwrap(),
        Observations::default(),
        ProcessTimes::default(),
    );
    upstreams.announce(now, upstream("engine-1", 2), Duration::ZERO);
    let after = detector.is_cold(
        now,
        upstreams.get(&id).unwrap(),
        Observations::default(),
        ProcessTimes::default(),
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

/// An instance that was cut off, or has just started, assumed that a restored zone was warm.
#[test]
fn unseen_evacuation_may_have_been_of_any_zone() {
    let restored =
        Evacuations { round: 2, zones: &[] }.restored_since(Evacuations { round: 0, zones: &[] });

    assert_eq!(restored, None);
}

/// The age of the announcement counts from its arrival at a keeper, so the announcement may seem
/// slightly newer than it is.
#[test]
fn announcement_from_before_a_zone_was_restored_does_not_make_an_upstream_warm() {
    let mut upstreams = Upstreams::default();
    let mut detector = ColdDetector::default();
    detector.zone_restored(Time::from_millis(500), &"kochi-a".parse().unwrap());

    let now = Time::from_millis(900);
    upstreams.announce(now, upstream("engine-1", 1), Duration::from_millis(250));

    let known = upstreams.get(&"engine-1".parse().unwrap()).unwrap();
    assert!(detector.is_cold(now, known, Observations::default(), ProcessTimes::default()));
}

#[test]
fn unreachable_upstream_counts_as_cold_until_its_next_announcement() {
    let mut upstreams = Upstreams::default();
    let mut health = HealthTracker::default();
    let id = "engine-1".parse().unwrap();
    upstreams.announce(Time::ZERO, upstream("engine-1", 1), Duration::ZERO);

    health.record(Time::from_millis(500), &id, UpstreamOutcome::Unreachable);

    let known = upstreams.get(&id).unwrap();
    let now = Time::from_millis(1_500);
    assert!(ColdDetector::default().is_cold(
        now,
        known,
        health.observations(&id),
        ProcessTimes::default()
    ));
}

/// The upstream may have restarted behind a network partition, and an instance that has just
/// started has not seen it.
#[test]
fn upstream_without_announcements_counts_as_cold_unless_it_keeps_answering() {
    let mut upstreams = Upstreams::default();
    let mut health = HealthTracker::default();
    let id = "engine-1".parse().unwrap();
    upstreams.announce(Time::ZERO, upstream("engine-1", 1), Duration::ZERO);
    let known = upstreams.get(&id).unwrap();
    let now = Time::from_millis(5_000);
    let is_cold = |health: &HealthTracker| {
        ColdDetector::default().is_cold(
            now,
            known,
            health.observations(&id),
            ProcessTimes::default(),
        )
    };

    let unanswered = is_cold(&health);
    health.record(Time::from_millis(3_000), &id, UpstreamOutcome::Answered);
    let answering = is_cold(&health);
    health.record(Time::from_millis(4_000), &id, UpstreamOutcome::Broken);
    let broken = is_cold(&health);

    assert_eq!((unanswered, answering, broken), (true, false, true));
}

/// An upstream crashed and came back cold while no keeper heard it. An instance that had just
/// started had seen no connection break and assumed that the upstream was warm (soak, seeds 523, 9103
/// and 92001).
#[test]
fn upstream_that_was_not_heard_since_an_instance_started_counts_as_cold_to_it_unless_vouched_for() {
    let mut upstreams = Upstreams::default();
    let id = "engine-1".parse().unwrap();
    upstreams.announce(Time::ZERO, upstream("engine-1", 1), Duration::ZERO);
    let known = upstreams.get(&id).unwrap();
    let started = Time::from_millis(1_000);
    let is_cold = |millis, health: &HealthTracker, started| {
        let (now, process) = (Time::from_millis(millis), ProcessTimes { started, resumed: None });
        ColdDetector::default().is_cold(now, known, health.observations(&id), process)
    };
    let mut answering_health = HealthTracker::default();
    answering_health.record(Time::from_millis(2_700), &id, UpstreamOutcome::Answered);

    let mut vouched_health = HealthTracker::default();
    vouched_health.record_vouch(Time::from_millis(1_200), &id);
    let mut ended_health = vouched_health.clone();
    ended_health.record_crash(Time::from_millis(1_300), &id);

    let at_once = is_cold(1_100, &HealthTracker::default(), started);
    let missed = is_cold(2_792, &HealthTracker::default(), started);
    let answering = is_cold(2_792, &answering_health, started);
    let to_an_older_instance = is_cold(2_792, &HealthTracker::default(), Time::ZERO);
    let vouched = [1_300, 2_792].map(|millis| is_cold(millis, &vouched_health, started));
    let ended = is_cold(1_400, &ended_health, started);

    assert_eq!((at_once, missed, ended), (true, true, true));
    assert_eq!((answering, to_an_older_instance), (false, false));
    assert_eq!(vouched, [false, false]);
}

/// The first call within the cold rate was answered, and nine more followed at once.
#[test]
fn answer_of_an_upstream_that_counts_as_cold_does_not_make_it_warm() {
    let mut upstreams = Upstreams::default();
    let mut health = HealthTracker::default();
    let id = "engine-1".parse().unwrap();
    upstreams.announce(Time::ZERO, upstream("engine-1", 1), Duration::ZERO);

    health.record(Time::from_millis(5_000), &id, UpstreamOutcome::AnsweredCold);

    let now = Time::from_millis(5_100);
    let known = upstreams.get(&id).unwrap();
    assert!(ColdDetector::default().is_cold(
        now,
        known,
        health.observations(&id),
        ProcessTimes::default()
    ));
}

#[test]
fn upstream_that_refuses_is_avoided_for_a_while() {
    let mut health = HealthTracker::default();
    let id = "engine-1".parse().unwrap();

    health.record(Time::ZERO, &id, UpstreamOutcome::Refused);

    assert!(health.is_avoided(Time::from_millis(100), &id));
    assert!(!health.is_avoided(Time::from_millis(200), &id));
}

/// Guards against calls that all go to a full upstream: it refuses at once and therefore looks
/// idle.
#[test]
fn upstream_that_keeps_refusing_is_avoided_for_longer() {
    let mut health = HealthTracker::default();
    let id = "engine-1".parse().unwrap();

    health.record(Time::ZERO, &id, UpstreamOutcome::Refused);
    health.record(Time::from_millis(200), &id, UpstreamOutcome::Refused);

    assert!(health.is_avoided(Time::from_millis(450), &id));
}

#[test]
fn upstream_that_answers_is_no_longer_avoided() {
    let mut health = HealthTracker::default();
    let id = "engine-1".parse().unwrap();
    health.record(Time::ZERO, &id, UpstreamOutcome::Unreachable);

    health.record(Time::from_millis(10), &id, UpstreamOutcome::Answered);

    assert!(!health.is_avoided(Time::from_millis(20), &id));
}

#[test]
fn upstream_that_fails_a_part_of_its_calls_is_not_avoided() {
    let mut health = HealthTracker::default();
    let id = "engine-1".parse().unwrap();

    for _ in 0..20 {
        health.record(Time::ZERO, &id, UpstreamOutcome::Failed);
    }

    assert!(!health.is_avoided(Time::ZERO, &id));
    assert!(health.failure_rate(&id) > 0.6);
}

#[test]
fn retry_that_reached_no_upstream_is_not_paid_for_again() {
    let mut spending = Spending::default();
    spending.record_arrival();

    spending.pay();
    // The connection did not open.
    let is_covered = spending.is_covered();
    spending.record_arrival();

    assert!(is_covered);
    assert!(!spending.is_covered());
}
