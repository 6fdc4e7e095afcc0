//! The demand reports that entry instances exchange.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{
    fingerprint::Fingerprint,
    ids::{Incarnation, InstanceId, TeamId},
};

/// Number of consecutive reports that list a change, so that all but one of them may be lost.
pub const REPORTS_PER_CHANGE: u64 = 3;
/// Highest demand level.
const MAX_LEVEL: u8 = 60;
/// Number of levels per doubling of the demand.
const LEVELS_PER_DOUBLING: f64 = 2.0;
/// Demand at level 1, in requests per second.
const LEVEL_UNIT: f64 = 1.0 / 16.0;

/// Compact identifier of a team in reports: 32 bits of the hash of its id.
///
/// If two teams have the same key, peers count the demand of both for each of them. That lowers their
/// shares but never raises the total.
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

/// A demand on a logarithmic scale with two levels per doubling; level 0 is no demand.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct DemandLevel(pub u8);

impl DemandLevel {
    /// The level nearest to `demand` requests per second.
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

    /// Demand at this level, in requests per second.
    pub fn demand(self) -> f64 {
        match self.0.min(MAX_LEVEL) {
            0 => 0.0,
            level => LEVEL_UNIT * (f64::from(level - 1) / LEVELS_PER_DOUBLING).exp2(),
        }
    }
}

/// The demand of one team at the reporting instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandEntry {
    /// Hash of the team id, which several teams may share.
    pub team: TeamKey,
    /// Its demand; level 0 if the demand has ended.
    pub level: DemandLevel,
}

/// The demand at one entry instance, sent with a heartbeat after a change, and at
/// [`LimitPolicy::refresh_interval`](super::LimitPolicy::refresh_interval) without one.
///
/// Lists the teams whose demand has changed within the last [`REPORTS_PER_CHANGE`] reports, including this
/// one, so that two consecutive lost reports leave no gap; a full report lists every team with a demand.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandReport {
    /// The reporting instance.
    pub from: InstanceId,
    /// Incarnation of the reporting instance.
    pub incarnation: Incarnation,
    /// Sequence number of the report within the incarnation, from 1.
    pub sequence: u64,
    /// Sequence number of the last full report; equal to `sequence` in a full report.
    pub base: u64,
    /// The listed teams, sorted by key.
    pub entries: Vec<DemandEntry>,
}

impl DemandReport {
    /// Whether the report is a full one: teams that it does not list have no demand.
    pub fn is_full(&self) -> bool {
        self.base == self.sequence
    }
}
