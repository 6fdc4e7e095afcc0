//! Timeout of an attempt until its first token or answer.
//!
//! When an attempt is given up, the work that its upstream has done is lost, and another upstream
//! starts over. So a call that merely waits in a queue that is longer than predicted stays where it
//! is; dead upstreams are detected by their connections. The timeout is for upstreams that accept
//! calls and never respond.
//!
//! A call that was forwarded to another region is retried by the instance there. The first instance
//! can't know how often that happened, so it keeps no time for an attempt of its own.

use std::time::Duration;

use crate::gateway::stream_timeout::StreamSource;

/// Timeout as a multiple of the predicted wait; predictions are rarely off by more.
const PREDICTION_FACTOR: u32 = 4;
/// Timeout as a multiple of the latency objective; a later answer would miss the objective in any
/// case.
const OBJECTIVE_FACTOR: f64 = 2.0;
/// Shortest timeout: a round trip to another region, and a few calls of a plain service.
const MIN_TIMEOUT: Duration = Duration::from_millis(800);
/// Share of the remaining time that an attempt gets if another one may follow.
const TIME_LEFT_SHARE: f64 = 0.6;

/// The inputs of the timeout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempt {
    /// Where the attempt is sent.
    pub source: StreamSource,
    /// Predicted time to the first token or the answer.
    pub predicted_wait: Duration,
    /// Latency objective of the route.
    pub objective: Duration,
    /// Time until the call has to be answered.
    pub time_left: Duration,
    /// Whether no other attempt may follow.
    pub is_last: bool,
}

/// Time without a first token or answer after which the attempt is given up.
///
/// ```
/// use std::time::Duration;
/// use medlarlug_core::gateway::{
///     attempt_timeout::{Attempt, first_token_timeout},
///     stream_timeout::StreamSource,
/// };
///
/// let second = Duration::from_secs(1);
/// let attempt = Attempt {
///     source: StreamSource::Upstream,
///     predicted_wait: second / 10,
///     objective: second,
///     time_left: second * 5,
///     is_last: false,
/// };
/// assert_eq!(first_token_timeout(attempt), second * 2);
/// ```
pub fn first_token_timeout(attempt: Attempt) -> Duration {
    if attempt.is_last || attempt.source == StreamSource::Instance {
        return attempt.time_left;
    }
    let timeout = (attempt.predicted_wait * PREDICTION_FACTOR)
        .max(attempt.objective.mul_f64(OBJECTIVE_FACTOR))
        .max(MIN_TIMEOUT);
    timeout.min(attempt.time_left.mul_f64(TIME_LEFT_SHARE).max(MIN_TIMEOUT)).min(attempt.time_left)
}
