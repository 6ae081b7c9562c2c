//! Tests of a daemon on the users' platform that is stopped while callers keep their connections open
//! until it is gone.

use crate::process::ServingDaemon;
use crate::process::TestDir;
use guavaladder_platform_testutils::Call;
use guavaladder_platform_testutils::FakePlatform;
use guavaladder_platform_testutils::FakeStore;
use guavaladder_platform_testutils::InstanceMode;
use guavaladder_platform_testutils::InstanceSpec;
use guavaladder_platform_testutils::StoreMode;
use guavaladder_platform_testutils::config;
use guavaladder_platform_testutils::spawn_instance;
use http::Method;
use rstest::rstest;
use serde_json::json;
use std::net::SocketAddr;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Time that the daemons have for a shutdown, after which the platform kills them.
const SHUTDOWN: Duration = Duration::from_secs(3);
/// Time from SIGTERM for which a daemon accepts requests: a third of the shutdown time.
const ACCEPT_TIME: Duration = Duration::from_secs(1);
/// Time for which a daemon on a busy machine runs at once.
const RUN_TIME: Duration = Duration::from_millis(25);
/// Timeout for conditions that a test waits for.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Receive buffer of a caller that reads slowly, in bytes.
const SMALL_BUFFER: u32 = 4096;
/// Length of a body that is larger than the buffers of a connection, in bytes.
const LARGE_BODY: usize = 3_000_000;

/// Length of a body that a node does not read while it writes a response, in bytes.
const NEXT_BODY: usize = 100_000;

/// Length of a body above the limit of a node, in bytes.
const TOO_LARGE_BODY: usize = 5_000_000;

/// A daemon with one open group and one plain instance.
struct Stand {
    fake_platform: FakePlatform,
    daemon: ServingDaemon,
    callers: SocketAddr,
    _dir: TestDir,
}

impl Stand {
    async fn new(test: &str, event_interval: Duration) -> Self {
        let store = FakeStore::start().await;
        let mut configuration = config(5);
        for route in configuration["routes"].as_array_mut().unwrap() {
            route["timeoutMs"] = json!(8000);
        }
        store.put("config", "main", configuration);
        let mut fake_platform = FakePlatform::new(store);
        fake_platform.event_interval = event_interval;
        let spec = |id: &str, service: &str, domain: Option<&str>| InstanceSpec {
            id: id.to_string(),
            service: service.to_string(),
            domain: domain.map(str::to_string),
            data_centre: "east".to_string(),
        };
        spawn_instance(&fake_platform, spec("i-00", "drafting", Some("d0"))).await;
        spawn_instance(&fake_platform, spec("i-01", "drafting", Some("d0"))).await;
        spawn_instance(&fake_platform, spec("p-00", "orders", None)).await;
        let dir = TestDir::new(test);
        let mut settings = dir.serving_settings(&fake_platform.store.address.to_string());
        settings["bounds"]["shutdown_s"] = json!(SHUTDOWN.as_secs());
        let callers = settings["listen"]["callers"].as_str().unwrap().parse().unwrap();
        let file = dir.write("settings.json", &settings.to_string());
        let log = std::fs::File::create(dir.write("log", "")).unwrap();
        let daemon = ServingDaemon::start(&file, Stdio::from(log));
        let stand = Self { fake_platform, daemon, callers, _dir: dir };
        stand.wait_until_serving().await;
        stand
    }

    async fn wait_until_serving(&self) {
        let start = Instant::now();
        for (method, path) in [(Method::GET, "/look/a"), (Method::POST, "/draft/a")] {
            while Call::new(method.clone(), path).status(self.callers).await != 200 {
                assert!(start.elapsed() < WAIT_TIMEOUT, "the node did not start serving");
                sleep(Duration::from_millis(20)).await;
            }
        }
    }

