//! Connections that can become unresponsive while they stay open.

use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// A TCP connection that transfers no more data once its flag is set: written data is discarded,
/// nothing is received, and the connection never closes.
pub struct Connection {
    inner: TcpStream,
    unresponsive: Rc<Cell<bool>>,
}

impl Connection {
    /// Wraps `inner`; setting `unresponsive` to true stops all transfer.
    pub fn new(inner: TcpStream, unresponsive: Rc<Cell<bool>>) -> Connection {
        Connection { inner, unresponsive }
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.unresponsive.get() {
            return Poll::Pending;
        }
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.inner).poll_read(cx, buffer);
        // Data or an end of the stream that was received after the flag was set is discarded.
        if self.unresponsive.get() {
            buffer.set_filled(before);
            return Poll::Pending;
        }
        read
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.unresponsive.get() {
            return Poll::Ready(Ok(bytes.len()));
        }
        Pin::new(&mut self.inner).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.unresponsive.get() {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.unresponsive.get() {
            return Poll::Pending;
        }
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
