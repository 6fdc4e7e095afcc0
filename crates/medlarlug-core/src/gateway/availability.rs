//! What upstreams say in their answers about whether they want requests: that they are leaving, or
//! that they want none for some time.
//!
//! What an upstream says holds for its incarnation, not for its id or address. Leaving is final: no
//! later announcement or answer of the same incarnation takes it back. A rest is ended by its time or by
//! a younger incarnation, not by answers to requests that went out before it; a longer one replaces a
//! shorter one. Nothing is sent to an upstream that rests, not even to see whether it is back sooner: it
//! has said when it is, and a request that it turns away costs its caller the way there.

use std::{fmt, str::FromStr, time::Duration};

use thiserror::Error;

use crate::{gateway::upstreams::Birth, ids::UpstreamId, time::Time};

/// Longest rest that is granted; who asks for more is asked again after a day.
const LONGEST_REST: Duration = Duration::from_secs(24 * 3_600);
/// Part of its rest by which instances return to an upstream at different times, so that they don't return
/// together.
const SPREAD_SHARE: f64 = 0.2;
/// Longest time by which they do.
const LONGEST_SPREAD: Duration = Duration::from_secs(1);
/// Time for which it is remembered that an incarnation was leaving; it is gone long before.
const LEAVING_KEPT: Duration = Duration::from_secs(24 * 3_600);

/// Time for which an upstream wants no requests, at most [a day](LONGEST_REST).
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

/// A text that holds no time to rest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("not a number of seconds from zero on")]
pub struct BackoffError;

impl FromStr for Backoff {
    type Err = BackoffError;

    fn from_str(text: &str) -> Result<Backoff, BackoffError> {
        let seconds: f64 = text.trim().parse().map_err(|_| BackoffError)?;
        match seconds {
            seconds if seconds.is_nan() || seconds < 0.0 => Err(BackoffError),
            seconds if seconds >= LONGEST_REST.as_secs_f64() => Ok(Backoff(LONGEST_REST)),
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
    /// When the rest ends that was asked for at `now`; `spread` lies between 0 and 1 and differs from
    /// instance to instance.
    fn end(self, now: Time, spread: f64) -> Time {
        now + self.0 + self.0.mul_f64(SPREAD_SHARE).min(LONGEST_SPREAD).mul_f64(spread)
    }
}

/// Whether an upstream wants requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Availability {
    /// It has said nothing else.
    Available,
    /// It wants none for some time.
    BackingOff {
        /// Time until this instance sends requests again.
        remaining: Duration,
    },
    /// It wants none any more.
    Leaving,
}

/// The state of one incarnation, as it has told this instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    BackingOff { until: Time },
    Leaving { since: Time },
}

impl State {
    /// The same after the upstream has asked for a rest.
    fn rests(self, until: Time) -> State {
        match self {
            State::BackingOff { until: before } => State::BackingOff { until: until.max(before) },
            State::Leaving { .. } => self,
        }
    }

    fn has_ended(self, now: Time) -> bool {
        match self {
            State::BackingOff { until } => until <= now,
            State::Leaving { since } => now - since > LEAVING_KEPT,
        }
    }
}

#[derive(Debug, Clone)]
struct Told {
    id: UpstreamId,
    birth: Birth,
    state: State,
}

/// What upstreams have told this instance, sorted by id.
///
/// ```
/// use medlarlug_core::{
///     gateway::{availability::{AvailabilityTracker, Availability}, upstreams::Birth},
///     time::Time,
/// };
///
/// let (mut told, id) = (AvailabilityTracker::default(), "engine-1".parse().unwrap());
/// told.record_leaving(Time::ZERO, &id, Birth(1));
/// assert_eq!(told.of(Time::ZERO, &id, Birth(1)), Availability::Leaving);
/// assert_eq!(told.of(Time::ZERO, &id, Birth(2)), Availability::Available);
/// ```
#[derive(Debug, Clone, Default)]
pub struct AvailabilityTracker {
    told: Vec<Told>,
}

impl AvailabilityTracker {
    /// An incarnation has asked for a rest; returns for how long it gets one, if that is news.
    pub fn record_backoff(
        &mut self,
        now: Time,
        id: &UpstreamId,
        birth: Birth,
        rest: Backoff,
        spread: f64,
    ) -> Option<Duration> {
        let until = rest.end(now, spread);
        let before = self.of(now, id, birth);
        self.tell(now, id, birth, State::BackingOff { until }, |state| state.rests(until));
        match (before, self.of(now, id, birth)) {
            (
                Availability::BackingOff { remaining: before },
                Availability::BackingOff { remaining: left },
            ) => (left > before).then_some(left),
            (_, Availability::BackingOff { remaining: left }) => Some(left),
            _ => None,
        }
    }

    /// An incarnation has said that it is leaving; returns whether that is news.
    pub fn record_leaving(&mut self, now: Time, id: &UpstreamId, birth: Birth) -> bool {
        let before = self.of(now, id, birth);
        let leaving = State::Leaving { since: now };
        self.tell(now, id, birth, leaving, |_| leaving);
        before != Availability::Leaving
    }

    /// Whether an incarnation wants requests.
    pub fn of(&self, now: Time, id: &UpstreamId, birth: Birth) -> Availability {
        let told = self.place(id).ok().map(|at| &self.told[at]);
        match told.filter(|it| it.birth >= birth && !it.state.has_ended(now)) {
            None => Availability::Available,
            Some(Told { state: State::Leaving { .. }, .. }) => Availability::Leaving,
            Some(Told { state: State::BackingOff { until }, .. }) => {
                Availability::BackingOff { remaining: *until - now }
            }
        }
    }

    /// Notes what an incarnation has said: `first`, or `next` after what it said before. What an
    /// older incarnation says late is void.
    fn tell(
        &mut self,
        now: Time,
        id: &UpstreamId,
        birth: Birth,
        first: State,
        next: impl FnOnce(State) -> State,
    ) {
        self.told.retain(|it| !it.state.has_ended(now));
        match self.place(id) {
            Ok(at) if self.told[at].birth > birth => {}
            Ok(at) if self.told[at].birth == birth => {
                self.told[at].state = next(self.told[at].state);
            }
            Ok(at) => self.told[at] = Told { id: id.clone(), birth, state: first },
            Err(at) => self.told.insert(at, Told { id: id.clone(), birth, state: first }),
        }
    }

    fn place(&self, id: &UpstreamId) -> Result<usize, usize> {
        self.told.binary_search_by(|it| it.id.cmp(id))
    }
}
