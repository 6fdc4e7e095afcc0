//! A token bucket on a monotonic clock.

use crate::{time::Time, units::Rate};

/// Limits how often something may be done.
///
/// ```
/// use medlarlug_core::{orders::TokenBucket, time::Time};
///
/// let mut bucket = TokenBucket::empty(Time::ZERO, "2/s".parse().unwrap(), 1);
/// assert!(!bucket.take(Time::from_millis(499)));
/// assert!(bucket.take(Time::from_millis(500)));
/// assert!(!bucket.take(Time::from_millis(500)));
/// ```
#[derive(Debug, Clone)]
pub struct TokenBucket {
    rate: Rate,
    capacity: f64,
    level: f64,
    read: Time,
}

impl TokenBucket {
    /// A bucket without a token that gains `rate` tokens a second, up to `capacity`.
    pub fn empty(now: Time, rate: Rate, capacity: u32) -> TokenBucket {
        TokenBucket { rate, capacity: f64::from(capacity), level: 0.0, read: now }
    }

    /// Takes one token, if there is one.
    pub fn take(&mut self, now: Time) -> bool {
        let gained = (now - self.read).as_secs_f64() * self.rate.get();
        self.level = (self.level + gained).min(self.capacity);
        self.read = self.read.max(now);
        if self.level < 1.0 {
            return false;
        }
        self.level -= 1.0;
        true
    }
}
