//! When an attempt is given up for another one.

use std::time::Duration;

use medlarlug_core::gateway::{
    attempt_timeout::{Attempt, limit},
    stream_timeout::Source,
};

fn attempt() -> Attempt {
    Attempt {
        source: Source::Upstream,
        wait: Duration::from_millis(150),
        objective: Duration::from_millis(1_200),
        left: Duration::from_secs(5),
        is_last: false,
    }
}

/// Seen on the bench: the caller's instance gave a call up 0.8 s after it had handed it over, with
/// 4 s left and nothing else to try, while its prompt was being read in the other region.
#[test]
fn call_that_was_handed_over_keeps_the_time_it_has() {
    let handed_over = Attempt { source: Source::Instance, ..attempt() };

    assert_eq!(limit(handed_over), handed_over.left);
}

#[test]
fn last_attempt_keeps_the_time_it_has() {
    let last = Attempt { is_last: true, ..attempt() };

    assert_eq!(limit(last), last.left);
}

/// A long prompt that waits behind others for as long as its objective is not sent elsewhere, where
/// it would be read once more.
#[test]
fn attempt_outlasts_the_latency_objective() {
    assert!(limit(attempt()) > attempt().objective);
}

#[test]
fn attempt_leaves_time_for_another_one() {
    let slow = Attempt { wait: Duration::from_secs(2), ..attempt() };

    assert!(limit(slow) <= slow.left - Duration::from_secs(2));
}

#[test]
fn short_call_is_repeated_soon() {
    let lookup = Attempt {
        wait: Duration::from_millis(30),
        objective: Duration::from_millis(300),
        left: Duration::from_secs(3),
        ..attempt()
    };

    assert!(limit(lookup) <= Duration::from_secs(1));
}

#[test]
fn limit_is_never_longer_than_the_time_left() {
    let late = Attempt { left: Duration::from_millis(500), ..attempt() };

    assert!(limit(late) <= late.left);
}
