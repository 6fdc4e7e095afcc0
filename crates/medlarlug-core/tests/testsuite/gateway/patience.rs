//! When an attempt is given up for another one.

use std::time::Duration;

use medlarlug_core::gateway::{
    patience::{Attempt, first_token_timeout},
    silence::StreamSource,
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

/// Seen on the bench: the caller's instance gave a call up 0.8 s after it had handed it over, with
/// 4 s left and nothing else to try, while its prompt was being read in the other region.
#[test]
fn call_that_was_handed_over_keeps_the_time_it_has() {
    let handed_over = Attempt { source: StreamSource::Instance, ..attempt() };

    assert_eq!(first_token_timeout(handed_over), handed_over.time_left);
}

#[test]
fn last_attempt_keeps_the_time_it_has() {
    let last = Attempt { is_last: true, ..attempt() };

    assert_eq!(first_token_timeout(last), last.time_left);
}

/// A long prompt that waits behind others for as long as its objective is not sent elsewhere, where
/// it would be read once more.
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
fn short_call_is_repeated_soon() {
    let lookup = Attempt {
        predicted_wait: Duration::from_millis(30),
        objective: Duration::from_millis(300),
        time_left: Duration::from_secs(3),
        ..attempt()
    };

    assert!(first_token_timeout(lookup) <= Duration::from_secs(1));
}

#[test]
fn limit_is_never_longer_than_the_time_left() {
    let late = Attempt { time_left: Duration::from_millis(500), ..attempt() };

    assert!(first_token_timeout(late) <= late.time_left);
}
