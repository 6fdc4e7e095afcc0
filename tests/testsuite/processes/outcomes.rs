//! Outcomes of bookings are recorded eventually, even if the home group is unavailable for a while.

use std::{fs, process::Command, thread};

use medlarlug_core::release::{Item, item::Residency};
use nix::sys::signal::Signal;
use serde_json::json;
use test_support::deployment::{Deployment, OPERATOR_KEY, call, wait_for};

use crate::processes::fixture::{items, two_regions};

fn with_service(items: Vec<Item>) -> Deployment {
    let deployment = two_regions().service("desk", "riga-a", "jobdesk").start();
    deployment.configure(items);
    deployment.wait_upstreams("entry-1", 1);
    deployment
}

/// Items whose service reports the outcome of an earlier call.
fn items_with_outcomes() -> Vec<Item> {
    let mut items = items(Residency::Anywhere);
    for it in &mut items {
        if let Item::Service(service) = it {
            service.reports_outcomes = true;
        }
    }
    items
}

fn revision(deployment: &Deployment, id: &str) -> Option<u64> {
    deployment.operator_get(id, "/status").json["revision"].as_u64()
}

#[test]
fn outcome_reported_without_a_majority_is_recorded_once_there_is_one() {
    let deployment = with_service(items(Residency::Anywhere));
    deployment
        .inject_fault("desk", &json!({ "kind": "late_answer", "count": 1, "delay_ms": 1_000 }));

    let first = thread::scope(|scope| {
        let first = scope.spawn(|| deployment.book("entry-1", "parcel-7", "{}"));
        wait_for("the run of the booking", || deployment.run_count("parcel-7") == 1);
        deployment.signal("keeper-2", Signal::SIGSTOP);
        deployment.signal("keeper-3", Signal::SIGSTOP);
        first.join().expect("the caller")
    });
    deployment.signal("keeper-2", Signal::SIGCONT);
    deployment.signal("keeper-3", Signal::SIGCONT);
    let mut again = deployment.book("entry-2", "parcel-7", "{}");
    wait_for("the recorded outcome", || {
        again = deployment.book("entry-2", "parcel-7", "{}");
        again.status == 200
    });

    assert_eq!(first.status, 200, "{}", first.text);
    assert_eq!(first.text, again.text);
    assert_eq!(deployment.run_count("parcel-7"), 1);
}

#[test]
fn service_that_reports_outcomes_is_queried_after_a_lost_answer() {
    let deployment = with_service(items_with_outcomes());
    deployment.inject_fault("desk", &json!({ "kind": "lose_answer", "count": 1 }));

    let first = deployment.book("entry-1", "parcel-7", "{}");
    let again = deployment.book("entry-2", "parcel-7", "{}");

    assert_eq!((first.status, again.status), (200, 200), "{} {}", first.text, again.text);
    assert_eq!(first.text, again.text);
    assert_eq!(deployment.run_count("parcel-7"), 1);
}

/// The id of the request that ran under a key, from the ledger of the service.
fn request_of_run(deployment: &Deployment, key: &str) -> Option<String> {
    let control = deployment.upstreams[0].control;
    let runs = call("GET", control, "/runs", &[], "").json;
    let run = runs["runs"].as_array()?.iter().find(|it| it["key"] == key)?.clone();
    run["answer"]["id"].as_str().map(str::to_owned)
}

/// The output of `medlarlug request`.
fn printed_record(deployment: &Deployment, entry: &str, request: &str) -> String {
    let address = deployment.get(entry).operators.to_string();
    let key = deployment.settings(entry).with_file_name("operator.key");
    fs::write(&key, OPERATOR_KEY).expect("a key file");
    let output = Command::new(env!("CARGO_BIN_EXE_medlarlug"))
        .args(["request", "--at", &address, "--json", request])
        .env("MEDLARLUG_KEY_FILE", key)
        .output()
        .expect("the command runs");
    String::from_utf8_lossy(&output.stdout).into_owned()
}

