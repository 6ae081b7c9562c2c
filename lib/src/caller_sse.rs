//! Server-sent events of a streamed generation.

use crate::generated::engine::FinishReason;
use crate::generated::requests::EndEvent;
use crate::generated::requests::ErrorReply;
use crate::generated::requests::MovedEvent;
use crate::generated::requests::Outcome;
use crate::generated::requests::StartEvent;
use crate::generation::Generation;
use crate::generation::GenerationEvent;
use crate::request::RequestError;
use bytes::Bytes;
use futures_util::stream::Stream;
use futures_util::stream::unfold;
use std::convert::Infallible;
use std::ops::Range;

/// Initial capacity of the buffer of one event, in bytes.
const EVENT_CAPACITY: usize = 256;

enum StreamState {
    /// The first event was awaited before the response started, so that an error until then could be
    /// sent as an error response.
    First(Box<Generation>, GenerationEvent),
    Running(Box<Generation>),
    Ended,
}

/// Returns the events of a generation, of which `first` has already been received.
pub fn events(
    generation: Generation,
    first: GenerationEvent,
) -> impl Stream<Item = Result<Bytes, Infallible>> {
    unfold(StreamState::First(Box::new(generation), first), |state| async move {
        let (bytes, next) = match state {
            StreamState::Ended => return None,
            StreamState::First(generation, event) => {
                let mut buf = start_event(&generation);
                let is_last = write_generation_event(&mut buf, &generation, &event);
                (buf, if is_last { StreamState::Ended } else { StreamState::Running(generation) })
            }
            StreamState::Running(mut generation) => match generation.next().await {
                Ok(event) => {
                    let mut buf = Vec::with_capacity(EVENT_CAPACITY);
                    let is_last = write_generation_event(&mut buf, &generation, &event);
                    (
                        buf,
                        if is_last { StreamState::Ended } else { StreamState::Running(generation) },
                    )
                }
                Err(e) => (error_event(&e), StreamState::Ended),
            },
        };
        Some((Ok(Bytes::from(bytes)), next))
    })
}

/// Returns the `start` event of a stream.
pub fn start_event(generation: &Generation) -> Vec<u8> {
    let id = &generation.request().id;
    let event = StartEvent { request: id.clone(), token: id.clone() };
    let mut buf = Vec::with_capacity(EVENT_CAPACITY);
    write_event(&mut buf, "start", &event);
    buf
}

/// Writes a generation event as a server-sent event and returns whether it is the last one.
pub fn write_generation_event(
    buf: &mut Vec<u8>,
    generation: &Generation,
    event: &GenerationEvent,
) -> bool {
    match event {
        GenerationEvent::Tokens(range) => {
            write_tokens(buf, generation.emitted(), range.clone());
            false
        }
        GenerationEvent::End(reason) => {
            write_end(buf, generation.emitted().len(), *reason);
            true
        }
        GenerationEvent::Moved => {
            let token = generation.request().id.clone();
            let event = MovedEvent { token, length: generation.emitted().len() as u32 };
            write_event(buf, "moved", &event);
            true
        }
    }
}

/// Writes a `tokens` event without copying the tokens.
pub fn write_tokens(buf: &mut Vec<u8>, emitted: &[String], range: Range<usize>) {
    buf.extend_from_slice(b"event: tokens\ndata: {\"offset\":");
    buf.extend_from_slice(range.start.to_string().as_bytes());
    buf.extend_from_slice(b",\"tokens\":");
    // Writing strings to memory cannot fail.
    let _ = serde_json::to_writer(&mut *buf, &emitted[range]);
    buf.extend_from_slice(b"}\n\n");
}

fn write_end(buf: &mut Vec<u8>, length: usize, reason: FinishReason) {
    let event = EndEvent { length: length as u32, reason, outcome: Outcome::Whole };
    write_event(buf, "end", &event);
}

/// Returns the `error` event, which ends a stream that could not be completed.
pub fn error_event(error: &RequestError) -> Vec<u8> {
    let mut buf = Vec::with_capacity(EVENT_CAPACITY);
    write_event(&mut buf, "error", &ErrorReply { error: error.body() });
    buf
}

fn write_event(buf: &mut Vec<u8>, name: &str, event: &impl serde::Serialize) {
    buf.extend_from_slice(b"event: ");
    buf.extend_from_slice(name.as_bytes());
    buf.extend_from_slice(b"\ndata: ");
    // Writing these types to memory cannot fail.
    let _ = serde_json::to_writer(&mut *buf, event);
    buf.extend_from_slice(b"\n\n");
}
