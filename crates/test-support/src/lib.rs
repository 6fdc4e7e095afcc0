//! Builders and fixtures for the test suites.

pub mod caller;
pub mod deployment;
pub mod relay;
pub mod scale;
pub mod signals;
pub mod stream;

use std::{
    net::{SocketAddr, TcpListener},
    sync::atomic::{AtomicU32, Ordering},
};

use medlarlug_core::{
    fingerprint::Fingerprint,
    ids::{ReleaseNumber, Revision},
    release::{
        Item, RawNote,
        item::{Policy, Region, Residency, Service, Team},
    },
};

use crate::deployment::CALLER_KEY;

/// Parses an id out of a literal.
pub fn id<T: std::str::FromStr>(text: &str) -> T {
    match text.parse() {
        Ok(id) => id,
        Err(_) => panic!("`{text}` is no valid id"),
    }
}

/// A region with its zones.
pub fn region(name: &str, zones: &[&str]) -> Item {
    Item::Region(Region { id: id(name), zones: zones.iter().map(|zone| id(zone)).collect() })
}

/// A team without a key that may be served in its home region only.
pub fn team(name: &str, home: &str) -> Team {
    Team {
        id: id(name),
        home: id(home),
        keys: Vec::new(),
        residency: Residency::Home,
        rate: id("10/s"),
        burst: id("10"),
        priority: 0,
    }
}

/// The team `survey`, whose bearer key is [`CALLER_KEY`] and which no limit slows.
pub fn survey_team(home: &str) -> Team {
    Team {
        keys: vec![Fingerprint::of(CALLER_KEY.as_bytes())],
        residency: Residency::Anywhere,
        rate: id("100000/s"),
        burst: id("100000"),
        ..team("survey", home)
    }
}

/// A plain service whose calls may not be repeated.
pub fn booking_service(name: &str) -> Item {
    Item::Service(Service {
        id: id(name),
        idempotent: false,
        reports_outcomes: false,
        residency: Residency::Anywhere,
    })
}

/// A plain service whose calls may be repeated.
pub fn idempotent_service(name: &str) -> Item {
    Item::Service(Service {
        id: id(name),
        idempotent: true,
        reports_outcomes: false,
        residency: Residency::Anywhere,
    })
}

/// A policy that weighs latency and cost alike, with a deadline of 10 s.
pub fn policy() -> Item {
    let even = || 1.0.try_into().expect("a price");
    Item::Policy(Policy { latency_weight: even(), cost_weight: even(), deadline_ms: 10_000 })
}

/// A note that adds `items` to revision `base`, numbered one above it.
pub fn note(base: u64, items: Vec<Item>) -> RawNote {
    RawNote {
        number: ReleaseNumber(base + 1),
        operator: id("anna"),
        base: Revision(base),
        added: items,
        changed: Vec::new(),
        withdrawn: Vec::new(),
    }
}

/// First port that [`free_address`] hands out; all lie below the range of outgoing connections.
const FIRST_PORT: u32 = 20_000;

/// Number of ports that it hands out in turn.
const PORTS: u32 = 12_000;

/// A loopback address that nothing listens at and that no other call in this process gets.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let start = std::process::id().wrapping_mul(97);
    loop {
        let index = start.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed)) % PORTS;
        let address = SocketAddr::from(([127, 0, 0, 1], (FIRST_PORT + index) as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// The first of `count` addresses with rising ports, none of which any other call gets.
pub fn free_port_range(count: usize) -> SocketAddr {
    let mut first = free_address();
    let mut length = 1;
    while length < count {
        let next = free_address();
        let is_next = usize::from(next.port()) == usize::from(first.port()) + length;
        (first, length) = if is_next { (first, length + 1) } else { (next, 1) };
    }
    first
}
