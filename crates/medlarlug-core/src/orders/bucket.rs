//! A token bucket on a monotonic clock.

use crate::{time::Time, units::Rate};

/// Limits the rate of an operation.
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
    tokens: f64,
    updated_at: Time,
}

impl TokenBucket {
    /// Creates an empty bucket that gains `rate` tokens per second, up to `capacity`.
    pub fn empty(now: Time, rate: Rate, capacity: u32) -> TokenBucket {
        TokenBucket { rate, capacity: f64::from(capacity), tokens: 0.0, updated_at: now }
    }

    /// Takes one token; returns false if there is none.
    pub fn take(&mut self, now: Time) -> bool {
        let added = (now - self.updated_at).as_secs_f64() * self.rate.get();
        self.tokens = (self.tokens + added).min(self.capacity);
        self.updated_at = self.updated_at.max(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
