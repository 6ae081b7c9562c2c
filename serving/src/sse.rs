//! Cuts a stream of server-sent events into whole events and reads their ids.

use bytes::Bytes;
use bytes::BytesMut;

/// Longest event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// One whole event with its bytes as they came.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    /// Id; `None` for an event without one.
    pub id: Option<u64>,
    /// Bytes, the blank line at the end included.
    pub bytes: Bytes,
}

/// Errors of a stream of events.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum StreamError {
    /// An event is longer than the bound.
    #[error("an event is longer than {MAX_EVENT_BYTES} bytes")]
    TooLong,
    /// The stream ended within an event.
    #[error("the stream ended within an event")]
    Torn,
}

/// Decoder of a stream of events.
#[derive(Debug, Default)]
pub struct EventDecoder {
    buf: BytesMut,
    /// Bytes of the buffer in which the end of an event was looked for.
    searched: usize,
}

impl EventDecoder {
    /// Returns a decoder at the start of a stream.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds bytes that came.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), StreamError> {
        self.buf.extend_from_slice(bytes);
        match self.buf.len() > MAX_EVENT_BYTES {
            true => Err(StreamError::TooLong),
            false => Ok(()),
        }
    }

    /// Returns the next whole event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let from = self.searched.saturating_sub(3);
        let Some(end) = event_end(&self.buf[from..]) else {
            self.searched = self.buf.len();
            return None;
        };
        let bytes = self.buf.split_to(from + end).freeze();
        self.searched = 0;
        Some(StreamEvent { id: event_id(&bytes), bytes })
    }

    /// Checks that the stream did not end within an event.
    pub fn finish(&self) -> Result<(), StreamError> {
        if self.buf.is_empty() { Ok(()) } else { Err(StreamError::Torn) }
    }
}

/// Returns the number of bytes up to the end of the first blank line.
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

/// Returns the id of an event.
fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
