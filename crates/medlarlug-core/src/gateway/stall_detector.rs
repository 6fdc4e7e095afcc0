//! Whether a process has stalled, so that what it knows and reads may be old.
//!
//! While a process is frozen, or gets no processor time, messages queue in its sockets; it reads
//! them at once when it resumes. They are as old as the stall was long, at most.

use std::time::Duration;

use crate::time::Time;

/// Time in which a process that resumes reads what has queued.
const READING_TIME: Duration = Duration::from_millis(500);

/// Notices stalls by the time between two turns of a loop.
///
/// ```
/// use medlarlug_core::{gateway::stall_detector::Stall, time::Time};
/// use std::time::Duration;
///
/// let mut stall = Stall::new(Duration::from_millis(300));
/// stall.turn(Time::from_millis(1_000));
/// assert_eq!(stall.age(Time::from_millis(1_050)), Duration::ZERO);
/// assert_eq!(stall.age(Time::from_millis(3_000)), Duration::from_secs(2));
/// ```
#[derive(Debug, Clone)]
pub struct Stall {
    /// Longest time between two turns that is no stall.
    limit: Duration,
    turned: Option<Time>,
    /// When the newest stall began and ended.
    newest: Option<(Time, Time)>,
}

impl Stall {
    /// Takes more than `limit` without a turn for a stall.
    pub fn new(limit: Duration) -> Stall {
        Stall { limit, turned: None, newest: None }
    }

    /// The loop has a turn; returns the length of the stall that it ends, if there was one.
    pub fn turn(&mut self, now: Time) -> Option<Duration> {
        let began = self.began(now);
        if let Some(began) = began {
            self.newest = Some((began, now));
        }
        self.turned = Some(now);
        began.map(|began| now - began)
    }

    /// When the process last resumed: now, if the loop has not had its turn since.
    pub fn resumed(&self, now: Time) -> Option<Time> {
        self.began(now).map(|_| now).or(self.newest.map(|it| it.1))
    }

    /// Whether the process has just resumed, and the loop has not had its turn since.
    pub fn is_overdue(&self, now: Time) -> bool {
        self.began(now).is_some()
    }

    /// How old what is read now may be.
    pub fn age(&self, now: Time) -> Duration {
        if let Some(began) = self.began(now) {
            return now - began;
        }
        match self.newest {
            Some((began, ended)) if now - ended <= READING_TIME => now - began,
            _ => Duration::ZERO,
        }
    }

    /// When the stall began that no turn has ended yet.
    fn began(&self, now: Time) -> Option<Time> {
        self.turned.filter(|turned| now - *turned > self.limit)
    }
}
