//! Orders reach engines from one issuer at a time, under increasing fencing tokens.

use std::path::Path;

use medlarlug_core::{
    orders::{FencingToken, Order, OrderKind},
    release::{
        Item, RawNote,
        item::{Model, Residency},
    },
};
use nix::sys::signal::Signal;
use test_support::{
    deployment::{Deployment, call, wait_for},
    id, note,
};

use crate::processes::fixture::items;

const ENTRIES: [&str; 2] = ["entry-1", "entry-2"];

fn one_region() -> Deployment {
    let binaries = Path::new(env!("CARGO_BIN_EXE_medlarlug")).parent().expect("a folder");
    let deployment = Deployment::new(binaries, &[("riga-a", "riga"), ("liepaja-a", "kurzeme")])
        .keeper("keeper-1", "riga-a")
        .keeper("keeper-2", "riga-a")
        .keeper("keeper-3", "liepaja-a")
        .entry("entry-1", "riga-a")
        .entry("entry-2", "riga-a")
        .engine("engine-1", "riga-a", "medlar")
        .start();
    deployment.configure(items(Residency::Anywhere));
    deployment.wait_upstreams("entry-1", 1);
    deployment
}

/// A note that sets the versions of the model `medlar`.
fn versions(names: &[&str], base: u64) -> RawNote {
    let model = Model {
        id: id("medlar"),
        versions: names.iter().map(|it| id(it)).collect(),
        adapters: Vec::new(),
        residency: Residency::Regions(vec![id("riga"), id("kurzeme")]),
    };
    RawNote { changed: vec![Item::Model(model)], ..note(base, Vec::new()) }
}

fn apply(deployment: &Deployment, at: &str, names: &[&str]) {
    wait_for("the release note to be accepted", || {
        let base = deployment.operator_get(at, "/status").json["revision"].as_u64();
        deployment.apply(at, &versions(names, base.expect("a revision"))).status == 200
    });
}

/// The orders that the engine has received, oldest first.
fn received_orders(deployment: &Deployment) -> Vec<Order> {
    let engine = deployment.upstreams.iter().find(|it| it.id == "engine-1").expect("the engine");
    let orders = call("GET", engine.control, "/orders", &[], "").json;
    serde_json::from_value(orders).expect("orders")
}

fn is_load(order: &Order, name: &str) -> bool {
    matches!(&order.task.kind, OrderKind::Load { version, .. } if version.as_str() == name)
}

fn wait_load(deployment: &Deployment, name: &str) -> FencingToken {
    let mut token = FencingToken::default();
    wait_for("the order to load", || {
        let orders = received_orders(deployment);
        let found = orders.iter().find(|it| is_load(it, name));
        token = found.map(|it| it.fence).unwrap_or_default();
        found.is_some()
    });
    token
}

#[test]
fn new_version_is_loaded_once_and_the_next_issuer_continues_under_a_higher_term() {
    let deployment = one_region();

    apply(&deployment, "entry-1", &["v1", "v2"]);
    let first = wait_load(&deployment, "v2");
    let sent = |it: &&str| deployment.log(it).contains("order sent");
    let issuer = ENTRIES.into_iter().find(sent).expect("an issuer");
    let other = ENTRIES.into_iter().find(|it| *it != issuer).expect("another instance");
    deployment.signal(issuer, Signal::SIGKILL);
    apply(&deployment, other, &["v3", "v1"]);
    let second = wait_load(&deployment, "v3");
    wait_for("the withdrawn version to be unloaded", || {
        let unload = |it: &Order| matches!(&it.task.kind, OrderKind::Unload { version, .. } if version.as_str() == "v2");
        received_orders(&deployment).iter().any(unload)
    });

    assert!(second.term > first.term, "{first} {second}");
    let orders = received_orders(&deployment);
    assert!(orders.is_sorted_by(|a, b| a.fence < b.fence), "{orders:?}");
    for name in ["v2", "v3"] {
        assert_eq!(orders.iter().filter(|it| is_load(it, name)).count(), 1, "{name}: {orders:?}");
    }
}
