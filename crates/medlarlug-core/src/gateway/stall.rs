//! Whether a process has stood still, so that what it reads may be old.
//!
//! What arrives while a process is frozen, or has no turn, waits in its sockets and is read at once
//! when it goes on. It is as old as the time for which the process stood still, at most.

use std::time::Duration;

use crate::time::Time;

/// Shortest time without a turn that counts: as long as an announcement may be on its way.
const SHORTEST: Duration = Duration::from_millis(300);
/// Time in which a process that goes on reads what has waited.
const READING_TIME: Duration = Duration::from_millis(500);

/// Notices that a process has stood still.
///
/// ```
/// use medlarlug_core::{gateway::stall::Stall, time::Time};
/// use std::time::Duration;
///
/// let mut stall = Stall::default();
/// stall.turn(Time::from_millis(1_000));
/// assert_eq!(stall.age(Time::from_millis(1_050)), Duration::ZERO);
/// assert_eq!(stall.age(Time::from_millis(3_000)), Duration::from_secs(2));
/// ```
#[derive(Debug, Clone, Default)]
pub struct Stall {
    turned: Option<Time>,
    /// Where the newest standstill began and ended.
    newest: Option<(Time, Time)>,
}

impl Stall {
    /// The process has a turn; returns for how long it has stood still, if it has. Has to be called
    /// more often than every [`SHORTEST`].
    pub fn turn(&mut self, now: Time) -> Option<Duration> {
        let began = self.turned.filter(|turned| now - *turned > SHORTEST);
        if let Some(began) = began {
            self.newest = Some((began, now));
        }
        self.turned = Some(now);
        began.map(|began| now - began)
    }

    /// How old what is read now may be.
    pub fn age(&self, now: Time) -> Duration {
        if let Some(turned) = self.turned.filter(|turned| now - *turned > SHORTEST) {
            return now - turned;
        }
        match self.newest {
            Some((began, ended)) if now - ended <= READING_TIME => now - began,
            _ => Duration::ZERO,
        }
    }
}
