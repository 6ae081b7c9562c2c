//! Callers that keep their connections open until the daemon closes them, and what became of their requests.

use guavaladder_platform_testutils::Arrival;
use guavaladder_platform_testutils::ArrivalEnd;
use guavaladder_platform_testutils::FakePlatform;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::sleep;

/// Deadline of the requests, and timeout of their routes.
pub const DEADLINE: Duration = Duration::from_secs(8);
/// Time for which a request that was not passed on may be held until it counts: the platform's `lossSlackMs`.
const LOSS_SLACK: Duration = Duration::from_millis(200);
/// Time from SIGTERM within which a request was sent if its replica may still work at the end.
const SEND_SLACK: Duration = Duration::from_secs(3);
/// Time after which a caller sends again after a refusal.
const RETRY_DELAY: Duration = Duration::from_millis(50);

static NEXT_REQUEST: AtomicU64 = AtomicU64::new(1);

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// A complete response with this status.
    Complete(u16),
    /// The connection ended after as many bytes of a response.
    Cut(usize),
}

/// A request and how it ended.
#[derive(Debug, Clone)]
pub struct SentRequest {
    /// Id of the request.
    pub id: String,
    /// Path of the request.
    pub path: String,
    /// Whether it may run once only.
    pub runs_once: bool,
    /// When its last byte was sent.
    pub sent: Instant,
    /// When the response was complete or the connection ended.
    pub ended: Instant,
    /// How it ended.
    pub outcome: Outcome,
}

/// What a caller sends: method, path and body.
pub type Message = (&'static str, String, Vec<u8>);

/// Returns the bytes of a request with an id.
pub fn encode((method, path, body): &Message, id: &str) -> Vec<u8> {
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: a.example\r\nx-request-id: {id}\r\n\
         x-deadline-ms: {}\r\nx-model: m0\r\napi-key: key-1\r\ncontent-length: {}\r\n\r\n",
        DEADLINE.as_millis(),
        body.len()
    );
    [head.as_bytes(), body].concat()
}

/// Returns an id that no other request has.
pub fn next_id() -> String {
    format!("c{:015x}", NEXT_REQUEST.fetch_add(1, Ordering::Relaxed))
}

/// Sends one request after the other, on a connection that is kept until the daemon closes it, until `until` or
/// no connection is accepted any more.
pub async fn call_until(
    to: SocketAddr,
    until: Instant,
    mut next: impl FnMut() -> Message,
) -> Vec<SentRequest> {
    let mut requests = vec![];
    let mut kept: Option<TcpStream> = None;
    while Instant::now() < until {
        let mut stream = match kept.take() {
            Some(stream) => stream,
            None => match TcpStream::connect(to).await {
                Ok(stream) => stream,
                Err(_) => return requests,
            },
        };
        let (request, is_kept) = exchange(&mut stream, &next()).await;
        let is_refused = request.outcome == Outcome::Complete(503);
        requests.push(request);
        kept = is_kept.then_some(stream);
        if is_refused {
            sleep(RETRY_DELAY).await;
        }
    }
    requests
}

/// Sends a request and reads its response; returns whether the connection stays open.
pub async fn exchange(stream: &mut TcpStream, message: &Message) -> (SentRequest, bool) {
    let id = next_id();
    // A connection that the daemon has closed ends below.
    let _ = stream.write_all(&encode(message, &id)).await;
    receive(stream, id, message, Instant::now()).await
}

/// Reads the response to a request that was sent.
pub async fn receive(
    stream: &mut (impl AsyncRead + Unpin),
    id: String,
    message: &Message,
    sent: Instant,
) -> (SentRequest, bool) {
    let mut bytes = vec![];
    let mut buf = [0; 4096];
    let outcome = loop {
        if let Some(status) = complete_status(&bytes) {
            break Outcome::Complete(status);
        }
        match stream.read(&mut buf).await {
            Ok(len) if len > 0 => bytes.extend_from_slice(&buf[..len]),
            _ => break Outcome::Cut(bytes.len()),
        }
    };
    let is_kept = outcome != Outcome::Cut(bytes.len()) && !closes(&bytes);
    let (method, path, _) = message;
    let runs_once = *method == "POST" && path.starts_with("/book/");
    let request =
        SentRequest { id, path: path.clone(), runs_once, sent, ended: Instant::now(), outcome };
    (request, is_kept)
}

/// Returns the status of a response, if it is complete.
fn complete_status(bytes: &[u8]) -> Option<u16> {
    let head_len = bytes.windows(4).position(|w| w == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&bytes[..head_len]).to_lowercase();
    let body = &bytes[head_len + 4..];
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    let is_complete = match length {
        Some(length) => body.len() >= length.parse::<usize>().ok()?,
        None => body.ends_with(b"0\r\n\r\n"),
    };
    is_complete.then(|| head.get(9..12).and_then(|status| status.parse().ok()))?
}

