//! Tests of a daemon that is stopped while callers of generations and plain calls keep their connections
//! open until it is gone.

use crate::process::Daemon;
use crate::process::TestDir;
use guavaladder_bench::daemon_process::OPERATOR_TOKEN;
use guavaladder_bench::fake_fleet::DomainPlan;
use guavaladder_bench::fake_fleet::FakeFleet;
use guavaladder_bench::fake_fleet::PlainPlan;
use guavaladder_bench::fake_fleet::REGION;
use guavaladder_bench::fake_server::FakeServer;
use guavaladder_bench::fake_server::HandlerResult;
use guavaladder_bench::fake_server::json_response;
use guavaladder_bench::operator::Operator;
use guavaladder_lib::generated::engine::PlainReply;
use guavaladder_lib::generated::platform::InstanceInfo;
use guavaladder_lib::generated::platform::InstanceRole;
use guavaladder_lib::generated::platform::InstanceState;
use guavaladder_lib::token_hash::hash_token;
use guavaladder_testutils::engine_options::EngineOptions;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Value of `shutdown_ms` of the daemons, after which they are killed.
const SHUTDOWN: Duration = Duration::from_secs(4);
/// Time from SIGTERM for which a daemon accepts requests.
const ACCEPT_TIME: Duration = Duration::from_secs(1);
/// Timeout for conditions that a test waits for.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);
/// Receive buffer of a caller that reads slowly, in bytes.
const SMALL_BUFFER: u32 = 4096;
/// Number of tokens of a response that is larger than the buffers of a connection; each has 7 bytes.
const LONG_LENGTH: u32 = 900_000;
/// Length of a call's response that is larger than the buffers of a connection, in bytes.
const LARGE_BODY: usize = 6_000_000;
/// Length of a body that is larger than what a node reads while it writes a response, in bytes.
const NEXT_BODY: usize = 500_000;
/// Length of a body above the limit of a node, in bytes.
const TOO_LARGE_BODY: usize = 9_000_000;
/// Number of requests at once that is larger than the capacity of an upstream.
const MANY_REQUESTS: usize = 150;
const TOKEN: &str = "token-of-caller";
static NEXT_STAND: AtomicUsize = AtomicUsize::new(0);

/// A daemon with one engine, one plain instance, and a plain instance with large responses.
struct Stand {
    fleet: FakeFleet,
    daemon: Daemon,
    callers: SocketAddr,
    _large: FakeServer,
    _dir: TestDir,
}

impl Stand {
    async fn new(test: &str) -> Self {
        let mut fleet = FakeFleet::start().await.unwrap();
        let mut options = EngineOptions::default()
            .with_load_time(Duration::ZERO)
            .with_token_times(Duration::ZERO, Duration::ZERO);
        options.tokens_per_record = 1000;
        let (domain, kind) = ("d".to_string(), "fenced".to_string());
        let data_centre = "dc-1".to_string();
        let options = options.clone();
        let plan = DomainPlan { domain, data_centre, kind, instances: 1, options };
        fleet.add_domain(&plan).await.unwrap();
        let (service, options) = ("filing".to_string(), plan.options);
        let data_centre = plan.data_centre;
        let plan = PlainPlan { service, data_centre, instances: 1, options };
        fleet.add_plain(&plan).await.unwrap();
        let large = add_large_service(&fleet).await;
        let number = NEXT_STAND.fetch_add(1, Ordering::Relaxed);
        let dir = TestDir::new(&format!("{test}-{number}"));
        let mut settings = dir.settings();
        settings["region"] = json!(REGION);
        settings["platform"] = json!(fleet.platform_address());
        settings["bootstrap_operator"] = json!(hash_token(OPERATOR_TOKEN));
        settings["shutdown_ms"] = json!(SHUTDOWN.as_millis());
        let text = |name: &str| settings[name].as_str().unwrap().to_string();
        fleet.add_entry("entry-1", "dc-1", &text("peer_listen"));
        let daemon = Daemon::start(&dir.write("settings.json", &settings.to_string()));
        let operator = Operator::new(vec![text("operator_listen")], "test");
        let accepted = operator.apply(0, &config(), "test").await.unwrap();
        operator.wait_in_force(accepted.version, 1, WAIT_TIMEOUT).await.unwrap();
        let callers = text("caller_listen").parse().unwrap();
        let stand = Self { fleet, daemon, callers, _large: large, _dir: dir };
        stand.wait_until_serving().await;
        stand
    }

