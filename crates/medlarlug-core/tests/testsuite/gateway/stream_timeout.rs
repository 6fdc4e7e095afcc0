//! When an idle stream continues elsewhere.

use std::time::Duration;

use medlarlug_core::gateway::stream_timeout::{StreamSource, idle_timeout};

const PAUSE: Duration = Duration::from_millis(600);

/// Guards against equal timeouts of the two instances of a stream that crosses regions: the
/// caller's instance cut the stream when the other one had just continued at another engine.
#[test]
fn instance_of_the_caller_waits_until_the_other_one_has_continued_elsewhere() {
    let engine_side = idle_timeout(StreamSource::Upstream, PAUSE, true).unwrap();
    let caller_side = idle_timeout(StreamSource::Instance, PAUSE, true).unwrap();

    // Prefilling a prompt again takes up to a second, and a round trip between regions 130 ms.
    assert!(caller_side >= engine_side + Duration::from_millis(1_130));
}

#[test]
fn stream_without_an_attempt_left_is_left_to_its_source() {
    assert_eq!(idle_timeout(StreamSource::Upstream, PAUSE, false), None);
    assert_eq!(idle_timeout(StreamSource::Instance, PAUSE, false), None);
}

#[test]
fn route_without_a_pause_gets_that_of_a_busy_engine() {
    assert!(
        idle_timeout(StreamSource::Upstream, Duration::ZERO, true).unwrap()
            >= Duration::from_millis(900)
    );
}
