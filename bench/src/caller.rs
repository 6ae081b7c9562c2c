//! A caller: asks which entries to use, sends requests there, and resumes streams that were cut.

use crate::call_record::CallRecord;
use crate::call_record::CallRequest;
use crate::call_record::Outcome;
use crate::call_record::Refusal;
use crate::sse::SseReader;
use guavaladder_lib::clock::Clock;
use guavaladder_lib::http_client::HttpClient;
use guavaladder_lib::http_client::HttpLimits;
use guavaladder_lib::http_client::HttpRequest;
use guavaladder_lib::http_client::HttpResponse;
use guavaladder_lib::http_client::Method;
use http::StatusCode;
use http::header::AUTHORIZATION;
use http::header::HeaderName;
use serde_json::Value;
use serde_json::json;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::Instant;

/// Longest time for an answer that is not streamed.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// Longest silence of a stream before the caller resumes it elsewhere.
const SILENCE: Duration = Duration::from_secs(10);

/// Longest answer in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Pause after an attempt that no entry answered.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Longest time for which the caller follows advice to wait.
const MAX_ADVICE: Duration = Duration::from_millis(500);

/// One customer's caller.
pub struct Caller {
    clock: Clock,
    http: HttpClient,
    token: String,
    /// Entries that the caller was given by hand.
    known: Vec<String>,
    /// Entries that the system named, and until when they are valid.
    named: Mutex<(Vec<String>, Instant)>,
    next: AtomicUsize,
    /// Longest time for which a call is tried again.
    patience: Duration,
}

/// What one attempt gave.
enum Attempt {
    Whole(String),
    Refused {
        code: String,
        retry_after: Option<Duration>,
    },
    Unknown(String),
    /// The entry could not be reached or its answer was cut.
    Broken(String),
    /// The answer does not follow the callers' API.
    Malformed(String),
    Moved,
}

/// A stream as far as it came.
#[derive(Default)]
struct Progress {
    token: Option<String>,
    emitted: Vec<String>,
    first_token: Option<Duration>,
    longest_gap: Duration,
}

impl Caller {
    /// Returns a caller that knows some entries (`ip:port`) and has a bearer token.
    pub fn new(known: Vec<String>, token: &str, patience: Duration) -> Self {
        Self {
            clock: Clock::new(),
            http: HttpClient::new(),
            token: token.to_string(),
            known,
            named: Mutex::new((vec![], Instant::now())),
            next: AtomicUsize::new(0),
            patience,
        }
    }

    /// Sends a generation as a stream until it is answered or the caller's patience ends.
    pub async fn generate(&self, service: &str, prompt: &str, max_tokens: u32) -> CallRecord {
        let request = CallRequest::Generate {
            service: service.to_string(),
            prompt: prompt.to_string(),
            max_tokens,
        };
        let mut record = self.new_record(request, None);
        let mut progress = Progress::default();
        let until = Instant::now() + self.patience;
        while Instant::now() < until {
            let sent = self.clock.now();
            let emitted = progress.emitted.len();
            let attempt = self.try_generate(service, prompt, max_tokens, &mut progress).await;
            match attempt {
                Attempt::Whole(text) => {
                    record.outcome = Outcome::Complete(text);
                    break;
                }
                Attempt::Refused { code, retry_after } => {
                    record.outcome = Outcome::NotRun(code.clone());
                    self.note_refusal(&mut record, sent, code.clone(), emitted);
                    if !is_worth_retrying(&code) {
                        break;
                    }
                    self.pause(retry_after).await;
                }
                Attempt::Unknown(code) => {
                    record.outcome = Outcome::Unknown(code);
                    break;
                }
                Attempt::Broken(reason) => {
                    record.outcome = Outcome::Interrupted(reason);
                    record.resumes += 1;
                    self.pause(None).await;
                }
                Attempt::Malformed(reason) => {
                    record.outcome = Outcome::Malformed(reason);
                    break;
                }
                Attempt::Moved => {
                    record.outcome = Outcome::Interrupted("moved".to_string());
                    record.moves += 1;
                    self.forget_named();
                }
            }
        }
        record.first_token = progress.first_token;
        record.longest_gap = progress.longest_gap;
        record.ended = self.clock.now();
        record
    }

