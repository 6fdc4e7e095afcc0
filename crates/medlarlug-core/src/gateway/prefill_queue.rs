//! Turns of long prompts at model engines.
//!
//! An engine takes one part of a prompt into each of its steps, and a step with such a part takes
//! some twenty times as long as one without. While a queue of prompts is read without a break, all
//! streams of the engine crawl, and end after their deadline. So long prompts go to an engine one
//! after the other, and wait for their turn at the entry instances.
//!
//! A call that has waited for a good part of its latency objective is refused: its engines are
//! overloaded, and sending it all the same would make the streams late that run there. Calls of the
//! most urgent rank go all the same, since engines read them first.
//!
//! What calls have waited lately is what the next one expects; it makes other regions attractive
//! and keeps them from sending more.

use std::time::Duration;

use crate::time::Time;

/// What a call does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Turn {
    /// It goes to its engine.
    Go,
    /// It waits.
    Wait,
    /// It is refused.
    Refuse,
}

/// Part of its latency objective that a call waits at most: the rest is for reading its prompt.
const WAIT_SHARE: f64 = 0.6;
/// The same for calls of rank 0, which are not refused.
const URGENT_WAIT_SHARE: f64 = 0.35;
/// Weight of the newest call in the expected wait.
const SMOOTHING: f64 = 0.3;
/// Time in which the expected wait falls to a third if no call waits.
const MEMORY: Duration = Duration::from_secs(1);

/// Decides about a call that has waited for `waited`; `is_free` tells whether its engine would take
/// a long prompt now.
///
/// ```
/// use std::time::Duration;
/// use medlarlug_core::gateway::prefill_queue::{Turn, turn};
///
/// let objective = Duration::from_secs(1);
/// assert_eq!(turn(true, Duration::ZERO, objective, 1), Turn::Go);
/// assert_eq!(turn(false, Duration::ZERO, objective, 1), Turn::Wait);
/// assert_eq!(turn(false, objective, objective, 1), Turn::Refuse);
/// ```
pub fn turn(is_free: bool, waited: Duration, objective: Duration, rank: u8) -> Turn {
    let share = if rank == 0 { URGENT_WAIT_SHARE } else { WAIT_SHARE };
    match waited < objective.mul_f64(share) {
        _ if is_free => Turn::Go,
        true => Turn::Wait,
        false if rank == 0 => Turn::Go,
        false => Turn::Refuse,
    }
}

/// How long calls have waited for their turn lately.
#[derive(Debug, Clone, Copy, Default)]
pub struct TurnWaits {
    /// Smoothed wait in seconds, when it was last counted.
    wait: f64,
    counted: Time,
}

impl TurnWaits {
    /// Counts a call that waited for `waited`.
    pub fn count(&mut self, now: Time, waited: Duration) {
        let expected = self.expected(now).as_secs_f64();
        self.wait = expected + SMOOTHING * (waited.as_secs_f64() - expected);
        self.counted = now;
    }

    /// What the next call is expected to wait.
    pub fn expected(&self, now: Time) -> Duration {
        let age = (now - self.counted).as_secs_f64() / MEMORY.as_secs_f64();
        Duration::from_secs_f64(self.wait * (-age).exp())
    }
}
