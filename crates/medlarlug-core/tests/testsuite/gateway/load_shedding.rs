//! When calls are refused, and when their callers should retry.

use std::time::Duration;

use assert_matches::assert_matches;
use medlarlug_core::gateway::load_shedding::{CallForecast, Verdict, decide};

fn forecast(wait_ms: Option<u64>, left_ms: u64) -> CallForecast {
    CallForecast {
        predicted_wait: wait_ms.map(Duration::from_millis),
        time_left: Duration::from_millis(left_ms),
        objective: Some(Duration::from_secs(1)),
    }
}

#[test]
fn call_that_can_be_answered_in_time_is_served() {
    assert_eq!(decide(forecast(Some(1_400), 5_000), 0.5), Verdict::Serve);
}

/// Under overload, a late call delays all later ones.
#[test]
fn call_far_behind_its_objective_is_refused_though_its_caller_would_wait() {
    assert_matches!(decide(forecast(Some(1_600), 5_000), 0.5), Verdict::Refuse { .. });
}

/// Guards against refusals of plain calls for the risk of a failure, which their predicted wait
/// includes; bookings were refused that way.
#[test]
fn call_to_a_plain_service_is_served_as_long_as_its_caller_waits() {
    let plain = CallForecast { objective: None, ..forecast(Some(1_900), 2_500) };

    assert_eq!(decide(plain, 0.5), Verdict::Serve);
}

#[test]
fn call_with_little_time_is_refused_before_its_objective() {
    assert_matches!(decide(forecast(Some(900), 1_000), 0.5), Verdict::Refuse { .. });
}

#[test]
fn call_that_cannot_be_answered_in_time_is_refused_at_once() {
    assert_matches!(decide(forecast(Some(4_500), 5_000), 0.5), Verdict::Refuse { .. });
}

#[test]
fn call_without_any_upstream_is_refused() {
    assert_matches!(decide(forecast(None, 5_000), 0.5), Verdict::Refuse { .. });
}

#[test]
fn retry_delay_is_within_a_third_of_the_remaining_time() {
    for jitter in [0.0, 0.5, 1.0] {
        let verdict = decide(forecast(Some(60_000), 3_000), jitter);

        assert_matches!(verdict, Verdict::Refuse { retry_after } if retry_after <= Duration::from_secs(1));
    }
}

#[test]
fn retry_delays_are_spread() {
    let delay = |jitter| match decide(forecast(None, 10_000), jitter) {
        Verdict::Refuse { retry_after } => retry_after,
        Verdict::Serve => Duration::ZERO,
    };

    assert!(delay(1.0) > delay(0.0).mul_f64(1.5));
}
