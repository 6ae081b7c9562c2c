//! Callers of the serving soak and the record of their requests.

use guavaladder_platform_testutils::Call;
use guavaladder_platform_testutils::CallerConnection;
use guavaladder_platform_testutils::FakePlatform;
use guavaladder_platform_testutils::event_ids;
use http::Method;
use http::Response;
use rand::RngExt;
use rand::rngs::StdRng;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use tokio::time::Instant;
use tokio::time::sleep;

/// Time between two requests of a caller that waits.
const REQUEST_PERIOD: Duration = Duration::from_millis(40);
/// Time between two reads of a caller that reads slowly.
const SLOW_READ_INTERVAL: Duration = Duration::from_millis(20);
/// Size of the body that a caller sends which reads slowly, in bytes.
const SLOW_BODY_BYTES: usize = 200_000;
/// First part of the prompts of all callers.
const COMMON_PART: u64 = 0xc0ff_ee00;
/// Number of second parts of prompts.
const SESSIONS: u64 = 20;
/// Paths of the requests of callers with the services of their routes.
pub const KINDS: [(Method, &str, &str); 3] = [
    (Method::POST, "/draft/", "drafting"),
    (Method::POST, "/book/", "orders"),
    (Method::GET, "/look/", "orders"),
];
/// Path of streams.
pub const STREAM: &str = KINDS[0].1;
/// Path of requests that may run only once.
pub const ONCE: &str = KINDS[1].1;

/// What a caller got.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// A successful response.
    Answered,
    /// 503.
    Refused,
    /// 503 since replicas crashed under the request.
    RefusedAsCrashing,
    /// Another failure.
    Failed,
    /// The connection ended, or the caller gave up, without a complete response.
    Cut,
}

/// Why a request is sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Purpose {
    /// Traffic without a prompt of several parts.
    Plain,
    /// Traffic whose prompts share the first part with the requests that crash replicas.
    Sound,
    /// Crashes replicas, as a whole.
    Crashing,
    /// Traffic whose caller leaves while it is under way.
    Impatient,
    /// Crashes replicas by a part of its prompt; the id of the part.
    CrashingPart(String),
}

impl Purpose {
    /// Returns whether the request crashes no replica.
    pub fn is_harmless(&self) -> bool {
        matches!(self, Self::Plain | Self::Sound)
    }
}

/// A request that was sent and its outcome.
#[derive(Debug, Clone)]
pub struct RequestRecord {
    /// Id of the request.
    pub id: String,
    /// Path without its last segment.
    pub kind: &'static str,
    /// Whole path.
    pub path: String,
    /// Service of the route.
    pub service: &'static str,
    /// Number of the daemon.
    pub node: usize,
    /// Why it is sent.
    pub purpose: Purpose,
    /// When it was sent.
    pub sent: Instant,
    /// When the response was complete or the connection ended.
    pub ended: Instant,
    /// What the caller got.
    pub outcome: Outcome,
    /// Whether the request was refused while no replica took requests freely.
    pub is_unservable: bool,
}

/// Requests and violations of a run in progress; clones share them.
#[derive(Debug, Clone, Default)]
pub struct Recorder(Arc<Mutex<Recorded>>);

/// Requests and violations so far.
#[derive(Debug, Default)]
pub struct Recorded {
    /// Requests whose outcome is known.
    pub requests: Vec<RequestRecord>,
    /// Violations that callers saw.
    pub violations: Vec<String>,
    /// Number of connections that could not be opened.
    pub unconnected: usize,
}

impl Recorder {
    /// Locks the record.
    pub fn lock(&self) -> MutexGuard<'_, Recorded> {
        self.0.lock().expect("the lock of the record is not poisoned")
    }

    /// Sends a request on a connection, and records and returns its outcome.
    pub async fn exchange(
        &self,
        request: &Request,
        node: usize,
        connection: &mut CallerConnection,
        fake_platform: &FakePlatform,
    ) -> Outcome {
        let sent = Instant::now();
        let response = connection.send(&request.call).await;
        let (outcome, violation) = judge(request, response.as_ref(), fake_platform);
        self.lock().violations.extend(violation);
        self.record(request, node, sent, outcome, fake_platform);
        outcome
    }

    /// Records the outcome of a request that ends now.
    pub fn record(
        &self,
        request: &Request,
        node: usize,
        sent: Instant,
        outcome: Outcome,
        fake_platform: &FakePlatform,
    ) {
        let (_, kind, service) = KINDS[request.kind];
        let is_unservable = outcome == Outcome::Refused && !fake_platform.has_free_replica(service);
        self.lock().requests.push(RequestRecord {
            id: request.call.id.clone(),
            kind,
            path: request.path.clone(),
            service,
            node,
            purpose: request.purpose.clone(),
            sent,
            ended: Instant::now(),
            outcome,
            is_unservable,
        });
    }
}

/// A request to be sent.
#[derive(Debug)]
pub struct Request {
    call: Call,
    kind: usize,
    path: String,
    purpose: Purpose,
}

