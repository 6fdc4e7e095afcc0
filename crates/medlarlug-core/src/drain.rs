//! Graceful shutdown as a typestate.
//!
//! ```text
//! Drain<Serving> --begin--> Drain<Draining> --finish--> Drain<Stopped>
//! ```
//!
//! The first SIGTERM calls [`Drain::begin`]: the instance leaves the directory, transfers its
//! speaker and leader roles and refuses new requests as `leaving` (outcome `not_run`), while the
//! requests in flight continue. It stops once none is left, or at the deadline; [`Drain::aborted`] is then
//! the number of requests that had not ended. A second signal ends the process at once and needs no state.

use std::time::Duration;

use crate::{
    refusal::{Reason, Refusal},
    time::Time,
};

/// Retry delay while draining. It is short because the directory lists other instances at once.
const LEAVING_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The instance accepts new requests.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Serving;

/// The instance refuses new requests and waits for those in flight.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Draining {
    deadline: Time,
}

/// The instance has stopped; requests that were still in flight are aborted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stopped {
    aborted: u32,
}

/// Why the instance may stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopCause {
    /// No request is in flight.
    Empty,
    /// The deadline has passed.
    Deadline,
}

/// The shutdown state of an instance, with the number of requests in flight.
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
    in_flight: u32,
    state: S,
}

impl<S> Drain<S> {
    /// Number of requests in flight; 0 after the stop.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }
}

impl Drain<Serving> {
    /// Counts a new request as in flight.
    pub fn admit(&mut self) {
        self.in_flight += 1;
    }

    /// Counts a request as ended.
    pub fn release(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Starts draining; requests in flight have `limit` to end.
    pub fn begin(self, now: Time, limit: Duration) -> Drain<Draining> {
        let state = Draining { deadline: now + limit };
        Drain { in_flight: self.in_flight, state }
    }
}

impl Drain<Draining> {
    /// The refusal of a new request.
    pub fn refusal(&self) -> Refusal {
        Refusal::new(Reason::Leaving, LEAVING_RETRY_AFTER)
    }

    /// Counts a request as ended.
    pub fn release(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Why the instance may stop now; `None` if it has to wait.
    pub fn stop_cause(&self, now: Time) -> Option<StopCause> {
        if self.in_flight == 0 {
            return Some(StopCause::Empty);
        }
        (now >= self.state.deadline).then_some(StopCause::Deadline)
    }

    /// Stops; requests still in flight count as aborted.
    pub fn finish(self) -> Drain<Stopped> {
        Drain { in_flight: 0, state: Stopped { aborted: self.in_flight } }
    }
}

impl Drain<Stopped> {
    /// The refusal of a new request.
    pub fn refusal(&self) -> Refusal {
        Refusal::new(Reason::Leaving, LEAVING_RETRY_AFTER)
    }

    /// Number of requests that had not ended at the stop.
    pub fn aborted(&self) -> u32 {
        self.state.aborted
    }
}
