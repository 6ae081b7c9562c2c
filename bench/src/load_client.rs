//! Clients of the load measurement, which stream through a daemon or directly from a fake engine.

use crate::sse::SseReader;
use anyhow::Context;
use anyhow::Result;
use anyhow::bail;
use futures_util::StreamExt;
use guavaladder_lib::engine::Engine;
use guavaladder_lib::engine_http::HttpEngine;
use guavaladder_lib::generated::engine::GenerateRequest;
use guavaladder_lib::generated::engine::Priority;
use guavaladder_lib::generated::engine::StreamRecord;
use guavaladder_lib::generated::groups::GroupRecord;
use guavaladder_lib::generated::requests::EndEvent;
use guavaladder_lib::generated::requests::TokensEvent;
use guavaladder_lib::http_client::HttpClient;
use guavaladder_lib::http_client::HttpRequest;
use guavaladder_lib::http_client::Method;
use guavaladder_testutils::token_text::ModelOutput;
use hdrhistogram::Histogram;
use http::StatusCode;
use http::header::AUTHORIZATION;
use http_body_util::BodyExt;
use serde_json::json;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum of the histograms in microseconds; longer latencies are recorded as this value.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Number of significant digits that the histograms preserve.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Where a client sends its streams.
#[derive(Debug, Clone)]
pub enum StreamTarget {
    /// Through the daemon at this address.
    Daemon {
        /// Address of the caller API as `ip:port`.
        entry: String,
        /// Bearer token of the customer.
        token: String,
        /// Name of the service.
        service: String,
    },
    /// Directly to the engines of these groups.
    Direct {
        /// Serving groups, used in turn.
        groups: Vec<GroupRecord>,
    },
}

/// Measurements of one or several clients.
#[derive(Debug)]
pub struct LoadSample {
    /// Times to the first token in microseconds.
    pub first_token: Histogram<u64>,
    /// Times between records in microseconds.
    pub record_interval: Histogram<u64>,
    /// Number of complete responses.
    pub completed: u64,
    /// Number of tokens received in all streams.
    pub tokens: u64,
    /// Error messages of the streams that failed or had wrong tokens.
    pub failures: Vec<String>,
}

impl LoadSample {
    /// Returns an empty sample.
    pub fn new() -> Result<Self> {
        Ok(Self {
            first_token: Histogram::new_with_max(MAX_LATENCY_US, SIGNIFICANT_DIGITS)?,
            record_interval: Histogram::new_with_max(MAX_LATENCY_US, SIGNIFICANT_DIGITS)?,
            completed: 0,
            tokens: 0,
            failures: vec![],
        })
    }

    /// Adds the measurements of another sample.
    pub fn add(&mut self, other: Self) -> Result<()> {
        self.first_token.add(&other.first_token)?;
        self.record_interval.add(&other.record_interval)?;
        self.completed += other.completed;
        self.tokens += other.tokens;
        self.failures.extend(other.failures);
        Ok(())
    }
}

/// Client that runs one stream after another.
pub struct LoadClient {
    target: StreamTarget,
    http: HttpClient,
    engine: HttpEngine,
    index: usize,
    sent: usize,
    model: String,
    version: String,
}

impl LoadClient {
    /// Returns a client; the clients of one phase share the connections of `http` and `engine`.
    pub fn new(target: StreamTarget, http: HttpClient, engine: HttpEngine, index: usize) -> Self {
        let model = crate::load::MODEL.to_string();
        let version = crate::load::MODEL_VERSION.to_string();
        Self { target, http, engine, index, sent: 0, model, version }
    }

    /// Runs streams of `length` tokens and starts none after `until`.
    ///
    /// The first stream starts after `delay`, so that the clients do not all connect at once.
    pub async fn run(mut self, length: u32, delay: Duration, until: Instant) -> Result<LoadSample> {
        tokio::time::sleep(delay).await;
        let mut sample = LoadSample::new()?;
        while Instant::now() < until {
            let prompt = format!("client {} stream {} length:{length}", self.index, self.sent);
            self.sent += 1;
            let streaming = async {
                match self.target.clone() {
                    StreamTarget::Daemon { entry, token, service } => {
                        self.stream_via_daemon(&entry, &token, &service, &prompt, &mut sample).await
                    }
                    StreamTarget::Direct { groups } => {
                        self.stream_directly(&groups, &prompt, &mut sample).await
                    }
                }
            };
            match streaming.await {
                Ok(()) => sample.completed += 1,
                Err(e) => {
                    sample.failures.push(format!("{e:#}"));
                    tokio::time::sleep(Duration::from_millis(10)).await;
                }
            }
        }
        Ok(sample)
    }

