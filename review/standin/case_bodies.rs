//! Clients send requests of the longest length that the configuration allows, and their rate rises as
//! in a `burst` of the site.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict, configuration,
    deployment::{Deployment, EDGE_MEMORY_MB},
    http::{self, Request},
    record::Record,
    server::{Server, Work},
};

/// Entry instances, each of which gets its share of the site's requests.
const ENTRIES: [u8; 2] = [150, 151];
/// Length of a request: the configuration allows 4,194,304 bytes.
const BODY_BYTES: usize = 4_000_000;
/// Requests a second at one entry instance: 53 a second of `point-query`, at 7 machines.
const RATE: f64 = 53.0 / 7.0;
/// The largest `burst` of the site for this kind of request: x = 2.5, for 10 s.
const BURST_FACTOR: f64 = 2.5;
const BURST_TIME: Duration = Duration::from_secs(10);
const BURSTS: usize = 3;
/// Time between two bursts.
const PAUSE: Duration = Duration::from_secs(8);
/// `X-Deadline-Ms` of the kind of request.
const DEADLINE: Duration = Duration::from_secs(15);
/// Events of an answer, and the time between two of them.
const EVENTS: usize = 58;
const EVENT_INTERVAL: Duration = Duration::from_millis(70);

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let deployment = Deployment::start(record, &ENTRIES);
    let work = Work { events: Some((EVENTS, EVENT_INTERVAL)), slots: 128, ..Work::default() };
    let _servers: Vec<_> =
        (1..=4).map(|number| Server::start(&deployment, record, number, "riga-b", work)).collect();
    let configure = Request::new("PUT", "/config").with_body(configuration::document(1, 8));
    let second = Duration::from_secs(1);
    assert!(deployment.order(&configure, 1, second, 20 * second), "a configuration is accepted");
    ENTRIES.into_iter().for_each(|entry| deployment.wait_until_ready(entry));
    thread::sleep(5 * second);
    let counts = Arc::new([const { AtomicUsize::new(0) }; 3]);
    let mut clients = Vec::new();
    for burst in 0..BURSTS {
        record.note(&format!("clients: burst {burst} begins"));
        let rate = if has_trouble { RATE * BURST_FACTOR } else { RATE };
        let (began, mut number) = (Instant::now(), 0);
        while began.elapsed() < BURST_TIME {
            for entry in ENTRIES {
                let (counts, to) = (counts.clone(), deployment.front(entry));
                let id = format!("burst-{burst}-{entry}-{number}");
                clients.push(thread::spawn(move || send(to, &id, &counts)));
            }
            number += 1;
            let next = began + Duration::from_secs_f64(f64::from(number) / rate);
            thread::sleep(next.saturating_duration_since(Instant::now()));
        }
        note_memory(record, &deployment);
        thread::sleep(PAUSE);
    }
    clients.into_iter().for_each(|client| client.join().expect("a client"));
    deployment.stop();
    let ends = note_memory(record, &deployment);
    let [whole, refused, lost] = [0, 1, 2].map(|at: usize| counts[at].load(Ordering::Relaxed));
    record.note(&format!(
        "clients: {whole} whole answers, {refused} refused, {lost} without an answer or with a cut one"
    ));
    if ends.into_iter().all(|ends| ends >= 3) { Verdict::Broken } else { Verdict::Held }
}

/// Notes the memory of the entry instances; returns how often each has ended.
fn note_memory(record: &Record, deployment: &Deployment) -> [usize; 2] {
    let ends = ENTRIES.map(|entry| deployment.own_ends(entry));
    record.note(&format!(
        "entry instances: peak memory {:?} MB of {EDGE_MEMORY_MB} MB; ended {ends:?} times by that",
        ENTRIES.map(|entry| deployment.peak_mb(entry))
    ));
    ends
}

/// Sends a request and counts its result: a whole answer, a refusal, or neither.
fn send(to: std::net::SocketAddr, id: &str, counts: &[AtomicUsize; 3]) {
    let request = Request::new("POST", format!("{}{id}", configuration::QUESTION))
        .with_header("Host", configuration::HOST)
        .with_header("X-Attempt-Id", id)
        .with_header("X-Deadline-Ms", DEADLINE.as_millis().to_string())
        .with_body(vec![b'b'; BODY_BYTES]);
    let result = match http::call(to, &request, DEADLINE) {
        Ok(answer) if answer.is_success() && answer.is_whole => 0,
        Ok(answer) if answer.status == 503 => 1,
        _ => 2,
    };
    counts[result].fetch_add(1, Ordering::Relaxed);
}
