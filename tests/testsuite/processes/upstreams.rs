//! Upstreams that leave, are killed or freeze under load.

use std::{thread, time::Duration};

use medlarlug::standin::answer::expected;
use medlarlug_core::release::item::Residency;
use nix::sys::signal::Signal;
use test_support::{
    deployment::{Deployment, Reply, call, wait_for},
    stream::OpenStream,
};

use crate::processes::fixture::{
    add_engines, assert_complete, items, state, two_regions, with_engines,
};

/// Time within which all entry instances stop sending requests to a leaving upstream.
const MAX_LEAVING_DELAY: Duration = Duration::from_secs(2);

/// The number of requests that an upstream has started.
fn started_requests(deployment: &Deployment, upstream: &str) -> usize {
    let upstream = deployment.upstreams.iter().find(|it| it.id == upstream).expect("an upstream");
    let runs = call("GET", upstream.control, "/runs", &[], "").json;
    runs["runs"].as_array().map_or(0, Vec::len)
}

/// Opens streams of `tokens` tokens until one runs at `upstream`.
fn streams_at(deployment: &Deployment, upstream: &str, tokens: usize) -> Vec<OpenStream> {
    let mut open = Vec::new();
    wait_for("a stream at the upstream", || {
        let prompt = format!("long {}", open.len());
        open.push(deployment.open_stream("entry-1", &prompt, tokens));
        state(deployment, upstream)["running"] != 0
    });
    open
}

/// Sends `count` short requests on each of `threads` threads and runs `during` meanwhile.
fn send_load(
    deployment: &Deployment,
    threads: usize,
    count: usize,
    during: impl FnOnce(),
) -> Vec<(String, Reply)> {
    thread::scope(|scope| {
        let one = |thread: usize| {
            let send = |it| {
                let prompt = format!("shift {thread} {it}");
                let reply = deployment.complete("entry-1", "medlar", &prompt);
                (prompt, reply)
            };
            (0..count).map(send).collect::<Vec<_>>()
        };
        let running: Vec<_> = (0..threads).map(|it| scope.spawn(move || one(it))).collect();
        during();
        running.into_iter().flat_map(|it| it.join().expect("no panic")).collect()
    })
}

/// Asserts that a reply is the expected answer or a refusal with a retry delay; returns whether it
/// is the answer.
fn is_answered(prompt: &str, reply: &Reply) -> bool {
    if reply.status == 200 {
        assert_eq!(reply.json["choices"][0]["text"], expected(prompt, Some(4)));
        return true;
    }
    assert!(reply.json["outcome"].is_string(), "{} {}", reply.status, reply.text);
    assert!(reply.json["retry_after"].is_u64(), "{} {}", reply.status, reply.text);
    false
}

fn answered(replies: &[(String, Reply)]) -> usize {
    replies.iter().filter(|it| is_answered(&it.0, &it.1)).count()
}

#[test]
fn leaving_upstream_gets_no_new_work_from_any_instance_and_completes_its_requests() {
    let mut deployment = add_engines(two_regions().entry("entry-3", "riga-a"), 2, 50).start();
    deployment.configure(items(Residency::Anywhere));
    ["entry-1", "entry-3"].iter().for_each(|it| deployment.wait_upstreams(it, 2));
    let open = streams_at(&deployment, "engine-1", 300);

    deployment.signal("engine-1", Signal::SIGTERM);
    thread::sleep(MAX_LEAVING_DELAY);
    let before = started_requests(&deployment, "engine-1");
    let replies: Vec<(String, Reply)> = (0..30)
        .map(|it| {
            let (entry, prompt) = (["entry-1", "entry-2", "entry-3"][it % 3], format!("new {it}"));
            let reply = deployment.complete(entry, "medlar", &prompt);
            (prompt, reply)
        })
        .collect();
    let after = started_requests(&deployment, "engine-1");
    let streamed: Vec<_> = open.into_iter().map(OpenStream::finish).collect();

    assert_eq!(answered(&replies), 30);
    assert!(before > 0 && before == after, "{before} requests became {after}");
    for (it, streamed) in streamed.iter().enumerate() {
        assert_complete(streamed, &format!("long {it}"), 300);
    }
    assert!(deployment.wait_exit("engine-1"));
}

#[test]
fn requests_of_a_killed_upstream_are_answered_by_others() {
    let deployment = with_engines(3, 200);

    let replies = send_load(&deployment, 6, 30, || {
        wait_for("work at the upstream", || started_requests(&deployment, "engine-1") > 3);
        deployment.signal("engine-1", Signal::SIGKILL);
    });

    assert_eq!(answered(&replies), 180, "{:?}", refused(&replies));
}

#[test]
fn requests_at_a_frozen_upstream_are_answered_by_others() {
    let deployment = with_engines(3, 200);

    let replies = send_load(&deployment, 6, 30, || {
        wait_for("work at the upstream", || started_requests(&deployment, "engine-1") > 3);
        deployment.signal("engine-1", Signal::SIGSTOP);
    });

    assert_eq!(answered(&replies), 180, "{:?}", refused(&replies));
}

/// The texts of the refusals.
fn refused(replies: &[(String, Reply)]) -> Vec<&str> {
    replies.iter().filter(|it| it.1.status != 200).map(|it| it.1.text.as_str()).collect()
}

#[test]
fn request_is_refused_as_failed_while_the_only_upstream_is_frozen() {
    let deployment = with_engines(1, 200);
    deployment.signal("engine-1", Signal::SIGSTOP);

    let reply = deployment.complete("entry-1", "medlar", "shift");

    assert!(!is_answered("shift", &reply));
    assert_eq!(reply.json["outcome"], "failed", "{}", reply.text);
}

#[test]
fn booking_in_flight_at_a_frozen_service_is_unknown_and_never_sent_again() {
    let mut deployment = two_regions().service("desk-1", "riga-a", "jobdesk");
    deployment = deployment.service("desk-2", "riga-a", "jobdesk");
    deployment.upstreams.iter_mut().for_each(|it| it.extra.push("work_ms: 2000".into()));
    let deployment = deployment.start();
    deployment.configure(items(Residency::Anywhere));
    deployment.wait_upstreams("entry-1", 2);
    let running = |it: &&str| state(&deployment, it)["running"] == 1;

    let headers = [("idempotency-key", "parcel-7"), ("x-deadline-ms", "1000")];
    let (running_at, reply) = thread::scope(|scope| {
        let path = "/v1/services/jobdesk/jobs";
        let booking =
            scope.spawn(|| deployment.caller_request("entry-1", "POST", path, &headers, "{}"));
        let mut running_at = None;
        wait_for("the booking to run", || {
            running_at = ["desk-1", "desk-2"].into_iter().find(running);
            running_at.is_some()
        });
        let running_at = running_at.expect("a service");
        deployment.signal(running_at, Signal::SIGSTOP);
        (running_at, booking.join().expect("no panic"))
    });
    let again = deployment.book("entry-2", "parcel-7", "{}");
    deployment.signal(running_at, Signal::SIGCONT);
    let later = deployment.book("entry-1", "parcel-7", "{}");

    for it in [&reply, &again, &later] {
        assert_eq!(it.json["outcome"], "unknown", "{}", it.text);
    }
    wait_for("the end of the call", || state(&deployment, running_at)["running"] == 0);
    assert_eq!(deployment.run_count("parcel-7"), 1);
}
