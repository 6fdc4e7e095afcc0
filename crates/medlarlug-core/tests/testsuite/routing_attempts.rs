//! Tests of the routing core: attempts whose end or first token is missing, and requests that are
//! forwarded to another zone.

use std::time::Duration;

use assert_matches::assert_matches;
use medlarlug_core::{
    announcement::{Announcement, LoadReport},
    fingerprint::Fingerprint,
    ids::Revision,
    membership::{Event as MembershipEvent, Membership},
    release::{Configuration, Item, item::Residency},
    routing::{AttemptId, CallerRequest, Choice, ConfigurationLease, Event, Prefix, Router},
    time::Time,
    units::Tokens,
};
use test_support::{id, region, team};

use crate::routing::{NOW, add_zone_summary, facts, membership, model, open_team, upstream, view};

fn configuration() -> Configuration {
    let items = vec![
        model(Residency::Anywhere),
        Item::Team(team("crew", "riga")),
        region("riga", &["riga-a"]),
    ];
    Configuration::new(Revision(1), items)
}

fn send(router: &mut Router, now: Time, membership: &Membership) -> AttemptId {
    let configuration = configuration();
    let request = CallerRequest::new(facts());
    let choice = router.decide(now, view(membership, &configuration), &request);
    let Ok(Choice::Serve(route)) = choice else {
        panic!("expected a route to the idle upstream, got {choice:?}");
    };
    let authorized =
        route.authorize(&configuration, ConfigurationLease::Valid, &request.facts).unwrap();
    router.record_sent(now, &authorized, &request.facts);
    authorized.route().attempt_id
}

/// Renews the announcement of the only upstream.
fn renew(membership: &mut Membership, now: Time) {
    let sequence = 2 + now.as_micros();
    let renewed = Announcement { sequence, ..upstream("u0") };
    membership.handle(now, MembershipEvent::Announced(renewed), &mut Vec::new());
}

#[test]
fn attempt_whose_end_is_never_reported_expires() {
    let mut membership = membership(vec![upstream("u0")]);
    let mut router = Router::new(NOW, 1);
    send(&mut router, NOW, &membership);
    let late = NOW + Duration::from_secs(61);
    renew(&mut membership, late);

    let second = send(&mut router, late, &membership);

    assert_eq!(router.in_flight(), 1);
    router.handle(late, Event::Ended(second));
    assert_eq!(router.in_flight(), 0);
}

#[test]
fn running_stream_expires_only_after_the_attempt_timeout() {
    let mut membership = membership(vec![upstream("u0")]);
    let mut router = Router::new(NOW, 1);
    let stream = send(&mut router, NOW, &membership);
    router.handle(NOW + Duration::from_millis(200), Event::FirstToken(stream));
    let mut in_flight = |now: Time| {
        renew(&mut membership, now);
        let other = send(&mut router, now, &membership);
        router.handle(now, Event::Ended(other));
        router.in_flight()
    };

    let after_minutes = in_flight(NOW + Duration::from_secs(300));
    let after_timeout = in_flight(NOW + Duration::from_secs(901));

    assert_eq!((after_minutes, after_timeout), (1, 0));
}

/// Sends `count` requests before any of them ends. Returns those that went to `u0`.
fn send_burst(
    router: &mut Router,
    now: Time,
    membership: &Membership,
    count: usize,
) -> Vec<AttemptId> {
    let configuration = configuration();
    let request = CallerRequest::new(facts());
    let mut slow = Vec::new();
    for _ in 0..count {
        let choice = router.decide(now, view(membership, &configuration), &request);
        let Ok(Choice::Serve(route)) = choice else {
            panic!("expected a route to one of two upstreams, got {choice:?}");
        };
        let authorized =
            route.authorize(&configuration, ConfigurationLease::Valid, &request.facts).unwrap();
        router.record_sent(now, &authorized, &request.facts);
        if authorized.route().upstream == id("u0") {
            slow.push(authorized.route().attempt_id);
        }
    }
    slow
}

#[test]
fn request_that_ends_without_a_first_token_shows_that_its_upstream_is_slow() {
    let membership = membership(vec![upstream("u0"), upstream("u1")]);
    let mut router = Router::new(NOW, 1);
    let slow = send_burst(&mut router, NOW, &membership, 4);
    let late = NOW + Duration::from_secs(2);

    slow.into_iter().for_each(|it| router.handle(late, Event::Ended(it)));

    let dump = router.dump(late);
    assert!(dump.upstreams[0].ratio > 2.0, "ratio {}", dump.upstreams[0].ratio);
    assert_eq!(dump.upstreams[1].ratio, 1.0);
}

#[test]
fn request_without_a_cached_prefix_is_forwarded_from_a_full_zone_before_one_with_it() {
    let configuration = crate::routing::configuration(open_team(), Residency::Anywhere);
    let fingerprint = Fingerprint::of(b"prefix");
    let load = LoadReport {
        running: 4,
        backlog: Tokens(20_000),
        cached: vec![fingerprint],
        ..LoadReport::default()
    };
    let mut membership = membership(vec![Announcement { load, ..upstream("u0") }]);
    add_zone_summary(&mut membership, NOW, "kurzeme");
    let cold = CallerRequest::new(facts());
    let mut warm = cold.clone();
    warm.facts.prefixes = vec![Prefix { fingerprint, tokens: Tokens(800) }];

    let choices = [cold, warm]
        .map(|it| Router::new(NOW, 1).decide(NOW, view(&membership, &configuration), &it).unwrap());

    assert_matches!(choices, [Choice::Forward(_), Choice::Serve(_)]);
}

/// Predicted seconds until the first token at a full upstream, after `ended` requests that held
/// their slots for `slot_time` each, and while `running` more have run for `age`.
fn predicted_when_full(slot_time: Duration, ended: usize, running: usize, age: Duration) -> f64 {
    let configuration = configuration();
    let mut membership = membership(vec![upstream("u0")]);
    let mut router = Router::new(NOW, 1);
    let mut now = NOW;
    for index in 0..ended + running {
        renew(&mut membership, now);
        let attempt_id = send(&mut router, now, &membership);
        now = now + Duration::from_millis(125);
        router.handle(now, Event::FirstToken(attempt_id));
        if index < ended {
            now = now + slot_time;
            router.handle(now, Event::Ended(attempt_id));
        }
    }
    now = now + age;
    let load = LoadReport { running: 8, waiting: 8, speed: 280.0, ..LoadReport::default() };
    let sequence = 2 + now.as_micros();
    let full = Announcement { sequence, load, ..upstream("u0") };
    membership.handle(now, MembershipEvent::Announced(full), &mut Vec::new());
    let mut request = CallerRequest::new(facts());
    request.facts.deadline = Duration::from_secs(300);
    match router.decide(now, view(&membership, &configuration), &request) {
        Ok(Choice::Serve(route)) => route.predicted.as_secs_f64(),
        other => panic!("expected a route to the only upstream, got {other:?}"),
    }
}

#[test]
fn prediction_follows_the_observed_slot_times() {
    let unknown = predicted_when_full(Duration::ZERO, 0, 0, Duration::ZERO);
    let short = predicted_when_full(Duration::from_millis(500), 20, 0, Duration::ZERO);
    let long = predicted_when_full(Duration::ZERO, 0, 4, Duration::from_secs(40));

    assert!(short < unknown / 3.0, "{short} s with short slot times, {unknown} s by the report");
    assert!(long > unknown * 3.0, "{long} s with long slot times, {unknown} s by the report");
}
