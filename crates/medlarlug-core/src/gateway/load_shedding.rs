//! Decides whether a call is refused, and when its caller should retry.
//!
//! This handles overload and the loss of upstreams. A call is refused as soon as it is known that
//! no upstream can answer it within the caller's remaining time. The caller can then turn
//! elsewhere, and upstreams do not work on answers that nobody waits for. The retry delay is the
//! time in which the excess drains, with random jitter so that callers do not return together. It
//! is at most a third of the caller's remaining time, since a caller gives up rather than wait
//! longer.

use std::time::Duration;

use crate::gateway::fair_share::Standing;

/// What is known about a call before it is placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallForecast {
    /// Shortest predicted wait at any permitted upstream; `None` if there is none.
    pub predicted_wait: Option<Duration>,
    /// Remaining time of the caller.
    pub time_left: Duration,
    /// Latency objective of the route if late calls delay others. That holds for model engines, not
    /// for plain services, whose predicted wait is mostly the risk of a failure.
    pub objective: Option<Duration>,
}

impl CallForecast {
    /// Longest predicted wait with which the call is still worth its upstream's time.
    fn max_wait(&self) -> Duration {
        let limit = self.time_left.mul_f64(MAX_WAIT_SHARE);
        self.objective.map_or(limit, |objective| limit.min(objective.mul_f64(MAX_WAIT_OBJECTIVES)))
    }
}

/// What to do with a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Send it to an upstream.
    Serve,
    /// Refuse it without running it.
    Refuse {
        /// When the caller should retry.
        retry_after: Duration,
    },
}

/// Share of the remaining time that a predicted wait may take. Predictions are not exact, and the
/// answer itself takes time after its first token.
const MAX_WAIT_SHARE: f64 = 0.8;
/// Predicted wait, as a multiple of the latency objective, above which a call is refused even if
/// its caller would wait longer: its upstreams are behind, and each further call delays all others.
const MAX_WAIT_OBJECTIVES: f64 = 1.5;
/// The same multiple for a team that has had more than its part.
const OVER_PART_OBJECTIVES: f64 = 1.0;
/// Shortest retry delay.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(150);
/// Retry delay when no upstream is known: one interval of announcement updates.
const NO_UPSTREAM_RETRY_AFTER: Duration = Duration::from_millis(600);
/// Share of the remaining time after which callers no longer retry.
const RETRY_AFTER_SHARE: f64 = 1.0 / 3.0;

/// Decides about a call; `jitter` lies between 0 and 1 and differs from call to call.
///
/// ```
/// use std::time::Duration;
/// use medlarlug_core::gateway::load_shedding::{CallForecast, Verdict, decide};
///
/// let second = Duration::from_secs(1);
/// let forecast = CallForecast {
///     predicted_wait: Some(second),
///     time_left: second * 5,
///     objective: Some(second),
/// };
/// assert_eq!(decide(forecast, 0.5), Verdict::Serve);
/// ```
pub fn decide(forecast: CallForecast, jitter: f64) -> Verdict {
    let excess = match forecast.predicted_wait {
        None => NO_UPSTREAM_RETRY_AFTER,
        Some(wait) if wait <= forecast.max_wait() => return Verdict::Serve,
        Some(wait) => wait.saturating_sub(forecast.objective.unwrap_or_default()),
    };
    Verdict::Refuse { retry_after: retry_after(excess, forecast.time_left, jitter) }
}

/// Decides about a call of a team with `standing`. While engines are behind, a team that has had more
/// than its part is refused first. One that has had less is refused only if its call can't be answered
/// in time: others are refused before it.
pub fn decide_fairly(forecast: CallForecast, standing: Standing, jitter: f64) -> Verdict {
    let forecast = match standing {
        Standing::Below => CallForecast { objective: None, ..forecast },
        Standing::Even => forecast,
        Standing::Over => CallForecast {
            objective: forecast
                .objective
                .map(|it| it.mul_f64(OVER_PART_OBJECTIVES / MAX_WAIT_OBJECTIVES)),
            ..forecast
        },
    };
    decide(forecast, jitter)
}

/// Retry delay if all upstreams want no requests for `backoff`: no shorter, and with jitter.
pub fn retry_after_backoff(backoff: Duration, jitter: f64) -> Duration {
    backoff.max(MIN_RETRY_AFTER).mul_f64(1.0 + 0.25 * jitter)
}

/// Retry delay if the excess of work drains within `excess`.
pub fn retry_after(excess: Duration, left: Duration, jitter: f64) -> Duration {
    let latest = left.mul_f64(RETRY_AFTER_SHARE);
    excess.max(MIN_RETRY_AFTER).mul_f64(0.75 + 0.5 * jitter).min(latest)
}
