//! Requests to cold upstreams: they have just started and crash under many requests.
//!
//! The limit holds for all entry instances together. Instances that see the same peers agree on a
//! single sender for each cold upstream, the instance with the highest rendezvous rank for it. It
//! sends only while its [`keeper_view`](super::keeper_view) is settled. Behind a network partition,
//! after a freeze or a start, and while keepers are down, a cold upstream gets no requests and
//! becomes warm by itself.

use std::time::Duration;

use crate::{
    gateway::{placement::rendezvous_rank, upstreams::KnownUpstream},
    ids::{InstanceId, UpstreamId, ZoneId},
    time::Time,
};

/// Share of a cold upstream's rate that its sender uses.
const USED_RATE_SHARE: f64 = 0.8;

/// The live entry instance that sends to a cold upstream; `None` if there are no instances.
///
/// ```
/// use medlarlug_core::gateway::cold::designated_sender;
///
/// let instances = ["entry-1".parse().unwrap(), "entry-2".parse().unwrap()];
/// let first = designated_sender(&"engine-1".parse().unwrap(), &instances).unwrap();
/// assert!(instances.contains(first));
/// ```
pub fn designated_sender<'a>(
    upstream: &UpstreamId,
    instances: &'a [InstanceId],
) -> Option<&'a InstanceId> {
    designated_instance(upstream.as_str(), instances)
}

/// The instance with the highest rendezvous rank for a key; `None` if there are no instances.
pub(super) fn designated_instance<'a>(
    key: &str,
    instances: &'a [InstanceId],
) -> Option<&'a InstanceId> {
    instances.iter().max_by_key(|instance| rendezvous_rank(instance.as_str(), key))
}

/// Longest delay of an announcement that its age does not include: it comes from another region,
/// and a packet is lost.
const MAX_ANNOUNCEMENT_DELAY: Duration = Duration::from_millis(300);

/// Age of an announcement up to which its upstream is assumed to be the same incarnation: three
/// missed announcements in a row. After that, the upstream may have restarted where its
/// announcements don't get through.
pub const ANNOUNCEMENT_LIFETIME: Duration = Duration::from_millis(4_500);

/// Decides whether an upstream counts as cold. An upstream may have become cold before its
/// announcement says so: by the end of an evacuation, by a crash that shows as a connection that
/// does not open, by the end of its connections, by a restart behind a network partition, or by
/// anything that happened while this process was stalled, before it started, or after it had closed
/// its own connections.
///
/// Such an upstream counts as cold until its next announcement. An announcement from before the start
/// of this process is enough if another instance vouches for it, see [`Vouch`].
#[derive(Debug, Clone, Default)]
pub struct ColdDetector {
    /// When the evacuation of each zone was last withdrawn, sorted by zone.
    restored: Vec<(ZoneId, Time)>,
}

impl ColdDetector {
    /// Records that the evacuation of a zone was withdrawn at `when`.
    pub fn zone_restored(&mut self, when: Time, zone: &ZoneId) {
        match self.restored.binary_search_by(|it| it.0.cmp(zone)) {
            Ok(at) => self.restored[at].1 = self.restored[at].1.max(when),
            Err(at) => self.restored.insert(at, (zone.clone(), when)),
        }
    }

    /// The zones whose evacuation was withdrawn, and when that last happened.
    pub fn restored_zones(&self) -> &[(ZoneId, Time)] {
        &self.restored
    }

    /// Whether the upstream counts as cold: its announcement says so, or it may have become cold
    /// since the announcement. `process` tells when this process started and last resumed after a
    /// stall.
    pub fn is_cold(
        &self,
        now: Time,
        known: &KnownUpstream,
        observations: Observations,
        process: ProcessTimes,
    ) -> bool {
        let ProcessTimes { started, resumed } = process;
        let zone = self.restored.binary_search_by(|it| it.0.cmp(&known.upstream.zone));
        let restored = zone.ok().map(|at| self.restored[at].1);
        let blind_until = restored.max(resumed).map(|when| when + MAX_ANNOUNCEMENT_DELAY);
        let suspect_since =
            blind_until.max(observations.last_unreachable).max(observations.unwatched_since);
        let is_suspect = suspect_since.is_some_and(|since| known.announced_at <= since);
        let is_inherited = known.announced_at < started && !observations.is_vouched_for(now);
        let is_stale = (is_inherited || now - known.announced_at > ANNOUNCEMENT_LIFETIME)
            && !observations.is_still_serving(now, known.announced_at);
        is_suspect || is_stale || known.may_be_cold(now)
    }
}

/// Times of this process before which it has observed nothing itself.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ProcessTimes {
    /// When the process started.
    pub started: Time,
    /// When the process last resumed after a stall.
    pub resumed: Option<Time>,
}

