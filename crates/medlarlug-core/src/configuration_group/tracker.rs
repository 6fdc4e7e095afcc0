//! Rollout of revisions to the instances.
//!
//! The leader of the configuration group keeps a [`RolloutTracker`]. Followers send their revision with
//! every update request. The rollout of a revision is complete once every known instance has confirmed
//! it, or once the configuration leases of those that have not must have expired: an instance without
//! a valid lease sends no request to another region.
//!
//! A new leader starts with an empty tracker. It counts the lease of the revisions that it finds from
//! its own start, which is later than their commit and therefore safe.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    ids::{InstanceId, Revision, ZoneId},
    time::Time,
};

/// Revision that an instance has confirmed last.
#[derive(Debug, Clone, PartialEq, Eq)]
struct InstanceRevision {
    instance: InstanceId,
    zone: ZoneId,
    revision: Revision,
}

/// Tracks the revisions that instances have confirmed, and the commit times of revisions.
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
    instances: Vec<InstanceRevision>,
    commits: Vec<(Revision, Time)>,
}

/// Number of commit times that are kept; leases from before older commits have expired.
const MAX_COMMIT_TIMES: usize = 1_024;

/// Progress of the rollout of one revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// Revision that is rolled out.
    pub revision: Revision,
    /// Progress in each availability zone, sorted by zone.
    pub zones: Vec<ZoneRollout>,
    /// Time until every lease that was granted before the revision has expired; zero afterwards.
    pub leases: Duration,
}

/// Progress of the rollout of one revision in an availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneRollout {
    /// Availability zone.
    pub zone: ZoneId,
    /// Number of instances that have confirmed the revision or a later one.
    pub confirmed: u32,
    /// Instances that have confirmed neither.
    pub pending: Vec<InstanceId>,
}

impl Rollout {
    /// Whether all known instances have confirmed the revision, or the leases of the others have expired.
    pub fn is_complete(&self) -> bool {
        let is_confirmed = self.zones.iter().all(|it| it.pending.is_empty());
        self.leases.is_zero() || (is_confirmed && !self.zones.is_empty())
    }
}

impl RolloutTracker {
    /// Creates a tracker for configuration leases of length `lease`. Clocks differ in speed by the
    /// fraction `drift` at most: 0.01 is one part in a hundred.
    pub fn new(lease: Duration, drift: f64) -> RolloutTracker {
        let lease = lease.mul_f64(1.0 + drift);
        RolloutTracker { lease, instances: Vec::new(), commits: Vec::new() }
    }

    /// Records that the group committed `revision`, or that this leader found it committed at its start.
    pub fn record_commit(&mut self, now: Time, revision: Revision) {
        if self.commits.last().is_some_and(|(last, _)| *last >= revision) {
            return;
        }
        if self.commits.len() == MAX_COMMIT_TIMES {
            self.commits.remove(0);
        }
        self.commits.push((revision, now));
    }

    /// Adds a member, which counts as pending until it confirms a revision.
    pub fn add_instance(&mut self, instance: InstanceId, zone: ZoneId) {
        if let Err(place) = self.find(&instance) {
            self.instances
                .insert(place, InstanceRevision { instance, zone, revision: Revision(0) });
        }
    }

    /// Records that `instance` uses `revision`.
    ///
    /// A lower revision replaces a higher one, since an instance without a disk restarts at revision 0.
    pub fn record_confirmation(&mut self, instance: InstanceId, zone: ZoneId, revision: Revision) {
        let known = InstanceRevision { instance, zone, revision };
        match self.find(&known.instance) {
            Ok(found) => self.instances[found] = known,
            Err(place) => self.instances.insert(place, known),
        }
    }

    /// Removes an instance that is no longer a member and whose lease has expired.
    pub fn remove_instance(&mut self, instance: &InstanceId) {
        if let Ok(found) = self.find(instance) {
            self.instances.remove(found);
        }
    }

    /// Progress of the rollout of `revision` at the time `now`.
    pub fn rollout(&self, now: Time, revision: Revision) -> Rollout {
        let mut zones: Vec<ZoneRollout> = Vec::new();
        for it in &self.instances {
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
        Rollout { revision, zones, leases: self.remaining_lease(now, revision) }
    }

    fn remaining_lease(&self, now: Time, revision: Revision) -> Duration {
        let place = self.commits.partition_point(|(committed, _)| *committed < revision);
        match self.commits.get(place) {
            Some((_, at)) => (*at + self.lease) - now,
            None => self.lease,
        }
    }

    fn find(&self, instance: &InstanceId) -> Result<usize, usize> {
        self.instances.binary_search_by(|it| it.instance.cmp(instance))
    }
}
