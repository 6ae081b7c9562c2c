//! Splits a stream of server-sent events into complete events and parses their ids.

use bytes::Bytes;
use bytes::BytesMut;

/// Maximum size of an event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// A complete event with its bytes as received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    /// Event id; `None` if the event has no numeric id.
    pub id: Option<u64>,
    /// Bytes of the event, including the blank line that ends it.
    pub bytes: Bytes,
}

/// Errors of decoding an event stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum StreamError {
    /// An event exceeds the maximum size.
    #[error("an event is longer than {MAX_EVENT_BYTES} bytes")]
    TooLong,
    /// The stream ended in the middle of an event.
    #[error("the stream ended in the middle of an event")]
    Truncated,
}

/// Incremental decoder of a stream of server-sent events.
#[derive(Debug, Default)]
pub struct EventDecoder {
    buf: BytesMut,
    /// Number of bytes at the start of the buffer that have been searched for the end of an event.
    scanned: usize,
}

impl EventDecoder {
    /// Returns a decoder at the start of a stream.
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), StreamError> {
        self.buf.extend_from_slice(bytes);
        match self.buf.len() > MAX_EVENT_BYTES {
            true => Err(StreamError::TooLong),
            false => Ok(()),
        }
    }

    /// Returns the next complete event, if there is one.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let start = self.scanned.saturating_sub(3);
        let Some(end) = event_end(&self.buf[start..]) else {
            self.scanned = self.buf.len();
            return None;
        };
        let bytes = self.buf.split_to(start + end).freeze();
        self.scanned = 0;
        Some(StreamEvent { id: event_id(&bytes), bytes })
    }

    /// Checks, at the end of the stream, that no incomplete event remains.
    pub fn finish(&self) -> Result<(), StreamError> {
        if self.buf.is_empty() { Ok(()) } else { Err(StreamError::Truncated) }
    }
}

/// Returns the number of bytes up to and including the first blank line.
fn event_end(buf: &[u8]) -> Option<usize> {
    for (i, byte) in buf.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        match (buf.get(i + 1), buf.get(i + 2)) {
            (Some(b'\n'), _) => return Some(i + 2),
            (Some(b'\r'), Some(b'\n')) => return Some(i + 3),
            _ => {}
        }
    }
    None
}

/// Parses the id of an event.
fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
