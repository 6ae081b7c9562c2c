//! HTTP API for calls of plain services, for the status of requests with a key, and for ledger
//! operations of other nodes.

use crate::at_most_once;
use crate::caller_api::read_body;
use crate::caller_api::read_body_within;
use crate::caller_auth;
use crate::caller_error;
use crate::caller_error::write_json;
use crate::generated::config::ServiceKind;
use crate::generated::engine::PlainReply;
use crate::generated::engine::Priority;
use crate::generated::requests::ErrorCode;
use crate::ids::CustomerId;
use crate::ledger_peer;
use crate::metric_names;
use crate::plain_call;
use crate::request::Request;
use crate::request::RequestError;
use crate::request::fingerprint;
use crate::request_path::RequestPath;
use salvo::handler;
use salvo::http::Response;
use salvo::http::StatusCode;
use std::sync::Arc;
use tokio::time::Instant;

/// Header with the idempotency key of a call, which then runs at most once.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Header that states that the caller sends the call for the first time.
const FIRST_SEND_HEADER: &str = "idempotency-first-send";
/// Header with the priority of a call.
const PRIORITY_HEADER: &str = "priority";
/// Maximum length of an idempotency key in bytes.
const MAX_KEY_BYTES: usize = 80;
/// Maximum length of the path after the service name in bytes.
const MAX_PATH_BYTES: usize = 1024;

/// Handler of `POST /v1/call/{service}/{path}`, a call of a plain service.
pub struct Call {
    /// Request path of this node, which runs the requests.
    pub path: RequestPath,
}

#[handler]
impl Call {
    async fn handle(&self, req: &mut salvo::Request, res: &mut Response) {
        self.path.cx().metrics.count(metric_names::REQUESTS, 1);
        match self.reply(req).await {
            Ok(reply) => {
                let status = StatusCode::from_u16(reply.status);
                res.status_code(status.unwrap_or(StatusCode::BAD_GATEWAY));
                write_json(res, reply.body.as_bytes());
            }
            Err(e) => caller_error::render(res, &e),
        }
    }

    async fn reply(&self, req: &mut salvo::Request) -> Result<PlainReply, RequestError> {
        let customer = caller_auth::authenticate(self.path.cx(), req.headers())?;
        let key = header(req, IDEMPOTENCY_KEY_HEADER)?;
        let is_first_send = header(req, FIRST_SEND_HEADER)?.as_deref() == Some("true");
        let has_key = key.is_some();
        let result = self.call(req, customer, key, is_first_send).await;
        match has_key {
            true => result.map_err(|e| e.for_keyed_request(is_first_send)),
            false => result,
        }
    }

    async fn call(
        &self,
        req: &mut salvo::Request,
        customer: CustomerId,
        key: Option<String>,
        is_first_send: bool,
    ) -> Result<PlainReply, RequestError> {
        let service = req.param::<String>("service").unwrap_or_default();
        let subpath = req.param::<String>("path").unwrap_or_default();
        if subpath.len() > MAX_PATH_BYTES {
            return Err(RequestError::not_run(ErrorCode::TooLarge, "the path is too long"));
        }
        if key.as_ref().is_some_and(|key| key.len() > MAX_KEY_BYTES) {
            let error = RequestError::not_run(ErrorCode::TooLarge, "the key is too long");
            return Err(error.confirmed_by_ledger());
        }
        let priority = priority(header(req, PRIORITY_HEADER)?.as_deref())?;
        self.path.check_kind(&service, ServiceKind::Plain)?;
        at_most_once::check_key(&self.path, &service, key.as_deref())?;
        let limits = self.path.limits(&customer, &service)?;
        let received = read_body(&self.path, req).await?;
        let body = String::from_utf8(received.to_vec())
            .map_err(|_| RequestError::not_run(ErrorCode::Malformed, "the body is not UTF-8"))?;
        let request = Request {
            id: caller_auth::new_request_id(&customer),
            customer,
            fingerprint: fingerprint(&service, None, &subpath, &body),
            prefix: 0,
            service_id: service,
            prompt: body,
            path: subpath,
            max_tokens: 0,
            priority,
            adapter: None,
            key,
            is_first_send,
            deadline: Instant::now() + limits.deadline,
            received,
        };
        plain_call::call(&self.path, Arc::new(request), limits).await
    }
}

/// Handler of `GET /v1/requests/{key}`, the status of a request with a key.
pub struct RequestStatus {
    /// Request path of this node, which runs the requests.
    pub path: RequestPath,
}

#[handler]
impl RequestStatus {
    async fn handle(&self, req: &mut salvo::Request, res: &mut Response) {
        let key = req.param::<String>("key").unwrap_or_default();
        let result = match caller_auth::authenticate(self.path.cx(), req.headers()) {
            Ok(customer) => at_most_once::status(&self.path, &customer, &key).await,
            Err(e) => Err(e),
        };
        match result {
            Ok(reply) => write_json(res, &serde_json::to_vec(&reply).unwrap_or_default()),
            Err(e) => caller_error::render(res, &e),
        }
    }
}

/// Handler of `POST /v1/internal/ledger`, an operation on the ledger that another node sends.
pub struct LedgerOperation {
    /// Request path of this node, which runs the requests.
    pub path: RequestPath,
}

#[handler]
impl LedgerOperation {
    async fn handle(&self, req: &mut salvo::Request, res: &mut Response) {
        match self.reply(req).await {
            Some(reply) => {
                res.body(reply);
            }
            None => {
                // Responds with 404, so that a client without the fleet key learns nothing about
                // this path.
                let error = RequestError::not_run(ErrorCode::NotFound, "no such path");
                caller_error::render(res, &error);
            }
        }
    }

    async fn reply(&self, req: &mut salvo::Request) -> Option<Vec<u8>> {
        let ledger = self.path.ledger();
        let key = ledger.key()?;
        // The sender is known only by the tag of the complete message.
        let cx = self.path.cx();
        let budget = &cx.unknown_body_bytes;
        let message =
            read_body_within(cx, budget, req, ledger_peer::MAX_MESSAGE_BYTES).await.ok()?;
        let call = ledger_peer::receive(self.path.cx(), key, &message)?;
        let answer = ledger.execute_locally(call.shard, call.op).await;
        Some(ledger_peer::reply(key, &answer))
    }
}

fn header(req: &salvo::Request, name: &str) -> Result<Option<String>, RequestError> {
    let Some(value) = req.headers().get(name) else { return Ok(None) };
    let message = format!("the header {name} is not printable ASCII");
    let malformed = |_| RequestError::not_run(ErrorCode::Malformed, message);
    value.to_str().map_err(malformed).map(|text| Some(text.to_string()))
}

fn priority(text: Option<&str>) -> Result<Priority, RequestError> {
    match text {
        None | Some("normal") => Ok(Priority::Normal),
        Some("interactive") => Ok(Priority::Interactive),
        Some("batch") => Ok(Priority::Batch),
        Some(_) => {
            let message = "the priority must be interactive, normal or batch";
            Err(RequestError::not_run(ErrorCode::Malformed, message))
        }
    }
}
