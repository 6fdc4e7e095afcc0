//! HTTP/1 connections to upstreams and to other instances.
//!
//! Idle connections are kept for calls that may be repeated. A call that must not run twice takes
//! a new connection: an idle one may have gone silent, and its failure would not tell whether the
//! call began.

use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    pin::Pin,
    rc::Rc,
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
};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use thiserror::Error;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    task,
    time::{error::Elapsed, timeout},
};

/// Idle connections that are kept for one address.
const IDLE_CONNECTIONS: usize = 64;

/// New connections that a call tries, as long as not a byte of it has gone out.
const NEW_CONNECTIONS: usize = 3;

/// Time after which a connection ends whose data the other side does not acknowledge: several
/// retransmissions between two regions.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(1_500);

/// Longest head of an answer, in bytes: four times what the first deployments let callers send.
const HEAD_BYTES: usize = 64 * 1024;
/// Bytes that may come before the head of an answer is read, those of informational heads and of the
/// part of the body that is read along included.
const HEAD_ROOM: usize = 4 * HEAD_BYTES;

/// Body of a request that a client sends.
pub type RequestBody = Full<Bytes>;

/// Why a call failed.
#[derive(Debug, Error)]
pub enum HttpCallError {
    /// No connection: nothing was sent.
    #[error("failed to connect to {address}")]
    Connect {
        /// The other side.
        address: SocketAddr,
        /// The system's error; `None` when the time ran out.
        #[source]
        source: Option<std::io::Error>,
    },
    /// The request was not wanted any more when its connection opened: nothing was sent.
    #[error("withdrew the request when the connection to {address} opened")]
    Withdrawn {
        /// The other side.
        address: SocketAddr,
    },
    /// The connection ended before the head of the answer; the request may have begun.
    #[error("{address} ended the connection without an answer")]
    Lost {
        /// The other side.
        address: SocketAddr,
        /// The library's error.
        #[source]
        source: hyper::Error,
    },
    /// No answer came in time; the request may have begun.
    #[error("{address} sent no answer for {}s", limit.as_secs_f32())]
    TimedOut {
        /// The other side.
        address: SocketAddr,
        /// The time that it had.
        limit: Duration,
    },
}

impl HttpCallError {
    /// Whether the other side can't have begun the call.
    pub fn is_unsent(&self) -> bool {
        matches!(self, HttpCallError::Connect { .. } | HttpCallError::Withdrawn { .. })
    }
}

/// Whether a call may go over a connection that was used before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// Any connection will do.
    Allowed,
    /// Only a new connection will do.
    Never,
}

/// Time limits of one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallLimits {
    /// Time until the connection is open.
    pub connect: Duration,
    /// Time until the head of the answer.
    pub head: Duration,
}

/// Bytes that may still come before the head of an answer; `None` once the head is there.
type HeadRoom = Rc<Cell<Option<usize>>>;

/// One connection.
struct Sender {
    requests: SendRequest<RequestBody>,
    room: HeadRoom,
}

impl Sender {
    /// Sends a request and waits for the head of its answer.
    async fn send(&mut self, request: Request<RequestBody>) -> Sent {
        self.room.set(Some(HEAD_ROOM));
        let sent = self.requests.try_send_request(request).await;
        self.room.set(None);
        sent
    }
}

/// The reading side of a connection, which bounds what comes before the head of an answer: hyper
/// reads informational heads, of which there may be any number, as long as some are there.
struct Guarded {
    stream: TcpStream,
    room: HeadRoom,
}

