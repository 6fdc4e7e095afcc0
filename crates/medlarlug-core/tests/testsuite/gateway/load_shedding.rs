//! When calls are refused, and when their callers are told to come back.

use std::time::Duration;

use assert_matches::assert_matches;
use medlarlug_core::gateway::load_shedding::{Outlook, Verdict, judge};

fn outlook(wait_ms: Option<u64>, left_ms: u64) -> Outlook {
    Outlook {
        wait: wait_ms.map(Duration::from_millis),
        left: Duration::from_millis(left_ms),
        objective: Some(Duration::from_secs(1)),
    }
}

#[test]
fn call_that_can_be_answered_in_time_is_served() {
    assert_eq!(judge(outlook(Some(1_400), 5_000), 0.5), Verdict::Serve);
}

/// Under overload a late call delays all that come after it.
#[test]
fn call_far_behind_its_objective_is_refused_though_its_caller_would_wait() {
    assert_matches!(judge(outlook(Some(1_600), 5_000), 0.5), Verdict::Refuse { .. });
}

/// Found in a recorded day: bookings were refused for the risk of a failure that their predicted
/// wait holds.
#[test]
fn call_to_a_plain_service_is_served_as_long_as_its_caller_waits() {
    let plain = Outlook { objective: None, ..outlook(Some(1_900), 2_500) };

    assert_eq!(judge(plain, 0.5), Verdict::Serve);
}

#[test]
fn call_with_little_time_is_refused_before_its_objective() {
    assert_matches!(judge(outlook(Some(900), 1_000), 0.5), Verdict::Refuse { .. });
}

#[test]
fn call_that_cannot_be_answered_in_time_is_refused_at_once() {
    assert_matches!(judge(outlook(Some(4_500), 5_000), 0.5), Verdict::Refuse { .. });
}

#[test]
fn call_without_any_upstream_is_refused() {
    assert_matches!(judge(outlook(None, 5_000), 0.5), Verdict::Refuse { .. });
}

#[test]
fn caller_is_told_a_time_within_a_third_of_what_it_has_left() {
    for spread in [0.0, 0.5, 1.0] {
        let verdict = judge(outlook(Some(60_000), 3_000), spread);

        assert_matches!(verdict, Verdict::Refuse { after } if after <= Duration::from_secs(1));
    }
}

#[test]
fn callers_are_spread_over_the_time_to_come_back() {
    let after = |spread| match judge(outlook(None, 10_000), spread) {
        Verdict::Refuse { after } => after,
        Verdict::Serve => Duration::ZERO,
    };

    assert!(after(1.0) > after(0.0).mul_f64(1.5));
}
