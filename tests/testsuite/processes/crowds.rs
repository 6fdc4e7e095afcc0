//! Crowds of clients that try to exhaust the memory of a process.
//!
//! The crowds and the limits are in [`test_support::crowd`]. Only one of these tests runs at a time in a
//! test process, because they share a lock.

use medlarlug_core::release::item::Residency;
use test_support::{
    crowd::{Crowd, Kind, MAX_FDS, MEMORY_MB, Meter, Target, run_alone},
    deployment::{CALLER_KEY, OPERATOR_KEY, wait_for},
};

use crate::processes::fixture::{add_engines, items, two_regions};

/// Sends a crowd to every HTTP interface of a process. Asserts that the process lives on within the
/// limits of its settings, and that one ordinary request is answered while the crowd is still connected.
fn assert_crowd_does_no_harm(kind: Kind, id: &str) {
    let _alone = run_alone();
    let mut deployment = add_engines(two_regions(), 1, 500);
    deployment.resources =
        format!("resources: {{ memory_mb: {MEMORY_MB}, descriptors: {MAX_FDS} }}\n");
    let deployment = deployment.start();
    deployment.configure(items(Residency::Anywhere));
    deployment.wait_upstreams("entry-1", 1);
    let is_keeper = id.starts_with("keeper");
    let instance = deployment.get(id);
    let head = |path: &str, key: &str| {
        format!("POST {path} HTTP/1.1\r\nhost: {id}\r\nauthorization: Bearer {key}\r\n")
    };
    let operators =
        Target { address: instance.operators, head: head("/release/check", OPERATOR_KEY) };
    let mut targets = vec![operators];
    if !is_keeper {
        let callers =
            Target { address: instance.callers, head: head("/v1/completions", CALLER_KEY) };
        // Bodies are authenticated once they are complete, so clients without a key are read as well.
        let internal =
            Target { address: deployment.internal(id), head: head("/v1/forward", "none") };
        targets.extend([callers, internal]);
    }
    let addresses: Vec<_> = targets.iter().map(|it| it.address).collect();

    let crowd = Crowd::start(kind, &targets);
    let meter = Meter::start(deployment.pid(id), &addresses);
    crowd.settle();
    wait_for("an answer to an ordinary request", || match is_keeper {
        true => deployment.operator_get(id, "/status").status == 200,
        false => deployment.complete(id, "medlar", "shift").status == 200,
    });
    let peak = meter.stop();
    drop(crowd);

    let log = deployment.log(id);
    assert!(!log.contains("panicked"), "{log}");
    peak.assert_within_limits(&log);
}

#[test]
fn bodies_that_all_arrive_at_once_do_not_exhaust_an_entry_instance() {
    assert_crowd_does_no_harm(Kind::Whole, "entry-1");
}

#[test]
fn bodies_that_arrive_piece_by_piece_do_not_exhaust_an_entry_instance() {
    assert_crowd_does_no_harm(Kind::Pieces, "entry-1");
}

#[test]
fn large_chunks_do_not_exhaust_an_entry_instance() {
    assert_crowd_does_no_harm(Kind::LargeChunks, "entry-1");
}

#[test]
fn small_chunks_do_not_exhaust_an_entry_instance() {
    assert_crowd_does_no_harm(Kind::SmallChunks, "entry-1");
}

#[test]
fn bodies_announced_over_the_limit_do_not_exhaust_an_entry_instance() {
    assert_crowd_does_no_harm(Kind::Announced, "entry-1");
}

#[test]
fn bodies_sent_over_the_limit_do_not_exhaust_an_entry_instance() {
    assert_crowd_does_no_harm(Kind::Unannounced, "entry-1");
}

#[test]
fn bodies_that_all_arrive_at_once_do_not_exhaust_a_keeper() {
    assert_crowd_does_no_harm(Kind::Whole, "keeper-1");
}

#[test]
fn bodies_that_arrive_piece_by_piece_do_not_exhaust_a_keeper() {
    assert_crowd_does_no_harm(Kind::Pieces, "keeper-1");
}

#[test]
fn large_chunks_do_not_exhaust_a_keeper() {
    assert_crowd_does_no_harm(Kind::LargeChunks, "keeper-1");
}

#[test]
fn small_chunks_do_not_exhaust_a_keeper() {
    assert_crowd_does_no_harm(Kind::SmallChunks, "keeper-1");
}

#[test]
fn bodies_announced_over_the_limit_do_not_exhaust_a_keeper() {
    assert_crowd_does_no_harm(Kind::Announced, "keeper-1");
}

#[test]
fn bodies_sent_over_the_limit_do_not_exhaust_a_keeper() {
    assert_crowd_does_no_harm(Kind::Unannounced, "keeper-1");
}
