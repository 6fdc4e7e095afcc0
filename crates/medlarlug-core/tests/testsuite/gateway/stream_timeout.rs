//! When a silent stream goes on elsewhere.

use std::time::Duration;

use medlarlug_core::gateway::stream_timeout::{Source, limit};

const PAUSE: Duration = Duration::from_millis(600);

/// Seen on the bench: both instances of a stream that crossed regions waited equally long, and the
/// first one cut it while the second one had just gone on at another engine.
#[test]
fn instance_of_the_caller_waits_until_the_other_one_has_gone_on_elsewhere() {
    let engine_side = limit(Source::Upstream, PAUSE, true).unwrap();
    let caller_side = limit(Source::Instance, PAUSE, true).unwrap();

    // Reading a prompt again takes up to a second, the way between regions 130 ms.
    assert!(caller_side >= engine_side + Duration::from_millis(1_130));
}

#[test]
fn stream_without_an_attempt_left_is_left_to_its_source() {
    assert_eq!(limit(Source::Upstream, PAUSE, false), None);
    assert_eq!(limit(Source::Instance, PAUSE, false), None);
}

#[test]
fn pause_of_a_route_without_one_is_that_of_a_busy_engine() {
    assert!(limit(Source::Upstream, Duration::ZERO, true).unwrap() >= Duration::from_millis(900));
}
