//! Moves of a team's home region while its bookings are in flight.

use std::thread;

use medlarlug_core::{
    ids::Revision,
    release::{
        Item, RawNote,
        item::{Residency, Team},
    },
};
use test_support::{
    deployment::{Deployment, wait_for},
    id, note,
};

use crate::processes::fixture::{book_until_answered, items, two_regions, wait_leader};

const ENTRIES: [&str; 2] = ["entry-1", "entry-2"];

/// Bookings sent to each entry instance.
const BOOKINGS_PER_ENTRY: usize = 40;

fn with_service() -> Deployment {
    let deployment = two_regions().service("desk", "riga-a", "jobdesk").start();
    deployment.configure(items(Residency::Anywhere));
    deployment.wait_upstreams("entry-1", 1);
    deployment
}

/// A note that moves the home of the team `survey`.
fn move_to(region: &str, base: u64) -> RawNote {
    let survey = items(Residency::Anywhere).into_iter().find_map(|it| match it {
        Item::Team(team) => Some(team),
        _ => None,
    });
    let team = Team { home: id(region), ..survey.expect("the team") };
    RawNote { changed: vec![Item::Team(team)], ..note(base, Vec::new()) }
}

/// Moves the team's home; returns the revision of the note.
fn move_home(deployment: &Deployment, region: &str) -> u64 {
    let base = deployment.operator_get("keeper-1", "/status").json["revision"].as_u64();
    let note = move_to(region, base.expect("a revision"));
    let reply = deployment.apply("entry-1", &note);
    assert_eq!(reply.status, 200, "{}", reply.text);
    let revision: Revision =
        serde_json::from_value(reply.json["revision"].clone()).expect("a revision");
    revision.0
}

fn wait_revision(deployment: &Deployment, revision: u64) {
    for entry in ENTRIES {
        wait_for("the revision at each entry", || {
            let known = deployment.operator_get(entry, "/status").json["revision"].as_u64();
            known.is_some_and(|it| it >= revision)
        });
    }
}

/// Sends bookings one after another; returns their keys and answers.
fn book_all(deployment: &Deployment, entry: &str) -> Vec<(String, String)> {
    let keys = (0..BOOKINGS_PER_ENTRY).map(|it| format!("{entry}-{it}"));
    keys.map(|key| (key.clone(), book_until_answered(deployment, entry, &key))).collect()
}

#[test]
fn bookings_in_flight_run_once_and_are_known_at_the_new_home() {
    let deployment = with_service();

    let (answers, revision) = thread::scope(|scope| {
        let callers = ENTRIES.map(|it| scope.spawn(|| book_all(&deployment, it)));
        wait_for("the first bookings", || deployment.run_count("entry-1-5") == 1);
        let revision = move_home(&deployment, "kurzeme");
        let answers = callers.map(|it| it.join().expect("a caller"));
        (answers.concat(), revision)
    });
    wait_revision(&deployment, revision);

    for (key, text) in answers {
        assert_eq!(book_until_answered(&deployment, "entry-2", &key), text, "{key}");
        assert_eq!(deployment.run_count(&key), 1, "{key}");
    }
}

#[test]
fn move_is_completed_by_the_next_leader_and_can_be_reversed() {
    let mut deployment = with_service();
    let first = book_until_answered(&deployment, "entry-1", "parcel-1");

    let revision = move_home(&deployment, "kurzeme");
    let leader = wait_leader(&deployment, "home-kurzeme");
    deployment.kill(&leader);
    wait_revision(&deployment, revision);
    let moved = book_until_answered(&deployment, "entry-2", "parcel-1");
    deployment.start_process(&leader);
    let mut back = 0;
    wait_for("the move to end", || {
        let base = deployment.operator_get("entry-1", "/status").json["revision"].as_u64();
        let note = move_to("riga", base.expect("a revision"));
        let reply = deployment.apply("entry-1", &note);
        back = reply.json["revision"].as_u64().unwrap_or_default();
        reply.status == 200
    });
    wait_revision(&deployment, back);
    let again = book_until_answered(&deployment, "entry-1", "parcel-1");

    assert_eq!((&moved, &again), (&first, &first));
    assert_eq!(deployment.run_count("parcel-1"), 1);
}

#[test]
fn new_home_that_lost_its_state_adopts_its_teams_again() {
    let mut deployment = two_regions()
        .keeper("keeper-4", "liepaja-a")
        .home_voters("kurzeme", &["keeper-4"])
        .service("desk", "riga-a", "jobdesk")
        .start();
    deployment.configure(items(Residency::Anywhere));
    deployment.wait_upstreams("entry-1", 1);
    let revision = move_home(&deployment, "kurzeme");
    wait_revision(&deployment, revision);
    book_until_answered(&deployment, "entry-2", "parcel-1");

    deployment.kill("keeper-4");
    deployment.delete_data("keeper-4");
    deployment.start_process("keeper-4");
    let mut key = String::new();
    wait_for("a booking under a key that proves to be new", || {
        let newest = deployment.operator_get("entry-2", "/status").json["revision"].clone();
        key = format!("{newest}~parcel-2");
        deployment.book("entry-2", &key, "{}").status == 200
    });
    let former = deployment.book("entry-2", "parcel-1", "{}");

    assert_eq!(former.json["type"], "outcome-unknown", "{}", former.text);
    assert_eq!((deployment.run_count("parcel-1"), deployment.run_count(&key)), (1, 1));
}
