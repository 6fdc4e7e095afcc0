//! Answers of plain services to queries about the outcome of an earlier call.

use medlarlug::coordination::entry::outcomes::parse_outcome;
use medlarlug_core::{home::Body, ids::RequestId};
use test_support::id;

#[test]
fn answer_counts_only_for_the_request_that_ran() {
    let own: RequestId = id("riga.entry-1.1.1");
    let other: RequestId = id("riga.entry-1.1.2");
    let ran = br#"{"state": "ran", "request": "riga.entry-1.1.1", "answer": "done"}"#;
    let running = br#"{"state": "running", "request": "riga.entry-1.1.1"}"#;

    let answer = parse_outcome(ran, &own).map(|it| it.0.body);

    assert_eq!(answer, Some(Body::Whole(b"done".to_vec())));
    assert!(parse_outcome(ran, &other).is_none());
    assert!(parse_outcome(running, &own).is_none());
    assert!(parse_outcome(b"no document", &own).is_none());
}
