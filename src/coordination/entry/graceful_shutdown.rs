//! Intake of requests, and its graceful end.
//!
//! Counts the requests in flight in the typestate of [`medlarlug_core::drain`]. Every request is
//! admitted once and released once. After the first signal none is admitted; those in flight go on
//! until the drain deadline, when [`Intake::wait_cut`] tells them to end with an explicit error.

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

/// The requests in flight of an entry instance.
pub struct Intake {
    phase: RefCell<Phase>,
    cut: watch::Sender<bool>,
}

impl Default for Intake {
    fn default() -> Intake {
        Intake { phase: RefCell::default(), cut: watch::Sender::new(false) }
    }
}

impl Intake {
    /// Counts a request in.
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

    /// Counts a request out that has ended.
    pub fn release(&self) {
        match &mut *self.phase.borrow_mut() {
            Phase::Serving(drain) => drain.release(),
            Phase::Draining(drain) => drain.release(),
            Phase::Stopped(_) => {}
        }
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> u32 {
        match &*self.phase.borrow() {
            Phase::Serving(drain) => drain.in_flight(),
            Phase::Draining(drain) => drain.in_flight(),
            Phase::Stopped(drain) => drain.in_flight(),
        }
    }

    /// Whether the drain has begun.
    pub fn is_leaving(&self) -> bool {
        !matches!(*self.phase.borrow(), Phase::Serving(_))
    }

    /// Begins to drain; requests in flight have `limit` to end.
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

    /// Tells the requests in flight to end with an explicit error.
    pub fn cut(&self) {
        self.cut.send_replace(true);
    }

    /// Waits until the requests in flight have to end.
    pub async fn wait_cut(&self) {
        let mut cut = self.cut.subscribe();
        if cut.wait_for(|cut| *cut).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Ends the drain; tells how many requests had not ended.
    pub fn stop(&self) -> u32 {
        let mut phase = self.phase.borrow_mut();
        *phase = match mem::take(&mut *phase) {
            Phase::Draining(drain) => Phase::Stopped(drain.finish()),
            phase => phase,
        };
        match &*phase {
            Phase::Stopped(drain) => drain.cut(),
            Phase::Serving(_) | Phase::Draining(_) => 0,
        }
    }
}
