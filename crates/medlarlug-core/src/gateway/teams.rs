//! Teams of a route table: their keys, priorities, home regions and quotas.
//!
//! A table holds fingerprints of keys, never the keys themselves, so that neither a log line nor a
//! dump of the state can reveal one.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use thiserror::Error;

use crate::{fingerprint::Fingerprint, ids::RegionId};

/// Name of a team in a table; visible ASCII characters and spaces between them, so that it can be sent
/// in a header.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "SmolStr", into = "SmolStr")]
pub struct TeamName(SmolStr);

impl TeamName {
    /// The name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for TeamName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl From<TeamName> for SmolStr {
    fn from(name: TeamName) -> SmolStr {
        name.0
    }
}

impl TryFrom<SmolStr> for TeamName {
    type Error = TeamError;

    fn try_from(text: SmolStr) -> Result<TeamName, TeamError> {
        let is_visible = |byte: u8| byte == b' ' || byte.is_ascii_graphic();
        // Receivers of a header remove spaces around its value.
        match !text.is_empty() && text.trim() == text && text.bytes().all(is_visible) {
            true => Ok(TeamName(text)),
            false => Err(TeamError::InvalidName { name: text }),
        }
    }
}

impl FromStr for TeamName {
    type Err = TeamError;

    fn from_str(text: &str) -> Result<TeamName, TeamError> {
        SmolStr::from(text).try_into()
    }
}

/// What a quota counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaUnit {
    /// Every call costs one unit.
    Requests,
    /// A call costs its prompt tokens plus the maximum number of its output tokens.
    Tokens,
}

/// Limit on the calls of a team, summed over all entry instances.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quota {
    /// Unit of the other fields.
    pub unit: QuotaUnit,
    /// Units per second; above zero.
    pub rate: f64,
    /// Units that may be used at once, beyond the rate.
    pub burst: f64,
    /// Cost of a call that states no number of tokens, if tokens are counted.
    pub plain_cost: u32,
}

impl Quota {
    /// Cost of a call in the quota's unit. `tokens` is the sum of its prompt tokens and the maximum
    /// number of its output tokens; `None` if it states neither.
    ///
    /// ```
    /// use medlarlug_core::gateway::teams::{Quota, QuotaUnit};
    ///
    /// let quota = Quota { unit: QuotaUnit::Tokens, rate: 1e3, burst: 1e3, plain_cost: 200 };
    /// assert_eq!((quota.cost(Some(1_540)), quota.cost(None)), (1_540, 200));
    /// ```
    pub fn cost(&self, tokens: Option<u64>) -> u64 {
        match self.unit {
            QuotaUnit::Requests => 1,
            QuotaUnit::Tokens => tokens.unwrap_or(self.plain_cost.into()),
        }
    }
}

/// A team.
#[derive(Debug, Clone, PartialEq)]
pub struct Team {
    /// Name that upstreams receive.
    pub name: TeamName,
    /// Priority of its calls, which replaces that of the route; `None` to keep the route's.
    pub priority: Option<u8>,
    /// Regions that may serve its calls, sorted; all if empty.
    pub homes: Vec<RegionId>,
    /// Limit on its calls; `None` for no limit.
    pub quota: Option<Quota>,
}

/// Why a list of teams is invalid. No message contains a key.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum TeamError {
    /// A name is empty or can't be sent in a header.
    #[error(
        "invalid team name `{name}`: it has to consist of visible ASCII characters and spaces between them"
    )]
    InvalidName {
        /// The rejected name.
        name: SmolStr,
    },
    /// Two teams have the same name.
    #[error("two teams are named `{name}`")]
    DuplicateName {
        /// The name.
        name: TeamName,
    },
    /// Two teams have the same key, or a team lists a key twice.
    #[error("teams `{first}` and `{second}` share a key")]
    SharedKey {
        /// One of the teams.
        first: TeamName,
        /// The other team; the same one if it lists the key twice.
        second: TeamName,
    },
    /// A rate or burst is negative or not finite.
    #[error("{field} of team `{team}` has to be a number that is not negative, not {value}")]
    InvalidQuota {
        /// The team.
        team: TeamName,
        /// Name of the field.
        field: &'static str,
        /// The rejected value, as text.
        value: SmolStr,
    },
}

/// All teams of a table with the fingerprints of their keys.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct TeamTable {
    /// Sorted by name.
    teams: Vec<Team>,
    /// Fingerprint of each key, and the index of its team; sorted.
    keys: Vec<(Fingerprint, usize)>,
}

impl TeamTable {
    /// Builds a table from teams with the fingerprints of their keys, in any order.
    ///
    /// # Errors
    ///
    /// Two teams share a name or a key, or a quota is not a valid number.
    ///
    /// ```
    /// use medlarlug_core::{fingerprint::Fingerprint, gateway::teams::{Team, TeamTable}};
    ///
    /// let name = "survey".parse()?;
    /// let team = Team { name, priority: None, homes: vec![], quota: None };
    /// let key = Fingerprint::of(b"key of survey");
    /// let table = TeamTable::new(vec![(team, vec![key])])?;
    /// assert_eq!(table.by_key(key).unwrap().name.as_str(), "survey");
    /// assert!(table.by_key(Fingerprint::of(b"another key")).is_none());
    /// # Ok::<(), medlarlug_core::gateway::teams::TeamError>(())
    /// ```
    pub fn new(mut teams: Vec<(Team, Vec<Fingerprint>)>) -> Result<TeamTable, TeamError> {
        teams.sort_by(|a, b| a.0.name.cmp(&b.0.name));
        for pair in teams.windows(2) {
            if pair[0].0.name == pair[1].0.name {
                return Err(TeamError::DuplicateName { name: pair[0].0.name.clone() });
            }
        }
        let mut table = TeamTable::default();
        for (index, (mut team, keys)) in teams.into_iter().enumerate() {
            check_quota(&team)?;
            team.homes.sort();
            team.homes.dedup();
            table.keys.extend(keys.into_iter().map(|key| (key, index)));
            table.teams.push(team);
        }
        table.keys.sort_unstable();
        for pair in table.keys.windows(2) {
            if pair[0].0 == pair[1].0 {
                let name = |index: usize| table.teams[index].name.clone();
                return Err(TeamError::SharedKey {
                    first: name(pair[0].1),
                    second: name(pair[1].1),
                });
            }
        }
        Ok(table)
    }

    /// All teams, sorted by name.
    pub fn teams(&self) -> &[Team] {
        &self.teams
    }

    /// The team that holds the key with this fingerprint.
    pub fn by_key(&self, key: Fingerprint) -> Option<&Team> {
        let at = self.keys.binary_search_by_key(&key, |it| it.0).ok()?;
        Some(&self.teams[self.keys[at].1])
    }

    /// The team with `name`.
    pub fn by_name(&self, name: &TeamName) -> Option<&Team> {
        let at = self.teams.binary_search_by(|team| team.name.cmp(name)).ok()?;
        Some(&self.teams[at])
    }
}

fn check_quota(team: &Team) -> Result<(), TeamError> {
    let Some(quota) = &team.quota else { return Ok(()) };
    for (field, value) in [("the rate", quota.rate), ("the burst", quota.burst)] {
        if !value.is_finite() || value < 0.0 {
            let value = smol_str::format_smolstr!("{value}");
            return Err(TeamError::InvalidQuota { team: team.name.clone(), field, value });
        }
    }
    Ok(())
}
