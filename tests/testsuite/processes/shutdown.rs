//! Shutdown of entry instances: withdrawal from the directory, drain, and a rolling restart under load.

use std::{
    io::{Read, Write},
    net::TcpStream,
    sync::atomic::{AtomicBool, AtomicUsize, Ordering},
    thread,
};

use medlarlug::standin::answer::expected;
use medlarlug_core::release::item::Residency;
use nix::sys::signal::Signal;
use serde_json::{Value, json};
use test_support::{
    caller::{Caller, Outcome, directory_entries},
    deployment::{CALLER_KEY, CONDITION_TIMEOUT, Deployment, wait_for},
    stream::Ending,
};

use crate::processes::fixture::{add_engines, assert_complete, items, two_regions};

const ENTRIES: [&str; 3] = ["entry-1", "entry-2", "entry-3"];

/// Requests that all callers together send at least during the rolling restart.
const MIN_REQUESTS: usize = 10_000;

/// Concurrent callers during the rolling restart.
const CALLERS: usize = 12;

/// Tokens of each answer during the rolling restart.
const TOKENS: usize = 4;

/// Two entry instances in riga-a and one in liepaja-a, with engines in riga-a.
fn deployment(engines: usize, speed: u32) -> Deployment {
    let deployment = add_engines(two_regions().entry("entry-3", "riga-a"), engines, speed).start();
    deployment.configure(items(Residency::Anywhere));
    ["entry-1", "entry-3"].iter().for_each(|it| deployment.wait_upstreams(it, engines));
    wait_listed(&deployment, &ENTRIES);
    deployment
}

/// Whether the directory of `asked` lists `entry`.
fn is_listed(deployment: &Deployment, asked: &str, entry: &str) -> bool {
    let document = deployment.caller_request(asked, "GET", "/v1/entries", &[], "").json;
    directory_entries(&document).contains(&deployment.get(entry).callers)
}

/// Waits until all of `entries` are ready and listed in the directory of each.
///
/// While no instance is ready the directory lists all of them, so being listed does not prove readiness.
fn wait_listed(deployment: &Deployment, entries: &[&str]) {
    wait_for("readiness", || {
        let dump = |it| deployment.operator_get(it, "/dump").json["process"].clone();
        entries.iter().all(|it| dump(it)["limits_settled"] == true)
    });
    wait_for("the instances in every directory", || {
        let is_everywhere = |it: &&str| entries.iter().all(|by| is_listed(deployment, by, it));
        entries.iter().all(is_everywhere)
    });
}

#[test]
fn stopping_instance_is_withdrawn_completes_every_request_and_exits_successfully() {
    let mut deployment = deployment(2, 100);
    let mut open: Vec<_> =
        (0..10).map(|it| deployment.open_stream("entry-1", &format!("shift {it}"), 200)).collect();
    open.iter_mut().for_each(|it| it.read_tokens(1));

    deployment.signal("entry-1", Signal::SIGTERM);
    wait_for("the withdrawal", || {
        ["entry-2", "entry-3"].iter().all(|it| !is_listed(&deployment, it, "entry-1"))
    });
    let refused = deployment.complete("entry-1", "medlar", "late");
    let streamed: Vec<_> = open.into_iter().map(|it| it.finish()).collect();

    assert_eq!(refused.json["type"], "leaving", "{}", refused.text);
    assert_eq!(refused.json["outcome"], "not_run", "{}", refused.text);
    for (it, streamed) in streamed.iter().enumerate() {
        assert_complete(streamed, &format!("shift {it}"), 200);
    }
    assert!(deployment.wait_exit("entry-1"));
}

#[test]
fn body_that_arrives_after_the_drain_has_started_is_refused_as_not_run() {
    let mut deployment = deployment(1, 500);
    let body = json!({ "model": "medlar", "prompt": "shift", "max_tokens": 4 }).to_string();
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {CALLER_KEY}\r\n\
         expect: 100-continue\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let address = deployment.get("entry-1").callers;
    let mut stream = TcpStream::connect(address).expect("a listening port");
    stream.set_read_timeout(Some(CONDITION_TIMEOUT)).expect("a valid timeout");
    stream.write_all(head.as_bytes()).expect("an open connection");
    // The interim answer shows that the instance waits for the body.
    let mut interim = [0; "HTTP/1.1 100 Continue\r\n\r\n".len()];
    stream.read_exact(&mut interim).expect("the interim answer");

    deployment.signal("entry-1", Signal::SIGTERM);
    wait_for("the withdrawal", || !is_listed(&deployment, "entry-2", "entry-1"));
    stream.write_all(body.as_bytes()).expect("an open connection");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("a complete answer");

    assert!(answer.contains("\"type\":\"leaving\""), "{answer}");
    assert!(answer.contains("\"outcome\":\"not_run\""), "{answer}");
    assert!(deployment.wait_exit("entry-1"));
}

