//! Entry instances that are cut off from upstreams while callers and other instances reach them.

use std::{
    thread,
    time::{Duration, Instant},
};

use assert_matches::assert_matches;
use medlarlug_core::release::{
    Item, RawNote,
    item::{Residency, Team},
};
use serde_json::{Value, json};
use test_support::{
    deployment::{Deployment, call, wait_for},
    id, note,
    relay::Cut,
    stream::Ending,
    survey_team,
};

use crate::processes::fixture::{add_engines, items, revision, state, two_regions};

/// Time after the begin of a cut from which on callers have to be served.
const CONTACT_TIME: Duration = Duration::from_secs(5);
/// Requests and bookings that are sent to an instance.
const CALLS: usize = 10;

/// Two entry instances in the zone riga-a, with engines and a plain service behind relays.
fn with_upstream_relays() -> Deployment {
    let deployment = add_engines(two_regions().entry("entry-3", "riga-a"), 2, 200);
    let deployment = deployment.service("jobdesk-1", "riga-a", "jobdesk");
    let deployment = deployment.with_upstream_relays().start();
    deployment.configure(items(Residency::Anywhere));
    ["entry-1", "entry-3"].iter().for_each(|it| deployment.wait_upstreams(it, 3));
    deployment
}

/// The number of requests and bookings that are answered, of [`CALLS`] each.
fn count_served(deployment: &Deployment, entry: &str, round: &str) -> usize {
    let is_served = |number: usize| {
        let completed = deployment.complete(entry, "medlar", &format!("shift {round} {number}"));
        let booked = deployment.book(entry, &format!("{entry}-{round}-{number}"), "{}");
        usize::from(completed.status == 200) + usize::from(booked.status == 200)
    };
    (0..CALLS).map(is_served).sum()
}

#[test]
fn callers_of_an_instance_that_cannot_connect_to_upstreams_are_served() {
    let deployment = with_upstream_relays();
    let cut = [deployment.pid("entry-1")];
    deployment.upstream_relays.iter().for_each(|it| it.1.cut(&cut, Cut::Closed));
    let cut_at = Instant::now();
    count_served(&deployment, "entry-1", "early");
    thread::sleep(CONTACT_TIME.saturating_sub(cut_at.elapsed()));

    let at_cut = count_served(&deployment, "entry-1", "late");
    let at_other = count_served(&deployment, "entry-3", "late");

    assert_eq!(at_other, 2 * CALLS);
    assert!(3 * at_cut >= 2 * at_other, "{at_cut} served\n{}", deployment.log("entry-1"));
    for number in 0..CALLS {
        assert!(deployment.run_count(&format!("entry-1-late-{number}")) <= 1, "ran twice");
    }
}

/// An entry instance in riga with one engine of the given speed behind a relay.
fn with_engine(speed: u32) -> Deployment {
    let deployment = add_engines(two_regions(), 1, speed).with_upstream_relays().start();
    deployment.configure(items(Residency::Anywhere));
    deployment.wait_upstreams("entry-1", 1);
    deployment
}

/// Forbids the team `survey` the region riga, and waits until entry-1 knows it.
fn forbid_riga(deployment: &Deployment) {
    let base = revision(deployment, "entry-1");
    let survey = Team { residency: Residency::Regions(vec![id("kurzeme")]), ..survey_team("riga") };
    let stricter = RawNote { changed: vec![Item::Team(survey)], ..note(base, Vec::new()) };
    assert_eq!(deployment.apply("entry-1", &stricter).status, 200);
    wait_for("the note", || revision(deployment, "entry-1") > base);
}

fn total_runs(deployment: &Deployment) -> Value {
    call("GET", deployment.upstreams[0].control, "/runs", &[], "").json["total"].clone()
}

/// The note comes in force while connections to the engine deliver nothing, before the request is sent again.
#[test]
fn request_is_not_sent_again_to_a_region_that_its_team_has_lost_since() {
    let deployment = with_engine(200);
    let relay = &deployment.upstream_relays[0].1;

    relay.cut(&[deployment.pid("entry-1")], Cut::Silent);
    let answer = thread::scope(|scope| {
        let waiting = scope.spawn(|| deployment.complete("entry-1", "medlar", "shift"));
        wait_for("the request to be sent", || {
            deployment.operator_get("entry-1", "/dump").json["process"]["attempts"] == 1
        });
        forbid_riga(&deployment);
        relay.heal();
        waiting.join().expect("no panic")
    });

    assert_eq!(total_runs(&deployment), 0, "{}", deployment.log("entry-1"));
    assert_eq!(answer.status, 503, "{}", answer.text);
    assert_eq!(answer.json["outcome"], "not_run", "{}", answer.text);
}

/// The engine has run the request, and its answer is lost with the connection.
#[test]
fn request_that_ran_before_its_team_lost_the_region_is_not_reported_as_not_run() {
    let deployment = with_engine(100);
    let relay = &deployment.upstream_relays[0].1;
    let body = r#"{ "model": "medlar", "prompt": "shift", "max_tokens": 800 }"#;

    let answer = thread::scope(|scope| {
        let waiting = scope
            .spawn(|| deployment.caller_request("entry-1", "POST", "/v1/completions", &[], body));
        wait_for("the request to run", || state(&deployment, "engine-1")["running"] == 1);
        relay.blackhole_open();
        forbid_riga(&deployment);
        waiting.join().expect("no panic")
    });

    assert_eq!(total_runs(&deployment), 1, "{}", deployment.log("entry-1"));
    assert_eq!(answer.json["outcome"], "failed", "{}", answer.text);
}

#[test]
fn stream_is_not_resumed_in_a_region_that_its_team_has_lost_since() {
    let deployment = with_engine(100);
    let mut stream = deployment.open_stream("entry-1", "shift", 300);
    stream.read_tokens(20);

    forbid_riga(&deployment);
    deployment.inject_fault("engine-1", &json!({ "kind": "cut_open_connections" }));
    let streamed = stream.finish();

    assert_matches!(streamed.ending, Ending::Failed(_), "{}", deployment.log("entry-1"));
}
