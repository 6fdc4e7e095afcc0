//! Limits that upstreams name, with answers that arrive out of order.

use medlarlug_core::{
    gateway::{
        upstream_limits::{LimitHeader, UpstreamLimit, UpstreamLimits},
        upstreams::Birth,
    },
    ids::UpstreamId,
    time::Time,
};

fn engine() -> UpstreamId {
    "engine-1".parse().unwrap()
}

fn limit(text: &str) -> UpstreamLimit {
    text.parse().unwrap()
}

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

/// An upstream that named a limit at 100 ms, in the answer to a request sent at 50 ms.
fn limited(text: &str) -> UpstreamLimits {
    let mut limits = UpstreamLimits::default();
    limits.record_answer(at(100), at(50), &engine(), Birth(1), LimitHeader::Limit(limit(text)));
    limits
}

#[test]
fn answer_without_a_limit_to_an_older_request_does_not_end_it() {
    let mut limits = limited("1.7");

    let has_changed =
        limits.record_answer(at(200), at(90), &engine(), Birth(1), LimitHeader::Absent);

    assert!(!has_changed);
    assert_eq!(limits.get(&engine(), Birth(1)), Some(limit("1.7")));
}

#[test]
fn answer_without_a_limit_to_a_later_request_ends_it() {
    let mut limits = limited("1.7");

    let has_changed =
        limits.record_answer(at(200), at(110), &engine(), Birth(1), LimitHeader::Absent);

    assert!(has_changed);
    assert_eq!(limits.get(&engine(), Birth(1)), None);
}

#[test]
fn answer_to_an_older_request_lowers_a_limit_and_does_not_raise_it() {
    let mut limits = limited("2");

    limits.record_answer(at(200), at(90), &engine(), Birth(1), LimitHeader::Limit(limit("9")));
    let after_higher = limits.get(&engine(), Birth(1));
    limits.record_answer(at(210), at(90), &engine(), Birth(1), LimitHeader::Limit(limit("1")));

    assert_eq!(after_higher, Some(limit("2")));
    assert_eq!(limits.get(&engine(), Birth(1)), Some(limit("1")));
}

#[test]
fn limit_ends_with_its_incarnation() {
    let mut limits = limited("2");

    assert_eq!(limits.get(&engine(), Birth(2)), None);
    limits.record_answer(at(300), at(200), &engine(), Birth(2), LimitHeader::Limit(limit("5")));
    limits.record_answer(at(400), at(310), &engine(), Birth(1), LimitHeader::Absent);

    assert_eq!(limits.get(&engine(), Birth(2)), Some(limit("5")));
}

#[test]
fn limit_that_cannot_be_read_keeps_the_one_before_or_the_lowest() {
    let mut limits = limited("2");
    let mut unknown = UpstreamLimits::default();

    limits.record_answer(at(300), at(200), &engine(), Birth(1), LimitHeader::Invalid);
    unknown.record_answer(at(300), at(200), &engine(), Birth(1), LimitHeader::Invalid);

    assert_eq!(limits.get(&engine(), Birth(1)), Some(limit("2")));
    assert_eq!(unknown.get(&engine(), Birth(1)), Some(UpstreamLimit::MIN));
}

#[test]
fn text_that_is_no_rate_is_rejected() {
    for text in ["", "few", "-1", "NaN", "1,5", "2/s"] {
        assert!(text.parse::<UpstreamLimit>().is_err(), "{text}");
    }
}

#[test]
fn instances_are_notified_of_changes_only() {
    let mut limits = limited("10");

    let is_same = limits.record_answer(
        at(300),
        at(200),
        &engine(),
        Birth(1),
        LimitHeader::Limit(limit("10.2")),
    );
    let is_other = limits.record_answer(
        at(500),
        at(400),
        &engine(),
        Birth(1),
        LimitHeader::Limit(limit("12")),
    );

    assert!(!is_same && is_other);
}
