//! HTTP/1 connections to upstreams and to other instances.
//!
//! Idle connections are kept for calls that may be retried. A call that must not run twice uses a new
//! connection: an idle one may have become unresponsive, and its failure would not tell whether the
//! call was started.

use std::{
    cell::RefCell,
    io,
    net::SocketAddr,
    pin::Pin,
    rc::Rc,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU32, AtomicUsize, Ordering},
    },
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request, Response,
    body::Incoming,
    client::conn::{
        TrySendError,
        http1::{self, SendRequest},
    },
    ext,
    header::{self, HeaderMap},
    http::response,
};
use hyper_util::rt::TokioIo;
use medlarlug_core::memory_budget::ORDINARY_ANSWER_BYTES;
use socket2::SockRef;
use thiserror::Error;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::{TcpSocket, TcpStream},
    sync::Notify,
    task,
    time::{Instant, Sleep, error::Elapsed, sleep, timeout},
};

use crate::transport::{
    answers::{self, ReadError},
    memory::{AnswerMemory, Memory, POLL_INTERVAL},
};

/// Idle connections that are kept for each address.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// New connections that are tried for one call, as long as no byte of it was sent.
const MAX_CONNECTION_ATTEMPTS: usize = 3;

/// A connection is closed when the peer does not acknowledge sent data for this long, which covers
/// several retransmissions between two regions.
const UNACKNOWLEDGED_DATA_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Four times the longest request head that the first deployments permitted.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// As [`MAX_HEAD_BYTES`], within a memory limit. It is also the buffer of each connection.
const LIMITED_HEAD_BYTES: usize = 32 * 1024;
/// Bytes of a body that are read at once within a memory limit.
const BODY_READ_BYTES: usize = 8 * 1024;
/// Most bytes that are read until the head of an answer is complete, including informational heads
/// and the part of the body that is read together with the head.
const MAX_BYTES_BEFORE_HEAD: usize = 4 * MAX_HEAD_BYTES;

/// Most informational heads before the head of an answer. Reading thousands of them takes seconds.
const MAX_INFORMATIONAL_HEADS: u32 = 16;

/// Time before the end of its keep-alive time in which a peer may close an idle connection.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(300);

/// Body of a request that a client sends.
pub type RequestBody = Full<Bytes>;

/// Why a call failed.
#[derive(Debug, Error)]
pub enum HttpCallError {
    /// No connection was opened; nothing was sent.
    #[error("failed to connect to {address}")]
    Connect {
        /// Address of the peer.
        address: SocketAddr,
        /// Error of the operating system; `None` after a timeout, or when new connections were closed
        /// before the request was sent.
        #[source]
        source: Option<std::io::Error>,
    },
    /// The request was no longer wanted when its connection opened; nothing was sent.
    #[error("the request was withdrawn before the connection to {address} opened")]
    Withdrawn {
        /// Address of the peer.
        address: SocketAddr,
    },
    /// The connection failed before the head of the answer; the request may have started.
    #[error("{address} ended the connection without an answer")]
    Lost {
        /// Address of the peer.
        address: SocketAddr,
        /// Error of the HTTP library.
        #[source]
        source: hyper::Error,
    },
    /// No answer arrived in time; the request may have started.
    #[error("{address} sent no answer for {}s", limit.as_secs_f32())]
    TimedOut {
        /// Address of the peer.
        address: SocketAddr,
        /// The timeout.
        limit: Duration,
    },
}

impl HttpCallError {
    /// Whether no part of the request was sent, so that the peer can't have started it.
    pub fn is_unsent(&self) -> bool {
        matches!(self, HttpCallError::Connect { .. } | HttpCallError::Withdrawn { .. })
    }
}

/// Whether a call may use an idle connection of the pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// An idle connection is used if there is one.
    Allowed,
    /// A new connection is opened.
    Never,
}

/// Timeouts of one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallLimits {
    /// Longest time until a connection is open; applies to each connection that is tried.
    pub connect: Duration,
    /// Longest time from sending the request until the head of the answer arrives.
    pub head: Duration,
}

