//! Detects that a process has stalled, so that what it knows and reads may be out of date.
//!
//! While a process is frozen or gets no processor time, messages queue in its sockets, and it reads
//! them when it resumes. They are at most as old as the stall was long.

use std::time::Duration;

use crate::time::Time;

/// Time in which a process that resumes reads the queued messages.
const BACKLOG_READ_TIME: Duration = Duration::from_millis(500);

/// Detects stalls by the time between two ticks of a loop.
///
/// ```
/// use medlarlug_core::{gateway::stall_detector::StallDetector, time::Time};
/// use std::time::Duration;
///
/// let mut stall = StallDetector::new(Duration::from_millis(300));
/// stall.tick(Time::from_millis(1_000));
/// assert_eq!(stall.max_message_age(Time::from_millis(1_050)), Duration::ZERO);
/// assert_eq!(stall.max_message_age(Time::from_millis(3_000)), Duration::from_secs(2));
/// ```
#[derive(Debug, Clone)]
pub struct StallDetector {
    /// Longest time between two ticks that does not count as a stall.
    limit: Duration,
    last_tick: Option<Time>,
    /// Begin and end of the last stall.
    last_stall: Option<(Time, Time)>,
}

impl StallDetector {
    /// A detector that counts more than `limit` without a tick as a stall.
    pub fn new(limit: Duration) -> StallDetector {
        StallDetector { limit, last_tick: None, last_stall: None }
    }

    /// Records a tick of the loop; returns the length of the stall that it ends, if there was one.
    pub fn tick(&mut self, now: Time) -> Option<Duration> {
        let began = self.stall_began(now);
        if let Some(began) = began {
            self.last_stall = Some((began, now));
        }
        self.last_tick = Some(now);
        began.map(|began| now - began)
    }

    /// When the process last resumed; `now` if the loop has not ticked since a stall.
    pub fn last_resumed(&self, now: Time) -> Option<Time> {
        self.stall_began(now).map(|_| now).or(self.last_stall.map(|it| it.1))
    }

    /// Whether the process has just resumed and the loop has not ticked since.
    pub fn is_overdue(&self, now: Time) -> bool {
        self.stall_began(now).is_some()
    }

    /// How old a message that is read now may be.
    pub fn max_message_age(&self, now: Time) -> Duration {
        if let Some(began) = self.stall_began(now) {
            return now - began;
        }
        match self.last_stall {
            Some((began, ended)) if now - ended <= BACKLOG_READ_TIME => now - began,
            _ => Duration::ZERO,
        }
    }

    /// When the stall began that no tick has ended yet.
    fn stall_began(&self, now: Time) -> Option<Time> {
        self.last_tick.filter(|last_tick| now - *last_tick > self.limit)
    }
}
