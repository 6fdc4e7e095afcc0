//! Graceful shutdown as a typestate.
//!
//! ```text
//! Drain<Serving> --begin--> Drain<Draining> --finish--> Drain<Stopped>
//! ```
//!
//! The first SIGTERM calls [`Drain::begin`]: the instance leaves the directory, hands its speaker
//! and leader roles over and refuses new requests as `leaving` (outcome `not_run`), while the
//! requests in flight go on. It stops once none is left, or at the deadline; [`Drain::cut`] then
//! tells how many requests had not ended. A second signal ends the process and needs no state.

use std::time::Duration;

use crate::{
    refusal::{Reason, Refusal},
    time::Time,
};

/// Time to come back that a leaving instance names; the directory lists others at once.
const LEAVING_WAIT: Duration = Duration::from_secs(1);

/// The instance takes new requests.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Serving;

/// The instance ends the requests in flight.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Draining {
    deadline: Time,
}

/// The instance has ended its work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stopped {
    cut: u32,
}

/// Why the instance may stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopCause {
    /// No request is in flight.
    Empty,
    /// The deadline has passed.
    Deadline,
}

/// The life of an instance's intake, with the number of requests in flight.
///
/// ```
/// use medlarlug_core::{drain::{Drain, StopCause}, time::Time};
/// use std::time::Duration;
///
/// let mut serving = Drain::default();
/// serving.admit();
/// let mut draining = serving.begin(Time::ZERO, Duration::from_secs(30));
/// assert_eq!(draining.stop_cause(Time::from_millis(1)), None);
/// draining.release();
/// assert_eq!(draining.stop_cause(Time::from_millis(2)), Some(StopCause::Empty));
/// assert_eq!(draining.finish().aborted(), 0);
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Drain<S> {
    flying: u32,
    state: S,
}

impl<S> Drain<S> {
    /// Requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.flying
    }
}

impl Drain<Serving> {
    /// Counts a new request in.
    pub fn admit(&mut self) {
        self.flying += 1;
    }

    /// Counts a request out that has ended.
    pub fn release(&mut self) {
        self.flying = self.flying.saturating_sub(1);
    }

    /// Begins to drain; requests in flight have `limit` to end.
    pub fn begin(self, now: Time, limit: Duration) -> Drain<Draining> {
        let state = Draining { deadline: now + limit };
        Drain { flying: self.flying, state }
    }
}

impl Drain<Draining> {
    /// The answer to a new request.
    pub fn refusal(&self) -> Refusal {
        Refusal::new(Reason::Leaving, LEAVING_WAIT)
    }

    /// Counts a request out that has ended.
    pub fn release(&mut self) {
        self.flying = self.flying.saturating_sub(1);
    }

    /// Why the instance may stop now, or `None` if it has to wait.
    pub fn stop_cause(&self, now: Time) -> Option<StopCause> {
        if self.flying == 0 {
            return Some(StopCause::Empty);
        }
        (now >= self.state.deadline).then_some(StopCause::Deadline)
    }

    /// Stops; requests still in flight are cut.
    pub fn finish(self) -> Drain<Stopped> {
        Drain { flying: 0, state: Stopped { cut: self.flying } }
    }
}

impl Drain<Stopped> {
    /// The answer to a new request.
    pub fn refusal(&self) -> Refusal {
        Refusal::new(Reason::Leaving, LEAVING_WAIT)
    }

    /// Requests that had not ended at the stop.
    pub fn aborted(&self) -> u32 {
        self.state.cut
    }
}
