//! Tests of answers with neither a length nor chunks, which end with their connection.

use crate::fleet::Fleet;
use guavaladder_platform_testutils::Call;
use guavaladder_platform_testutils::config;
use guavaladder_platform_testutils::event_ids;
use http::Method;
use rstest::rstest;
use serde_json::json;
use socket2::SockRef;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Number of requests within which one is sent to the replica that breaks off.
const MAX_REQUESTS: usize = 100;
/// Time after which a connection is reset, so that the bytes before have been read.
const RESET_DELAY: Duration = Duration::from_millis(50);

/// How a replica ends its answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Close,
    Reset,
    /// The connection stays open for a while.
    Late,
}

/// Adds a service `unframed` with one replica, which answers with the version, the headers and the body
/// that are given; returns the number of requests that it has received.
async fn fleet_with(
    version: &'static str,
    body: &'static str,
    end: End,
) -> (Fleet, Arc<AtomicUsize>) {
    let mut fleet = Fleet::new(0).await;
    let mut config = config(6);
    let routes = [("feed", "streaming"), ("unframed", "non_idempotent")];
    for (name, kind) in routes {
        let route = json!({
            "name": name, "host": "a.example", "pathPrefix": format!("/{name}/"), "kind": kind,
            "timeoutMs": 3000, "targetLatencyMs": 300, "priority": 1, "service": "unframed",
            "maxAttempts": 2, "public": false, "resumable": kind == "streaming",
        });
        config["routes"].as_array_mut().expect("routes").push(route);
    }
    let service = json!({"name": "unframed", "healthPath": "/health", "maxConnections": 99});
    config["services"].as_array_mut().expect("services").push(service);
    fleet.store.put("config", "main", config);
    let requests = spawn_replica(&fleet, "u-00", version, body, end).await;
    fleet.add_first_node("unframed", 1).await;
    (fleet, requests)
}

async fn spawn_replica(
    fleet: &Fleet,
    id: &str,
    version: &'static str,
    body: &'static str,
    end: End,
) -> Arc<AtomicUsize> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let entry = json!({
        "service": "unframed", "address": listener.local_addr().expect("an address").to_string(),
        "zone": "east", "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
        "sequence": 1, "born": 5,
    });
    fleet.fake_platform.store.put("servers", id, entry);
    let received = Arc::new(AtomicUsize::new(0));
    let requests = received.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer(stream, version, body, end, requests.clone()));
        }
    });
    received
}

/// Answers one request; a stream continues after the last event that the caller has.
async fn answer(
    mut stream: TcpStream,
    version: &str,
    body: &str,
    end: End,
    requests: Arc<AtomicUsize>,
) {
    let mut buf = vec![0; 4096];
    let len = stream.read(&mut buf).await.expect("a request");
    // A connection without a request checks whether the replica is alive.
    if len == 0 {
        return;
    }
    requests.fetch_add(1, Ordering::Relaxed);
    let head = String::from_utf8_lossy(&buf[..len]).to_ascii_lowercase();
    let value = |name: &str| head.lines().find_map(|line| line.strip_prefix(name));
    let id = value("x-request-id: ").expect("an id");
    let body = match value("last-event-id: ") {
        Some(last) => body
            .split_once(&format!("id: {last}\n"))
            .map_or("", |(_, rest)| rest.split_once("\n\n").map_or("", |(_, rest)| rest)),
        None => body,
    };
    let answer =
        format!("{version} 200 OK\r\nX-Request-Id: {id}\r\nX-Response-Stamp: s\r\n\r\n{body}");
    stream.write_all(answer.as_bytes()).await.expect("an answer sent");
    match end {
        End::Close => {}
        End::Reset => {
            sleep(RESET_DELAY).await;
            SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("an option set");
        }
        End::Late => sleep(Duration::from_millis(300)).await,
    }
}

