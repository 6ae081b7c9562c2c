//! Tests of the callers' API over a TCP listener, with valid and malformed input.

use guavaladder_lib::caller_api;
use guavaladder_lib::generated::requests::EndEvent;
use guavaladder_lib::generated::requests::ErrorCode;
use guavaladder_lib::generated::requests::ErrorReply;
use guavaladder_lib::generated::requests::GenerateReply;
use guavaladder_lib::generated::requests::Outcome;
use guavaladder_lib::generated::requests::RequestState;
use guavaladder_lib::generated::requests::RequestStatusReply;
use guavaladder_lib::generated::requests::TokensEvent;
use guavaladder_lib::http_server::HttpListener;
use guavaladder_lib::http_server::HttpServer;
use guavaladder_lib::member_view::Member;
use guavaladder_lib::member_view::MemberState;
use guavaladder_testutils::engine_options::EngineOptions;
use guavaladder_testutils::request_rig::FILING;
use guavaladder_testutils::request_rig::RequestRig;
use guavaladder_testutils::token_text::ModelOutput;
use guavaladder_testutils::token_text::plain_response;
use rstest::rstest;
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

struct Api {
    rig: RequestRig,
    address: SocketAddr,
    _server: HttpServer,
}

struct RawReply {
    status: u16,
    head: String,
    body: String,
}

impl RawReply {
    fn error(&self) -> ErrorCode {
        let reply: ErrorReply = serde_json::from_str(&self.body)
            .unwrap_or_else(|e| panic!("{e} in {} {}", self.status, self.body));
        assert!(matches!(reply.error.ran, Outcome::NotRun | Outcome::Unknown));
        reply.error.code
    }
}

