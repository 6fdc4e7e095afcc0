//! Admission of long prompts to model engines.
//!
//! An engine takes one chunk of a prompt into each of its steps, and a step with such a chunk takes
//! some twenty times as long as one without. While a queue of prompts is prefilled without a break,
//! all streams of the engine slow down so much that they miss their deadlines. So long prompts are
//! sent to an engine one at a time, and wait for admission at the entry instances.
//!
//! A call that has waited for a large part of its latency objective is refused: its engines are
//! overloaded, and sending it anyway would delay the streams that run there. Calls of the highest
//! priority are sent anyway, since engines prefill them first.
//!
//! The recent waits are the expected wait of the next call. It makes other regions more attractive
//! and keeps them from sending more.

use std::time::Duration;

use crate::time::Time;

/// What a call does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PrefillDecision {
    /// It is sent to its engine.
    Send,
    /// It waits for admission.
    Wait,
    /// It is refused.
    Refuse,
}

/// Share of its latency objective that a call waits at most; the rest is for its prefill.
const MAX_WAIT_SHARE: f64 = 0.6;
/// The same share for calls of priority 0, which are then sent rather than refused.
const MAX_URGENT_WAIT_SHARE: f64 = 0.35;
/// Weight of the newest call in the expected wait.
const WAIT_SMOOTHING: f64 = 0.3;
/// Time in which the expected wait falls to 1/e (about a third) if no call waits.
const DECAY_TIME: Duration = Duration::from_secs(1);

/// Decides about a call that has waited for `waited`; `can_admit` tells whether its engine would
/// accept a long prompt now.
///
/// ```
/// use std::time::Duration;
/// use medlarlug_core::gateway::prefill_queue::{PrefillDecision, decide};
///
/// let objective = Duration::from_secs(1);
/// assert_eq!(decide(true, Duration::ZERO, objective, 1), PrefillDecision::Send);
/// assert_eq!(decide(false, Duration::ZERO, objective, 1), PrefillDecision::Wait);
/// assert_eq!(decide(false, objective, objective, 1), PrefillDecision::Refuse);
/// ```
pub fn decide(
    can_admit: bool,
    waited: Duration,
    objective: Duration,
    priority: u8,
) -> PrefillDecision {
    let share = if priority == 0 { MAX_URGENT_WAIT_SHARE } else { MAX_WAIT_SHARE };
    match waited < objective.mul_f64(share) {
        _ if can_admit => PrefillDecision::Send,
        true => PrefillDecision::Wait,
        false if priority == 0 => PrefillDecision::Send,
        false => PrefillDecision::Refuse,
    }
}

/// How long recent calls have waited for admission.
#[derive(Debug, Clone, Copy, Default)]
pub struct QueueWaits {
    /// Smoothed wait in seconds, as of `updated_at`.
    wait_s: f64,
    updated_at: Time,
}

impl QueueWaits {
    /// Counts a call that waited for `waited`.
    pub fn record(&mut self, now: Time, waited: Duration) {
        let expected = self.expected(now).as_secs_f64();
        self.wait_s = expected + WAIT_SMOOTHING * (waited.as_secs_f64() - expected);
        self.updated_at = now;
    }

    /// The wait that the next call has to expect.
    pub fn expected(&self, now: Time) -> Duration {
        let age = (now - self.updated_at).as_secs_f64() / DECAY_TIME.as_secs_f64();
        Duration::from_secs_f64(self.wait_s * (-age).exp())
    }
}
