//! Answers under faults: each caller gets the complete answer to its own request or an explicit error.

use std::thread;

use medlarlug::standin::answer::expected;
use medlarlug_core::{release::item::Residency, retry::MAX_STORED_RETRIES};
use nix::sys::signal::Signal;
use serde_json::{Value, json};
use test_support::{
    deployment::{Deployment, Reply, call, wait_for},
    stream::{Ending, StreamedAnswer},
};

use crate::processes::fixture::{
    add_engines, assert_complete, counter, items, state, two_regions, with_engines,
};

/// Tokens of an answer during which a fault is injected.
const TOKENS: usize = 300;

/// Injects a fault into the only engine during a stream; returns the stream as the caller read it.
fn stream_through(deployment: &Deployment, prompt: &str, fault: &Value) -> StreamedAnswer {
    let mut stream = deployment.open_stream("entry-1", prompt, TOKENS);
    stream.read_tokens(20);
    deployment.inject_fault("engine-1", fault);
    stream.finish()
}

/// Injects a fault into the only engine while it generates an answer that is not streamed; returns
/// the answer.
fn unstreamed_through(deployment: &Deployment, fault: &Value) -> Reply {
    let body = json!({ "model": "medlar", "prompt": "shift", "max_tokens": TOKENS }).to_string();
    thread::scope(|scope| {
        let unstreamed = scope
            .spawn(|| deployment.caller_request("entry-1", "POST", "/v1/completions", &[], &body));
        wait_for("the request to run", || state(deployment, "engine-1")["running"] == 1);
        deployment.inject_fault("engine-1", fault);
        unstreamed.join().expect("no panic")
    })
}

#[test]
fn connection_that_becomes_unresponsive_in_a_stream_is_replaced_and_the_answer_is_complete() {
    let deployment = with_engines(1, 150);

    let fault = json!({ "kind": "silence_open_connections" });
    let streamed = stream_through(&deployment, "shift one", &fault);
    let next = deployment.stream("entry-1", "shift two", 10);

    assert_complete(&streamed, "shift one", TOKENS);
    assert_complete(&next, "shift two", 10);
    assert_eq!(
        deployment.operator_get("entry-1", "/upstreams").json.as_array().map(Vec::len),
        Some(1)
    );
}

#[test]
fn connection_that_breaks_in_a_stream_is_replaced_and_the_answer_is_complete() {
    let deployment = with_engines(1, 150);

    let fault = json!({ "kind": "cut_open_connections" });
    let streamed = stream_through(&deployment, "shift one", &fault);
    let next = deployment.stream("entry-1", "shift two", 10);

    assert_complete(&streamed, "shift one", TOKENS);
    assert_complete(&next, "shift two", 10);
}

#[test]
fn stream_is_resumed_at_an_engine_that_answers_late() {
    let deployment = with_engines(1, 150);

    let mut stream = deployment.open_stream("entry-1", "shift", TOKENS);
    stream.read_tokens(20);
    // The freeze outlasts the first attempt to resume and the validity of an announcement; the second
    // attempt is in time.
    deployment.inject_fault("engine-1", &json!({ "kind": "freeze", "for_ms": 3_000 }));
    deployment.inject_fault("engine-1", &json!({ "kind": "cut_open_connections" }));
    let streamed = stream.finish();

    assert_complete(&streamed, "shift", TOKENS);
}

#[test]
fn idle_connections_that_became_unresponsive_lose_no_answer() {
    let deployment = with_engines(1, 500);
    assert_eq!(deployment.complete("entry-1", "medlar", "warm").status, 200);
    assert_complete(&deployment.stream("entry-1", "warm", 10), "warm", 10);
    let fault = json!({ "kind": "silence_open_connections" });

    deployment.inject_fault("engine-1", &fault);
    let streamed = deployment.stream("entry-1", "shift one", 10);
    deployment.inject_fault("engine-1", &fault);
    let unstreamed = deployment.complete("entry-1", "medlar", "shift two");

    assert_complete(&streamed, "shift one", 10);
    assert_eq!(unstreamed.status, 200, "{}", unstreamed.text);
    assert_eq!(unstreamed.json["choices"][0]["text"], expected("shift two", Some(4)));
}

