//! The process's clocks: monotonic time for the cores, wall-clock time for incarnations only.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use medlarlug_core::{ids::Incarnation, time::Time};

/// Reads the monotonic clock as cores see it.
///
/// ```
/// use medlarlug::coordination::clock::Clock;
///
/// let clock = Clock::start();
/// assert!(clock.now() <= clock.now());
/// ```
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// A clock whose origin is now.
    pub fn start() -> Clock {
        Clock { origin: Instant::now() }
    }

    /// The current reading.
    pub fn now(&self) -> Time {
        Time::ZERO + self.origin.elapsed()
    }
}

/// An incarnation for a process without a disk: the wall-clock time of its start.
///
/// Milliseconds since 1970 rise from one start to the next unless the clock was set back, in
/// which case peers ignore the process until its incarnation passes the former one.
pub fn incarnation_of_start() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Incarnation(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}
