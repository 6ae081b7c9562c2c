//! Calls of plain services, with retries.

use crate::admission::AdmissionRequest;
use crate::admission::Slot;
use crate::at_most_once;
use crate::at_most_once::AtMostOnceRun;
use crate::at_most_once::BeginOutcome;
use crate::engine::UpstreamError;
use crate::generated::engine::PlainReply;
use crate::generated::engine::PlainRequest;
use crate::generated::requests::ErrorCode;
use crate::ids::GroupId;
use crate::metric_names;
use crate::replica::Share;
use crate::request::Request;
use crate::request::RequestError;
use crate::request_limits::RequestLimits;
use crate::request_outcome::record_error;
use crate::request_path::RequestPath;
use crate::request_path::ended_by_shutdown;
use crate::request_path::refused_by_shutdown;
use crate::router::SelectionCriteria;
use crate::router::Suspicion;
use crate::silent_upstreams;
use crate::silent_upstreams::Liveness;
use crate::silent_upstreams::RunningRequest;
use crate::silent_upstreams::UpstreamType;
use crate::suspects::Verdict;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum number of attempts per call.
const MAX_ATTEMPTS: u32 = 3;

/// Calls a plain service. A request with a key runs at most once, and continues if its caller
/// disconnects.
pub async fn call(
    path: &RequestPath,
    req: Arc<Request>,
    limits: RequestLimits,
) -> Result<PlainReply, RequestError> {
    let (has_key, is_first_send) = (req.key.is_some(), req.is_first_send);
    let result = match (has_key, run(path, req.clone(), limits).await) {
        (true, result) => result.map_err(|e| e.for_keyed_request(is_first_send)),
        (false, result) => result,
    };
    let name = match &result {
        Ok(_) => metric_names::REQUESTS_WHOLE,
        Err(e) if e.ran == crate::request::RunStatus::NotRun => metric_names::REQUESTS_NOT_RUN,
        Err(_) => metric_names::REQUESTS_UNKNOWN,
    };
    path.cx().metrics.count(name, 1);
    result.map_err(|e| e.with_request(&req.id)).inspect_err(|e| record_error(path.cx(), &req, 0, e))
}

async fn run(
    path: &RequestPath,
    req: Arc<Request>,
    limits: RequestLimits,
) -> Result<PlainReply, RequestError> {
    let running = path.begin_request()?;
    path.retry_budget().deposit(limits.retry_ratio);
    match req.key.clone() {
        None => run_with_retries(path, &req, &limits).await,
        Some(key) => {
            let path = path.clone();
            let run = async move {
                let _running = running;
                run_at_most_once(&path, &req, &limits, &key).await
            };
            let internal = |e| RequestError::unknown(ErrorCode::Internal, format!("{e}"));
            tokio::spawn(run).await.map_err(internal).flatten()
        }
    }
}

async fn run_with_retries(
    path: &RequestPath,
    req: &Request,
    limits: &RequestLimits,
) -> Result<PlainReply, RequestError> {
    let mut avoid = vec![];
    let mut may_have_run = false;
    for attempt in 1..=MAX_ATTEMPTS {
        refuse_convicted(path, req, limits)?;
        let slot = match acquire(path, req, limits, &avoid).await {
            Ok(slot) => slot,
            Err(e) if may_have_run => return Err(RequestError::unknown(e.code, e.message)),
            Err(e) => return Err(e),
        };
        let error = match send(path, req, &slot, limits, 0).await? {
            Ok(reply) => {
                path.suspects().clear(req.fingerprint);
                return Ok(reply);
            }
            Err(e) => e,
        };
        may_have_run |= error.may_have_run();
        detect_crash(path, req, &slot, &error).await;
        avoid.push(slot.replica().identity.group.clone());
        drop(slot);
        if attempt == MAX_ATTEMPTS || !path.retry_budget().withdraw() {
            return Err(upstream_failure(&error, may_have_run));
        }
        path.cx().metrics.count(metric_names::RETRIES, 1);
    }
    Err(RequestError::unknown(ErrorCode::UpstreamFailed, "all attempts failed"))
}

async fn run_at_most_once(
    path: &RequestPath,
    req: &Request,
    limits: &RequestLimits,
    key: &str,
) -> Result<PlainReply, RequestError> {
    let admitted = match refuse_convicted(path, req, limits) {
        Ok(()) => acquire(path, req, limits, &[]).await,
        Err(e) => Err(e),
    };
    let slot = match admitted {
        Ok(slot) => slot,
        Err(e) => return Err(at_most_once::refuse(path, req, key, e).await),
    };
    let run = match at_most_once::begin(path, req, key).await? {
        BeginOutcome::Run(run) => run,
        BeginOutcome::Replay { status, answer } => return Ok(PlainReply { status, body: answer }),
    };
    send_at_most_once(path, req, limits, slot, run).await
}

