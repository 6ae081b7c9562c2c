//! HTTP API for callers: generations, calls of plain services, entries and health checks.

use crate::at_most_once;
use crate::byte_budget::ByteBudget;
use crate::byte_budget::ByteUse;
use crate::byte_budget::NoRoom;
use crate::caller_auth;
use crate::caller_calls::Call;
use crate::caller_calls::LedgerOperation;
use crate::caller_calls::RequestStatus;
use crate::caller_error;
use crate::caller_error::write_json;
use crate::caller_sse;
use crate::connection_slots::BodyWait;
use crate::cx::Cx;
use crate::entries;
use crate::generated::config::ServiceKind;
use crate::generated::requests::ErrorCode;
use crate::generated::requests::GenerateBody;
use crate::generation::Generation;
use crate::generation::GenerationEvent;
use crate::ids::CustomerId;
use crate::keyed_generation;
use crate::keyed_generation::KeyedGeneration;
use crate::ledger_peer;
use crate::limited_body;
use crate::limited_body::BodyError;
use crate::limited_body::BodyRoom;
use crate::limited_body::ReadError;
use crate::metric_names;
use crate::prefix_hash::prefix_hash;
use crate::request::Request;
use crate::request::RequestError;
use crate::request::fingerprint;
use crate::request_limits::RequestLimits;
use crate::request_path::RequestPath;
use crate::request_path::ended_by_shutdown;
use crate::request_path::no_config;
use bytes::Bytes;
use futures_util::stream::unfold;
use salvo::Depot;
use salvo::FlowCtrl;
use salvo::Router;
use salvo::handler;
use salvo::http::HeaderValue;
use salvo::http::Response;
use salvo::http::StatusCode;
use salvo::http::header;
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Longest time to receive a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay after which a request that was rejected for lack of room may be sent again.
const ROOM_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Largest request body while the node has no configuration.
const DEFAULT_MAX_BODY_BYTES: u64 = 1 << 20;

/// Returns the router of the callers' API.
pub fn router(path: RequestPath) -> Router {
    Router::new()
        .hoop(LeaveConnections { path: path.clone() })
        .push(Router::with_path("v1/generate").post(Generate { path: path.clone() }))
        .push(Router::with_path("v1/call/{service}/{**path}").post(Call { path: path.clone() }))
        .push(Router::with_path("v1/requests/{key}").get(RequestStatus { path: path.clone() }))
        .push(Router::with_path(ledger_peer::PATH).post(LedgerOperation { path: path.clone() }))
        .push(Router::with_path("v1/entries").get(Entries { path: path.clone() }))
        .push(Router::with_path("healthz").get(Health))
        .push(Router::with_path("readyz").get(Ready { path }))
        .push(Router::with_path("{**rest}").goal(UnknownPath))
}

/// Asks callers to leave their connections from the beginning of a shutdown.
struct LeaveConnections {
    path: RequestPath,
}

#[handler]
impl LeaveConnections {
    async fn handle(
        &self,
        req: &mut salvo::Request,
        depot: &mut Depot,
        res: &mut Response,
        ctrl: &mut FlowCtrl,
    ) {
        ctrl.call_next(req, depot, res).await;
        if self.path.is_stopping() {
            let close = HeaderValue::from_static("close");
            res.headers_mut().insert(header::CONNECTION, close);
        }
    }
}

struct Health;

#[handler]
impl Health {
    async fn handle(&self, res: &mut Response) {
        write_json(res, br#"{"status":"up"}"#);
    }
}

/// Responds with 404 to requests that match no other route.
struct UnknownPath;

#[handler]
impl UnknownPath {
    async fn handle(&self, res: &mut Response) {
        let message = "no such path or method";
        caller_error::render(res, &RequestError::not_run(ErrorCode::NotFound, message));
    }
}

/// Returns the nodes that the caller should send its requests to.
struct Entries {
    path: RequestPath,
}

#[handler]
impl Entries {
    async fn handle(&self, req: &mut salvo::Request, res: &mut Response) {
        let cx = self.path.cx();
        match caller_auth::authenticate(cx, req.headers()) {
            Ok(customer) => {
                // The callers of one customer are spread over the nodes by their IP addresses. The
                // port is left out, since it differs between connections of the same caller.
                let address = req.remote_addr().clone().into_std().map(|address| address.ip());
                let caller = format!("{customer} {address:?}");
                let reply = entries::select(cx, &caller);
                write_json(res, &serde_json::to_vec(&reply).unwrap_or_default());
            }
            Err(e) => caller_error::render(res, &e),
        }
    }
}

struct Ready {
    path: RequestPath,
}

#[handler]
impl Ready {
    async fn handle(&self, res: &mut Response) {
        if self.path.is_draining() {
            let message = "this node is shutting down";
            let error = RequestError::not_run(ErrorCode::ShuttingDown, message);
            return caller_error::render(res, &error);
        }
        match self.path.cx().config.get() {
            Some(_) => write_json(res, br#"{"status":"ready"}"#),
            None => caller_error::render(res, &no_config()),
        }
    }
}

struct Generate {
    path: RequestPath,
}

#[handler]
impl Generate {
    async fn handle(&self, req: &mut salvo::Request, res: &mut Response) {
        self.path.cx().metrics.count(metric_names::REQUESTS, 1);
        if let Err(e) = self.generate_from_body(req, res).await {
            caller_error::render(res, &e);
        }
    }