/// What was read since the last request was sent. The callback of hyper for informational heads has to
/// be `Sync`.
#[derive(Default)]
struct HeadProgress {
    /// Whether the head of the answer is awaited.
    is_awaited: AtomicBool,
    /// Whether the whole request has been written.
    is_flushed: AtomicBool,
    /// Bytes that were read while it was awaited.
    bytes: AtomicUsize,
    /// Informational heads.
    informational: AtomicU32,
    /// Counts a head that is longer than ordinary ones.
    counted: Mutex<Option<AnswerMemory>>,
}

impl HeadProgress {
    fn begin(&self) {
        self.bytes.store(0, Ordering::Relaxed);
        self.informational.store(0, Ordering::Relaxed);
        self.is_flushed.store(false, Ordering::Relaxed);
        self.is_awaited.store(true, Ordering::Relaxed);
        self.count(None);
    }

    fn count(&self, memory: Option<AnswerMemory>) {
        *self.counted.lock().unwrap_or_else(PoisonError::into_inner) = memory;
    }

    /// Whether the next bytes of the head need room in `memory` and don't get it.
    fn lacks_room(&self, memory: &Memory) -> bool {
        let is_ordinary = self.bytes.load(Ordering::Relaxed) < ORDINARY_ANSWER_BYTES as usize;
        if !memory.is_limited() || is_ordinary || !self.is_awaited.load(Ordering::Relaxed) {
            return false;
        }
        let mut counted = self.counted.lock().unwrap_or_else(PoisonError::into_inner);
        if counted.is_none() {
            let head = memory.incoming_answer();
            *counted = head.try_reserve(LIMITED_HEAD_BYTES).then_some(head);
        }
        counted.is_none()
    }

    fn end(&self) {
        self.is_awaited.store(false, Ordering::Relaxed);
    }

    /// Fails if more has arrived than the head of an answer may take.
    fn check(&self) -> io::Result<()> {
        let is_too_long = self.bytes.load(Ordering::Relaxed) > MAX_BYTES_BEFORE_HEAD
            || self.informational.load(Ordering::Relaxed) > MAX_INFORMATIONAL_HEADS;
        if is_too_long && self.is_awaited.load(Ordering::Relaxed) {
            let text = "the head of the answer is too long";
            return Err(io::Error::new(io::ErrorKind::InvalidData, text));
        }
        Ok(())
    }
}

/// An open connection.
struct RequestSender {
    requests: SendRequest<RequestBody>,
    head: Arc<HeadProgress>,
    /// Whether it has carried a request and was returned to the pool.
    is_reused: bool,
    opened: Instant,
    /// When it was last returned to the pool.
    idle_since: Instant,
    /// Time without a request after which the peer closes it, by the last answer; `None` if that named
    /// none.
    keep_alive: Option<Duration>,
}

impl RequestSender {
    /// Whether the peer may have closed the idle connection because it was idle for long.
    fn has_expired(&self) -> bool {
        self.keep_alive.is_some_and(|limit| self.idle_since.elapsed() + KEEP_ALIVE_MARGIN >= limit)
    }

    /// Sends a request and waits for the head of its answer.
    async fn send(&mut self, mut request: Request<RequestBody>) -> SendResult {
        let head = self.head.clone();
        ext::on_informational(&mut request, move |_| {
            head.informational.fetch_add(1, Ordering::Relaxed);
        });
        self.head.begin();
        let sent = self.requests.try_send_request(request).await;
        self.head.end();
        sent
    }
}

/// A stream that limits the bytes and the informational heads read before the head of an answer. hyper
/// itself reads informational heads without a limit on their number. A long head is read only when there
/// is memory for it.
/// Within a memory limit bodies are read in short parts.
struct HeadLimitedStream {
    stream: TcpStream,
    head: Arc<HeadProgress>,
    memory: Memory,
    /// Ends when room for a long head is asked for again.
    pause: Option<Pin<Box<Sleep>>>,
}

impl HeadLimitedStream {
    /// Reads a part of a body that is short enough for hyper not to enlarge its buffer: a part that has
    /// been read, and the next one, are held until there is room for them.
    fn poll_read_part(
        &mut self,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<usize>> {
        let most = buffer.remaining().min(BODY_READ_BYTES);
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(most));
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut part))?;
        let bytes = part.filled().len();
        buffer.advance(bytes);
        Poll::Ready(Ok(bytes))
    }
}

