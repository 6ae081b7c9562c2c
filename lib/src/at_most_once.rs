//! Requests that run at most once. The idempotency key is written to the ledger before the request
//! is sent to an upstream. A caller is told that its request was not run only after a ledger entry
//! prevents it from running later.

use crate::generated::events::Event;
use crate::generated::requests::ErrorCode;
use crate::generated::requests::LedgerAnswer;
use crate::generated::requests::LedgerEntry;
use crate::generated::requests::LedgerKey;
use crate::generated::requests::LedgerOp;
use crate::generated::requests::LedgerState;
use crate::generated::requests::RequestState;
use crate::generated::requests::RequestStatusReply;
use crate::ledger_key;
use crate::ledger_key::LedgerKeyTime;
use crate::member_view::MemberState;
use crate::request::Request;
use crate::request::RequestError;
use crate::request::RunStatus;
use crate::request_path::RequestPath;
use std::time::Duration;

/// Retry-after time sent to a caller whose request is still running.
const RUNNING_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Retry-after time sent to a caller while the ledger is unavailable.
const LEDGER_RETRY_AFTER: Duration = Duration::from_secs(5);
/// Retry delay when the outcome of a request could not be written.
const WRITE_RETRY_DELAY: Duration = Duration::from_secs(2);

/// How to proceed with a request that has an idempotency key.
pub enum BeginOutcome {
    /// The key was written to the ledger; the request may be sent to an upstream once.
    Run(AtMostOnceRun),
    /// The request completed earlier; its stored response is returned again.
    Replay {
        /// HTTP status of the stored response.
        status: u16,
        /// Body of the stored response.
        answer: String,
    },
}

/// The single run of a request with an idempotency key.
///
/// If it is dropped without a result, as when its task panics, the outcome is recorded as unknown.
pub struct AtMostOnceRun {
    path: RequestPath,
    entry: LedgerEntry,
    is_finished: bool,
}

/// Writes the key of a request to the ledger, or resolves the request from the existing entry.
pub async fn begin(
    path: &RequestPath,
    req: &Request,
    key: &str,
) -> Result<BeginOutcome, RequestError> {
    let entry = new_entry(path, req, key, LedgerState::Started);
    match path.ledger().execute(LedgerOp::Put(entry.clone())).await {
        LedgerAnswer::Entry(existing) if existing.attempt == entry.attempt => {
            Ok(BeginOutcome::Run(AtMostOnceRun {
                path: path.clone(),
                entry: existing,
                is_finished: false,
            }))
        }
        LedgerAnswer::Entry(existing) => resolve_existing(path, req, &existing),
        LedgerAnswer::Unclear(reason) => {
            // The write may still take effect. Mark the entry as refused, so that the request is
            // not reported as running on this node indefinitely.
            let refusal = LedgerEntry { state: LedgerState::Refused, ..entry };
            tokio::spawn(write_with_retries(path.clone(), refusal));
            Err(ledger_unavailable(&reason))
        }
        LedgerAnswer::NotWritten(reason) => Err(ledger_unavailable(&reason)),
        LedgerAnswer::Absent => Err(ledger_unavailable("it returned no entry")),
    }
}

/// Marks a request that was never sent to an upstream as refused, and returns the error for its
/// caller. The error depends on the ledger, since another copy of the request may have run.
pub async fn refuse(
    path: &RequestPath,
    req: &Request,
    key: &str,
    error: RequestError,
) -> RequestError {
    if error.ran == RunStatus::MaybeRun {
        return error;
    }
    let entry = new_entry(path, req, key, LedgerState::Refused);
    match path.ledger().execute(LedgerOp::Put(entry.clone())).await {
        LedgerAnswer::Entry(existing) if existing.attempt == entry.attempt => {
            error.confirmed_by_ledger()
        }
        LedgerAnswer::Entry(existing) => match resolve_existing(path, req, &existing) {
            Err(e) => e,
            Ok(_) => RequestError::unknown(
                ErrorCode::InProgress,
                "the request already ran; send it again to get its result",
            )
            .with_retry_after(RUNNING_RETRY_AFTER),
        },
        _ => ledger_unavailable(&error.message),
    }
}