    async fn generate_from_body(
        &self,
        req: &mut salvo::Request,
        res: &mut Response,
    ) -> Result<(), RequestError> {
        let customer = caller_auth::authenticate(self.path.cx(), req.headers())?;
        let received = read_body(&self.path, req).await?;
        let body: GenerateBody = parse(&received)?;
        let is_first_send = body.first_send;
        let has_key = body.idempotency_key.is_some();
        let result = self.generate(customer, body, received, res).await;
        match has_key {
            true => result.map_err(|e| e.for_keyed_request(is_first_send)),
            false => result,
        }
    }

    async fn generate(
        &self,
        customer: CustomerId,
        body: GenerateBody,
        received: Bytes,
        res: &mut Response,
    ) -> Result<(), RequestError> {
        let is_stream = body.stream;
        self.path.check_kind(&body.service, ServiceKind::Engine)?;
        at_most_once::check_key(&self.path, &body.service, body.idempotency_key.as_deref())?;
        let (req, emitted) = build_request(&self.path, customer, body, received)?;
        let limits = self.path.limits(&req.customer, &req.service_id)?;
        if let Some(key) = req.key.clone() {
            return self.generate_with_key(req, limits, key, is_stream, res).await;
        }
        let mut generation = self.path.generate(Arc::new(req), limits, emitted).await?;
        if is_stream {
            let first = generation.next().await?;
            start_stream(res);
            res.stream(caller_sse::events(generation, first));
            return Ok(());
        }
        write_json(res, complete_reply(generation).await?.as_bytes());
        Ok(())
    }

