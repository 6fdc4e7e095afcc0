//! For how long the home regions of a table may be relied on.
//!
//! A process that is cut off keeps its table while a newer one takes a home region away. So keepers
//! confirm again and again, by a read that a majority of their group answers, which version is the
//! newest, and each process relies on home regions for a bounded time after the read only.
//!
//! A confirmation of a version says that no newer one was committed before the read. It supports that
//! version and every newer one: whatever replaces one of these was committed after the read. So a table
//! that has been replaced is out of use one bound after its replacement was committed, and a process
//! that still waits for the newest table may use its own until then.
//!
//! There are two bounds. A process that has heard of no newer version uses the longer one, so that a region
//! that is cut off from the keepers serves its callers meanwhile. One that knows of a newer version knows that
//! its table has been replaced, and has as long as operators wait for a configuration to be in effect.
//!
//! A call without home regions needs no confirmation. But where tables name homes, the one that has replaced
//! a table may give its route the first ones: [`TableLease::is_outdated`].

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::table::TableVersion;
use crate::{ids::RegionId, time::Time};

/// What a keeper reports about the newest table.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum TableReport {
    /// Nothing: it is an earlier build.
    #[default]
    Unsupported,
    /// No majority has answered it since its start.
    Unconfirmed,
    /// No table above this version was committed before the given time.
    Confirmed {
        /// The newest version at that time.
        version: TableVersion,
        /// Time since the read, in milliseconds, rounded up.
        age_ms: u32,
    },
}

/// A version, and the time before which no newer one was committed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Confirmation {
    version: TableVersion,
    at: Time,
}

/// Permission to let the body of a call into a region. [`TableLease::permit`] alone gives it.
#[derive(Debug)]
pub struct ResidencyPermit(());

/// Why the body of a call may not enter a region.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ResidencyError {
    /// The region is not one of the call's home regions.
    #[error("the region is no home region of the call")]
    ForeignRegion,
    /// The home regions are from a table that may have been replaced.
    #[error("no recent confirmation that the table is the newest")]
    Unconfirmed,
    /// The call has no home regions in a table that was replaced too long ago.
    #[error("the table was replaced by one that may name home regions")]
    Outdated,
}

/// For how long a process may rely on what its table says about home regions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseBounds {
    /// Time after the last confirmation, while no newer version is known.
    pub unheard: Duration,
    /// The same once a newer version is known.
    pub replaced: Duration,
}

impl From<Duration> for LeaseBounds {
    /// The same bound whether or not a newer version is known.
    fn from(bound: Duration) -> LeaseBounds {
        LeaseBounds { unheard: bound, replaced: bound }
    }
}

/// The time for which a process may rely on the home regions of its table.
///
/// ```
/// use medlarlug_core::{gateway::{table::TableVersion, table_lease::TableLease}, time::Time};
/// use std::time::Duration;
///
/// let mut lease = TableLease::new(Duration::from_secs(11));
/// lease.record(Time::from_millis(5_000), TableVersion(7));
/// assert!(lease.holds(Time::from_millis(15_900), TableVersion(7)));
/// assert!(!lease.holds(Time::from_millis(16_000), TableVersion(7)));
/// assert!(!lease.holds(Time::from_millis(5_000), TableVersion(6)));
/// ```
#[derive(Debug, Clone)]
pub struct TableLease {
    bounds: LeaseBounds,
    /// The newest version that was ever confirmed.
    newest: TableVersion,
    /// Ascending by version and by time.
    confirmations: Vec<Confirmation>,
    /// Whether the last report of each keeper said anything, sorted by address.
    reporters: Vec<(SocketAddr, bool)>,
    /// Whether any keeper has reported a confirmation.
    was_confirmed: bool,
    /// Whether the lease held when it was last reviewed.
    was_held: bool,
}

impl TableLease {
    /// A lease without a confirmation. One that is as old as its bound counts no longer.
    pub fn new(bounds: impl Into<LeaseBounds>) -> TableLease {
        TableLease {
            bounds: bounds.into(),
            newest: TableVersion::default(),
            confirmations: Vec::new(),
            reporters: Vec::new(),
            was_confirmed: false,
            was_held: false,
        }
    }

    /// Changes the times for which a confirmation counts.
    pub fn set_bounds(&mut self, bounds: LeaseBounds) {
        self.bounds = bounds;
    }

    /// How old a confirmation of `version` may be.
    fn bound(&self, version: TableVersion) -> Duration {
        match self.newest > version {
            true => self.bounds.replaced.min(self.bounds.unheard),
            false => self.bounds.unheard,
        }
    }