impl AsyncRead for HeadLimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.head.check()?;
        while self.head.lacks_room(&self.memory) {
            let pause = self.pause.get_or_insert_with(|| Box::pin(sleep(POLL_INTERVAL)));
            ready!(pause.as_mut().poll(cx));
            self.pause = None;
        }
        let limits_read = self.memory.is_limited() && !self.head.is_awaited.load(Ordering::Relaxed);
        let bytes = match limits_read {
            true => ready!(self.poll_read_part(cx, buffer))?,
            false => {
                let before = buffer.filled().len();
                ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
                buffer.filled().len() - before
            }
        };
        self.head.bytes.fetch_add(bytes, Ordering::Relaxed);
        self.head.check()?;
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for HeadLimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// hyper flushes when all that it has to write is written.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        self.head.is_flushed.store(true, Ordering::Relaxed);
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Idle connections, sorted by address.
type IdleSenders = Vec<(SocketAddr, Vec<RequestSender>)>;

/// An HTTP client with a pool of idle connections; clones share the pool.
#[derive(Clone, Default)]
pub struct HttpClient {
    idle: Rc<RefCell<IdleSenders>>,
    /// Signalled when a connection has ended.
    ended: Rc<Notify>,
    /// Addresses of which the last idle connection was found closed.
    lost: Rc<RefCell<Vec<SocketAddr>>>,
    /// Limits the buffers of connections, and counts long heads of answers.
    memory: Memory,
}

impl HttpClient {
    /// A client whose connections have buffers that fit into the memory of the process.
    pub fn within(memory: &Memory) -> HttpClient {
        HttpClient { memory: memory.clone(), ..HttpClient::default() }
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// After the body of the answer was read to its end, [`HttpClient::release`] returns the connection
    /// to the pool.
    ///
    /// # Errors
    ///
    /// Fails when no connection opens, or when the head of the answer does not arrive in time.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: Request<RequestBody>,
        reuse: Reuse,
        limits: CallLimits,
    ) -> Result<(Response<Incoming>, Connection), HttpCallError> {
        self.call_if_wanted(address, request, reuse, limits, || true).await
    }

    /// Like [`HttpClient::call`], but sends the request over a new connection only if `is_wanted`
    /// still returns true when the connection has opened. Opening may take several times
    /// [`CallLimits::connect`].
    ///
    /// # Errors
    ///
    /// As for [`HttpClient::call`], and when the request is no longer wanted.
    pub async fn call_if_wanted(
        &self,
        address: SocketAddr,
        request: Request<RequestBody>,
        reuse: Reuse,
        limits: CallLimits,
        is_wanted: impl Fn() -> bool,
    ) -> Result<(Response<Incoming>, Connection), HttpCallError> {
        let mut request = request;
        while reuse == Reuse::Allowed
            && let Some(mut sender) = self.take_idle(address)
        {
            match timeout(limits.head, sender.send(request)).await {
                // The peer had closed the idle connection before the request was sent.
                Ok(Err(mut error)) if error.message().is_some() => {
                    request = error.take_message().expect("it was just seen");
                }
                result => return classify(address, limits, sender, result),
            }
        }
        for _ in 0..MAX_CONNECTION_ATTEMPTS {
            let mut sender =
                connect(address, limits.connect, &self.memory, self.ended.clone()).await?;
            if !is_wanted() {
                return Err(HttpCallError::Withdrawn { address });
            }
            match timeout(limits.head, sender.send(request)).await {
                // The new connection was closed before the request was sent.
                Ok(Err(mut error)) if error.message().is_some() => {
                    request = error.take_message().expect("it was just seen");
                }
                result => return classify(address, limits, sender, result),
            }
        }
        Err(HttpCallError::Connect { address, source: None })
    }

    /// Returns a connection to the pool for further calls.
    pub fn release(&self, connection: Connection) {
        self.release_bounded(connection, MAX_IDLE_CONNECTIONS);
    }

