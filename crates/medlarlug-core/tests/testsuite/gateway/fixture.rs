//! Builders of routes, services and upstreams.

use std::time::Duration;

use medlarlug_core::{
    gateway::{
        contacts::{InstanceInfo, InstanceKind},
        table::{
            CallerLimits, Route, RouteKind, RouteTable, Service, ServiceName, TableError,
            TableVersion, Target,
        },
        upstreams::{Birth, Upstream, UpstreamState},
    },
    ids::RegionId,
};

pub fn service(name: &str) -> ServiceName {
    ServiceName(name.into())
}

pub fn target(name: &str, weight: u32) -> Target {
    Target { service: service(name), weight }
}

/// A route of `kochi.example` to the service `scribe`, with two attempts.
pub fn route(prefix: &str) -> Route {
    Route {
        name: prefix.trim_matches('/').into(),
        host: "kochi.example".into(),
        prefix: prefix.into(),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(5),
        objective: Duration::from_millis(400),
        pause: Duration::from_millis(600),
        priority: 0,
        targets: vec![target("scribe", 1)],
        attempts: 2,
        homes: Vec::new(),
        is_anonymous: false,
    }
}

pub fn table(version: u64, routes: Vec<Route>) -> Result<RouteTable, TableError> {
    let named = |name: &str| Service {
        name: service(name),
        health: "/healthz".into(),
        connections: 100,
        cold_rate: 2.7,
        engine: None,
    };
    let services = vec![named("scribe"), named("desk")];
    RouteTable::new(TableVersion(version), routes, services, CallerLimits::default())
}

/// A ready upstream of `scribe` in `kochi-a`, in its first incarnation.
pub fn upstream(id: &str, sequence: u64) -> Upstream {
    Upstream {
        id: id.parse().unwrap(),
        service: service("scribe"),
        address: "10.128.0.9:8080".parse().unwrap(),
        zone: "kochi-a".parse().unwrap(),
        birth: Birth(1_000),
        sequence,
        state: UpstreamState::Ready,
        slots: 128,
        cold: Duration::ZERO,
        software: None,
    }
}

/// An entry instance of the zone `REGION-a`.
pub fn entry(id: &str, region: &str) -> InstanceInfo {
    let last = id.rsplit('-').next().unwrap();
    InstanceInfo {
        id: id.parse().unwrap(),
        kind: InstanceKind::Entry,
        zone: format!("{region}-a").parse().unwrap(),
        region: region.parse().unwrap(),
        internal: format!("10.1.0.{last}:7600").parse().unwrap(),
        public: Some(format!("10.1.0.{last}:8100").parse().unwrap()),
    }
}

pub fn region(name: &str) -> RegionId {
    name.parse().unwrap()
}
