//! Crowds of clients that try to exhaust the memory of a server, and a meter for its memory.

use std::{
    fs,
    io::{ErrorKind, Read, Write},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

/// Memory of the machine in the settings of a server under test: that of the smallest machine of an
/// entry instance.
pub const MEMORY_MB: u64 = 112;
/// Descriptors of the machine in the settings of a server under test.
pub const MAX_FDS: u64 = 192;

/// Clients of a crowd; more than [`MAX_FDS`].
const CLIENTS: usize = 240;
/// Body of legal size; those of a crowd take four times [`MEMORY_MB`].
const BODY_BYTES: usize = 2 << 20;
/// Length that clients announce, far over every limit.
const ANNOUNCED_BYTES: usize = 1 << 30;
/// Bytes that a client sends of a body over the limit.
const OVERSIZED_BYTES: usize = 16 << 20;
/// Chunks of one byte that a client sends. The cost of a stored chunk is a multiple of its length.
const SMALL_CHUNKS: usize = 48 << 10;
const LARGE_CHUNK_BYTES: usize = 256 << 10;
const PIECE_BYTES: usize = 16 << 10;
const PIECE_INTERVAL: Duration = Duration::from_millis(5);
/// One client in this number completes its body, the others stop just short of the end.
const COMPLETE_EVERY: usize = 8;

/// Time without progress of any client after which a crowd is settled.
const QUIET_TIME: Duration = Duration::from_secs(1);
/// Time after which a crowd counts as settled although clients still make progress.
const MAX_SETTLE_TIME: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Only one crowd runs at a time in a test process: the memory of the machine is shared.
static RUNNING: Mutex<()> = Mutex::new(());

/// Waits until no other test of this process runs a crowd, and keeps others from starting one.
pub fn run_alone() -> MutexGuard<'static, ()> {
    RUNNING.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What the clients of a crowd send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Bodies of legal size in one write, all but the last byte.
    Whole,
    /// Bodies of legal size piece by piece, all but the last byte.
    Pieces,
    /// Chunked bodies of legal size in large chunks, all but the last byte.
    LargeChunks,
    /// Chunked bodies in chunks of one byte, without the end.
    SmallChunks,
    /// Bodies announced far over the limit.
    Announced,
    /// Chunked bodies far over the limit.
    Unannounced,
}

/// What the clients of a crowd send requests to.
#[derive(Debug, Clone)]
pub struct Target {
    /// Address of the server.
    pub address: SocketAddr,
    /// Request line and headers, without headers about the body.
    pub head: String,
}

/// Open clients; dropping it closes their connections.
pub struct Crowd {
    clients: Vec<JoinHandle<()>>,
    is_stopped: Arc<AtomicBool>,
    /// Bytes that all clients have sent.
    sent: Arc<AtomicU64>,
    addresses: Vec<SocketAddr>,
}

impl Crowd {
    /// Starts the clients, divided equally among the targets.
    pub fn start(kind: Kind, targets: &[Target]) -> Crowd {
        let is_stopped = Arc::<AtomicBool>::default();
        let sent = Arc::<AtomicU64>::default();
        let clients = (0..CLIENTS).map(|number| {
            let target = targets[number % targets.len()].clone();
            let is_complete = (number / targets.len()).is_multiple_of(COMPLETE_EVERY);
            let (is_stopped, sent) = (is_stopped.clone(), sent.clone());
            thread::spawn(move || {
                let Ok(stream) = TcpStream::connect(target.address) else { return };
                let mut client = Client { stream, is_stopped, sent };
                if client.send(kind, &target.head, is_complete).is_some() {
                    client.hold();
                }
            })
        });
        Crowd {
            clients: clients.collect(),
            is_stopped: is_stopped.clone(),
            sent: sent.clone(),
            addresses: targets.iter().map(|it| it.address).collect(),
        }
    }

