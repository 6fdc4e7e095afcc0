//! An entry instance gets SIGTERM while long answers are on their way over its link.

use std::{
    io::Write,
    net::{SocketAddr, TcpStream},
    os::fd::{AsRawFd, FromRawFd},
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict, configuration,
    deployment::{Deployment, SIGKILL, SIGTERM},
    http::{self, Answer, Request},
    record::Record,
    server::{Server, Work},
};

/// The entry instance that gets SIGTERM.
const ENTRY: u8 = 150;
/// Length of an answer.
const ANSWER_BYTES: usize = 4_000_000;
/// Clients that read an answer at the same time.
const CLIENTS: usize = 2;
/// Bytes per second of the link of an `edge` machine, which all clients share: 10 Mbit/s.
const LINK_BYTES_PER_S: usize = 10_000_000 / 8;
/// Time from the first byte of a request to SIGTERM.
const BEFORE_SIGTERM: Duration = Duration::from_millis(800);
/// `graceS`.
const GRACE: Duration = Duration::from_secs(8);
/// `X-Deadline-Ms` of the clients.
const DEADLINE: Duration = Duration::from_secs(15);

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(fd: i32, address: *const u8, length: u32) -> i32;
}

const AF_INET: u16 = 2;
const SOCK_STREAM: i32 = 1;
const SOCK_CLOEXEC: i32 = 0o2_000_000;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;
const IPPROTO_TCP: i32 = 6;
const TCP_MAXSEG: i32 = 2;

/// Opens a connection with the small windows of the platform's links: segments of 1,400 bytes and a
/// receive buffer of 16 KB.
fn connect_with_small_window(to: SocketAddr) -> TcpStream {
    let SocketAddr::V4(to) = to else { panic!("an IPv4 address") };
    let mut address = [0; 16];
    address[..2].copy_from_slice(&AF_INET.to_ne_bytes());
    address[2..4].copy_from_slice(&to.port().to_be_bytes());
    address[4..8].copy_from_slice(&to.ip().octets());
    // The descriptor is owned by the stream from its creation on.
    let stream = unsafe {
        let fd = socket(AF_INET.into(), SOCK_STREAM | SOCK_CLOEXEC, 0);
        assert!(fd >= 0, "a socket");
        TcpStream::from_raw_fd(fd)
    };
    let fd = stream.as_raw_fd();
    let options = [(SOL_SOCKET, SO_RCVBUF, 16 * 1_024), (IPPROTO_TCP, TCP_MAXSEG, 1_400)];
    for (level, name, value) in options {
        let result = unsafe { setsockopt(fd, level, name, &value, 4) };
        assert_eq!(result, 0, "a socket option");
    }
    let result = unsafe { connect(fd, address.as_ptr(), 16) };
    assert_eq!(result, 0, "a connection to the entry instance");
    stream
}

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let deployment = Deployment::start(record, &[ENTRY, 151]);
    let work = Work {
        time: Duration::from_millis(30),
        answer_bytes: ANSWER_BYTES,
        slots: 6,
        events: None,
    };
    let servers: Vec<_> =
        (1..=3).map(|number| Server::start(&deployment, record, number, "riga-b", work)).collect();
    let configure = Request::new("PUT", "/config").with_body(configuration::document(1, 8));
    let second = Duration::from_secs(1);
    assert!(deployment.order(&configure, 1, second, 20 * second), "a configuration is accepted");
    deployment.wait_until_ready(ENTRY);
    // Until then the machine is in touch, and its directory and servers are known.
    thread::sleep(Duration::from_secs(7));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, to) = (record.clone(), deployment.front(ENTRY));
            thread::spawn(move || read_over_link(&record, to, number))
        })
        .collect();
    thread::sleep(BEFORE_SIGTERM);
    let stopped = Instant::now();
    if has_trouble {
        deployment.signal(ENTRY, SIGTERM);
        while !deployment.has_ended(ENTRY) && stopped.elapsed() < GRACE {
            thread::sleep(Duration::from_millis(10));
        }
        match deployment.has_ended(ENTRY) {
            true => record.note(&format!(
                "platform: entry {ENTRY} has ended {:.1} s after SIGTERM, of {} s",
                stopped.elapsed().as_secs_f64(),
                GRACE.as_secs()
            )),
            false => deployment.signal(ENTRY, SIGKILL),
        }
    }
    let answers: Vec<Option<Answer>> =
        clients.into_iter().map(|client| client.join().expect("a client")).collect();
    deployment.stop();
    let runs: usize = servers.iter().map(|server| server.runs()).sum();
    let cut = answers
        .iter()
        .filter(|answer| answer.as_ref().is_none_or(|it| it.is_success() && !it.is_whole))
        .count();
    record.note(&format!("{CLIENTS} requests, {runs} run by servers, {cut} answers cut"));
    if cut > 0 { Verdict::Broken } else { Verdict::Held }
}

/// Sends a booking or a look-up, and reads its answer as fast as the link allows.
fn read_over_link(record: &Record, to: SocketAddr, number: usize) -> Option<Answer> {
    let id = format!("attempt-{number}");
    let (method, prefix) = match number % 2 {
        0 => ("POST", configuration::BOOKING),
        _ => ("GET", configuration::LOOKUP),
    };
    let request = Request::new(method, format!("{prefix}{number}"))
        .with_header("Host", configuration::HOST)
        .with_header("X-Attempt-Id", id.clone())
        .with_header("X-Deadline-Ms", DEADLINE.as_millis().to_string());
    let began = Instant::now();
    let mut stream = connect_with_small_window(to);
    stream.write_all(&request.encode()).expect("the request is sent");
    record.note(&format!("client: {method} {id} sent"));
    // The share of this client in the link; all of its answer takes less than 7 s.
    let pause =
        Duration::from_secs(1) * (http::PART_BYTES * CLIENTS) as u32 / LINK_BYTES_PER_S as u32;
    let answer = http::read_answer(&mut stream, began + DEADLINE, Some(pause));
    let took = began.elapsed().as_secs_f64();
    match &answer {
        Ok(answer) => record.note(&format!(
            "client: {id} got status {}, {} bytes of {}, whole: {}, after {took:.1} s",
            answer.status,
            answer.body.len(),
            answer.header("content-length").unwrap_or("an unknown length"),
            answer.is_whole
        )),
        Err(error) => {
            record.note(&format!("client: {id} got no answer: {error}, after {took:.1} s"))
        }
    }
    answer.ok()
}
