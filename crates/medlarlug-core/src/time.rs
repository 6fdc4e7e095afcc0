//! Monotonic time for the cores.
//!
//! A [`Time`] is a reading of one process's monotonic clock. It is never sent to another process:
//! messages carry the *age* of their content as a [`Duration`], and the receiver subtracts it
//! from its own clock reading.

use std::{
    fmt,
    ops::{Add, Sub},
    time::Duration,
};

/// A reading of a monotonic clock, in microseconds since the process's own origin.
///
/// ```
/// use medlarlug_core::time::Time;
/// use std::time::Duration;
///
/// let start = Time::ZERO;
/// let later = start + Duration::from_millis(5);
/// assert_eq!(later - start, Duration::from_millis(5));
/// assert_eq!(start - later, Duration::ZERO);
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(u64);

impl Time {
    /// The origin of the clock, which the embedding process chooses.
    pub const ZERO: Time = Time(0);

    /// The reading `micros` microseconds after the origin.
    pub fn from_micros(micros: u64) -> Time {
        Time(micros)
    }

    /// The reading `millis` milliseconds after the origin.
    pub fn from_millis(millis: u64) -> Time {
        Time(millis * 1_000)
    }

    /// Microseconds since the origin.
    pub fn as_micros(self) -> u64 {
        self.0
    }

    /// The time `age` before this one, or the origin if that is later.
    pub fn saturating_sub(self, age: Duration) -> Time {
        Time(self.0.saturating_sub(micros(age)))
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

impl Add<Duration> for Time {
    type Output = Time;

    fn add(self, duration: Duration) -> Time {
        Time(self.0.saturating_add(micros(duration)))
    }
}

impl Sub for Time {
    type Output = Duration;

    fn sub(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}s", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}