#[test]
fn connection_that_becomes_unresponsive_before_a_complete_answer_loses_no_answer() {
    let deployment = with_engines(1, 100);

    let unstreamed =
        unstreamed_through(&deployment, &json!({ "kind": "silence_open_connections" }));

    assert_eq!(unstreamed.status, 200, "{}", unstreamed.text);
    assert_eq!(unstreamed.json["choices"][0]["text"], expected("shift", Some(TOKENS)));
}

#[test]
fn connection_that_breaks_before_a_complete_answer_loses_no_answer() {
    let deployment = with_engines(1, 100);

    let unstreamed = unstreamed_through(&deployment, &json!({ "kind": "cut_open_connections" }));

    assert_eq!(unstreamed.status, 200, "{}", unstreamed.text);
    assert_eq!(unstreamed.json["choices"][0]["text"], expected("shift", Some(TOKENS)));
}

#[test]
fn call_whose_connection_broke_before_it_was_received_uses_no_retry() {
    let deployment = with_engines(1, 500);
    let drop_next =
        || deployment.inject_fault("engine-1", &json!({ "kind": "drop_call", "count": 1 }));

    // One call of each kind more than the retry budget allows retries.
    for it in 0..=MAX_STORED_RETRIES {
        let (streamed, unstreamed) = (format!("streamed {it}"), format!("whole {it}"));
        drop_next();
        assert_complete(&deployment.stream("entry-1", &streamed, 4), &streamed, 4);
        drop_next();
        let answer = deployment.complete("entry-1", "medlar", &unstreamed);
        assert_eq!(answer.status, 200, "{}", answer.text);
        assert_eq!(answer.json["choices"][0]["text"], expected(&unstreamed, Some(4)));
    }

    let runs = call("GET", deployment.upstreams[0].control, "/runs", &[], "").json;
    assert_eq!(runs["total"], 2 * (MAX_STORED_RETRIES + 1));
}

#[test]
fn answer_that_is_lost_at_every_upstream_is_never_reported_as_not_run() {
    let deployment = with_engines(2, 500);
    for engine in ["engine-1", "engine-2"] {
        deployment.inject_fault(engine, &json!({ "kind": "lose_answer", "count": 10 }));
    }

    let lost = deployment.complete("entry-1", "medlar", "shift");

    assert_eq!(lost.json["outcome"], "failed", "{}", lost.text);
    assert!(lost.json["retry_after"].as_u64().is_some(), "{}", lost.text);
}

#[test]
fn upstream_that_is_killed_in_a_stream_ends_it_with_an_explicit_error() {
    let mut deployment = with_engines(1, 100);

    let mut stream = deployment.open_stream("entry-1", "shift", TOKENS);
    stream.read_tokens(20);
    deployment.kill("engine-1");
    let streamed = stream.finish();

    let Ending::Failed(error) = &streamed.ending else { panic!("{streamed:?}") };
    assert!(error.contains("failed") && error.contains(&streamed.request_id), "{error}");
    assert!(expected("shift", Some(TOKENS)).starts_with(&streamed.text));
}

