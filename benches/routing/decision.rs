//! Measures the time of one routing decision among 600 upstreams of one zone.

use std::time::{Duration, Instant};

use medlarlug_core::{
    announcement::{Announcement, LoadReport, LoadedModel, UpstreamKind},
    fingerprint::Fingerprint,
    ids::{Incarnation, RequestId},
    membership::{Event, InstanceKind, Membership, Seed, Settings, Target},
    routing::{CallerRequest, ConfigurationLease, Prefix, RequestFacts, Router, View},
    time::Time,
    units::{Slots, Tokens},
};
use test_support::id;

use crate::deployment::KOORDINATU;

const UPSTREAM_COUNT: u128 = 600;
const DECISION_COUNT: u32 = 200_000;

pub fn measure() {
    let own =
        Seed { id: id("e0"), kind: InstanceKind::Entry, zone: id("riga-a"), region: id("riga") };
    let settings = Settings { own, incarnation: Incarnation(1), peers: Vec::new() };
    let mut membership = Membership::new(Time::ZERO, settings);
    for it in 0..UPSTREAM_COUNT {
        membership.handle(Time::ZERO, Event::Announced(announcement(it)), &mut Vec::new());
    }
    let configuration = KOORDINATU.configuration();
    let lease = ConfigurationLease::Valid;
    let view = View { membership: &membership, configuration: &configuration, lease };
    let mut router = Router::new(Time::ZERO, 1);
    let caller_request = caller_request();

    let start = Instant::now();
    for _ in 0..DECISION_COUNT {
        std::hint::black_box(router.decide(Time::ZERO, view, &caller_request).unwrap());
    }
    let each: Duration = start.elapsed() / DECISION_COUNT;

    println!("one decision among {UPSTREAM_COUNT} upstreams: {each:?}");
}

fn announcement(number: u128) -> Announcement {
    let loaded = LoadedModel { model: id("m"), version: id("v1"), adapters: Vec::new() };
    let cached = (0..200).map(|it| Fingerprint::of(&(number * 1_000 + it).to_be_bytes()));
    Announcement {
        id: id(&format!("u{number:03}")),
        incarnation: Incarnation(1),
        sequence: 1,
        zone: id("riga-a"),
        address: "127.0.0.1:9000".parse().unwrap(),
        kind: UpstreamKind::Engine { models: vec![loaded] },
        slots: Slots(16),
        fencing: true,
        leaving: false,
        load: LoadReport {
            running: 8,
            speed: 250.0,
            cached: cached.collect(),
            ..Default::default()
        },
    }
}

fn caller_request() -> CallerRequest {
    let prefixes = (0..3u8).map(|it| Prefix {
        fingerprint: Fingerprint::of(&[it]),
        tokens: Tokens(1_500 / (u64::from(it) + 1)),
    });
    CallerRequest::new(RequestFacts {
        id: RequestId {
            region: id("riga"),
            instance: id("e0"),
            incarnation: Incarnation(1),
            sequence: 1,
        },
        team: id("riga-free"),
        target: Target::Model(id("m")),
        adapter: None,
        prompt: Tokens(2_000),
        prefixes: prefixes.collect(),
        priority: 0,
        deadline: Duration::from_secs(8),
        excluded: Vec::new(),
    })
}
