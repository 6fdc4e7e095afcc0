//! When an instance sees enough of the others.

use std::{net::SocketAddr, time::Duration};

use medlarlug_core::{
    gateway::{
        cold::{Observations, Process, Suspicions},
        keeper_view::View,
        upstreams::Upstreams,
    },
    time::Time,
};

use super::fixture::upstream;

fn keepers(count: u8) -> Vec<SocketAddr> {
    (1..=count).map(|last| SocketAddr::from(([10, 1, 0, last], 7_660))).collect()
}

/// A view of an instance that has heard the first `heard` of `count` keepers just now.
fn view(heard: usize, count: u8) -> View {
    let keepers = keepers(count);
    let mut view = View::default();
    keepers[..heard].iter().for_each(|keeper| view.hear(Time::ZERO, *keeper));
    view.look(Time::ZERO, &keepers);
    view
}

#[test]
fn all_keepers_but_one_make_a_view_complete() {
    let complete = [(1, 1), (2, 2), (2, 3), (3, 4), (4, 5), (5, 6)];

    assert!(complete.iter().all(|it| view(it.0, it.1).was_complete()));
    assert!(complete.iter().all(|it| !view(it.0 - 1, it.1).was_complete()));
}

#[test]
fn instance_that_knows_no_keeper_sees_nobody() {
    assert!(!view(0, 0).was_complete());
}

/// A view of an instance that hears all of three keepers from the start to `until`, in milliseconds.
fn heard_until(until: u64) -> View {
    let keepers = keepers(3);
    let mut view = View::default();
    for millis in (0..=until).step_by(400) {
        let now = Time::from_millis(millis);
        keepers.iter().for_each(|keeper| view.hear(now, *keeper));
        view.look(now, &keepers);
    }
    view
}

#[test]
fn view_settles_once_others_have_heard_of_the_instance() {
    assert!(!heard_until(2_000).is_settled(Time::from_millis(2_000)));
    assert!(heard_until(2_800).is_settled(Time::from_millis(2_800)));
}

/// Both were senders of a cold upstream: others took the sleeper's place while it was silent.
#[test]
fn instance_that_wakes_from_a_freeze_does_not_act_on_its_old_view() {
    let mut view = heard_until(8_000);
    let woken = Time::from_millis(13_000);

    let at_once = view.is_settled(woken);
    keepers(3).iter().for_each(|keeper| view.hear(woken, *keeper));
    view.look(woken, &keepers(3));

    assert!(!at_once);
    assert!(!view.is_settled(woken));
}

#[test]
fn instance_that_hears_one_of_three_keepers_does_not_act_alone() {
    let keepers = keepers(3);
    let mut view = heard_until(4_000);

    for millis in (4_000..=6_000).step_by(400) {
        let now = Time::from_millis(millis);
        view.hear(now, keepers[0]);
        view.look(now, &keepers);
    }

    assert!(!view.is_settled(Time::from_millis(6_000)));
}

#[test]
fn start_is_no_stall() {
    let mut view = View::default();

    view.look(Time::from_millis(600_000), &keepers(3));

    assert_eq!(view.resumed(Time::from_millis(600_400)), None);
}

/// The soak, seed 307: calls that had waited for a paused instance went to an upstream that had
/// turned cold meanwhile, 56 in a second.
#[test]
fn upstreams_count_as_cold_after_a_freeze_until_they_are_heard_anew() {
    let mut upstreams = Upstreams::default();
    let id = "engine-1".parse().unwrap();
    let view = heard_until(4_000);
    upstreams.announce(Time::from_millis(4_000), upstream("engine-1", 1), Duration::ZERO);
    let resumed = Time::from_millis(6_500);
    let when = view.resumed(resumed);
    let is_cold = |upstreams: &Upstreams, now| {
        let known = upstreams.get(&id).unwrap();
        Suspicions::default().is_cold(
            now,
            known,
            Observations::default(),
            Process { resumed: when, ..Process::default() },
        )
    };

    let at_once = is_cold(&upstreams, resumed);
    let later = Time::from_millis(7_000);
    upstreams.announce(later, upstream("engine-1", 2), Duration::ZERO);
    let anew = is_cold(&upstreams, later);

    assert_eq!((at_once, anew), (true, false));
}