async fn api() -> Api {
    let options = EngineOptions {
        load_time: Duration::ZERO,
        plain_time: Duration::ZERO,
        ..EngineOptions::new().with_token_times(Duration::from_millis(1), Duration::ZERO)
    };
    let rig = RequestRig::new(1, 2, 1, options).await;
    let listener = HttpListener::bind("caller_listen", "127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = listener.serve(caller_api::router(rig.nodes[0].path.clone()), 64);
    Api { rig, address, _server: server }
}

impl Api {
    /// Sends raw bytes on a new connection and reads until the server closes it.
    async fn raw(&self, message: &[u8]) -> Vec<u8> {
        let mut stream = TcpStream::connect(self.address).await.unwrap();
        // The server may close the connection before it has read everything.
        let _ = stream.write_all(message).await;
        let mut reply = vec![];
        let _ = stream.read_to_end(&mut reply).await;
        reply
    }

    async fn send(&self, method: &str, path: &str, headers: &str, body: &[u8]) -> RawReply {
        let mut message = format!(
            "{method} {path} HTTP/1.1\r\nhost: h\r\nconnection: close\r\n{headers}\
             content-length: {}\r\n\r\n",
            body.len()
        )
        .into_bytes();
        message.extend_from_slice(body);
        parse(&self.raw(&message).await)
    }

    async fn generate(&self, body: serde_json::Value) -> RawReply {
        let token = "authorization: Bearer t0\r\n";
        self.send("POST", "/v1/generate", token, body.to_string().as_bytes()).await
    }

    /// Asserts that the server still serves a valid request.
    async fn assert_serves(&self) {
        let reply = self.generate(json!({"service": "drafting", "prompt": "still"})).await;
        assert_eq!(reply.status, 200, "{}", reply.body);
    }
}

fn parse(reply: &[u8]) -> RawReply {
    let text = String::from_utf8_lossy(reply);
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or_else(|| panic!("reply {text:?}"));
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap();
    let is_chunked = head.to_lowercase().contains("transfer-encoding: chunked");
    let body = if is_chunked { unchunk(body) } else { body.to_string() };
    RawReply { status, head: head.to_lowercase(), body }
}

fn unchunk(mut rest: &str) -> String {
    let mut body = String::new();
    while let Some((size, after)) = rest.split_once("\r\n") {
        let size = usize::from_str_radix(size, 16).unwrap();
        body.push_str(&after[..size]);
        rest = &after[(size + 2).min(after.len())..];
        if size == 0 {
            break;
        }
    }
    body
}

/// Returns the name and data of each server-sent event in a body.
fn events(body: &str) -> Vec<(String, String)> {
    let parse = |event: &str| {
        let (name, data) = event.split_once('\n').unwrap();
        let name = name.strip_prefix("event: ").unwrap().to_string();
        (name, data.strip_prefix("data: ").unwrap().to_string())
    };
    body.split("\n\n").filter(|event| !event.is_empty()).map(parse).collect()
}

fn key(rig: &RequestRig) -> String {
    format!("{:013}-abcdefgh", rig.clock.unix().as_millis())
}

#[tokio::test]
async fn generate_returns_complete_text() {
    let api = api().await;
    let reply =
        api.generate(json!({"service": "drafting", "prompt": "soot", "max_tokens": 20})).await;
    assert_eq!(reply.status, 200, "{}", reply.body);
    let whole: GenerateReply = serde_json::from_str(&reply.body).unwrap();
    let expected = ModelOutput::new("m", "1", None, "soot", 20);
    assert_eq!(whole.text, expected.text());
    assert_eq!((whole.length, whole.outcome), (expected.length, Outcome::Whole));
}

#[tokio::test]
async fn generate_stream_has_explicit_end() {
    let api = api().await;
    let body = json!({"service": "drafting", "prompt": "length:40", "stream": true});
    let reply = api.generate(body).await;
    assert_eq!(reply.status, 200);
    assert!(reply.head.contains("text/event-stream"));
    let events = events(&reply.body);
    assert_eq!(events[0].0, "start");
    let mut tokens = vec![];
    for (name, data) in &events[1..events.len() - 1] {
        assert_eq!(name, "tokens");
        let event: TokensEvent = serde_json::from_str(data).unwrap();
        assert_eq!(event.offset as usize, tokens.len());
        tokens.extend(event.tokens);
    }
    let (name, data) = events.last().unwrap();
    assert_eq!(name, "end");
    let end: EndEvent = serde_json::from_str(data).unwrap();
    assert_eq!((end.length as usize, end.outcome), (tokens.len(), Outcome::Whole));
    assert_eq!(tokens.concat(), ModelOutput::new("m", "1", None, "length:40", 256).text());
}

#[tokio::test]
async fn generate_resumes_with_token_of_own_customer_only() {
    let api = api().await;
    let prompt = "length:30";
    let body = json!({"service": "drafting", "prompt": prompt, "stream": true});
    let reply = api.generate(body).await;
    let start: serde_json::Value = serde_json::from_str(&events(&reply.body)[0].1).unwrap();
    let whole = ModelOutput::new("m", "1", None, prompt, 256);
    let resume = json!({"token": start["token"], "emitted": whole.tokens(0, 10)});
    let body = json!({"service": "drafting", "prompt": prompt, "stream": true, "resume": resume});
    let reply = api.generate(body.clone()).await;
    let first: TokensEvent = serde_json::from_str(&events(&reply.body)[1].1).unwrap();
    assert_eq!(first.offset, 10);
    let other = "authorization: Bearer t1\r\n";
    let reply = api.send("POST", "/v1/generate", other, body.to_string().as_bytes()).await;
    assert_eq!(reply.error(), ErrorCode::Malformed);
}

#[tokio::test]
async fn call_with_key_runs_once_and_reports_status() {
    let api = api().await;
    let key = key(&api.rig);
    let headers = format!("authorization: Bearer t0\r\nidempotency-key: {key}\r\n");
    for _ in 0..2 {
        let reply = api.send("POST", "/v1/call/filing/pay/excise", &headers, b"5 USD").await;
        assert_eq!(reply.status, 200, "{}", reply.body);
        assert_eq!(reply.body, plain_response(FILING, "pay/excise", "5 USD"));
    }
    assert_eq!(api.rig.fake_instances.execution_count(&key), 1);
    let token = "authorization: Bearer t0\r\n";
    let reply = api.send("GET", &format!("/v1/requests/{key}"), token, b"").await;
    let status: RequestStatusReply = serde_json::from_str(&reply.body).unwrap();
    assert_eq!(status.state, RequestState::Whole);
    let reply = api.send("POST", "/v1/call/filing/pay", token, b"5 USD").await;
    assert_eq!((reply.status, reply.error()), (400, ErrorCode::KeyRequired));
}

#[tokio::test]
async fn generate_with_key_runs_once() {
    let api = api().await;
    let key = key(&api.rig);
    let body = json!({"service": "drafting", "prompt": "once", "idempotency_key": key});
    let first = api.generate(body.clone()).await;
    assert_eq!(first.status, 200, "{}", first.body);
    let again = api.generate(body).await;
    assert_eq!(again.body, first.body);
    assert_eq!(api.rig.fake_instances.execution_count(&key), 1);
}

#[rstest]
#[case::missing("")]
#[case::wrong("authorization: Bearer nope\r\n")]
#[case::empty("authorization: Bearer \r\n")]
#[case::scheme("authorization: Basic t0\r\n")]
#[case::not_ascii("authorization: Bearer \u{e9}\r\n")]
#[tokio::test]
async fn request_without_valid_token_reveals_nothing(#[case] headers: &str) {
    let api = api().await;
    for (method, path) in
        [("POST", "/v1/generate"), ("GET", "/v1/entries"), ("GET", "/v1/requests/x")]
    {
        let reply = api.send(method, path, headers, b"{}").await;
        assert_eq!((reply.status, reply.error()), (401, ErrorCode::Unauthorized), "{path}");
        assert!(!reply.body.contains("c0"));
    }
}

#[rstest]
#[case::not_json("{", ErrorCode::Malformed)]
#[case::not_object("[]", ErrorCode::Malformed)]
#[case::unknown_field(r#"{"service":"drafting","prompt":"p","x":1}"#, ErrorCode::Malformed)]
#[case::no_prompt(r#"{"service":"drafting"}"#, ErrorCode::Malformed)]
#[case::negative(r#"{"service":"drafting","prompt":"p","max_tokens":-1}"#, ErrorCode::Malformed)]
#[case::zero(r#"{"service":"drafting","prompt":"p","max_tokens":0}"#, ErrorCode::Malformed)]
#[case::huge(r#"{"service":"drafting","prompt":"p","max_tokens":1e99}"#, ErrorCode::Malformed)]
#[case::large(
    r#"{"service":"drafting","prompt":"p","max_tokens":4294967295}"#,
    ErrorCode::Malformed
)]
#[case::deadline(r#"{"service":"drafting","prompt":"p","deadline_ms":-5}"#, ErrorCode::Malformed)]
#[case::no_service(r#"{"service":"x","prompt":"p"}"#, ErrorCode::NotFound)]
#[case::wrong_kind(r#"{"service":"filing","prompt":"p"}"#, ErrorCode::NotFound)]
#[case::key(
    r#"{"service":"drafting","prompt":"p","idempotency_key":"k"}"#,
    ErrorCode::KeyMalformed
)]
#[case::resume(
    r#"{"service":"drafting","prompt":"p","resume":{"token":"é","emitted":[]}}"#,
    ErrorCode::Malformed
)]
#[tokio::test]
async fn generate_with_malformed_body_is_refused(#[case] body: &str, #[case] expected: ErrorCode) {
    let api = api().await;
    let token = "authorization: Bearer t0\r\n";
    let reply = api.send("POST", "/v1/generate", token, body.as_bytes()).await;
    assert_eq!(reply.error(), expected);
    assert!(api.rig.fake_instances.executions().is_empty());
    api.assert_serves().await;
}