#[test]
fn answer_that_its_caller_reads_slowly_is_complete_although_the_instance_stops() {
    let mut deployment = deployment(1, 2_000);
    let mut stream = deployment.open_stream("entry-1", "shift", 4_000);
    stream.read_tokens(1);

    deployment.signal("entry-1", Signal::SIGTERM);
    thread::sleep(std::time::Duration::from_secs(3));
    let streamed = stream.finish();

    assert_complete(&streamed, "shift", 4_000);
    assert!(deployment.wait_exit("entry-1"));
}

#[test]
fn drain_deadline_ends_remaining_requests_with_an_explicit_error() {
    let mut deployment = deployment(1, 20);
    deployment.append_settings("entry-3", "drain_seconds: 1\n");
    deployment.kill("entry-3");
    deployment.start_process("entry-3");
    wait_listed(&deployment, &ENTRIES);
    deployment.wait_upstreams("entry-3", 1);
    let mut stream = deployment.open_stream("entry-3", "shift", 2_000);
    stream.read_tokens(3);

    deployment.signal("entry-3", Signal::SIGTERM);
    let streamed = stream.finish();

    let Ending::Failed(error) = &streamed.ending else { panic!("{streamed:?}") };
    assert!(error.contains("leaving") && error.contains("failed"), "{error}");
    assert!(deployment.wait_exit("entry-3"));
}

#[test]
fn second_signal_stops_the_instance_at_once() {
    let mut deployment = deployment(1, 20);
    let mut stream = deployment.open_stream("entry-1", "shift", 2_000);
    stream.read_tokens(3);

    deployment.signal("entry-1", Signal::SIGTERM);
    wait_for("the withdrawal", || !is_listed(&deployment, "entry-3", "entry-1"));
    deployment.signal("entry-1", Signal::SIGTERM);
    let streamed = stream.finish();

    assert_eq!(streamed.ending, Ending::Truncated);
    assert!(!deployment.wait_exit("entry-1"));
}

/// Sends requests until [`MIN_REQUESTS`] were sent and the restarts are over; returns the outcomes other
/// than the expected answer.
fn send_load(
    mut caller: Caller,
    number: usize,
    sent: &AtomicUsize,
    is_over: &AtomicBool,
) -> Vec<String> {
    let mut faults = Vec::new();
    for it in 0.. {
        let is_enough = sent.fetch_add(1, Ordering::Relaxed) >= MIN_REQUESTS;
        if is_enough && is_over.load(Ordering::Relaxed) {
            break;
        }
        let (prompt, stream) = (format!("shift {number} {it}"), it % 10 == 0);
        match caller.complete(&prompt, TOKENS, stream) {
            Outcome::Answered(body)
                if text_of(&body, stream) == expected(&prompt, Some(TOKENS)) => {}
            other => faults.push(format!("{other:?}")),
        }
    }
    faults
}

/// The generated text of an answer; empty for a stream without its terminal event.
fn text_of(body: &str, stream: bool) -> String {
    let text = |data: &str| {
        let chunk: Value = serde_json::from_str(data).unwrap_or_default();
        chunk["choices"][0]["text"].as_str().unwrap_or_default().to_owned()
    };
    match stream {
        false => text(body),
        true if body.trim_end().ends_with("data: [DONE]") => {
            body.lines().filter_map(|it| it.strip_prefix("data: ")).map(text).collect()
        }
        true => String::new(),
    }
}

#[test]
fn rolling_restart_of_all_entry_instances_aborts_no_request() {
    let mut deployment = deployment(4, 500);
    let callers: Vec<Caller> = (0..CALLERS).map(|_| Caller::new(&deployment)).collect();
    let (sent, is_over) = (AtomicUsize::new(0), AtomicBool::new(false));

    let faults: Vec<String> = thread::scope(|scope| {
        let (sent, is_over) = (&sent, &is_over);
        let callers = callers.into_iter().enumerate();
        let callers: Vec<_> = callers
            .map(|(it, caller)| scope.spawn(move || send_load(caller, it, sent, is_over)))
            .collect();
        for entry in ENTRIES {
            deployment.signal(entry, Signal::SIGTERM);
            assert!(deployment.wait_exit(entry), "{entry} did not exit successfully");
            deployment.start_process(entry);
            wait_listed(&deployment, &ENTRIES);
        }
        is_over.store(true, Ordering::Relaxed);
        callers.into_iter().flat_map(|it| it.join().expect("no panic")).collect()
    });

    assert_eq!(faults, Vec::<String>::new());
}
