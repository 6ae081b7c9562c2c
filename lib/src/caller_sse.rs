//! The server-sent events of a streamed answer.

use crate::answer::Answer;
use crate::answer::Part;
use crate::generated::engine::FinishReason;
use crate::generated::requests::EndEvent;
use crate::generated::requests::ErrorReply;
use crate::generated::requests::MovedEvent;
use crate::generated::requests::Outcome;
use crate::generated::requests::StartEvent;
use crate::request::RequestError;
use bytes::Bytes;
use futures_util::stream::Stream;
use futures_util::stream::unfold;
use std::convert::Infallible;
use std::ops::Range;

/// Bytes reserved for one event.
const EVENT_BYTES: usize = 256;

enum Stage {
    /// The first part has been waited for already, so that an error could still be a plain one.
    First(Box<Answer>, Part),
    Running(Box<Answer>),
    Ended,
}

/// Returns the events of an answer whose first part is known.
pub fn events(answer: Answer, first: Part) -> impl Stream<Item = Result<Bytes, Infallible>> {
    unfold(Stage::First(Box::new(answer), first), |stage| async move {
        let (bytes, next) = match stage {
            Stage::Ended => return None,
            Stage::First(answer, part) => {
                let mut buf = start_event(&answer);
                let is_last = write_part(&mut buf, &answer, &part);
                (buf, if is_last { Stage::Ended } else { Stage::Running(answer) })
            }
            Stage::Running(mut answer) => match answer.next().await {
                Ok(part) => {
                    let mut buf = Vec::with_capacity(EVENT_BYTES);
                    let is_last = write_part(&mut buf, &answer, &part);
                    (buf, if is_last { Stage::Ended } else { Stage::Running(answer) })
                }
                Err(e) => (error_event(&e), Stage::Ended),
            },
        };
        Some((Ok(Bytes::from(bytes)), next))
    })
}

/// Returns the first event of a stream.
pub fn start_event(answer: &Answer) -> Vec<u8> {
    let id = &answer.request().id;
    let event = StartEvent { request: id.clone(), token: id.clone() };
    let mut buf = Vec::with_capacity(EVENT_BYTES);
    write_event(&mut buf, "start", &event);
    buf
}

/// Writes a part and tells whether it is the last one.
pub fn write_part(buf: &mut Vec<u8>, answer: &Answer, part: &Part) -> bool {
    match part {
        Part::Tokens(range) => {
            write_tokens(buf, answer.emitted(), range.clone());
            false
        }
        Part::End(reason) => {
            write_end(buf, answer.emitted().len(), *reason);
            true
        }
        Part::Moved => {
            let token = answer.request().id.clone();
            let event = MovedEvent { token, length: answer.emitted().len() as u32 };
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

/// Returns the last event of a stream that could not be completed.
pub fn error_event(error: &RequestError) -> Vec<u8> {
    let mut buf = Vec::with_capacity(EVENT_BYTES);
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
