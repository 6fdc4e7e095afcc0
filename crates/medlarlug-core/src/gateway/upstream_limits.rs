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
/// use medlarlug_core::gateway::upstream_limits::UpstreamLimit;
///
/// assert_eq!("1.7".parse::<UpstreamLimit>().unwrap().to_string(), "1.7/s");
/// assert_eq!("0".parse::<UpstreamLimit>().unwrap(), UpstreamLimit::LOWEST);
/// assert!("few".parse::<UpstreamLimit>().is_err());
/// ```
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct UpstreamLimit(f64);

/// A text that holds no limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("not a number of requests a second from zero on")]
pub struct LimitError;

impl UpstreamLimit {
    /// The lowest limit, which also holds for an upstream that names one that can't be read.
    pub const LOWEST: UpstreamLimit = UpstreamLimit(LOWEST_RATE);

    /// Requests a second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl From<UpstreamLimit> for f64 {
    fn from(limit: UpstreamLimit) -> f64 {
        limit.0
    }
}

impl TryFrom<f64> for UpstreamLimit {
    type Error = LimitError;

    fn try_from(rate: f64) -> Result<UpstreamLimit, LimitError> {
        match rate.is_nan() || rate < 0.0 {
            true => Err(LimitError),
            false => Ok(UpstreamLimit(rate.clamp(LOWEST_RATE, HIGHEST_RATE))),
        }
    }
}

impl FromStr for UpstreamLimit {
    type Err = LimitError;

    fn from_str(text: &str) -> Result<UpstreamLimit, LimitError> {
        let rate: f64 = text.trim().parse().map_err(|_| LimitError)?;
        UpstreamLimit::try_from(rate)
    }
}

impl fmt::Display for UpstreamLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

/// What an answer says about a limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimitHeader {
    /// The upstream names this limit.
    Limit(UpstreamLimit),
    /// The upstream names a limit that can't be read.
    Invalid,
    /// The upstream names none.
    Absent,
}

#[derive(Debug, Clone)]
struct Known {
    id: UpstreamId,
    birth: Birth,
    limit: UpstreamLimit,
    /// When an answer named it last.
    named: Time,
    /// The limit as other instances were told.
    told: UpstreamLimit,
}

/// The limits that this instance knows, sorted by upstream.
///
/// ```
/// use medlarlug_core::{
///     gateway::{upstream_limits::{UpstreamLimits, LimitHeader}, upstreams::Birth},
///     time::Time,
/// };
///
/// let (mut limits, id) = (UpstreamLimits::default(), "engine-1".parse().unwrap());
/// let said = LimitHeader::Limit("1.7".parse().unwrap());
/// limits.record_answer(Time::from_millis(20), Time::from_millis(10), &id, Birth(1), said);
/// assert!(limits.of(&id, Birth(1)).is_some());
/// ```
#[derive(Debug, Clone, Default)]
pub struct UpstreamLimits {
    known: Vec<Known>,
}

impl UpstreamLimits {
    /// Takes in what an answer to a request says that went out at `sent`. Returns whether other instances
    /// have to know.
    pub fn record_answer(
        &mut self,
        now: Time,
        sent: Time,
        id: &UpstreamId,
        birth: Birth,
        said: LimitHeader,
    ) -> bool {
        let known = self.place(id).ok().map(|at| self.known[at].clone());
        if known.as_ref().is_some_and(|it| it.birth > birth) {
            return false;
        }
        let known = known.filter(|it| it.birth == birth);
        let limit = match (said, &known) {
            (LimitHeader::Absent, None) => return false,
            (LimitHeader::Absent, Some(known)) if sent <= known.named => return false,
            (LimitHeader::Absent, Some(_)) => {
                self.remove(id);
                return true;
            }
            (LimitHeader::Invalid, Some(known)) => known.limit,
            (LimitHeader::Invalid, None) => UpstreamLimit::LOWEST,
            (LimitHeader::Limit(limit), Some(known))
                if sent <= known.named && limit > known.limit =>
            {
                known.limit
            }
            (LimitHeader::Limit(limit), _) => limit,
        };
        let told = known.map(|it| it.told);
        let is_news = told.is_none_or(|told| (limit.0 - told.0).abs() > told.0 * NEWS_SHARE);
        let told = if is_news { limit } else { told.unwrap_or(limit) };
        self.set(Known { id: id.clone(), birth, limit, named: now, told });
        is_news
    }

    /// Takes in what another instance tells of an upstream; `None` if its limit has ended.
    pub fn apply_update(
        &mut self,
        now: Time,
        id: &UpstreamId,
        birth: Birth,
        limit: Option<UpstreamLimit>,
    ) {
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
    pub fn of(&self, id: &UpstreamId, birth: Birth) -> Option<UpstreamLimit> {
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
