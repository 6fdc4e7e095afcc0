//! Timeout after which an attempt is given up for another one.

use std::time::Duration;

use medlarlug_core::gateway::{
    attempt_timeout::{Attempt, first_token_timeout},
    stream_timeout::StreamSource,
};

fn attempt() -> Attempt {
    Attempt {
        source: StreamSource::Upstream,
        predicted_wait: Duration::from_millis(150),
        objective: Duration::from_millis(1_200),
        time_left: Duration::from_secs(5),
        is_last: false,
    }
}

/// Guards against a timeout of the caller's instance: it gave up a call 0.8 s after forwarding it,
/// with 4 s left and nothing else to try, while the other region prefilled its prompt.
#[test]
fn forwarded_call_keeps_its_remaining_time() {
    let handed_over = Attempt { source: StreamSource::Instance, ..attempt() };

    assert_eq!(first_token_timeout(handed_over), handed_over.time_left);
}

#[test]
fn last_attempt_keeps_its_remaining_time() {
    let last = Attempt { is_last: true, ..attempt() };

    assert_eq!(first_token_timeout(last), last.time_left);
}

/// A long prompt that waits in a queue for as long as its objective is not sent elsewhere, where it
/// would be prefilled again.
#[test]
fn attempt_outlasts_the_latency_objective() {
    assert!(first_token_timeout(attempt()) > attempt().objective);
}

#[test]
fn attempt_leaves_time_for_another_one() {
    let slow = Attempt { predicted_wait: Duration::from_secs(2), ..attempt() };

    assert!(first_token_timeout(slow) <= slow.time_left - Duration::from_secs(2));
}

#[test]
fn short_call_is_retried_soon() {
    let lookup = Attempt {
        predicted_wait: Duration::from_millis(30),
        objective: Duration::from_millis(300),
        time_left: Duration::from_secs(3),
        ..attempt()
    };

    assert!(first_token_timeout(lookup) <= Duration::from_secs(1));
}

#[test]
fn timeout_is_never_longer_than_the_time_left() {
    let late = Attempt { time_left: Duration::from_millis(500), ..attempt() };

    assert!(first_token_timeout(late) <= late.time_left);
}
