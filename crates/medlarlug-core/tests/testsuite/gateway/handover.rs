//! Calls that one region hands over to another, under equal and different tables.

use medlarlug_core::gateway::{
    handover::Handover,
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
