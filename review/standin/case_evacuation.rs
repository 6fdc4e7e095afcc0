//! A keeper that was frozen reads an order that its operator has long sent to another one.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict, configuration,
    deployment::{Deployment, SIGCONT, SIGSTOP},
    http::{self, Request},
    record::Record,
    server::{Server, Work},
};

/// The entry instance that the clients use.
const ENTRY: u8 = 101;
/// The zone that is evacuated.
const ZONE: &str = "riga-a";
/// Time after which the operator moves on to another keeper.
const PATIENCE: Duration = Duration::from_secs(1);
/// `evacuateMs`.
const EVACUATE: Duration = Duration::from_secs(5);
/// `contactMs`.
const CONTACT: Duration = Duration::from_secs(5);
/// Time for which clients send requests once the evacuation has to be in effect.
const JUDGED_TIME: Duration = Duration::from_secs(3);

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let deployment = Deployment::start(record, &[ENTRY]);
    let work = Work { time: Duration::from_millis(5), answer_bytes: 800, slots: 6, events: None };
    let evacuated = Server::start(&deployment, record, 1, ZONE, work);
    let _other = Server::start(&deployment, record, 2, "riga-b", work);
    let configure = Request::new("PUT", "/config").with_body(configuration::document(1, 8));
    let second = Duration::from_secs(1);
    assert!(deployment.order(&configure, 1, second, 20 * second), "a configuration is accepted");
    deployment.wait_until_ready(ENTRY);
    thread::sleep(CONTACT);
    send_requests(record, &deployment, "before", second);
    assert!(evacuated.runs() > 0, "the zone's server is used before its evacuation");
    // One of the keepers leads. Each is frozen once, so that two of the three rounds freeze a follower.
    for frozen in 1..=3 {
        let before = evacuated.runs();
        round(record, &deployment, frozen, has_trouble);
        let late = evacuated.runs() - before;
        record.note(&format!("round {frozen}: {late} requests reached the evacuated zone"));
        if late > 0 {
            deployment.stop();
            return Verdict::Broken;
        }
        let restore = Request::new("DELETE", format!("/drain/{ZONE}"));
        assert!(deployment.order(&restore, 1, PATIENCE, 6 * second), "the zone is taken back");
        thread::sleep(second);
    }
    deployment.stop();
    Verdict::Held
}

/// Evacuates the zone, takes it back and evacuates it again; the order to take it back goes to the
/// keeper `frozen` first. Then sends requests, which may not reach the zone.
fn round(record: &Record, deployment: &Deployment, frozen: u8, has_trouble: bool) {
    let evacuate = Request::new("POST", format!("/drain/{ZONE}"));
    let restore = Request::new("DELETE", format!("/drain/{ZONE}"));
    let next = 1 + frozen % 3;
    let limit = Duration::from_secs(6);
    assert!(deployment.order(&evacuate, next, PATIENCE, limit), "the evacuation is acknowledged");
    record.note(&format!("operator: {ZONE} is evacuated, acknowledged"));
    thread::sleep(Duration::from_secs(1));
    if has_trouble {
        deployment.signal(frozen, SIGSTOP);
    }
    // The first try of the order waits a second for its answer and is given up, the next keeper
    // acknowledges the second one.
    record.note(&format!("operator: takes {ZONE} back, by keeper {frozen} first"));
    assert!(deployment.order(&restore, frozen, PATIENCE, limit), "this is acknowledged");
    record.note(&format!("operator: {ZONE} is taken back, acknowledged"));
    assert!(deployment.order(&evacuate, next, PATIENCE, limit), "the evacuation is acknowledged");
    record.note(&format!("operator: {ZONE} is evacuated again, acknowledged"));
    let acknowledged = Instant::now();
    if has_trouble {
        deployment.signal(frozen, SIGCONT);
    }
    thread::sleep(CONTACT.max(EVACUATE) + Duration::from_secs(1));
    record.note(&format!(
        "clients: send, {:.1} s after that acknowledgement",
        acknowledged.elapsed().as_secs_f64()
    ));
    send_requests(record, deployment, &format!("round-{frozen}"), JUDGED_TIME);
}

/// Sends look-ups one after another for a time.
fn send_requests(record: &Record, deployment: &Deployment, name: &str, time: Duration) {
    let until = Instant::now() + time;
    let mut counts: Vec<(String, usize)> = Vec::new();
    for number in 0.. {
        if Instant::now() >= until {
            break;
        }
        let request = Request::new("GET", format!("{}{number}", configuration::LOOKUP))
            .with_header("Host", configuration::HOST)
            .with_header("X-Attempt-Id", format!("{name}-{number}"))
            .with_header("X-Deadline-Ms", "2500");
        let answer = http::call(deployment.front(ENTRY), &request, Duration::from_millis(2_500));
        let result = answer.map_or_else(|error| error.to_string(), |it| it.status.to_string());
        match counts.iter_mut().find(|it| it.0 == result) {
            Some(count) => count.1 += 1,
            None => counts.push((result, 1)),
        }
        thread::sleep(Duration::from_millis(20));
    }
    record.note(&format!("clients: answers {counts:?}"));
}
