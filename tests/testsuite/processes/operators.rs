//! Operators that race, resend after lost answers, and rebuild a group.

use std::{
    io::Write,
    net::{Shutdown, TcpStream},
    thread,
};

use medlarlug_core::release::{
    Item, RawNote,
    item::{Residency, Service},
};
use test_support::{
    deployment::{Deployment, OPERATOR_KEY, wait_for},
    id,
};

use crate::processes::fixture::{items, two_regions};

fn further_service(name: &str) -> Item {
    Item::Service(Service {
        id: id(name),
        idempotent: true,
        outcomes: false,
        residency: Residency::Anywhere,
    })
}

fn revision(deployment: &Deployment, instance: &str) -> u64 {
    let status = deployment.operator_get(instance, "/status").json;
    status["revision"].as_u64().unwrap_or_default()
}

/// Sends a note and closes the connection before the answer.
fn apply_and_leave(deployment: &Deployment, keeper: &str, note: &RawNote) {
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
    let base = revision(&deployment, "entry-1");
    let notes = ["left", "right"].map(|it| test_support::note(base, vec![further_service(it)]));

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
    let base = revision(&deployment, "entry-1");
    let note = test_support::note(base, vec![further_service("further")]);
    let later = test_support::note(base + 1, vec![further_service("later")]);

    apply_and_leave(&deployment, "keeper-2", &note);
    let first = deployment.apply("keeper-1", &note);
    wait_for("the next note", || deployment.apply("entry-1", &later).status == 200);
    let again = deployment.apply("keeper-3", &note);

    assert_eq!(first.status, 200, "{}", first.text);
    assert_eq!(first.json["revision"], base + 1);
    assert_eq!(again.json, first.json);
}