    async fn wait_until_serving(&self) {
        let start = Instant::now();
        for request in [generate("length:8", false), call("filing", ""), call("large", "")] {
            loop {
                let received = send(self.callers, &request).await;
                if received.status() == "200" {
                    break;
                }
                assert!(start.elapsed() < WAIT_TIMEOUT, "not serving: {received:?}");
                sleep(Duration::from_millis(20)).await;
            }
        }
    }

    /// Suspends the upstreams with short responses.
    fn pause_upstreams(&self) {
        for instance in ["d-i0", "filing-dc-1-0"] {
            self.fleet.fake_instances.pause(&self.fleet.address_of(instance).unwrap());
        }
    }

    /// Kills the daemon at the end of the shutdown time, as the platform does.
    async fn wait_for_exit(&mut self, stopped_at: Instant) {
        while self.daemon.is_running() {
            if stopped_at.elapsed() >= SHUTDOWN {
                self.daemon.signal("KILL");
            }
            sleep(Duration::from_millis(5)).await;
        }
    }
}

/// Starts a plain service whose responses are larger than the buffers of a connection.
async fn add_large_service(fleet: &FakeFleet) -> FakeServer {
    let server = FakeServer::start(Arc::new(|req| Box::pin(answer(req)))).await.unwrap();
    let info = InstanceInfo {
        instance: "large-0".to_string(),
        address: server.address().to_string(),
        role: InstanceRole::Plain,
        domain: String::new(),
        data_centre: "dc-1".to_string(),
        region: REGION.to_string(),
        accelerators: 0,
        kind: "plain".to_string(),
        service: Some("large".to_string()),
        state: InstanceState::Live,
    };
    fleet.fake_instances.add_instance(info, EngineOptions::default());
    server
}

async fn answer<B: Send>(req: http::Request<B>) -> HandlerResult {
    match req.uri().path() {
        "/v1/takes_work" => json_response(200, &true),
        _ => json_response(200, &PlainReply { status: 200, body: "x".repeat(LARGE_BODY) }),
    }
}

fn config() -> Value {
    json!({
        "defaults": {"queue_wait_ms": 50_000, "silence_ms": 5000, "first_token_ms": 30_000},
        "services": {
            "draft": {"kind": "engine", "model": "m", "version": "1", "replicas": 1,
                "members_per_replica": 1},
            "filing": {"kind": "plain"},
            "large": {"kind": "plain"},
        },
        "customers": {"c": {"burst": 1000, "tokens": [hash_token(TOKEN)]}},
        "upstream_kinds": {
            "fenced": {"checks_fencing": true, "order_timeout_ms": 1000}, "plain": {},
        },
    })
}