/// Returns the state of the request with a key.
pub async fn status(
    path: &RequestPath,
    customer: &str,
    key: &str,
) -> Result<RequestStatusReply, RequestError> {
    if LedgerKeyTime::parse(key).is_none() {
        return Err(RequestError::not_run(
            ErrorCode::KeyMalformed,
            "the key does not have the form <unix ms>-<random>",
        ));
    }
    let read = LedgerKey { customer: customer.to_string(), key: key.to_string() };
    let entry = match path.ledger().execute(LedgerOp::Read(read)).await {
        LedgerAnswer::Entry(entry) => entry,
        LedgerAnswer::Absent => {
            let message = "the ledger has no entry for the key: it was never used, or has expired";
            return Err(RequestError::unknown(ErrorCode::NotFound, message));
        }
        LedgerAnswer::NotWritten(reason) | LedgerAnswer::Unclear(reason) => {
            let error = RequestError::unknown(ErrorCode::LedgerAway, reason);
            return Err(error.with_retry_after(LEDGER_RETRY_AFTER));
        }
    };
    let state = match entry.state {
        LedgerState::Started if is_running(path, &entry) => RequestState::Running,
        LedgerState::Started | LedgerState::Unknown => RequestState::Unknown,
        LedgerState::Done => RequestState::Whole,
        LedgerState::Refused => RequestState::NotRun,
    };
    let status = (entry.status > 0).then_some(entry.status);
    Ok(RequestStatusReply { key: key.to_string(), state, status, answer: entry.answer })
}

impl AtMostOnceRun {
    /// Returns the epoch that is sent to the upstream as a fencing token.
    pub fn epoch(&self) -> u64 {
        self.entry.epoch
    }

    /// Records that the request completed, with its response.
    pub fn done(self, status: u16, answer: String) {
        let entry = LedgerEntry {
            state: LedgerState::Done,
            status,
            answer: Some(answer),
            ..self.entry.clone()
        };
        self.finish(entry);
    }

    /// Records that the request failed, and returns the error for its caller.
    pub async fn failed(mut self, error: RequestError) -> RequestError {
        let state = match error.ran {
            RunStatus::NotRun => LedgerState::Refused,
            RunStatus::MaybeRun => LedgerState::Unknown,
        };
        let entry = LedgerEntry { state, ..self.entry.clone() };
        if error.ran == RunStatus::MaybeRun {
            self.record_unknown(&error.message);
            self.finish(entry);
            return error;
        }
        self.is_finished = true;
        // The existing entry prevents every other node from running the request. Reporting it as
        // not run is therefore correct even if the refusal cannot be written now.
        let answer = self.path.ledger().execute(LedgerOp::Put(entry.clone())).await;
        if !matches!(answer, LedgerAnswer::Entry(_)) {
            tokio::spawn(write_with_retries(self.path.clone(), entry));
        }
        error.confirmed_by_ledger()
    }

    fn finish(mut self, entry: LedgerEntry) {
        self.is_finished = true;
        tokio::spawn(write_with_retries(self.path.clone(), entry));
    }

    fn record_unknown(&self, reason: &str) {
        self.path.cx().record(Event::LedgerOutcomeUnknown {
            request: self.entry.attempt.clone(),
            key: self.entry.key.clone(),
            reason: reason.to_string(),
        });
    }
}

impl Drop for AtMostOnceRun {
    fn drop(&mut self) {
        if self.is_finished {
            return;
        }
        self.record_unknown("the task of the request ended without a result");
        let entry = LedgerEntry { state: LedgerState::Unknown, ..self.entry.clone() };
        tokio::spawn(write_with_retries(self.path.clone(), entry));
    }
}

