//! CONFIG: an upstream crashes while streams whose prompts have many parts are in flight, and the entry
//! instance stands still.

#[path = "common.rs"]
mod common;

use std::{
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use common::*;

/// `maxHeaderBytes` of the configuration.
const MAX_HEADER_BYTES: usize = 16_384;
/// Length of the head without the list of parts, and a reserve.
const OTHER_HEADER_BYTES: usize = 484;
/// Streams in flight, at this many upstreams.
const STREAMS: u32 = 64;
const UPSTREAMS: u8 = 4;
/// Ordinary clients, which send bookings, and for how long each waits for an answer.
const CLIENTS: usize = 8;
const DEADLINE_MS: u64 = 4_000;
/// `timeoutMs` of their route, and the time that the rule allows beyond it.
const TIMEOUT_MS: u64 = 2_500;
const ALLOWED_MS: u64 = 500;
/// Number of late requests from which on the rule applies.
const MIN_LATE: usize = 8;
/// Time for which bookings are sent after the crash.
const LENGTH_MS: u64 = 25_000;

/// The parts of the prompt of one stream: each is a text of its own, as of a search for that prompt.
fn parts(stream: u32) -> String {
    let mut list = String::new();
    for part in 0.. {
        // Ids are spread over the whole range, as hashes are.
        let id = (stream * 4_096 + part).wrapping_mul(2_654_435_761);
        let entry = format!("{id:08x}:1");
        if list.len() + entry.len() + 1 > MAX_HEADER_BYTES - OTHER_HEADER_BYTES {
            return list;
        }
        if !list.is_empty() {
            list.push(',');
        }
        list.push_str(&entry);
    }
    list
}

fn main() {
    run_upstream_if_asked();
    let record = Record::create();
    let mut deployment = Deployment::start(2, KT_MEDLAR);
    deployment.configure(&configuration(2.7));
    let mut upstreams: Vec<Upstream> = (201..201 + UPSTREAMS)
        .map(|host| {
            UpstreamSpec {
                id: format!("i-{host}"),
                service: "medlar-pool".into(),
                address: deployment.upstream(host),
                version: "v1".into(),
                control: (1..=3).map(|host| deployment.control(host)).collect(),
                cold_ms: 0,
                announces: true,
                cold_limit: 0,
            }
            .start(&record)
        })
        .collect();
    sleep_ms(6_000);

    let (front, readiness) = (deployment.front(101), deployment.readiness(101));
    let mut threads = Vec::new();
    for stream in 0..STREAMS {
        let record = record.clone();
        threads.push(thread::spawn(move || {
            let (id, list) = (format!("s{stream:03}"), parts(stream));
            let count = list.split(',').count();
            record.note(&format!("client sends {id}, its prompt has {count} parts"));
            let answer = Request::new("POST", "/stream/a")
                .header("x-attempt-id", &id)
                .header("x-deadline-ms", "15000")
                .header("x-model", "m")
                .header("x-token-count", &format!("{count},290"))
                .header("x-prompt-prefix", &list)
                .body(b"explain")
                .send(front, Duration::from_secs(15));
            let end = answer.map_or((0, false), |it| (it.status, it.is_whole));
            record.note(&format!("client's {id} ends: status {}, whole {}", end.0, end.1));
        }));
        sleep_ms(10);
    }
    sleep_ms(500);
    if has_trouble() {
        record.note("disruption: upstream i-201 crashes");
        upstreams[0].crash();
    }
    let began = unix_ms();
    // For each booking, the time until its answer, if one came.
    let bookings = Arc::new(Mutex::new(Vec::<Option<u64>>::new()));
    for client in 0..CLIENTS {
        let (record, bookings) = (record.clone(), bookings.clone());
        threads.push(thread::spawn(move || {
            for number in 0.. {
                if unix_ms() - began > LENGTH_MS {
                    break;
                }
                let id = format!("c{client}n{number:03}");
                let sent_at = unix_ms();
                let request = Request::new("POST", "/once/a")
                    .header("x-attempt-id", &id)
                    .header("x-deadline-ms", &DEADLINE_MS.to_string())
                    .body(b"booking");
                let answer = request.send(front, Duration::from_millis(DEADLINE_MS));
                let took = unix_ms() - sent_at;
                let status = answer.map_or(0, |it| it.status);
                record.note(&format!("booking {id} is answered {status} after {took} ms"));
                bookings.lock().unwrap().push((status > 0).then_some(took));
                sleep_ms(500);
            }
        }));
    }
    while unix_ms() - began < LENGTH_MS {
        let answer = Request::new("GET", "/readyz").send(readiness, Duration::from_secs(1));
        record.note(&format!("GET /readyz is answered {}", answer.map_or(0, |it| it.status)));
        sleep_ms(1_000);
    }
    threads.into_iter().for_each(|it| it.join().unwrap());
    let bookings = bookings.lock().unwrap();
    let later_than = |ms: u64| bookings.iter().filter(|it| it.is_none_or(|took| took > ms)).count();
    let (late, too_late) = (later_than(TIMEOUT_MS), later_than(TIMEOUT_MS + ALLOWED_MS));
    let never = bookings.iter().filter(|it| it.is_none()).count();
    let all_run = deployment.all_run();
    let is_broken = (too_late >= MIN_LATE && 2 * too_late > late) || !all_run;
    let summary = format!(
        "{late} of {} bookings had no answer at their route's timeout, {too_late} of these none {ALLOWED_MS} \
         ms later (allowed: half), {never} none after {DEADLINE_MS} ms; all processes run: {all_run}",
        bookings.len(),
    );
    drop(upstreams);
    record.finish(is_broken, deployment, &summary)
}
