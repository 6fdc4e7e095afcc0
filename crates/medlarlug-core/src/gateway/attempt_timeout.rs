//! How long an attempt may take until its first token or answer.
//!
//! Giving an attempt up throws away what its upstream has done for it, and another upstream begins
//! anew. So a call that merely waits behind others, in a queue that is longer than predicted, stays
//! where it is: upstreams that are gone are noticed by their connections. What is left for this
//! limit are upstreams that take calls and say nothing.
//!
//! A call that was handed over is repeated by the instance that has it. The first instance cannot
//! tell how often that was, so it has no attempt of its own to save time for.

use std::time::Duration;

use crate::gateway::stream_timeout::Source;

/// Limit as a multiple of the predicted wait: predictions are rarely off by more.
const PREDICTION_FACTOR: u32 = 4;
/// Limit as a multiple of the latency objective: the answer would be late by then in any case.
const OBJECTIVE_FACTOR: f64 = 2.0;
/// Shortest limit: the way to another region and back, and a few calls of a plain service.
const SHORTEST: Duration = Duration::from_millis(800);
/// Part of the time left that an attempt gets if another one is to follow it.
const LEFT_SHARE: f64 = 0.6;

/// What an attempt has to go by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempt {
    /// Where it goes.
    pub source: Source,
    /// Predicted time to the first token or the answer.
    pub wait: Duration,
    /// Latency objective of its route.
    pub objective: Duration,
    /// Time until the call has to be answered.
    pub left: Duration,
    /// Whether no other attempt may follow.
    pub is_last: bool,
}

/// Time until the first token or answer after which the attempt is given up.
///
/// ```
/// use std::time::Duration;
/// use medlarlug_core::gateway::{attempt_timeout::{Attempt, limit}, stream_timeout::Source};
///
/// let second = Duration::from_secs(1);
/// let attempt = Attempt {
///     source: Source::Upstream,
///     wait: second / 10,
///     objective: second,
///     left: second * 5,
///     is_last: false,
/// };
/// assert_eq!(limit(attempt), second * 2);
/// ```
pub fn limit(attempt: Attempt) -> Duration {
    if attempt.is_last || attempt.source == Source::Instance {
        return attempt.left;
    }
    let usual = (attempt.wait * PREDICTION_FACTOR)
        .max(attempt.objective.mul_f64(OBJECTIVE_FACTOR))
        .max(SHORTEST);
    usual.min(attempt.left.mul_f64(LEFT_SHARE).max(SHORTEST)).min(attempt.left)
}