async fn send_at_most_once(
    path: &RequestPath,
    req: &Request,
    limits: &RequestLimits,
    first: Slot,
    run: AtMostOnceRun,
) -> Result<PlainReply, RequestError> {
    let mut slot = first;
    let mut avoid = vec![];
    loop {
        let error = match send(path, req, &slot, limits, run.epoch()).await {
            Ok(Ok(reply)) => {
                run.done(reply.status, reply.body.clone());
                return Ok(reply);
            }
            Ok(Err(e)) => e,
            Err(e) => return Err(run.failed(e).await),
        };
        detect_crash(path, req, &slot, &error).await;
        if error.may_have_run() {
            return Err(run.failed(upstream_failure(&error, true)).await);
        }
        // The request certainly did not run, so it may be sent to another upstream under the same
        // ledger entry.
        avoid.push(slot.replica().identity.group.clone());
        if avoid.len() as u32 >= MAX_ATTEMPTS || !path.retry_budget().withdraw() {
            return Err(run.failed(upstream_failure(&error, false)).await);
        }
        path.cx().metrics.count(metric_names::RETRIES, 1);
        slot = match acquire(path, req, limits, &avoid).await {
            Ok(slot) => slot,
            Err(e) => return Err(run.failed(e).await),
        };
    }
}

async fn acquire(
    path: &RequestPath,
    req: &Request,
    limits: &RequestLimits,
    avoid: &[GroupId],
) -> Result<Slot, RequestError> {
    let left = req.deadline.saturating_duration_since(Instant::now());
    let suspicion = match path.suspects().verdict(req.fingerprint, limits.crash_limit) {
        Verdict::Clear => Suspicion::None,
        Verdict::Suspect => Suspicion::Suspect,
        Verdict::Isolate | Verdict::Convicted => Suspicion::Isolated,
    };
    let request = AdmissionRequest {
        service: req.service_id.clone(),
        customer: req.customer.clone(),
        weight: limits.weight,
        burst: limits.burst,
        bytes: req.prompt.len(),
        criteria: SelectionCriteria {
            hash: req.fingerprint,
            priority: req.priority,
            avoid: avoid.to_vec(),
            only: None,
            adapter: None,
            suspicion,
            share: Share::Within,
            has_started: false,
        },
        max_wait: limits.queue_wait.min(left),
        has_started: false,
    };
    let acquired = path.run_until_moving(path.admission().acquire(&request)).await;
    acquired.unwrap_or_else(|| Err(refused_by_shutdown()))
}

/// Sends the call to a replica. The inner error is a failure of this attempt, which may be retried; the
/// outer one ends the request.
async fn send(
    path: &RequestPath,
    req: &Request,
    slot: &Slot,
    limits: &RequestLimits,
    epoch: u64,
) -> Result<Result<PlainReply, UpstreamError>, RequestError> {
    let sent = Instant::now();
    let plain_req = PlainRequest {
        request: req.id.clone(),
        path: req.path.clone(),
        body: req.prompt.clone(),
        idempotency_key: req.key.clone(),
        epoch,
    };
    let address = &slot.replica().identity.address;
    let left = req.deadline.saturating_duration_since(Instant::now());
    let calling = tokio::time::timeout(left, path.plain().call(address, &plain_req));
    let Some(result) = path.run_until_moving(calling).await else {
        return Err(ended_by_shutdown());
    };
    let result = result.unwrap_or_else(|_| {
        let reason = format!("no response within {left:?}");
        Err(UpstreamError::Interrupted { reason })
    });
    match &result {
        Ok(_) => {
            path.record_success(slot.replica());
            slot.replica().observe_first_token(sent.elapsed(), limits.first_token);
        }
        Err(e) => path.record_error(slot.replica(), e),
    }
    Ok(result)
}

/// Records a crash if the call was interrupted and a probe on a new connection shows that the instance has
/// ended; if it does not respond, it is watched.
async fn detect_crash(path: &RequestPath, req: &Request, slot: &Slot, error: &UpstreamError) {
    const PROBE_BOUND: Duration = Duration::from_millis(200);
    if !matches!(error, UpstreamError::Interrupted { .. }) {
        return;
    }
    let replica = slot.replica();
    match silent_upstreams::probe(path, UpstreamType::Plain, replica, PROBE_BOUND).await {
        Liveness::Serving => {}
        Liveness::Ended => {
            silent_upstreams::record_crash(
                path,
                replica,
                &RunningRequest::new(UpstreamType::Plain, req),
            );
        }
        Liveness::Silent => silent_upstreams::watch(path, UpstreamType::Plain, replica, req),
    }
}

fn refuse_convicted(
    path: &RequestPath,
    req: &Request,
    limits: &RequestLimits,
) -> Result<(), RequestError> {
    match path.suspects().verdict(req.fingerprint, limits.crash_limit) {
        Verdict::Convicted => {
            let message = "upstreams crashed while running this request";
            Err(RequestError::not_run(ErrorCode::Poisonous, message))
        }
        _ => Ok(()),
    }
}

fn upstream_failure(error: &UpstreamError, may_have_run: bool) -> RequestError {
    let code = match error {
        UpstreamError::Malformed { .. } => ErrorCode::UpstreamMalformed,
        _ => ErrorCode::UpstreamFailed,
    };
    match may_have_run {
        true => RequestError::unknown(code, error.to_string()),
        false => {
            let error = RequestError::not_run(code, error.to_string());
            error.with_retry_after(Duration::from_secs(1))
        }
    }
}
