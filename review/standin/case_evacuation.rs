//! An order of an operator is held up by a partition for some seconds. Its operator has long sent it to
//! another keeper, and later orders have been acknowledged, when it arrives.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
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

/// The entry instance that the clients use.
const ENTRY: u8 = 101;
/// The zone that is evacuated.
const ZONE: &str = "riga-a";
/// Time after which the operator moves on to another keeper.
const PATIENCE: Duration = Duration::from_secs(1);
/// Time for which the partition holds up the bytes on their way to a keeper; `region_cut` of the site
/// lasts 6 s.
const PARTITION: Duration = Duration::from_secs(4);
/// Time after which the operator evacuates the zone again.
const BEFORE_SECOND_EVACUATION: Duration = Duration::from_secs(2);
/// `evacuateMs`.
const EVACUATE: Duration = Duration::from_secs(5);
/// `contactMs`.
const CONTACT: Duration = Duration::from_secs(5);
/// Time for which clients send requests once the evacuation has to be in effect.
const JUDGED_TIME: Duration = Duration::from_secs(3);
/// The keeper that the order goes to first.
const FIRST_KEEPER: u8 = 1;
/// Round trip between a client and a machine: 1 ms each way on the sheet.
const ROUND_TRIP: Duration = Duration::from_millis(2);
/// Number of the proxy's port among those of the servers.
const PROXY: u16 = 90;

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
    let evacuate = Request::new("POST", format!("/drain/{ZONE}"));
    let restore = Request::new("DELETE", format!("/drain/{ZONE}"));
    let limit = 6 * second;
    assert!(deployment.order(&evacuate, 2, PATIENCE, limit), "the evacuation is acknowledged");
    record.note(&format!("operator: {ZONE} is evacuated, acknowledged"));
    thread::sleep(2 * second);
    record.note(&format!("operator: takes {ZONE} back, by keeper {FIRST_KEEPER} first"));
    let proxy = start_proxy(record, &deployment, has_trouble);
    let first = http::call(proxy, &restore, PATIENCE);
    match first {
        Ok(answer) => record.note(&format!("operator: status {}", answer.status)),
        Err(error) => {
            record.note(&format!("operator: no answer ({error}), sends it to the next keeper"));
            assert!(deployment.order(&restore, 2, PATIENCE, limit), "that is acknowledged");
        }
    }
    record.note(&format!("operator: {ZONE} is taken back, acknowledged"));
    thread::sleep(BEFORE_SECOND_EVACUATION);
    assert!(deployment.order(&evacuate, 2, PATIENCE, limit), "the evacuation is acknowledged");
    record.note(&format!("operator: {ZONE} is evacuated again, acknowledged"));
    let acknowledged = Instant::now();
    thread::sleep(PARTITION.max(CONTACT).max(EVACUATE) + 3 * second);
    let before = evacuated.runs();
    record.note(&format!(
        "clients: send, {:.1} s after that acknowledgement",
        acknowledged.elapsed().as_secs_f64()
    ));
    send_requests(record, &deployment, "judged", JUDGED_TIME);
    deployment.stop();
    let late = evacuated.runs() - before;
    record.note(&format!("{late} requests reached the evacuated zone"));
    if late > 0 { Verdict::Broken } else { Verdict::Held }
}

/// Starts a proxy before the first keeper. With trouble it passes on what it gets only once the
/// partition has healed: the request, and the end of the connection that the operator has closed.
fn start_proxy(record: &Record, deployment: &Arc<Deployment>, has_trouble: bool) -> SocketAddr {
    let address = deployment.server_address(PROXY);
    let listener = TcpListener::bind(address).expect("a free port for the proxy");
    let (record, to) = (record.clone(), deployment.control(FIRST_KEEPER));
    thread::spawn(move || {
        let (mut operator, _) = listener.accept().expect("the operator's connection");
        let mut request = vec![0; 4_096];
        let length = operator.read(&mut request).expect("the order");
        if has_trouble {
            thread::sleep(PARTITION);
        }
        record.note("proxy: the order reaches the keeper");
        let mut keeper = TcpStream::connect(to).expect("a connection to the keeper");
        keeper.write_all(&request[..length]).expect("the order is passed on");
        if has_trouble {
            // The operator closed its connection long ago. Its end follows once the keeper has confirmed
            // the bytes before it.
            thread::sleep(ROUND_TRIP);
            keeper.shutdown(std::net::Shutdown::Write).expect("the end is passed on");
        }
        let mut answer = vec![0; 4_096];
        let length = keeper.read(&mut answer).unwrap_or(0);
        // An operator that has left takes no answer.
        let _ = operator.write_all(&answer[..length]);
    });
    address
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
