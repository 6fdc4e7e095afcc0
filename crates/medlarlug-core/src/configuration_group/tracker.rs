//! Where a revision is in force.
//!
//! The leader keeps a [`RolloutTracker`] beside the group. Followers tell their revision with every
//! question that they ask. A revision is in force everywhere when every known instance has
//! confirmed it, or when the configuration lease of all that have not must have run out: an
//! instance without a valid lease crosses no region.
//!
//! A leader's tracker begins empty. A new leader counts the lease of the revisions that it finds
//! from its own beginning, which is later than their commit and therefore safe.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    ids::{InstanceId, Revision, ZoneId},
    time::Time,
};

/// One instance's revision.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Known {
    instance: InstanceId,
    zone: ZoneId,
    revision: Revision,
}

/// Where revisions are in force.
///
/// ```
/// use medlarlug_core::{configuration_group::RolloutTracker, ids::Revision, time::Time};
/// use std::time::Duration;
///
/// let mut tracker = RolloutTracker::new(Duration::from_secs(8), 0.01);
/// tracker.record_commit(Time::ZERO, Revision(1));
/// tracker.add_instance("entry-1".parse().unwrap(), "riga-a".parse().unwrap());
/// assert!(!tracker.rollout(Time::ZERO, Revision(1)).is_complete());
/// tracker.record_confirmation("entry-1".parse().unwrap(), "riga-a".parse().unwrap(), Revision(1));
/// assert!(tracker.rollout(Time::ZERO, Revision(1)).is_complete());
/// ```
#[derive(Debug, Clone)]
pub struct RolloutTracker {
    lease: Duration,
    known: Vec<Known>,
    committed: Vec<(Revision, Time)>,
}

/// Commits whose time is kept; the lease of older ones has run out.
const MAX_COMMITTED: usize = 1_024;

/// Where one revision is in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// The revision.
    pub revision: Revision,
    /// Zone by zone, sorted.
    pub zones: Vec<ZoneRollout>,
    /// Time until every lease that does not know the revision has run out.
    pub leases: Duration,
}

/// Where one revision is in force within a zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneRollout {
    /// The zone.
    pub zone: ZoneId,
    /// Instances that confirmed the revision or a later one.
    pub confirmed: u32,
    /// Instances that did not.
    pub pending: Vec<InstanceId>,
}

impl Rollout {
    /// Whether all known instances confirmed the revision, or the leases of the others ran out.
    pub fn is_complete(&self) -> bool {
        let is_confirmed = self.zones.iter().all(|it| it.pending.is_empty());
        self.leases.is_zero() || (is_confirmed && !self.zones.is_empty())
    }
}

impl RolloutTracker {
    /// A tracker for configuration leases of length `lease` on clocks that differ in speed by
    /// `drift` at most: 0.01 is one part in a hundred.
    pub fn new(lease: Duration, drift: f64) -> RolloutTracker {
        let lease = lease.mul_f64(1.0 + drift);
        RolloutTracker { lease, known: Vec::new(), committed: Vec::new() }
    }

    /// The group committed `revision`, or this leader found it committed when it began.
    pub fn record_commit(&mut self, now: Time, revision: Revision) {
        if self.committed.last().is_some_and(|(last, _)| *last >= revision) {
            return;
        }
        if self.committed.len() == MAX_COMMITTED {
            self.committed.remove(0);
        }
        self.committed.push((revision, now));
    }

    /// `instance` is a member; it counts as pending until it confirms.
    pub fn add_instance(&mut self, instance: InstanceId, zone: ZoneId) {
        if let Err(place) = self.find(&instance) {
            self.known.insert(place, Known { instance, zone, revision: Revision(0) });
        }
    }

    /// `instance` uses `revision`.
    ///
    /// An instance restarts without a disk at revision 0, so a lower revision replaces a higher.
    pub fn record_confirmation(&mut self, instance: InstanceId, zone: ZoneId, revision: Revision) {
        let known = Known { instance, zone, revision };
        match self.find(&known.instance) {
            Ok(found) => self.known[found] = known,
            Err(place) => self.known.insert(place, known),
        }
    }

    /// `instance` is no longer a member, and its lease has run out.
    pub fn remove_instance(&mut self, instance: &InstanceId) {
        if let Ok(found) = self.find(instance) {
            self.known.remove(found);
        }
    }

    /// Where `revision` is in force at `now`.
    pub fn rollout(&self, now: Time, revision: Revision) -> Rollout {
        let mut zones: Vec<ZoneRollout> = Vec::new();
        for it in &self.known {
            let place = match zones.binary_search_by(|zone| zone.zone.cmp(&it.zone)) {
                Ok(found) => found,
                Err(place) => {
                    let zone = it.zone.clone();
                    zones.insert(place, ZoneRollout { zone, confirmed: 0, pending: Vec::new() });
                    place
                }
            };
            if it.revision >= revision {
                zones[place].confirmed += 1;
            } else {
                zones[place].pending.push(it.instance.clone());
            }
        }
        Rollout { revision, zones, leases: self.leases_left(now, revision) }
    }

    fn leases_left(&self, now: Time, revision: Revision) -> Duration {
        let place = self.committed.partition_point(|(committed, _)| *committed < revision);
        match self.committed.get(place) {
            Some((_, at)) => (*at + self.lease) - now,
            None => self.lease,
        }
    }

    fn find(&self, instance: &InstanceId) -> Result<usize, usize> {
        self.known.binary_search_by(|it| it.instance.cmp(instance))
    }
}
