//! Deployments and helpers that the tests share.

use std::path::Path;

use medlarlug::standin::answer::expected;
use medlarlug_core::release::{
    Item,
    item::{Link, Model, Residency, Team},
};
use serde_json::Value;
use test_support::{
    booking_service,
    deployment::{Deployment, call, wait_for},
    id, policy, region,
    stream::{Ending, StreamedAnswer},
    survey_team,
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

/// The items of the first release note; its one team has the given residency.
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
    let survey = Team { residency, ..survey_team("riga") };
    vec![
        region("riga", &["riga-a"]),
        region("kurzeme", &["liepaja-a"]),
        link("riga", "kurzeme"),
        link("kurzeme", "riga"),
        model("medlar"),
        booking_service("jobdesk"),
        policy(),
        Item::Team(survey),
    ]
}

/// Starts [`two_regions`] with `count` engines in riga-a, each generating `speed` tokens per second.
pub fn with_engines(count: usize, speed: u32) -> Deployment {
    let deployment = add_engines(two_regions(), count, speed).start();
    deployment.configure(items(Residency::Anywhere));
    deployment.wait_upstreams("entry-1", count);
    deployment
}

/// Adds `count` engines that generate `speed` tokens per second to the zone riga-a.
pub fn add_engines(deployment: Deployment, count: usize, speed: u32) -> Deployment {
    let names: Vec<String> = (1..=count).map(|it| format!("engine-{it}")).collect();
    let mut deployment =
        names.iter().fold(deployment, |it, name| it.engine(name, "riga-a", "medlar"));
    for it in &mut deployment.upstreams {
        it.extra[0] = format!("speed: {speed}");
    }
    deployment
}

/// The state that an upstream reports at its control port.
pub fn state(deployment: &Deployment, upstream: &str) -> Value {
    let upstream = deployment.upstreams.iter().find(|it| it.id == upstream).expect("an upstream");
    call("GET", upstream.control, "/state", &[], "").json
}

/// Sum of a counter over its labels.
pub fn counter(deployment: &Deployment, entry: &str, name: &str) -> u64 {
    let text = deployment.operator_get(entry, "/metrics").text;
    let lines = text.lines().filter(|it| it.starts_with(name));
    lines.filter_map(|it| it.rsplit(' ').next()?.parse::<u64>().ok()).sum()
}

/// Asserts that an answer is complete and has the expected text.
pub fn assert_complete(streamed: &StreamedAnswer, prompt: &str, tokens: usize) {
    assert_eq!(streamed.ending, Ending::Complete, "{streamed:?}");
    assert_eq!(streamed.text, expected(prompt, Some(tokens)));
}

/// The replication groups of [`two_regions`].
pub const GROUPS: [&str; 3] = ["configuration", "home-kurzeme", "home-riga"];

/// Sends a booking until it is answered; returns the answer.
pub fn book_until_answered(deployment: &Deployment, entry: &str, key: &str) -> String {
    let mut text = String::new();
    wait_for("an answer to the booking", || {
        let reply = deployment.book(entry, key, "{}");
        text = reply.text;
        reply.status == 200
    });
    text
}

/// The keepers of [`two_regions`].
pub const KEEPERS: [&str; 3] = ["keeper-1", "keeper-2", "keeper-3"];

/// The active revision of an instance; 0 while it has none.
pub fn revision(deployment: &Deployment, instance: &str) -> u64 {
    let status = deployment.operator_get(instance, "/status").json;
    status["revision"].as_u64().unwrap_or_default()
}

/// The replication groups in the status of a keeper.
pub fn groups(deployment: &Deployment, keeper: &str) -> Vec<Value> {
    let groups = deployment.operator_get(keeper, "/status").json["groups"].clone();
    groups.as_array().cloned().unwrap_or_default()
}

/// The status of one replication group at a keeper; null while the keeper does not answer.
pub fn group(deployment: &Deployment, keeper: &str, name: &str) -> Value {
    let mut groups = groups(deployment, keeper).into_iter();
    groups.find(|it| it["group"] == name).unwrap_or_default()
}

/// Waits until a keeper leads a group; returns the keeper.
pub fn wait_leader(deployment: &Deployment, name: &str) -> String {
    let mut found = None;
    wait_for("a leader", || {
        let leads = |it: &&str| group(deployment, it, name)["role"] == "leader";
        found = KEEPERS.into_iter().find(leads);
        found.is_some()
    });
    found.expect("a leader").to_owned()
}
