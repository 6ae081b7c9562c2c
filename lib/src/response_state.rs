//! Whether a connection still has a part of its last response to write.

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use salvo::http::ResBody;
use std::error::Error;
use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

const WRITTEN: u8 = 0;
const SENDING: u8 = 1;
const UNFLUSHED: u8 = 2;

/// State of the last response of a connection; clones share it.
#[derive(Debug, Clone, Default)]
pub struct ResponseState(Arc<AtomicU8>);

/// A stream that records in the state of a response that all of it has been written.
#[derive(Debug)]
pub struct FlushRecorder<S> {
    stream: S,
    state: ResponseState,
}

/// A response body that records its end.
struct RecordedBody {
    body: ResBody,
    state: ResponseState,
}

impl ResponseState {
    /// Returns the state of a connection without a response.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether all of the last response has been written.
    pub fn is_written(&self) -> bool {
        self.0.load(Ordering::Acquire) == WRITTEN
    }

    /// Records the body of a response that is sent from now on.
    pub fn record_body(&self, body: ResBody) -> ResBody {
        if matches!(body, ResBody::None | ResBody::Error(_)) {
            return body;
        }
        self.0.store(SENDING, Ordering::Release);
        ResBody::Boxed(Box::pin(RecordedBody { body, state: self.clone() }))
    }

    fn record_flush(&self) {
        let flushed = (Ordering::AcqRel, Ordering::Relaxed);
        let _ = self.0.compare_exchange(UNFLUSHED, WRITTEN, flushed.0, flushed.1);
    }
}

impl Drop for RecordedBody {
    fn drop(&mut self) {
        self.state.0.store(UNFLUSHED, Ordering::Release);
    }
}

impl Body for RecordedBody {
    type Data = Bytes;
    type Error = Box<dyn Error + Send + Sync>;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        Poll::Ready(frame.map(|frame| frame.map_err(Into::into)))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl<S> FlushRecorder<S> {
    /// Wraps the stream of a connection.
    pub fn new(stream: S, state: ResponseState) -> Self {
        Self { stream, state }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for FlushRecorder<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for FlushRecorder<S> {
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
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        self.state.record_flush();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