fn new_entry(path: &RequestPath, req: &Request, key: &str, state: LedgerState) -> LedgerEntry {
    let cx = path.cx();
    LedgerEntry {
        key: key.to_string(),
        customer: req.customer.clone(),
        fingerprint: req.fingerprint,
        node: cx.node().to_string(),
        incarnation: cx.incarnation,
        attempt: req.id.clone(),
        epoch: 0,
        state,
        status: 0,
        answer: None,
    }
}

/// Resolves a request whose key has a ledger entry of another run.
fn resolve_existing(
    path: &RequestPath,
    req: &Request,
    existing: &LedgerEntry,
) -> Result<BeginOutcome, RequestError> {
    if existing.fingerprint != req.fingerprint {
        let message = "the key was already used for a different request";
        return Err(RequestError::not_run(ErrorCode::KeyReused, message).confirmed_by_ledger());
    }
    match existing.state {
        LedgerState::Done => match &existing.answer {
            Some(answer) => {
                Ok(BeginOutcome::Replay { status: existing.status, answer: answer.clone() })
            }
            None => {
                let message = "the request completed earlier; its response is no longer stored";
                Err(RequestError::unknown(ErrorCode::AnswerNotKept, message))
            }
        },
        LedgerState::Refused => {
            let message = "a request with this key was refused earlier; use a new key";
            Err(RequestError::not_run(ErrorCode::KeyRefused, message).confirmed_by_ledger())
        }
        LedgerState::Started if is_running(path, existing) => {
            let message = "the request with this key is still running";
            let error = RequestError::unknown(ErrorCode::InProgress, message);
            Err(error.with_retry_after(RUNNING_RETRY_AFTER))
        }
        LedgerState::Started | LedgerState::Unknown => {
            let message = "the request with this key may have run; it will not be run again";
            Err(RequestError::unknown(ErrorCode::OutcomeUnknown, message))
        }
    }
}

/// Returns whether the node that started a run is still alive with the same incarnation.
fn is_running(path: &RequestPath, entry: &LedgerEntry) -> bool {
    let cx = path.cx();
    if entry.node == cx.node() {
        return entry.incarnation == cx.incarnation;
    }
    let members = cx.members.get();
    members.get(&entry.node).is_some_and(|member| {
        member.incarnation == entry.incarnation && member.state != MemberState::Dead
    })
}

/// Returns the error of a request that was not run because the ledger is unavailable.
fn ledger_unavailable(reason: &str) -> RequestError {
    let message = format!("the ledger is unavailable: {reason}");
    RequestError::not_run(ErrorCode::LedgerAway, message).with_retry_after(LEDGER_RETRY_AFTER)
}

/// Writes the outcome of a run, and retries until it is written or the key has expired.
async fn write_with_retries(path: RequestPath, entry: LedgerEntry) {
    let Some(time) = LedgerKeyTime::parse(&entry.key) else { return };
    while !time.is_expired(path.cx().clock.unix()) {
        let answer = path.ledger().execute(LedgerOp::Put(entry.clone())).await;
        if matches!(answer, LedgerAnswer::Entry(_)) {
            return;
        }
        tokio::time::sleep(WRITE_RETRY_DELAY).await;
    }
}

/// Checks the key of a request if it has one; services that are not idempotent require one.
pub fn check_key(path: &RequestPath, service: &str, key: Option<&str>) -> Result<(), RequestError> {
    let record = path.cx().config.get();
    let service = record.as_ref().and_then(|record| record.config.services.get(service));
    let needs_key = service.is_some_and(|service| !service.idempotent);
    match key {
        Some(key) => ledger_key::check(key, path.cx().clock.unix()).map(|_| ()),
        None if needs_key => {
            let message = "requests of this service run at most once and need an idempotency key";
            Err(RequestError::not_run(ErrorCode::KeyRequired, message))
        }
        None => Ok(()),
    }
}