#[test]
fn booking_of_a_killed_owner_is_resolved_by_an_instance_that_queries_the_service() {
    let deployment =
        two_regions().entry("entry-3", "riga-a").service("desk", "riga-a", "jobdesk").start();
    deployment.configure(items_with_outcomes());
    deployment.wait_upstreams("entry-1", 1);
    deployment.wait_upstreams("entry-3", 1);
    deployment
        .inject_fault("desk", &json!({ "kind": "late_answer", "count": 1, "delay_ms": 60_000 }));

    thread::scope(|scope| {
        let lost = scope.spawn(|| deployment.book("entry-1", "parcel-7", "{}"));
        wait_for("the run", || request_of_run(&deployment, "parcel-7").is_some());
        deployment.signal("entry-1", Signal::SIGKILL);
        assert_eq!(lost.join().expect("the caller").status, 0);
    });
    let request = request_of_run(&deployment, "parcel-7").expect("the run");
    wait_for("the outcome reported by the service", || {
        printed_record(&deployment, "entry-3", &request).contains("\"outcome\": \"answered\"")
    });
    let mut again = deployment.book("entry-2", "parcel-7", "{}");
    wait_for("the recorded outcome", || {
        again = deployment.book("entry-2", "parcel-7", "{}");
        again.status == 200
    });

    assert_eq!(again.json["id"], request.as_str(), "{}", again.text);
    assert_eq!(deployment.run_count("parcel-7"), 1);
}

#[test]
fn resend_that_cannot_reach_the_home_reports_the_first_send_as_unknown() {
    let deployment = with_service(items(Residency::Anywhere));
    let first = deployment.book("entry-1", "parcel-7", "{}");

    deployment.signal("keeper-2", Signal::SIGSTOP);
    deployment.signal("keeper-3", Signal::SIGSTOP);
    let stopped = ["keeper-2", "keeper-3"].map(|id| deployment.is_stopped(id));
    let cut_off = deployment.book("entry-2", "parcel-7", "{}");
    deployment.signal("keeper-2", Signal::SIGCONT);
    deployment.signal("keeper-3", Signal::SIGCONT);

    assert_eq!(stopped, [true; 2]);
    assert_eq!(first.status, 200, "{}", first.text);
    assert_eq!(cut_off.json["type"], "home-unreachable", "{}", cut_off.text);
    assert_eq!(cut_off.json["outcome"], "not_run", "{}", cut_off.text);
    assert_eq!(cut_off.json["earlier"], "unknown", "{}", cut_off.text);
    assert!(cut_off.json["retry_after"].is_u64(), "{}", cut_off.text);
    assert_eq!(deployment.run_count("parcel-7"), 1);
}

#[test]
fn owner_that_crashed_before_every_keeper_restarted_leaves_its_booking_unknown() {
    let mut deployment = with_service(items(Residency::Anywhere));
    deployment
        .inject_fault("desk", &json!({ "kind": "late_answer", "count": 1, "delay_ms": 60_000 }));

    thread::scope(|scope| {
        let lost = scope.spawn(|| deployment.book("entry-1", "parcel-7", "{}"));
        wait_for("the run of the booking", || deployment.run_count("parcel-7") == 1);
        deployment.signal("entry-1", Signal::SIGKILL);
        assert_eq!(lost.join().expect("the caller").status, 0);
    });
    let keepers = ["keeper-1", "keeper-2", "keeper-3"];
    keepers.iter().for_each(|it| deployment.kill(it));
    keepers.iter().for_each(|it| deployment.start_process(it));
    wait_for("the crash of the owner to be recorded", || {
        deployment.book("entry-2", "parcel-7", "{}").json["type"] == "outcome-unknown"
    });

    assert_eq!(deployment.run_count("parcel-7"), 1);
}

#[test]
fn restart_of_every_keeper_founds_no_home_group_again() {
    let mut deployment = with_service(items(Residency::Anywhere));
    let first = deployment.book("entry-1", "parcel-1", "{}");
    let before = revision(&deployment, "keeper-1");

    let keepers = ["keeper-1", "keeper-2", "keeper-3"];
    keepers.iter().for_each(|it| deployment.kill(it));
    keepers.iter().for_each(|it| deployment.start_process(it));
    wait_for("a booking after the restart", || {
        deployment.book("entry-2", "parcel-2", "{}").status == 200
    });
    let again = deployment.book("entry-2", "parcel-1", "{}");

    assert_eq!((first.status, &first.text), (again.status, &again.text));
    assert_eq!(revision(&deployment, "entry-2"), before);
}