#[rstest]
#[case::http_1_1("HTTP/1.1", End::Close)]
#[case::http_1_0("HTTP/1.0", End::Close)]
#[case::http_1_1_late("HTTP/1.1", End::Late)]
#[case::http_1_0_late("HTTP/1.0", End::Late)]
#[tokio::test]
async fn answer_that_ends_with_its_connection_is_complete_and_the_connection_not_reused(
    #[case] version: &'static str,
    #[case] end: End,
) {
    let (fleet, requests) = fleet_with(version, "a body", end).await;
    for _ in 0..3 {
        let response = Call::new(Method::POST, "/unframed/x").send(fleet.callers(0)).await;
        let response = response.expect("a complete response");
        assert_eq!((response.status().as_u16(), &response.body()[..]), (200, &b"a body"[..]));
    }
    assert_eq!(requests.load(Ordering::Relaxed), 3);
}

#[rstest]
#[case::http_1_1("HTTP/1.1", "a body")]
#[case::http_1_0("HTTP/1.0", "a body")]
#[case::without_body("HTTP/1.1", "")]
#[tokio::test]
async fn answer_whose_connection_is_reset_is_no_success(
    #[case] version: &'static str,
    #[case] body: &'static str,
) {
    let (fleet, requests) = fleet_with(version, body, End::Reset).await;
    assert_eq!(Call::new(Method::POST, "/unframed/x").status(fleet.callers(0)).await, 502);
    assert_eq!(requests.load(Ordering::Relaxed), 1);
}

#[rstest]
#[case::line_ends("\n\n")]
#[case::comments(": x\n\n: x\n\n")]
#[tokio::test]
async fn stream_that_ends_with_its_connection_without_an_event_is_no_success(
    #[case] body: &'static str,
) {
    let (fleet, _) = fleet_with("HTTP/1.1", body, End::Close).await;
    assert_eq!(Call::new(Method::POST, "/feed/x").status(fleet.callers(0)).await, 502);
}

const EVENTS: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";
/// `EVENTS`, broken off within each part of the last event.
const IN_FIELD: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda";
const IN_ID: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid";
const BEFORE_BLANK_LINE: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n";

#[rstest]
#[tokio::test]
async fn stream_that_ends_with_its_connection_is_complete(
    #[values("HTTP/1.1", "HTTP/1.0")] version: &'static str,
    #[values(End::Close, End::Late)] end: End,
) {
    let (fleet, requests) = fleet_with(version, EVENTS, end).await;
    for _ in 0..3 {
        let response = Call::new(Method::POST, "/feed/x").send(fleet.callers(0)).await;
        assert_eq!(event_ids(&response.expect("a complete response")), [1, 2, 3]);
    }
    assert_eq!(requests.load(Ordering::Relaxed), 3);
}

#[rstest]
#[case::ends_in_field(IN_FIELD, End::Close)]
#[case::ends_in_id(IN_ID, End::Close)]
#[case::ends_before_blank_line(BEFORE_BLANK_LINE, End::Close)]
#[case::reset_in_field(IN_FIELD, End::Reset)]
#[case::reset_between_events("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", End::Reset)]
#[case::reset_after_last_event(EVENTS, End::Reset)]
#[tokio::test]
async fn stream_that_is_broken_off_is_resumed_or_incomplete(
    #[values("HTTP/1.1", "HTTP/1.0")] version: &'static str,
    #[case] body: &'static str,
    #[case] end: End,
) {
    let (fleet, _) = fleet_with(version, body, end).await;
    let response = Call::new(Method::POST, "/feed/x").send(fleet.callers(0)).await;
    assert!(response.is_none(), "the response looked complete: {response:?}");
    let (fleet, broken) = fleet_with(version, body, end).await;
    spawn_replica(&fleet, "u-01", version, EVENTS, End::Close).await;
    fleet.wait_for_replicas(0, "unframed", 2).await;
    // Which of the two replicas gets a request is random.
    for number in 1.. {
        let response = Call::new(Method::POST, "/feed/x").send(fleet.callers(0)).await;
        assert_eq!(response.expect("a complete response").body(), EVENTS.as_bytes());
        if number >= 10 && broken.load(Ordering::Relaxed) > 0 {
            break;
        }
        assert!(number < MAX_REQUESTS, "no stream was resumed");
    }
}
