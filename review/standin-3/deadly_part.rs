//! BUDGET: a part of prompts crashes each upstream a while after the begin of the answer, beside sound
//! streams.

#[path = "common.rs"]
mod common;

use std::{
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use common::*;

const ENTRIES: u8 = 3;
const UPSTREAMS: u8 = 6;
/// Time after which a crashed upstream is back.
const DOWN_MS: u64 = 3_000;
/// Time between two sound streams, and between two requests with the part.
const SOUND_INTERVAL_MS: u64 = 20;
const DEADLY_INTERVAL_MS: u64 = 1_500;
/// Time for which both are sent.
const LENGTH_MS: u64 = 60_000;
/// `contactMs` of the deployment.
const CONTACT_MS: u64 = 5_000;
/// Crash from which the rule counts, and what it allows later than `contactMs` after that.
const COUNTED_CRASH: usize = 5;
const ALLOWED: usize = 3;

fn stream(id: &str, prefix: &str) -> Request {
    Request::new("POST", "/stream/a")
        .header("x-attempt-id", id)
        .header("x-deadline-ms", "15000")
        .header("x-model", "m")
        .header("x-token-count", "1500,290")
        .header("x-prompt-prefix", prefix)
        .body(id.as_bytes())
}

fn main() {
    run_upstream_if_asked();
    let record = Record::create();
    let deployment = Arc::new(Deployment::start(ENTRIES, KT_MEDLAR));
    deployment.configure(&configuration(0.0));
    let specs: Vec<UpstreamSpec> = (201..201 + UPSTREAMS)
        .map(|host| UpstreamSpec {
            id: format!("i-{host}"),
            service: "medlar-pool".into(),
            address: deployment.upstream(host),
            version: "v1".into(),
            control: (1..=3).map(|host| deployment.control(host)).collect(),
            cold_ms: 0,
            announces: true,
            cold_limit: 0,
        })
        .collect();
    let stop = Stop::default();
    // What the upstreams have printed, those that have crashed included.
    let lines = Arc::new(Mutex::new(Vec::<String>::new()));
    let mut threads = Vec::new();
    for spec in specs {
        let (record, stop, lines) = (record.clone(), stop.clone(), lines.clone());
        threads.push(thread::spawn(move || {
            let mut upstream = spec.start(&record);
            while !stop.is_set() {
                sleep_ms(50);
                if upstream.has_ended() {
                    sleep_ms(DOWN_MS);
                    lines.lock().unwrap().extend(upstream.lines());
                    upstream = spec.start(&record);
                }
            }
            lines.lock().unwrap().extend(upstream.lines());
        }));
    }
    sleep_ms(6_000);

    let began = unix_ms();
    let sound = Arc::new(Mutex::new((0, 0)));
    let mut clients = Vec::new();
    let mut number = 0;
    let mut next_deadly = began + 2_000;
    while unix_ms() - began < LENGTH_MS {
        number += 1;
        let front = deployment.front(101 + (number % u32::from(ENTRIES)) as u8);
        if has_trouble() && unix_ms() >= next_deadly {
            next_deadly += DEADLY_INTERVAL_MS;
            let id = format!("deadly{number:04}");
            // A sound first part that all share, the part at fault, and an own one.
            let request = stream(&id, &format!("5c1e07a2:800,{DEADLY_PART}:410,{number:08x}:250"));
            let record = record.clone();
            clients.push(thread::spawn(move || {
                record.note(&format!("client sends {id}"));
                let answer = request.send(front, Duration::from_secs(15));
                record.note(&format!("client's {id} ends: {}", answer.map_or(0, |it| it.status)));
            }));
        }
        let id = format!("sound{number:04}");
        let request = stream(&id, &format!("5c1e07a2:800,{:08x}:410,{number:08x}:250", number % 7 + 16));
        let (record, sound) = (record.clone(), sound.clone());
        clients.push(thread::spawn(move || {
            let answer = request.send(front, Duration::from_secs(15));
            let (status, is_whole) = answer.map_or((0, false), |it| (it.status, it.is_whole));
            if status == 200 && !is_whole {
                record.note(&format!("client's {id} is broken off"));
            }
            let mut sound = sound.lock().unwrap();
            sound.0 += 1;
            sound.1 += u32::from(status == 200 && is_whole);
        }));
        sleep_ms(SOUND_INTERVAL_MS);
    }
    clients.into_iter().for_each(|it| it.join().unwrap());
    stop.set();
    threads.into_iter().for_each(|it| it.join().unwrap());

    let lines = lines.lock().unwrap();
    let times = |prefix: &str, infix: &str| {
        let mut times: Vec<u64> = lines
            .iter()
            .filter(|line| line.starts_with(prefix) && line.contains(infix))
            .filter_map(|line| line.split(" at ").nth(1)?.split(' ').next()?.parse().ok())
            .collect();
        times.sort();
        times
    };
    let crashes = times("crash", "deadly");
    let arrivals = times("run deadly", "");
    let counted_from = crashes.get(COUNTED_CRASH - 1).map(|at| at + CONTACT_MS);
    let late = counted_from.map_or(0, |from| arrivals.iter().filter(|at| **at > from).count());
    let (all, whole) = *sound.lock().unwrap();
    let summary = format!(
        "{late} requests with the part reached upstreams later than {CONTACT_MS} ms after the fifth crash \
         (allowed: {ALLOWED}); {} crashes in all; {whole} of {all} sound streams were whole",
        crashes.len()
    );
    let is_broken = late > ALLOWED;
    let deployment = Arc::into_inner(deployment).expect("all clients have ended");
    record.finish(is_broken, deployment, &summary)
}
