//! Deployments that the tests share.

use std::path::Path;

use medlarlug_core::{
    fingerprint::Fingerprint,
    release::{
        Item,
        item::{Link, Model, Policy, Residency, Service, Team},
    },
};
use test_support::{
    deployment::{CALLER_KEY, Deployment},
    id, region, team,
};

/// Two regions of one zone each, three keepers and two entry instances.
pub fn two_regions() -> Deployment {
    let binaries = Path::new(env!("CARGO_BIN_EXE_medlarlug")).parent().expect("a folder");
    Deployment::new(binaries, &[("riga-a", "riga"), ("liepaja-a", "kurzeme")])
        .keeper("keeper-1", "riga-a")
        .keeper("keeper-2", "riga-a")
        .keeper("keeper-3", "liepaja-a")
        .entry("entry-1", "riga-a")
        .entry("entry-2", "liepaja-a")
}

/// The items of a first release note, with one team that has the given residency.
pub fn items(residency: Residency) -> Vec<Item> {
    let link = |from: &str, to: &str| {
        Item::Link(Link {
            from: id(from),
            to: id(to),
            delay_ms: 1,
            price: 0.1.try_into().expect("a price"),
        })
    };
    let model = |name: &str| {
        Item::Model(Model {
            id: id(name),
            versions: vec![id("v1")],
            adapters: Vec::new(),
            residency: Residency::Regions(vec![id("riga"), id("kurzeme")]),
        })
    };
    let survey = Team {
        keys: vec![Fingerprint::of(CALLER_KEY.as_bytes())],
        residency,
        rate: id("100000/s"),
        burst: id("100000"),
        ..team("survey", "riga")
    };
    vec![
        region("riga", &["riga-a"]),
        region("kurzeme", &["liepaja-a"]),
        link("riga", "kurzeme"),
        link("kurzeme", "riga"),
        model("medlar"),
        Item::Service(Service {
            id: id("jobdesk"),
            idempotent: false,
            outcomes: false,
            residency: Residency::Anywhere,
        }),
        Item::Policy(Policy {
            latency_weight: 1.0.try_into().expect("a price"),
            cost_weight: 1.0.try_into().expect("a price"),
            deadline_ms: 10_000,
        }),
        Item::Team(survey),
    ]
}
