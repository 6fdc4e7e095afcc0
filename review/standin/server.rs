//! A server of the platform: registers with the keepers, runs requests and records them.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    deployment::Deployment,
    http::{Request, find},
    record::Record,
};

/// Time between two heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_200);

/// How a server works on its requests.
#[derive(Debug, Clone, Copy, Default)]
pub struct Work {
    pub time: Duration,
    /// Length of each answer in bytes.
    pub answer_bytes: usize,
    /// Requests that it works on at once.
    pub slots: u32,
    /// For a stream: the events of an answer, and the time between two of them.
    pub events: Option<(usize, Duration)>,
}

pub struct Server {
    pub id: String,
    zone: &'static str,
    address: SocketAddr,
    work: Work,
    record: Record,
    runs: AtomicUsize,
    /// Whether it has crashed and is not back yet.
    is_down: AtomicBool,
    /// Its open connections, which end when it crashes.
    connections: Mutex<Vec<TcpStream>>,
    /// Until when it is cold.
    cold_until: Mutex<Option<Instant>>,
    /// Requests that arrived while it was cold.
    cold_arrivals: Mutex<Vec<Instant>>,
}

impl Server {
    /// Starts a server of the service `desk`, which registers at once and then every 1.2 s.
    pub fn start(
        deployment: &Arc<Deployment>,
        record: &Record,
        number: u16,
        zone: &'static str,
        work: Work,
    ) -> Arc<Server> {
        let address = deployment.server_address(number);
        let listener = TcpListener::bind(address).expect("a free port for a server");
        let server = Arc::new(Server {
            id: format!("i-{number:08x}"),
            zone,
            address,
            work,
            record: record.clone(),
            runs: AtomicUsize::new(0),
            is_down: AtomicBool::new(false),
            connections: Mutex::default(),
            cold_until: Mutex::default(),
            cold_arrivals: Mutex::default(),
        });
        server.accept(listener);
        let (this, deployment) = (server.clone(), deployment.clone());
        thread::spawn(move || this.send_heartbeats(&deployment));
        server
    }

    /// Number of requests that the server began to run.
    pub fn runs(&self) -> usize {
        self.runs.load(Ordering::Relaxed)
    }

