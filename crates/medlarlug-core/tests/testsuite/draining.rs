//! Removal of withdrawn items.

use std::time::Duration;

use medlarlug_core::{
    configuration_group::{DrainTracker, draining::MAX_REQUEST_DURATION},
    ids::{OperatorId, ReleaseNumber, Revision},
    release::{Configuration, Item, ItemKey, RawNote, ReleaseNote, item::Region},
    time::Time,
};

fn key() -> ItemKey {
    ItemKey::Service("jobdesk".parse().unwrap())
}

fn note(number: u64, base: u64, added: Vec<Item>, withdrawn: Vec<ItemKey>) -> ReleaseNote {
    let operator: OperatorId = "anna".parse().unwrap();
    let (number, base) = (ReleaseNumber(number), Revision(base));
    let raw = RawNote { number, operator, base, added, changed: Vec::new(), withdrawn };
    ReleaseNote::try_from(raw).unwrap()
}

fn region(name: &str) -> Item {
    Item::Region(Region { id: name.parse().unwrap(), zones: Vec::new() })
}

fn service() -> Item {
    serde_json::from_value(serde_json::json!({
        "service": {
            "id": "jobdesk", "idempotent": false, "outcomes": false, "residency": "anywhere"
        }
    }))
    .unwrap()
}

/// Configuration at revision 2, which withdrew the service.
fn withdrawn() -> Configuration {
    let empty = Configuration::default();
    let first = note(1, 0, vec![region("riga"), service()], Vec::new()).apply(&empty).unwrap();
    note(2, 1, Vec::new(), vec![key()]).apply(&first).unwrap()
}

fn after(time: Duration) -> Time {
    Time::ZERO + time
}

#[test]
fn item_is_removable_once_the_longest_request_time_has_passed_everywhere() {
    let configuration = withdrawn();
    let mut draining = DrainTracker::default();

    let early = draining.removable_items(Time::ZERO, &configuration, false);
    let started = draining.removable_items(after(MAX_REQUEST_DURATION), &configuration, true);
    let almost = draining.removable_items(
        after(MAX_REQUEST_DURATION * 2 - Duration::from_millis(1)),
        &configuration,
        true,
    );
    let due = draining.removable_items(after(MAX_REQUEST_DURATION * 2), &configuration, true);

    assert_eq!((early, started, almost), (Vec::new(), Vec::new(), Vec::new()));
    assert_eq!(due, [key()]);
}

#[test]
fn further_note_and_new_leader_restart_the_wait() {
    let configuration = withdrawn();
    let next = note(3, 2, vec![region("kurzeme")], Vec::new()).apply(&configuration).unwrap();
    let mut draining = DrainTracker::default();

    draining.removable_items(Time::ZERO, &configuration, true);
    let edited = draining.removable_items(after(MAX_REQUEST_DURATION), &next, true);
    draining.reset();
    let reset = draining.removable_items(after(MAX_REQUEST_DURATION * 2), &next, true);
    let due = draining.removable_items(after(MAX_REQUEST_DURATION * 3), &next, true);

    assert_eq!((edited, reset), (Vec::new(), Vec::new()));
    assert_eq!(due, [key()]);
}