#[tokio::test]
async fn body_with_invalid_utf8_is_refused() {
    let api = api().await;
    let token = "authorization: Bearer t0\r\n";
    let body = b"{\"service\":\"drafting\",\"prompt\":\"\xff\xfe\"}";
    let reply = api.send("POST", "/v1/generate", token, body).await;
    assert_eq!(reply.error(), ErrorCode::Malformed);
    let reply = api.send("POST", "/v1/call/lookup/x", token, b"\xff").await;
    assert_eq!(reply.error(), ErrorCode::Malformed);
    api.assert_serves().await;
}

#[tokio::test]
async fn generate_with_oversized_body_is_refused() {
    let api = api().await;
    let token = "authorization: Bearer t0\r\n";
    let body = vec![b'a'; (1 << 20) + 1];
    let reply = api.send("POST", "/v1/generate", token, &body).await;
    assert_eq!((reply.status, reply.error()), (413, ErrorCode::TooLarge));
    api.assert_serves().await;
}

#[rstest]
#[case::garbage(b"\x00\x01\x02\x03\r\n\r\n")]
#[case::huge_header(&[b'a'; 100_000])]
#[case::truncated(b"POST /v1/generate HTTP/1.1\r\nhost: h\r\ncontent-le")]
#[case::negative_length(b"POST /v1/generate HTTP/1.1\r\nhost: h\r\ncontent-length: -1\r\n\r\n")]
#[case::two_lengths(
    b"POST /v1/generate HTTP/1.1\r\nhost: h\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab"
)]
#[case::bad_chunk(
    b"POST /v1/generate HTTP/1.1\r\nhost: h\r\nauthorization: Bearer t0\r\n\
      transfer-encoding: chunked\r\n\r\nzz\r\nab\r\n"
)]
#[tokio::test]
async fn malformed_bytes_do_not_affect_other_connections(#[case] message: &[u8]) {
    let api = api().await;
    let mut stream = TcpStream::connect(api.address).await.unwrap();
    let _ = stream.write_all(message).await;
    api.assert_serves().await;
    stream.shutdown().await.ok();
    let mut reply = vec![];
    let _ = stream.read_to_end(&mut reply).await;
    let text = String::from_utf8_lossy(&reply);
    assert!(text.is_empty() || text.starts_with("HTTP/1.1 4"), "{text}");
    api.assert_serves().await;
}

