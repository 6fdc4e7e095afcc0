//! FAILBACK: a heartbeat of another writer lacks fields, and makes a cold upstream count as warm.

#[path = "common.rs"]
mod common;

use std::{sync::Arc, thread, time::Duration};

use common::*;

const ENTRIES: u8 = 3;
const CLIENTS: usize = 12;
/// Time between two requests of a client.
const PAUSE_MS: u64 = 80;
const COLD_MS: u64 = 3_000;
/// `coldPerS`, `coldOverage` and `coldSlack` of the deployment.
const COLD_LIMIT: f64 = 2.7 * 1.5 + 3.0;
/// Requests in a second above which the cold upstream crashes: twice what the rule allows.
const CRASH_LIMIT: u64 = 14;

/// Id of a request, when it was sent, and the status of its answer (0 for none).
type Sent = (String, u64, u16);

/// Sends bookings until it is stopped.
fn send_requests(
    deployment: &Deployment,
    record: &Record,
    stop: &Stop,
    client: usize,
) -> Vec<Sent> {
    let mut sent = Vec::new();
    for number in 0.. {
        if stop.is_set() {
            break;
        }
        let id = format!("c{client:02}n{number:03}");
        let front = deployment.front(101 + ((client + number) % usize::from(ENTRIES)) as u8);
        let sent_at = unix_ms();
        let request = Request::new("POST", "/once/a")
            .header("x-attempt-id", &id)
            .header("x-deadline-ms", "2500")
            .body(b"booking");
        let answer = request.send(front, Duration::from_millis(2_500));
        let status = answer.map_or(0, |it| it.status);
        record.note(&format!("client's {id} is answered {status}"));
        sent.push((id, sent_at, status));
        sleep_ms(PAUSE_MS);
    }
    sent
}

fn main() {
    run_upstream_if_asked();
    let record = Record::create();
    let deployment = Arc::new(Deployment::start(ENTRIES, KT_MEDLAR));
    deployment.configure(&configuration(2.7));
    // The view of the entry instances settles.
    sleep_ms(5_000);
    let spec = UpstreamSpec {
        id: "i-201".into(),
        service: "medlar-pool".into(),
        address: deployment.upstream(201),
        version: "v1".into(),
        control: (1..=3).map(|host| deployment.control(host)).collect(),
        cold_ms: COLD_MS,
        announces: true,
        cold_limit: CRASH_LIMIT,
    };
    let upstream = spec.start(&record);
    let cold_until = upstream.born + COLD_MS;
    sleep_ms(300);
    if has_trouble() {
        // `version`, `slots`, `coldRemainingMs`, `stage` and `models` are missing.
        let body = format!(
            r#"{{"service":"medlar-pool","address":"{}","zone":"riga-a","state":"ready","seq":2,"born":{}}}"#,
            spec.address, upstream.born
        );
        record.note(&format!("disruption: another writer sends for i-201: {body}"));
        let request = Request::new("PUT", "/instances/i-201").body(body.as_bytes());
        let answer = request.send(deployment.control(2), Duration::from_secs(1));
        record.note(&format!("it is answered {}", answer.map_or(0, |it| it.status)));
    }
    let stop = Stop::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (deployment, record, stop) = (deployment.clone(), record.clone(), stop.clone());
            sleep_ms(7);
            thread::spawn(move || send_requests(&deployment, &record, &stop, client))
        })
        .collect();
    sleep_ms(COLD_MS + 500);
    stop.set();
    let sent: Vec<Sent> = clients.into_iter().flat_map(|it| it.join().unwrap()).collect();

    // Requests that reached it while it was cold, with the times at which they were sent and arrived.
    let lines = upstream.lines();
    let mut cold: Vec<(u64, u64)> = Vec::new();
    for line in &lines {
        let words: Vec<&str> = line.split(' ').collect();
        if let ["run", id, "at", at, "cold", "true", ..] = words[..] {
            let at: u64 = at.parse().unwrap();
            if let Some(sent) = sent.iter().find(|it| it.0 == id).filter(|_| at < cold_until) {
                cold.push((sent.1, at));
            }
        }
    }
    cold.sort();
    let most = cold
        .iter()
        .map(|first| cold.iter().filter(|it| it.0 >= first.0 && it.1 < first.0 + 1_000).count())
        .max()
        .unwrap_or(0);
    let has_run = |id: &str| lines.iter().any(|line| line.starts_with(&format!("run {id} ")));
    let lost = sent.iter().filter(|it| has_run(&it.0) && !matches!(it.2, 200..=299)).count();
    let has_crashed = lines.iter().any(|line| line.starts_with("crash"));
    let summary = format!(
        "the cold upstream got {most} requests in one second ({} in all while it was cold); allowed: \
         {COLD_LIMIT:.2}. It crashed of them: {has_crashed}; bookings that it had begun and whose clients \
         got no success: {lost}",
        cold.len()
    );
    drop(upstream);
    let deployment = Arc::into_inner(deployment).expect("all clients have ended");
    record.finish(most as f64 > COLD_LIMIT, deployment, &summary)
}
