//! One request of a caller while it is served, and the record of how it ended.

use crate::dialect::RequestHead;
use crate::fleet_config::ConfigVersion;
use crate::fleet_config::RouteKind;
use crate::key_hash::key_hash;
use crate::listeners::RunningRequest;
use crate::placement::Occupancy;
use crate::placement::Prospect;
use crate::replica_set::Replica;
use crate::serving_cx::ServingCx;
use bytes::Bytes;
use guavaladder_lib::generated::events::Event;
use http::HeaderMap;
use http::Method;
use http::Uri;
use std::time::Duration;
use tokio::time::Instant;

/// A request of a caller, read to its end and matched to its route.
#[derive(Debug)]
pub struct RequestTask {
    /// What the request says about itself.
    pub head: RequestHead,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers as they came.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Name of the route.
    pub route: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Service.
    pub service: String,
    /// Customer.
    pub customer: Option<String>,
    /// Rank; 0 is the most urgent.
    pub urgency: u8,
    /// Most replicas that it may be sent to.
    pub max_attempts: u32,
    /// Objective.
    pub target_latency: Duration,
    /// Version of the configuration that it was matched by.
    pub config_version: ConfigVersion,
    /// Whether the caller has waited for it before: its deadline is shorter than the route's time-out
    /// by more than the objective.
    pub was_refused: bool,
    /// When it came.
    pub received: Instant,
    /// When it must have its final answer.
    pub ends: Instant,
    /// Fingerprint of what it asks, alike whenever it comes again.
    pub fingerprint: u64,
}

impl RequestTask {
    /// Returns the time that is left.
    pub fn time_left(&self, now: Instant) -> Duration {
        self.ends.saturating_duration_since(now)
    }

    /// Returns what the answer can still be, after so many attempts.
    pub fn prospect(&self, attempts: usize) -> Prospect {
        match self.was_refused || attempts > 0 {
            true => Prospect::Late,
            false => Prospect::OnTime,
        }
    }

    /// Returns the deadline that a replica is told: what is left of the caller's and the route's.
    pub fn upstream_deadline(&self, now: Instant) -> Duration {
        self.time_left(now).max(Duration::from_millis(1))
    }
}

/// Returns the fingerprint of what a request asks.
pub fn fingerprint(method: &Method, uri: &Uri, key: Option<&str>, body: &[u8]) -> u64 {
    let mut text = Vec::with_capacity(body.len() + 128);
    for part in [method.as_str(), &uri.to_string(), key.unwrap_or_default()] {
        text.extend_from_slice(part.as_bytes());
        text.push(0);
    }
    text.extend_from_slice(body);
    key_hash(&text)
}

/// How a request ended, told to the log and the metrics once.
#[derive(Debug)]
pub struct RequestTrace {
    cx: ServingCx,
    request: String,
    route: String,
    config: ConfigVersion,
    received: Instant,
    /// Replica of the last attempt.
    pub replica: String,
    /// Attempts.
    pub attempts: u64,
    /// Requests at the replica when the last attempt began.
    pub ahead: u64,
    /// Events that were passed on.
    pub events: u64,
    /// Time to the first byte of the answer.
    pub first: Option<Duration>,
    is_ended: bool,
    /// Counts the request among those that a shutdown waits for.
    _running: RunningRequest,
}

impl RequestTrace {
    /// Returns the trace of a request that has just come.
    pub fn new(cx: &ServingCx, task: &RequestTask) -> Self {
        Self {
            cx: cx.clone(),
            request: task.head.id.clone(),
            route: task.route.clone(),
            config: task.config_version,
            received: task.received,
            replica: String::new(),
            attempts: 0,
            ahead: 0,
            events: 0,
            first: None,
            is_ended: false,
            _running: cx.running.enter(),
        }
    }

    /// Takes in that an attempt begins.
    pub fn attempt(&mut self, replica: &Replica) {
        let state = self.cx.loads.state(replica, Instant::now());
        self.attempts += 1;
        self.ahead = u64::from(state.requests());
        self.replica = replica.key.clone();
    }

    /// Takes in that the answer begins.
    pub fn begin(&mut self) {
        if self.first.is_none() {
            let took = self.received.elapsed();
            self.first = Some(took);
            self.cx.metrics.first_event(&self.route, took);
        }
    }

    /// Records that an attempt failed and the request goes on.
    pub fn moved(&self, service: &str, cause: &str, name: &'static str) {
        self.cx.metrics.moved(service, name);
        self.cx.log.record(Event::RequestMoved {
            request: self.request.clone(),
            replica: self.replica.clone(),
            attempt: self.attempts,
            cause: cause.to_string(),
            events: self.events,
            after: self.received.elapsed(),
        });
    }

    /// Records a whole answer.
    pub fn answered(&mut self, status: u16) {
        self.is_ended = true;
        let took = self.received.elapsed();
        self.cx.metrics.request(&self.route, if status < 400 { "answered" } else { "error" });
        self.cx.metrics.request_duration(&self.route, took);
        self.cx.log.record(Event::RequestAnswered {
            request: self.request.clone(),
            route: self.route.clone(),
            replica: self.replica.clone(),
            status: u64::from(status),
            attempts: self.attempts,
            ahead: self.ahead,
            first: self.first.unwrap_or(took),
            took,
            config: self.config,
        });
    }

    /// Records a refusal of a request that did not run.
    pub fn turned_away(
        &mut self,
        status: u16,
        reason: &str,
        retry_after: Duration,
        occupancy: Occupancy,
    ) {
        self.is_ended = true;
        self.cx.metrics.request(&self.route, "turned_away");
        self.cx.log.record(Event::RequestTurnedAway {
            request: self.request.clone(),
            route: self.route.clone(),
            status: u64::from(status),
            reason: reason.to_string(),
            retry_after,
            running: u64::from(occupancy.running),
            places: u64::from(occupancy.places),
            replicas: u64::from(occupancy.replicas),
            config: self.config,
        });
    }

    /// Records a request that was sent and got no whole answer.
    pub fn lost(&mut self, status: u16, cause: &str) {
        self.is_ended = true;
        self.cx.metrics.request(&self.route, "lost");
        self.cx.log.record(Event::RequestLost {
            request: self.request.clone(),
            route: self.route.clone(),
            replica: self.replica.clone(),
            status: u64::from(status),
            cause: cause.to_string(),
            events: self.events,
            attempts: self.attempts,
            took: self.received.elapsed(),
        });
    }

    /// Records that the caller left.
    pub fn abandoned(&mut self) {
        self.is_ended = true;
        self.cx.metrics.request(&self.route, "abandoned");
        self.cx.log.record(Event::RequestAbandoned {
            request: self.request.clone(),
            route: self.route.clone(),
            replica: self.replica.clone(),
            took: self.received.elapsed(),
        });
    }
}

impl Drop for RequestTrace {
    /// A request that ends without a word was dropped with its caller's connection.
    fn drop(&mut self) {
        if !self.is_ended {
            self.abandoned();
        }
    }
}