#[test]
fn upstream_that_is_killed_before_the_first_event_is_replaced_by_another() {
    let deployment = with_engines(2, 500);
    let late = json!({ "kind": "late_answer", "count": 1, "delay_ms": 60_000 });
    ["engine-1", "engine-2"].iter().for_each(|it| drop(deployment.inject_fault(it, &late)));

    let streamed = thread::scope(|scope| {
        let shared = &deployment;
        let streamed = scope.spawn(|| shared.stream("entry-1", "shift", 10));
        let has_run = |it: &&str| state(shared, it)["streams"] != 0;
        let mut running_at = None;
        wait_for("the request to reach an upstream", || {
            running_at = ["engine-1", "engine-2"].into_iter().find(has_run);
            running_at.is_some()
        });
        let running_at = running_at.expect("an upstream");
        let other = if running_at == "engine-1" { "engine-2" } else { "engine-1" };
        shared.inject_fault(other, &json!({ "kind": "clear" }));
        shared.signal(running_at, Signal::SIGKILL);
        streamed.join().expect("no panic")
    });

    assert_complete(&streamed, "shift", 10);
}

#[test]
fn caller_that_disconnects_cancels_the_work_at_the_upstream() {
    let deployment = with_engines(1, 20);

    let mut stream = deployment.open_stream("entry-1", "shift", 2_000);
    stream.read_tokens(3);
    assert_eq!(state(&deployment, "engine-1")["running"], 1);
    drop(stream);

    wait_for("the end of the work", || state(&deployment, "engine-1")["running"] == 0);
}

#[test]
fn misdelivered_and_late_answers_are_dropped_and_counted_and_each_caller_gets_its_own() {
    let deployment = with_engines(2, 500);
    for it in 0..5 {
        deployment.stream("entry-1", &format!("warm {it}"), 4);
    }
    for engine in ["engine-1", "engine-2"] {
        deployment.inject_fault(engine, &json!({ "kind": "crossed_answer", "count": 1 }));
        deployment
            .inject_fault(engine, &json!({ "kind": "late_answer", "count": 2, "delay_ms": 300 }));
    }

    let streamed = deployment.stream("entry-1", "shift one", 10);
    let unstreamed = deployment.complete("entry-1", "medlar", "shift two");

    assert_complete(&streamed, "shift one", 10);
    assert_eq!(unstreamed.status, 200, "{}", unstreamed.text);
    assert_eq!(unstreamed.json["choices"][0]["text"], expected("shift two", Some(4)));
    assert!(counter(&deployment, "entry-1", "medlarlug_crossed") >= 2);
}

#[test]
fn each_of_many_concurrent_streams_is_complete_and_its_own_despite_broken_connections() {
    // Enough slots for all streams, so that none is refused because of a long queue.
    let mut deployment = add_engines(two_regions(), 4, 200);
    deployment.upstreams.iter_mut().for_each(|it| it.slots = 32);
    let deployment = deployment.start();
    deployment.configure(items(Residency::Anywhere));
    deployment.wait_upstreams("entry-1", 4);

    let all: Vec<StreamedAnswer> = thread::scope(|scope| {
        let shared = &deployment;
        let one = |it: usize| shared.stream("entry-1", &format!("shift {it}"), 40 + it);
        let running: Vec<_> = (0..100).map(|it| scope.spawn(move || one(it))).collect();
        wait_for("streams at every engine", || {
            shared.upstreams.iter().all(|it| state(shared, &it.id)["running"] != 0)
        });
        shared.inject_fault("engine-1", &json!({ "kind": "cut_open_connections" }));
        shared.inject_fault("engine-2", &json!({ "kind": "silence_open_connections" }));
        running.into_iter().map(|it| it.join().expect("no panic")).collect()
    });

    for (it, streamed) in all.iter().enumerate() {
        assert_complete(streamed, &format!("shift {it}"), 40 + it);
    }
}

#[test]
fn engine_that_is_busy_for_a_while_is_waited_for() {
    // One prompt token per second: the head of the answer takes some seconds.
    let mut deployment = add_engines(two_regions(), 1, 200);
    deployment.upstreams[0].extra[1] = "prefill: 1".into();
    let deployment = deployment.start();
    deployment.configure(items(Residency::Anywhere));
    deployment.wait_upstreams("entry-1", 1);

    let prompt = "shift of the old grid";
    let streamed = deployment.stream("entry-1", prompt, 20);

    assert_complete(&streamed, prompt, 20);
}