    /// Calls a plain service; `is_keyed` calls carry an idempotency key.
    pub async fn call(&self, service: &str, path: &str, body: &str, is_keyed: bool) -> CallRecord {
        let request = CallRequest::Plain {
            service: service.to_string(),
            path: path.to_string(),
            body: body.to_string(),
        };
        let mut record = self.new_record(request, is_keyed.then(|| self.new_key()));
        let until = Instant::now() + self.patience;
        // Whether the key of the record was not sent before.
        let mut is_first_send = true;
        while Instant::now() < until {
            let sent = self.clock.now();
            let key = record.key.as_deref().map(|key| (key, is_first_send));
            let attempt = self.try_call(service, path, body, key).await;
            is_first_send = false;
            match attempt {
                Attempt::Whole(text) => {
                    record.outcome = Outcome::Complete(text);
                    break;
                }
                Attempt::Refused { code, retry_after } if code == "in_progress" => {
                    record.outcome = Outcome::Unknown(code);
                    self.pause(retry_after).await;
                }
                Attempt::Refused { code, retry_after } => {
                    record.outcome = Outcome::NotRun(code.clone());
                    self.note_refusal(&mut record, sent, code.clone(), 0);
                    if !is_worth_retrying(&code) {
                        break;
                    }
                    // A refused key is spent; a new one is a new request.
                    record.key = is_keyed.then(|| self.new_key());
                    is_first_send = true;
                    self.pause(retry_after).await;
                }
                Attempt::Unknown(code) if code == "in_progress" => {
                    record.outcome = Outcome::Unknown(code);
                    self.pause(None).await;
                }
                Attempt::Unknown(code) => {
                    record.outcome = Outcome::Unknown(code);
                    break;
                }
                Attempt::Broken(reason) => {
                    record.outcome = Outcome::Interrupted(reason);
                    record.resumes += 1;
                    self.pause(None).await;
                }
                Attempt::Malformed(reason) => {
                    record.outcome = Outcome::Malformed(reason);
                    break;
                }
                Attempt::Moved => record.outcome = Outcome::Interrupted("moved".to_string()),
            }
        }
        record.ended = self.clock.now();
        record
    }

    fn new_record(&self, request: CallRequest, key: Option<String>) -> CallRecord {
        CallRecord {
            request,
            key,
            began: self.clock.now(),
            ended: Duration::ZERO,
            outcome: Outcome::Interrupted("never sent".to_string()),
            refusals: vec![],
            first_token: None,
            longest_gap: Duration::ZERO,
            resumes: 0,
            moves: 0,
        }
    }

    fn note_refusal(&self, record: &mut CallRecord, sent: Duration, code: String, emitted: usize) {
        let received = self.clock.now();
        record.refusals.push(Refusal { sent, received, code, key: record.key.clone(), emitted });
    }

    fn new_key(&self) -> String {
        format!("{}-{:016x}", self.clock.unix().as_millis(), rand::random::<u64>())
    }

    async fn pause(&self, advice: Option<Duration>) {
        tokio::time::sleep(advice.unwrap_or(RETRY_PAUSE).min(MAX_ADVICE)).await;
    }

    async fn try_generate(
        &self,
        service: &str,
        prompt: &str,
        max_tokens: u32,
        progress: &mut Progress,
    ) -> Attempt {
        let mut body = json!({
            "service": service, "prompt": prompt, "max_tokens": max_tokens, "stream": true,
        });
        if let Some(token) = &progress.token {
            body["resume"] = json!({"token": token, "emitted": progress.emitted});
        }
        let entry = self.entry().await;
        let call = HttpRequest::new(Method::Post, &entry, "/v1/generate".to_string())
            .with_header(AUTHORIZATION, format!("Bearer {}", self.token))
            .with_body(body.to_string());
        let began = Instant::now();
        let response = match tokio::time::timeout(CALL_TIMEOUT, self.http.call_streaming(call))
            .await
        {
            Ok(Ok(response)) => response,
            Ok(Err(e)) => return self.broken(format!("{entry}: {e}")),
            Err(_) => return self.broken(format!("{entry}: no answer within {CALL_TIMEOUT:?}")),
        };
        if response.status() != StatusCode::OK {
            let status = response.status();
            let reading = http_body_util::BodyExt::collect(response.into_body());
            return match tokio::time::timeout(CALL_TIMEOUT, reading).await {
                Ok(Ok(body)) => refused(&HttpResponse { status, body: body.to_bytes() }),
                Ok(Err(_)) | Err(_) => self.broken(format!("{entry}: {status} without body")),
            };
        }
        let attempt = read_stream(SseReader::new(response.into_body()), progress, began).await;
        match attempt {
            Attempt::Broken(reason) => self.broken(format!("{entry}: {reason}")),
            other => other,
        }
    }

    /// Sends one copy of a call; `key` comes with whether the copy is its first.
    async fn try_call(
        &self,
        service: &str,
        path: &str,
        body: &str,
        key: Option<(&str, bool)>,
    ) -> Attempt {
        let entry = self.entry().await;
        let mut call = HttpRequest::new(Method::Post, &entry, format!("/v1/call/{service}/{path}"))
            .with_header(AUTHORIZATION, format!("Bearer {}", self.token))
            .with_body(body.to_string());
        if let Some((key, is_first_send)) = key {
            let name = HeaderName::from_static("idempotency-key");
            call = call.with_header(name, key.to_string());
            let name = HeaderName::from_static("idempotency-first-send");
            call = call.with_header(name, is_first_send.to_string());
        }
        match self.http.call(call, limits(CALL_TIMEOUT)).await {
            Ok(reply) if reply.status == StatusCode::OK => {
                Attempt::Whole(String::from_utf8_lossy(&reply.body).into_owned())
            }
            Ok(reply) => refused(&reply),
            Err(e) => self.broken(format!("{entry}: {e}")),
        }
    }

