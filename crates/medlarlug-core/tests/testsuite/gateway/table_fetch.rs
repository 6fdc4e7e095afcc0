//! When instances request a table again, over links of various speeds.

use std::{net::SocketAddr, time::Duration};

use medlarlug_core::{
    gateway::table_fetch::{FETCH_TIMEOUT, TableFetch},
    time::Time,
};

/// Length of a table with some 4,200 routes.
const TABLE_BYTES: u64 = 840_000;
/// Time between two looks at the request.
const UPKEEP_MS: u64 = 500;

fn keeper() -> SocketAddr {
    ([10, 1, 0, 1], 7_660).into()
}

/// Requests a table over a link of `bytes_per_s`, on which the copies that were requested arrive one after the
/// other. Returns when the first is complete, and how many were requested.
fn fetch(bytes_per_s: u64) -> (Duration, u64) {
    let mut fetch = TableFetch::new(Time::ZERO, keeper(), 0);
    let mut requests = 1;
    let mut ms = 0;
    loop {
        ms += UPKEEP_MS;
        let now = Time::from_millis(ms);
        let received = (ms * bytes_per_s / 1_000).min(requests * TABLE_BYTES);
        if received >= TABLE_BYTES {
            return (Duration::from_millis(TABLE_BYTES * 1_000 / bytes_per_s), requests);
        }
        fetch.observe(now, Some(received));
        if !fetch.is_active(now) {
            fetch = TableFetch::new(now, keeper(), received);
            requests += 1;
        }
    }
}

/// Guards against the failure that a table which takes longer to arrive than the time-out was requested again and
/// again, so that each instance received it several times and served by the old one meanwhile (issue 73).
#[test]
fn table_that_arrives_slowly_is_requested_once() {
    for bytes_per_s in [40_000, 250_000, 875_000, 125_000_000] {
        let (took, requests) = fetch(bytes_per_s);

        assert_eq!(requests, 1, "{bytes_per_s} bytes a second, {took:?}");
    }
}

#[test]
fn table_is_requested_again_when_nothing_arrives_or_the_link_has_closed() {
    let at = Time::from_millis;
    let timeout = FETCH_TIMEOUT.as_millis() as u64;
    let fetch = TableFetch::new(at(1_000), keeper(), 5_000);
    let (mut idle, mut stalled, mut closed, mut reopened) =
        (fetch.clone(), fetch.clone(), fetch.clone(), fetch.clone());

    idle.observe(at(1_500), Some(5_000));
    stalled.observe(at(1_500), Some(9_000));
    stalled.observe(at(1_900), Some(9_000));
    closed.observe(at(1_100), None);
    closed.observe(at(1_200), Some(5_000));
    reopened.observe(at(1_100), Some(0));

    assert!(fetch.is_active(at(1_000)));
    assert!(!idle.is_active(at(1_000 + timeout)));
    assert!(stalled.is_active(at(1_499 + timeout)));
    assert!(!stalled.is_active(at(1_500 + timeout)));
    assert!(!closed.is_active(at(1_200)));
    assert!(!reopened.is_active(at(1_200)));
}
