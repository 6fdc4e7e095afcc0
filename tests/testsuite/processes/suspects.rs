//! A request that crashes upstreams, sent repeatedly through instances of two regions.

use std::thread;

use medlarlug::standin::answer::expected;
use medlarlug_core::release::item::Residency;
use test_support::deployment::{Deployment, Reply, call, wait_for};

use crate::processes::fixture::{items, two_regions};

/// Upstreams that one content may crash where an upstream is free to run it alone.
const MAX_CRASHED_UPSTREAMS: usize = 2;

/// Upstreams that one message may crash in requests that all differ: the second request shows that not
/// the first one as a whole is at fault.
const MAX_CRASHED_BY_MESSAGE: usize = MAX_CRASHED_UPSTREAMS + 1;

/// A prompt that crashes the engines of these tests.
const CRASHING: &str = "CRASH-ME now";
/// A prompt that crashes them while they write the answer.
const CRASHING_LATE: &str = "CRASH-LATER";

/// Three engines in each of two regions; each crashes on a prompt with the crash marker.
fn deployment() -> Deployment {
    let zones = ["riga-a", "liepaja-a"];
    let mut deployment = (1..=6).fold(two_regions(), |it, number| {
        it.engine(&format!("engine-{number}"), zones[(number - 1) / 3], "medlar")
    });
    deployment.upstreams.iter_mut().for_each(|it| it.extra.push("crash_marker: true".into()));
    let deployment = deployment.start();
    deployment.configure(items(Residency::Anywhere));
    ["entry-1", "entry-2"].iter().for_each(|it| deployment.wait_upstreams(it, 3));
    deployment
}

fn crashed_upstreams(deployment: &Deployment) -> usize {
    let is_down =
        |address| call("GET", address, "/state", &[], "").json["down"] != serde_json::json!(false);
    deployment.upstreams.iter().filter(|it| is_down(it.control)).count()
}

fn is_quarantined_at(deployment: &Deployment, entry: &str) -> bool {
    deployment.operator_get(entry, "/dump").json["process"]["quarantines"] == 1
}

/// Sends the crashing request `times` times, alternating between the two instances.
fn send_crashing(deployment: &Deployment, times: usize) -> Vec<Reply> {
    let entries = ["entry-1", "entry-2"];
    (0..times).map(|it| deployment.complete(entries[it % 2], "medlar", CRASHING)).collect()
}

fn assert_refused_as_failed(reply: &Reply) {
    assert_eq!(reply.json["outcome"], "failed", "{} {}", reply.status, reply.text);
    assert!(reply.json["retry_after"].is_u64(), "{}", reply.text);
}

#[test]
fn crashing_request_crashes_no_more_upstreams_than_stated_and_is_then_refused_everywhere() {
    let deployment = deployment();

    let first = deployment.complete("entry-1", "medlar", CRASHING);
    wait_for("the quarantine at both instances", || {
        ["entry-1", "entry-2"].iter().all(|it| is_quarantined_at(&deployment, it))
    });
    let later = send_crashing(&deployment, 10);

    assert_refused_as_failed(&first);
    later.iter().for_each(assert_refused_as_failed);
    assert!(later.iter().all(|it| it.json["type"] == "quarantined"), "{:?}", later[0].text);
    assert!(
        crashed_upstreams(&deployment) <= MAX_CRASHED_UPSTREAMS,
        "{} upstreams crashed",
        crashed_upstreams(&deployment)
    );
}

#[test]
fn other_requests_beside_a_crashing_one_are_answered_or_cleared() {
    let deployment = deployment();
    let prompts: Vec<String> = (0..60).map(|it| format!("unrelated {it}")).collect();
    let shared = &deployment;
    let send = move |entry: &str, prompt: &str| shared.complete(entry, "medlar", prompt);

    let during: Vec<Reply> = thread::scope(|scope| {
        let chunks = prompts.chunks(10).map(|chunk| {
            scope.spawn(move || chunk.iter().map(|it| send("entry-1", it)).collect::<Vec<_>>())
        });
        let running: Vec<_> = chunks.collect();
        let crashing = send("entry-1", CRASHING);
        assert_refused_as_failed(&crashing);
        running.into_iter().flat_map(|it| it.join().expect("no panic")).collect()
    });
    let after: Vec<Reply> = prompts.iter().map(|it| send("entry-1", it)).collect();

    for (prompt, reply) in prompts.iter().zip(&during) {
        let is_own = reply.json["choices"][0]["text"] == expected(prompt, Some(4));
        assert!(is_own || reply.json["outcome"].is_string(), "{} {}", reply.status, reply.text);
    }
    for (prompt, reply) in prompts.iter().zip(&after) {
        assert_eq!(reply.status, 200, "{}", reply.text);
        assert_eq!(reply.json["choices"][0]["text"], expected(prompt, Some(4)));
    }
    assert!(
        crashed_upstreams(&deployment) <= MAX_CRASHED_UPSTREAMS + 1,
        "{} upstreams crashed",
        crashed_upstreams(&deployment)
    );
}

/// Sends a chat request; the last message differs between requests.
fn send_chat(deployment: &Deployment, entry: &str, messages: &[&str], stream: bool) -> Reply {
    let messages: Vec<_> =
        messages.iter().map(|it| serde_json::json!({ "role": "user", "content": it })).collect();
    let body = serde_json::json!({
        "model": "medlar", "messages": messages, "max_tokens": 4, "stream": stream
    });
    deployment.caller_request(entry, "POST", "/v1/chat/completions", &[], &body.to_string())
}

/// Sends requests that share a message which crashes upstreams, and sound ones. Asserts that no more
/// upstreams crash than stated.
fn assert_message_contained(message: &str, stream: bool) {
    let deployment = deployment();
    let entries = ["entry-1", "entry-2"];

    let crashing: Vec<Reply> = (0..10)
        .map(|it| {
            let last = format!("question {it}");
            send_chat(&deployment, entries[it % 2], &["be brief", message, &last], stream)
        })
        .collect();
    let sound = entries.map(|it| send_chat(&deployment, it, &["be brief", "a question"], stream));

    let is_whole = |it: &Reply| it.status == 200 && (!stream || it.text.contains("[DONE]"));
    assert!(!crashing.iter().any(is_whole));
    assert!(
        crashed_upstreams(&deployment) <= MAX_CRASHED_BY_MESSAGE,
        "{} upstreams crashed",
        crashed_upstreams(&deployment)
    );
    for reply in sound {
        assert!(is_whole(&reply), "{} {}", reply.status, reply.text);
    }
}

#[test]
fn different_requests_with_one_crashing_message_crash_no_more_upstreams_than_stated() {
    assert_message_contained(CRASHING, false);
}

/// Guards against the failure that the first event of a stream counted as proof that its prompt is sound.
#[test]
fn message_that_crashes_upstreams_as_they_write_crashes_no_more_of_them_than_stated() {
    assert_message_contained(CRASHING_LATE, true);
}
