//! The routing core: attempts without an end or a first token, and requests that leave their zone.

use std::time::Duration;

use assert_matches::assert_matches;
use medlarlug_core::{
    announcement::{Announcement, LoadReport},
    fingerprint::Fingerprint,
    ids::Revision,
    membership::{Event as News, Membership},
    release::{Configuration, Item, item::Residency},
    routing::{AttemptId, CallerRequest, Choice, Event, Prefix, Router},
    time::Time,
    units::Tokens,
};
use test_support::{id, region, team};

use crate::routing::{NOW, facts, membership, model, open_team, tell, upstream, view};

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
        panic!("an idle upstream, and yet {choice:?}");
    };
    let authorized = route.authorize(&configuration, &request.facts).unwrap();
    router.record_sent(now, &authorized, &request.facts);
    authorized.route().attempt_id
}

/// Lets the only upstream announce itself again.
fn renew(membership: &mut Membership, now: Time) {
    let sequence = 2 + now.as_micros();
    let renewed = Announcement { sequence, ..upstream("u0") };
    membership.handle(now, News::Announced(renewed), &mut Vec::new());
}

#[test]
fn attempt_whose_end_is_never_told_is_not_overdue_for_good() {
    let mut membership = membership(vec![upstream("u0")]);
    let mut router = Router::new(NOW, 1);
    send(&mut router, NOW, &membership);
    let late = NOW + Duration::from_secs(61);
    renew(&mut membership, late);

    let again = send(&mut router, late, &membership);

    assert_eq!(router.in_flight(), 1);
    router.handle(late, Event::Ended(again));
    assert_eq!(router.in_flight(), 0);
}

#[test]
fn running_stream_is_forgotten_only_after_the_longest_lifetime() {
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
    let after_lifetime = in_flight(NOW + Duration::from_secs(901));

    assert_eq!((after_minutes, after_lifetime), (1, 0));
}

/// Sends `count` requests before any of them ends; gives those that went to `u0`.
fn burst(router: &mut Router, now: Time, membership: &Membership, count: usize) -> Vec<AttemptId> {
    let configuration = configuration();
    let request = CallerRequest::new(facts());
    let mut slow = Vec::new();
    for _ in 0..count {
        let choice = router.decide(now, view(membership, &configuration), &request);
        let Ok(Choice::Serve(route)) = choice else {
            panic!("two upstreams, and yet {choice:?}");
        };
        let authorized = route.authorize(&configuration, &request.facts).unwrap();
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
    let slow = burst(&mut router, NOW, &membership, 4);
    let late = NOW + Duration::from_secs(2);

    slow.into_iter().for_each(|it| router.handle(late, Event::Ended(it)));

    let dump = router.dump(late);
    assert!(dump.upstreams[0].ratio > 2.0, "ratio {}", dump.upstreams[0].ratio);
    assert_eq!(dump.upstreams[1].ratio, 1.0);
}

#[test]
fn request_that_is_cold_at_home_leaves_a_full_zone_before_a_warm_one() {
    let configuration = crate::routing::configuration(open_team(), Residency::Anywhere);
    let print = Fingerprint::of(b"prefix");
    let load = LoadReport {
        running: 4,
        backlog: Tokens(20_000),
        cached: vec![print],
        ..LoadReport::default()
    };
    let mut membership = membership(vec![Announcement { load, ..upstream("u0") }]);
    tell(&mut membership, NOW, "kurzeme");
    let cold = CallerRequest::new(facts());
    let mut warm = cold.clone();
    warm.facts.prefixes = vec![Prefix { fingerprint: print, tokens: Tokens(800) }];

    let choices = [cold, warm]
        .map(|it| Router::new(NOW, 1).decide(NOW, view(&membership, &configuration), &it).unwrap());

    assert_matches!(choices, [Choice::Forward(_), Choice::Serve(_)]);
}

/// Predicted seconds at a full upstream, after `ended` own requests that held their slots for
/// `hold` each, and while `running` more have run for `age`.
fn predicted_when_full(hold: Duration, ended: usize, running: usize, age: Duration) -> f64 {
    let configuration = configuration();
    let mut membership = membership(vec![upstream("u0")]);
    let mut router = Router::new(NOW, 1);
    let mut now = NOW;
    for place in 0..ended + running {
        renew(&mut membership, now);
        let attempt_id = send(&mut router, now, &membership);
        now = now + Duration::from_millis(125);
        router.handle(now, Event::FirstToken(attempt_id));
        if place < ended {
            now = now + hold;
            router.handle(now, Event::Ended(attempt_id));
        }
    }
    now = now + age;
    let load = LoadReport { running: 8, waiting: 8, speed: 280.0, ..LoadReport::default() };
    let sequence = 2 + now.as_micros();
    let full = Announcement { sequence, load, ..upstream("u0") };
    membership.handle(now, News::Announced(full), &mut Vec::new());
    let mut request = CallerRequest::new(facts());
    request.facts.deadline = Duration::from_secs(300);
    match router.decide(now, view(&membership, &configuration), &request) {
        Ok(Choice::Serve(route)) => route.predicted.as_secs_f64(),
        other => panic!("one upstream and a long deadline, and yet {other:?}"),
    }
}

#[test]
fn prediction_follows_the_time_for_which_own_requests_hold_their_slots() {
    let unknown = predicted_when_full(Duration::ZERO, 0, 0, Duration::ZERO);
    let quick = predicted_when_full(Duration::from_millis(500), 20, 0, Duration::ZERO);
    let stuck = predicted_when_full(Duration::ZERO, 0, 4, Duration::from_secs(40));

    assert!(quick < unknown / 3.0, "{quick} s with quick answers, {unknown} s by the report");
    assert!(stuck > unknown * 3.0, "{stuck} s with stuck answers, {unknown} s by the report");
}
