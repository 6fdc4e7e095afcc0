//! Idle timeout after which a stream continues at another upstream.
//!
//! Engines pause streams while they prefill long prompts or preempt a request, so a pause is weak
//! evidence of a failure. It ends an attempt only if another attempt may follow: a stream that
//! can't be continued elsewhere is left to its upstream until the call's time is up.
//!
//! A stream that another region serves passes through two instances. The one that holds the
//! connection to the engine continues elsewhere first; the other one waits long enough for that.

use std::time::Duration;

/// Idle time after which an upstream is assumed dead, as a multiple of the longest pause of a
/// stream that is on time. Engines that preempt a request also pause its stream.
const PAUSE_FACTOR: u32 = 3;
/// Pause that counts as on time if the route has a shorter one: a few steps of a busy engine.
const MIN_PAUSE: Duration = Duration::from_millis(300);
/// Time in which the instance of another region continues at a second upstream after its own idle
/// timeout: the prompt is prefilled again, and the events travel between regions.
const FORWARDED_EXTRA_TIME: Duration = Duration::from_millis(1_500);

/// Where a stream comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamSource {
    /// An upstream of the own region.
    Upstream,
    /// An entry instance of another region.
    Instance,
}

/// Idle time after which the stream continues elsewhere; `None` if it is left to its source.
/// `pause` is the longest pause of a stream that is on time, `may_retry` tells whether an attempt
/// is left.
///
/// ```
/// use std::time::Duration;
/// use medlarlug_core::gateway::stream_timeout::{StreamSource, idle_timeout};
///
/// let pause = Duration::from_millis(600);
/// assert_eq!(idle_timeout(StreamSource::Upstream, pause, true), Some(pause * 3));
/// assert_eq!(idle_timeout(StreamSource::Upstream, pause, false), None);
/// ```
pub fn idle_timeout(source: StreamSource, pause: Duration, may_retry: bool) -> Option<Duration> {
    if !may_retry {
        return None;
    }
    let own = pause.max(MIN_PAUSE) * PAUSE_FACTOR;
    Some(match source {
        StreamSource::Upstream => own,
        StreamSource::Instance => own + FORWARDED_EXTRA_TIME,
    })
}