    /// Returns a connection to the pool unless the pool already holds `max_idle` connections to its
    /// address. Other clients share the connections that the peer accepts.
    pub fn release_bounded(&self, connection: Connection, max_idle: usize) {
        let Connection { address, mut sender, is_last } = connection;
        sender.is_reused = true;
        sender.idle_since = Instant::now();
        sender.head.count(None);
        if is_last || sender.requests.is_closed() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        match idle.binary_search_by(|it| it.0.cmp(&address)) {
            Ok(found) if idle[found].1.len() >= max_idle => {}
            Ok(found) => idle[found].1.push(*sender),
            Err(index) => idle.insert(index, (address, vec![*sender])),
        }
    }

    /// Closes all idle connections to an address; used after one of them became unresponsive.
    pub fn close_idle(&self, address: SocketAddr) {
        let mut idle = self.idle.borrow_mut();
        if let Ok(found) = idle.binary_search_by(|it| it.0.cmp(&address)) {
            idle.remove(found);
        }
    }

    /// Waits until a connection has ended.
    pub async fn connection_ended(&self) {
        self.ended.notified().await;
    }

    /// The addresses of which all idle connections were closed by the peer since the last call, other
    /// than for having been idle for long: the process there may have ended.
    pub fn take_lost_addresses(&self) -> Vec<SocketAddr> {
        let mut lost = self.lost.take();
        self.idle.borrow_mut().retain_mut(|(address, senders)| {
            let ended: Vec<RequestSender> =
                senders.extract_if(.., |it| it.requests.is_closed()).collect();
            if senders.is_empty() && ended.iter().any(|it| !it.has_expired()) {
                lost.push(*address);
            }
            !senders.is_empty()
        });
        lost.sort();
        lost.dedup();
        lost.retain(|it| self.idle_connections(*it) == 0);
        lost
    }

    /// For how long the oldest idle connection to an address has been open; `None` without one.
    pub fn oldest_connection(&self, address: SocketAddr) -> Option<Duration> {
        let idle = self.idle.borrow();
        let found = idle.binary_search_by(|it| it.0.cmp(&address)).ok()?;
        let open = idle[found].1.iter().filter(|it| !it.requests.is_closed());
        open.map(|it| it.opened.elapsed()).max()
    }

    /// Number of idle connections to an address that the peer has not closed.
    pub fn idle_connections(&self, address: SocketAddr) -> usize {
        let idle = self.idle.borrow();
        let found = idle.binary_search_by(|it| it.0.cmp(&address));
        found.map_or(0, |found| idle[found].1.iter().filter(|it| !it.requests.is_closed()).count())
    }

    fn take_idle(&self, address: SocketAddr) -> Option<RequestSender> {
        let mut idle = self.idle.borrow_mut();
        let found = idle.binary_search_by(|it| it.0.cmp(&address)).ok()?;
        let senders = &mut idle[found].1;
        let mut is_lost = false;
        while let Some(sender) = senders.pop() {
            if sender.requests.is_ready() {
                return Some(sender);
            }
            is_lost |= !sender.has_expired();
        }
        if is_lost {
            self.lost.borrow_mut().push(address);
            self.ended.notify_one();
        }
        None
    }
}

type SendResult = Result<Response<Incoming>, TrySendError<Request<RequestBody>>>;

/// Converts the result of sending a request over a connection.
fn classify(
    address: SocketAddr,
    limits: CallLimits,
    sender: RequestSender,
    result: Result<SendResult, Elapsed>,
) -> Result<(Response<Incoming>, Connection), HttpCallError> {
    match result {
        Ok(Ok(answer)) => {
            let mut sender = Box::new(sender);
            sender.keep_alive = keep_alive(answer.headers());
            let connection = answer.headers().get(header::CONNECTION);
            let is_last = connection.is_some_and(|it| it.as_bytes().eq_ignore_ascii_case(b"close"));
            Ok((answer, Connection { address, sender, is_last }))
        }
        // hyper returned the request, so no byte of it was sent.
        Ok(Err(error)) if error.message().is_some() => {
            Err(HttpCallError::Connect { address, source: None })
        }
        Ok(Err(error)) => Err(HttpCallError::Lost { address, source: error.into_error() }),
        Err(_) => Err(HttpCallError::TimedOut { address, limit: limits.head }),
    }
}

/// Whether an answer has neither a length nor chunks, so that the end of its connection ends it.
pub fn ends_with_connection(headers: &HeaderMap) -> bool {
    !headers.contains_key(header::CONTENT_LENGTH)
        && !headers.contains_key(header::TRANSFER_ENCODING)
}

