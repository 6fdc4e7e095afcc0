//! How long a stream may be silent before it goes on at another upstream.
//!
//! Engines pause streams while they read long prompts or preempt a request, so silence is weak
//! evidence. It ends an attempt only where another one may follow: a stream that nobody can go on
//! with is left to its upstream until the call's time is up.
//!
//! A stream that another region serves passes through two instances. The one that holds the
//! connection to the engine goes on elsewhere first; the other one waits long enough for that.

use std::time::Duration;

/// Silence after which an upstream is taken for dead, as a multiple of the longest pause of a
/// stream that is on time. Engines that preempt a request pause it as well.
const SILENT_PAUSES: u32 = 3;
/// Pause that is taken for on time if the route has a shorter one: a few steps of a busy engine.
const SHORTEST_PAUSE: Duration = Duration::from_millis(300);
/// Time in which the instance of another region goes on at a second upstream, after it has waited
/// as long as a stream of its own may be silent: the prompt is read again, and the events travel.
const HANDED_OVER_TIME: Duration = Duration::from_millis(1_500);

/// Where a stream comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// An upstream of the own region.
    Upstream,
    /// An entry instance of another region.
    Instance,
}

/// Silence after which the stream goes on elsewhere; `None` if it is left to its source. `pause` is
/// the longest pause of a stream that is on time, `may_repeat` tells whether another attempt is left.
///
/// ```
/// use std::time::Duration;
/// use medlarlug_core::gateway::stream_timeout::{Source, limit};
///
/// let pause = Duration::from_millis(600);
/// assert_eq!(limit(Source::Upstream, pause, true), Some(pause * 3));
/// assert_eq!(limit(Source::Upstream, pause, false), None);
/// ```
pub fn limit(source: Source, pause: Duration, may_repeat: bool) -> Option<Duration> {
    if !may_repeat {
        return None;
    }
    let own = pause.max(SHORTEST_PAUSE) * SILENT_PAUSES;
    Some(match source {
        Source::Upstream => own,
        Source::Instance => own + HANDED_OVER_TIME,
    })
}
