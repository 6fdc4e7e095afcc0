//! What a process reads after it was stalled.

use std::time::Duration;

use medlarlug_core::{
    gateway::{
        cold::{Observations, Process, Suspicions},
        stall_detector::Stall,
        upstreams::{Upstream, Upstreams},
    },
    time::Time,
};

use super::fixture::upstream;

/// A process that has its turns until second 4, stalls, and resumes at second 6.
fn stalled() -> Stall {
    let mut stall = Stall::new(Duration::from_millis(300));
    for millis in (0..=4_000).step_by(50) {
        stall.turn(Time::from_millis(millis));
    }
    stall.turn(Time::from_millis(6_000));
    stall
}

#[test]
fn messages_that_queued_are_as_old_as_the_stall_at_most() {
    let mut stall = stalled();
    for millis in (6_050..=7_000).step_by(50) {
        stall.turn(Time::from_millis(millis));
    }

    assert_eq!(stalled().age(Time::from_millis(6_010)), Duration::from_millis(2_010));
    assert_eq!(stall.age(Time::from_millis(7_000)), Duration::ZERO);
}

/// The soak, seed 523: a keeper that was paused read an announcement from before the upstream had
/// turned cold, and told it as new.
#[test]
fn announcement_that_waited_for_a_frozen_keeper_does_not_make_an_upstream_warm() {
    let mut keeper = Upstreams::default();
    let mut suspicions = Suspicions::default();
    suspicions.restored(Time::from_millis(5_000), &"kochi-a".parse().unwrap());

    let now = Time::from_millis(6_010);
    keeper.announce_here(now, upstream("engine-1", 1), stalled().age(now));

    let known = keeper.get(&"engine-1".parse().unwrap()).unwrap();
    assert!(known.is_local);
    assert!(suspicions.is_cold(now, known, Observations::default(), Process::default()));
}

/// The soak, seed 604: 13 requests in a second, before the cold time that was told had ended.
#[test]
fn cold_time_that_is_read_late_ends_no_earlier() {
    let mut keeper = Upstreams::default();
    let cold = Upstream { cold: Duration::from_secs(2), ..upstream("engine-1", 1) };

    let now = Time::from_millis(6_010);
    keeper.announce_here(now, cold, stalled().age(now));

    let known = keeper.get(&"engine-1".parse().unwrap()).unwrap();
    assert!(known.may_be_cold(now + Duration::from_millis(1_990)));
}
