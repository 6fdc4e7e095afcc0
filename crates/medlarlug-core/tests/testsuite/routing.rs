//! The routing core: permitted places, learning, refusals.

use std::time::Duration;

use assert_matches::assert_matches;
use medlarlug_core::{
    announcement::{Announcement, LoadReport},
    fingerprint::Fingerprint,
    ids::{Incarnation, RegionId, RequestId, Revision},
    membership::{
        EntryLoad, Event as News, Membership, Message, Millis, QueueTime, Scope, Seed, Settings,
        Sketch, Summaries, Target, TargetSummary, ZoneUpdate,
    },
    release::{
        Configuration, Item,
        item::{Model, Residency, Team},
    },
    routing::{
        CallerRequest, Choice, ConfigurationLease, Event, ForwardedRequest, Prefix, Refusal,
        RequestFacts, ResidencyError, Router, View,
    },
    time::Time,
    units::Tokens,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use test_support::{id, region, team};

use crate::network::{engine, entry};

const REGIONS: [&str; 3] = ["riga", "kurzeme", "latgale"];
pub const NOW: Time = Time::ZERO;

fn zone(region: &str) -> String {
    format!("{region}-a")
}

pub fn model(residency: Residency) -> Item {
    let versions = vec![id("v1")];
    Item::Model(Model { id: id("m"), versions, adapters: Vec::new(), residency })
}

pub fn configuration(team: Team, target: Residency) -> Configuration {
    let mut items = vec![model(target), Item::Team(team)];
    items.extend(REGIONS.map(|it| region(it, &[&zone(it)])));
    Configuration::new(Revision(1), items)
}

pub fn open_team() -> Team {
    Team { residency: Residency::Anywhere, ..team("crew", "riga") }
}

pub fn facts() -> RequestFacts {
    RequestFacts {
        id: RequestId {
            region: id("riga"),
            instance: id("e0"),
            incarnation: Incarnation(1),
            sequence: 1,
        },
        team: id("crew"),
        target: Target::Model(id("m")),
        adapter: None,
        prompt: Tokens(1_000),
        prefixes: Vec::new(),
        priority: 0,
        deadline: Duration::from_secs(5),
        excluded: Vec::new(),
    }
}

/// An entry instance in `riga` that knows the given upstreams of its zone.
pub fn membership(upstreams: Vec<Announcement>) -> Membership {
    let seeds: Vec<Seed> =
        REGIONS.iter().map(|it| entry(&format!("e-{it}"), &zone(it), it)).collect();
    let settings = Settings { own: seeds[0].clone(), incarnation: Incarnation(1), peers: seeds };
    let mut membership = Membership::new(NOW, settings);
    for upstream in upstreams {
        membership.handle(NOW, News::Announced(upstream), &mut Vec::new());
    }
    membership
}

pub fn upstream(name: &str) -> Announcement {
    engine(name, &zone("riga"), &["m"])
}

/// Tells of a zone with free slots.
pub fn tell(membership: &mut Membership, now: Time, region: &str) {
    let row = TargetSummary {
        target: Target::Model(id("m")),
        upstreams: 4,
        free: 32,
        queueing: QueueTime(0),
        speed: 0,
        warm: Sketch::default(),
    };
    let news = ZoneUpdate {
        zone: id(&zone(region)),
        speaker: id(&format!("e-{region}")),
        age: Millis::default(),
        revision: Revision(1),
        entries: vec![EntryLoad { id: id(&format!("e-{region}")), load: 0 }],
        rows: vec![row],
    };
    let message = Message::Summaries(Summaries { scope: Scope::Chain(0), zones: vec![news] });
    let event = News::Message { from: id(&format!("e-{region}")), message };
    membership.handle(now, event, &mut Vec::new());
}

pub fn view<'a>(membership: &'a Membership, configuration: &'a Configuration) -> View<'a> {
    View { membership, configuration, lease: ConfigurationLease::Valid }
}

fn residency() -> impl Strategy<Value = Residency> {
    let some = prop::sample::subsequence(REGIONS.to_vec(), 0..=3);
    prop_oneof![
        Just(Residency::Home),
        Just(Residency::Anywhere),
        some.prop_map(|it| Residency::Regions(it.into_iter().map(id).collect())),
    ]
}

/// The naive rule, written out.
fn naive_permits(rule: &Residency, home: &RegionId, region: &RegionId) -> bool {
    match rule {
        Residency::Home => region == home,
        Residency::Regions(regions) => regions.iter().any(|it| it == region),
        Residency::Anywhere => true,
    }
}

fn runner(cases: u32) -> TestRunner {
    let random = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    TestRunner::new_with_rng(
        Config { cases, failure_persistence: None, ..Config::default() },
        random,
    )
}

#[test]
fn no_request_is_sent_where_the_naive_rule_forbids_it() {
    let cases = (
        residency(),
        residency(),
        prop::sample::select(REGIONS.to_vec()),
        prop::collection::vec(any::<bool>(), 3),
        prop::collection::vec((any::<bool>(), any::<bool>(), 0u32..20), 0..4),
        any::<bool>(),
    );
    let outcome = runner(3_000).run(&cases, |(own, target, home, told, upstreams, is_valid)| {
        let team = Team { residency: own.clone(), ..team("crew", home) };
        let configuration = configuration(team, target.clone());
        let home = id(home);
        let mut all = Vec::new();
        for (place, (is_leaving, _, running)) in upstreams.iter().enumerate() {
            let load = LoadReport { running: *running, ..LoadReport::default() };
            let name = format!("u{place}");
            all.push(Announcement { leaving: *is_leaving, load, ..upstream(&name) });
        }
        let mut request = CallerRequest::new(facts());
        let excluded = (0..upstreams.len()).filter(|it| upstreams[*it].1);
        request.facts.excluded = excluded.map(|it| id(&format!("u{it}"))).collect();
        let mut membership = membership(all);
        for (region, _) in REGIONS.iter().zip(&told).skip(1).filter(|it| *it.1) {
            tell(&mut membership, NOW, region);
        }
        let lease = if is_valid { ConfigurationLease::Valid } else { ConfigurationLease::Lapsed };
        let view = View { lease, ..view(&membership, &configuration) };
        let permits = |region: &RegionId| {
            naive_permits(&own, &home, region) && naive_permits(&target, &home, region)
        };
        let usable = |place: usize| !upstreams[place].0 && !upstreams[place].1;
        let at_home = permits(&id("riga")) && (0..upstreams.len()).any(usable);
        let away = |it: usize| is_valid && told[it] && permits(&id(REGIONS[it]));

        let decision = Router::new(NOW, 1).decide(NOW, view, &request);

        match decision {
            Ok(Choice::Serve(route)) => {
                let place: usize = route.upstream.as_str()[1..].parse().unwrap();
                prop_assert!(permits(&id("riga")) && usable(place));
                prop_assert!(route.authorize(&configuration, &request.facts).is_ok());
            }
            Ok(Choice::Forward(route)) => {
                prop_assert!(permits(&route.region) && is_valid);
                let authorized = route.authorize(&configuration, lease, &request).unwrap();
                let header = authorized.header().clone();
                let region = authorized.route().region.clone();
                prop_assert!(ForwardedRequest::receive(header, &configuration, &region).is_ok());
            }
            Err(_) => prop_assert!(!at_home && !away(1) && !away(2)),
        }
        Ok(())
    });
    outcome.unwrap();
}

#[test]
fn permit_is_checked_against_the_revision_in_force_when_leaving() {
    let configuration = configuration(open_team(), Residency::Anywhere);
    let mut membership = membership(Vec::new());
    tell(&mut membership, NOW, "kurzeme");
    let request = CallerRequest::new(facts());
    let mut router = Router::new(NOW, 1);
    let choice = router.decide(NOW, view(&membership, &configuration), &request).unwrap();
    let Choice::Forward(route) = choice else {
        panic!("no upstream at home, and yet {choice:?}");
    };

    let tightened = self::configuration(team("crew", "riga"), Residency::Anywhere);
    let left = route.clone().authorize(&tightened, ConfigurationLease::Valid, &request);
    let lapsed = route.clone().authorize(&configuration, ConfigurationLease::Lapsed, &request);

    assert_matches!(left, Err(ResidencyError::Forbidden { .. }));
    assert_matches!(lapsed, Err(ResidencyError::Unconfirmed { .. }));
    let authorized = route.authorize(&configuration, ConfigurationLease::Valid, &request).unwrap();
    let header = authorized.header().clone();
    let received = ForwardedRequest::receive(header.clone(), &tightened, &id("kurzeme"));
    assert_matches!(received, Err(ResidencyError::Forbidden { .. }));
    let elsewhere = ForwardedRequest::receive(header, &configuration, &id("latgale"));
    assert_matches!(elsewhere, Err(ResidencyError::Misdirected { .. }));
}

#[test]
fn forwarded_request_survives_its_encoding() {
    let configuration = configuration(open_team(), Residency::Anywhere);
    let mut membership = membership(Vec::new());
    tell(&mut membership, NOW, "kurzeme");
    let request = CallerRequest::new(facts());
    let mut router = Router::new(NOW, 1);
    let choice = router.decide(NOW, view(&membership, &configuration), &request);
    let Ok(Choice::Forward(route)) = choice else {
        panic!("no upstream at home, and yet {choice:?}");
    };
    let authorized = route.authorize(&configuration, ConfigurationLease::Valid, &request).unwrap();

    let bytes = postcard::to_allocvec(authorized.header()).unwrap();

    assert_eq!(postcard::from_bytes(&bytes).as_ref(), Ok(authorized.header()));
}

#[test]
fn upstream_whose_lease_ran_out_is_not_used() {
    let configuration = configuration(open_team(), Residency::Home);
    let membership = membership(vec![upstream("u0")]);
    let late = NOW + Duration::from_secs(3);

    let decision = Router::new(NOW, 1).decide(
        late,
        view(&membership, &configuration),
        &CallerRequest::new(facts()),
    );

    assert_matches!(decision, Err(Refusal::NoUpstream { .. }));
}

#[test]
fn request_that_can_not_meet_its_deadline_is_refused_with_a_time_to_come_back() {
    let configuration = configuration(open_team(), Residency::Home);
    let load = LoadReport { running: 8, waiting: 400, ..LoadReport::default() };
    let membership = membership(vec![Announcement { load, ..upstream("u0") }]);

    let decision = Router::new(NOW, 1).decide(
        NOW,
        view(&membership, &configuration),
        &CallerRequest::new(facts()),
    );

    let refusal = decision.unwrap_err();
    assert_matches!(refusal, Refusal::Deadline { .. });
    assert!(refusal.retry_after().unwrap() >= Duration::from_secs(1));
}

#[test]
fn warm_prefix_decides_between_equal_upstreams() {
    let configuration = configuration(open_team(), Residency::Home);
    let print = Fingerprint::of(b"prefix");
    let load = LoadReport { cached: vec![print], ..LoadReport::default() };
    let all = vec![upstream("u0"), Announcement { load, ..upstream("u1") }, upstream("u2")];
    let membership = membership(all);
    let mut request = CallerRequest::new(facts());
    request.facts.prefixes = vec![Prefix { fingerprint: print, tokens: Tokens(800) }];

    let decision = Router::new(NOW, 1).decide(NOW, view(&membership, &configuration), &request);

    assert_matches!(decision, Ok(Choice::Serve(route)) if route.upstream == id("u1"));
}

/// Sends requests to two idle-looking upstreams, of which `u0` takes `slow` to the first token.
fn share_of_slow(slow: Duration, requests: usize) -> usize {
    let configuration = configuration(open_team(), Residency::Home);
    let request = CallerRequest::new(facts());
    let mut membership = membership(Vec::new());
    let mut router = Router::new(NOW, 1);
    let mut now = NOW;
    let mut share = 0;
    for sequence in 0..requests {
        for name in ["u0", "u1"] {
            let announcement = Announcement { sequence: sequence as u64 + 1, ..upstream(name) };
            membership.handle(now, News::Announced(announcement), &mut Vec::new());
        }
        let choice = router.decide(now, view(&membership, &configuration), &request);
        let Ok(Choice::Serve(route)) = choice else {
            panic!("two idle upstreams, and yet {choice:?}");
        };
        let is_slow = route.upstream == id("u0");
        share += usize::from(is_slow);
        let authorized = route.authorize(&configuration, &request.facts).unwrap();
        router.record_sent(now, &authorized, &request.facts);
        let took = if is_slow { slow } else { Duration::from_millis(130) };
        now = now + took;
        let attempt_id = authorized.route().attempt_id;
        router.handle(now, Event::FirstToken(attempt_id));
        router.handle(now, Event::Ended(attempt_id));
    }
    share
}

#[test]
fn slow_upstream_that_reports_itself_idle_loses_its_traffic() {
    let slow = share_of_slow(Duration::from_millis(1_500), 300);
    let alike = share_of_slow(Duration::from_millis(130), 300);

    assert!(slow < 30, "{slow} of 300 requests went to the slow upstream");
    assert!((90..=210).contains(&alike), "{alike} of 300 requests went to one of two alike");
}

#[test]
fn failed_upstream_is_avoided_and_tried_again() {
    let configuration = configuration(open_team(), Residency::Home);
    let membership = membership(vec![upstream("u0"), upstream("u1")]);
    let request = CallerRequest::new(facts());
    let mut router = Router::new(NOW, 1);
    let route = |now: Time, router: &mut Router| match router.decide(
        now,
        view(&membership, &configuration),
        &request,
    ) {
        Ok(Choice::Serve(route)) => route,
        other => panic!("expected an upstream, got {other:?}"),
    };
    let first = route(NOW, &mut router);
    let failed = first.upstream.clone();
    let authorized = first.authorize(&configuration, &request.facts).unwrap();
    router.record_sent(NOW, &authorized, &request.facts);
    router.handle(NOW, Event::Failed(authorized.route().attempt_id));

    let soon: Vec<_> = (0..20).map(|_| route(NOW, &mut router).upstream).collect();
    let late = NOW + Duration::from_secs(2);
    let later: Vec<_> = (0..50).map(|_| route(late, &mut router).upstream).collect();

    assert!(!soon.contains(&failed));
    assert!(later.contains(&failed));
}

/// Sends `count` requests before the first of them ends; gives how many `u1` got.
fn burst(router: &mut Router, now: Time, membership: &Membership, count: usize) -> usize {
    let configuration = configuration(open_team(), Residency::Home);
    let request = CallerRequest::new(facts());
    let mut share = 0;
    let mut tickets = Vec::new();
    for _ in 0..count {
        let choice = router.decide(now, view(membership, &configuration), &request);
        let Ok(Choice::Serve(route)) = choice else {
            panic!("two upstreams, and yet {choice:?}");
        };
        share += usize::from(route.upstream == id("u1"));
        let authorized = route.authorize(&configuration, &request.facts).unwrap();
        router.record_sent(now, &authorized, &request.facts);
        tickets.push(authorized.route().attempt_id);
    }
    tickets.into_iter().for_each(|it| router.handle(now, Event::Ended(it)));
    share
}

#[test]
fn returned_upstream_takes_its_share_up_by_and_by() {
    let load = LoadReport { running: 4, backlog: Tokens(4_000), ..LoadReport::default() };
    let busy = Announcement { load, ..upstream("u0") };
    let mut membership = membership(vec![busy.clone()]);
    let mut router = Router::new(NOW, 1);
    burst(&mut router, NOW, &membership, 1);
    let back = NOW + Duration::from_secs(30);
    let late = back + Duration::from_secs(20);

    for it in [Announcement { sequence: 9, ..busy.clone() }, upstream("u1")] {
        membership.handle(back, News::Announced(it), &mut Vec::new());
    }
    let at_first = burst(&mut router, back, &membership, 6);
    for it in
        [Announcement { sequence: 10, ..busy }, Announcement { sequence: 10, ..upstream("u1") }]
    {
        membership.handle(late, News::Announced(it), &mut Vec::new());
    }
    let later = burst(&mut router, late, &membership, 6);

    assert!(at_first <= 2, "{at_first} of 6 requests went to a cold upstream at once");
    assert!(later > 2, "{later} of 6 requests went to the returned upstream after its ramp");
}