    /// Serves connections until the server crashes.
    fn accept(self: &Arc<Server>, listener: TcpListener) {
        let this = self.clone();
        listener.set_nonblocking(true).expect("a listener that doesn't block");
        thread::spawn(move || {
            while !this.is_down.load(Ordering::Relaxed) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        stream.set_nonblocking(false).expect("a connection that blocks");
                        if let Ok(copy) = stream.try_clone() {
                            this.connections.lock().unwrap().push(copy);
                        }
                        let this = this.clone();
                        thread::spawn(move || this.serve(stream));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
    }

    /// Crashes: all connections end, and new ones are refused.
    pub fn crash(&self) {
        self.record.note(&format!("server {} crashes", self.id));
        self.is_down.store(true, Ordering::Relaxed);
        for connection in self.connections.lock().unwrap().drain(..) {
            // It may have ended already.
            let _ = connection.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Starts again under the same id and at the same address, cold for a time. Its first heartbeat is
    /// answered at once, or arrives too late at the node that it is sent to first, so that the next
    /// node gets it after a second.
    pub fn restart(
        self: &Arc<Server>,
        deployment: &Arc<Deployment>,
        cold: Duration,
        is_first_beat_late: bool,
    ) {
        let listener = TcpListener::bind(self.address).expect("the server's own port");
        *self.cold_until.lock().unwrap() = Some(Instant::now() + cold);
        self.is_down.store(false, Ordering::Relaxed);
        self.record.note(&format!("server {} is back, cold for {cold:?}", self.id));
        self.accept(listener);
        let (this, deployment) = (self.clone(), deployment.clone());
        thread::spawn(move || {
            if is_first_beat_late {
                thread::sleep(Duration::from_secs(1));
            }
            this.send_heartbeats(&deployment);
        });
    }

    /// Times of the requests that arrived while the server was cold.
    pub fn cold_arrivals(&self) -> Vec<Instant> {
        self.cold_arrivals.lock().unwrap().clone()
    }

    fn cold_remaining(&self) -> Duration {
        let until = *self.cold_until.lock().unwrap();
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(Instant::now()))
    }

    /// Sends heartbeats until the server crashes.
    fn send_heartbeats(&self, deployment: &Deployment) {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).expect("the time").as_millis();
        for sequence in 1.. {
            if self.is_down.load(Ordering::Relaxed) {
                return;
            }
            let body = format!(
                "{{\"service\":\"desk\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
                 \"slots\":{},\"state\":\"ready\",\"coldRemainingMs\":{},\"seq\":{sequence},\
                 \"born\":{born}}}",
                self.address,
                self.zone,
                self.work.slots,
                self.cold_remaining().as_millis()
            );
            let request = Request::new("PUT", format!("/instances/{}", self.id)).with_body(body);
            let patience = Duration::from_secs(1);
            deployment.order(&request, 1 + (sequence % 3) as u8, patience, HEARTBEAT_INTERVAL);
            thread::sleep(HEARTBEAT_INTERVAL);
        }
    }

    /// Serves the requests on one connection.
    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Some((head, rest)) = read_request(&mut stream, buffer) {
            buffer = rest;
            let value = |name: &str| {
                let mut lines = head.split("\r\n").filter_map(|line| line.split_once(':'));
                let found = lines.find(|it| it.0.eq_ignore_ascii_case(name));
                found.map(|it| it.1.trim().to_string()).unwrap_or_default()
            };
            let id = value("x-attempt-id");
            if value("x-expect-instance") != self.id {
                let refusal = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: {}\r\n\
                     Content-Length: 0\r\n\r\n",
                    self.id
                );
                if stream.write_all(refusal.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            self.runs.fetch_add(1, Ordering::Relaxed);
            if !self.cold_remaining().is_zero() {
                self.record.note(&format!("server {} gets {id} while it is cold", self.id));
                self.cold_arrivals.lock().unwrap().push(Instant::now());
            }
            self.record.note(&format!("server {} in {} runs {id}", self.id, self.zone));
            thread::sleep(self.work.time);
            let head =
                format!("HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Stamp: stamp-{id}\r\n");
            if let Some(events) = self.work.events {
                if write_events(&mut stream, head, events).is_err() {
                    return;
                }
                continue;
            }
            let length = self.work.answer_bytes;
            let mut answer = format!("{head}Content-Length: {length}\r\n\r\n").into_bytes();
            answer.resize(answer.len() + length, b'r');
            if stream.write_all(&answer).is_err() {
                self.record.note(&format!("server {}: answer to {id} not taken", self.id));
                return;
            }
        }
    }
}

/// Writes a stream of events in chunks.
fn write_events(
    stream: &mut TcpStream,
    head: String,
    (events, interval): (usize, Duration),
) -> io::Result<()> {
    stream.write_all(
        format!("{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
            .as_bytes(),
    )?;
    for number in 1..=events {
        let event = format!("id: {number}\ndata: {}\n\n", "r".repeat(40));
        stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        thread::sleep(interval);
    }
    stream.write_all(b"0\r\n\r\n")
}

/// Reads a request with a length and drops its body; returns its head, and what arrived after it.
fn read_request(stream: &mut TcpStream, mut buffer: Vec<u8>) -> Option<(String, Vec<u8>)> {
    let mut part = [0; 65_536];
    loop {
        if let Some(at) = find(&buffer, b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..at]).into_owned();
            let length = head.split("\r\n").filter_map(|line| line.split_once(':'));
            let length = length
                .filter(|it| it.0.eq_ignore_ascii_case("content-length"))
                .find_map(|it| it.1.trim().parse::<usize>().ok())
                .unwrap_or(0);
            let mut rest = buffer.split_off(at + 4);
            let mut missing = length;
            while missing > rest.len() {
                missing -= rest.len();
                rest.clear();
                let bytes = stream.read(&mut part).ok().filter(|it| *it > 0)?;
                rest.extend_from_slice(&part[..bytes]);
            }
            return Some((head, rest.split_off(missing)));
        }
        let bytes = stream.read(&mut part).ok().filter(|it| *it > 0)?;
        buffer.extend_from_slice(&part[..bytes]);
    }
}
