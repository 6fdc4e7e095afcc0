//! What upstreams say in their answers about whether they accept requests: that they are leaving,
//! or that they want no requests for some time (a backoff).
//!
//! A statement holds for the upstream's incarnation, not for its id or address. Leaving is final:
//! no later announcement or answer of the same incarnation takes it back. A backoff ends when its
//! time is up or with a younger incarnation, not by an answer to a request that was sent before it;
//! a longer backoff replaces a shorter one. Nothing is sent to an upstream during its backoff, not
//! even a probe: the upstream has said when it accepts requests again, and a refused request costs
//! its caller a round trip.

use std::{fmt, str::FromStr, time::Duration};

use thiserror::Error;

use crate::{gateway::upstreams::Birth, ids::UpstreamId, time::Time};

/// Longest backoff that is granted. An upstream that asks for more gets a request after a day.
const MAX_BACKOFF: Duration = Duration::from_secs(24 * 3_600);
/// Share of a backoff over which instances spread their return to an upstream, so that they don't
/// return together.
const JITTER_SHARE: f64 = 0.2;
/// Upper bound of that spread.
const MAX_JITTER: Duration = Duration::from_secs(1);
/// Time for which it is remembered that an incarnation was leaving; the upstream is gone long
/// before.
const LEAVING_RETENTION: Duration = Duration::from_secs(24 * 3_600);

/// Time for which an upstream wants no requests, at most 24 hours.
///
/// ```
/// use medlarlug_core::gateway::availability::Backoff;
///
/// assert_eq!("1.5".parse::<Backoff>().unwrap().to_string(), "1.5s");
/// assert_eq!("1e12".parse::<Backoff>().unwrap().to_string(), "86400s");
/// assert!("-1".parse::<Backoff>().is_err());
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Backoff(Duration);

/// Returned for a text that is not a non-negative number of seconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("expected a non-negative number of seconds")]
pub struct BackoffError;

impl FromStr for Backoff {
    type Err = BackoffError;

    fn from_str(text: &str) -> Result<Backoff, BackoffError> {
        let seconds: f64 = text.trim().parse().map_err(|_| BackoffError)?;
        match seconds {
            seconds if seconds.is_nan() || seconds < 0.0 => Err(BackoffError),
            seconds if seconds >= MAX_BACKOFF.as_secs_f64() => Ok(Backoff(MAX_BACKOFF)),
            seconds => Ok(Backoff(Duration::from_secs_f64(seconds))),
        }
    }
}

impl fmt::Display for Backoff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}s", self.0.as_secs_f64())
    }
}

impl Backoff {
    /// When a backoff that was requested at `now` ends. `jitter` lies between 0 and 1 and differs
    /// between instances.
    fn end(self, now: Time, jitter: f64) -> Time {
        now + self.0 + self.0.mul_f64(JITTER_SHARE).min(MAX_JITTER).mul_f64(jitter)
    }
}

/// Whether an upstream accepts requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Availability {
    /// It has not said otherwise.
    Available,
    /// It wants no requests for some time.
    BackingOff {
        /// Time until this instance sends requests again.
        remaining: Duration,
    },
    /// It wants no requests any more.
    Leaving,
}

/// The state of one incarnation, as this instance received it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    BackingOff { until: Time },
    Leaving { since: Time },
}

impl State {
    /// The state after another backoff until `until`.
    fn extend_backoff(self, until: Time) -> State {
        match self {
            State::BackingOff { until: before } => State::BackingOff { until: until.max(before) },
            State::Leaving { .. } => self,
        }
    }

    fn is_expired(self, now: Time) -> bool {
        match self {
            State::BackingOff { until } => until <= now,
            State::Leaving { since } => now - since > LEAVING_RETENTION,
        }
    }
}

#[derive(Debug, Clone)]
struct UpstreamRecord {
    id: UpstreamId,
    birth: Birth,
    state: State,
}

/// What upstreams have said to this instance, sorted by id.
///
/// ```
/// use medlarlug_core::{
///     gateway::{availability::{AvailabilityTracker, Availability}, upstreams::Birth},
///     time::Time,
/// };
///
/// let (mut tracker, id) = (AvailabilityTracker::default(), "engine-1".parse().unwrap());
/// tracker.record_leaving(Time::ZERO, &id, Birth(1));
/// assert_eq!(tracker.get(Time::ZERO, &id, Birth(1)), Availability::Leaving);
/// assert_eq!(tracker.get(Time::ZERO, &id, Birth(2)), Availability::Available);
/// ```
#[derive(Debug, Clone, Default)]
pub struct AvailabilityTracker {
    records: Vec<UpstreamRecord>,
}

impl AvailabilityTracker {
    /// Records that an incarnation asked for a backoff. Returns the time until its end if that is
    /// later than before.
    pub fn record_backoff(
        &mut self,
        now: Time,
        id: &UpstreamId,
        birth: Birth,
        backoff: Backoff,
        jitter: f64,
    ) -> Option<Duration> {
        let until = backoff.end(now, jitter);
        let before = self.get(now, id, birth);
        self.record(now, id, birth, State::BackingOff { until }, |state| {
            state.extend_backoff(until)
        });
        match (before, self.get(now, id, birth)) {
            (
                Availability::BackingOff { remaining: before },
                Availability::BackingOff { remaining },
            ) => (remaining > before).then_some(remaining),
            (_, Availability::BackingOff { remaining }) => Some(remaining),
            _ => None,
        }
    }

    /// Records that an incarnation is leaving. Returns whether that was not known before.
    pub fn record_leaving(&mut self, now: Time, id: &UpstreamId, birth: Birth) -> bool {
        let before = self.get(now, id, birth);
        let leaving = State::Leaving { since: now };
        self.record(now, id, birth, leaving, |_| leaving);
        before != Availability::Leaving
    }

    /// Whether an incarnation accepts requests.
    pub fn get(&self, now: Time, id: &UpstreamId, birth: Birth) -> Availability {
        let record = self.index_of(id).ok().map(|at| &self.records[at]);
        match record.filter(|it| it.birth >= birth && !it.state.is_expired(now)) {
            None => Availability::Available,
            Some(UpstreamRecord { state: State::Leaving { .. }, .. }) => Availability::Leaving,
            Some(UpstreamRecord { state: State::BackingOff { until }, .. }) => {
                Availability::BackingOff { remaining: *until - now }
            }
        }
    }

    /// Stores the state of an incarnation: `first`, or `next` of its previous state if there is
    /// one. A late statement of an older incarnation is ignored.
    fn record(
        &mut self,
        now: Time,
        id: &UpstreamId,
        birth: Birth,
        first: State,
        next: impl FnOnce(State) -> State,
    ) {
        self.records.retain(|it| !it.state.is_expired(now));
        match self.index_of(id) {
            Ok(at) if self.records[at].birth > birth => {}
            Ok(at) if self.records[at].birth == birth => {
                self.records[at].state = next(self.records[at].state);
            }
            Ok(at) => self.records[at] = UpstreamRecord { id: id.clone(), birth, state: first },
            Err(at) => {
                self.records.insert(at, UpstreamRecord { id: id.clone(), birth, state: first })
            }
        }
    }

    fn index_of(&self, id: &UpstreamId) -> Result<usize, usize> {
        self.records.binary_search_by(|it| it.id.cmp(id))
    }
}
