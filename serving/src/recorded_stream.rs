//! TCP stream of a listener's connection, which records in the state of the connection what is read and
//! written.

use crate::connection_state::ConnectionState;
use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// A TCP stream that records reads and complete writes.
#[derive(Debug)]
pub struct RecordedStream {
    stream: TcpStream,
    connection: Arc<ConnectionState>,
    /// Whether the peer takes no more bytes.
    is_blocked: bool,
    /// Whether the write side has been shut down, after which received bytes are discarded.
    is_shut_down: bool,
}

impl RecordedStream {
    /// Wraps a connected stream.
    pub fn new(stream: TcpStream, connection: Arc<ConnectionState>) -> Self {
        Self { stream, connection, is_blocked: false, is_shut_down: false }
    }

    /// Records whether the peer takes bytes, if that has changed.
    fn record_write(&mut self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if self.is_blocked != written.is_pending() {
            self.is_blocked = written.is_pending();
            self.connection.record_blocked(self.is_blocked);
        }
        written
    }
}

impl AsyncRead for RecordedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        if buf.filled().len() > filled && !self.is_shut_down {
            self.connection.record_read();
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for RecordedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_write(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record_write(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        self.connection.record_flush();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
        self.is_shut_down = true;
        self.connection.record_shutdown();
        Poll::Ready(Ok(()))
    }
}
