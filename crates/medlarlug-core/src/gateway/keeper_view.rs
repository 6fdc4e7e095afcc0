//! Whether an entry instance sees enough of the others to act on its part of a common limit.
//!
//! Entry instances hear of each other from keepers. Each wants links to all keepers that it knows,
//! and takes signs of life of the others from [`SOURCES`] of them. One that hears all keepers but
//! one shares a keeper with the sources of every other instance: whichever two instances act, each
//! has heard of the other. Behind a cut, after a freeze and while keepers are down the view is not
//! complete, and an instance leaves its part to others.

use std::{net::SocketAddr, time::Duration};

use crate::{gateway::stall_detector::Stall, time::Time};

/// Keepers that tell an instance the signs of life of the others.
pub const SOURCES: usize = 2;
/// Age of the last word of a keeper up to which it counts as heard: as long as a link may be silent.
pub const HEARD_FOR: Duration = Duration::from_millis(1_500);
/// Time for which a view has to be complete before an instance acts alone on it: until all others
/// have heard of it, or count it as silent, see [`ALIVE_FOR`](super::contacts::ALIVE_FOR).
const SETTLING_TIME: Duration = Duration::from_millis(2_500);

/// Which keepers an instance hears.
#[derive(Debug, Clone)]
pub struct View {
    /// When each keeper was last heard, sorted by address.
    heard: Vec<(SocketAddr, Time)>,
    /// Since when the view is complete.
    complete: Option<Time>,
    /// Stalls of this process, during which it hears nothing.
    stall: Stall,
    was_complete: bool,
}

impl Default for View {
    fn default() -> View {
        let stall = Stall::new(HEARD_FOR);
        View { heard: Vec::new(), complete: None, stall, was_complete: false }
    }
}

impl View {
    /// Takes in that a keeper was heard.
    pub fn hear(&mut self, now: Time, keeper: SocketAddr) {
        match self.heard.binary_search_by(|it| it.0.cmp(&keeper)) {
            Ok(at) => self.heard[at].1 = now,
            Err(at) => self.heard.insert(at, (keeper, now)),
        }
    }

    /// Takes in which keepers there are, sorted. Has to be called more often than [`HEARD_FOR`].
    /// Returns the length of the stall that ends now, if there was one.
    pub fn look(&mut self, now: Time, keepers: &[SocketAddr]) -> Option<Duration> {
        self.heard.retain(|it| keepers.binary_search(&it.0).is_ok());
        let heard = self.heard.iter().filter(|it| now - it.1 <= HEARD_FOR).count();
        let is_complete = heard >= needed(keepers.len());
        let stalled = self.stall.turn(now);
        self.complete = match self.complete.filter(|_| stalled.is_none()) {
            Some(since) if is_complete => Some(since),
            _ => is_complete.then_some(now),
        };
        self.was_complete |= is_complete;
        stalled
    }

    /// Whether the instance may act alone on what it sees: its view is complete, and has been for
    /// long enough that no other one acts on an older view.
    pub fn is_settled(&self, now: Time) -> bool {
        let is_settled = self.complete.is_some_and(|since| now - since >= SETTLING_TIME);
        is_settled && !self.stall.is_overdue(now)
    }

    /// When the process last resumed after a stall of [`HEARD_FOR`] or more. What it knew then may be
    /// out of date, though no age shows it.
    pub fn resumed(&self, now: Time) -> Option<Time> {
        self.stall.resumed(now)
    }

    /// Whether the view was complete at any time.
    pub fn was_complete(&self) -> bool {
        self.was_complete
    }
}

/// Keepers that have to be heard so that any two instances share one.
fn needed(keepers: usize) -> usize {
    match keepers {
        0 => 1,
        few if few <= SOURCES => few,
        many => many + 1 - SOURCES,
    }
}
