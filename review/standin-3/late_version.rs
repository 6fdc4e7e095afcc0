//! ORDER: an upstream crashes and starts again under its id with another software version, while its
//! heartbeats arrive late.

#[path = "common.rs"]
mod common;

use std::{
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use common::*;

/// How late heartbeats arrive.
const LATE_MS: u64 = 3_000;
const STREAMS: usize = 24;
const ENTRIES: u8 = 3;
/// Time for which a client waits for its stream.
const DEADLINE: Duration = Duration::from_secs(15);
/// Times that a client takes a stream up again.
const RETRIES: usize = 3;

/// One stream over all tries of its client: the versions of its events, in order.
fn follow(deployment: &Deployment, record: &Record, number: usize) -> Vec<String> {
    let began = Instant::now();
    let first = format!("c{number:02}t0");
    let (mut last, mut versions) = (0, Vec::<String>::new());
    for attempt in 0..=RETRIES {
        let left = DEADLINE.saturating_sub(began.elapsed());
        if left < Duration::from_millis(100) {
            break;
        }
        let id = format!("c{number:02}t{attempt}");
        let front = deployment.front(101 + ((number + attempt) % usize::from(ENTRIES)) as u8);
        let mut request = Request::new("POST", "/stream/a")
            .header("x-attempt-id", &id)
            .header("x-deadline-ms", &left.as_millis().to_string());
        if last > 0 {
            request = request.header("last-event-id", &last.to_string()).header("resumes", &first);
        }
        record.note(&format!("client sends {id} to {front}, has events up to {last}"));
        let mut events = Events::default();
        let answer = request.body(b"explain").send_with(front, left, |part| {
            for (event, data) in events.push(part) {
                let version = data.split(' ').nth(1).unwrap_or_default().to_string();
                if versions.last() != Some(&version) {
                    record.note(&format!("client gets event {event} of {id} from version {version}"));
                    versions.push(version);
                }
                last = event;
            }
            true
        });
        let (status, is_whole, wait) = answer.map_or((0, false, 0.0), |it| {
            (it.status, it.is_whole, it.header("retry-after").parse().unwrap_or(0.3))
        });
        record.note(&format!("client's {id} ends: status {status}, whole {is_whole}, last event {last}"));
        if status == 200 && is_whole {
            break;
        }
        // The next try comes after the time that the refusal names, and later each time.
        let pause = f64::max(wait, 0.5 * f64::from(1 << attempt));
        thread::sleep(Duration::from_secs_f64(pause).min(left / 3));
    }
    versions
}

fn main() {
    run_upstream_if_asked();
    let record = Record::create();
    let deployment = Arc::new(Deployment::start(ENTRIES, KT_MEDLAR));
    deployment.configure(&configuration(2.7));
    let controls: Vec<_> = (1..=3).map(|host| deployment.control(host)).collect();
    let proxy = LateProxy::start(&controls);
    let spec = |host: u8, version: &str, cold_ms: u64| UpstreamSpec {
        id: format!("i-{host}"),
        service: "medlar-pool".into(),
        address: deployment.upstream(host),
        version: version.into(),
        control: proxy.addresses.clone(),
        cold_ms,
        announces: true,
        cold_limit: 0,
    };
    let mut first = spec(201, "v1", 0).start(&record);
    let second = spec(202, "v2", 0).start(&record);
    sleep_ms(6_000);

    if has_trouble() {
        record.note(&format!("disruption: heartbeats arrive {LATE_MS} ms late from now on"));
        proxy.set_delay(LATE_MS);
        sleep_ms(4_000);
    }
    let results = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (deployment, record, results) = (deployment.clone(), record.clone(), results.clone());
            sleep_ms(20);
            thread::spawn(move || {
                let versions = follow(&deployment, &record, number);
                results.lock().unwrap().push((number, versions));
            })
        })
        .collect();
    sleep_ms(1_500);
    record.note("upstream i-201 crashes");
    first.crash();
    sleep_ms(1_000);
    record.note("upstream i-201 starts again with its id, its software is v2 now");
    let reborn = spec(201, "v2", 3_000).start(&record);
    clients.into_iter().for_each(|it| it.join().unwrap());
    drop((reborn, second));

    let results = results.lock().unwrap();
    let mixed: Vec<String> = results
        .iter()
        .filter(|it| it.1.len() > 1)
        .map(|(number, versions)| format!("c{number:02}: {}", versions.join(" then ")))
        .collect();
    let began = results.iter().filter(|it| it.1.first().is_some_and(|it| it == "v1")).count();
    let summary = format!(
        "{} of {STREAMS} streams hold events of two software versions ({began} began at v1); allowed: 2. {}",
        mixed.len(),
        mixed.join(", ")
    );
    let is_broken = mixed.len() > 2;
    if std::env::var("KEEP_LOGS").is_ok() {
        for line in deployment.log_lines(&["caller resumes", "upstream changed", "all connections"]) {
            record.note(&line);
        }
    }
    let deployment = Arc::into_inner(deployment).expect("all clients have ended");
    record.finish(is_broken, deployment, &summary)
}
