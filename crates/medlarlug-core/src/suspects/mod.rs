//! Requests that crash upstreams.
//!
//! When an upstream is lost without an explanation, every request in flight on it becomes a
//! *suspect*, known by the fingerprint of its content. A suspect that is tried again runs alone on
//! an upstream, so that the others clear themselves by completing. The evidence is a set of
//! [`Fact`]s: losses, each named by the upstream and its incarnation, and clearances. Facts merge
//! by set union in any order and any number of times, so every entry instance, and the home group
//! of every region, reaches the same quarantines from the same [`CrashLedger`] code.
//!
//! A whole run clears a content of every loss so far, and for a minute of those that follow: a content
//! that crashes upstreams crashes each one, and a common one is in flight at whichever is lost.
//!
//! A fingerprint is quarantined when
//!
//! - two losses name it, and on one of them it was the only request in flight, or all others have
//!   been cleared of that loss, or
//! - three losses name it.
//!
//! A loss that a quarantined fingerprint explains counts against no other. A quarantine lasts
//! [`QUARANTINE_LIFETIME`], doubled by every further loss; after that the content runs as a
//! suspect again, and its next loss quarantines at once.
//!
//! Bound: one content that is sent one at a time, each after the facts of the last loss have
//! arrived, loses at most two upstreams where an upstream can be had alone, at most three
//! otherwise, until its quarantine ends. An instance runs a suspected content once at a time, so
//! sends that overlap at `c` instances, or that outrun the facts, add one loss for each instance.
//! Sends that were in flight when the first upstream was lost add one loss each. On two sides of a partition the bound holds for each side.

mod fact_log;
mod isolation;
mod ledger;
mod trials;

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    fingerprint::Fingerprint,
    ids::{Incarnation, RequestId, UpstreamId},
};

pub use self::{
    fact_log::{FactLog, MAX_LOGGED_CONTENTS},
    isolation::SuspectTracker,
    ledger::{ContentStatus, CrashLedger},
    trials::{Trials, trial_instance},
};

/// First lifetime of a quarantine.
pub const QUARANTINE_LIFETIME: Duration = Duration::from_secs(600);
/// Time for which facts are kept.
pub const FACT_LIFETIME: Duration = Duration::from_secs(24 * 3_600);
/// Losses that a ledger keeps at most; the oldest go first.
pub const MAX_STORED_CRASHES: usize = 1_024;
/// Losses that quarantine if one of them had no other request in flight.
pub const QUARANTINE_CRASHES_ISOLATED: usize = 2;
/// Losses that quarantine whatever else was in flight.
pub const QUARANTINE_CRASHES_SHARED: usize = 3;
/// Time for which an upstream is reserved for one suspect at most.
pub const RESERVATION_LIFETIME: Duration = Duration::from_secs(60);

/// Evidence that instances share; carries its age, never a clock reading.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fact {
    /// An upstream was lost without an explanation.
    #[serde(rename = "Lost")]
    Crashed(CrashReport),
    /// A suspect ran to its end.
    Cleared {
        /// Its content.
        fingerprint: Fingerprint,
        /// Losses that no longer count against it, sorted.
        #[serde(rename = "losses")]
        crashes: Vec<CrashId>,
        /// Time since the newest of these losses.
        age: Duration,
    },
}

impl Fact {
    /// The fact as it is told `time` later.
    pub fn aged_by(&self, time: Duration) -> Fact {
        match self.clone() {
            Fact::Crashed(report) => {
                Fact::Crashed(CrashReport { age: report.age + time, ..report })
            }
            Fact::Cleared { fingerprint, crashes, age } => {
                Fact::Cleared { fingerprint, crashes, age: age + time }
            }
        }
    }

    /// The fact without its age, to tell whether two say the same.
    pub fn without_age(&self) -> Fact {
        match self.clone() {
            Fact::Crashed(report) => Fact::Crashed(CrashReport { age: Duration::ZERO, ..report }),
            Fact::Cleared { fingerprint, crashes, .. } => {
                Fact::Cleared { fingerprint, crashes, age: Duration::ZERO }
            }
        }
    }

    /// Its age.
    pub fn age(&self) -> Duration {
        match self {
            Fact::Crashed(report) => report.age,
            Fact::Cleared { age, .. } => *age,
        }
    }

    /// Contents that the fact names.
    pub fn content_count(&self) -> usize {
        match self {
            Fact::Crashed(report) => report.in_flight.len(),
            Fact::Cleared { .. } => 1,
        }
    }
}

/// Names a loss.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CrashId {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The incarnation that was lost.
    pub incarnation: Incarnation,
}

/// One upstream's loss as one entry instance saw it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The loss.
    pub key: CrashId,
    /// Time since it was noticed.
    pub age: Duration,
    /// Contents that the reporting instance had in flight there, sorted.
    #[serde(rename = "flying")]
    pub in_flight: Vec<Fingerprint>,
    /// Those of them that were quarantined and ran as a trial, sorted.
    #[serde(rename = "tried")]
    pub trials: Vec<Fingerprint>,
}

/// Whether a request may run on an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Placement {
    /// It may.
    Allowed,
    /// It is a suspect and would share the upstream with requests that are not; only if no other
    /// upstream is free.
    LastResort,
    /// It may not: a suspect runs there, the upstream is reserved for one, or the same suspected
    /// content is in flight already.
    Denied,
}

/// What happens to the requests in flight.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A request was sent to an upstream.
    Sent {
        /// The request.
        request: RequestId,
        /// Its content.
        fingerprint: Fingerprint,
        /// The upstream.
        upstream: UpstreamId,
        /// The upstream's incarnation.
        incarnation: Incarnation,
    },
    /// A request got its whole answer.
    Completed {
        /// The request.
        request: RequestId,
    },
    /// A request ended in another way, which proves nothing.
    Inconclusive {
        /// The request.
        request: RequestId,
    },
    /// An upstream crashed: its lease ran out, or it came back under a new incarnation.
    ///
    /// A connection that fell silent, and a leaving upstream, are no loss.
    UpstreamCrashed {
        /// The upstream.
        upstream: UpstreamId,
        /// The incarnation that was lost.
        incarnation: Incarnation,
    },
    /// A fact came from a peer or from the home group.
    FactReceived(Fact),
    /// A peer of the zone reserved an upstream for a suspect.
    Reserved {
        /// The upstream.
        upstream: UpstreamId,
        /// Time that is left of the reservation.
        lifetime: Duration,
    },
    /// A peer of the zone gave its reservation up.
    ReservationReleased {
        /// The upstream.
        upstream: UpstreamId,
    },
    /// Time passes.
    Tick,
}

/// What the shell has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Send the fact to the home group and to the region's entry instances; the home group hands
    /// it on to the other regions.
    Publish(Fact),
    /// The request's upstream was lost under it: decide on a retry, or give it up.
    Interrupted {
        /// The request.
        request: RequestId,
    },
    /// Tell the zone's entry instances to send nothing else to the upstream.
    Reserve {
        /// The upstream.
        upstream: UpstreamId,
        /// Longest time of the reservation.
        lifetime: Duration,
    },
    /// Tell the zone's entry instances that the reservation has ended.
    ReleaseReservation {
        /// The upstream.
        upstream: UpstreamId,
    },
}
