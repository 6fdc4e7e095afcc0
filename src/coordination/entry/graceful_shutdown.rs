//! Counting of in-flight requests, and their graceful shutdown.
//!
//! The count is kept in the typestate of [`medlarlug_core::drain`]. Every request is admitted once
//! and released once. After the first signal no request is admitted; those in flight continue until
//! the drain deadline, when [`Intake::wait_for_abort`] returns and they end with an explicit error.

use std::{cell::RefCell, mem, time::Duration};

use medlarlug_core::{
    drain::{Drain, Draining, Serving, Stopped},
    refusal::Refusal,
    time::Time,
};
use tokio::sync::watch;

enum Phase {
    Serving(Drain<Serving>),
    Draining(Drain<Draining>),
    Stopped(Drain<Stopped>),
}

impl Default for Phase {
    fn default() -> Phase {
        Phase::Serving(Drain::default())
    }
}

/// Counter of the in-flight requests of an entry instance, and its shutdown state.
pub struct Intake {
    phase: RefCell<Phase>,
    abort: watch::Sender<bool>,
}

impl Default for Intake {
    fn default() -> Intake {
        Intake { phase: RefCell::default(), abort: watch::Sender::new(false) }
    }
}

impl Intake {
    /// Adds a request to those in flight.
    ///
    /// # Errors
    ///
    /// Fails with the refusal `leaving` once the drain has begun.
    pub fn admit(&self) -> Result<(), Refusal> {
        match &mut *self.phase.borrow_mut() {
            Phase::Serving(drain) => {
                drain.admit();
                Ok(())
            }
            Phase::Draining(drain) => Err(drain.refusal()),
            Phase::Stopped(drain) => Err(drain.refusal()),
        }
    }

    /// Removes a request that has ended from those in flight.
    pub fn release(&self) {
        match &mut *self.phase.borrow_mut() {
            Phase::Serving(drain) => drain.release(),
            Phase::Draining(drain) => drain.release(),
            Phase::Stopped(_) => {}
        }
    }

    /// Number of in-flight requests.
    pub fn in_flight(&self) -> u32 {
        match &*self.phase.borrow() {
            Phase::Serving(drain) => drain.in_flight(),
            Phase::Draining(drain) => drain.in_flight(),
            Phase::Stopped(drain) => drain.in_flight(),
        }
    }

    /// Whether the drain has begun; stays true once the instance has stopped.
    pub fn is_leaving(&self) -> bool {
        !matches!(*self.phase.borrow(), Phase::Serving(_))
    }

    /// Begins the drain; in-flight requests have `limit` to end. Later calls have no effect.
    pub fn begin_drain(&self, now: Time, limit: Duration) {
        let mut phase = self.phase.borrow_mut();
        *phase = match mem::take(&mut *phase) {
            Phase::Serving(drain) => Phase::Draining(drain.begin(now, limit)),
            phase => phase,
        };
    }

    /// Whether the drain may end: no request is in flight, or the deadline has passed.
    pub fn may_stop(&self, now: Time) -> bool {
        match &*self.phase.borrow() {
            Phase::Serving(_) => false,
            Phase::Draining(drain) => drain.stop_cause(now).is_some(),
            Phase::Stopped(_) => true,
        }
    }

    /// Signals the in-flight requests to end with an explicit error.
    pub fn abort_requests(&self) {
        self.abort.send_replace(true);
    }

    /// Waits until in-flight requests have to end with an explicit error.
    pub async fn wait_for_abort(&self) {
        let mut abort = self.abort.subscribe();
        if abort.wait_for(|abort| *abort).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Ends the drain; returns the number of requests that had not ended.
    pub fn stop(&self) -> u32 {
        let mut phase = self.phase.borrow_mut();
        *phase = match mem::take(&mut *phase) {
            Phase::Draining(drain) => Phase::Stopped(drain.finish()),
            phase => phase,
        };
        match &*phase {
            Phase::Stopped(drain) => drain.aborted(),
            Phase::Serving(_) | Phase::Draining(_) => 0,
        }
    }
}
