//! Running a request at most once: its key is in the ledger before it is sent to an upstream, and
//! nobody is told that it was not run before the ledger keeps it from running later.

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

/// Time after which a caller asks again for a request that is running.
const RUNNING_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Time after which a caller tries again while the ledger is away.
const LEDGER_RETRY_AFTER: Duration = Duration::from_secs(5);
/// Pause between two tries to write what became of a request.
const FINISH_PAUSE: Duration = Duration::from_secs(2);

/// How a request with a key may go on.
pub enum Begun {
    /// Its key is in the ledger; it may be sent to an upstream once.
    Run(OnceRun),
    /// It ran before, and this is its answer.
    Kept {
        /// HTTP status.
        status: u16,
        /// Body.
        answer: String,
    },
}

/// The one run of a request with a key.
///
/// When it is dropped without a result, as in a crash of its task, the outcome is unknown.
pub struct OnceRun {
    path: RequestPath,
    entry: LedgerEntry,
    is_finished: bool,
}

/// Writes a request's key into the ledger, unless it is there already.
pub async fn begin(path: &RequestPath, req: &Request, key: &str) -> Result<Begun, RequestError> {
    let entry = entry(path, req, key, LedgerState::Started);
    match path.ledger().call(LedgerOp::Put(entry.clone())).await {
        LedgerAnswer::Entry(known) if known.attempt == entry.attempt => {
            Ok(Begun::Run(OnceRun { path: path.clone(), entry: known, is_finished: false }))
        }
        LedgerAnswer::Entry(known) => judge(path, req, &known),
        LedgerAnswer::Unclear(reason) => {
            // The entry may yet appear: it must not look like a run of this node for ever.
            let refused = LedgerEntry { state: LedgerState::Refused, ..entry };
            tokio::spawn(write_eventually(path.clone(), refused));
            Err(ledger_away(&reason))
        }
        LedgerAnswer::NotWritten(reason) => Err(ledger_away(&reason)),
        LedgerAnswer::Absent => Err(ledger_away("no answer")),
    }
}

/// Marks a request as refused that was never sent to an upstream, and returns what its caller may
/// be told: another copy of it may have run.
pub async fn refuse(
    path: &RequestPath,
    req: &Request,
    key: &str,
    error: RequestError,
) -> RequestError {
    if error.ran == RunStatus::MaybeRun {
        return error;
    }
    let entry = entry(path, req, key, LedgerState::Refused);
    match path.ledger().call(LedgerOp::Put(entry.clone())).await {
        LedgerAnswer::Entry(known) if known.attempt == entry.attempt => error.confirmed_by_ledger(),
        LedgerAnswer::Entry(known) => match judge(path, req, &known) {
            Err(e) => e,
            Ok(_) => {
                RequestError::unknown(ErrorCode::InProgress, "the request ran before; ask again")
                    .with_retry_after(RUNNING_RETRY_AFTER)
            }
        },
        _ => ledger_away(&error.message),
    }
}

