//! A server crashes and comes back cold under the same id, and its first heartbeat is late.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict, configuration,
    deployment::Deployment,
    http::{self, Request},
    record::Record,
    server::{Server, Work},
};

/// Entry instances of the region.
const ENTRIES: [u8; 3] = [150, 151, 152];
/// Servers of the region; one of them crashes, which is a share of 0.25.
const SERVERS: u16 = 4;
/// Time for which it is down: `srv_crash` of the site, for_s = 2.0.
const DOWN_TIME: Duration = Duration::from_secs(2);
/// `coldStartS`.
const COLD_TIME: Duration = Duration::from_secs(3);
/// `coldPerS` x `coldOverage` + `coldSlack`: requests that a cold server may get in a second.
const ALLOWED: f64 = 2.7 * 1.5 + 3.0;
/// Requests a second: the 44.8 of the site's zone riga-a, 1.4 times (its shape goes up to 2.3 times).
const RATE: f64 = 62.7;
/// Time for which clients send.
const SENDING_TIME: Duration = Duration::from_secs(3);
/// Time without requests before the crash.
const LULL: Duration = Duration::from_secs(2);
/// Events of an answer, and the time between two of them.
const EVENTS: usize = 58;
const EVENT_INTERVAL: Duration = Duration::from_millis(60);
/// Crashes, one after another.
const ROUNDS: u16 = 3;

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let deployment = Deployment::start(record, &ENTRIES);
    let work = Work { events: Some((EVENTS, EVENT_INTERVAL)), slots: 128, ..Work::default() };
    let servers: Vec<_> = (1..=SERVERS)
        .map(|number| Server::start(&deployment, record, number, "riga-b", work))
        .collect();
    let configure = Request::new("PUT", "/config").with_body(configuration::document(1, 8));
    let second = Duration::from_secs(1);
    assert!(deployment.order(&configure, 1, second, 20 * second), "a configuration is accepted");
    ENTRIES.into_iter().for_each(|entry| deployment.wait_until_ready(entry));
    thread::sleep(8 * second);
    for round in 0..ROUNDS {
        send_requests(record, &deployment, &format!("before-{round}"));
        thread::sleep(LULL);
        let server = &servers[usize::from(round)];
        server.crash();
        thread::sleep(DOWN_TIME);
        server.restart(&deployment, COLD_TIME, has_trouble);
        thread::sleep(Duration::from_millis(50));
        send_requests(record, &deployment, &format!("after-{round}"));
        let arrivals = server.cold_arrivals();
        let most = most_in_a_second(&arrivals);
        record.note(&format!(
            "server {}: {} requests while cold, {most} in some second, {ALLOWED} allowed",
            server.id,
            arrivals.len()
        ));
        if most as f64 > ALLOWED {
            deployment.stop();
            return Verdict::Broken;
        }
        thread::sleep(3 * second);
    }
    deployment.stop();
    Verdict::Held
}

/// Largest number of arrivals within one second.
fn most_in_a_second(arrivals: &[Instant]) -> usize {
    let counts = arrivals.iter().map(|begin| {
        let within = |it: &&Instant| **it >= *begin && **it - *begin < Duration::from_secs(1);
        arrivals.iter().filter(within).count()
    });
    counts.max().unwrap_or(0)
}

/// Sends questions to the entry instances in turn, at the rate.
fn send_requests(record: &Record, deployment: &Deployment, name: &str) {
    let began = Instant::now();
    let mut clients = Vec::new();
    for number in 0_u32.. {
        let due = Duration::from_secs_f64(f64::from(number) / RATE);
        if due >= SENDING_TIME {
            break;
        }
        thread::sleep((began + due).saturating_duration_since(Instant::now()));
        let to = deployment.front(ENTRIES[number as usize % ENTRIES.len()]);
        let request = Request::new("POST", format!("{}{name}-{number}", configuration::QUESTION))
            .with_header("Host", configuration::HOST)
            .with_header("X-Attempt-Id", format!("{name}-{number}"))
            .with_header("X-Deadline-Ms", "15000");
        clients.push(thread::spawn(move || {
            let answer = http::call(to, &request, Duration::from_secs(15));
            answer.map_or_else(|error| error.to_string(), |it| it.status.to_string())
        }));
    }
    let mut counts: Vec<(String, usize)> = Vec::new();
    for client in clients {
        let result = client.join().expect("a client");
        match counts.iter_mut().find(|it| it.0 == result) {
            Some(count) => count.1 += 1,
            None => counts.push((result, 1)),
        }
    }
    record.note(&format!("clients: {name}: answers {counts:?}"));
}
