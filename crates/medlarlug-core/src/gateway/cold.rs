//! Requests to upstreams that have just started and crash when they get many.
//!
//! The limit holds for all entry instances together. Instances that see the same peers agree on
//! one of them that sends to a cold upstream, by the highest rank of the pair of upstream and
//! instance. It sends only while its [`keeper_view`](super::keeper_view) of the others is settled: behind a cut,
//! after a freeze or a start, and while keepers are down, a cold upstream gets nothing and becomes
//! warm by itself.

use std::time::Duration;

use crate::{
    gateway::{placement::rank, upstreams::Known},
    ids::{InstanceId, UpstreamId, ZoneId},
    time::Time,
};

/// Part of a cold upstream's rate that its sender uses.
const SAFE_SHARE: f64 = 0.8;

/// The live entry instance that sends to a cold upstream.
///
/// ```
/// use medlarlug_core::gateway::cold::sender;
///
/// let instances = ["entry-1".parse().unwrap(), "entry-2".parse().unwrap()];
/// let first = sender(&"engine-1".parse().unwrap(), &instances).unwrap();
/// assert!(instances.contains(first));
/// ```
pub fn sender<'a>(upstream: &UpstreamId, instances: &'a [InstanceId]) -> Option<&'a InstanceId> {
    instances.iter().max_by_key(|instance| rank(instance.as_str(), upstream.as_str()))
}

/// Longest way of an announcement that its age does not show: from another region, with a lost
/// packet.
const NEWS_DELAY: Duration = Duration::from_millis(300);

/// Age of an announcement up to which its upstream is taken for the one that made it: three missed
/// in a row. After that, it may have started anew where it can't announce itself.
pub const FRESH_FOR: Duration = Duration::from_millis(4_500);

/// The same for an announcement from before this process started, which has seen no connection to the
/// upstream break: the next one is made 1.2 s later, and keepers pass it on within a second.
const TOLD_FOR: Duration = Duration::from_millis(2_500);

/// What may have turned upstreams cold without their having told so yet: the end of an evacuation,
/// a crash that is seen as a connection that does not open, a start behind a cut, or anything while
/// this process was stalled.
///
/// Such an upstream counts as cold until it announces itself anew.
#[derive(Debug, Clone, Default)]
pub struct Suspicions {
    /// When the evacuation of a zone was withdrawn last, sorted by zone.
    restored: Vec<(ZoneId, Time)>,
}

impl Suspicions {
    /// The evacuation of a zone was withdrawn at `when`.
    pub fn restored(&mut self, when: Time, zone: &ZoneId) {
        match self.restored.binary_search_by(|it| it.0.cmp(zone)) {
            Ok(at) => self.restored[at].1 = self.restored[at].1.max(when),
            Err(at) => self.restored.insert(at, (zone.clone(), when)),
        }
    }

    /// The zones that were evacuated, and when that was withdrawn last.
    pub fn all_restored(&self) -> &[(ZoneId, Time)] {
        &self.restored
    }

    /// Whether the upstream counts as cold: it has said so, or may have turned cold since it was
    /// last heard. `process` is when this process started, and when it last resumed after a stall.
    pub fn is_cold(
        &self,
        now: Time,
        known: &Known,
        observations: Observations,
        process: Process,
    ) -> bool {
        let Process { started, resumed } = process;
        let zone = self.restored.binary_search_by(|it| it.0.cmp(&known.upstream.zone));
        let restored = zone.ok().map(|at| self.restored[at].1);
        let missed = restored.max(resumed).map(|when| when + NEWS_DELAY);
        let suspect = missed.max(observations.unreachable);
        let is_suspect = suspect.is_some_and(|since| known.heard <= since);
        let limit = if known.heard < started { TOLD_FOR } else { FRESH_FOR };
        let is_unheard =
            now - known.heard > limit && !observations.is_still_serving(now, known.heard);
        is_suspect || is_unheard || known.may_be_cold(now)
    }
}

/// Moments of a process before which it has seen nothing itself.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Process {
    /// When it started.
    pub started: Time,
    /// When it last resumed after a stall.
    pub resumed: Option<Time>,
}

/// What an instance has seen of an upstream in its own calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Observations {
    /// When it last answered a call, while it did not count as cold.
    pub answered: Option<Time>,
    /// When a connection to it last broke.
    pub broken: Option<Time>,
    /// When a connection to it last failed to open, or all of them broke.
    pub unreachable: Option<Time>,
}

impl Observations {
    /// Whether it has gone on answering since, and no connection has broken.
    fn is_still_serving(self, now: Time, since: Time) -> bool {
        let is_answering = self.answered.is_some_and(|it| it > since && now - it <= FRESH_FOR);
        is_answering && self.broken.max(self.unreachable) <= Some(since)
    }
}

/// The evacuated zones, sorted, and how often they have changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Evacuations<'a> {
    /// Number of changes.
    pub round: u64,
    /// The zones.
    pub zones: &'a [ZoneId],
}

impl Evacuations<'_> {
    /// The zones that were restored between an earlier state and this one; `None` if there were
    /// more changes than can be seen, so that any zone may have been evacuated and restored.
    pub fn restored_since(self, before: Evacuations) -> Option<Vec<ZoneId>> {
        let lacks = |zones: &[ZoneId], zone: &ZoneId| zones.binary_search(zone).is_err();
        let restored = before.zones.iter().filter(|zone| lacks(self.zones, zone));
        let evacuated = self.zones.iter().filter(|zone| lacks(before.zones, zone));
        let restored: Vec<ZoneId> = restored.cloned().collect();
        let seen = (restored.len() + evacuated.count()) as u64;
        (self.round.saturating_sub(before.round) <= seen).then_some(restored)
    }
}

/// When this instance may send to the cold upstreams that it is the sender for.
#[derive(Debug, Clone, Default)]
pub struct ColdSends {
    /// The next moment at which a request may go out, sorted by upstream.
    next: Vec<(UpstreamId, Time)>,
}

impl ColdSends {
    /// Whether a request may go out now to an upstream that bears `rate` requests a second.
    pub fn may_send(&self, now: Time, upstream: &UpstreamId, rate: f64) -> bool {
        let at = self.next.binary_search_by(|it| it.0.cmp(upstream));
        rate > 0.0 && at.map_or(true, |at| self.next[at].1 <= now)
    }

    /// Counts a request that goes out now.
    pub fn sent(&mut self, now: Time, upstream: &UpstreamId, rate: f64) {
        let pause = Duration::from_secs_f64(1.0 / (rate * SAFE_SHARE).max(0.01));
        self.next.retain(|it| it.1 > now);
        let next = now + pause;
        match self.next.binary_search_by(|it| it.0.cmp(upstream)) {
            Ok(at) => self.next[at].1 = next,
            Err(at) => self.next.insert(at, (upstream.clone(), next)),
        }
    }
}