    /// Drops what the system named, since one of the entries failed.
    fn broken(&self, reason: String) -> Attempt {
        self.forget_named();
        Attempt::Broken(reason)
    }

    fn forget_named(&self) {
        *self.named.lock().unwrap_or_else(PoisonError::into_inner) = (vec![], Instant::now());
        self.next.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the entry to use, asking the system when the last answer has expired.
    async fn entry(&self) -> String {
        {
            let named = self.named.lock().unwrap_or_else(PoisonError::into_inner);
            if let (Some(first), true) = (named.0.first(), named.1 > Instant::now()) {
                return first.clone();
            }
        }
        for index in 0..self.known.len() {
            let turn = self.next.load(Ordering::Relaxed) + index;
            let known = &self.known[turn % self.known.len()];
            if let Some((entries, valid)) = self.ask_entries(known).await {
                let first = entries[0].clone();
                let until = Instant::now() + valid;
                *self.named.lock().unwrap_or_else(PoisonError::into_inner) = (entries, until);
                return first;
            }
        }
        self.known[self.next.load(Ordering::Relaxed) % self.known.len()].clone()
    }

    async fn ask_entries(&self, known: &str) -> Option<(Vec<String>, Duration)> {
        let call = HttpRequest::new(Method::Get, known, "/v1/entries".to_string())
            .with_header(AUTHORIZATION, format!("Bearer {}", self.token));
        let reply = self.http.call(call, limits(Duration::from_secs(1))).await.ok()?;
        let value: Value = serde_json::from_slice(&reply.body).ok()?;
        let entries = value["entries"].as_array()?;
        let addresses = entries.iter().filter_map(|entry| entry["address"].as_str());
        let addresses: Vec<String> = addresses.map(str::to_string).collect();
        let valid = Duration::from_millis(value["valid_ms"].as_u64()?);
        (!addresses.is_empty()).then_some((addresses, valid))
    }
}

fn limits(timeout: Duration) -> HttpLimits {
    HttpLimits { timeout, max_body: MAX_ANSWER_BYTES }
}

/// Tells whether sending again may help after a refusal.
fn is_worth_retrying(code: &str) -> bool {
    matches!(
        code,
        "no_config"
            | "no_replica"
            | "overloaded"
            | "customer_over_share"
            | "deadline"
            | "retry_limit"
            | "ledger_away"
            | "shutting_down"
            | "upstream_failed"
            | "key_refused"
            | "internal"
    )
}

fn refused(reply: &HttpResponse) -> Attempt {
    let value: Value = serde_json::from_slice(&reply.body).unwrap_or_default();
    to_attempt(&value["error"], reply.status)
}

fn to_attempt(error: &Value, status: StatusCode) -> Attempt {
    let code = error["code"].as_str().map_or_else(|| status.to_string(), str::to_string);
    let retry_after = error["retry_after_ms"].as_u64().map(Duration::from_millis);
    match error["ran"].as_str() {
        Some("not_run") => Attempt::Refused { code, retry_after },
        _ => Attempt::Unknown(code),
    }
}

async fn read_stream(mut reader: SseReader, progress: &mut Progress, began: Instant) -> Attempt {
    let mut last = Instant::now();
    loop {
        let event = match tokio::time::timeout(SILENCE, reader.next()).await {
            Ok(Ok(Some(event))) => event,
            Ok(Ok(None)) => return Attempt::Broken("the stream ended early".to_string()),
            Ok(Err(e)) => return Attempt::Broken(format!("{e:#}")),
            Err(_) => return Attempt::Broken(format!("silent for {SILENCE:?}")),
        };
        let Ok(data) = serde_json::from_str::<Value>(&event.data) else {
            return Attempt::Malformed(format!("event {} is not JSON", event.name));
        };
        match event.name.as_str() {
            "start" => progress.token = data["token"].as_str().map(str::to_string),
            "tokens" => {
                progress.longest_gap = progress.longest_gap.max(last.elapsed());
                last = Instant::now();
                progress.first_token.get_or_insert(began.elapsed());
                if let Some(reason) = take_tokens(&data, progress) {
                    return Attempt::Malformed(reason);
                }
            }
            "end" => {
                if data["length"].as_u64() != Some(progress.emitted.len() as u64) {
                    return Attempt::Malformed(format!("end {data} does not match the tokens"));
                }
                return Attempt::Whole(progress.emitted.concat());
            }
            "moved" => return Attempt::Moved,
            "error" => return to_attempt(&data["error"], StatusCode::OK),
            other => return Attempt::Malformed(format!("unknown event {other}")),
        }
    }
}

/// Appends tokens; returns the reason when they do not follow the ones before.
fn take_tokens(data: &Value, progress: &mut Progress) -> Option<String> {
    let offset = data["offset"].as_u64();
    if offset != Some(progress.emitted.len() as u64) {
        return Some(format!("tokens at {offset:?} after {}", progress.emitted.len()));
    }
    let tokens = data["tokens"].as_array()?;
    progress.emitted.extend(tokens.iter().filter_map(Value::as_str).map(str::to_string));
    None
}
