//! Bookings run at most once, whichever instance they are sent to.

use std::thread;

use medlarlug_core::release::item::Residency;
use nix::sys::signal::Signal;
use serde_json::json;
use test_support::deployment::wait_for;

use crate::processes::fixture::{items, two_regions};

#[test]
fn booking_sent_to_two_instances_runs_once_and_has_one_answer() {
    let deployment = two_regions().service("desk", "riga-a", "jobdesk").start();
    deployment.configure(items(Residency::Anywhere));
    deployment.wait_upstreams("entry-1", 1);

    let first = deployment.book("entry-1", "parcel-7", "{\"parcel\":7}");
    let second = deployment.book("entry-2", "parcel-7", "{\"parcel\":7}");

    assert_eq!((first.status, second.status), (200, 200), "{} {}", first.text, second.text);
    assert_eq!(first.text, second.text);
    assert_eq!(deployment.run_count("parcel-7"), 1);
}

#[test]
fn other_content_under_a_used_key_is_refused_and_not_run() {
    let deployment = two_regions().service("desk", "riga-a", "jobdesk").start();
    deployment.configure(items(Residency::Anywhere));
    deployment.wait_upstreams("entry-1", 1);

    let first = deployment.book("entry-1", "parcel-7", "{\"parcel\":7}");
    let other = deployment.book("entry-1", "parcel-7", "{\"parcel\":8}");

    assert_eq!(first.status, 200, "{}", first.text);
    assert_eq!((other.status, other.json["type"].as_str()), (422, Some("key-reused")));
    assert_eq!(deployment.run_count("parcel-7"), 1);
}

#[test]
fn booking_whose_answer_is_lost_is_unknown_and_never_sent_again() {
    let deployment = two_regions().service("desk", "riga-a", "jobdesk").start();
    deployment.configure(items(Residency::Anywhere));
    deployment.wait_upstreams("entry-1", 1);
    deployment.inject_fault("desk", &json!({ "kind": "lose_answer", "count": 1 }));

    let first = deployment.book("entry-1", "parcel-7", "{\"parcel\":7}");
    let again = deployment.book("entry-2", "parcel-7", "{\"parcel\":7}");

    assert_eq!(first.json["outcome"], "unknown", "{}", first.text);
    assert_eq!(again.json["outcome"], "unknown", "{}", again.text);
    assert_eq!(deployment.run_count("parcel-7"), 1);
}

#[test]
fn booking_whose_entry_instance_is_killed_is_unknown_and_not_sent_again() {
    let deployment = two_regions().service("desk", "riga-a", "jobdesk").start();
    deployment.configure(items(Residency::Anywhere));
    deployment.wait_upstreams("entry-1", 1);
    deployment
        .inject_fault("desk", &json!({ "kind": "late_answer", "count": 1, "delay_ms": 20_000 }));

    thread::scope(|scope| {
        let lost = scope.spawn(|| deployment.book("entry-1", "parcel-7", "{}"));
        wait_for("the run of the booking", || deployment.run_count("parcel-7") == 1);
        deployment.signal("entry-1", Signal::SIGKILL);
        assert_eq!(lost.join().expect("the caller").status, 0);
    });
    let mut again = deployment.book("entry-2", "parcel-7", "{}");
    wait_for("the crash of the owner to be recorded", || {
        again = deployment.book("entry-2", "parcel-7", "{}");
        again.json["type"] == "outcome-unknown"
    });

    assert_eq!(again.json["outcome"], "unknown", "{}", again.text);
    assert_eq!(deployment.run_count("parcel-7"), 1);
}

#[test]
fn success_of_a_forwarded_call_credits_only_the_retry_budget_of_the_sender_to_the_upstream() {
    let deployment = two_regions().service("desk", "riga-a", "jobdesk").start();
    deployment.configure(items(Residency::Anywhere));
    deployment.wait_upstreams("entry-1", 1);

    let reply = deployment.book("entry-2", "parcel-7", "{}");
    let credited = |entry: &str| -> u64 {
        let dump = deployment.operator_get(entry, "/dump").json;
        let budgets = dump["process"]["retry_budgets"].as_array().cloned().unwrap_or_default();
        budgets.iter().filter_map(|it| it["successes"].as_u64()).sum()
    };

    assert_eq!(reply.status, 200, "{}", reply.text);
    assert_eq!((credited("entry-1"), credited("entry-2")), (1, 0));
}