/// The time without a request after which the peer closes a connection, by the head of an answer.
fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let mut parameters = value.split(',').map(str::trim);
    let seconds = parameters.find_map(|it| it.strip_prefix("timeout="))?;
    seconds.parse().ok().map(Duration::from_secs)
}

/// Whether `address` refuses connections, which means that nothing listens there.
pub async fn refuses_connections(address: SocketAddr, limit: Duration) -> bool {
    let connected = timeout(limit, TcpStream::connect(address)).await;
    matches!(connected, Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused)
}

/// Whether a connection to `address` opens within `connect`, and the peer keeps it open for `hold`.
pub async fn holds_connection(address: SocketAddr, connect: Duration, hold: Duration) -> bool {
    let Ok(Ok(stream)) = timeout(connect, TcpStream::connect(address)).await else { return false };
    let closed = async {
        let mut byte = [0];
        stream.peek(&mut byte).await.map_or(true, |bytes| bytes == 0)
    };
    // A time-out means that the connection is still open.
    !timeout(hold, closed).await.unwrap_or(false)
}

/// A connection whose answer is being read; dropping it closes it.
pub struct Connection {
    address: SocketAddr,
    sender: Box<RequestSender>,
    /// Whether the peer closes it after the answer.
    is_last: bool,
}

impl Connection {
    /// Whether an answer that has ended is cut: nothing but the end of the connection ends it, and that
    /// came before the whole request was written. `headers` are those of the answer.
    pub fn has_cut(&self, headers: &HeaderMap) -> bool {
        ends_with_connection(headers) && !self.sender.head.is_flushed.load(Ordering::Relaxed)
    }

    /// Checks the head of an answer whose body has been read.
    ///
    /// # Errors
    ///
    /// Fails if the answer was cut, or HTTP does not define its status.
    pub fn check_answer(&self, head: &response::Parts) -> Result<(), ReadError> {
        match answers::is_defined(head.status) {
            true if self.has_cut(&head.headers) => Err(ReadError::Cut),
            true => Ok(()),
            false => Err(ReadError::UndefinedStatus),
        }
    }

    /// Whether it carried another request before, so that a late second answer to that one may arrive
    /// on it.
    pub fn is_reused(&self) -> bool {
        self.sender.is_reused
    }
}

/// Opens a connection. The buffers have to be set before, because the peer learns their size then.
async fn open(address: SocketAddr, socket_buffer: Option<usize>) -> io::Result<TcpStream> {
    let Some(bytes) = socket_buffer else { return TcpStream::connect(address).await };
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
    socket.set_recv_buffer_size(bytes)?;
    socket.set_send_buffer_size(bytes)?;
    socket.connect(address).await
}

async fn connect(
    address: SocketAddr,
    limit: Duration,
    memory: &Memory,
    ended: Rc<Notify>,
) -> Result<RequestSender, HttpCallError> {
    let failed = |source| HttpCallError::Connect { address, source };
    let stream = match timeout(limit, open(address, memory.socket_buffer())).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(source)) => return Err(failed(Some(source))),
        Err(_) => return Err(failed(None)),
    };
    let _ = stream.set_nodelay(true);
    // Without this, a call over a connection to a vanished peer waits until its own timeout.
    if let Err(error) =
        SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_DATA_TIMEOUT))
    {
        tracing::debug!(%error, %address, "failed to set TCP_USER_TIMEOUT");
    }
    let head = Arc::<HeadProgress>::default();
    let limited =
        HeadLimitedStream { stream, head: head.clone(), memory: memory.clone(), pause: None };
    let (requests, connection) = http1::Builder::new()
        .max_buf_size(if memory.is_limited() { LIMITED_HEAD_BYTES } else { MAX_HEAD_BYTES })
        .handshake(TokioIo::new(limited))
        .await
        .map_err(|_| failed(None))?;
    task::spawn_local(async move {
        if let Err(error) = connection.await {
            tracing::debug!(%error, %address, "connection closed with an error");
        }
        ended.notify_one();
    });
    let now = Instant::now();
    Ok(RequestSender {
        requests,
        head,
        is_reused: false,
        opened: now,
        idle_since: now,
        keep_alive: None,
    })
}
