//! Zones isolated from the others: connections stay open and deliver nothing, or the instance is stalled.

use std::net::SocketAddr;

use medlarlug_core::release::{
    Item, RawNote,
    item::{Residency, Team},
};
use nix::sys::signal::Signal;
use serde_json::Value;
use test_support::{
    caller::directory_entries,
    deployment::{Deployment, call, wait_for},
    note, team,
};

use crate::processes::fixture::{items, revision, two_regions};

/// Configuration lease: how long an instance forwards to other regions without a confirmed revision.
const LEASE_MS: u64 = 8_000;

/// An engine in each of two regions, and two keepers of three in riga-a.
fn deployment() -> Deployment {
    let deployment = two_regions().engine("engine-1", "riga-a", "medlar").engine(
        "engine-2",
        "liepaja-a",
        "medlar",
    );
    let deployment = deployment.with_relays().start();
    deployment.configure(items(Residency::Anywhere));
    ["entry-1", "entry-2"].iter().for_each(|it| deployment.wait_upstreams(it, 1));
    deployment
}

/// Whether an instance is in liepaja-a.
fn is_isolated(instance: &str) -> bool {
    matches!(instance, "entry-2" | "keeper-3")
}

fn dump(deployment: &Deployment, entry: &str) -> Value {
    deployment.operator_get(entry, "/dump").json
}

fn runs(deployment: &Deployment, upstream: &str) -> Value {
    let upstream = deployment.upstreams.iter().find(|it| it.id == upstream).expect("an upstream");
    call("GET", upstream.control, "/runs", &[], "").json
}

/// The state of `peer` in the membership of `entry`.
fn state_of(deployment: &Deployment, entry: &str, peer: &str) -> String {
    let peers = deployment.operator_get(entry, "/status").json["peers"].clone();
    let peers = peers.as_array().cloned().unwrap_or_default();
    let found = peers.iter().find(|it| it["instance"] == peer);
    found.and_then(|it| it["state"].as_str()).unwrap_or_default().to_owned()
}

/// Waits until each entry instance sees the other in `state`.
fn wait_states(deployment: &Deployment, state: fn(&str) -> bool) {
    wait_for("both entry instances to see each other in the expected state", || {
        state(&state_of(deployment, "entry-1", "entry-2"))
            && state(&state_of(deployment, "entry-2", "entry-1"))
    });
}

/// A note that adds the team `name`.
fn next_note(base: u64, name: &str) -> RawNote {
    let added = Team { rate: "5/s".parse().expect("a rate"), ..team(name, "riga") };
    note(base, vec![Item::Team(added)])
}

#[test]
fn isolated_zone_serves_its_callers_forwards_to_no_region_and_converges_after_the_heal() {
    let mut deployment = deployment();
    wait_states(&deployment, |it| it == "up");
    let before = revision(&deployment, "entry-2");

    deployment.network().partition_messages(is_isolated, true);
    wait_states(&deployment, |it| it != "up");
    let local = ["entry-1", "entry-2"].map(|it| deployment.complete(it, "medlar", "near"));
    let accepted = deployment.apply("entry-1", &next_note(before, "loft"));
    wait_for("the end of the configuration lease", || {
        dump(&deployment, "entry-2")["confirmed_ms"].as_u64().is_some_and(|it| it > LEASE_MS)
    });
    let late = deployment.complete("entry-2", "medlar", "late");
    deployment.kill("engine-2");
    let ran = runs(&deployment, "engine-1");
    let remote = deployment.complete("entry-2", "medlar", "far");
    let ran_after = runs(&deployment, "engine-1");
    let during = revision(&deployment, "entry-2");
    deployment.network().partition_messages(is_isolated, false);
    wait_states(&deployment, |it| it == "up");
    wait_for("the revision in the healed zone", || {
        revision(&deployment, "entry-2") == revision(&deployment, "entry-1")
    });

    local.iter().for_each(|it| assert_eq!(it.status, 200, "{}", it.text));
    assert_eq!(late.status, 200, "{}", late.text);
    assert_eq!(accepted.status, 200, "{}", accepted.text);
    assert_eq!(remote.json["outcome"], "not_run", "{}", remote.text);
    assert_eq!(ran, ran_after);
    assert_eq!(during, before);
    assert!(revision(&deployment, "entry-2") > before);
    wait_for("a forwarded request to be answered after the heal", || {
        deployment.complete("entry-2", "medlar", "healed").status == 200
    });
}

/// After a stall the instance counts as just started, and the other region's one as the only ready one.
#[test]
fn stalled_instance_sends_no_caller_to_a_region_that_the_team_forbids() {
    let deployment = two_regions().start();
    deployment.configure(items(Residency::Home));
    let is_settled = |it: &str| dump(&deployment, it)["process"]["limits_settled"] == true;
    wait_for("readiness", || is_settled("entry-1") && is_settled("entry-2"));
    wait_for("the other region in the directory", || listed(&deployment).len() == 2);
    let riga = deployment.get("entry-1").callers;

    wait_for("a stall to be noticed", || {
        deployment.signal("entry-1", Signal::SIGSTOP);
        wait_for("silence", || state_of(&deployment, "entry-2", "entry-1") == "dead");
        deployment.signal("entry-1", Signal::SIGCONT);
        (0..100).any(|_| !is_settled("entry-1"))
    });
    let mut lists = Vec::new();
    wait_for("readiness after the stall", || {
        lists.push(listed(&deployment));
        is_settled("entry-1")
    });

    assert!(lists.iter().all(|it| it.first() == Some(&riga)), "{riga}: {lists:?}");
}

/// The instances in the directory of entry-1.
fn listed(deployment: &Deployment) -> Vec<SocketAddr> {
    directory_entries(&deployment.caller_request("entry-1", "GET", "/v1/entries", &[], "").json)
}
