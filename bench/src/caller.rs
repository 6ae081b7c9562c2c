//! Client of the caller API: resolves the entry nodes, sends requests to them and resumes
//! interrupted streams.

use crate::call_record::CallRecord;
use crate::call_record::CallRequest;
use crate::call_record::Outcome;
use crate::call_record::Refusal;
use crate::sse::SseReader;
use guavaladder_lib::clock::Clock;
use guavaladder_lib::http_client;
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

/// Timeout of a response that is not streamed, and of the head of a streamed one.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// Time without an event after which the caller resumes a stream at another entry.
const EVENT_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Delay before the next attempt when the response has no `retry_after_ms`.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Upper limit on the delay that a response requests by `retry_after_ms`.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Sends requests with one customer's token and repeats them until they complete.
pub struct Caller {
    clock: Clock,
    http: HttpClient,
    token: String,
    /// Entry addresses given at construction, to which resolve queries are sent.
    seeds: Vec<String>,
    /// Entries from the last resolve query, and when they expire.
    resolved: Mutex<(Vec<String>, Instant)>,
    next: AtomicUsize,
    /// Time from the start of a call after which it is not sent again.
    max_retry_time: Duration,
}

/// Result of one attempt.
enum Attempt {
    Complete(String),
    Refused {
        code: String,
        retry_after: Option<Duration>,
    },
    Unknown(String),
    /// The entry was unreachable, or its response ended early.
    Interrupted(String),
    /// The response violates the caller API.
    Malformed(String),
    Moved,
}

/// The part of a stream that was received over all attempts.
#[derive(Default)]
struct Progress {
    token: Option<String>,
    emitted: Vec<String>,
    first_token: Option<Duration>,
    longest_gap: Duration,
}

impl Caller {
    /// Returns a caller that resolves entries at these addresses (`ip:port`) and sends a bearer
    /// token.
    pub fn new(seeds: Vec<String>, token: &str, max_retry_time: Duration) -> Self {
        Self {
            clock: Clock::new(),
            http: HttpClient::new(),
            token: token.to_string(),
            seeds,
            resolved: Mutex::new((vec![], Instant::now())),
            next: AtomicUsize::new(0),
            max_retry_time,
        }
    }

    /// Sends a streamed generation, resuming or retrying it until it ends or the retry time is
    /// over.
    pub async fn generate(&self, service: &str, prompt: &str, max_tokens: u32) -> CallRecord {
        let request = CallRequest::Generate {
            service: service.to_string(),
            prompt: prompt.to_string(),
            max_tokens,
        };
        let mut record = self.new_record(request, None);
        let mut progress = Progress::default();
        let deadline = Instant::now() + self.max_retry_time;
        while Instant::now() < deadline {
            let sent = self.clock.now();
            let emitted = progress.emitted.len();
            let attempt = self.try_generate(service, prompt, max_tokens, &mut progress).await;
            match attempt {
                Attempt::Complete(text) => {
                    record.outcome = Outcome::Complete(text);
                    break;
                }
                Attempt::Refused { code, retry_after } => {
                    record.outcome = Outcome::NotRun(code.clone());
                    self.record_refusal(&mut record, sent, code.clone(), emitted);
                    if !is_worth_retrying(&code) {
                        break;
                    }
                    self.wait_before_retry(retry_after).await;
                }
                Attempt::Unknown(code) => {
                    record.outcome = Outcome::Unknown(code);
                    break;
                }
                Attempt::Interrupted(reason) => {
                    record.outcome = Outcome::Interrupted(reason);
                    record.resumes += 1;
                    self.wait_before_retry(None).await;
                }
                Attempt::Malformed(reason) => {
                    record.outcome = Outcome::Malformed(reason);
                    break;
                }
                Attempt::Moved => {
                    record.outcome = Outcome::Interrupted("moved".to_string());
                    record.moves += 1;
                    self.discard_resolved();
                }
            }
        }
        record.first_token = progress.first_token;
        record.longest_gap = progress.longest_gap;
        record.ended = self.clock.now();
        record
    }