    /// Waits until no client makes progress any more: the server has read all that it wants to send, has
    /// refused it, or no longer reads. The clients stay connected.
    pub fn settle(&self) {
        let began = Instant::now();
        let mut last = (began, (0, 0));
        while last.0.elapsed() < QUIET_TIME && began.elapsed() < MAX_SETTLE_TIME {
            thread::sleep(POLL_INTERVAL);
            let progress = (self.sent.load(Ordering::Relaxed), unread_bytes(&self.addresses));
            if progress != last.1 {
                last = (Instant::now(), progress);
            }
        }
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::Relaxed);
        for client in self.clients.drain(..) {
            let _ = client.join();
        }
    }
}

struct Client {
    stream: TcpStream,
    is_stopped: Arc<AtomicBool>,
    sent: Arc<AtomicU64>,
}

impl Client {
    /// Sends a request. Returns `None` if the server has closed the connection, or the crowd has been
    /// stopped.
    fn send(&mut self, kind: Kind, head: &str, is_complete: bool) -> Option<()> {
        self.stream.set_write_timeout(Some(POLL_INTERVAL)).ok()?;
        let chunked = "transfer-encoding: chunked";
        let framing = match kind {
            Kind::Whole | Kind::Pieces => format!("content-length: {BODY_BYTES}"),
            Kind::Announced => format!("content-length: {ANNOUNCED_BYTES}"),
            Kind::LargeChunks | Kind::SmallChunks | Kind::Unannounced => chunked.into(),
        };
        self.write(format!("{head}{framing}\r\n\r\n").as_bytes())?;
        let withheld = usize::from(!is_complete);
        match kind {
            Kind::Whole => self.write(&vec![b'a'; BODY_BYTES - withheld])?,
            Kind::Pieces => {
                let body = vec![b'a'; BODY_BYTES - withheld];
                for piece in body.chunks(PIECE_BYTES) {
                    self.write(piece)?;
                    thread::sleep(PIECE_INTERVAL);
                }
            }
            Kind::LargeChunks => {
                let chunk = chunk(LARGE_CHUNK_BYTES);
                for _ in 1..BODY_BYTES / LARGE_CHUNK_BYTES {
                    self.write(&chunk)?;
                }
                // The last byte of the content is followed by the line end of the chunk.
                let last = chunk.len() - 3 * withheld;
                self.write(&chunk[..last])?;
            }
            Kind::SmallChunks => self.write(&chunk(1).repeat(SMALL_CHUNKS))?,
            Kind::Announced => {
                let block = vec![b'a'; LARGE_CHUNK_BYTES];
                for _ in 0..OVERSIZED_BYTES / LARGE_CHUNK_BYTES {
                    self.write(&block)?;
                }
            }
            Kind::Unannounced => {
                let chunk = chunk(LARGE_CHUNK_BYTES);
                for _ in 0..OVERSIZED_BYTES / LARGE_CHUNK_BYTES {
                    self.write(&chunk)?;
                }
            }
        }
        let is_chunked = matches!(kind, Kind::LargeChunks | Kind::SmallChunks);
        if is_complete && is_chunked {
            self.write(b"0\r\n\r\n")?;
        }
        Some(())
    }

    fn write(&mut self, mut bytes: &[u8]) -> Option<()> {
        while !bytes.is_empty() {
            if self.is_stopped.load(Ordering::Relaxed) {
                return None;
            }
            match self.stream.write(bytes) {
                Ok(0) => return None,
                Ok(count) => {
                    self.sent.fetch_add(count as u64, Ordering::Relaxed);
                    bytes = &bytes[count..];
                }
                Err(error) if is_timeout(&error) => {}
                Err(_) => return None,
            }
        }
        Some(())
    }

    /// Keeps the connection open until the server closes it or the crowd is stopped.
    fn hold(&mut self) {
        let _ = self.stream.set_read_timeout(Some(POLL_INTERVAL));
        let mut buffer = [0; 1024];
        while !self.is_stopped.load(Ordering::Relaxed) {
            match self.stream.read(&mut buffer) {
                Ok(1..) => {}
                Err(error) if is_timeout(&error) => {}
                Ok(0) | Err(_) => return,
            }
        }
    }
}

