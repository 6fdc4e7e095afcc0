//! HTTP/1 servers with limits on clients; they run on the single-threaded event loop of the process.

use std::{cell::Cell, future::Future, net::SocketAddr, rc::Rc, time::Duration};

use hyper::{
    Request,
    body::Incoming,
    header::{CONNECTION, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use thiserror::Error;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Semaphore, watch},
    task,
};

use crate::transport::body::Answer;

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
    TcpListener::bind(address).await.map_err(|source| ServerError::Listen { role, address, source })
}

/// Serves connections until `stop` becomes true; returns once every connection is closed.
///
/// After that, connections that were waiting to be accepted are still served, and open connections
/// finish their request and close. A connection above the limit is closed at once. `handler` answers
/// every request and never fails; it is called on the current thread.
pub async fn serve<H, F>(
    listener: TcpListener,
    limits: ServerLimits,
    mut stop: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(Request<Incoming>, SocketAddr) -> F + 'static,
    F: Future<Output = Answer> + 'static,
{
    let handler = Rc::new(handler);
    let permits = std::sync::Arc::new(Semaphore::new(limits.connections));
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stop| *stop) => break,
        };
        let (stream, peer) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                tracing::warn!(%error, "failed to accept a connection");
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            }
        };
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            tracing::warn!(%peer, limit = limits.connections, "too many connections");
            continue;
        };
        let (handler, stop) = (handler.clone(), stop.clone());
        task::spawn_local(async move {
            serve_connection(stream, peer, limits, stop, handler).await;
            drop(permit);
        });
    }
    drop(listener);
    // All permits are available once the last connection is closed.
    let _ = permits.acquire_many(u32::try_from(limits.connections).unwrap_or(u32::MAX)).await;
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    peer: SocketAddr,
    limits: ServerLimits,
    mut stop: watch::Receiver<bool>,
    handler: Rc<H>,
) where
    H: Fn(Request<Incoming>, SocketAddr) -> F + 'static,
    F: Future<Output = Answer> + 'static,
{
    let _ = stream.set_nodelay(true);
    let remaining_requests = Cell::new(limits.requests);
    let service = service_fn(move |request| {
        remaining_requests.set(remaining_requests.get().saturating_sub(1));
        let is_last = remaining_requests.get() == 0;
        let answer = handler(request, peer);
        async move {
            let mut answer = answer.await;
            if is_last {
                let close = HeaderValue::from_static("close");
                answer.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, std::convert::Infallible>(answer)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_time)
        .max_buf_size(limits.header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        result = connection.as_mut() => return log_connection_error(result),
        _ = stop.wait_for(|stop| *stop) => connection.as_mut().graceful_shutdown(),
    }
    log_connection_error(connection.await);
}

/// Smallest buffer that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8192;

fn log_connection_error(result: Result<(), hyper::Error>) {
    if let Err(error) = result {
        tracing::debug!(%error, "connection closed with an error");
    }
}