    /// Calls a plain service; with `is_keyed`, the request has an idempotency key.
    pub async fn call(&self, service: &str, path: &str, body: &str, is_keyed: bool) -> CallRecord {
        let request = CallRequest::Plain {
            service: service.to_string(),
            path: path.to_string(),
            body: body.to_string(),
        };
        let mut record = self.new_record(request, is_keyed.then(|| self.new_key()));
        let deadline = Instant::now() + self.max_retry_time;
        // Whether the key in the record has not been sent yet.
        let mut is_first_send = true;
        while Instant::now() < deadline {
            let sent = self.clock.now();
            let key = record.key.as_deref().map(|key| (key, is_first_send));
            let attempt = self.try_call(service, path, body, key).await;
            is_first_send = false;
            match attempt {
                Attempt::Complete(text) => {
                    record.outcome = Outcome::Complete(text);
                    break;
                }
                Attempt::Refused { code, retry_after } if code == "in_progress" => {
                    record.outcome = Outcome::Unknown(code);
                    self.wait_before_retry(retry_after).await;
                }
                Attempt::Refused { code, retry_after } => {
                    record.outcome = Outcome::NotRun(code.clone());
                    self.record_refusal(&mut record, sent, code.clone(), 0);
                    if !is_worth_retrying(&code) {
                        break;
                    }
                    // A refused key is not accepted again, so the retry is a new request with a new
                    // key.
                    record.key = is_keyed.then(|| self.new_key());
                    is_first_send = true;
                    self.wait_before_retry(retry_after).await;
                }
                Attempt::Unknown(code) if code == "in_progress" => {
                    record.outcome = Outcome::Unknown(code);
                    self.wait_before_retry(None).await;
                }
                Attempt::Unknown(code) => {
                    record.outcome = Outcome::Unknown(code);
                    break;
                }
                Attempt::Interrupted(reason) => {
                    record.outcome = Outcome::Interrupted(reason);
                    record.resumes += 1;
                    self.wait_before_retry(None).await;
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

    fn record_refusal(
        &self,
        record: &mut CallRecord,
        sent: Duration,
        code: String,
        emitted: usize,
    ) {
        let received = self.clock.now();
        record.refusals.push(Refusal { sent, received, code, key: record.key.clone(), emitted });
    }

    fn new_key(&self) -> String {
        format!("{}-{:016x}", self.clock.unix().as_millis(), rand::random::<u64>())
    }

    async fn wait_before_retry(&self, retry_after: Option<Duration>) {
        tokio::time::sleep(retry_after.unwrap_or(RETRY_DELAY).min(MAX_RETRY_AFTER)).await;
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
            Ok(Err(e)) => return self.interrupted(format!("{entry}: {e}")),
            Err(_) => return self.interrupted(format!("{entry}: no response in {CALL_TIMEOUT:?}")),
        };
        if response.status() != StatusCode::OK {
            let status = response.status();
            let retry_after = http_client::retry_after(response.headers());
            let collecting = http_body_util::BodyExt::collect(response.into_body());
            return match tokio::time::timeout(CALL_TIMEOUT, collecting).await {
                Ok(Ok(body)) => {
                    let body = body.to_bytes();
                    parse_error_response(&HttpResponse { status, retry_after, body })
                }
                Ok(Err(_)) | Err(_) => {
                    self.interrupted(format!("{entry}: {status}, body not received"))
                }
            };
        }
        let attempt = read_stream(SseReader::new(response.into_body()), progress, began).await;
        match attempt {
            Attempt::Interrupted(reason) => self.interrupted(format!("{entry}: {reason}")),
            other => other,
        }
    }

    /// Sends a call once; `key` is the idempotency key and whether this is its first send.
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
                Attempt::Complete(String::from_utf8_lossy(&reply.body).into_owned())
            }
            Ok(reply) => parse_error_response(&reply),
            Err(e) => self.interrupted(format!("{entry}: {e}")),
        }
    }

    /// Reports an interrupted attempt and discards the resolved entries, because one of them
    /// failed.
    fn interrupted(&self, reason: String) -> Attempt {
        self.discard_resolved();
        Attempt::Interrupted(reason)
    }

