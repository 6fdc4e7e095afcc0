//! What entry instances tell each other of their demand.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{
    fingerprint::Fingerprint,
    ids::{Incarnation, InstanceId, TeamId},
};

/// Reports that list a change.
pub const REPORTS_PER_CHANGE: u64 = 3;
/// Highest demand level.
const MAX_LEVEL: u8 = 60;
/// Levels in a doubling of the demand.
const LEVELS_PER_DOUBLING: f64 = 2.0;
/// Demand of level 1, in requests a second.
const LEVEL_UNIT: f64 = 1.0 / 16.0;

/// A team's short name in reports: 32 bits of the hash of its id.
///
/// Teams that share a key are counted for each other's demand by their peers, which lowers their
/// shares and never raises the total.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TeamKey(pub u32);

impl TeamKey {
    /// The key of `team`.
    ///
    /// ```
    /// use medlarlug_core::limits::TeamKey;
    ///
    /// let team = "survey".parse().unwrap();
    /// assert_eq!(TeamKey::of(&team), TeamKey::of(&team));
    /// ```
    pub fn of(team: &TeamId) -> TeamKey {
        TeamKey(Fingerprint::of(team.as_str().as_bytes()).0 as u32)
    }
}

impl fmt::Display for TeamKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

/// A demand on a logarithmic scale, two levels to a doubling; level 0 is none.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct DemandLevel(pub u8);

impl DemandLevel {
    /// The level nearest to `demand` requests a second.
    ///
    /// ```
    /// use medlarlug_core::limits::DemandLevel;
    ///
    /// assert_eq!(DemandLevel::of(0.0), DemandLevel(0));
    /// assert_eq!(DemandLevel::of(4.0).demand(), 4.0);
    /// ```
    pub fn of(demand: f64) -> DemandLevel {
        if demand < LEVEL_UNIT / 2.0 {
            return DemandLevel(0);
        }
        let level = ((demand / LEVEL_UNIT).log2() * LEVELS_PER_DOUBLING).round() + 1.0;
        DemandLevel(level.clamp(1.0, f64::from(MAX_LEVEL)) as u8)
    }

    /// Requests a second that the level stands for.
    pub fn demand(self) -> f64 {
        match self.0.min(MAX_LEVEL) {
            0 => 0.0,
            level => LEVEL_UNIT * (f64::from(level - 1) / LEVELS_PER_DOUBLING).exp2(),
        }
    }
}

/// One team's demand.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandEntry {
    /// The team.
    pub team: TeamKey,
    /// Its demand.
    pub level: DemandLevel,
}

/// One entry instance's demand, sent with a heartbeat when there is a change to tell, and from time
/// to time without one.
///
/// Lists the teams whose demand has changed within the last [`REPORTS_PER_CHANGE`] reports, this one
/// included, so that a few lost reports leave no gap; a full one lists every team with a demand.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandReport {
    /// The reporting instance.
    pub from: InstanceId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Number of the report within the incarnation, from 1.
    pub sequence: u64,
    /// Number of the last full report; a full one names itself.
    pub base: u64,
    /// Teams and their demand, sorted by team.
    pub entries: Vec<DemandEntry>,
}

impl DemandReport {
    /// Whether teams that are not listed have no demand.
    pub fn is_full(&self) -> bool {
        self.base == self.sequence
    }
}