fn request(path: &str, headers: &str, body: &str) -> Vec<u8> {
    format!(
        "POST {path} HTTP/1.1\r\nhost: n\r\nauthorization: Bearer {TOKEN}\r\n{headers}\
         content-length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

fn generate(prompt: &str, is_stream: bool) -> Vec<u8> {
    let body = json!({
        "service": "draft", "prompt": prompt, "max_tokens": LONG_LENGTH, "stream": is_stream,
    });
    request("/v1/generate", "", &body.to_string())
}

fn call(service: &str, headers: &str) -> Vec<u8> {
    request(&format!("/v1/call/{service}/x"), headers, "{}")
}

fn new_key() -> String {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
    format!("{unix}-abcdefgh{:x}", unix)
}

/// What a caller received until its connection ended.
#[derive(Debug)]
struct Received {
    head: String,
    /// The last bytes of the body, at most 300.
    tail: String,
    is_complete: bool,
    /// Number of bytes received, and how the connection ended.
    end: String,
}

impl Received {
    fn assert_complete(&self) {
        assert!(self.is_complete, "{} after {:?}: {:?}", self.end, self.head, self.tail);
    }

    fn status(&self) -> &str {
        self.head.get(9..12).unwrap_or("none")
    }
}

/// Reads until the connection ends.
async fn receive(mut stream: TcpStream) -> Received {
    let mut bytes = vec![];
    let result = stream.read_to_end(&mut bytes).await;
    let end = format!("{} bytes, {result:?}", bytes.len());
    let Some(head_len) = bytes.windows(4).position(|w| w == b"\r\n\r\n") else {
        return Received { head: String::new(), tail: String::new(), is_complete: false, end };
    };
    let head = String::from_utf8_lossy(&bytes[..head_len]).to_lowercase();
    let body = &bytes[head_len + 4..];
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    let is_complete = match length {
        Some(length) => body.len() >= length.parse::<usize>().unwrap(),
        None => body.ends_with(b"0\r\n\r\n"),
    };
    let tail = String::from_utf8_lossy(&body[body.len().saturating_sub(300)..]).into_owned();
    Received { head, tail, is_complete, end }
}

/// Sends a request on a connection of its own and reads the response.
async fn send(to: SocketAddr, request: &[u8]) -> Received {
    let mut stream = TcpStream::connect(to).await.unwrap();
    let text = String::from_utf8_lossy(request);
    let request = text.replacen("host: n\r\n", "host: n\r\nconnection: close\r\n", 1);
    stream.write_all(request.as_bytes()).await.unwrap();
    receive(stream).await
}

async fn connect_with_small_buffer(to: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(SMALL_BUFFER).unwrap();
    socket.connect(to).await.unwrap()
}

/// The node has produced the whole response and has no other work before the caller reads it.
#[rstest]
#[case::reply(&generate(&format!("length:{LONG_LENGTH}"), false))]
#[case::call(&call("large", ""))]
#[tokio::test]
async fn caller_that_reads_slowly_gets_whole_reply(#[case] request: &[u8]) {
    let mut stand = Stand::new("node-slow").await;
    let mut stream = connect_with_small_buffer(stand.callers).await;
    stream.write_all(request).await.unwrap();
    stream.readable().await.unwrap();
    let stopped_at = Instant::now();
    stand.daemon.signal("TERM");
    sleep(SHUTDOWN * 5 / 8).await;
    let received = receive(stream).await;
    assert_eq!(received.status(), "200");
    received.assert_complete();
    stand.wait_for_exit(stopped_at).await;
    assert!(stopped_at.elapsed() < SHUTDOWN, "{:?}", stopped_at.elapsed());
}

#[tokio::test]
async fn caller_that_reads_slowly_gets_end_of_its_stream() {
    let mut stand = Stand::new("node-slow-stream").await;
    let mut stream = connect_with_small_buffer(stand.callers).await;
    stream.write_all(&generate(&format!("length:{LONG_LENGTH}"), true)).await.unwrap();
    stream.readable().await.unwrap();
    let stopped_at = Instant::now();
    stand.daemon.signal("TERM");
    sleep(SHUTDOWN * 5 / 8).await;
    let received = receive(stream).await;
    received.assert_complete();
    let has_end = ["event: end", "event: moved"].iter().any(|end| received.tail.contains(end));
    assert!(has_end, "{:?}", received.tail);
    stand.wait_for_exit(stopped_at).await;
    assert!(stopped_at.elapsed() < SHUTDOWN, "{:?}", stopped_at.elapsed());
}

/// A caller that never reads must not keep the process beyond its shutdown time.
#[tokio::test]
async fn caller_that_does_not_read_does_not_delay_exit_beyond_shutdown_time() {
    let mut stand = Stand::new("node-unread").await;
    let mut stream = connect_with_small_buffer(stand.callers).await;
    stream.write_all(&call("large", "")).await.unwrap();
    stream.readable().await.unwrap();
    let stopped_at = Instant::now();
    stand.daemon.signal("TERM");
    stand.wait_for_exit(stopped_at).await;
    assert!(stopped_at.elapsed() < SHUTDOWN, "{:?}", stopped_at.elapsed());
}

/// The shutdown ends before the requests' deadlines, and the upstreams do not respond.
#[rstest]
#[case::reply(&generate("x", false), r#""ran":"unknown""#)]
#[case::stream(&generate("x", true), "event: moved")]
#[case::call(&call("filing", ""), r#""ran":"unknown""#)]
#[case::keyed_call(
    &call("filing", &format!("idempotency-key: {}\r\n", new_key())),
    r#""ran":"unknown""#
)]
#[tokio::test]
async fn requests_at_silent_upstreams_are_answered_before_node_exits(
    #[case] request: &[u8],
    #[case] outcome: &str,
    #[values(false, true)] is_late: bool,
) {
    let mut stand = Stand::new("node-silent").await;
    stand.pause_upstreams();
    let mut stream = TcpStream::connect(stand.callers).await.unwrap();
    if !is_late {
        stream.write_all(request).await.unwrap();
        sleep(Duration::from_millis(200)).await;
    }
    let stopped_at = Instant::now();
    stand.daemon.signal("TERM");
    if is_late {
        sleep(ACCEPT_TIME / 2).await;
        stream.write_all(request).await.unwrap();
    }
    let received = receive(stream).await;
    println!("after {:?}: {received:?}", stopped_at.elapsed());
    received.assert_complete();
    assert!(received.tail.contains(outcome), "{received:?}");
    stand.wait_for_exit(stopped_at).await;
    assert!(stopped_at.elapsed() < SHUTDOWN, "{:?}", stopped_at.elapsed());
}

