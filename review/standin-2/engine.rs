//! A stand-in for an engine: it announces itself, serves its connections and can crash and come back.

use std::{
    io::Write,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{self, sleep},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::http::{self, Message, Reader};

/// What all engines of a case do with requests that are meant for them.
pub trait Work: Send + Sync + 'static {
    /// Answers a request. Returns whether the connection stays open.
    fn serve(&self, engine: &Arc<Engine>, request: &Message, stream: &mut TcpStream) -> bool;
}

pub struct Engine {
    pub number: usize,
    pub address: SocketAddr,
    service: &'static str,
    zone: &'static str,
    slots: u32,
    controls: Vec<SocketAddr>,
    is_up: AtomicBool,
    incarnation: AtomicU64,
    connections: Mutex<Vec<TcpStream>>,
    software: Mutex<String>,
    /// Time by which heartbeats arrive late.
    delay: Mutex<Duration>,
    keeps_id: bool,
    /// Until when it says that it is cold.
    cold_until: Mutex<Option<Instant>>,
}

/// How an engine announces itself.
pub struct Profile {
    pub service: &'static str,
    pub zone: &'static str,
    pub slots: u32,
    /// Whether it has the same id after a restart.
    pub keeps_id: bool,
}

impl Engine {
    pub fn start(
        number: usize,
        address: SocketAddr,
        profile: &Profile,
        controls: Vec<SocketAddr>,
        work: Arc<dyn Work>,
    ) -> Arc<Engine> {
        let engine = Arc::new(Engine {
            number,
            address,
            service: profile.service,
            zone: profile.zone,
            slots: profile.slots,
            controls,
            is_up: AtomicBool::new(false),
            incarnation: AtomicU64::new(0),
            connections: Mutex::default(),
            software: Mutex::new("v1".into()),
            delay: Mutex::default(),
            keeps_id: profile.keeps_id,
            cold_until: Mutex::default(),
        });
        engine.clone().boot(work);
        engine
    }

    pub fn id(&self) -> String {
        let incarnation = self.incarnation.load(Ordering::SeqCst);
        match self.keeps_id {
            true => format!("i-{:04x}", self.number + 1),
            false => format!("i-{:04x}{incarnation:04x}", self.number + 1),
        }
    }

    pub fn incarnation(&self) -> u64 {
        self.incarnation.load(Ordering::SeqCst)
    }

    pub fn is_up(&self) -> bool {
        self.is_up.load(Ordering::SeqCst)
    }

    pub fn software(&self) -> String {
        self.software.lock().unwrap().clone()
    }

    pub fn set_software(&self, software: &str) {
        *self.software.lock().unwrap() = software.into();
    }

    /// Sets by how much heartbeats arrive late.
    pub fn delay_heartbeats(&self, delay: Duration) {
        *self.delay.lock().unwrap() = delay;
    }

    /// Makes the engine say that it is cold for this time.
    pub fn set_cold(&self, time: Duration) {
        *self.cold_until.lock().unwrap() = Some(Instant::now() + time);
    }

    /// Ends all connections and refuses new ones. Returns false if the engine is down already.
    pub fn crash(&self) -> bool {
        if !self.is_up.swap(false, Ordering::SeqCst) {
            return false;
        }
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        true
    }

    /// Starts the next incarnation after a crash.
    pub fn boot(self: Arc<Engine>, work: Arc<dyn Work>) {
        let limit = Instant::now() + Duration::from_secs(5);
        let listener = loop {
            match TcpListener::bind(self.address) {
                Ok(listener) => break listener,
                Err(error) if Instant::now() > limit => panic!("{}: {error}", self.address),
                Err(_) => sleep(Duration::from_millis(20)),
            }
        };
        listener.set_nonblocking(true).unwrap();
        let incarnation = self.incarnation.fetch_add(1, Ordering::SeqCst) + 1;
        self.is_up.store(true, Ordering::SeqCst);
        let this = self.clone();
        thread::spawn(move || this.accept(&listener, incarnation, &work));
        thread::spawn(move || self.announce(incarnation));
    }

