//! Streams of the load measurement, through a daemon or straight to a stand-in.

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

/// Longest latency that a histogram holds, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Significant digits of the histograms.
const DIGITS: u8 = 3;

/// Way of a stream.
#[derive(Debug, Clone)]
pub enum Way {
    /// Through the daemon at this address.
    Daemon {
        /// Address as `ip:port`.
        entry: String,
        /// Bearer token.
        token: String,
        /// Service.
        service: String,
    },
    /// Straight to the engines of these groups.
    Direct {
        /// Groups that serve.
        groups: Vec<GroupRecord>,
    },
}

/// What was measured.
#[derive(Debug)]
pub struct LoadSample {
    /// Times to the first token in microseconds.
    pub first_token: Histogram<u64>,
    /// Times between records in microseconds.
    pub gap: Histogram<u64>,
    /// Whole answers.
    pub whole: u64,
    /// Tokens of all streams.
    pub tokens: u64,
    /// Streams that failed or whose text was wrong, with the first reason.
    pub failures: Vec<String>,
}

impl LoadSample {
    /// Returns an empty sample.
    pub fn new() -> Result<Self> {
        Ok(Self {
            first_token: Histogram::new_with_max(MAX_LATENCY_US, DIGITS)?,
            gap: Histogram::new_with_max(MAX_LATENCY_US, DIGITS)?,
            whole: 0,
            tokens: 0,
            failures: vec![],
        })
    }

    /// Adds another sample.
    pub fn add(&mut self, other: Self) -> Result<()> {
        self.first_token.add(&other.first_token)?;
        self.gap.add(&other.gap)?;
        self.whole += other.whole;
        self.tokens += other.tokens;
        self.failures.extend(other.failures);
        Ok(())
    }
}

/// One client that sends a stream after the other.
pub struct LoadClient {
    way: Way,
    http: HttpClient,
    engine: HttpEngine,
    index: usize,
    sent: usize,
    model: String,
    version: String,
}

impl LoadClient {
    /// Returns a client; clients of one phase share the connections of `http` and `engine`.
    pub fn new(way: Way, http: HttpClient, engine: HttpEngine, index: usize) -> Self {
        let model = crate::load::MODEL.to_string();
        let version = crate::load::MODEL_VERSION.to_string();
        Self { way, http, engine, index, sent: 0, model, version }
    }

    /// Sends streams of this length until a point in time.
    ///
    /// The first one starts after `delay`, so that not all clients connect at once.
    pub async fn run(mut self, length: u32, delay: Duration, until: Instant) -> Result<LoadSample> {
        tokio::time::sleep(delay).await;
        let mut sample = LoadSample::new()?;
        while Instant::now() < until {
            let prompt = format!("client {} stream {} length:{length}", self.index, self.sent);
            self.sent += 1;
            let streaming = async {
                match self.way.clone() {
                    Way::Daemon { entry, token, service } => {
                        self.through(&entry, &token, &service, &prompt, &mut sample).await
                    }
                    Way::Direct { groups } => self.direct(&groups, &prompt, &mut sample).await,
                }
            };
            match streaming.await {
                Ok(()) => sample.whole += 1,
                Err(e) => {
                    sample.failures.push(format!("{e:#}"));
                    tokio::time::sleep(Duration::from_millis(10)).await;
                }
            }
        }
        Ok(sample)
    }

    async fn through(
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
        let mut check = self.check(prompt);
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
                    check.take(event.offset, &event.tokens, sample)?;
                }
                "end" => {
                    let event: EndEvent = serde_json::from_str(&event.data)?;
                    check.end(event.length)?;
                    // Reads the end of the body, so that the connection can be used again.
                    while reader.next().await?.is_some() {}
                    return Ok(());
                }
                other => bail!("event {other}: {}", event.data),
            }
        }
        bail!("the stream ended early")
    }

    async fn direct(
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
        let mut check = self.check(prompt);
        let mut records = self.engine.generate(&first.address, &req).await?;
        while let Some(record) = records.next().await {
            match record? {
                StreamRecord::Accepted(_) => {}
                StreamRecord::Tokens(record) => {
                    check.take(record.offset, &record.tokens, sample)?
                }
                StreamRecord::End(record) => return check.end(record.length),
            }
        }
        bail!("the stream ended early")
    }

    fn check(&self, prompt: &str) -> StreamCheck {
        let answer = ModelOutput::new(&self.model, &self.version, None, prompt, 100_000);
        StreamCheck { answer, next: 0, began: Instant::now(), last: None }
    }
}

/// Checks each token of a stream and notes its times.
struct StreamCheck {
    answer: ModelOutput,
    next: u32,
    began: Instant,
    last: Option<Instant>,
}

impl StreamCheck {
    fn take(&mut self, offset: u32, tokens: &[String], sample: &mut LoadSample) -> Result<()> {
        let now = Instant::now();
        match self.last {
            None => sample.first_token.saturating_record(micros(now - self.began)),
            Some(last) => sample.gap.saturating_record(micros(now - last)),
        }
        self.last = Some(now);
        if offset != self.next {
            bail!("tokens at {offset} after {}", self.next);
        }
        for token in tokens {
            if *token != self.answer.token(self.next) {
                bail!("token {} is wrong", self.next);
            }
            self.next += 1;
        }
        sample.tokens += tokens.len() as u64;
        Ok(())
    }

    fn end(&self, length: u32) -> Result<()> {
        if length != self.answer.length || self.next != length {
            bail!("{} tokens came, {length} were told, {} expected", self.next, self.answer.length);
        }
        Ok(())
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
