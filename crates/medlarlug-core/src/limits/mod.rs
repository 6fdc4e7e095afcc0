//! Per-team request rates, divided over the entry instances of a region.
//!
//! A team's rate and burst hold for a region. Each of the region's live entry instances has a
//! *share* of them and admits requests from its own token buckets, without asking anyone. The
//! instances tell each other their demand in [`DemandReport`]s, and each computes its own share:
//!
//! ```text
//! share(i) = weight(i) / sum over live j of weight(j)
//! weight   = base + reported demand
//! ```
//!
//! The sum of the shares stays at one or below while reports are under way: for itself an
//! instance uses the *lowest* weight that it had reported at any time within the last settle
//! time, for the others the weight that it heard last. A report that is heard within the settle
//! time after the one before is at least that lowest weight, so no instance counts another for
//! less than that one counts itself.
//!
//! Bound for one team in `T` seconds on one side of a partition, with rate `R`, burst `B`, `n`
//! live instances and `J` starts of instances: `R*T + B + n + J*(R*settle + B)/8`.

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

/// The largest share of a team's rate and burst that an instance uses before its own reports are
/// settled; among more instances it is the equal part.
pub const INITIAL_SHARE: f64 = 0.125;

/// Weight of an instance without demand, as a share of the team's rate.
const BASE_WEIGHT: f64 = 0.01;

/// Times and sizes of the division.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LimitPolicy {
    /// Time within which a report reaches every live peer, one heartbeat interval included.
    pub settle_time: Duration,
    /// Time after which a report is sent though nothing has changed; three of them fit the lifetime.
    pub refresh_interval: Duration,
    /// Time after its last report at which a silent peer is no longer counted.
    pub peer_lifetime: Duration,
    /// Teams that one report lists at most; a full one lists every team with a demand.
    pub max_entries: usize,
    /// Seed of the jitter on the time to come back.
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
    /// The team.
    pub team: TeamId,
    /// Requests a second over the region.
    pub rate: Rate,
    /// Requests at once over the region.
    pub burst: Slots,
}

impl From<&Team> for TeamLimit {
    fn from(team: &Team) -> TeamLimit {
        TeamLimit { team: team.id.clone(), rate: team.rate, burst: team.burst }
    }
}

/// What happens to the division.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A configuration came into force.
    Configured(Vec<TeamLimit>),
    /// The next heartbeat is due.
    Heartbeat,
    /// A peer of the region reported.
    ReportReceived {
        /// The report.
        report: DemandReport,
        /// Time since it was sent.
        age: Duration,
    },
    /// A peer has stopped and admits nothing any more.
    PeerStopped(InstanceId),
    /// A peer asks for every team's demand, because it missed a report.
    ResyncRequested(InstanceId),
}

/// What the shell has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Send the report to every entry instance of the region.
    Broadcast(DemandReport),
    /// Ask a peer for every team's demand.
    RequestResync(InstanceId),
    /// Send the full report to one peer.
    Send {
        /// The peer.
        to: InstanceId,
        /// The report.
        report: DemandReport,
    },
}
