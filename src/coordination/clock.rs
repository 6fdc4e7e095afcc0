//! The clocks of the process: monotonic time for the cores, wall-clock time for incarnations only.
//!
//! The monotonic clock keeps counting while the machine is suspended, so that no lease and no update
//! is taken to be younger than it is after a suspension.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use medlarlug_core::{ids::Incarnation, time::Time};
use rustix::time::{ClockId, clock_gettime};

/// The monotonic clock that the cores use.
///
/// ```
/// use medlarlug::coordination::clock::Clock;
///
/// let clock = Clock::start();
/// assert!(clock.now() <= clock.now());
/// ```
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    /// Time since boot when the clock was started.
    start: Duration,
    /// Reading when the clock was started.
    offset: Time,
}

impl Clock {
    /// Starts a clock whose reading is zero now.
    pub fn start() -> Clock {
        Clock::start_with_offset(Duration::ZERO)
    }

    /// Starts a clock whose reading is `offset` now, so that it can represent the time of events that
    /// took place up to `offset` before the start of the process.
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
    pub fn start_with_offset(offset: Duration) -> Clock {
        Clock { start: time_since_boot(), offset: Time::ZERO + offset }
    }

    /// The current reading; never lower than an earlier one.
    pub fn now(&self) -> Time {
        self.offset + time_since_boot().saturating_sub(self.start)
    }
}

/// Time since the machine was booted, including suspension.
fn time_since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    Duration::new(seconds, u32::try_from(time.tv_nsec).unwrap_or_default())
}

/// The incarnation of a process that starts now: the wall-clock time in milliseconds since 1970, which
/// doesn't need a disk to count the starts on.
///
/// It increases with each start unless the clock was set back. In that case peers ignore the process
/// until it is started with a higher incarnation than its former one.
pub fn incarnation_from_wall_clock() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Incarnation(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}