fn closes(bytes: &[u8]) -> bool {
    let text = String::from_utf8_lossy(bytes).to_lowercase();
    let head = text.split("\r\n\r\n").next().unwrap_or_default();
    head.lines().any(|line| line == "connection: close")
}

/// Requests by outcome, and those whose outcome breaks a rule.
#[derive(Debug, Default)]
pub struct Verdict {
    /// Number of requests by outcome.
    pub counts: BTreeMap<&'static str, usize>,
    /// Requests that have no complete answer and no excuse.
    pub lost: Vec<String>,
    /// Requests that were refused as not run, and have run.
    pub refused_after_run: Vec<String>,
}

/// Judges requests to a daemon that was asked to stop at `stopped` and may take `grace`.
pub fn judge(
    fake_platform: &FakePlatform,
    requests: &[SentRequest],
    stopped: Instant,
    grace: Duration,
) -> Verdict {
    let mut arrivals: BTreeMap<String, Vec<Arrival>> = BTreeMap::new();
    for arrival in fake_platform.arrivals() {
        arrivals.entry(arrival.request.clone()).or_default().push(arrival);
    }
    let mut verdict = Verdict::default();
    for request in requests {
        let arrivals = arrivals.get(&request.id).map_or(&[][..], Vec::as_slice);
        let name = match request.outcome {
            Outcome::Complete(200) => "answered",
            Outcome::Complete(503) => "refused",
            Outcome::Complete(504) => "timed out",
            Outcome::Complete(_) => "other status",
            Outcome::Cut(_) => cut_name(request, arrivals, stopped, grace),
        };
        *verdict.counts.entry("all").or_default() += 1;
        *verdict.counts.entry(name).or_default() += 1;
        if name == "lost" {
            verdict.lost.push(describe(request, arrivals, stopped));
        }
        let has_run = fake_platform.execution_count(&request.id) > 0;
        if request.runs_once && has_run && request.outcome == Outcome::Complete(503) {
            verdict.refused_after_run.push(describe(request, arrivals, stopped));
        }
    }
    verdict
}

/// Names why a request has no complete answer, by the platform's rule on planned work.
fn cut_name(
    request: &SentRequest,
    arrivals: &[Arrival],
    stopped: Instant,
    grace: Duration,
) -> &'static str {
    let is_lost = |a: &Arrival| {
        let end = a.end.map(|(_, end)| end);
        matches!(
            end,
            Some(ArrivalEnd::Rejected | ArrivalEnd::BrokenOff | ArrivalEnd::AbandonedAfterLoss)
        )
    };
    // A later attempt had begun its response before it broke off, so the earlier one was ended.
    let is_replaced = |a: &Arrival| {
        let Some((ended, ArrivalEnd::Abandoned)) = a.end else { return false };
        let has_begun = |other: &Arrival| {
            other.at > a.at && other.begun.is_some_and(|begun| begun <= ended) && is_lost(other)
        };
        arrivals.iter().any(has_begun)
    };
    let is_excused = |a: &Arrival| is_lost(a) || is_replaced(a);
    let was_at_work =
        |a: &Arrival| a.end.is_none_or(|(at, _)| at >= stopped + grace.mul_f64(5.0 / 6.0));
    if request.ended - request.sent >= DEADLINE {
        return "cut, deadline";
    }
    if arrivals.is_empty() && request.ended - request.sent <= LOSS_SLACK {
        return "cut, not read";
    }
    if !arrivals.is_empty() && arrivals.iter().all(is_excused) {
        return "cut, broken off";
    }
    if request.sent <= stopped + SEND_SLACK && arrivals.iter().any(was_at_work) {
        return "cut, at work";
    }
    "lost"
}

fn describe(request: &SentRequest, arrivals: &[Arrival], stopped: Instant) -> String {
    let time = |at: Instant| match at.checked_duration_since(stopped) {
        Some(after) => format!("+{:.3}", after.as_secs_f64()),
        None => format!("-{:.3}", (stopped - at).as_secs_f64()),
    };
    let at_replicas: Vec<String> = arrivals
        .iter()
        .map(|a| {
            format!("{} at {} {:?}", a.instance, time(a.at), a.end.map(|(at, e)| (time(at), e)))
        })
        .collect();
    format!(
        "{} {} sent {} ended {} {:?}; {at_replicas:?}",
        request.id,
        request.path,
        time(request.sent),
        time(request.ended),
        request.outcome
    )
}
