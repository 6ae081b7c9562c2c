//! Tests of the operators' API over a real listener.

use guavaladder_lib::clock::Clock;
use guavaladder_lib::cx::Cx;
use guavaladder_lib::generated::config::ConfigRecord;
use guavaladder_lib::generated::events::Event;
use guavaladder_lib::generated::operator::ConfigDiffReply;
use guavaladder_lib::generated::operator::OperatorError;
use guavaladder_lib::generated::operator::StatusReply;
use guavaladder_lib::generated::operator::WhyReply;
use guavaladder_lib::generated::settings::DaemonSettings;
use guavaladder_lib::http_server::HttpListener;
use guavaladder_lib::http_server::HttpServer;
use guavaladder_lib::metrics::Metrics;
use guavaladder_lib::object_view::ViewedObject;
use guavaladder_lib::operator_api::OperatorApi;
use guavaladder_lib::token_hash::hash_token;
use rstest::rstest;
use serde::de::DeserializeOwned;
use serde_json::json;
use std::net::SocketAddr;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// A node with only an operators' API.
struct World {
    cx: Cx,
    address: SocketAddr,
    _server: HttpServer,
}

/// An answer to a raw request.
struct RawReply {
    status: u16,
    body: String,
}

impl RawReply {
    fn json<T: DeserializeOwned>(&self) -> T {
        serde_json::from_str(&self.body).unwrap_or_else(|e| panic!("{e} in {}", self.body))
    }
}

