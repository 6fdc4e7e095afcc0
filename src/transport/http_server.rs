//! HTTP/1 servers with limits on clients; they run on the single-threaded event loop of the process.

use std::{
    cell::{Cell, RefCell},
    future::Future,
    io,
    net::SocketAddr,
    pin::Pin,
    rc::Rc,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use hyper::{
    Request,
    body::{Body, Frame, Incoming, SizeHint},
    header::{CONNECTION, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use medlarlug_core::time::Time;
use thiserror::Error;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::{TcpListener, TcpSocket, TcpStream},
    sync::{Semaphore, watch},
    task,
    time::sleep,
};

use crate::{
    coordination::clock::Clock,
    transport::{
        body::{Answer, AnswerBody, TruncatedBody},
        memory::{AnswerMemory, ClientConnection, ClientMemory, Memory},
    },
};

/// Limits that a server imposes on its clients.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerLimits {
    /// Longest head of a request; at least 8,192 bytes are permitted.
    pub header_bytes: usize,
    /// Longest time in which a client sends the head of a request.
    pub header_time: Duration,
    /// Most open connections; further ones are closed at once.
    pub connections: usize,
    /// Requests that one connection carries before it is closed.
    pub requests: u32,
}

/// Why a server could not be started.
#[derive(Debug, Error)]
pub enum ServerError {
    /// The address can't be bound.
    #[error("failed to listen for {role} at {address}")]
    Listen {
        /// The clients that the server is for.
        role: &'static str,
        /// Address and port to which the listening socket could not be bound.
        address: SocketAddr,
        /// Error of the operating system.
        #[source]
        source: std::io::Error,
    },
}

/// Binds the listening socket of a server for the clients named by `role`.
///
/// # Errors
///
/// Fails when the address can't be bound.
pub async fn listen(role: &'static str, address: SocketAddr) -> Result<TcpListener, ServerError> {
    listen_within(role, address, &Memory::unlimited()).await
}

/// Like [`listen`], with socket buffers that fit into the memory of the process. Connections inherit
/// them.
///
/// # Errors
///
/// Fails when the address can't be bound.
pub async fn listen_within(
    role: &'static str,
    address: SocketAddr,
    memory: &Memory,
) -> Result<TcpListener, ServerError> {
    let failed = |source| ServerError::Listen { role, address, source };
    let Some(bytes) = memory.socket_buffer() else {
        return TcpListener::bind(address).await.map_err(failed);
    };
    let bind = || {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        // As `TcpListener::bind` does.
        socket.set_reuseaddr(true)?;
        let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
        socket.set_recv_buffer_size(bytes)?;
        socket.set_send_buffer_size(bytes)?;
        socket.bind(address)?;
        socket.listen(LISTEN_BACKLOG)
    };
    bind().map_err(failed)
}

/// Connections that the system establishes before they are accepted, as `TcpListener::bind` sets it.
const LISTEN_BACKLOG: u32 = 1024;

/// Time for which connections stay open after a server was stopped, for requests that are on their way.
pub const LAST_REQUEST_TIME: Duration = Duration::from_millis(250);

/// Serves connections until `stop` becomes true; returns once every connection is closed.
///
/// After that, connections that were waiting to be accepted are still served. Requests that arrive
/// within [`LAST_REQUEST_TIME`] are answered, with the note that the connection closes, and then every
/// connection closes once it has finished its request. A connection above the limit is closed at once.
/// `handler` answers every request and never fails; it is called on the current thread.
pub async fn serve<H, F>(
    listener: TcpListener,
    limits: ServerLimits,
    stop: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(Request<Incoming>, SocketAddr) -> F + 'static,
    F: Future<Output = Answer> + 'static,
{
    serve_within(listener, limits, Memory::unlimited(), stop, handler).await;
}

/// Like [`serve`], within the memory of the process. Each request carries a [`ClientMemory`]. When there
/// are too many connections, the one that has waited longest for its client is closed for a new one.
pub async fn serve_within<H, F>(
    listener: TcpListener,
    limits: ServerLimits,
    memory: Memory,
    mut stop: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(Request<Incoming>, SocketAddr) -> F + 'static,
    F: Future<Output = Answer> + 'static,
{
    let handler = Rc::new(handler);
    let permits = Arc::new(Semaphore::new(limits.connections));
    let clock = Clock::start();
    let open = Rc::new(RefCell::new(Vec::<Arc<ClientConnection>>::new()));
    let accept = |stream: TcpStream, peer: SocketAddr, stop: &watch::Receiver<bool>| {
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            // The caller of the next connection finds room.
            let is_replaced = memory.is_limited() && close_idle(&open.borrow(), clock.now());
            tracing::warn!(%peer, limit = limits.connections, is_replaced, "too many connections");
            return;
        };
        let (handler, stop) = (handler.clone(), stop.clone());
        let connection = Arc::<ClientConnection>::default();
        connection.record_activity(clock.now());
        open.borrow_mut().push(connection.clone());
        let (open, memory) = (open.clone(), memory.clone());
        task::spawn_local(async move {
            let client = Client { connection: connection.clone(), memory, clock };
            serve_connection(stream, peer, limits, stop, handler, client).await;
            open.borrow_mut().retain(|it| !Arc::ptr_eq(it, &connection));
            drop(permit);
        });
    };
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stop| *stop) => break,
        };
        match accepted {
            Ok((stream, peer)) => accept(stream, peer, &stop),
            Err(error) => {
                tracing::warn!(%error, "failed to accept a connection");
                sleep(ACCEPT_RETRY_INTERVAL).await;
            }
        }
    }
    for (stream, peer) in waiting_connections(listener) {
        accept(stream, peer, &stop);
    }
    // All permits are available once the last connection is closed.
    let _ = permits.acquire_many(u32::try_from(limits.connections).unwrap_or(u32::MAX)).await;
}

