//! When an instance sees enough of the others to act alone.

use std::{net::SocketAddr, time::Duration};

use medlarlug_core::{
    gateway::{
        cold::{ColdDetector, Observations, ProcessTimes},
        keeper_view::KeeperView,
        upstreams::Upstreams,
    },
    time::Time,
};

use super::fixture::upstream;

fn keepers(count: u8) -> Vec<SocketAddr> {
    (1..=count).map(|last| SocketAddr::from(([10, 1, 0, last], 7_660))).collect()
}

/// A view of an instance that has just heard the first `heard` of `count` keepers.
fn view(heard: usize, count: u8) -> KeeperView {
    let keepers = keepers(count);
    let mut view = KeeperView::default();
    keepers[..heard].iter().for_each(|keeper| view.record_keeper(Time::ZERO, *keeper));
    view.update(Time::ZERO, &keepers);
    view
}

#[test]
fn all_keepers_but_one_make_a_view_complete() {
    let complete = [(1, 1), (2, 2), (2, 3), (3, 4), (4, 5), (5, 6)];

    assert!(complete.iter().all(|it| view(it.0, it.1).was_complete()));
    assert!(complete.iter().all(|it| !view(it.0 - 1, it.1).was_complete()));
}

#[test]
fn instance_that_knows_no_keeper_has_no_complete_view() {
    assert!(!view(0, 0).was_complete());
}

/// A view of an instance that hears all three keepers from the start to `until`, in milliseconds.
fn heard_until(until: u64) -> KeeperView {
    let keepers = keepers(3);
    let mut view = KeeperView::default();
    for millis in (0..=until).step_by(400) {
        let now = Time::from_millis(millis);
        keepers.iter().for_each(|keeper| view.record_keeper(now, *keeper));
        view.update(now, &keepers);
    }
    view
}

#[test]
fn view_settles_once_others_have_heard_of_the_instance() {
    assert!(!heard_until(2_000).is_settled(Time::from_millis(2_000)));
    assert!(heard_until(2_800).is_settled(Time::from_millis(2_800)));
}

/// Guards against two senders for one cold upstream: others took over from the frozen instance
/// while it was unresponsive.
#[test]
fn instance_that_wakes_from_a_freeze_does_not_act_on_its_old_view() {
    let mut view = heard_until(8_000);
    let resumed = Time::from_millis(13_000);

    let at_once = view.is_settled(resumed);
    keepers(3).iter().for_each(|keeper| view.record_keeper(resumed, *keeper));
    view.update(resumed, &keepers(3));

    assert!(!at_once);
    assert!(!view.is_settled(resumed));
}

#[test]
fn instance_that_hears_one_of_three_keepers_does_not_act_alone() {
    let keepers = keepers(3);
    let mut view = heard_until(4_000);

    for millis in (4_000..=6_000).step_by(400) {
        let now = Time::from_millis(millis);
        view.record_keeper(now, keepers[0]);
        view.update(now, &keepers);
    }

    assert!(!view.is_settled(Time::from_millis(6_000)));
}

#[test]
fn start_is_not_a_stall() {
    let mut view = KeeperView::default();

    view.update(Time::from_millis(600_000), &keepers(3));

    assert_eq!(view.last_resumed(Time::from_millis(600_400)), None);
}

/// Guards against a flood after a freeze: calls that had waited for a paused instance went to an
/// upstream that had turned cold meanwhile, 56 in a second (soak, seed 307).
#[test]
fn upstreams_count_as_cold_after_a_freeze_until_their_next_announcement() {
    let mut upstreams = Upstreams::default();
    let id = "engine-1".parse().unwrap();
    let view = heard_until(4_000);
    upstreams.announce(Time::from_millis(4_000), upstream("engine-1", 1), Duration::ZERO);
    let resumed = Time::from_millis(6_500);
    let when = view.last_resumed(resumed);
    let is_cold = |upstreams: &Upstreams, now| {
        let known = upstreams.get(&id).unwrap();
        ColdDetector::default().is_cold(
            now,
            known,
            Observations::default(),
            ProcessTimes { resumed: when, ..ProcessTimes::default() },
        )
    };

    let at_once = is_cold(&upstreams, resumed);
    let later = Time::from_millis(7_000);
    upstreams.announce(later, upstream("engine-1", 2), Duration::ZERO);
    let anew = is_cold(&upstreams, later);

    assert_eq!((at_once, anew), (true, false));
}

/// Guards against a version of software that only the unheard keeper knows.
#[test]
fn view_is_whole_only_while_all_keepers_are_heard() {
    let keepers = keepers(3);
    let mut view = heard_until(4_000);
    let was_whole = view.is_whole(Time::from_millis(4_000));

    for millis in (4_000..=6_000).step_by(400) {
        let now = Time::from_millis(millis);
        keepers[..2].iter().for_each(|keeper| view.record_keeper(now, *keeper));
        view.update(now, &keepers);
    }

    let now = Time::from_millis(6_000);
    assert_eq!((was_whole, view.is_settled(now), view.is_whole(now)), (true, true, false));
}