    fn discard_resolved(&self) {
        *self.resolved.lock().unwrap_or_else(PoisonError::into_inner) = (vec![], Instant::now());
        self.next.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the entry to use, after a resolve query if the last result has expired.
    ///
    /// If no query succeeds, this is one of the addresses given at construction.
    async fn entry(&self) -> String {
        {
            let resolved = self.resolved.lock().unwrap_or_else(PoisonError::into_inner);
            if let (Some(first), true) = (resolved.0.first(), resolved.1 > Instant::now()) {
                return first.clone();
            }
        }
        for index in 0..self.seeds.len() {
            let position = self.next.load(Ordering::Relaxed) + index;
            let seed = &self.seeds[position % self.seeds.len()];
            if let Some((entries, valid)) = self.resolve_entries(seed).await {
                let first = entries[0].clone();
                let expires_at = Instant::now() + valid;
                *self.resolved.lock().unwrap_or_else(PoisonError::into_inner) =
                    (entries, expires_at);
                return first;
            }
        }
        self.seeds[self.next.load(Ordering::Relaxed) % self.seeds.len()].clone()
    }

    async fn resolve_entries(&self, seed: &str) -> Option<(Vec<String>, Duration)> {
        let call = HttpRequest::new(Method::Get, seed, "/v1/entries".to_string())
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
    HttpLimits { timeout, max_body: MAX_RESPONSE_BYTES }
}

/// Returns whether a request refused with this code may succeed when sent again.
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

fn parse_error_response(reply: &HttpResponse) -> Attempt {
    let value: Value = serde_json::from_slice(&reply.body).unwrap_or_default();
    error_to_attempt(&value["error"], reply.status)
}

fn error_to_attempt(error: &Value, status: StatusCode) -> Attempt {
    let code = error["code"].as_str().map_or_else(|| status.to_string(), str::to_string);
    let retry_after = error["retry_after_ms"].as_u64().map(Duration::from_millis);
    match error["ran"].as_str() {
        Some("not_run") => Attempt::Refused { code, retry_after },
        _ => Attempt::Unknown(code),
    }
}

async fn read_stream(mut reader: SseReader, progress: &mut Progress, began: Instant) -> Attempt {
    let mut last_tokens = Instant::now();
    loop {
        let event = match tokio::time::timeout(EVENT_TIMEOUT, reader.next()).await {
            Ok(Ok(Some(event))) => event,
            Ok(Ok(None)) => return Attempt::Interrupted("the stream ended early".to_string()),
            Ok(Err(e)) => return Attempt::Interrupted(format!("{e:#}")),
            Err(_) => return Attempt::Interrupted(format!("no event within {EVENT_TIMEOUT:?}")),
        };
        let Ok(data) = serde_json::from_str::<Value>(&event.data) else {
            return Attempt::Malformed(format!("event {} is not JSON", event.name));
        };
        match event.name.as_str() {
            "start" => progress.token = data["token"].as_str().map(str::to_string),
            "tokens" => {
                progress.longest_gap = progress.longest_gap.max(last_tokens.elapsed());
                last_tokens = Instant::now();
                progress.first_token.get_or_insert(began.elapsed());
                if let Some(reason) = append_tokens(&data, progress) {
                    return Attempt::Malformed(reason);
                }
            }
            "end" => {
                if data["length"].as_u64() != Some(progress.emitted.len() as u64) {
                    return Attempt::Malformed(format!(
                        "end event {data} does not match the number of tokens"
                    ));
                }
                return Attempt::Complete(progress.emitted.concat());
            }
            "moved" => return Attempt::Moved,
            "error" => return error_to_attempt(&data["error"], StatusCode::OK),
            other => return Attempt::Malformed(format!("unknown event {other}")),
        }
    }
}

/// Appends tokens; returns an error message if their offset does not continue the received ones.
fn append_tokens(data: &Value, progress: &mut Progress) -> Option<String> {
    let offset = data["offset"].as_u64();
    if offset != Some(progress.emitted.len() as u64) {
        return Some(format!(
            "tokens at offset {offset:?} after {} tokens",
            progress.emitted.len()
        ));
    }
    let tokens = data["tokens"].as_array()?;
    progress.emitted.extend(tokens.iter().filter_map(Value::as_str).map(str::to_string));
    None
}
