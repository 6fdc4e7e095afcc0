//! Builders and fixtures for the test suites.

pub mod deployment;

use medlarlug_core::{
    ids::{ReleaseNumber, Revision},
    release::{
        Item, RawNote,
        item::{Region, Residency, Team},
    },
};

pub use deployment::free_address;

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
