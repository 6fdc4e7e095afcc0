//! Graceful shutdown.

use std::time::Duration;

use medlarlug_core::{
    drain::{Drain, Serving, StopCause},
    record::Outcome,
    refusal::Reason,
    time::Time,
};

fn serving(requests: u32) -> Drain<Serving> {
    let mut drain = Drain::default();
    (0..requests).for_each(|_| drain.admit());
    drain
}

#[test]
fn draining_instance_refuses_new_requests_as_not_run() {
    let draining = serving(1).begin(Time::ZERO, Duration::from_secs(30));

    let refusal = draining.refusal();

    assert_eq!((refusal.reason, refusal.outcome), (Reason::Leaving, Outcome::NotRun));
}

#[test]
fn draining_instance_waits_for_its_last_request() {
    let mut draining = serving(2).begin(Time::ZERO, Duration::from_secs(30));

    draining.release();
    let before = draining.stop_cause(Time::from_millis(29_999));
    draining.release();
    let after = draining.stop_cause(Time::from_millis(29_999));

    assert_eq!((before, after), (None, Some(StopCause::Empty)));
    assert_eq!(draining.finish().aborted(), 0);
}

#[test]
fn deadline_stops_the_instance_and_counts_aborted_requests() {
    let draining = serving(2).begin(Time::ZERO, Duration::from_secs(30));

    let cause = draining.stop_cause(Time::from_millis(30_000));

    assert_eq!(cause, Some(StopCause::Deadline));
    assert_eq!(draining.finish().aborted(), 2);
}