impl AsyncRead for Guarded {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        if let Some(room) = self.room.get() {
            let bytes = buffer.filled().len() - before;
            let Some(left) = room.checked_sub(bytes) else {
                let text = "the head of the answer is too long";
                return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, text)));
            };
            self.room.set(Some(left));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Guarded {
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

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Idle connections, sorted by address.
type IdleSenders = Vec<(SocketAddr, Vec<Sender>)>;

/// A pool of connections.
#[derive(Clone, Default)]
pub struct HttpClient {
    idle: Rc<RefCell<IdleSenders>>,
}

impl HttpClient {
    /// Sends a request and waits for the head of the answer.
    ///
    /// The connection goes back to the pool by [`HttpClient::release`] once the answer's body
    /// was read to its end.
    ///
    /// # Errors
    ///
    /// Fails when no connection opens, or the answer's head does not arrive in time.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: Request<RequestBody>,
        reuse: Reuse,
        limits: CallLimits,
    ) -> Result<(Response<Incoming>, Connection), HttpCallError> {
        self.call_if_wanted(address, request, reuse, limits, || true).await
    }

    /// The same, but sends the request only if it `is_wanted` still when a new connection has opened,
    /// which may be [`CallLimits::connect`] later, several times.
    ///
    /// # Errors
    ///
    /// As [`HttpClient::call`]; and when the request is not wanted any more.
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
            && let Some(mut sender) = self.take(address)
        {
            match timeout(limits.head, sender.send(request)).await {
                // The other side had closed the connection before the request went out.
                Ok(Err(mut error)) if error.message().is_some() => {
                    request = error.take_message().expect("it was just seen");
                }
                result => return outcome(address, limits, sender, result),
            }
        }
        for _ in 0..NEW_CONNECTIONS {
            let mut sender = connect(address, limits.connect).await?;
            if !is_wanted() {
                return Err(HttpCallError::Withdrawn { address });
            }
            match timeout(limits.head, sender.send(request)).await {
                // The new connection was cut before the request went out.
                Ok(Err(mut error)) if error.message().is_some() => {
                    request = error.take_message().expect("it was just seen");
                }
                result => return outcome(address, limits, sender, result),
            }
        }
        Err(HttpCallError::Connect { address, source: None })
    }

    /// Keeps a connection for further calls.
    pub fn release(&self, connection: Connection) {
        self.release_bounded(connection, IDLE_CONNECTIONS);
    }

    /// The same, with `most` idle connections to its address: what the other side accepts is shared
    /// with other clients.
    pub fn release_bounded(&self, connection: Connection, most: usize) {
        let Connection { address, sender } = connection;
        if sender.requests.is_closed() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        match idle.binary_search_by(|it| it.0.cmp(&address)) {
            Ok(found) if idle[found].1.len() >= most => {}
            Ok(found) => idle[found].1.push(sender),
            Err(place) => idle.insert(place, (address, vec![sender])),
        }
    }

    /// Closes the idle connections to an address, after one of them went silent.
    pub fn close_idle(&self, address: SocketAddr) {
        let mut idle = self.idle.borrow_mut();
        if let Ok(found) = idle.binary_search_by(|it| it.0.cmp(&address)) {
            idle.remove(found);
        }
    }

    /// Idle connections to an address that the other side has not closed.
    pub fn idle_connections(&self, address: SocketAddr) -> usize {
        let idle = self.idle.borrow();
        let found = idle.binary_search_by(|it| it.0.cmp(&address));
        found.map_or(0, |found| idle[found].1.iter().filter(|it| !it.requests.is_closed()).count())
    }

    fn take(&self, address: SocketAddr) -> Option<Sender> {
        let mut idle = self.idle.borrow_mut();
        let found = idle.binary_search_by(|it| it.0.cmp(&address)).ok()?;
        let senders = &mut idle[found].1;
        while let Some(sender) = senders.pop() {
            if sender.requests.is_ready() {
                return Some(sender);
            }
        }
        None
    }
}

type Sent = Result<Response<Incoming>, TrySendError<Request<RequestBody>>>;

/// What became of a request that was handed to a connection.
fn outcome(
    address: SocketAddr,
    limits: CallLimits,
    sender: Sender,
    result: Result<Sent, Elapsed>,
) -> Result<(Response<Incoming>, Connection), HttpCallError> {
    match result {
        Ok(Ok(answer)) => Ok((answer, Connection { address, sender })),
        // The request came back, so not a byte of it went out.
        Ok(Err(error)) if error.message().is_some() => {
            Err(HttpCallError::Connect { address, source: None })
        }
        Ok(Err(error)) => Err(HttpCallError::Lost { address, source: error.into_error() }),
        Err(_) => Err(HttpCallError::TimedOut { address, limit: limits.head }),
    }
}

/// Whether nothing listens at `address` any more.
pub async fn refuses_connections(address: SocketAddr, limit: Duration) -> bool {
    let connected = timeout(limit, TcpStream::connect(address)).await;
    matches!(connected, Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused)
}

/// A connection whose answer is being read; dropping it closes it.
pub struct Connection {
    address: SocketAddr,
    sender: Sender,
}

async fn connect(address: SocketAddr, limit: Duration) -> Result<Sender, HttpCallError> {
    let failed = |source| HttpCallError::Connect { address, source };
    let stream = match timeout(limit, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(source)) => return Err(failed(Some(source))),
        Err(_) => return Err(failed(None)),
    };
    let _ = stream.set_nodelay(true);
    // Without it, a connection whose other side has vanished hangs until the call's time is up.
    if let Err(error) = SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT)) {
        tracing::debug!(%error, %address, "no limit on unacknowledged data");
    }
    let room = HeadRoom::default();
    let guarded = Guarded { stream, room: room.clone() };
    let (requests, connection) = http1::Builder::new()
        .max_buf_size(HEAD_BYTES)
        .handshake(TokioIo::new(guarded))
        .await
        .map_err(|_| failed(None))?;
    task::spawn_local(async move {
        if let Err(error) = connection.await {
            tracing::debug!(%error, %address, "connection ended early");
        }
    });
    Ok(Sender { requests, room })
}
