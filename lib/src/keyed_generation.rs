//! Text generations that run at most once. They continue after their caller disconnects, so that
//! the outcome is recorded in the ledger.

use crate::at_most_once;
use crate::at_most_once::AtMostOnceRun;
use crate::at_most_once::BeginOutcome;
use crate::caller_sse;
use crate::generated::requests::ErrorCode;
use crate::generated::requests::GenerateReply;
use crate::generated::requests::Outcome;
use crate::generation::Generation;
use crate::generation::GenerationEvent;
use crate::request::Request;
use crate::request::RequestError;
use crate::request_limits::RequestLimits;
use crate::request_path::RequestPath;
use crate::request_path::ended_by_shutdown;
use bytes::Bytes;
use std::sync::Arc;
use tokio::sync::mpsc;

/// HTTP status of a complete generation.
const OK: u16 = 200;
/// Capacity of the queue of events for a caller.
const EVENT_QUEUE_LEN: usize = 256;

/// How a generation with an idempotency key is answered.
pub enum KeyedGeneration {
    /// It is running; the receiver gets the events of its stream.
    Running(mpsc::Receiver<Bytes>),
    /// It is complete, with this response body.
    Complete(String),
    /// It completed earlier; this is the stored response body.
    Replay(String),
}

/// Runs a generation with an idempotency key; `is_stream` selects a stream of events.
pub async fn run(
    path: &RequestPath,
    req: Arc<Request>,
    limits: RequestLimits,
    key: &str,
    is_stream: bool,
) -> Result<KeyedGeneration, RequestError> {
    let answer = match path.generate(req.clone(), limits, vec![]).await {
        Ok(answer) => answer,
        Err(e) => return Err(at_most_once::refuse(path, &req, key, e).await),
    };
    let run = match at_most_once::begin(path, &req, key).await? {
        BeginOutcome::Run(run) => run,
        BeginOutcome::Replay { answer, .. } => return Ok(KeyedGeneration::Replay(answer)),
    };
    if is_stream {
        let (tx, rx) = mpsc::channel(EVENT_QUEUE_LEN);
        tokio::spawn(stream_events(answer, run, tx));
        return Ok(KeyedGeneration::Running(rx));
    }
    let running = tokio::spawn(wait_complete(answer, run));
    let internal = |e| RequestError::unknown(ErrorCode::Internal, format!("{e}"));
    running.await.map_err(internal).flatten().map(KeyedGeneration::Complete)
}

async fn wait_complete(mut answer: Generation, run: AtMostOnceRun) -> Result<String, RequestError> {
    loop {
        match answer.next().await {
            Ok(GenerationEvent::Tokens(_)) => {}
            Ok(GenerationEvent::End(reason)) => {
                let reply = reply(&answer, reason);
                run.done(OK, reply.clone());
                return Ok(reply);
            }
            Ok(GenerationEvent::Moved) => return Err(run.failed(ended_by_shutdown()).await),
            Err(e) => return Err(run.failed(e).await),
        }
    }
}

async fn stream_events(mut answer: Generation, run: AtMostOnceRun, tx: mpsc::Sender<Bytes>) {
    let mut buf = caller_sse::start_event(&answer);
    let error = loop {
        let part = match answer.next().await {
            Ok(GenerationEvent::Moved) => break ended_by_shutdown(),
            Ok(part) => part,
            Err(e) => break e,
        };
        caller_sse::write_generation_event(&mut buf, &answer, &part);
        // The run continues if the caller has disconnected.
        let _ = tx.send(Bytes::from(std::mem::take(&mut buf))).await;
        if let GenerationEvent::End(reason) = part {
            run.done(OK, reply(&answer, reason));
            return;
        }
    };
    let error = run.failed(error).await;
    buf.extend_from_slice(&caller_sse::error_event(&error));
    let _ = tx.send(Bytes::from(buf)).await;
}

/// Returns the JSON response body of a complete generation.
pub fn reply(answer: &Generation, reason: crate::generated::engine::FinishReason) -> String {
    let reply = GenerateReply {
        request: answer.request().id.clone(),
        text: answer.emitted().concat(),
        length: answer.emitted().len() as u32,
        reason,
        outcome: Outcome::Whole,
    };
    serde_json::to_string(&reply).unwrap_or_default()
}
