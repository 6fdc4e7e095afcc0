//! Tests of the routing core: permitted destinations, statistics and refusals.

use std::time::Duration;

use assert_matches::assert_matches;
use medlarlug_core::{
    announcement::{Announcement, LoadReport},
    fingerprint::Fingerprint,
    ids::{Incarnation, RegionId, RequestId, Revision},
    membership::{
        EntryLoad, Event as MembershipEvent, Membership, Message, Millis, QueueTime, Scope, Seed,
        Settings, Sketch, Summaries, Target, TargetSummary, ZoneUpdate,
    },
    refusal::Reason,
    release::{
        Configuration, Item,
        item::{Model, Residency, Team},
    },
    routing::{
        CallerRequest, Choice, ConfigurationLease, Event, ForwardedRequest, Permit, Prefix,
        Refusal, RequestFacts, ResidencyError, Router, View,
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

/// The view of an entry instance in `riga` that knows the given upstreams of its zone.
pub fn membership(upstreams: Vec<Announcement>) -> Membership {
    let seeds: Vec<Seed> =
        REGIONS.iter().map(|it| entry(&format!("e-{it}"), &zone(it), it)).collect();
    let settings = Settings { own: seeds[0].clone(), incarnation: Incarnation(1), peers: seeds };
    let mut membership = Membership::new(NOW, settings);
    for upstream in upstreams {
        membership.handle(NOW, MembershipEvent::Announced(upstream), &mut Vec::new());
    }
    membership
}

pub fn upstream(name: &str) -> Announcement {
    engine(name, &zone("riga"), &["m"])
}

/// Adds a summary of the zone of `region`, with free slots for the model.
pub fn add_zone_summary(membership: &mut Membership, now: Time, region: &str) {
    let row = TargetSummary {
        target: Target::Model(id("m")),
        upstreams: 4,
        free: 32,
        queueing: QueueTime(0),
        speed: 0,
        warm: Sketch::default(),
    };
    let update = ZoneUpdate {
        zone: id(&zone(region)),
        speaker: id(&format!("e-{region}")),
        age: Millis::default(),
        revision: Revision(1),
        entries: vec![EntryLoad { id: id(&format!("e-{region}")), load: 0 }],
        rows: vec![row],
    };
    let message = Message::Summaries(Summaries { scope: Scope::Chain(0), zones: vec![update] });
    let event = MembershipEvent::Message { from: id(&format!("e-{region}")), message };
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

/// The residency rule in its simplest form, as the reference.
fn naively_permits(rule: &Residency, home: &RegionId, region: &RegionId) -> bool {
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
    let outcome = runner(3_000).run(&cases, |(own, target, home, known, upstreams, is_valid)| {
        let team = Team { residency: own.clone(), ..team("crew", home) };
        let configuration = configuration(team, target.clone());
        let home = id(home);
        let mut all = Vec::new();
        for (index, (is_leaving, _, running)) in upstreams.iter().enumerate() {
            let load = LoadReport { running: *running, ..LoadReport::default() };
            let name = format!("u{index}");
            all.push(Announcement { leaving: *is_leaving, load, ..upstream(&name) });
        }
        let mut request = CallerRequest::new(facts());
        let excluded = (0..upstreams.len()).filter(|it| upstreams[*it].1);
        request.facts.excluded = excluded.map(|it| id(&format!("u{it}"))).collect();
        let mut membership = membership(all);
        for (region, _) in REGIONS.iter().zip(&known).skip(1).filter(|it| *it.1) {
            add_zone_summary(&mut membership, NOW, region);
        }
        let lease = if is_valid { ConfigurationLease::Valid } else { ConfigurationLease::Lapsed };
        let view = View { lease, ..view(&membership, &configuration) };
        let permits = |region: &RegionId| {
            naively_permits(&own, &home, region) && naively_permits(&target, &home, region)
        };
        let usable = |index: usize| !upstreams[index].0 && !upstreams[index].1;
        let is_listed_elsewhere = matches!(own, Residency::Regions(_)) && home != id("riga");
        let may_stay = permits(&id("riga")) && (is_valid || !is_listed_elsewhere);
        let local = may_stay && (0..upstreams.len()).any(usable);
        let remote = |it: usize| is_valid && known[it] && permits(&id(REGIONS[it]));

        let decision = Router::new(NOW, 1).decide(NOW, view, &request);

        match decision {
            Ok(Choice::Serve(route)) => {
                let index: usize = route.upstream.as_str()[1..].parse().unwrap();
                prop_assert!(may_stay && usable(index));
                prop_assert!(route.authorize(&configuration, lease, &request.facts).is_ok());
            }
            Ok(Choice::Forward(route)) => {
                prop_assert!(permits(&route.region) && is_valid);
                let authorized = route.authorize(&configuration, lease, &request).unwrap();
                let header = authorized.header().clone();
                let region = authorized.route().region.clone();
                prop_assert!(ForwardedRequest::receive(header, &configuration, &region).is_ok());
            }
            Err(_) => prop_assert!(!local && !remote(1) && !remote(2)),
        }
        Ok(())
    });
    outcome.unwrap();
}

#[test]
fn permit_is_checked_against_the_revision_in_force_when_sending() {
    let configuration = configuration(open_team(), Residency::Anywhere);
    let mut membership = membership(Vec::new());
    add_zone_summary(&mut membership, NOW, "kurzeme");
    let request = CallerRequest::new(facts());
    let mut router = Router::new(NOW, 1);
    let choice = router.decide(NOW, view(&membership, &configuration), &request).unwrap();
    let Choice::Forward(route) = choice else {
        panic!("expected a route to another zone, got {choice:?}");
    };

    let stricter = self::configuration(team("crew", "riga"), Residency::Anywhere);
    let forbidden = route.clone().authorize(&stricter, ConfigurationLease::Valid, &request);
    let lapsed = route.clone().authorize(&configuration, ConfigurationLease::Lapsed, &request);

    assert_matches!(forbidden, Err(ResidencyError::Forbidden { .. }));
    assert_matches!(lapsed, Err(ResidencyError::Unconfirmed { .. }));
    let authorized = route.authorize(&configuration, ConfigurationLease::Valid, &request).unwrap();
    let header = authorized.header().clone();
    let received = ForwardedRequest::receive(header.clone(), &stricter, &id("kurzeme"));
    assert_matches!(received, Err(ResidencyError::Forbidden { .. }));
    let elsewhere = ForwardedRequest::receive(header, &configuration, &id("latgale"));
    assert_matches!(elsewhere, Err(ResidencyError::Misdirected { .. }));
}

#[test]
fn permit_does_not_outlast_the_revision_or_the_lease_while_a_connection_opens() {
    let configuration = configuration(open_team(), Residency::Anywhere);
    let mut membership = membership(vec![upstream("u0")]);
    add_zone_summary(&mut membership, NOW, "kurzeme");
    let request = CallerRequest::new(facts());
    let view = view(&membership, &configuration);
    let Ok(Choice::Serve(route)) = Router::new(NOW, 1).decide(NOW, view, &request) else {
        panic!("expected a route to an upstream");
    };
    let local = route.authorize(&configuration, ConfigurationLease::Valid, &request.facts).unwrap();
    let away = CallerRequest::new(RequestFacts { excluded: vec![id("u0")], ..facts() });
    let Ok(Choice::Forward(route)) = Router::new(NOW, 1).decide(NOW, view, &away) else {
        panic!("expected a route to another zone");
    };
    let remote = route.authorize(&configuration, ConfigurationLease::Valid, &away).unwrap();
    let only =
        |region| Team { residency: Residency::Regions(vec![id(region)]), ..team("crew", "riga") };
    let [in_riga, in_kurzeme] =
        ["riga", "kurzeme"].map(|it| self::configuration(only(it), Residency::Anywhere));
    let without_team = Configuration::new(Revision(2), vec![model(Residency::Anywhere)]);
    let (valid, lapsed) = (ConfigurationLease::Valid, ConfigurationLease::Lapsed);

    assert_eq!(local.recheck(&in_riga, valid, &request.facts), Ok(()));
    assert_eq!(remote.recheck(&in_kurzeme, valid), Ok(()));
    let forbidden = local.recheck(&in_kurzeme, valid, &request.facts);
    assert_matches!(forbidden, Err(ResidencyError::Forbidden { .. }));
    assert_matches!(remote.recheck(&in_riga, valid), Err(ResidencyError::Forbidden { .. }));
    assert_matches!(
        remote.recheck(&configuration, lapsed),
        Err(ResidencyError::Unconfirmed { .. })
    );
    assert_matches!(remote.recheck(&without_team, valid), Err(ResidencyError::UnknownTeam { .. }));
}

#[test]
fn lapsed_lease_leaves_a_team_with_listed_regions_its_home_only() {
    let membership = membership(vec![upstream("u0")]);
    let listed = Residency::Regions(vec![id("kurzeme"), id("riga")]);
    let request = CallerRequest::new(facts());
    let cases = [
        (listed.clone(), "riga", true),
        (listed, "kurzeme", false),
        (Residency::Anywhere, "kurzeme", true),
    ];
    for (residency, home, is_served) in cases {
        let team = Team { residency, ..team("crew", home) };
        let configuration = configuration(team, Residency::Anywhere);
        let view = view(&membership, &configuration);
        let lapsed = View { lease: ConfigurationLease::Lapsed, ..view };
        let Ok(Choice::Serve(route)) = Router::new(NOW, 1).decide(NOW, view, &request) else {
            panic!("expected a route to an upstream");
        };

        let decided = Router::new(NOW, 1).decide(NOW, lapsed, &request);
        let authorized = route.clone().authorize(&configuration, lapsed.lease, &request.facts);
        let earlier = route.authorize(&configuration, view.lease, &request.facts).unwrap();
        let rechecked = earlier.recheck(&configuration, lapsed.lease, &request.facts);

        let permit =
            Permit::check(&configuration, view.lease, &request.facts, &id("kurzeme"), &id("riga"));
        let header = request.header(&permit.unwrap());
        let forwarded = ForwardedRequest::receive(header, &configuration, &id("riga")).unwrap();
        let received = Router::new(NOW, 1).decide_forwarded(NOW, lapsed, &forwarded);

        assert!(received.is_ok(), "{home}: {received:?}");
        assert_eq!(decided.is_ok(), is_served, "{home}: {decided:?}");
        assert_eq!((authorized.is_ok(), rechecked.is_ok()), (is_served, is_served), "{home}");
        if let Err(refusal) = decided {
            assert_eq!(refusal.reason(), Reason::Unconfirmed);
            assert!(refusal.retry_after().is_some());
        }
    }
}

#[test]
fn forwarded_request_survives_its_encoding() {
    let configuration = configuration(open_team(), Residency::Anywhere);
    let mut membership = membership(Vec::new());
    add_zone_summary(&mut membership, NOW, "kurzeme");
    let request = CallerRequest::new(facts());
    let mut router = Router::new(NOW, 1);
    let choice = router.decide(NOW, view(&membership, &configuration), &request);
    let Ok(Choice::Forward(route)) = choice else {
        panic!("expected a route to another zone, got {choice:?}");
    };
    let authorized = route.authorize(&configuration, ConfigurationLease::Valid, &request).unwrap();

    let bytes = postcard::to_allocvec(authorized.header()).unwrap();

    assert_eq!(postcard::from_bytes(&bytes).as_ref(), Ok(authorized.header()));
}

#[test]
fn upstream_with_an_expired_lease_is_not_used() {
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
fn request_that_cannot_meet_its_deadline_is_refused_with_a_retry_delay() {
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
fn upstream_with_the_cached_prefix_is_preferred_among_equal_ones() {
    let configuration = configuration(open_team(), Residency::Home);
    let fingerprint = Fingerprint::of(b"prefix");
    let load = LoadReport { cached: vec![fingerprint], ..LoadReport::default() };
    let all = vec![upstream("u0"), Announcement { load, ..upstream("u1") }, upstream("u2")];
    let membership = membership(all);
    let mut request = CallerRequest::new(facts());
    request.facts.prefixes = vec![Prefix { fingerprint, tokens: Tokens(800) }];

    let decision = Router::new(NOW, 1).decide(NOW, view(&membership, &configuration), &request);

    assert_matches!(decision, Ok(Choice::Serve(route)) if route.upstream == id("u1"));
}

/// Sends requests to two upstreams that report themselves idle, of which `u0` takes `slow` until
/// the first token. Returns how many went to `u0`.
fn requests_to_slow_upstream(slow: Duration, requests: usize) -> usize {
    let configuration = configuration(open_team(), Residency::Home);
    let request = CallerRequest::new(facts());
    let mut membership = membership(Vec::new());
    let mut router = Router::new(NOW, 1);
    let mut now = NOW;
    let mut hits = 0;
    for sequence in 0..requests {
        for name in ["u0", "u1"] {
            let announcement = Announcement { sequence: sequence as u64 + 1, ..upstream(name) };
            membership.handle(now, MembershipEvent::Announced(announcement), &mut Vec::new());
        }
        let choice = router.decide(now, view(&membership, &configuration), &request);
        let Ok(Choice::Serve(route)) = choice else {
            panic!("expected a route to one of two idle upstreams, got {choice:?}");
        };
        let is_slow = route.upstream == id("u0");
        hits += usize::from(is_slow);
        let authorized =
            route.authorize(&configuration, ConfigurationLease::Valid, &request.facts).unwrap();
        router.record_sent(now, &authorized, &request.facts);
        let latency = if is_slow { slow } else { Duration::from_millis(130) };
        now = now + latency;
        let attempt_id = authorized.route().attempt_id;
        router.handle(now, Event::FirstToken(attempt_id));
        router.handle(now, Event::Ended(attempt_id));
    }
    hits
}

#[test]
fn slow_upstream_that_reports_itself_idle_loses_its_traffic() {
    let slow = requests_to_slow_upstream(Duration::from_millis(1_500), 300);
    let equal = requests_to_slow_upstream(Duration::from_millis(130), 300);

    assert!(slow < 30, "{slow} of 300 requests went to the slow upstream");
    assert!(
        (90..=210).contains(&equal),
        "{equal} of 300 requests went to one of two equal upstreams"
    );
}

#[test]
fn failed_upstream_is_avoided_and_retried_later() {
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
    let authorized =
        first.authorize(&configuration, ConfigurationLease::Valid, &request.facts).unwrap();
    router.record_sent(NOW, &authorized, &request.facts);
    router.handle(NOW, Event::Failed(authorized.route().attempt_id));

    let soon: Vec<_> = (0..20).map(|_| route(NOW, &mut router).upstream).collect();
    let late = NOW + Duration::from_secs(2);
    let later: Vec<_> = (0..50).map(|_| route(late, &mut router).upstream).collect();

    assert!(!soon.contains(&failed));
    assert!(later.contains(&failed));
}

/// Sends `count` requests before the first of them ends. Returns how many went to `u1`.
fn send_burst(router: &mut Router, now: Time, membership: &Membership, count: usize) -> usize {
    let configuration = configuration(open_team(), Residency::Home);
    let request = CallerRequest::new(facts());
    let mut hits = 0;
    let mut tickets = Vec::new();
    for _ in 0..count {
        let choice = router.decide(now, view(membership, &configuration), &request);
        let Ok(Choice::Serve(route)) = choice else {
            panic!("expected a route to one of two upstreams, got {choice:?}");
        };
        hits += usize::from(route.upstream == id("u1"));
        let authorized =
            route.authorize(&configuration, ConfigurationLease::Valid, &request.facts).unwrap();
        router.record_sent(now, &authorized, &request.facts);
        tickets.push(authorized.route().attempt_id);
    }
    tickets.into_iter().for_each(|it| router.handle(now, Event::Ended(it)));
    hits
}

#[test]
fn returned_upstream_ramps_up_gradually() {
    let load = LoadReport { running: 4, backlog: Tokens(4_000), ..LoadReport::default() };
    let busy = Announcement { load, ..upstream("u0") };
    let mut membership = membership(vec![busy.clone()]);
    let mut router = Router::new(NOW, 1);
    send_burst(&mut router, NOW, &membership, 1);
    let back = NOW + Duration::from_secs(30);
    let late = back + Duration::from_secs(20);

    for it in [Announcement { sequence: 9, ..busy.clone() }, upstream("u1")] {
        membership.handle(back, MembershipEvent::Announced(it), &mut Vec::new());
    }
    let at_first = send_burst(&mut router, back, &membership, 6);
    for it in
        [Announcement { sequence: 10, ..busy }, Announcement { sequence: 10, ..upstream("u1") }]
    {
        membership.handle(late, MembershipEvent::Announced(it), &mut Vec::new());
    }
    let later = send_burst(&mut router, late, &membership, 6);

    assert!(at_first <= 2, "{at_first} of 6 requests went to a cold upstream at once");
    assert!(later > 2, "{later} of 6 requests went to the returned upstream after its ramp");
}