    async fn stream_via_daemon(
        &self,
        entry: &str,
        token: &str,
        service: &str,
        prompt: &str,
        sample: &mut LoadSample,
    ) -> Result<()> {
        let body = json!({
            "service": service, "prompt": prompt, "max_tokens": 100_000, "stream": true,
        });
        let call = HttpRequest::new(Method::Post, entry, "/v1/generate".to_string())
            .with_header(AUTHORIZATION, format!("Bearer {token}"))
            .with_body(body.to_string());
        let mut check = self.new_check(prompt);
        let response = self.http.call_streaming(call).await?;
        if response.status() != StatusCode::OK {
            let status = response.status();
            let body = response.into_body().collect().await?.to_bytes();
            bail!("{status}: {}", String::from_utf8_lossy(&body));
        }
        let mut reader = SseReader::new(response.into_body());
        while let Some(event) = reader.next().await? {
            match event.name.as_str() {
                "start" => {}
                "tokens" => {
                    let event: TokensEvent = serde_json::from_str(&event.data)?;
                    check.check_tokens(event.offset, &event.tokens, sample)?;
                }
                "end" => {
                    let event: EndEvent = serde_json::from_str(&event.data)?;
                    check.check_end(event.length)?;
                    // Reads to the end of the body, so that the connection is reusable.
                    while reader.next().await?.is_some() {}
                    return Ok(());
                }
                other => bail!("unexpected event {other}: {}", event.data),
            }
        }
        bail!("the stream ended early")
    }

    async fn stream_directly(
        &self,
        groups: &[GroupRecord],
        prompt: &str,
        sample: &mut LoadSample,
    ) -> Result<()> {
        let group = &groups[(self.index + self.sent) % groups.len()];
        let first = group.members.first().context("the group has no members")?;
        let req = GenerateRequest {
            request: format!("direct-{}-{}", self.index, self.sent),
            attempt: rand::random(),
            group: group.group.clone(),
            epoch: group.epoch,
            prompt: prompt.to_string(),
            max_tokens: 100_000,
            priority: Priority::Normal,
            adapter: None,
            offset: 0,
            emitted: vec![],
            idempotency_key: None,
        };
        let mut check = self.new_check(prompt);
        let mut records = self.engine.generate(&first.address, &req).await?;
        while let Some(record) = records.next().await {
            match record? {
                StreamRecord::Accepted(_) => {}
                StreamRecord::Tokens(record) => {
                    check.check_tokens(record.offset, &record.tokens, sample)?
                }
                StreamRecord::End(record) => return check.check_end(record.length),
            }
        }
        bail!("the stream ended early")
    }

    fn new_check(&self, prompt: &str) -> StreamCheck {
        let expected = ModelOutput::new(&self.model, &self.version, None, prompt, 100_000);
        StreamCheck { expected, next: 0, began: Instant::now(), last: None }
    }
}

/// Compares the tokens of a stream with the expected text and records their latencies.
struct StreamCheck {
    expected: ModelOutput,
    next: u32,
    began: Instant,
    last: Option<Instant>,
}

impl StreamCheck {
    fn check_tokens(
        &mut self,
        offset: u32,
        tokens: &[String],
        sample: &mut LoadSample,
    ) -> Result<()> {
        let now = Instant::now();
        match self.last {
            None => sample.first_token.saturating_record(micros(now - self.began)),
            Some(last) => sample.record_interval.saturating_record(micros(now - last)),
        }
        self.last = Some(now);
        if offset != self.next {
            bail!("tokens at offset {offset} after {} tokens", self.next);
        }
        for token in tokens {
            if *token != self.expected.token(self.next) {
                bail!("token {} differs from the expected text", self.next);
            }
            self.next += 1;
        }
        sample.tokens += tokens.len() as u64;
        Ok(())
    }

    fn check_end(&self, length: u32) -> Result<()> {
        if length != self.expected.length || self.next != length {
            bail!(
                "received {} tokens, end event has length {length}, expected {}",
                self.next,
                self.expected.length
            );
        }
        Ok(())
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
