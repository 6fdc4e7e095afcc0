//! Calls that one region hands over to another, under equal and different tables.

use medlarlug_core::gateway::{
    handover::{Attempts, Handover},
    table::{Route, TableVersion},
};

use super::fixture::{route, service, table, target};

fn handover(version: u64, attempts: u32) -> Handover {
    Handover {
        version: TableVersion(version),
        route: Route { attempts, ..route("/mend/") },
        service: service("scribe"),
    }
}

/// Found by a hunted day: a call ran on three upstreams although its route allows two, because the
/// second region counted its attempts anew.
#[test]
fn attempts_left_bind_under_the_same_table() {
    let own = table(7, vec![route("/mend/")]).unwrap();

    let found = handover(7, 1).resolve(&own, "kochi.example", "/mend/1", 0.5);

    assert_eq!(found.unwrap().0.attempts, 1);
}

#[test]
fn newer_own_table_decides_about_the_service() {
    let moved = Route { targets: vec![target("desk", 1)], ..route("/mend/") };
    let own = table(8, vec![moved]).unwrap();

    let found = handover(7, 2).resolve(&own, "kochi.example", "/mend/1", 0.5);

    assert_eq!(found.unwrap().1, service("desk"));
}

#[test]
fn newer_table_of_the_sender_decides_about_the_service() {
    let moved = Route { targets: vec![target("desk", 1)], ..route("/mend/") };
    let own = table(6, vec![moved]).unwrap();

    let found = handover(7, 2).resolve(&own, "kochi.example", "/mend/1", 0.5);

    assert_eq!(found.unwrap().1, service("scribe"));
}

#[test]
fn route_that_the_newer_own_table_dropped_is_not_served() {
    let own = table(8, Vec::new()).unwrap();

    assert!(handover(7, 2).resolve(&own, "kochi.example", "/mend/1", 0.5).is_none());
}

/// The other region's head told of one run, and its stream went on at two more upstreams.
#[test]
fn stream_that_another_region_broke_off_may_have_used_every_attempt() {
    let mut attempts = Attempts::new(3);
    attempts.ran(1);

    attempts.use_all();

    assert_eq!(attempts.left(), 0);
}

#[test]
fn route_without_attempts_allows_one() {
    assert_eq!(Attempts::new(0).left(), 1);
}
