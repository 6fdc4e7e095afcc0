//! Contents that crash upstreams.
//!
//! A content is a request as a whole, or a part of its prompt that other requests hold as well, such as
//! a shared document. Each is known by its fingerprint ([`RequestContents`]), so requests that crash
//! upstreams are recognized whether they come again unchanged or have only the faulty part in common.
//!
//! When an upstream crashes without another explanation, the contents of every request in flight on it
//! become *suspects*. A suspect that is retried has an upstream to itself,
//! so that the others are cleared as soon as they complete. The evidence is a set of [`Fact`]s:
//! crashes, each identified by the upstream and its incarnation, and clearances. Facts merge by set
//! union in any order and any number of times, so every entry instance, and the home group of every
//! region, derives the same quarantines with the same [`CrashLedger`] code.
//!
//! A completed run clears a request and its parts of all crashes so far, and for a minute of those that
//! follow. A content that crashes upstreams crashes every one that runs it, while a common content is in
//! flight on whichever upstream crashes. An answer that has only begun clears nothing, since a part may
//! crash its upstream at any time while the answer is written. An answer that has been written for longer
//! than those that a crash interrupted clears their common parts of that crash.
//!
//! A content is quarantined when
//!
//! - two crashes name it, and in one of them its request was the only one in flight, or all others have
//!   been cleared of that crash, or
//! - three crashes name it, and in some span of time at least half of all that nothing else explains. Where
//!   upstreams crash for other reasons, long answers are interrupted several times by chance.
//!
//! Of several such contents, those with the strongest evidence are quarantined, and of these the ones
//! that the fewest requests hold: a part that all requests share is in flight at every crash. A crash
//! that a quarantined content explains counts against no other. Contents that the same requests held
//! can't be told apart; a request is refused if it holds all of them, and one that holds only some runs
//! as a suspect, which shows which one is at fault.
//! A quarantine lasts
//! [`QUARANTINE_LIFETIME`], doubled by every further crash; after that the content runs as a
//! suspect again, and its next crash quarantines it at once.
//!
//! Bound: requests with one such content that are sent one at a time, each after the facts of the last
//! crash have arrived, crash at most two upstreams if an upstream is available for them alone, and at
//! most three otherwise, until the quarantine ends; one more for each request by which its other
//! contents are told apart from the faulty one. An instance runs a suspected content once at a time,
//! so requests that overlap at `c` instances, or that are sent before the facts arrive, add one crash
//! for each instance. Requests that were in flight when the first upstream crashed add one crash each.
//! During a partition the bound holds for each side.

mod contents;
mod fact_log;
mod isolation;
mod ledger;
mod records;
mod trials;
mod verdict;

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    fingerprint::Fingerprint,
    ids::{Incarnation, RequestId, UpstreamId},
};

pub use self::{
    contents::RequestContents,
    fact_log::{FactLog, MAX_LOGGED_CONTENTS},
    isolation::SuspectTracker,
    ledger::{ContentStatus, CrashLedger},
    trials::{Trials, trial_instance},
};

/// Lifetime of a quarantine after the number of crashes that first leads to one.
pub const QUARANTINE_LIFETIME: Duration = Duration::from_secs(600);
/// Age at which facts are forgotten, and the maximum lifetime of a quarantine.
pub const FACT_LIFETIME: Duration = Duration::from_secs(24 * 3_600);
/// Maximum number of crashes in a ledger; the oldest are dropped first.
pub const MAX_STORED_CRASHES: usize = 1_024;
/// Maximum number of contents that the crashes in a ledger name; the oldest crashes are dropped first.
pub const MAX_STORED_CONTENTS: usize = 131_072;
/// Crashes that quarantine a content if in one of them no other suspect was in flight.
pub const QUARANTINE_CRASHES_ISOLATED: usize = 2;
/// Crashes that quarantine a content whatever else was in flight, if they are at least half of all in some
/// span of time.
pub const QUARANTINE_CRASHES_SHARED: usize = 3;
/// Maximum time for which an upstream is reserved for one suspect.
pub const RESERVATION_LIFETIME: Duration = Duration::from_secs(60);

/// Evidence that instances exchange. It carries its age instead of a timestamp, as instances share no
/// clock.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fact {
    /// An upstream crashed without another explanation.
    #[serde(rename = "Lost")]
    Crashed(CrashReport),
    /// A request with this content completed, or its answer outlasted those that the crashes interrupted
    /// if the content is a part of its prompt.
    Cleared {
        /// Fingerprint of the content.
        fingerprint: Fingerprint,
        /// Crashes that no longer count against the content, sorted.
        #[serde(rename = "losses")]
        crashes: Vec<CrashId>,
        /// Time since the newest of these crashes.
        age: Duration,
    },
}

impl Fact {
    /// The fact with its age increased by `time`.
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

    /// The fact with an age of zero, for comparison with facts received at other times.
    pub fn without_age(&self) -> Fact {
        match self.clone() {
            Fact::Crashed(report) => Fact::Crashed(CrashReport { age: Duration::ZERO, ..report }),
            Fact::Cleared { fingerprint, crashes, .. } => {
                Fact::Cleared { fingerprint, crashes, age: Duration::ZERO }
            }
        }
    }