impl World {
    async fn new() -> Self {
        let settings: DaemonSettings = serde_json::from_value(json!({
            "node": "entry-1", "data_centre": "dc-1", "region": "agreste",
            "platform": "127.0.0.1:1", "fleet_key_file": "/dev/null",
            "caller_listen": "127.0.0.1:0", "operator_listen": "127.0.0.1:0",
            "peer_listen": "127.0.0.1:0", "bootstrap_operator": hash_token("first"),
        }))
        .unwrap();
        let cx = Cx::new(settings, Clock::new(), Metrics::new());
        let listener = HttpListener::bind("operator_listen", "127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let server = listener.serve(OperatorApi::new(cx.clone()).router(), 64);
        Self { cx, address, _server: server }
    }

    /// Puts a configuration with one service into force.
    fn set_config(&self, operators: &[&str]) {
        let operators: Vec<String> = operators.iter().map(|token| hash_token(token)).collect();
        let record = json!({
            "version": 3, "change_id": "c", "author": "a", "reason": "r", "accepted_unix_ms": 0,
            "config": {
                "defaults": {}, "operators": operators,
                "services": {"drafting": {"kind": "engine", "replicas": 2}},
            },
        });
        serde_json::from_value::<ConfigRecord>(record.clone()).unwrap();
        let value = Some(record.to_string().into());
        let key = "config/current".to_string();
        self.cx.view.apply(ViewedObject { key, version: 1, value });
    }

    async fn send(&self, bytes: &[u8]) -> RawReply {
        let mut stream = TcpStream::connect(self.address).await.unwrap();
        // The listener may refuse and close before it has read everything.
        let _ = stream.write_all(bytes).await;
        read_reply(&mut stream).await
    }

    async fn request(&self, method: &str, path: &str, token: &str, body: &str) -> RawReply {
        let text = format!(
            "{method} /operator/v1/{path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\
             Authorization: Bearer {token}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        self.send(text.as_bytes()).await
    }

    async fn get(&self, path: &str) -> RawReply {
        self.request("GET", path, "first", "").await
    }
}

async fn read_reply(stream: &mut TcpStream) -> RawReply {
    let mut bytes = vec![];
    let _ = stream.read_to_end(&mut bytes).await;
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let status = head.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0);
    RawReply { status, body: body.to_string() }
}

#[rstest]
#[case::status("status", "wrong")]
#[case::empty_token("status", "")]
#[case::unknown_path("no/such/path", "wrong")]
#[tokio::test]
async fn request_unauthorized(#[case] path: &str, #[case] token: &str) {
    let world = World::new().await;
    let reply = world.request("GET", path, token, "").await;
    assert_eq!(reply.status, 401);
    assert_eq!(reply.json::<OperatorError>().code, "unauthorized");
    assert!(!reply.body.contains("entry-1"));
}

#[tokio::test]
async fn request_without_header() {
    let world = World::new().await;
    let reply =
        world.send(b"GET /elsewhere HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").await;
    assert_eq!(reply.status, 401);
}

#[tokio::test]
async fn request_bootstrap_token_ends_with_named_operators() {
    let world = World::new().await;
    assert_eq!(world.get("status").await.status, 200);
    world.set_config(&["second"]);
    assert_eq!(world.get("status").await.status, 401);
    assert_eq!(world.request("GET", "status", "second", "").await.status, 200);
}

#[tokio::test]
async fn request_bootstrap_token_holds_without_named_operators() {
    let world = World::new().await;
    world.set_config(&[]);
    assert_eq!(world.get("status").await.status, 200);
}

#[rstest]
#[case::path("GET", "nothing", 404, "unknown_operation")]
#[case::method("DELETE", "status", 404, "unknown_operation")]
#[case::why_without_id("GET", "why", 400, "bad_request")]
#[case::diff_without_body("POST", "config/diff", 400, "bad_request")]
#[tokio::test]
async fn request_wrong(
    #[case] method: &str,
    #[case] path: &str,
    #[case] status: u16,
    #[case] code: &str,
) {
    let world = World::new().await;
    let reply = world.request(method, path, "first", "").await;
    let error: OperatorError = reply.json();
    assert_eq!((reply.status, error.code.as_str()), (status, code));
    assert!(!error.hint.is_empty());
}

#[tokio::test]
async fn status_shows_configuration_and_services() {
    let world = World::new().await;
    let before: StatusReply = world.get("status").await.json();
    assert_eq!((before.config_version, before.services.len()), (None, 0));
    world.set_config(&[]);
    let after: StatusReply = world.get("status").await.json();
    assert_eq!(after.config_version, Some(3));
    assert_eq!((after.services[0].service.as_str(), after.services[0].wanted), ("drafting", 2));
}

#[tokio::test]
async fn config_diff_names_paths() {
    let world = World::new().await;
    world.set_config(&[]);
    let body = json!({
        "defaults": {"crash_limit": 3}, "services": {"drafting": {"kind": "engine", "replicas": 2}},
    });
    let reply = world.request("POST", "config/diff", "first", &body.to_string()).await;
    let reply: ConfigDiffReply = reply.json();
    let paths: Vec<&str> = reply.differences.iter().map(|d| d.path.as_str()).collect();
    assert_eq!((reply.version, paths), (3, vec!["/defaults/crash_limit"]));
}

#[tokio::test]
async fn why_returns_events_about_the_id() {
    let world = World::new().await;
    for node in ["entry-1", "entry-2"] {
        world.cx.record(Event::Started { node: node.to_string(), version: "1".to_string() });
    }
    let reply: WhyReply = world.get("why?id=entry-2").await.json();
    let texts: Vec<&str> = reply.events.iter().map(|event| event.text.as_str()).collect();
    assert_eq!(texts, ["GL0001 started node=entry-2 version=1"]);
}

#[rstest]
#[case::not_http(b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n".as_slice())]
#[case::invalid_utf8_header(b"GET / HTTP/1.1\r\nAuthorization: Bearer \xff\xfe\r\nConnection: close\r\n\r\n".as_slice())]
#[case::invalid_utf8_path(b"GET /\xff\xfe HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".as_slice())]
#[case::two_lengths(b"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab".as_slice())]
#[tokio::test]
async fn hostile_input_is_refused(#[case] bytes: &[u8]) {
    let world = World::new().await;
    let reply = world.send(bytes).await;
    assert!((400..500).contains(&reply.status), "status {}", reply.status);
    assert_eq!(world.get("status").await.status, 200);
}

#[rstest]
#[case::long_header(format!("GET / HTTP/1.1\r\nX-Long: {}\r\n\r\n", "x".repeat(100_000)))]
#[case::many_headers(format!("GET / HTTP/1.1\r\n{}\r\n", "X-Many: 1\r\n".repeat(1000)))]
#[tokio::test]
async fn oversized_head_is_refused(#[case] text: String) {
    let world = World::new().await;
    let reply = world.send(text.as_bytes()).await;
    assert!(reply.status == 431 || reply.status == 0, "status {}", reply.status);
    assert_eq!(world.get("status").await.status, 200);
}

#[tokio::test]
async fn oversized_body_is_refused() {
    let world = World::new().await;
    let body = " ".repeat(1_000_001);
    let reply = world.request("POST", "config/diff", "first", &body).await;
    assert_eq!(reply.status, 413);
    assert_eq!(reply.json::<OperatorError>().code, "too_large");
}

#[tokio::test]
async fn stalled_clients_leave_others_undisturbed() {
    let world = World::new().await;
    let mut stalled = vec![];
    for bytes in [
        b"GET /operator/v1/sta".as_slice(),
        b"POST /operator/v1/config/diff HTTP/1.1\r\nAuthorization: Bearer first\r\nContent-Length: 50\r\n\r\n{",
        b"",
    ] {
        let mut stream = TcpStream::connect(world.address).await.unwrap();
        stream.write_all(bytes).await.unwrap();
        stalled.push(stream);
    }
    assert_eq!(world.get("status").await.status, 200);
    // The second one closes its sending half amid the body, and gets an answer.
    let mut half_closed = stalled.remove(1);
    half_closed.shutdown().await.unwrap();
    let reply = read_reply(&mut half_closed).await;
    assert!(reply.status == 400 || reply.status == 0, "status {}", reply.status);
    assert_eq!(world.get("status").await.status, 200);
}

#[tokio::test]
async fn bind_busy_port_names_setting_and_hint() {
    let held = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = held.local_addr().unwrap().to_string();
    let e = HttpListener::bind("operator_listen", &address).await.unwrap_err();
    let text = e.to_string();
    assert!(text.starts_with(&format!("operator_listen: {address} is in use; hint:")), "{text}");
}
