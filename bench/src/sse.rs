//! Parser of server-sent events in a response body.

use anyhow::Result;
use anyhow::bail;
use bytes::Buf;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// Size in bytes above which an incomplete event is an error.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// One server-sent event.
#[derive(Debug, Clone, PartialEq)]
pub struct SseEvent {
    /// Value of the `event` field.
    pub name: String,
    /// Concatenated values of the `data` fields.
    pub data: String,
}

/// Reads server-sent events from a response body.
pub struct SseReader {
    body: Incoming,
    buf: BytesMut,
}

impl SseReader {
    /// Returns a reader that starts at the next byte of `body`.
    pub fn new(body: Incoming) -> Self {
        Self { body, buf: BytesMut::new() }
    }

    /// Returns the next event, or `None` at the end of the body.
    pub async fn next(&mut self) -> Result<Option<SseEvent>> {
        loop {
            if let Some(end) = self.buf.windows(2).position(|pair| pair == b"\n\n") {
                let event = parse(&self.buf[..end]);
                self.buf.advance(end + 2);
                return event.map(Some);
            }
            if self.buf.len() > MAX_EVENT_BYTES {
                bail!("an event is longer than {MAX_EVENT_BYTES} bytes");
            }
            match self.body.frame().await {
                Some(frame) => {
                    if let Ok(data) = frame?.into_data() {
                        self.buf.extend_from_slice(&data);
                    }
                }
                None if self.buf.is_empty() => return Ok(None),
                None => bail!("the body ended within an event"),
            }
        }
    }
}

fn parse(text: &[u8]) -> Result<SseEvent> {
    let text = std::str::from_utf8(text)?;
    let mut event = SseEvent { name: String::new(), data: String::new() };
    for line in text.lines() {
        if let Some(name) = line.strip_prefix("event: ") {
            event.name = name.to_string();
        } else if let Some(data) = line.strip_prefix("data: ") {
            event.data.push_str(data);
        }
    }
    Ok(event)
}
