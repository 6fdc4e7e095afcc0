//! Age of messages that a process reads after a stall.

use std::time::Duration;

use medlarlug_core::{
    gateway::{
        cold::{ColdDetector, Observations, ProcessTimes},
        stall_detector::StallDetector,
        upstreams::{Upstream, Upstreams},
    },
    time::Time,
};

use super::fixture::upstream;

/// A process that ticks until second 4, stalls, and resumes at second 6.
fn stalled() -> StallDetector {
    let mut detector = StallDetector::new(Duration::from_millis(300));
    for millis in (0..=4_000).step_by(50) {
        detector.tick(Time::from_millis(millis));
    }
    detector.tick(Time::from_millis(6_000));
    detector
}

#[test]
fn queued_messages_are_at_most_as_old_as_the_stall() {
    let mut detector = stalled();
    for millis in (6_050..=7_000).step_by(50) {
        detector.tick(Time::from_millis(millis));
    }

    assert_eq!(stalled().max_message_age(Time::from_millis(6_010)), Duration::from_millis(2_010));
    assert_eq!(detector.max_message_age(Time::from_millis(7_000)), Duration::ZERO);
}

/// Guards against a keeper that resumes and forwards an old announcement as new: it was made before
/// the upstream turned cold (soak, seed 523).
#[test]
fn announcement_that_waited_for_a_frozen_keeper_does_not_make_an_upstream_warm() {
    let mut keeper = Upstreams::default();
    let mut cold_detector = ColdDetector::default();
    cold_detector.zone_restored(Time::from_millis(5_000), &"kochi-a".parse().unwrap());

    let now = Time::from_millis(6_010);
    keeper.announce_local(now, upstream("engine-1", 1), stalled().max_message_age(now));

    let known = keeper.get(&"engine-1".parse().unwrap()).unwrap();
    assert!(known.is_local);
    assert!(cold_detector.is_cold(now, known, Observations::default(), ProcessTimes::default()));
}

/// Guards against a cold time that seems to end early: the upstream got 13 requests in a second
/// before the announced cold time was over (soak, seed 604).
#[test]
fn cold_time_that_is_read_late_does_not_end_early() {
    let mut keeper = Upstreams::default();
    let cold = Upstream { cold: Duration::from_secs(2), ..upstream("engine-1", 1) };

    let now = Time::from_millis(6_010);
    keeper.announce_local(now, cold, stalled().max_message_age(now));

    let known = keeper.get(&"engine-1".parse().unwrap()).unwrap();
    assert!(known.may_be_cold(now + Duration::from_millis(1_990)));
}
