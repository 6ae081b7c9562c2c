//! Stream of a caller that is closed only after the caller has closed its side, or after a short
//! time or a number of bytes. If it were closed with unread received bytes, the system would reset the
//! connection, and the caller would lose the part of the response that it has not received yet.

use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::time::Sleep;
use tokio::time::sleep;

/// Maximum time for which received bytes are discarded after the write side has been shut down.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Size of the buffer for discarded bytes.
const DISCARD_BUFFER: usize = 4096;

#[derive(Debug)]
struct Linger {
    end: Pin<Box<Sleep>>,
    bytes_left: usize,
}

/// A stream whose shutdown reads and discards what the peer still sends.
#[derive(Debug)]
pub struct LingeringStream<S> {
    stream: S,
    /// Maximum number of bytes that are discarded.
    max_discarded: usize,
    /// Set once the write side has been shut down.
    linger: Option<Linger>,
}

impl<S> LingeringStream<S> {
    /// Wraps a connected stream, of which at most `max_discarded` bytes are discarded.
    pub fn new(stream: S, max_discarded: usize) -> Self {
        Self { stream, max_discarded, linger: None }
    }
}

impl Linger {
    /// Reads and discards bytes until the peer has closed its side, or a limit is reached.
    fn poll_discard<S: AsyncRead + Unpin>(
        &mut self,
        stream: &mut S,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        if self.end.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Ok(()));
        }
        loop {
            let mut bytes = [0; DISCARD_BUFFER];
            let mut buf = ReadBuf::new(&mut bytes);
            ready!(Pin::new(&mut *stream).poll_read(cx, &mut buf))?;
            let len = buf.filled().len();
            if len == 0 || len > self.bytes_left {
                return Poll::Ready(Ok(()));
            }
            self.bytes_left -= len;
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for LingeringStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncWrite for LingeringStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.linger.is_none() {
            ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
            let end = Box::pin(sleep(LINGER_TIMEOUT));
            self.linger = Some(Linger { end, bytes_left: self.max_discarded });
        }
        let Self { stream, linger, .. } = &mut *self;
        match linger {
            Some(linger) => linger.poll_discard(stream, cx),
            None => Poll::Ready(Ok(())),
        }
    }
}
