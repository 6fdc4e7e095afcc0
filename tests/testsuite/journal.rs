//! The journal of request records at an entry instance.

use medlarlug::coordination::entry::journal::Journal;
use medlarlug_core::{
    ids::{Incarnation, RequestId},
    record::Outcome,
    release::ItemKey,
    time::Time,
};
use test_support::id;

fn journal() -> Journal {
    Journal::new(id("riga"), id("entry-1"), Incarnation(1))
}

fn begin(journal: &mut Journal) -> RequestId {
    journal.begin(Time::ZERO, id("survey"), ItemKey::Model(id("medlar")))
}

#[test]
fn request_that_ends_before_its_batch_is_sent_once() {
    let mut journal = journal();

    let request = begin(&mut journal);
    journal.end(Time::from_millis(5), &request, Outcome::Answered, "whole answer");
    let batch = journal.take_batch(10);

    assert_eq!(batch.len(), 1);
    assert_eq!(batch[0].outcome, Some(Outcome::Answered));
    assert_eq!(batch[0].timeline.len(), 2);
}

#[test]
fn request_that_ends_after_its_batch_is_sent_again() {
    let mut journal = journal();

    let request = begin(&mut journal);
    let open = journal.take_batch(10);
    journal.end(Time::from_millis(5), &request, Outcome::NotRun, "overloaded");
    let ended = journal.take_batch(10);

    assert_eq!((open.len(), open[0].outcome), (1, None));
    assert_eq!((ended.len(), ended[0].outcome), (1, Some(Outcome::NotRun)));
}

#[test]
fn batch_that_no_keeper_accepted_is_sent_again_in_order() {
    let mut journal = journal();
    let (first, second) = (begin(&mut journal), begin(&mut journal));

    let batch = journal.take_batch(1);
    journal.put_back(batch);
    let ids: Vec<RequestId> = journal.take_batch(10).into_iter().map(|it| it.id).collect();

    assert_eq!(ids, [first, second]);
}

#[test]
fn request_of_another_instance_changes_no_record() {
    let mut journal = journal();
    let own = begin(&mut journal);
    let foreign = RequestId { instance: id("entry-2"), ..own.clone() };

    journal.end(Time::from_millis(5), &foreign, Outcome::Failed, "elsewhere");

    assert_eq!(journal.find(&own).and_then(|it| it.outcome), None);
}