/// Time before the next connection is accepted after the system reported an error.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// Accepts the connections that the system has established, and closes the listener.
///
/// tokio's listener learns of new connections only between tasks, so it may report none although
/// callers have sent requests already, which closing the listener would reset.
fn waiting_connections(listener: TcpListener) -> Vec<(TcpStream, SocketAddr)> {
    let mut waiting = Vec::new();
    let listener = match listener.into_std() {
        Ok(listener) => listener,
        Err(error) => {
            tracing::warn!(%error, "failed to accept the waiting connections");
            return waiting;
        }
    };
    loop {
        let accepted = listener.accept().and_then(|(stream, peer)| {
            stream.set_nonblocking(true)?;
            Ok((TcpStream::from_std(stream)?, peer))
        });
        match accepted {
            Ok(connection) => waiting.push(connection),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return waiting,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => {
                tracing::warn!(%error, "failed to accept a connection");
                return waiting;
            }
        }
    }
}

/// Closes the connection that has waited longest for its client. Returns whether there is one.
fn close_idle(open: &[Arc<ClientConnection>], now: Time) -> bool {
    let idle = open.iter().filter_map(|it| Some((it.idle(now)?, it)));
    match idle.max_by_key(|it| it.0) {
        Some((_, connection)) => {
            connection.close();
            true
        }
        None => false,
    }
}

/// The client of a connection.
struct Client {
    connection: Arc<ClientConnection>,
    memory: Memory,
    clock: Clock,
}

/// A stream that records its activity.
struct ObservedStream {
    stream: TcpStream,
    connection: Arc<ClientConnection>,
    clock: Clock,
}

impl ObservedStream {
    fn record_write(&self, result: &Poll<io::Result<usize>>) {
        self.connection.set_write_blocked(result.is_pending());
        if let Poll::Ready(Ok(1..)) = result {
            self.connection.record_activity(self.clock.now());
        }
    }
}

impl AsyncRead for ObservedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        if buffer.filled().len() > before {
            self.connection.record_activity(self.clock.now());
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ObservedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.record_write(&result);
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, buffers);
        self.record_write(&result);
        result
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

/// Counts a request until its answer is dropped.
struct OpenRequest(Arc<ClientConnection>);

impl OpenRequest {
    fn begin(connection: Arc<ClientConnection>) -> OpenRequest {
        connection.begin_request();
        OpenRequest(connection)
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.end_request();
    }
}

/// The body of an answer, whose request is open until its last part is taken.
struct OpenBody {
    body: AnswerBody,
    _request: OpenRequest,
}

impl Body for OpenBody {
    type Data = Bytes;
    type Error = TruncatedBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedBody>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    peer: SocketAddr,
    limits: ServerLimits,
    mut stop: watch::Receiver<bool>,
    handler: Rc<H>,
    client: Client,
) where
    H: Fn(Request<Incoming>, SocketAddr) -> F + 'static,
    F: Future<Output = Answer> + 'static,
{
    let _ = stream.set_nodelay(true);
    let remaining_requests = Cell::new(limits.requests);
    let is_stopped = stop.clone();
    let Client { connection: state, memory, clock } = client;
    let stream = ObservedStream { stream, connection: state.clone(), clock };
    let client = state.clone();
    let service = service_fn(move |mut request: Request<Incoming>| {
        let open = OpenRequest::begin(client.clone());
        request.extensions_mut().insert(ClientMemory::new(memory.clone(), client.clone()));
        remaining_requests.set(remaining_requests.get().saturating_sub(1));
        let is_last = remaining_requests.get() == 0;
        let answer = handler(request, peer);
        let connection = client.clone();
        let is_stopped = is_stopped.clone();
        async move {
            let mut answer = answer.await;
            if let Some(memory) = answer.extensions().get::<AnswerMemory>() {
                memory.attach(&connection);
            }
            if is_last || *is_stopped.borrow() {
                let close = HeaderValue::from_static("close");
                answer.headers_mut().insert(CONNECTION, close);
            }
            let answer = answer.map(|body| OpenBody { body, _request: open });
            Ok::<_, std::convert::Infallible>(answer)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_time)
        .max_buf_size(limits.header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    // hyper closes a connection on which it has read nothing yet, also if a request has arrived.
    let last_request = async {
        let _ = stop.wait_for(|stop| *stop).await;
        sleep(LAST_REQUEST_TIME).await;
    };
    tokio::select! {
        result = connection.as_mut() => return log_connection_error(result),
        () = state.closed() => return,
        () = last_request => connection.as_mut().graceful_shutdown(),
    }
    tokio::select! {
        result = connection.as_mut() => log_connection_error(result),
        () = state.closed() => {}
    }
}

/// Smallest buffer that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8192;

fn log_connection_error(result: Result<(), hyper::Error>) {
    if let Err(error) = result {
        tracing::debug!(%error, "connection closed with an error");
    }
}