impl Request {
    /// Creates a request of a kind with the given last segment of its path.
    pub fn new(kind: usize, name: &str, purpose: Purpose) -> Self {
        let (method, prefix, _) = KINDS[kind].clone();
        let path = format!("{prefix}{name}");
        let call = Call::new(method, &path);
        Self { call, kind, path, purpose }
    }

    /// Adds a prompt that shares its first part with others.
    pub fn with_second_part(self, part: &str) -> Self {
        let last = part_id(rand::random());
        Self { call: self.call.with_parts(&[&part_id(COMMON_PART), part, &last]), ..self }
    }

    fn with_body(self, body: &str) -> Self {
        Self { call: self.call.with_body(body), ..self }
    }
}

/// Returns the id of a part of a prompt.
pub fn part_id(number: u64) -> String {
    format!("{number:032x}")
}

/// Checks a response: a successful stream must contain all events in order, and a refused request that
/// is not a stream must not have been executed.
fn judge(
    request: &Request,
    response: Option<&Response<bytes::Bytes>>,
    fake_platform: &FakePlatform,
) -> (Outcome, Option<String>) {
    let (id, is_stream) = (&request.call.id, KINDS[request.kind].1 == STREAM);
    let Some(response) = response else { return (Outcome::Cut, None) };
    match response.status().as_u16() {
        200 if is_stream => {
            let ids = event_ids(response);
            let is_complete = ids == (1..=fake_platform.events).collect::<Vec<u64>>();
            (Outcome::Answered, (!is_complete).then(|| format!("{id}: events {ids:?}")))
        }
        200 => (Outcome::Answered, None),
        503 => {
            let has_run = fake_platform.execution_count(id) > 0 && !is_stream;
            let violation = has_run.then(|| format!("{id}: refused, but executed"));
            let is_crashing = response.body().starts_with(b"replicas crashed");
            (if is_crashing { Outcome::RefusedAsCrashing } else { Outcome::Refused }, violation)
        }
        _ => (Outcome::Failed, None),
    }
}

/// How a caller behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pace {
    /// Waits between its requests.
    Steady,
    /// Sends the next request as soon as it has a successful response.
    Eager,
    /// Sends large bodies and reads the responses slowly.
    SlowReader,
}

/// A caller that sends one request after the other on a connection that it keeps until it ends.
pub struct Caller {
    /// Source of all choices.
    pub rng: StdRng,
    /// How it behaves.
    pub pace: Pace,
    /// Instances.
    pub fake_platform: FakePlatform,
    /// Addresses of the daemons.
    pub addresses: Vec<SocketAddr>,
    /// Record of the requests.
    pub recorder: Recorder,
    /// When it stops.
    pub end: Instant,
}

impl Caller {
    /// Sends requests until the end.
    pub async fn run(mut self) {
        let mut kept: Option<(usize, CallerConnection)> = None;
        let (mut number, mut last) = (0, Outcome::Answered);
        while Instant::now() < self.end {
            if self.pace != Pace::Eager || last != Outcome::Answered {
                sleep(REQUEST_PERIOD).await;
            }
            number += 1;
            let request = self.next_request(number);
            let (node, mut connection) = match kept.take().filter(|(_, c)| !c.is_closed()) {
                Some(kept) => kept,
                None => {
                    let node = self.rng.random_range(0..self.addresses.len());
                    let Some(connection) = self.connect(node).await else {
                        self.recorder.lock().unconnected += 1;
                        sleep(REQUEST_PERIOD).await;
                        continue;
                    };
                    (node, connection)
                }
            };
            let recorder = self.recorder.clone();
            last = recorder.exchange(&request, node, &mut connection, &self.fake_platform).await;
            if last != Outcome::Cut {
                kept = Some((node, connection));
            }
        }
    }

    async fn connect(&self, node: usize) -> Option<CallerConnection> {
        let address = self.addresses[node];
        match self.pace {
            Pace::SlowReader => CallerConnection::open_slow(address, SLOW_READ_INTERVAL).await,
            Pace::Steady | Pace::Eager => CallerConnection::open(address).await,
        }
    }

    /// Every other request differs from all others; half of the streams have prompts of several parts.
    fn next_request(&mut self, number: u64) -> Request {
        let kind = self.rng.random_range(0..KINDS.len());
        let name = match number % 2 {
            0 => "x".to_string(),
            _ => format!("{:x}", self.rng.random::<u64>()),
        };
        let has_parts = KINDS[kind].1 == STREAM && self.rng.random_bool(0.5);
        if has_parts {
            let session = part_id(self.rng.random_range(0..SESSIONS));
            return Request::new(kind, &name, Purpose::Sound).with_second_part(&session);
        }
        let request = Request::new(kind, &name, Purpose::Plain);
        match KINDS[kind].1 == ONCE && self.pace == Pace::SlowReader {
            true => request.with_body(&"b".repeat(SLOW_BODY_BYTES)),
            false => request,
        }
    }
}
