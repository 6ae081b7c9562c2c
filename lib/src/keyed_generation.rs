//! Generations that run at most once: they go on when their caller goes away, so that the ledger
//! learns what became of them.

use crate::at_most_once;
use crate::at_most_once::Begun;
use crate::at_most_once::OnceRun;
use crate::caller_sse;
use crate::generated::requests::ErrorCode;
use crate::generated::requests::GenerateReply;
use crate::generated::requests::Outcome;
use crate::generation::Generation;
use crate::generation::GenerationEvent;
use crate::request::Request;
use crate::request::RequestError;
use crate::request_path::RequestPath;
use crate::request_terms::RequestTerms;
use bytes::Bytes;
use std::sync::Arc;
use tokio::sync::mpsc;

/// Status of a whole generation.
const OK: u16 = 200;
/// Events that may wait for a slow caller.
const EVENT_QUEUE_LEN: usize = 256;

/// How a generation with a key goes on.
pub enum Keyed {
    /// It runs; the receiver gets the events of its stream.
    Running(mpsc::Receiver<Bytes>),
    /// It is whole.
    Whole(String),
    /// It ran before, and this is its answer.
    Kept(String),
}

/// Runs a generation with a key; `is_stream` tells whether events are wanted.
pub async fn run(
    path: &RequestPath,
    req: Arc<Request>,
    terms: RequestTerms,
    key: &str,
    is_stream: bool,
) -> Result<Keyed, RequestError> {
    let answer = match path.generate(req.clone(), terms, vec![]).await {
        Ok(answer) => answer,
        Err(e) => return Err(at_most_once::refuse(path, &req, key, e).await),
    };
    let run = match at_most_once::begin(path, &req, key).await? {
        Begun::Run(run) => run,
        Begun::Kept { answer, .. } => return Ok(Keyed::Kept(answer)),
    };
    if is_stream {
        let (tx, rx) = mpsc::channel(EVENT_QUEUE_LEN);
        tokio::spawn(stream(answer, run, tx));
        return Ok(Keyed::Running(rx));
    }
    let running = tokio::spawn(whole(answer, run));
    let internal = |e| RequestError::unknown(ErrorCode::Internal, format!("{e}"));
    running.await.map_err(internal).flatten().map(Keyed::Whole)
}

async fn whole(mut answer: Generation, run: OnceRun) -> Result<String, RequestError> {
    loop {
        match answer.next().await {
            Ok(GenerationEvent::Tokens(_)) => {}
            Ok(GenerationEvent::End(reason)) => {
                let reply = reply(&answer, reason);
                run.done(OK, reply.clone());
                return Ok(reply);
            }
            Ok(GenerationEvent::Moved) => return Err(run.failed(shut_down()).await),
            Err(e) => return Err(run.failed(e).await),
        }
    }
}

async fn stream(mut answer: Generation, run: OnceRun, tx: mpsc::Sender<Bytes>) {
    let mut buf = caller_sse::start_event(&answer);
    let error = loop {
        let part = match answer.next().await {
            Ok(GenerationEvent::Moved) => break shut_down(),
            Ok(part) => part,
            Err(e) => break e,
        };
        caller_sse::write_generation_event(&mut buf, &answer, &part);
        // A caller that went away misses events; the run goes on.
        let _ = tx.send(Bytes::from(std::mem::take(&mut buf))).await;
        if let GenerationEvent::End(reason) = part {
            run.done(OK, reply(&answer, reason));
            return;
        }
    };
    let told = run.failed(error).await;
    buf.extend_from_slice(&caller_sse::error_event(&told));
    let _ = tx.send(Bytes::from(buf)).await;
}

fn shut_down() -> RequestError {
    let message = "this node shut down before the answer was complete";
    RequestError::unknown(ErrorCode::ShuttingDown, message)
}

/// Returns the JSON text of a whole answer.
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
