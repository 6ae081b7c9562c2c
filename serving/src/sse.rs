//! Splits a stream of server-sent events into complete events and parses their ids.
//!
//! Every event has a numeric id, which is larger than that of the event before. Comments and blank lines
//! are no events: they belong to the event that follows, and count towards its size.

use bytes::Bytes;
use bytes::BytesMut;

/// Maximum size of an event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// A complete event with its bytes as received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    /// Event id; `None` for the comments and blank lines after the last event.
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
    /// An event has no numeric id.
    #[error("an event has no numeric id")]
    NoId,
    /// The id of an event is not larger than that of the event before.
    #[error("event {id} was received after event {last} on one stream")]
    NotIncreasing {
        /// Id of the event.
        id: u64,
        /// Id of the event before.
        last: u64,
    },
}

/// Incremental decoder of a stream of server-sent events.
#[derive(Debug, Default)]
pub struct EventDecoder {
    buf: BytesMut,
    /// Number of bytes at the start of the buffer that have been searched for the end of an event.
    scanned: usize,
    /// Position in the buffer at which the line that is being searched begins.
    line_start: usize,
    /// Whether a line before it is neither blank nor a comment.
    has_field: bool,
    /// Id of the last event.
    last_id: Option<u64>,
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
    pub fn next_event(&mut self) -> Result<Option<StreamEvent>, StreamError> {
        let Some(end) = self.find_event_end() else { return Ok(None) };
        let bytes = self.buf.split_to(end).freeze();
        (self.scanned, self.line_start, self.has_field) = (0, 0, false);
        let id = event_id(&bytes).ok_or(StreamError::NoId)?;
        match self.last_id.replace(id) {
            Some(last) if id <= last => Err(StreamError::NotIncreasing { id, last }),
            _ => Ok(Some(StreamEvent { id: Some(id), bytes })),
        }
    }

    /// Checks, at the end of the stream, that no incomplete event remains. Returns the comments and blank
    /// lines after the last event, if there are any; without an event they are no part of a response.
    pub fn finish(&mut self) -> Result<Option<StreamEvent>, StreamError> {
        if self.has_field || self.line_start < self.buf.len() {
            return Err(StreamError::Truncated);
        }
        let bytes = self.buf.split().freeze();
        (self.scanned, self.line_start) = (0, 0);
        let has_event = self.last_id.is_some();
        Ok((has_event && !bytes.is_empty()).then_some(StreamEvent { id: None, bytes }))
    }

    /// Returns the number of bytes up to and including the blank line that ends the first event.
    fn find_event_end(&mut self) -> Option<usize> {
        while let Some(len) = self.buf[self.scanned..].iter().position(|byte| *byte == b'\n') {
            let line = &self.buf[self.line_start..self.scanned + len];
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            self.scanned += len + 1;
            self.line_start = self.scanned;
            match line.first() {
                None if self.has_field => return Some(self.scanned),
                None | Some(b':') => {}
                Some(_) => self.has_field = true,
            }
        }
        self.scanned = self.buf.len();
        None
    }
}

/// Parses the id of an event.
fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
