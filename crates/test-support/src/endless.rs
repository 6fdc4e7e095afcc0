//! Upstreams that never stop sending.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

/// Interval in which a paced upstream sends some bytes after its burst.
const PACE: Duration = Duration::from_millis(100);
const BLOCK_BYTES: usize = 4 * 1024;

/// An answer without end.
#[derive(Debug, Clone, Copy)]
pub struct EndlessAnswer {
    /// Its valid begin; `{}` stands for the headers that name the call.
    pub first: &'static str,
    /// What is then repeated.
    pub repeated: &'static str,
    /// Bytes that are sent at once, before the answer goes on slowly; `None` to send all as fast as the
    /// client reads.
    pub burst: Option<usize>,
}

/// An upstream that answers every call without end, until the client closes the connection.
pub struct EndlessUpstream {
    /// Address at which it listens.
    pub address: SocketAddr,
    /// Number of connections on which a request arrived.
    pub begun: Arc<AtomicUsize>,
    /// Number of these connections that the client has closed.
    pub closed: Arc<AtomicUsize>,
}

impl EndlessUpstream {
    /// Starts an upstream whose answer to a call depends on its path.
    ///
    /// # Panics
    ///
    /// Panics if it can't listen.
    pub fn start(choose: impl Fn(&str) -> EndlessAnswer + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let (begun, closed) = (Arc::<AtomicUsize>::default(), Arc::<AtomicUsize>::default());
        let (counts, choose) = ((begun.clone(), closed.clone()), Arc::new(choose));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let ((begun, closed), choose) = (counts.clone(), choose.clone());
                thread::spawn(move || {
                    if answer(stream, &begun, choose.as_ref()) {
                        closed.fetch_add(1, Ordering::SeqCst);
                    }
                });
            }
        });
        EndlessUpstream { address, begun, closed }
    }
}

/// Answers the first request on a connection until the connection is closed. Returns whether there was a
/// request.
fn answer(
    mut stream: TcpStream,
    begun: &AtomicUsize,
    choose: &impl Fn(&str) -> EndlessAnswer,
) -> bool {
    let mut head = vec![0; 8 * 1024];
    let Ok(bytes @ 1..) = stream.read(&mut head) else { return false };
    begun.fetch_add(1, Ordering::SeqCst);
    let head = String::from_utf8_lossy(&head[..bytes]).to_ascii_lowercase();
    let EndlessAnswer { first, repeated, burst } =
        choose(head.split(' ').nth(1).unwrap_or_default());
    let names_call =
        |line: &&str| ["x-attempt-id:", "x-request-id:"].iter().any(|it| line.starts_with(it));
    let mut headers = String::from("x-server-stamp: stamp\r\n");
    for line in head.lines().filter(names_call) {
        headers.push_str(&format!("{line}\r\n"));
    }
    let mut sent = stream.write_all(first.replace("{}", &headers).as_bytes());
    let block = repeated.repeat(BLOCK_BYTES / repeated.len());
    let mut left = burst.unwrap_or(usize::MAX);
    while sent.is_ok() {
        let bytes = if left == 0 { repeated.len() } else { block.len().min(left) };
        if left == 0 {
            thread::sleep(PACE);
        }
        sent = stream.write_all(&block.as_bytes()[..bytes]);
        left = left.saturating_sub(bytes);
    }
    true
}