/// Returns what became of a key.
pub async fn status(
    path: &RequestPath,
    customer: &str,
    key: &str,
) -> Result<RequestStatusReply, RequestError> {
    if LedgerKeyTime::parse(key).is_none() {
        return Err(RequestError::not_run(ErrorCode::KeyMalformed, "the key is malformed"));
    }
    let read = LedgerKey { customer: customer.to_string(), key: key.to_string() };
    let entry = match path.ledger().call(LedgerOp::Read(read)).await {
        LedgerAnswer::Entry(entry) => entry,
        LedgerAnswer::Absent => {
            let message = "the ledger does not hold the key: it was never used, or is forgotten";
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

impl OnceRun {
    /// Returns the fencing number for the upstream.
    pub fn epoch(&self) -> u64 {
        self.entry.epoch
    }

    /// Notes that the request ran to its end.
    pub fn done(self, status: u16, answer: String) {
        let entry = LedgerEntry {
            state: LedgerState::Done,
            status,
            answer: Some(answer),
            ..self.entry.clone()
        };
        self.end(entry);
    }

    /// Notes how the request failed and returns what its caller is told.
    pub async fn failed(mut self, error: RequestError) -> RequestError {
        let state = match error.ran {
            RunStatus::NotRun => LedgerState::Refused,
            RunStatus::MaybeRun => LedgerState::Unknown,
        };
        let entry = LedgerEntry { state, ..self.entry.clone() };
        if error.ran == RunStatus::MaybeRun {
            self.record_unknown(&error.message);
            self.end(entry);
            return error;
        }
        self.is_finished = true;
        // The entry that is there keeps every other node from running it, so a mark that cannot
        // be written now does not make the answer untrue.
        let answer = self.path.ledger().call(LedgerOp::Put(entry.clone())).await;
        if !matches!(answer, LedgerAnswer::Entry(_)) {
            tokio::spawn(write_eventually(self.path.clone(), entry));
        }
        error.confirmed_by_ledger()
    }

    fn end(mut self, entry: LedgerEntry) {
        self.is_finished = true;
        tokio::spawn(write_eventually(self.path.clone(), entry));
    }

    fn record_unknown(&self, reason: &str) {
        self.path.cx().record(Event::LedgerOutcomeUnknown {
            request: self.entry.attempt.clone(),
            key: self.entry.key.clone(),
            reason: reason.to_string(),
        });
    }
}

impl Drop for OnceRun {
    fn drop(&mut self) {
        if self.is_finished {
            return;
        }
        self.record_unknown("the run ended without a result");
        let entry = LedgerEntry { state: LedgerState::Unknown, ..self.entry.clone() };
        tokio::spawn(write_eventually(self.path.clone(), entry));
    }
}

fn entry(path: &RequestPath, req: &Request, key: &str, state: LedgerState) -> LedgerEntry {
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

/// Decides about a request whose key is in the ledger for another run.
fn judge(path: &RequestPath, req: &Request, known: &LedgerEntry) -> Result<Begun, RequestError> {
    if known.fingerprint != req.fingerprint {
        let message = "the key was used for another request";
        return Err(RequestError::not_run(ErrorCode::KeyReused, message).confirmed_by_ledger());
    }
    match known.state {
        LedgerState::Done => match &known.answer {
            Some(answer) => Ok(Begun::Kept { status: known.status, answer: answer.clone() }),
            None => {
                let message = "the request ran to its end before; its answer is not kept";
                Err(RequestError::unknown(ErrorCode::AnswerNotKept, message))
            }
        },
        LedgerState::Refused => {
            let message = "a request with this key was refused; use a new key";
            Err(RequestError::not_run(ErrorCode::KeyRefused, message).confirmed_by_ledger())
        }
        LedgerState::Started if is_running(path, known) => {
            let message = "the request with this key is running";
            let error = RequestError::unknown(ErrorCode::InProgress, message);
            Err(error.with_retry_after(RUNNING_RETRY_AFTER))
        }
        LedgerState::Started | LedgerState::Unknown => {
            let message = "the request with this key may have run; it will not be run again";
            Err(RequestError::unknown(ErrorCode::OutcomeUnknown, message))
        }
    }
}

/// Tells whether the node that started a run still lives in the same incarnation.
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

/// Returns the refusal of a copy that was not run while the ledger cannot be written.
fn ledger_away(reason: &str) -> RequestError {
    let message = format!("the ledger cannot be written: {reason}");
    RequestError::not_run(ErrorCode::LedgerAway, message).with_retry_after(LEDGER_RETRY_AFTER)
}

/// Writes what became of a run, however long the store is away, until the key is forgotten anyway.
async fn write_eventually(path: RequestPath, entry: LedgerEntry) {
    let Some(time) = LedgerKeyTime::parse(&entry.key) else { return };
    while !time.is_forgettable(path.cx().clock.unix()) {
        let answer = path.ledger().call(LedgerOp::Put(entry.clone())).await;
        if matches!(answer, LedgerAnswer::Entry(_)) {
            return;
        }
        tokio::time::sleep(FINISH_PAUSE).await;
    }
}

/// Checks the key of a request against what its service asks for.
pub fn check_key(path: &RequestPath, service: &str, key: Option<&str>) -> Result<(), RequestError> {
    let record = path.cx().config.get();
    let service = record.as_ref().and_then(|record| record.config.services.get(service));
    let needs_key = service.is_some_and(|service| !service.idempotent);
    match key {
        Some(key) => ledger_key::check(key, path.cx().clock.unix()).map(|_| ()),
        None if needs_key => {
            let message = "the service's requests run at most once; send an idempotency key";
            Err(RequestError::not_run(ErrorCode::KeyRequired, message))
        }
        None => Ok(()),
    }
}
