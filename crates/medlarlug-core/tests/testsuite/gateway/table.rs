//! Route tables: which are rejected, and which route serves a path.

use assert_matches::assert_matches;
use medlarlug_core::gateway::table::{HostHomes, Route, TableError};

use super::fixture::{region, route, table, target};

#[test]
fn longest_prefix_serves_a_path() {
    let table = table(1, vec![route("/mend/"), route("/mend/nets/")]).unwrap();

    let found = table.route("kochi.example", "/mend/nets/7").map(|it| it.prefix.as_str());
    let shorter = table.route("kochi.example", "/mend/7").map(|it| it.prefix.as_str());

    assert_eq!((found, shorter), (Some("/mend/nets/"), Some("/mend/")));
}

#[test]
fn host_is_compared_without_case() {
    let table = table(1, vec![route("/mend/")]).unwrap();

    assert!(table.route("Kochi.Example", "/mend/7").is_some());
}

#[test]
fn path_without_the_prefix_has_no_route() {
    let table = table(1, vec![route("/mend/")]).unwrap();

    assert!(table.route("kochi.example", "/mending/7").is_none());
    assert!(table.route("kollam.example", "/mend/7").is_none());
}

#[test]
fn unknown_service_is_rejected() {
    let invalid = Route { targets: vec![target("loft", 1)], ..route("/mend/") };

    assert_matches!(table(1, vec![invalid]), Err(TableError::UnknownService { .. }));
}

#[test]
fn two_routes_with_one_host_and_prefix_are_rejected() {
    let routes = vec![route("/mend/"), route("/mend/")];

    assert_matches!(table(1, routes), Err(TableError::DuplicateRoute { .. }));
}

#[test]
fn weights_that_add_up_to_zero_are_rejected() {
    let invalid = Route { targets: vec![target("scribe", 0)], ..route("/mend/") };

    assert_matches!(table(1, vec![invalid]), Err(TableError::ZeroWeight { .. }));
}

#[test]
fn timeout_of_zero_is_rejected() {
    let invalid = Route { timeout: std::time::Duration::ZERO, ..route("/mend/") };

    assert_matches!(table(1, vec![invalid]), Err(TableError::ZeroTimeout { .. }));
}

#[test]
fn weights_split_the_calls() {
    let split = Route { targets: vec![target("scribe", 90), target("desk", 10)], ..route("/a/") };

    let picked = [0.0, 0.89, 0.91, 0.999].map(|point| split.target_at(point).service.to_string());

    assert_eq!(picked, ["scribe", "scribe", "desk", "desk"]);
}

#[test]
fn target_without_weight_is_never_picked() {
    let split = Route { targets: vec![target("scribe", 0), target("desk", 1)], ..route("/a/") };

    let picked = [0.0, 0.5, 1.0].map(|point| split.target_at(point).service.to_string());

    assert_eq!(picked, ["desk", "desk", "desk"]);
}

/// Callers of one route were led to the home regions of another route of their host.
#[test]
fn callers_of_a_host_are_led_to_the_homes_that_its_routes_have_in_common() {
    let homes = |names: &[&str]| names.iter().map(|it| region(it)).collect::<Vec<_>>();
    let with_homes = |prefix, names| Route { homes: homes(names), ..route(prefix) };
    let common = [with_homes("/a/", &["kochi", "kollam"]), with_homes("/b/", &["kollam"])];
    let apart = [with_homes("/a/", &["kochi"]), with_homes("/b/", &["kollam"]), route("/c/")];

    let common = table(1, common.to_vec()).unwrap();
    let apart = table(1, apart.to_vec()).unwrap();

    let expected = |names| HostHomes { ranks: vec![homes(names)] };
    assert_eq!(common.homes_of("kochi.example"), Some(&expected(&["kollam"])));
    assert_eq!(apart.homes_of("Kochi.Example"), Some(&expected(&["kochi", "kollam"])));
}

/// A keeper with an older table took a host that a newer one adds for one without homes.
#[test]
fn homes_of_a_host_without_routes_are_not_known() {
    let table = table(1, vec![route("/a/")]).unwrap();

    assert_eq!(table.homes_of("kollam.example"), None);
    assert_eq!(table.homes_of("kochi.example"), Some(&HostHomes::default()));
}
