//! Per-team request rate limits, divided among the entry instances of a region.
//!
//! A team's rate and burst apply to a region. Each of the region's live entry instances has a *share*
//! of them and admits requests from its own token buckets, without contacting any other process. The
//! instances exchange their demand in [`DemandReport`]s, and each computes its own share:
//!
//! ```text
//! share(i) = weight(i) / sum over live j of weight(j)
//! weight   = base + reported demand
//! ```
//!
//! The sum of the shares never exceeds one while reports are in flight: for itself, an instance uses
//! the *lowest* weight that it had reported at any time within the last settle time; for its peers, the
//! weight received last. As long as a peer receives each report within the settle time after the
//! previous one, the weight that it uses is at least that lowest one, so no instance assumes a smaller
//! weight for a peer than the peer does for itself.
//!
//! Bound on the requests admitted for one team in `T` seconds on one side of a partition, with rate
//! `R`, burst `B`, `n` live instances and `J` starts of instances: `R*T + B + n + J*(R*settle_time +
//! B)/8`.

mod bucket;
mod divider;
mod peers;
mod report;

use std::time::Duration;

use crate::{
    ids::{InstanceId, TeamId},
    release::item::Team,
    units::{Rate, Slots},
};

pub use self::{
    divider::RateLimiter,
    report::{DemandEntry, DemandLevel, DemandReport, REPORTS_PER_CHANGE, TeamKey},
};

/// Maximum share of a team's rate and burst that an instance uses before its own reports have reached
/// all peers. Among more than eight instances, the share is an equal part instead.
pub const INITIAL_SHARE: f64 = 0.125;

/// Weight of an instance without demand, as a fraction of the team's rate.
const BASE_WEIGHT: f64 = 0.01;

/// Timing and message size of the division of limits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LimitPolicy {
    /// Time within which a report reaches every live peer, one heartbeat interval included.
    pub settle_time: Duration,
    /// Time after which a report is sent even without a change. Three intervals fit into
    /// `peer_lifetime`, so that two reports may be lost.
    pub refresh_interval: Duration,
    /// Time after its last report at which a peer is no longer counted.
    pub peer_lifetime: Duration,
    /// Maximum number of teams in one report; a full report lists every team with a demand.
    pub max_entries: usize,
    /// Seed of the jitter on the retry delay of refusals.
    pub seed: u64,
}

impl Default for LimitPolicy {
    fn default() -> LimitPolicy {
        LimitPolicy {
            settle_time: Duration::from_secs(2),
            refresh_interval: Duration::from_secs(2),
            peer_lifetime: Duration::from_millis(6_500),
            max_entries: 64,
            seed: 1,
        }
    }
}

/// The limit of one team.
#[derive(Debug, Clone, PartialEq)]
pub struct TeamLimit {
    /// Team whose callers share the rate and the burst.
    pub team: TeamId,
    /// Requests per second in the whole region.
    pub rate: Rate,
    /// Requests in a burst in the whole region.
    pub burst: Slots,
}

impl From<&Team> for TeamLimit {
    fn from(team: &Team) -> TeamLimit {
        TeamLimit { team: team.id.clone(), rate: team.rate, burst: team.burst }
    }
}

/// An input of [`RateLimiter::handle`].
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A configuration with these limits came into force; it replaces all earlier ones.
    Configured(Vec<TeamLimit>),
    /// The next heartbeat is due.
    Heartbeat,
    /// A report was received from a peer of the region.
    ReportReceived {
        /// Demand of the peer; reports of this instance itself are ignored.
        report: DemandReport,
        /// Time since it was sent.
        age: Duration,
    },
    /// A peer has stopped and admits no more requests.
    PeerStopped(InstanceId),
    /// A peer that missed a report requests the demand of every team.
    ResyncRequested(InstanceId),
}

/// An action that the embedding process has to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Send the report to every entry instance of the region.
    Broadcast(DemandReport),
    /// Request a full report from a peer.
    RequestResync(InstanceId),
    /// Send the full report to one peer.
    Send {
        /// The peer.
        to: InstanceId,
        /// Full report, in answer to [`Event::ResyncRequested`].
        report: DemandReport,
    },
}