    async fn generate_with_key(
        &self,
        req: Request,
        limits: RequestLimits,
        key: String,
        is_stream: bool,
        res: &mut Response,
    ) -> Result<(), RequestError> {
        let path = self.path.clone();
        // The run has its own task, so that a caller that disconnects does not stop it between its
        // ledger entry and its result.
        let running = tokio::spawn(async move {
            keyed_generation::run(&path, Arc::new(req), limits, &key, is_stream).await
        });
        let internal = |e| RequestError::unknown(ErrorCode::Internal, format!("{e}"));
        match running.await.map_err(internal)?? {
            KeyedGeneration::Complete(reply) | KeyedGeneration::Replay(reply) => {
                write_json(res, reply.as_bytes())
            }
            KeyedGeneration::Running(rx) => {
                start_stream(res);
                res.stream(unfold(rx, |mut rx| async move {
                    let bytes = rx.recv().await?;
                    Some((Ok::<Bytes, Infallible>(bytes), rx))
                }));
            }
        }
        Ok(())
    }
}

fn start_stream(res: &mut Response) {
    let sse = HeaderValue::from_static("text/event-stream");
    res.status_code(StatusCode::OK).headers_mut().insert(header::CONTENT_TYPE, sse);
    let no_store = HeaderValue::from_static("no-store");
    res.headers_mut().insert(header::CACHE_CONTROL, no_store);
}

/// Waits for the complete generation and returns the JSON text of its reply.
async fn complete_reply(mut generation: Generation) -> Result<String, RequestError> {
    loop {
        match generation.next().await? {
            GenerationEvent::Tokens(_) => {}
            GenerationEvent::End(reason) => {
                return Ok(keyed_generation::reply(&generation, reason));
            }
            GenerationEvent::Moved => {
                return Err(ended_by_shutdown().with_request(&generation.request().id));
            }
        }
    }
}

/// Reads a request body, which must not exceed the limits on its size and on the time it takes.
pub async fn read_body(
    path: &RequestPath,
    req: &mut salvo::Request,
) -> Result<Bytes, RequestError> {
    let record = path.cx().config.get();
    let max = record.map_or(DEFAULT_MAX_BODY_BYTES, |r| r.config.defaults.max_prompt_bytes);
    read_body_within(path.cx(), &path.cx().body_bytes, req, max as usize).await
}

/// Reads a request body within an account of bytes. Nothing is executed before the body is complete.
pub async fn read_body_within(
    cx: &Cx,
    budget: &ByteBudget,
    req: &mut salvo::Request,
    max: usize,
) -> Result<Bytes, RequestError> {
    let until = Instant::now() + BODY_TIMEOUT;
    let room = BodyRoom { budget, byte_use: ByteUse::RequestBodies, until };
    let _wait = BodyWait::new(req);
    let body = limited_body::read_within(req.take_body(), max, room, |_| {});
    let body = tokio::time::timeout_at(until, body).await;
    cx.metrics.gauge(metric_names::BODY_BYTES, cx.body_bytes.total() as u64);
    match body {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(ReadError::Body(BodyError::TooLarge { .. }))) => {
            let message = format!("the body is larger than {max} bytes");
            Err(RequestError::not_run(ErrorCode::TooLarge, message))
        }
        Ok(Err(ReadError::Body(BodyError::Failed(_)))) => Err(RequestError::not_run(
            ErrorCode::Malformed,
            "the body could not be read completely",
        )),
        Ok(Err(ReadError::NoRoom(reason))) => Err(no_room(cx, reason)),
        Err(_) => {
            let message = format!("the body was not received within {BODY_TIMEOUT:?}");
            Err(RequestError::not_run(ErrorCode::TooSlow, message))
        }
    }
}

/// Counts a body for which there is no room and returns the error of its request.
fn no_room(cx: &Cx, reason: NoRoom) -> RequestError {
    cx.metrics.count(metric_names::BODIES_REFUSED, 1);
    let message = format!("there is no room for the body: {reason}");
    match reason {
        NoRoom::TooLarge { .. } => RequestError::not_run(ErrorCode::TooLarge, message),
        NoRoom::Stalled { .. } => RequestError::not_run(ErrorCode::TooSlow, message),
        NoRoom::QueueFull { .. } | NoRoom::TimedOut | NoRoom::Deadlocked => {
            let error = RequestError::not_run(ErrorCode::Overloaded, message);
            error.with_retry_after(ROOM_RETRY_AFTER)
        }
    }
}

fn parse(body: &[u8]) -> Result<GenerateBody, RequestError> {
    serde_json::from_slice(body)
        .map_err(|e| RequestError::not_run(ErrorCode::Malformed, format!("invalid body: {e}")))
}

/// Validates a body and returns its request and the tokens that the caller already has.
fn build_request(
    path: &RequestPath,
    customer: CustomerId,
    body: GenerateBody,
    received: Bytes,
) -> Result<(Request, Vec<String>), RequestError> {
    let limits = path.limits(&customer, &body.service)?;
    if body.max_tokens == 0 || body.max_tokens > MAX_TOKENS {
        let message = format!("max_tokens must be between 1 and {MAX_TOKENS}");
        return Err(RequestError::not_run(ErrorCode::Malformed, message));
    }
    let (id, emitted) = match body.resume {
        None => (caller_auth::new_request_id(&customer), vec![]),
        Some(resume) => {
            let id = caller_auth::resumed_request_id(&customer, &resume.token);
            let message = "the resume token is not valid";
            let id = id.ok_or_else(|| RequestError::not_run(ErrorCode::Malformed, message))?;
            (id, resume.emitted)
        }
    };
    if emitted.len() > body.max_tokens as usize {
        let message = "resume.emitted holds more tokens than max_tokens";
        return Err(RequestError::not_run(ErrorCode::Malformed, message));
    }
    let deadline = body.deadline.unwrap_or(limits.deadline).min(limits.deadline);
    let request = Request {
        id,
        customer,
        path: String::new(),
        max_tokens: body.max_tokens,
        priority: body.priority,
        key: body.idempotency_key,
        is_first_send: body.first_send,
        deadline: Instant::now() + deadline,
        fingerprint: fingerprint(&body.service, body.adapter.as_deref(), "", &body.prompt),
        prefix: prefix_hash(&body.prompt),
        adapter: body.adapter,
        service_id: body.service,
        prompt: body.prompt,
        received,
    };
    Ok((request, emitted))
}

/// Largest value of `max_tokens` that a caller may request.
const MAX_TOKENS: u32 = 1_000_000;