    /// Time since the crash, or since the newest of the cleared crashes.
    pub fn age(&self) -> Duration {
        match self {
            Fact::Crashed(report) => report.age,
            Fact::Cleared { age, .. } => *age,
        }
    }

    /// Number of contents that the fact names; a content of several requests counts for each.
    pub fn content_count(&self) -> usize {
        match self {
            Fact::Crashed(report) => report.in_flight.iter().map(|it| it.iter().count()).sum(),
            Fact::Cleared { .. } => 1,
        }
    }
}

/// Identifies a crash; equal for all instances that report it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CrashId {
    /// Id of the crashed upstream, which stays the same after a restart.
    pub upstream: UpstreamId,
    /// The incarnation that crashed.
    pub incarnation: Incarnation,
}

/// The crash of one upstream as one entry instance observed it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The crash.
    pub key: CrashId,
    /// Time since the reporting instance noticed the crash.
    pub age: Duration,
    /// Requests that the reporting instance had in flight on the upstream, sorted, without the parts that
    /// it knew to be sound.
    #[serde(rename = "flying")]
    pub in_flight: Vec<RequestContents>,
    /// Those of the contents in flight that a trial was testing, sorted.
    #[serde(rename = "tried")]
    pub trials: Vec<Fingerprint>,
}

/// Whether a request may run on an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Placement {
    /// It may run there.
    Allowed,
    /// It is a suspect and would share the upstream with requests that are not; allowed only if no
    /// other upstream is.
    LastResort,
    /// It may not run there: a suspect runs there, the upstream is reserved for one, the content is
    /// quarantined, or the same suspected content is already in flight.
    Denied,
}

/// An input of [`SuspectTracker::handle`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A request was sent to an upstream.
    Sent {
        /// Request that counts as in flight from now on.
        request: RequestId,
        /// Its contents.
        contents: RequestContents,
        /// Receiver of the request; reserved unless the contents are [`ContentStatus::Clear`].
        upstream: UpstreamId,
        /// The upstream's incarnation.
        incarnation: Incarnation,
    },
    /// The answer to a request has begun, which ends the reservation of its upstream.
    Began {
        /// Request of an earlier [`Event::Sent`]; ignored if it is not in flight.
        request: RequestId,
    },
    /// A request received its complete answer, which clears its contents.
    Completed {
        /// Request of an earlier [`Event::Sent`]; ignored if it is not in flight.
        request: RequestId,
    },
    /// A request ended in a way that is no evidence for or against its contents.
    Inconclusive {
        /// Request that is no longer in flight and releases its reservation, if any.
        request: RequestId,
    },
    /// An upstream crashed: its lease expired, or it returned with a new incarnation.
    ///
    /// An unresponsive connection, and an upstream that announced its shutdown, are no crash.
    UpstreamCrashed {
        /// Upstream whose requests in flight on that incarnation are interrupted.
        upstream: UpstreamId,
        /// The incarnation that crashed.
        incarnation: Incarnation,
    },
    /// An upstream crashed for a reason that is known and lies in none of its requests, such as more
    /// requests than its memory holds. This is no evidence against their contents.
    CrashExplained {
        /// Upstream whose requests in flight on that incarnation are interrupted.
        upstream: UpstreamId,
        /// The incarnation that crashed.
        incarnation: Incarnation,
    },
    /// A fact was received from a peer or from the home group.
    FactReceived(Fact),
    /// A peer of the zone reserved an upstream for a suspect.
    Reserved {
        /// Upstream that gets no request of this instance until the reservation ends.
        upstream: UpstreamId,
        /// Remaining time of the reservation.
        lifetime: Duration,
    },
    /// A peer of the zone released its reservation.
    ReservationReleased {
        /// Upstream that may get requests of this instance again.
        upstream: UpstreamId,
    },
    /// Expires old facts, completed runs and reservations; sent at regular intervals.
    Tick,
}

/// An action that the embedding process has to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Send the fact to the home group and to the region's entry instances; the home group forwards
    /// it to the other regions.
    Publish(Fact),
    /// Log that a crash report names only some of the parts that were in flight, as they are too many. A part
    /// at fault may be found later for that.
    PartsOmitted {
        /// The crash.
        crash: CrashId,
        /// Number of parts that are left out; a part of several requests counts for each.
        count: usize,
    },
    /// The request's upstream crashed while the request was in flight: retry it or give it up.
    Interrupted {
        /// Request to retry or give up; it no longer counts as in flight.
        request: RequestId,
    },
    /// Notify the zone's entry instances to send no other request to the upstream.
    Reserve {
        /// Upstream that a suspect of this instance was sent to.
        upstream: UpstreamId,
        /// Maximum time of the reservation.
        lifetime: Duration,
    },
    /// Notify the zone's entry instances that the reservation has ended.
    ReleaseReservation {
        /// Upstream on which this instance's suspect has ended.
        upstream: UpstreamId,
    },
}