fn is_timeout(error: &std::io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted)
}

fn chunk(length: usize) -> Vec<u8> {
    let mut chunk = format!("{length:x}\r\n").into_bytes();
    chunk.resize(chunk.len() + length, b'a');
    chunk.extend_from_slice(b"\r\n");
    chunk
}

/// Peaks of a process while it was measured.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Peak {
    /// Resident memory, with the bytes that have arrived at its sockets and have not been read.
    pub memory_kb: u64,
    /// Open descriptors.
    pub fds: u64,
    /// Bytes that have arrived at its sockets and have not been read, in kilobytes.
    pub unread_kb: u64,
}

impl Peak {
    /// Asserts that the process stayed within the limits of its settings.
    ///
    /// # Panics
    ///
    /// Panics if it did not.
    pub fn assert_within_limits(&self, logs: &str) {
        println!("peak: {self:?}");
        assert!(self.memory_kb <= MEMORY_MB * 1024, "{self:?} over {MEMORY_MB} MB\n{logs}");
        assert!(self.fds <= MAX_FDS, "{self:?} over {MAX_FDS} descriptors\n{logs}");
    }
}

/// Measures a process until it is stopped.
pub struct Meter {
    thread: Option<JoinHandle<Peak>>,
    is_stopped: Arc<AtomicBool>,
}

impl Meter {
    /// Measures the process `pid`, which listens at `addresses`.
    pub fn start(pid: u32, addresses: &[SocketAddr]) -> Meter {
        let addresses = addresses.to_vec();
        let is_stopped = Arc::<AtomicBool>::default();
        let stopped = is_stopped.clone();
        let thread = thread::spawn(move || {
            let mut peak = Peak::default();
            loop {
                let is_last = stopped.load(Ordering::Relaxed);
                let unread_kb = unread_bytes(&addresses) / 1024;
                let resident = memory_kb(pid, "VmRSS:").unwrap_or_default();
                let highest = memory_kb(pid, "VmHWM:").unwrap_or_default();
                let fds = fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, |it| it.count() as u64);
                peak = Peak {
                    memory_kb: peak.memory_kb.max(resident + unread_kb).max(highest),
                    fds: peak.fds.max(fds),
                    unread_kb: peak.unread_kb.max(unread_kb),
                };
                if is_last {
                    return peak;
                }
                thread::sleep(POLL_INTERVAL);
            }
        });
        Meter { thread: Some(thread), is_stopped }
    }

    /// Ends the measurement.
    ///
    /// # Panics
    ///
    /// Panics if the measuring thread has panicked.
    pub fn stop(mut self) -> Peak {
        self.is_stopped.store(true, Ordering::Relaxed);
        self.thread.take().expect("the meter runs").join().expect("the meter does not panic")
    }
}

impl Drop for Meter {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::Relaxed);
    }
}

fn memory_kb(pid: u32, field: &str) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with(field))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

/// Bytes in the receive queues of the connections that were accepted at `addresses`.
fn unread_bytes(addresses: &[SocketAddr]) -> u64 {
    /// State of a listening socket, whose queue counts connections.
    const LISTENING: &str = "0A";
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let unread = table.lines().skip(1).filter_map(|line| {
        let mut fields = line.split_whitespace().skip(1);
        let local = parse_address(fields.next()?)?;
        let state = fields.nth(1)?;
        let (_, unread) = fields.next()?.split_once(':')?;
        let counts = state != LISTENING && addresses.contains(&local);
        counts.then(|| u64::from_str_radix(unread, 16).unwrap_or_default())
    });
    unread.sum()
}

/// Parses an address of `/proc/net/tcp`: the hexadecimal number in the byte order of the machine, and the
/// port.
fn parse_address(text: &str) -> Option<SocketAddr> {
    let (ip, port) = text.split_once(':')?;
    let ip = Ipv4Addr::from(u32::from_str_radix(ip, 16).ok()?.to_ne_bytes());
    Some(SocketAddr::new(IpAddr::V4(ip), u16::from_str_radix(port, 16).ok()?))
}
