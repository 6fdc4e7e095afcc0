//! Builders and fixtures for the tests and benchmarks of the workspace.

pub mod caller;
pub mod crowd;
pub mod deployment;
pub mod endless;
pub mod relay;
pub mod scale;
pub mod signals;
pub mod socket_owner;
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

/// Parses an id, or another type of the configuration, from a literal.
///
/// # Panics
///
/// Panics if the text is not valid.
pub fn id<T: std::str::FromStr>(text: &str) -> T {
    match text.parse() {
        Ok(id) => id,
        Err(_) => panic!("`{text}` is not a valid id"),
    }
}

/// A configuration item for a region with the given zones.
pub fn region(name: &str, zones: &[&str]) -> Item {
    Item::Region(Region { id: id(name), zones: zones.iter().map(|zone| id(zone)).collect() })
}

/// A team without a bearer key whose requests have to be served in its home region.
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

/// The team `survey`, whose bearer key is [`CALLER_KEY`] and whose rate limit no test reaches.
pub fn survey_team(home: &str) -> Team {
    Team {
        keys: vec![Fingerprint::of(CALLER_KEY.as_bytes())],
        residency: Residency::Anywhere,
        rate: id("100000/s"),
        burst: id("100000"),
        ..team("survey", home)
    }
}

/// A plain service whose calls must not be retried.
pub fn booking_service(name: &str) -> Item {
    Item::Service(Service {
        id: id(name),
        idempotent: false,
        reports_outcomes: false,
        residency: Residency::Anywhere,
    })
}

/// A plain service whose calls may be retried.
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

/// A release note that adds `items` to revision `base`; its number is `base + 1`.
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

/// First port that [`free_address`] returns. All ports lie below the range of ephemeral ports.
const FIRST_PORT: u32 = 20_000;

/// Number of ports that [`free_address`] cycles through.
const PORT_COUNT: u32 = 12_000;

/// A loopback address that nothing listens at. Calls in one process return different addresses
/// until all ports have been used.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let start = std::process::id().wrapping_mul(97);
    loop {
        let index = start.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed)) % PORT_COUNT;
        let address = SocketAddr::from(([127, 0, 0, 1], (FIRST_PORT + index) as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// The first of `count` addresses with consecutive ports, allocated like [`free_address`].
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
