//! Limits what a peer sends beside the data of its response.
//!
//! Interim heads, chunk sizes, their extensions and trailers carry no data, so that no limit on the size
//! of a body ends them. The peer may send as many bytes as its response has data, and a fixed number
//! beyond that.

use hyper_util::client::legacy::connect::Connected;
use hyper_util::client::legacy::connect::Connection;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicI64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

/// Maximum number of bytes of a response that are not matched by data, including those that were received
/// and not read yet.
const MAX_UNMATCHED_BYTES: i64 = 128 << 10;

/// Number of bytes that the peer may still send; clones share it. A read may take more, which is withdrawn
/// from what later data adds.
#[derive(Debug, Clone)]
pub struct ReadAllowance(Arc<AtomicI64>);

impl ReadAllowance {
    /// Returns the allowance of a response of which nothing has been received.
    pub fn new() -> Self {
        Self(Arc::new(AtomicI64::new(MAX_UNMATCHED_BYTES)))
    }

    /// Starts a new response.
    pub fn reset(&self) {
        self.0.store(MAX_UNMATCHED_BYTES, Ordering::Relaxed);
    }

    /// Records that `len` bytes of data were received: the peer may send these and as many others.
    pub fn record_data(&self, len: usize) {
        self.0.fetch_add(2 * len as i64, Ordering::Relaxed);
    }

    fn is_used_up(&self) -> bool {
        self.0.load(Ordering::Relaxed) <= 0
    }

    fn withdraw(&self, len: usize) {
        self.0.fetch_sub(len as i64, Ordering::Relaxed);
    }
}

impl Default for ReadAllowance {
    fn default() -> Self {
        Self::new()
    }
}

/// A connection on which reading fails once the allowance is used up.
#[derive(Debug)]
pub struct MeteredStream<S> {
    inner: S,
    allowance: ReadAllowance,
}

impl<S> MeteredStream<S> {
    /// Wraps a connection.
    pub fn new(inner: S, allowance: ReadAllowance) -> Self {
        Self { inner, allowance }
    }
}

/// Gives each response on a pooled connection the allowance as an extension.
impl<S> Connection for MeteredStream<S> {
    fn connected(&self) -> Connected {
        Connected::new().extra(self.allowance.clone())
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for MeteredStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.allowance.is_used_up() {
            let reason = format!(
                "the response has more than {MAX_UNMATCHED_BYTES} bytes beyond twice its data"
            );
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, reason)));
        }
        let filled = buf.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(cx, buf))?;
        self.allowance.withdraw(buf.filled().len() - filled);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for MeteredStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
