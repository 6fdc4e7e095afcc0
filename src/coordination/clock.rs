//! The process's clocks: monotonic time for the cores, wall-clock time for incarnations only.
//!
//! The monotonic clock counts the time for which the machine is suspended, so that a lease or the
//! age of news never outlives a suspension.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use medlarlug_core::{ids::Incarnation, time::Time};
use rustix::time::{ClockId, clock_gettime};

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
    /// Boot time of the start.
    start: Duration,
    /// Reading at the start.
    first: Time,
}

impl Clock {
    /// A clock whose origin is now.
    pub fn start() -> Clock {
        Clock::start_with_offset(Duration::ZERO)
    }

    /// A clock that was started `past` ago, so that it can tell when something was that is up to
    /// `past` older than the process.
    ///
    /// ```
    /// use medlarlug::coordination::clock::Clock;
    /// use medlarlug_core::time::Time;
    /// use std::time::Duration;
    ///
    /// let age = Duration::from_secs(40);
    /// let clock = Clock::start_with_offset(Duration::from_secs(60));
    /// let now = clock.now();
    /// assert_eq!(now - now.saturating_sub(age), age);
    /// ```
    pub fn start_with_offset(past: Duration) -> Clock {
        Clock { start: time_since_boot(), first: Time::ZERO + past }
    }

    /// The current reading.
    pub fn now(&self) -> Time {
        self.first + time_since_boot().saturating_sub(self.start)
    }
}

/// Time since the machine was started, suspension included.
fn time_since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    Duration::new(seconds, u32::try_from(time.tv_nsec).unwrap_or_default())
}

/// An incarnation for a process without a disk: the wall-clock time of its start.
///
/// Milliseconds since 1970 rise from one start to the next unless the clock was set back, in
/// which case peers ignore the process until its incarnation passes the former one.
pub fn incarnation_from_wall_clock() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Incarnation(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}
