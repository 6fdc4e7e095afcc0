//! Limits that upstreams name: the requests a second that one takes from all entry instances together.
//!
//! An upstream in need names its limit in each answer, for as long as it holds. The limit belongs to the
//! incarnation that named it. Answers cross: one without a limit ends it only if its request went out after
//! the limit was last named, and one to an older request can lower a limit, but not raise it.
//!
//! Instances of a region tell each other of changes. How they divide a limit is up to
//! [`permits`](super::permits).

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{gateway::upstreams::Birth, ids::UpstreamId, time::Time};

/// Lowest rate that is kept, in requests a second: an upstream that takes none is asked this often, since
/// only its answers tell that the limit has ended.
const LOWEST_RATE: f64 = 0.1;
/// Highest rate, in requests a second, above which a limit is none.
const HIGHEST_RATE: f64 = 1e6;
/// Part by which a limit has to change before other instances are told.
const NEWS_SHARE: f64 = 0.1;

/// Requests a second that an upstream takes from all entry instances together.
///
/// ```
/// use medlarlug_core::gateway::upstream_limits::NamedLimit;
///
/// assert_eq!("1.7".parse::<NamedLimit>().unwrap().to_string(), "1.7/s");
/// assert_eq!("0".parse::<NamedLimit>().unwrap(), NamedLimit::LOWEST);
/// assert!("few".parse::<NamedLimit>().is_err());
/// ```
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct NamedLimit(f64);

/// A text that holds no limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("not a number of requests a second from zero on")]
pub struct LimitError;

impl NamedLimit {
    /// The lowest limit, which also holds for an upstream that names one that can't be read.
    pub const LOWEST: NamedLimit = NamedLimit(LOWEST_RATE);

    /// Requests a second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl From<NamedLimit> for f64 {
    fn from(limit: NamedLimit) -> f64 {
        limit.0
    }
}

impl TryFrom<f64> for NamedLimit {
    type Error = LimitError;

    fn try_from(rate: f64) -> Result<NamedLimit, LimitError> {
        match rate.is_nan() || rate < 0.0 {
            true => Err(LimitError),
            false => Ok(NamedLimit(rate.clamp(LOWEST_RATE, HIGHEST_RATE))),
        }
    }
}

impl FromStr for NamedLimit {
    type Err = LimitError;

    fn from_str(text: &str) -> Result<NamedLimit, LimitError> {
        let rate: f64 = text.trim().parse().map_err(|_| LimitError)?;
        NamedLimit::try_from(rate)
    }
}

impl fmt::Display for NamedLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

/// What an answer says about a limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Said {
    /// The upstream names this limit.
    Limit(NamedLimit),
    /// The upstream names a limit that can't be read.
    Unreadable,
    /// The upstream names none.
    None,
}

#[derive(Debug, Clone)]
struct Known {
    id: UpstreamId,
    birth: Birth,
    limit: NamedLimit,
    /// When an answer named it last.
    named: Time,
    /// The limit as other instances were told.
    told: NamedLimit,
}

/// The limits that this instance knows, sorted by upstream.
///
/// ```
/// use medlarlug_core::{
///     gateway::{upstream_limits::{NamedLimits, Said}, upstreams::Birth},
///     time::Time,
/// };
///
/// let (mut limits, id) = (NamedLimits::default(), "engine-1".parse().unwrap());
/// let said = Said::Limit("1.7".parse().unwrap());
/// limits.answered(Time::from_millis(20), Time::from_millis(10), &id, Birth(1), said);
/// assert!(limits.of(&id, Birth(1)).is_some());
/// ```
#[derive(Debug, Clone, Default)]
pub struct NamedLimits {
    known: Vec<Known>,
}

impl NamedLimits {
    /// Takes in what an answer to a request says that went out at `sent`. Returns whether other instances
    /// have to know.
    pub fn answered(
        &mut self,
        now: Time,
        sent: Time,
        id: &UpstreamId,
        birth: Birth,
        said: Said,
    ) -> bool {
        let known = self.place(id).ok().map(|at| self.known[at].clone());
        if known.as_ref().is_some_and(|it| it.birth > birth) {
            return false;
        }
        let known = known.filter(|it| it.birth == birth);
        let limit = match (said, &known) {
            (Said::None, None) => return false,
            (Said::None, Some(known)) if sent <= known.named => return false,
            (Said::None, Some(_)) => {
                self.remove(id);
                return true;
            }
            (Said::Unreadable, Some(known)) => known.limit,
            (Said::Unreadable, None) => NamedLimit::LOWEST,
            (Said::Limit(limit), Some(known)) if sent <= known.named && limit > known.limit => {
                known.limit
            }
            (Said::Limit(limit), _) => limit,
        };
        let told = known.map(|it| it.told);
        let is_news = told.is_none_or(|told| (limit.0 - told.0).abs() > told.0 * NEWS_SHARE);
        let told = if is_news { limit } else { told.unwrap_or(limit) };
        self.set(Known { id: id.clone(), birth, limit, named: now, told });
        is_news
    }

    /// Takes in what another instance tells of an upstream; `None` if its limit has ended.
    pub fn told(&mut self, now: Time, id: &UpstreamId, birth: Birth, limit: Option<NamedLimit>) {
        let newest = self.place(id).ok().map(|at| self.known[at].birth);
        if newest.is_some_and(|newest| newest > birth) {
            return;
        }
        match limit {
            Some(limit) => {
                self.set(Known { id: id.clone(), birth, limit, named: now, told: limit });
            }
            None => self.remove(id),
        }
    }

    /// The limit of an incarnation, if it has one.
    pub fn of(&self, id: &UpstreamId, birth: Birth) -> Option<NamedLimit> {
        let known = self.place(id).ok().map(|at| &self.known[at]);
        known.filter(|it| it.birth >= birth).map(|it| it.limit)
    }

    /// Whether no upstream has a limit.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Forgets an upstream that is gone.
    pub fn remove(&mut self, id: &UpstreamId) {
        if let Ok(at) = self.place(id) {
            self.known.remove(at);
        }
    }

    fn set(&mut self, known: Known) {
        match self.place(&known.id) {
            Ok(at) => self.known[at] = known,
            Err(at) => self.known.insert(at, known),
        }
    }

    fn place(&self, id: &UpstreamId) -> Result<usize, usize> {
        self.known.binary_search_by(|it| it.id.cmp(id))
    }
}
