//! Tests of the operator API over a real TCP listener.

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

/// A node that only serves the operator API.
struct TestNode {
    cx: Cx,
    address: SocketAddr,
    _server: HttpServer,
}

/// Response to a request sent as raw bytes.
struct RawResponse {
    status: u16,
    body: String,
}

impl RawResponse {
    fn json<T: DeserializeOwned>(&self) -> T {
        serde_json::from_str(&self.body).unwrap_or_else(|e| panic!("{e} in {}", self.body))
    }
}

impl TestNode {
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

    /// Sets a configuration with one service and the given operator tokens as the one in force.
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

    async fn send(&self, bytes: &[u8]) -> RawResponse {
        let mut stream = TcpStream::connect(self.address).await.unwrap();
        // The listener may respond and close the connection before it has read the complete request.
        let _ = stream.write_all(bytes).await;
        read_response(&mut stream).await
    }

    async fn request(&self, method: &str, path: &str, token: &str, body: &str) -> RawResponse {
        let text = format!(
            "{method} /operator/v1/{path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\
             Authorization: Bearer {token}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        self.send(text.as_bytes()).await
    }

    async fn get(&self, path: &str) -> RawResponse {
        self.request("GET", path, "first", "").await
    }
}

async fn read_response(stream: &mut TcpStream) -> RawResponse {
    let mut bytes = vec![];
    let _ = stream.read_to_end(&mut bytes).await;
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let status = head.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0);
    RawResponse { status, body: body.to_string() }
}

#[rstest]
#[case::status("status", "wrong")]
#[case::empty_token("status", "")]
#[case::unknown_path("no/such/path", "wrong")]
#[tokio::test]
async fn request_with_invalid_token_is_unauthorized(#[case] path: &str, #[case] token: &str) {
    let test_node = TestNode::new().await;
    let response = test_node.request("GET", path, token, "").await;
    assert_eq!(response.status, 401);
    assert_eq!(response.json::<OperatorError>().code, "unauthorized");
    assert!(!response.body.contains("entry-1"));
}

#[tokio::test]
async fn request_without_token_is_unauthorized() {
    let test_node = TestNode::new().await;
    let response =
        test_node.send(b"GET /elsewhere HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").await;
    assert_eq!(response.status, 401);
}

#[tokio::test]
async fn bootstrap_token_is_refused_once_operators_are_configured() {
    let test_node = TestNode::new().await;
    assert_eq!(test_node.get("status").await.status, 200);
    test_node.set_config(&["second"]);
    assert_eq!(test_node.get("status").await.status, 401);
    assert_eq!(test_node.request("GET", "status", "second", "").await.status, 200);
}

#[tokio::test]
async fn bootstrap_token_is_accepted_without_configured_operators() {
    let test_node = TestNode::new().await;
    test_node.set_config(&[]);
    assert_eq!(test_node.get("status").await.status, 200);
}

#[rstest]
#[case::path("GET", "nothing", 404, "unknown_operation")]
#[case::method("DELETE", "status", 404, "unknown_operation")]
#[case::why_without_id("GET", "why", 400, "bad_request")]
#[case::diff_without_body("POST", "config/diff", 400, "bad_request")]
#[tokio::test]
async fn invalid_request_returns_code_and_hint(
    #[case] method: &str,
    #[case] path: &str,
    #[case] status: u16,
    #[case] code: &str,
) {
    let test_node = TestNode::new().await;
    let response = test_node.request(method, path, "first", "").await;
    let error: OperatorError = response.json();
    assert_eq!((response.status, error.code.as_str()), (status, code));
    assert!(!error.hint.is_empty());
}

#[tokio::test]
async fn status_shows_configuration_and_services() {
    let test_node = TestNode::new().await;
    let before: StatusReply = test_node.get("status").await.json();
    assert_eq!((before.config_version, before.services.len()), (None, 0));
    test_node.set_config(&[]);
    let after: StatusReply = test_node.get("status").await.json();
    assert_eq!(after.config_version, Some(3));
    assert_eq!((after.services[0].service.as_str(), after.services[0].wanted), ("drafting", 2));
}