/// More requests than the upstreams take: some are sent, and the others wait for a place.
#[tokio::test]
async fn requests_that_wait_for_a_replica_are_answered_before_node_exits() {
    let mut stand = Stand::new("node-queue").await;
    stand.pause_upstreams();
    let mut callers = JoinSet::new();
    for _ in 0..MANY_REQUESTS {
        let mut stream = TcpStream::connect(stand.callers).await.unwrap();
        stream.write_all(&generate("x", false)).await.unwrap();
        callers.spawn(receive(stream));
    }
    sleep(Duration::from_millis(200)).await;
    let stopped_at = Instant::now();
    stand.daemon.signal("TERM");
    stand.wait_for_exit(stopped_at).await;
    let received = callers.join_all().await;
    let incomplete = received.iter().filter(|received| !received.is_complete).count();
    assert_eq!(incomplete, 0, "of {}: {:?}", received.len(), received[0]);
    let not_run = received.iter().filter(|r| r.tail.contains(r#""ran":"not_run""#)).count();
    assert!((1..received.len()).contains(&not_run), "{not_run} of {} not run", received.len());
    assert!(stopped_at.elapsed() < SHUTDOWN, "{:?}", stopped_at.elapsed());
}

/// The process is late, as on a busy machine: the requests have arrived when the node closes its
/// connections, and the process has not read them.
#[tokio::test]
async fn requests_that_arrived_before_connections_close_are_answered() {
    let mut stand = Stand::new("node-late").await;
    let mut streams = vec![];
    for _ in 0..6 {
        let mut stream = TcpStream::connect(stand.callers).await.unwrap();
        stream.write_all(&call("filing", "")).await.unwrap();
        let mut buf = [0; 4096];
        assert!(stream.read(&mut buf).await.unwrap() > 0);
        streams.push(stream);
    }
    let stopped_at = Instant::now();
    stand.daemon.signal("TERM");
    sleep(ACCEPT_TIME / 2).await;
    stand.daemon.signal("STOP");
    for _ in 0..6 {
        streams.push(TcpStream::connect(stand.callers).await.unwrap());
    }
    for stream in &mut streams {
        stream.write_all(&call("filing", "")).await.unwrap();
    }
    sleep(ACCEPT_TIME).await;
    stand.daemon.signal("CONT");
    let mut callers = JoinSet::new();
    for stream in streams {
        callers.spawn(receive(stream));
    }
    stand.wait_for_exit(stopped_at).await;
    let received = callers.join_all().await;
    let incomplete = received.iter().filter(|r| !r.is_complete).count();
    assert_eq!(incomplete, 0, "of {}: {received:?}", received.len());
}

#[tokio::test]
async fn stopping_node_asks_callers_to_leave_their_connections() {
    let mut stand = Stand::new("node-close").await;
    let mut stream = TcpStream::connect(stand.callers).await.unwrap();
    let stopped_at = Instant::now();
    stand.daemon.signal("TERM");
    sleep(ACCEPT_TIME / 2).await;
    stream.write_all(&call("filing", "")).await.unwrap();
    let received = receive(stream).await;
    assert_eq!((received.status(), received.is_complete), ("200", true), "{received:?}");
    assert!(received.head.contains("connection: close"), "{received:?}");
    assert!(stopped_at.elapsed() < ACCEPT_TIME, "{:?}", stopped_at.elapsed());
    stand.wait_for_exit(stopped_at).await;
}

/// Bytes that the node has not read when it closes a connection reset it, and the caller loses the rest of
/// the response.
#[tokio::test]
async fn request_behind_last_answer_does_not_reset_connection() {
    let mut stand = Stand::new("node-reset").await;
    let mut stream = connect_with_small_buffer(stand.callers).await;
    stream.write_all(&call("large", "")).await.unwrap();
    stream.readable().await.unwrap();
    let stopped_at = Instant::now();
    stand.daemon.signal("TERM");
    sleep(ACCEPT_TIME / 2).await;
    let next = request("/v1/call/large/x", "", &"b".repeat(NEXT_BODY));
    stream.write_all(&next[..NEXT_BODY / 2]).await.unwrap();
    sleep(ACCEPT_TIME).await;
    let received = receive(stream).await;
    assert_eq!(received.status(), "200");
    received.assert_complete();
    stand.wait_for_exit(stopped_at).await;
}

/// The node answers without reading the rest of the body.
#[tokio::test]
async fn answer_to_body_that_is_too_large_reaches_caller() {
    let stand = Stand::new("node-large").await;
    let mut stream = TcpStream::connect(stand.callers).await.unwrap();
    let body = "a".repeat(TOO_LARGE_BODY);
    stream.write_all(&request("/v1/call/filing/x", "", &body)).await.unwrap();
    let received = receive(stream).await;
    assert_eq!((received.status(), received.is_complete), ("413", true), "{received:?}");
}

/// A call that was sent to its upstream before the node stopped is not run again under its key.
#[tokio::test]
async fn keyed_call_that_a_stop_ends_runs_at_most_once() {
    let mut stand = Stand::new("node-keyed").await;
    stand.pause_upstreams();
    let key = new_key();
    let keyed = call("filing", &format!("idempotency-key: {key}\r\n"));
    let mut stream = TcpStream::connect(stand.callers).await.unwrap();
    stream.write_all(&keyed).await.unwrap();
    sleep(Duration::from_millis(200)).await;
    let stopped_at = Instant::now();
    stand.daemon.signal("TERM");
    sleep(ACCEPT_TIME / 2).await;
    let copy = tokio::spawn({
        let (to, keyed) = (stand.callers, keyed.clone());
        async move { send(to, &keyed).await }
    });
    let received = receive(stream).await;
    received.assert_complete();
    assert!(received.tail.contains(r#""ran":"unknown""#), "{received:?}");
    copy.await.unwrap().assert_complete();
    stand.fleet.fake_instances.resume(&stand.fleet.address_of("filing-dc-1-0").unwrap());
    stand.wait_for_exit(stopped_at).await;
    assert!(stand.fleet.fake_instances.execution_count(&key) <= 1);
}