    fn is_current(&self, incarnation: u64) -> bool {
        self.is_up() && self.incarnation() == incarnation
    }

    fn accept(self: &Arc<Engine>, listener: &TcpListener, incarnation: u64, work: &Arc<dyn Work>) {
        while self.is_current(incarnation) {
            let Ok((stream, _)) = listener.accept() else {
                sleep(Duration::from_micros(500));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let _ = stream.set_nodelay(true);
            let mut open = self.connections.lock().unwrap();
            open.retain(|it| it.peer_addr().is_ok());
            open.extend(stream.try_clone());
            drop(open);
            let (this, work) = (self.clone(), work.clone());
            thread::spawn(move || this.serve(stream, incarnation, &work));
        }
    }

    fn serve(self: &Arc<Engine>, stream: TcpStream, incarnation: u64, work: &Arc<dyn Work>) {
        let mut reader = Reader::new(stream);
        while let Ok(Some(mut request)) = reader.head() {
            reader.body(&mut request, false);
            if !request.is_whole || !self.is_current(incarnation) {
                break;
            }
            let id = self.id();
            let is_other = request.header("x-expect-instance").is_some_and(|it| it != id);
            let stays = match is_other {
                true => answer(&mut reader.stream, self, &request, 421, &[], b""),
                false => work.serve(self, &request, &mut reader.stream),
            };
            if !stays {
                break;
            }
        }
        let _ = reader.stream.shutdown(Shutdown::Both);
    }

    fn announce(self: Arc<Engine>, incarnation: u64) {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
        let id = self.id();
        let software = self.software();
        for sequence in 1u64.. {
            let cold = self
                .cold_until
                .lock()
                .unwrap()
                .map_or(Duration::ZERO, |it| it.saturating_duration_since(Instant::now()));
            let cold = cold.as_millis();
            let body = format!(
                r#"{{"service":"{}","address":"{}","zone":"{}","version":"{software}","slots":{},"state":"ready","coldRemainingMs":{cold},"seq":{sequence},"born":{born}}}"#,
                self.service, self.address, self.zone, self.slots
            );
            let delay = *self.delay.lock().unwrap();
            let (this, id) = (self.clone(), id.clone());
            // A heartbeat under way arrives also if its sender ends meanwhile.
            thread::spawn(move || {
                sleep(delay);
                let target = format!("/instances/{id}");
                let headers = [("Host", "control"), ("Content-Type", "application/json")];
                for control in &this.controls {
                    let limit = Duration::from_secs(1);
                    let sent =
                        http::call(*control, "PUT", &target, &headers, body.as_bytes(), limit);
                    if (200..300).contains(&sent.status()) {
                        return;
                    }
                }
            });
            let next = Instant::now() + Duration::from_millis(1_200);
            while Instant::now() < next {
                if !self.is_current(incarnation) {
                    return;
                }
                sleep(Duration::from_millis(10));
            }
        }
    }
}

/// Sends an answer with a length. Returns whether it was sent.
pub fn answer(
    stream: &mut TcpStream,
    engine: &Engine,
    request: &Message,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> bool {
    let mut head = answer_head(engine, request, status, headers);
    head += &format!("Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).is_ok()
}

/// The head of an answer without its last line.
pub fn answer_head(
    engine: &Engine,
    request: &Message,
    status: u16,
    headers: &[(&str, &str)],
) -> String {
    let id = request.header("x-attempt-id").unwrap_or_default();
    let mut head = format!("HTTP/1.1 {status} Status\r\nX-Attempt-Id: {id}\r\n");
    head += &format!("X-Instance-Id: {}\r\n", engine.id());
    head += &format!("X-Server-Stamp: {:02x}.{id}\r\n", engine.number);
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head
}

/// Sends one chunk of a stream. Returns whether it was sent.
pub fn chunk(stream: &mut TcpStream, content: &str) -> bool {
    let bytes = format!("{:x}\r\n{content}\r\n", content.len());
    stream.write_all(bytes.as_bytes()).is_ok()
}