#[tokio::test]
async fn generate_with_truncated_body_is_not_run() {
    let api = api().await;
    let mut stream = TcpStream::connect(api.address).await.unwrap();
    let head = "POST /v1/generate HTTP/1.1\r\nhost: h\r\nauthorization: Bearer t0\r\n\
                content-length: 100\r\n\r\n{\"service\":";
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.shutdown().await.unwrap();
    let mut reply = vec![];
    let _ = stream.read_to_end(&mut reply).await;
    let text = String::from_utf8_lossy(&reply);
    assert!(text.is_empty() || text.starts_with("HTTP/1.1 400"), "{text}");
    assert!(api.rig.fake_instances.executions().is_empty());
    api.assert_serves().await;
}

#[tokio::test]
async fn pipelined_requests_are_answered() {
    let api = api().await;
    let one = "GET /healthz HTTP/1.1\r\nhost: h\r\n\r\n";
    let last = "GET /readyz HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n";
    let reply = api.raw(format!("{one}{one}{last}").as_bytes()).await;
    let text = String::from_utf8_lossy(&reply);
    assert_eq!(text.matches("HTTP/1.1 200").count(), 3, "{text}");
}

#[rstest]
#[case::path("GET", "/v1/nope")]
#[case::method("GET", "/v1/generate")]
#[case::internal("POST", "/v1/internal/ledger")]
#[tokio::test]
async fn unknown_path_or_method_is_not_found(#[case] method: &str, #[case] path: &str) {
    let api = api().await;
    let reply = api.send(method, path, "authorization: Bearer t0\r\n", b"x").await;
    assert_eq!((reply.status, reply.error()), (404, ErrorCode::NotFound));
}

#[tokio::test(start_paused = true)]
async fn entries_are_the_same_on_each_connection() {
    let api = api().await;
    let member = |index: usize| Member {
        node: format!("n{index}"),
        incarnation: 1,
        state: MemberState::Live,
        data_centre: "dc1".to_string(),
        region: "r1".to_string(),
        peer_address: "127.0.0.1:1".to_string(),
        caller_address: format!("127.0.0.1:{}", 2 + index),
        operator_address: "127.0.0.1:1".to_string(),
    };
    let members = (0..8).map(member).map(|member| (member.node.clone(), member)).collect();
    api.rig.nodes[0].path.cx().members.replace(members);
    let token = "authorization: Bearer t0\r\n";
    let first = api.send("GET", "/v1/entries", token, b"").await;
    assert_eq!(first.status, 200, "{}", first.body);
    for _ in 0..8 {
        assert_eq!(api.send("GET", "/v1/entries", token, b"").await.body, first.body);
    }
}
