//! Whether an entry instance sees enough of the others to act on its share of a common limit.
//!
//! Entry instances learn about each other from keepers. Each opens links to all keepers that it
//! knows, and receives the heartbeats of the other instances from [`KEEPER_SOURCES`] of them. An
//! instance that hears all keepers but one shares a keeper with the sources of every other
//! instance, so of any two instances that act, each has heard of the other. Behind a network
//! partition, after a freeze and while keepers are down, the view is not complete, and an instance
//! leaves its share to others.

use std::{net::SocketAddr, time::Duration};

use crate::{gateway::stall_detector::StallDetector, time::Time};

/// Number of keepers that send an instance the heartbeats of the others.
pub const KEEPER_SOURCES: usize = 2;
/// Age of the last message of a keeper up to which it counts as heard: the idle timeout of a link.
pub const KEEPER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time for which a view has to be complete before an instance acts alone on it: until all others
/// have heard of the instance, or no longer count it as live, see
/// [`LIVENESS_TIMEOUT`](super::contacts::LIVENESS_TIMEOUT).
const SETTLING_TIME: Duration = Duration::from_millis(2_500);

/// The keepers that an instance hears.
#[derive(Debug, Clone)]
pub struct KeeperView {
    /// When each keeper was last heard, sorted by address.
    last_heard: Vec<(SocketAddr, Time)>,
    /// Time since which the view is complete.
    complete_since: Option<Time>,
    /// Time since which all keepers are heard.
    whole_since: Option<Time>,
    /// Stalls of this process, during which it hears no keeper.
    stall: StallDetector,
    was_complete: bool,
}

impl Default for KeeperView {
    fn default() -> KeeperView {
        let stall = StallDetector::new(KEEPER_TIMEOUT);
        KeeperView {
            last_heard: Vec::new(),
            complete_since: None,
            whole_since: None,
            stall,
            was_complete: false,
        }
    }
}

impl KeeperView {
    /// Records a message of a keeper.
    pub fn record_keeper(&mut self, now: Time, keeper: SocketAddr) {
        match self.last_heard.binary_search_by(|it| it.0.cmp(&keeper)) {
            Ok(at) => self.last_heard[at].1 = now,
            Err(at) => self.last_heard.insert(at, (keeper, now)),
        }
    }

    /// Updates the view with the known keepers, which are sorted. Has to be called more often than
    /// every [`KEEPER_TIMEOUT`]. Returns the length of the stall that ends now, if there was one.
    pub fn update(&mut self, now: Time, keepers: &[SocketAddr]) -> Option<Duration> {
        self.last_heard.retain(|it| keepers.binary_search(&it.0).is_ok());
        let heard = self.last_heard.iter().filter(|it| now - it.1 <= KEEPER_TIMEOUT).count();
        let is_complete = heard >= required_keepers(keepers.len());
        let stalled = self.stall.tick(now);
        let is_whole = is_complete && heard == keepers.len();
        let since = |before: Option<Time>, holds: bool| match before {
            Some(since) if holds && stalled.is_none() => Some(since),
            _ => holds.then_some(now),
        };
        self.complete_since = since(self.complete_since, is_complete);
        self.whole_since = since(self.whole_since, is_whole);
        self.was_complete |= is_complete;
        stalled
    }

    /// Whether the instance may act alone on its view: it is complete, and has been for long enough
    /// that no other instance acts on an older view.
    pub fn is_settled(&self, now: Time) -> bool {
        self.has_held(now, self.complete_since)
    }

    /// Whether no keeper can know something that this instance has not heard: all are heard, and have
    /// been for long enough that what they know has arrived.
    pub fn is_whole(&self, now: Time) -> bool {
        self.has_held(now, self.whole_since)
    }

    fn has_held(&self, now: Time, since: Option<Time>) -> bool {
        since.is_some_and(|since| now - since >= SETTLING_TIME) && !self.stall.is_overdue(now)
    }

    /// When the process last resumed after a stall of [`KEEPER_TIMEOUT`] or more. What it knew then
    /// may be out of date, although no age shows that.
    pub fn last_resumed(&self, now: Time) -> Option<Time> {
        self.stall.last_resumed(now)
    }

    /// Whether the view has been complete at any time.
    pub fn was_complete(&self) -> bool {
        self.was_complete
    }
}

/// Number of keepers that have to be heard so that any two instances share one.
fn required_keepers(keepers: usize) -> usize {
    match keepers {
        0 => 1,
        few if few <= KEEPER_SOURCES => few,
        many => many + 1 - KEEPER_SOURCES,
    }
}