    fn ignore_requests(&self) {
        for id in ["i-00", "i-01", "p-00"] {
            self.fake_platform.set_mode(id, InstanceMode::IgnoresRequests);
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

    /// Like `wait_for_exit`, on a busy machine: the daemon runs for a quarter of the time.
    async fn wait_for_slow_exit(&mut self, stopped_at: Instant) {
        while self.daemon.is_running() && stopped_at.elapsed() < SHUTDOWN {
            self.daemon.signal("STOP");
            sleep(3 * RUN_TIME).await;
            self.daemon.signal("CONT");
            sleep(RUN_TIME).await;
        }
        self.wait_for_exit(stopped_at).await;
    }
}

/// Returns the bytes of a request.
fn request(method: &str, path: &str, body: &[u8]) -> Vec<u8> {
    let id = Call::new(Method::GET, path).id;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: a.example\r\nx-request-id: {id}\r\n\
         x-deadline-ms: 8000\r\nx-model: m0\r\napi-key: key-1\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

/// What a caller received until its connection ended.
#[derive(Debug)]
struct Received {
    head: String,
    is_complete: bool,
    /// Number of bytes received, and how the connection ended.
    end: String,
}

impl Received {
    fn assert_complete(&self, path: &str) {
        assert!(self.is_complete, "{path}: {} after {:?}", self.end, self.head);
    }

    fn status(&self) -> &str {
        self.head.get(9..12).unwrap_or("none")
    }

    fn has_header(&self, line: &str) -> bool {
        self.head.lines().any(|l| l.eq_ignore_ascii_case(line))
    }
}

/// Reads until the connection ends.
async fn receive(mut stream: TcpStream) -> Received {
    let mut bytes = vec![];
    let result = stream.read_to_end(&mut bytes).await;
    let end = format!("{} bytes, {result:?}", bytes.len());
    let Some(head_len) = bytes.windows(4).position(|w| w == b"\r\n\r\n") else {
        return Received { head: String::new(), is_complete: false, end };
    };
    let head = String::from_utf8_lossy(&bytes[..head_len]).to_lowercase();
    let body = &bytes[head_len + 4..];
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    let is_complete = match length {
        Some(length) => body.len() >= length.parse::<usize>().unwrap(),
        None => body.ends_with(b"0\r\n\r\n"),
    };
    Received { head, is_complete, end }
}

/// Reads the response to a first request on a connection that is kept.
async fn send_and_keep(to: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(to).await.unwrap();
    stream.write_all(&request("GET", "/look/a", b"")).await.unwrap();
    let mut buf = [0; 4096];
    assert!(stream.read(&mut buf).await.unwrap() > 0);
    stream
}

/// The shutdown ends before the requests' deadlines, and the replicas never begin them.
#[rstest]
#[case::idle(false)]
#[case::busy(true)]
#[tokio::test]
async fn requests_at_silent_replicas_are_answered_before_node_exits(#[case] is_busy: bool) {
    let name = format!("stop-silent-{is_busy}");
    let mut stand = Stand::new(&name, Duration::from_millis(15)).await;
    stand.ignore_requests();
    let mut callers = JoinSet::new();
    let mut send = async |method: &'static str, path: &'static str| {
        let mut stream = TcpStream::connect(stand.callers).await.unwrap();
        stream.write_all(&request(method, path, b"")).await.unwrap();
        callers.spawn(async move { (path, receive(stream).await) });
    };
    send("POST", "/draft/before").await;
    send("POST", "/book/before").await;
    sleep(Duration::from_millis(200)).await;
    let stopped_at = Instant::now();
    stand.daemon.signal("TERM");
    sleep(ACCEPT_TIME / 2).await;
    send("POST", "/draft/after").await;
    send("POST", "/book/after").await;
    match is_busy {
        true => stand.wait_for_slow_exit(stopped_at).await,
        false => stand.wait_for_exit(stopped_at).await,
    }
    for (path, received) in callers.join_all().await {
        received.assert_complete(path);
        assert_eq!(received.status(), "504", "{path}: {received:?}");
    }
    assert!(stopped_at.elapsed() < SHUTDOWN, "{:?}", stopped_at.elapsed());
}

#[tokio::test]
async fn caller_that_reads_slowly_gets_whole_answer() {
    let mut stand = Stand::new("stop-slow", Duration::from_millis(15)).await;
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(SMALL_BUFFER).unwrap();
    let mut stream = socket.connect(stand.callers).await.unwrap();
    stream.write_all(&request("POST", "/book/a", &vec![b'a'; LARGE_BODY])).await.unwrap();
    sleep(Duration::from_millis(300)).await;
    let stopped_at = Instant::now();
    stand.daemon.signal("TERM");
    sleep(ACCEPT_TIME + Duration::from_millis(500)).await;
    receive(stream).await.assert_complete("/book/a");
    stand.wait_for_exit(stopped_at).await;
}

/// The process is late, as on a busy machine: the requests have arrived when the time for accepting
/// requests ends, and the process has not read them.
#[tokio::test]
async fn requests_that_arrived_before_connections_close_are_answered() {
    let mut stand = Stand::new("stop-late", Duration::from_millis(15)).await;
    let mut streams = vec![];
    for _ in 0..6 {
        streams.push(send_and_keep(stand.callers).await);
    }
    let stopped_at = Instant::now();
    stand.daemon.signal("TERM");
    sleep(ACCEPT_TIME / 2).await;
    stand.daemon.signal("STOP");
    for _ in 0..6 {
        streams.push(TcpStream::connect(stand.callers).await.unwrap());
    }
    for stream in &mut streams {
        stream.write_all(&request("GET", "/look/b", b"")).await.unwrap();
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
    let mut stand = Stand::new("stop-close", Duration::from_millis(15)).await;
    let mut stream = send_and_keep(stand.callers).await;
    let stopped_at = Instant::now();
    stand.daemon.signal("TERM");
    sleep(ACCEPT_TIME / 2).await;
    stream.write_all(&request("GET", "/look/b", b"")).await.unwrap();
    let received = receive(stream).await;
    assert_eq!((received.status(), received.is_complete), ("200", true), "{received:?}");
    assert!(received.has_header("connection: close"), "{received:?}");
    assert!(stopped_at.elapsed() < ACCEPT_TIME, "{:?}", stopped_at.elapsed());
    stand.wait_for_exit(stopped_at).await;
}

/// The node answers without reading the body.
#[tokio::test]
async fn answer_to_body_that_is_too_large_reaches_caller() {
    let stand = Stand::new("stop-large", Duration::from_millis(15)).await;
    let mut stream = TcpStream::connect(stand.callers).await.unwrap();
    stream.write_all(&request("POST", "/book/a", &vec![b'a'; TOO_LARGE_BODY])).await.unwrap();
    let received = receive(stream).await;
    assert_eq!((received.status(), received.is_complete), ("413", true), "{received:?}");
}

/// A stream keeps the node running, while another caller reads a large answer slowly and has sent a
/// second request behind the first one.
#[tokio::test]
async fn request_behind_last_answer_does_not_reset_connection() {
    let mut stand = Stand::new("stop-reset", Duration::from_millis(100)).await;
    let stopped_at = Instant::now();
    stand.daemon.signal("TERM");
    let mut running = TcpStream::connect(stand.callers).await.unwrap();
    running.write_all(&request("POST", "/draft/a", b"")).await.unwrap();
    let running = tokio::spawn(receive(running));
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(SMALL_BUFFER).unwrap();
    let mut stream = socket.connect(stand.callers).await.unwrap();
    stream.write_all(&request("POST", "/book/a", &vec![b'a'; LARGE_BODY])).await.unwrap();
    sleep(ACCEPT_TIME / 2).await;
    stream.write_all(&request("POST", "/book/b", &vec![b'b'; NEXT_BODY])).await.unwrap();
    sleep(ACCEPT_TIME).await;
    receive(stream).await.assert_complete("/book/a");
    running.await.unwrap().assert_complete("/draft/a");
    stand.wait_for_exit(stopped_at).await;
}

#[tokio::test]
async fn second_sigterm_does_not_end_running_requests() {
    let mut stand = Stand::new("stop-twice", Duration::from_millis(60)).await;
    let mut stream = TcpStream::connect(stand.callers).await.unwrap();
    stream.write_all(&request("POST", "/draft/a", b"")).await.unwrap();
    let running = tokio::spawn(receive(stream));
    sleep(Duration::from_millis(100)).await;
    let stopped_at = Instant::now();
    for _ in 0..3 {
        stand.daemon.signal("TERM");
        sleep(Duration::from_millis(200)).await;
    }
    running.await.unwrap().assert_complete("/draft/a");
    stand.wait_for_exit(stopped_at).await;
    assert!(stopped_at.elapsed() < SHUTDOWN, "{:?}", stopped_at.elapsed());
}

/// The store accepts connections and does not respond, so the node can't delete its object.
#[tokio::test]
async fn node_exits_in_time_when_store_does_not_respond() {
    let mut stand = Stand::new("stop-store", Duration::from_millis(60)).await;
    stand.fake_platform.store.set_mode(StoreMode::Unresponsive);
    let mut stream = TcpStream::connect(stand.callers).await.unwrap();
    stream.write_all(&request("POST", "/draft/a", b"")).await.unwrap();
    let running = tokio::spawn(receive(stream));
    let stopped_at = Instant::now();
    stand.daemon.signal("TERM");
    running.await.unwrap().assert_complete("/draft/a");
    stand.wait_for_exit(stopped_at).await;
    assert!(stopped_at.elapsed() < SHUTDOWN, "{:?}", stopped_at.elapsed());
}