#[tokio::test]
async fn config_diff_names_paths() {
    let test_node = TestNode::new().await;
    test_node.set_config(&[]);
    let body = json!({
        "defaults": {"crash_limit": 3}, "services": {"drafting": {"kind": "engine", "replicas": 2}},
    });
    let response = test_node.request("POST", "config/diff", "first", &body.to_string()).await;
    let response: ConfigDiffReply = response.json();
    let paths: Vec<&str> = response.differences.iter().map(|d| d.path.as_str()).collect();
    assert_eq!((response.version, paths), (3, vec!["/defaults/crash_limit"]));
}

#[tokio::test]
async fn why_returns_events_about_the_id() {
    let test_node = TestNode::new().await;
    for node in ["entry-1", "entry-2"] {
        test_node.cx.record(Event::Started { node: node.to_string(), version: "1".to_string() });
    }
    let response: WhyReply = test_node.get("why?id=entry-2").await.json();
    let texts: Vec<&str> = response.events.iter().map(|event| event.text.as_str()).collect();
    assert_eq!(texts, ["GL0001 started node=entry-2 version=1"]);
}

#[rstest]
#[case::not_http(b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n".as_slice())]
#[case::invalid_utf8_header(b"GET / HTTP/1.1\r\nAuthorization: Bearer \xff\xfe\r\nConnection: close\r\n\r\n".as_slice())]
#[case::invalid_utf8_path(b"GET /\xff\xfe HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".as_slice())]
#[case::two_lengths(b"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab".as_slice())]
#[tokio::test]
async fn malformed_http_is_refused(#[case] bytes: &[u8]) {
    let test_node = TestNode::new().await;
    let response = test_node.send(bytes).await;
    assert!((400..500).contains(&response.status), "status {}", response.status);
    assert_eq!(test_node.get("status").await.status, 200);
}

#[rstest]
#[case::long_header(format!("GET / HTTP/1.1\r\nX-Long: {}\r\n\r\n", "x".repeat(100_000)))]
#[case::many_headers(format!("GET / HTTP/1.1\r\n{}\r\n", "X-Many: 1\r\n".repeat(1000)))]
#[tokio::test]
async fn oversized_head_is_refused(#[case] text: String) {
    let test_node = TestNode::new().await;
    let response = test_node.send(text.as_bytes()).await;
    assert!(response.status == 431 || response.status == 0, "status {}", response.status);
    assert_eq!(test_node.get("status").await.status, 200);
}

#[tokio::test]
async fn oversized_body_is_refused() {
    let test_node = TestNode::new().await;
    let body = " ".repeat(1_000_001);
    let response = test_node.request("POST", "config/diff", "first", &body).await;
    assert_eq!(response.status, 413);
    assert_eq!(response.json::<OperatorError>().code, "too_large");
}

#[tokio::test]
async fn stalled_clients_do_not_block_others() {
    let test_node = TestNode::new().await;
    let mut stalled = vec![];
    for bytes in [
        b"GET /operator/v1/sta".as_slice(),
        b"POST /operator/v1/config/diff HTTP/1.1\r\nAuthorization: Bearer first\r\nContent-Length: 50\r\n\r\n{",
        b"",
    ] {
        let mut stream = TcpStream::connect(test_node.address).await.unwrap();
        stream.write_all(bytes).await.unwrap();
        stalled.push(stream);
    }
    assert_eq!(test_node.get("status").await.status, 200);
    // The second client closes its sending half within the body and receives a response.
    let mut half_closed = stalled.remove(1);
    half_closed.shutdown().await.unwrap();
    let response = read_response(&mut half_closed).await;
    assert!(response.status == 400 || response.status == 0, "status {}", response.status);
    assert_eq!(test_node.get("status").await.status, 200);
}

#[tokio::test]
async fn bind_error_of_used_port_names_setting_and_hint() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let e = HttpListener::bind("operator_listen", &address).await.unwrap_err();
    let text = e.to_string();
    assert!(text.starts_with(&format!("operator_listen: {address} is in use; hint:")), "{text}");
}