    /// Records that no version above `version` was committed before `at`.
    pub fn record(&mut self, at: Time, version: TableVersion) {
        self.newest = self.newest.max(version);
        let is_known = |it: &Confirmation| it.version <= version && it.at >= at;
        if self.confirmations.iter().any(is_known) {
            return;
        }
        let oldest = at.saturating_sub(self.bounds.unheard);
        self.confirmations.retain(|it| it.at > oldest && (it.version < version || it.at > at));
        let place = self.confirmations.partition_point(|it| it.version < version);
        self.confirmations.insert(place, Confirmation { version, at });
    }

    /// Records the report in a keeper's answer to a message that was sent at `sent`. Returns whether
    /// the keeper has just turned out to be an earlier build.
    pub fn record_report(&mut self, keeper: SocketAddr, sent: Time, report: TableReport) -> bool {
        let is_supported = report != TableReport::Unsupported;
        let before = match self.reporters.binary_search_by(|it| it.0.cmp(&keeper)) {
            Ok(at) => Some(std::mem::replace(&mut self.reporters[at].1, is_supported)),
            Err(at) => {
                self.reporters.insert(at, (keeper, is_supported));
                None
            }
        };
        if let TableReport::Confirmed { version, age_ms } = report {
            self.was_confirmed = true;
            self.record(sent.saturating_sub(Duration::from_millis(age_ms.into())), version);
        }
        !is_supported && before != Some(false)
    }

    /// Forgets the reports of all other keepers than `keepers`, which are sorted. Their confirmations
    /// remain.
    pub fn retain_keepers(&mut self, keepers: &[SocketAddr]) {
        self.reporters.retain(|it| keepers.binary_search(&it.0).is_ok());
    }

    /// Time since the newest confirmation that supports `version`; `None` without one.
    pub fn age(&self, now: Time, version: TableVersion) -> Option<Duration> {
        let supporting = self.confirmations.partition_point(|it| it.version <= version);
        Some(now - self.confirmations[..supporting].last()?.at)
    }

    /// Whether the home regions of the table `version` may be relied on. As long as all keepers that have
    /// ever answered are earlier builds, any table may be.
    pub fn holds(&self, now: Time, version: TableVersion) -> bool {
        let is_unsupported = !self.reporters.is_empty() && self.reporters.iter().all(|it| !it.1);
        (is_unsupported && !self.was_confirmed)
            || self.age(now, version).is_some_and(|age| age < self.bound(version))
    }

    /// Whether a newer version is known, and `version` may not be relied on any more.
    pub fn is_outdated(&self, now: Time, version: TableVersion) -> bool {
        self.newest > version && !self.holds(now, version)
    }

    /// Whether the lease holds, if that has changed since the last review.
    pub fn review(&mut self, now: Time, version: TableVersion) -> Option<bool> {
        let is_held = self.holds(now, version);
        let was_held = std::mem::replace(&mut self.was_held, is_held);
        (is_held != was_held).then_some(is_held)
    }

    /// Permits a call's body to enter `region`. All of the lists `homes` bind; an empty one allows every
    /// region. `version` is the newest table that they are from.
    ///
    /// # Errors
    ///
    /// The region is no home, or the homes may have changed since.
    ///
    /// ```
    /// use medlarlug_core::{
    ///     gateway::{table::TableVersion, table_lease::{ResidencyError, TableLease}},
    ///     time::Time,
    /// };
    /// use std::time::Duration;
    ///
    /// let lease = TableLease::new(Duration::from_secs(11));
    /// let (now, kochi) = (Time::from_millis(5_000), "kochi".parse().unwrap());
    /// assert!(lease.permit(now, TableVersion(7), &[&[]], &kochi).is_ok());
    /// let refused = lease.permit(now, TableVersion(7), &[&["kochi".parse().unwrap()]], &kochi);
    /// assert_eq!(refused.unwrap_err(), ResidencyError::Unconfirmed);
    /// ```
    pub fn permit(
        &self,
        now: Time,
        version: TableVersion,
        homes: &[&[RegionId]],
        region: &RegionId,
    ) -> Result<ResidencyPermit, ResidencyError> {
        let mut binding = homes.iter().filter(|it| !it.is_empty()).peekable();
        if binding.peek().is_none() {
            return Ok(ResidencyPermit(()));
        }
        if !binding.all(|it| it.contains(region)) {
            return Err(ResidencyError::ForeignRegion);
        }
        match self.holds(now, version) {
            true => Ok(ResidencyPermit(())),
            false => Err(ResidencyError::Unconfirmed),
        }
    }
}
