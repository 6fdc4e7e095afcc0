//! Requests from the caller to the upstream: answers, refusals and the records of both.

use medlarlug_core::release::item::Residency;
use test_support::deployment::wait_for;

use crate::processes::fixture::{items, two_regions};

#[test]
fn completion_is_answered_and_its_record_is_read_at_another_instance() {
    let deployment = two_regions().engine("engine-1", "riga-a", "medlar").start();
    deployment.configure(items(Residency::Home));
    deployment.wait_upstreams("entry-1", 1);

    let reply = deployment.complete("entry-1", "medlar", "explain the datum shift");

    assert_eq!(reply.status, 200, "{}", reply.text);
    wait_for("the record", || {
        let path = format!("/requests/{}", reply.request_id);
        deployment.operator_get("entry-2", &path).json["outcome"] == "answered"
    });
}

#[test]
fn request_that_may_not_leave_its_region_is_refused_as_not_run() {
    let deployment = two_regions().engine("engine-2", "liepaja-a", "medlar").start();
    deployment.configure(items(Residency::Home));
    deployment.wait_upstreams("entry-2", 1);

    let refused = deployment.complete("entry-1", "medlar", "explain the datum shift");
    let elsewhere = deployment.complete("entry-2", "medlar", "explain the datum shift");

    assert_eq!(refused.json["outcome"], "not_run", "{}", refused.text);
    assert_eq!(elsewhere.json["outcome"], "not_run", "{}", elsewhere.text);
}

#[test]
fn request_that_may_leave_its_region_is_forwarded_once_and_answered() {
    let deployment = two_regions().engine("engine-2", "liepaja-a", "medlar").start();
    deployment.configure(items(Residency::Anywhere));
    deployment.wait_upstreams("entry-2", 1);

    let mut reply = deployment.complete("entry-1", "medlar", "explain the datum shift");
    wait_for("a summary of the other zone", || {
        reply = deployment.complete("entry-1", "medlar", "explain the datum shift");
        reply.status == 200
    });

    let path = format!("/requests/{}", reply.request_id);
    wait_for("the record", || {
        deployment.operator_get("entry-1", &path).json["outcome"] == "answered"
    });
    let record = deployment.operator_get("entry-1", &path).json;
    let forwarded = record["timeline"].to_string().matches("forwarded").count();
    assert_eq!(forwarded, 1, "{record}");
}

#[test]
fn metrics_of_a_request_are_exported_as_prometheus_text() {
    let deployment = two_regions().engine("engine-1", "riga-a", "medlar").start();
    deployment.configure(items(Residency::Home));
    deployment.wait_upstreams("entry-1", 1);

    let reply = deployment.complete("entry-1", "medlar", "explain the datum shift");
    let metrics = deployment.operator_get("entry-1", "/metrics").text;

    assert_eq!(reply.status, 200, "{}", reply.text);
    for line in [
        "medlarlug_requests_total{outcome=\"answered\"} 1",
        "medlarlug_first_byte_seconds_count 1",
        "medlarlug_request_seconds_count 1",
    ] {
        assert!(metrics.contains(line), "no `{line}` in {metrics}");
    }
}
