//! Bookings run at most once, whichever instance they are sent to.

use medlarlug_core::release::item::Residency;
use serde_json::json;

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
    assert_eq!(deployment.runs("parcel-7"), 1);
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
    assert_eq!(deployment.runs("parcel-7"), 1);
}

#[test]
fn lost_answer_of_a_booking_is_unknown_and_never_sent_again() {
    let deployment = two_regions().service("desk", "riga-a", "jobdesk").start();
    deployment.configure(items(Residency::Anywhere));
    deployment.wait_upstreams("entry-1", 1);
    deployment.fault("desk", &json!({ "kind": "lose_answer", "count": 1 }));

    let first = deployment.book("entry-1", "parcel-7", "{\"parcel\":7}");
    let again = deployment.book("entry-2", "parcel-7", "{\"parcel\":7}");

    assert_eq!(first.json["outcome"], "unknown", "{}", first.text);
    assert_eq!(again.json["outcome"], "unknown", "{}", again.text);
    assert_eq!(deployment.runs("parcel-7"), 1);
}
