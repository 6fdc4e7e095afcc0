//! Whether an instance reaches the upstreams of its region.

use std::time::Duration;

use assert_matches::assert_matches;
use medlarlug_core::{
    gateway::{
        connectivity::{Change, Check, Connectivity, PeerPaths},
        health::{HealthTracker, UpstreamOutcome},
    },
    ids::InstanceId,
    time::Time,
};

fn at(ms: u64) -> Time {
    Time::ZERO + Duration::from_millis(ms)
}

fn check(began: u64, reached: usize, failed: usize) -> Check {
    Check { began: at(began), reached, failed }
}

/// An instance that was answered at zero and found itself isolated at 1 s.
fn isolated() -> Connectivity {
    let mut connectivity = Connectivity::default();
    connectivity.record_answer(at(0));
    connectivity.record_check(at(1_000), check(700, 0, 3));
    connectivity
}

#[test]
fn instance_is_isolated_when_no_connection_opens() {
    let mut connectivity = Connectivity::default();
    connectivity.record_answer(at(0));

    let change = connectivity.record_check(at(1_000), check(700, 0, 3));

    let since_answer = Some(Duration::from_secs(1));
    assert_eq!(change, Some(Change::Isolated { since_answer }));
    assert!(connectivity.is_isolated());
}

#[test]
fn failed_call_soon_after_an_answer_starts_no_check() {
    let mut connectivity = Connectivity::default();
    connectivity.record_answer(at(0));

    assert!(!connectivity.needs_check(at(400)));
    assert!(connectivity.needs_check(at(600)));
}

/// Overloaded upstreams reset new connections and go on answering over others.
#[test]
fn answer_during_a_check_outweighs_connections_that_do_not_open() {
    let mut connectivity = Connectivity::default();
    connectivity.record_answer(at(800));

    let change = connectivity.record_check(at(1_000), check(700, 0, 3));

    assert_eq!(change, None);
    assert!(!connectivity.is_isolated());
}

#[test]
fn one_connection_that_opens_shows_that_upstreams_can_be_reached() {
    let mut connectivity = Connectivity::default();

    connectivity.record_check(at(1_000), check(700, 1, 2));

    assert!(!connectivity.is_isolated());
}

/// Connections that were open before the partition may live on.
#[test]
fn answer_does_not_end_an_isolation() {
    let mut connectivity = isolated();

    connectivity.record_answer(at(1_100));
    connectivity.record_check(at(1_500), check(1_400, 0, 1));

    assert!(connectivity.is_isolated());
}

#[test]
fn connection_that_opens_ends_an_isolation() {
    let mut connectivity = isolated();

    let change = connectivity.record_check(at(3_000), check(2_990, 1, 0));

    assert_eq!(change, Some(Change::Connected { isolated_for: Duration::from_secs(2) }));
    assert!(!connectivity.is_isolated());
}

/// Upstreams that have all crashed no longer announce themselves; the path to them is not the fault.
#[test]
fn isolation_ends_when_no_upstream_announces_itself() {
    let mut connectivity = isolated();

    let change = connectivity.record_check(at(3_000), check(2_990, 0, 0));

    assert_matches!(change, Some(Change::Connected { .. }));
}

#[test]
fn missing_path_of_a_peer_holds_for_its_service_and_for_some_time() {
    let mut peers = PeerPaths::default();
    let [first, second]: [InstanceId; 2] = ["entry-1", "entry-2"].map(|id| id.parse().unwrap());
    let [chat, jobs] = ["chat", "jobs"].map(|name| name.parse().unwrap());

    peers.record_missing(at(0), &first, &chat);

    assert!(peers.is_missing(at(1_000), &first, &chat));
    assert!(!peers.is_missing(at(1_000), &first, &jobs));
    assert!(!peers.is_missing(at(1_000), &second, &chat));
    assert!(!peers.is_missing(at(2_000), &first, &chat));
}

#[test]
fn only_an_upstream_without_a_connection_is_unreachable() {
    let mut healths = HealthTracker::default();
    let [full, cut] = ["engine-1", "engine-2"].map(|id| id.parse().unwrap());

    healths.record(at(0), &full, UpstreamOutcome::Refused);
    healths.record(at(0), &cut, UpstreamOutcome::Unreachable);

    assert!(healths.is_avoided(at(100), &full) && !healths.is_unreachable(at(100), &full));
    assert!(healths.is_unreachable(at(100), &cut));
    healths.record(at(200), &cut, UpstreamOutcome::Answered);
    assert!(!healths.is_unreachable(at(200), &cut));
}
