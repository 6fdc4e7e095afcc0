//! When a call is refused, and when its caller is told to come back.
//!
//! This answers overload and the loss of upstreams. A call is refused as soon as it is known that
//! no upstream can answer it within the time that its caller has left, so that the caller can turn
//! elsewhere, and so that upstreams do not work on answers that nobody waits for. The time to come
//! back is that in which the excess drains, spread at random so that callers do not return
//! together, and at most a third of what the caller has left, since later it would give up.

use std::time::Duration;

/// What is known about a call when it is about to be placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Outlook {
    /// Shortest predicted wait at any permitted upstream; `None` if there is none.
    pub wait: Option<Duration>,
    /// Time that the caller has left.
    pub left: Duration,
    /// Latency objective of the route, if calls that are behind it delay others: at model engines,
    /// not at plain services, whose predicted wait is mostly the risk of a failure.
    pub objective: Option<Duration>,
}

impl Outlook {
    /// Longest predicted wait with which the call is still worth its upstream's time.
    fn patience(&self) -> Duration {
        let most = self.left.mul_f64(WAIT_SHARE);
        self.objective.map_or(most, |objective| most.min(objective.mul_f64(LATE_FACTOR)))
    }
}

/// What to do with the call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Send it.
    Serve,
    /// Refuse it as not run.
    Refuse {
        /// When the caller should come back.
        after: Duration,
    },
}

/// Part of the time left that a predicted wait may take: predictions are not exact, and the answer
/// itself takes time after its first token.
const WAIT_SHARE: f64 = 0.8;
/// Predicted wait, as a multiple of the latency objective, above which a call is refused although
/// its caller would wait longer: its upstreams are behind, and each further call makes all later.
const LATE_FACTOR: f64 = 1.5;
/// Shortest time to come back.
const MIN_AFTER: Duration = Duration::from_millis(150);
/// Time to come back when no upstream is known: a beat of news from upstreams.
const UNKNOWN_AFTER: Duration = Duration::from_millis(600);
/// Part of the time left after which callers no longer come back.
const RETURN_SHARE: f64 = 1.0 / 3.0;

/// Decides about a call; `spread` lies between 0 and 1 and differs from call to call.
///
/// ```
/// use std::time::Duration;
/// use medlarlug_core::gateway::load_shedding::{Outlook, Verdict, judge};
///
/// let second = Duration::from_secs(1);
/// let outlook = Outlook { wait: Some(second), left: second * 5, objective: Some(second) };
/// assert_eq!(judge(outlook, 0.5), Verdict::Serve);
/// ```
pub fn judge(outlook: Outlook, spread: f64) -> Verdict {
    let excess = match outlook.wait {
        None => UNKNOWN_AFTER,
        Some(wait) if wait <= outlook.patience() => return Verdict::Serve,
        Some(wait) => wait.saturating_sub(outlook.objective.unwrap_or_default()),
    };
    Verdict::Refuse { after: after(excess, outlook.left, spread) }
}

/// When to come back if all upstreams want no requests for `rest`: no sooner, and not all together.
pub fn after_rest(rest: Duration, spread: f64) -> Duration {
    rest.max(MIN_AFTER).mul_f64(1.0 + 0.25 * spread)
}

/// When to come back if the excess of work drains within `excess`.
pub fn after(excess: Duration, left: Duration, spread: f64) -> Duration {
    let latest = left.mul_f64(RETURN_SHARE);
    excess.max(MIN_AFTER).mul_f64(0.75 + 0.5 * spread).min(latest)
}
