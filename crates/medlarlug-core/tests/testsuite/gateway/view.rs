//! When an instance sees enough of the others.

use std::net::SocketAddr;

use medlarlug_core::{gateway::view::View, time::Time};

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
