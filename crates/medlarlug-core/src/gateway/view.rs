//! Whether an entry instance sees enough of the others to act on its part of a common limit.
//!
//! Entry instances hear of each other from keepers. Each wants links to all keepers that it knows,
//! and takes signs of life of the others from [`SOURCES`] of them. One that hears all keepers but
//! one shares a keeper with the sources of every other instance: whichever two instances act, each
//! has heard of the other. Behind a cut, after a freeze and while keepers are down the view is not
//! complete, and an instance leaves its part to others.

use std::{net::SocketAddr, time::Duration};

use crate::time::Time;

/// Keepers that tell an instance the signs of life of the others.
pub const SOURCES: usize = 2;
/// Age of the last word of a keeper up to which it counts as heard: as long as a link may be silent.
pub const HEARD_FOR: Duration = Duration::from_millis(1_500);
/// Time for which a view has to be complete before an instance acts alone on it: until all others
/// have heard of it, or count it as silent, see [`ALIVE_FOR`](super::contacts::ALIVE_FOR).
const SETTLING_TIME: Duration = Duration::from_millis(2_500);

/// Which keepers an instance hears.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// When each keeper was last heard, sorted by address.
    heard: Vec<(SocketAddr, Time)>,
    /// Since when the view is complete.
    complete: Option<Time>,
    /// When it was last looked at.
    looked: Option<Time>,
    /// When the process last went on after it had stood still.
    woken: Option<Time>,
    was_complete: bool,
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
    pub fn look(&mut self, now: Time, keepers: &[SocketAddr]) {
        self.heard.retain(|it| keepers.binary_search(&it.0).is_ok());
        let heard = self.heard.iter().filter(|it| now - it.1 <= HEARD_FOR).count();
        let is_complete = heard >= needed(keepers.len());
        self.woken = self.woken(now);
        let has_gap = self.woken == Some(now);
        self.complete = match self.complete.filter(|_| !has_gap) {
            Some(since) if is_complete => Some(since),
            _ => is_complete.then_some(now),
        };
        self.looked = Some(now);
        self.was_complete |= is_complete;
    }

    /// Whether the instance may act alone on what it sees: its view is complete, and has been for
    /// long enough that no other one acts on an older view.
    pub fn is_settled(&self, now: Time) -> bool {
        let is_settled = self.complete.is_some_and(|since| now - since >= SETTLING_TIME);
        is_settled && !self.is_overdue(now)
    }

    /// When the process last went on after it had stood still, or had no turn, for [`HEARD_FOR`].
    /// What it knows is as old, though no age shows it.
    pub fn woken(&self, now: Time) -> Option<Time> {
        match self.is_overdue(now) {
            true => Some(now),
            false => self.woken,
        }
    }

    fn is_overdue(&self, now: Time) -> bool {
        self.looked.is_some_and(|looked| now - looked > HEARD_FOR)
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