/// What an instance has observed of an upstream in its own calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Observations {
    /// When the upstream last answered a call while it did not count as cold.
    pub last_answer: Option<Time>,
    /// When a connection to it last broke.
    pub last_broken: Option<Time>,
    /// When a connection to it last failed to open, or all its connections ended.
    pub last_unreachable: Option<Time>,
    /// When another instance last vouched for it.
    pub vouched_at: Option<Time>,
    /// When the instance last closed its own connections to it, whose end would have shown a crash.
    pub unwatched_since: Option<Time>,
}

/// What an instance vouches for to one that has just started: that the process which an announcement
/// tells of still runs, and was warm then.
///
/// A connection leads to the same process for as long as it is open. So one that was opened before an
/// announcement was made, and is still open, leads to the process that made it.
#[derive(Debug, Clone, Copy)]
pub struct Vouch {
    /// When the newest announcement was made.
    pub announced_at: Time,
    /// When the oldest connection that is still open was opened; `None` without one.
    pub connected_at: Option<Time>,
    /// Whether the instance itself takes the upstream for warm.
    pub is_warm: bool,
}

impl Vouch {
    /// Whether the instance can vouch for the upstream.
    ///
    /// ```
    /// use medlarlug_core::{gateway::cold::Vouch, time::Time};
    ///
    /// let (connected_at, announced_at) = (Some(Time::from_millis(10)), Time::from_millis(20));
    /// let vouch = Vouch { announced_at, connected_at, is_warm: true };
    /// assert!(vouch.holds());
    /// assert!(!Vouch { announced_at: Time::ZERO, ..vouch }.holds());
    /// ```
    pub fn holds(self) -> bool {
        self.is_warm && self.connected_at.is_some_and(|it| it < self.announced_at)
    }
}

impl Observations {
    /// Whether another instance has recently vouched for the upstream, and no connection to it has
    /// ended since.
    fn is_vouched_for(self, now: Time) -> bool {
        let vouched = self.vouched_at.filter(|it| now - *it <= ANNOUNCEMENT_LIFETIME);
        vouched.is_some() && self.last_broken.max(self.last_unreachable) <= vouched
    }

    /// Whether the upstream has answered calls after `since`, the last time recently, and no
    /// connection to it has broken after `since`.
    fn is_still_serving(self, now: Time, since: Time) -> bool {
        let is_answering =
            self.last_answer.is_some_and(|it| it > since && now - it <= ANNOUNCEMENT_LIFETIME);
        is_answering && self.last_broken.max(self.last_unreachable) <= Some(since)
    }
}

/// The evacuated zones, and how often they have changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Evacuations<'a> {
    /// Number of changes so far.
    pub round: u64,
    /// The evacuated zones, sorted.
    pub zones: &'a [ZoneId],
}

impl Evacuations<'_> {
    /// The zones whose evacuation was withdrawn between an earlier state and this one. `None` if
    /// there were more changes than the two states show, so that any zone may have been evacuated
    /// and restored.
    pub fn restored_since(self, before: Evacuations) -> Option<Vec<ZoneId>> {
        let changed = self.changed_since(before)?;
        Some(changed.into_iter().filter(|zone| !self.contains(zone)).collect())
    }

    /// The zones that were evacuated or restored since `before`; `None` if there were changes that the
    /// two states don't show.
    pub fn changed_since(self, before: Evacuations) -> Option<Vec<ZoneId>> {
        let restored = before.zones.iter().filter(|zone| !self.contains(zone));
        let evacuated = self.zones.iter().filter(|zone| !before.contains(zone));
        let changed: Vec<ZoneId> = restored.chain(evacuated).cloned().collect();
        (self.round.saturating_sub(before.round) <= changed.len() as u64).then_some(changed)
    }

    /// Whether a zone is evacuated.
    pub fn contains(self, zone: &ZoneId) -> bool {
        self.zones.binary_search(zone).is_ok()
    }
}

/// Paces the requests to the cold upstreams that this instance is the sender for.
#[derive(Debug, Clone, Default)]
pub struct ColdSendPacer {
    /// The earliest time of the next request, sorted by upstream.
    next_send: Vec<(UpstreamId, Time)>,
}

impl ColdSendPacer {
    /// Whether a request may be sent now to an upstream that tolerates `rate` requests per second.
    pub fn may_send(&self, now: Time, upstream: &UpstreamId, rate: f64) -> bool {
        let at = self.next_send.binary_search_by(|it| it.0.cmp(upstream));
        rate > 0.0 && at.map_or(true, |at| self.next_send[at].1 <= now)
    }

    /// Counts a request that is sent now.
    pub fn record_send(&mut self, now: Time, upstream: &UpstreamId, rate: f64) {
        let interval = Duration::from_secs_f64(1.0 / (rate * USED_RATE_SHARE).max(0.01));
        self.next_send.retain(|it| it.1 > now);
        let next = now + interval;
        match self.next_send.binary_search_by(|it| it.0.cmp(upstream)) {
            Ok(at) => self.next_send[at].1 = next,
            Err(at) => self.next_send.insert(at, (upstream.clone(), next)),
        }
    }
}
