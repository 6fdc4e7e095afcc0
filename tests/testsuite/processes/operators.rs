//! Concurrent notes of operators, notes sent again after a lost answer, and the rebuild of a group.

use std::{
    io::Write,
    net::{Shutdown, TcpStream},
    thread,
};

use medlarlug_core::release::{RawNote, item::Residency};
use test_support::{
    deployment::{Deployment, OPERATOR_KEY, wait_for},
    idempotent_service,
};

use crate::processes::fixture::{
    GROUPS, KEEPERS, book_until_answered, group, items, revision, two_regions,
};

/// The newest revision at any keeper: that of the leader of the configuration group.
fn newest_revision(deployment: &Deployment) -> u64 {
    KEEPERS.iter().map(|it| revision(deployment, it)).max().unwrap_or_default()
}

/// Sends a note and disconnects without reading the answer.
fn apply_and_disconnect(deployment: &Deployment, keeper: &str, note: &RawNote) {
    let body = serde_json::to_string(note).expect("a note is JSON");
    let address = deployment.get(keeper).operators;
    let mut stream = TcpStream::connect(address).expect("a running keeper");
    let request = format!(
        "POST /release/apply HTTP/1.1\r\nhost: {address}\r\nauthorization: Bearer {OPERATOR_KEY}\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).expect("a connection");
    stream.shutdown(Shutdown::Write).expect("a connection");
}

#[test]
fn operators_race_under_one_number_and_the_loser_is_told_the_winner() {
    let deployment = two_regions().start();
    deployment.configure(items(Residency::Anywhere));
    let base = newest_revision(&deployment);
    let notes = ["left", "right"].map(|it| test_support::note(base, vec![idempotent_service(it)]));

    let replies = thread::scope(|scope| {
        let shared = &deployment;
        let apply = |keeper, note| scope.spawn(move || shared.apply(keeper, note));
        let both = [apply("keeper-1", &notes[0]), apply("keeper-3", &notes[1])];
        both.map(|it| it.join().expect("no panic"))
    });

    let [winner, loser] = match replies[0].status {
        200 => [0, 1],
        _ => [1, 0],
    };
    assert_eq!(replies[winner].status, 200, "{}", replies[winner].text);
    assert_eq!(replies[loser].status, 409, "{}", replies[loser].text);
    assert_eq!(replies[loser].json["type"], "number-taken", "{}", replies[loser].text);
    assert!(replies[loser].text.contains("anna"), "{}", replies[loser].text);
    for keeper in ["keeper-1", "keeper-2", "keeper-3", "entry-2"] {
        assert_eq!(deployment.apply(keeper, &notes[winner]).json, replies[winner].json);
        assert_eq!(deployment.apply(keeper, &notes[loser]).json, replies[loser].json);
    }
}

#[test]
fn note_that_is_sent_again_after_a_lost_answer_is_accepted_once() {
    let deployment = two_regions().start();
    deployment.configure(items(Residency::Anywhere));
    let base = newest_revision(&deployment);
    let note = test_support::note(base, vec![idempotent_service("further")]);
    let later = test_support::note(base + 1, vec![idempotent_service("later")]);

    apply_and_disconnect(&deployment, "keeper-2", &note);
    let first = deployment.apply("keeper-1", &note);
    wait_for("the next note", || deployment.apply("entry-1", &later).status == 200);
    let again = deployment.apply("keeper-3", &note);

    assert_eq!(first.status, 200, "{}", first.text);
    assert_eq!(first.json["revision"], base + 1);
    assert_eq!(again.json, first.json);
}

/// Three keepers, of which `keeper-3` lacks `parcel-2` and the others have lost their disks; also
/// returns the answer to `parcel-1`.
fn with_lost_majority() -> (Deployment, String) {
    let deployment = two_regions().with_relays().service("desk", "riga-a", "jobdesk");
    let mut deployment = deployment.start();
    deployment.configure(items(Residency::Anywhere));
    deployment.wait_upstreams("entry-1", 1);
    let first = book_until_answered(&deployment, "entry-1", "parcel-1");
    wait_for("the survivor to hold the first booking", || {
        let committed = ["keeper-1", "keeper-3"].map(|it| committed(&deployment, it));
        committed[0] == committed[1]
    });
    deployment.network().partition(|it| it == "keeper-3", true);
    book_until_answered(&deployment, "entry-1", "parcel-2");
    for keeper in ["keeper-1", "keeper-2"] {
        deployment.kill(keeper);
        deployment.delete_data(keeper);
    }
    // Drops what the partition held back for the survivor, as the crash of the senders would.
    deployment.network().blackhole_open(|_| true, |it| it == "keeper-3");
    deployment.network().partition(|it| it == "keeper-3", false);
    for keeper in ["keeper-1", "keeper-2"] {
        deployment.start_process(keeper);
    }
    (deployment, first)
}

fn committed(deployment: &Deployment, keeper: &str) -> Option<u64> {
    group(deployment, keeper, "home-riga")["committed"].as_u64()
}

#[test]
fn group_that_lost_its_majority_stops_and_is_rebuilt_from_the_survivor() {
    let (mut deployment, first) = with_lost_majority();
    let before = revision(&deployment, "entry-1");
    let keys = ["parcel-1", "parcel-2", "parcel-3"];

    wait_for("the wiped keepers to be up", || {
        ["keeper-1", "keeper-2"].iter().all(|it| group(&deployment, it, "home-riga").is_object())
    });
    let stopped = thread::scope(|scope| {
        let shared = &deployment;
        let book = |key| scope.spawn(move || shared.book("entry-1", key, "{}"));
        keys.map(book).map(|it| it.join().expect("no panic"))
    });
    deployment.kill("keeper-3");
    assert!(GROUPS.iter().all(|it| deployment.rebuild("keeper-3", it)));
    deployment.start_process("keeper-3");
    let known = book_until_answered(&deployment, "entry-1", "parcel-1");
    let lost = deployment.book("entry-1", "parcel-2", "{}");
    wait_for("three voters again", || {
        GROUPS.iter().all(|name| {
            let voters = group(&deployment, "keeper-1", name)["voters"].clone();
            voters.as_array().is_some_and(|it| it.len() == 3)
        })
    });
    deployment.kill("keeper-3");
    let after = book_until_answered(&deployment, "entry-2", "parcel-1");

    for it in &stopped {
        assert_eq!(it.status, 503, "{}", it.text);
    }
    assert_eq!((&known, &after), (&first, &first));
    assert_eq!(lost.json["type"], "outcome-unknown", "{}", lost.text);
    assert_eq!(keys.map(|it| deployment.run_count(it)), [1, 1, 0]);
    assert!(revision(&deployment, "entry-1") > before);
}
