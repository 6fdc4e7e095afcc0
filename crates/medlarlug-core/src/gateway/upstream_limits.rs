//! Limits that upstreams name in their answers: the requests per second that an upstream accepts
//! from all entry instances together.
//!
//! An overloaded upstream names its limit in each answer, for as long as the limit holds. The limit
//! belongs to the incarnation that named it. Answers may arrive out of order: an answer without a
//! limit ends the limit only if its request was sent after the limit was last named, and an answer
//! to an older request can lower a limit but not raise it.
//!
//! Instances of a region notify each other of changes. [`permits`](super::permits) divides a
//! limit among them.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{gateway::upstreams::Birth, ids::UpstreamId, time::Time};

/// Lowest rate that is kept, in requests per second. An upstream that accepts none still gets this
/// many, since only its answers show that the limit has ended.
const MIN_RATE: f64 = 0.1;
/// Highest rate that is kept, in requests per second; a limit this high has no effect.
const MAX_RATE: f64 = 1e6;
/// Relative change of a limit from which on other instances are notified.
const PUBLISH_THRESHOLD: f64 = 0.1;

/// Requests per second that an upstream accepts from all entry instances together.
///
/// ```
/// use medlarlug_core::gateway::upstream_limits::UpstreamLimit;
///
/// assert_eq!("1.7".parse::<UpstreamLimit>().unwrap().to_string(), "1.7/s");
/// assert_eq!("0".parse::<UpstreamLimit>().unwrap(), UpstreamLimit::MIN);
/// assert!("few".parse::<UpstreamLimit>().is_err());
/// ```
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct UpstreamLimit(f64);

/// Returned for a rate that is not a non-negative number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("expected a non-negative number of requests per second")]
pub struct LimitError;

impl UpstreamLimit {
    /// The lowest limit, which is also used for an upstream that names an unreadable limit.
    pub const MIN: UpstreamLimit = UpstreamLimit(MIN_RATE);

    /// Requests per second.
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
            false => Ok(UpstreamLimit(rate.clamp(MIN_RATE, MAX_RATE))),
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

/// What an answer says about the upstream's limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimitHeader {
    /// The upstream names this limit.
    Limit(UpstreamLimit),
    /// The upstream names a limit that can't be parsed.
    Invalid,
    /// The upstream names no limit.
    Absent,
}

#[derive(Debug, Clone)]
struct LimitRecord {
    id: UpstreamId,
    birth: Birth,
    limit: UpstreamLimit,
    /// When an answer last named the limit.
    named_at: Time,
    /// The limit that other instances were last notified of.
    published: UpstreamLimit,
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
/// let header = LimitHeader::Limit("1.7".parse().unwrap());
/// limits.record_answer(Time::from_millis(20), Time::from_millis(10), &id, Birth(1), header);
/// assert!(limits.get(&id, Birth(1)).is_some());
/// ```
#[derive(Debug, Clone, Default)]
pub struct UpstreamLimits {
    known: Vec<LimitRecord>,
}

impl UpstreamLimits {
    /// Applies the limit named in the answer to a request that was sent at `sent`. Returns whether
    /// other instances have to be notified.
    pub fn record_answer(
        &mut self,
        now: Time,
        sent: Time,
        id: &UpstreamId,
        birth: Birth,
        header: LimitHeader,
    ) -> bool {
        let known = self.index_of(id).ok().map(|at| self.known[at].clone());
        if known.as_ref().is_some_and(|it| it.birth > birth) {
            return false;
        }
        let known = known.filter(|it| it.birth == birth);
        let limit = match (header, &known) {
            (LimitHeader::Absent, None) => return false,
            (LimitHeader::Absent, Some(known)) if sent <= known.named_at => return false,
            (LimitHeader::Absent, Some(_)) => {
                self.remove(id);
                return true;
            }
            (LimitHeader::Invalid, Some(known)) => known.limit,
            (LimitHeader::Invalid, None) => UpstreamLimit::MIN,
            (LimitHeader::Limit(limit), Some(known))
                if sent <= known.named_at && limit > known.limit =>
            {
                known.limit
            }
            (LimitHeader::Limit(limit), _) => limit,
        };
        let published = known.map(|it| it.published);
        let has_changed = published.is_none_or(|published| {
            (limit.0 - published.0).abs() > published.0 * PUBLISH_THRESHOLD
        });
        let published = if has_changed { limit } else { published.unwrap_or(limit) };
        self.set(LimitRecord { id: id.clone(), birth, limit, named_at: now, published });
        has_changed
    }

    /// Applies an update from another instance; `None` means that the limit has ended.
    pub fn apply_update(
        &mut self,
        now: Time,
        id: &UpstreamId,
        birth: Birth,
        limit: Option<UpstreamLimit>,
    ) {
        let newest = self.index_of(id).ok().map(|at| self.known[at].birth);
        if newest.is_some_and(|newest| newest > birth) {
            return;
        }
        match limit {
            Some(limit) => {
                self.set(LimitRecord {
                    id: id.clone(),
                    birth,
                    limit,
                    named_at: now,
                    published: limit,
                });
            }
            None => self.remove(id),
        }
    }

    /// The limit of an incarnation, if it has one.
    pub fn get(&self, id: &UpstreamId, birth: Birth) -> Option<UpstreamLimit> {
        let known = self.index_of(id).ok().map(|at| &self.known[at]);
        known.filter(|it| it.birth >= birth).map(|it| it.limit)
    }

    /// Whether no upstream has a limit.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Forgets an upstream that is gone.
    pub fn remove(&mut self, id: &UpstreamId) {
        if let Ok(at) = self.index_of(id) {
            self.known.remove(at);
        }
    }

    fn set(&mut self, known: LimitRecord) {
        match self.index_of(&known.id) {
            Ok(at) => self.known[at] = known,
            Err(at) => self.known.insert(at, known),
        }
    }

    fn index_of(&self, id: &UpstreamId) -> Result<usize, usize> {
        self.known.binary_search_by(|it| it.id.cmp(id))
    }
}
