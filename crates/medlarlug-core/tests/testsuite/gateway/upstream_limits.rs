//! Limits that upstreams name, with answers that cross.

use medlarlug_core::{
    gateway::{
        upstream_limits::{NamedLimit, NamedLimits, Said},
        upstreams::Birth,
    },
    ids::UpstreamId,
    time::Time,
};

fn engine() -> UpstreamId {
    "engine-1".parse().unwrap()
}

fn limit(text: &str) -> NamedLimit {
    text.parse().unwrap()
}

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

/// An upstream that named a limit at 100 ms, to a request that went out at 50 ms.
fn limited(text: &str) -> NamedLimits {
    let mut limits = NamedLimits::default();
    limits.answered(at(100), at(50), &engine(), Birth(1), Said::Limit(limit(text)));
    limits
}

#[test]
fn answer_without_a_limit_to_an_older_request_ends_none() {
    let mut limits = limited("1.7");

    let is_news = limits.answered(at(200), at(90), &engine(), Birth(1), Said::None);

    assert!(!is_news);
    assert_eq!(limits.of(&engine(), Birth(1)), Some(limit("1.7")));
}

#[test]
fn answer_without_a_limit_to_a_later_request_ends_it() {
    let mut limits = limited("1.7");

    let is_news = limits.answered(at(200), at(110), &engine(), Birth(1), Said::None);

    assert!(is_news);
    assert_eq!(limits.of(&engine(), Birth(1)), None);
}

#[test]
fn answer_to_an_older_request_lowers_a_limit_and_does_not_raise_it() {
    let mut limits = limited("2");

    limits.answered(at(200), at(90), &engine(), Birth(1), Said::Limit(limit("9")));
    let after_higher = limits.of(&engine(), Birth(1));
    limits.answered(at(210), at(90), &engine(), Birth(1), Said::Limit(limit("1")));

    assert_eq!(after_higher, Some(limit("2")));
    assert_eq!(limits.of(&engine(), Birth(1)), Some(limit("1")));
}

#[test]
fn limit_ends_with_its_incarnation() {
    let mut limits = limited("2");

    assert_eq!(limits.of(&engine(), Birth(2)), None);
    limits.answered(at(300), at(200), &engine(), Birth(2), Said::Limit(limit("5")));
    limits.answered(at(400), at(310), &engine(), Birth(1), Said::None);

    assert_eq!(limits.of(&engine(), Birth(2)), Some(limit("5")));
}

#[test]
fn limit_that_cannot_be_read_keeps_the_one_before_or_the_lowest() {
    let mut limits = limited("2");
    let mut unknown = NamedLimits::default();

    limits.answered(at(300), at(200), &engine(), Birth(1), Said::Unreadable);
    unknown.answered(at(300), at(200), &engine(), Birth(1), Said::Unreadable);

    assert_eq!(limits.of(&engine(), Birth(1)), Some(limit("2")));
    assert_eq!(unknown.of(&engine(), Birth(1)), Some(NamedLimit::LOWEST));
}

#[test]
fn what_is_no_rate_is_no_limit() {
    for text in ["", "few", "-1", "NaN", "1,5", "2/s"] {
        assert!(text.parse::<NamedLimit>().is_err(), "{text}");
    }
}

#[test]
fn instances_are_told_of_changes_only() {
    let mut limits = limited("10");

    let is_same =
        limits.answered(at(300), at(200), &engine(), Birth(1), Said::Limit(limit("10.2")));
    let is_other = limits.answered(at(500), at(400), &engine(), Birth(1), Said::Limit(limit("12")));

    assert!(!is_same && is_other);
}
