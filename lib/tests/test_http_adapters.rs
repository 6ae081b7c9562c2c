//! Tests of the HTTP adapters against canned responses.

use futures_util::StreamExt;
use guavaladder_lib::engine::Engine;
use guavaladder_lib::engine::UpstreamError;
use guavaladder_lib::engine_http::HttpEngine;
use guavaladder_lib::generated::engine::GenerateRequest;
use guavaladder_lib::generated::engine::PlainRequest;
use guavaladder_lib::generated::engine::Priority;
use guavaladder_lib::generated::engine::StreamRecord;
use guavaladder_lib::generated::platform::PutObject;
use guavaladder_lib::generated::platform::PutOutcome;
use guavaladder_lib::plain_service::PlainService;
use guavaladder_lib::plain_service_http::HttpPlainService;
use guavaladder_lib::platform::ObjectStore;
use guavaladder_lib::platform::PlatformError;
use guavaladder_lib::platform_http::HttpPlatform;
use guavaladder_lib::record_stream::MAX_RECORD_BYTES;
use rstest::rstest;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

const OK: &str = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n";
const END: &str = r#"{"end":{"attempt":1,"length":2,"reason":"stop","load":null}}"#;
const TOKENS: &str = r#"{"tokens":{"attempt":1,"offset":0,"tokens":["a","b"]}}"#;

#[derive(Debug, PartialEq)]
enum Kind {
    Success,
    Unreachable,
    Refused,
    Deferred(Duration),
    Interrupted,
    Malformed,
}

fn kind<T>(outcome: &Result<T, UpstreamError>) -> Kind {
    match outcome {
        Ok(_) => Kind::Success,
        Err(UpstreamError::Unreachable { .. }) => Kind::Unreachable,
        Err(UpstreamError::Refused { .. }) => Kind::Refused,
        Err(UpstreamError::Deferred { retry_after, .. }) => Kind::Deferred(*retry_after),
        Err(UpstreamError::Interrupted { .. }) => Kind::Interrupted,
        Err(UpstreamError::Malformed { .. }) => Kind::Malformed,
    }
}

/// Serves each connection with these bytes after it has read the request, then closes it.
async fn serve_response(response: Vec<u8>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let response = response.clone();
            tokio::spawn(async move {
                let mut buf = [0; 65536];
                let _ = stream.read(&mut buf).await;
                let _ = stream.write_all(&response).await;
                let _ = stream.shutdown().await;
                // Keeps reading, since unread bytes of the request would reset the connection.
                while matches!(stream.read(&mut buf).await, Ok(n) if n > 0) {}
            });
        }
    });
    address
}

async fn closed_address() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap().to_string()
}

fn request() -> GenerateRequest {
    GenerateRequest {
        request: "r".to_string(),
        attempt: 1,
        group: "g".to_string(),
        epoch: 1,
        prompt: "p".to_string(),
        max_tokens: 2,
        priority: Priority::Normal,
        adapter: None,
        offset: 0,
        emitted: vec![],
        idempotency_key: None,
    }
}

#[rstest]
#[case::closed_without_response(b"".to_vec(), Kind::Interrupted)]
#[case::conflict(b"HTTP/1.1 409 Conflict\r\ncontent-length: 2\r\n\r\nno".to_vec(), Kind::Refused)]
#[case::unavailable(b"HTTP/1.1 503 x\r\ncontent-length: 0\r\n\r\n".to_vec(), Kind::Refused)]
#[case::server_error(b"HTTP/1.1 500 x\r\ncontent-length: 0\r\n\r\n".to_vec(), Kind::Interrupted)]
#[case::redirect(b"HTTP/1.1 302 x\r\ncontent-length: 0\r\n\r\n".to_vec(), Kind::Malformed)]
#[case::not_json([OK.as_bytes(), b"{"].concat(), Kind::Malformed)]
#[case::not_utf8([OK.as_bytes(), b"\"\xff\""].concat(), Kind::Malformed)]
#[case::too_large([OK.as_bytes(), &vec![b' '; 2 << 20]].concat(), Kind::Malformed)]
#[case::truncated_body(
    b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n[]".to_vec(), Kind::Interrupted)]
#[tokio::test]
async fn cache_events_response(#[case] response: Vec<u8>, #[case] expected: Kind) {
    let address = serve_response(response).await;
    let outcome = HttpEngine::new().cache_events(&address, 0).await;
    assert_eq!(kind(&outcome), expected, "{outcome:?}");
}

#[tokio::test]
async fn status_unreachable() {
    let address = closed_address().await;
    let outcome = HttpEngine::new().status(&address).await;
    assert_eq!(kind(&outcome), Kind::Unreachable);
}

#[rstest]
#[case::complete(vec![TOKENS, "\n", END, "\n"], vec![Kind::Success, Kind::Success])]
#[case::nothing_after_end(vec![END, "\n", TOKENS, "\n"], vec![Kind::Success])]
#[case::truncated_record(vec![TOKENS, "\n", "{\"tok"], vec![Kind::Success, Kind::Interrupted])]
#[case::no_end(vec![TOKENS, "\n"], vec![Kind::Success, Kind::Interrupted])]
#[case::not_a_record(vec!["{\"x\":1}\n", END, "\n"], vec![Kind::Malformed])]
#[case::too_long(vec!["x"; MAX_RECORD_BYTES + 1], vec![Kind::Malformed])]
#[case::empty_record(vec!["\n"], vec![Kind::Malformed])]
#[tokio::test]
async fn generate_records(#[case] body: Vec<&str>, #[case] expected: Vec<Kind>) {
    let address = serve_response(format!("{OK}{}", body.concat()).into_bytes()).await;
    let records = HttpEngine::new().generate(&address, &request()).await.unwrap();
    let kinds: Vec<Kind> = records.map(|record| kind(&record)).collect().await;
    assert_eq!(kinds, expected);
}

#[tokio::test]
async fn generate_refused_with_reason() {
    let address = serve_response(b"HTTP/1.1 409 x\r\ncontent-length: 4\r\n\r\nfull".to_vec()).await;
    let refused = HttpEngine::new().generate(&address, &request()).await.err().unwrap();
    assert!(refused.to_string().contains("full") && !refused.may_have_run());
}

#[tokio::test]
async fn generate_in_one_byte_chunks_gives_same_records() {
    let body = format!("{TOKENS}\n{END}\n");
    let chunks: String = body.chars().map(|c| format!("1\r\n{c}\r\n")).collect();
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let address = serve_response(format!("{head}{chunks}0\r\n\r\n").into_bytes()).await;
    let records = HttpEngine::new().generate(&address, &request()).await.unwrap();
    let records: Vec<_> = records.collect().await;
    assert!(matches!(&records[..], [Ok(StreamRecord::Tokens(_)), Ok(StreamRecord::End(_))]));
}

#[tokio::test]
async fn put_and_get_without_response() {
    let platform = HttpPlatform::new(serve_response(vec![]).await);
    let put = PutObject { key: "k".to_string(), if_version: 0, value: "1".to_string() };
    assert!(matches!(platform.put(&put).await, Err(PlatformError::ResponseLost { .. })));
    assert!(matches!(platform.get("k").await, Err(PlatformError::NotApplied { .. })));
    let unreachable = HttpPlatform::new(closed_address().await);
    assert!(matches!(unreachable.put(&put).await, Err(PlatformError::NotApplied { .. })));
}

#[tokio::test]
async fn put_conflict() {
    let platform =
        HttpPlatform::new(serve_response(format!("{OK}{{\"conflict\":4}}").into()).await);
    let put = PutObject { key: "k".to_string(), if_version: 0, value: "1".to_string() };
    assert_eq!(platform.put(&put).await, Ok(PutOutcome::Conflict(4)));
}

#[tokio::test]
async fn call_non_idempotent_uses_new_connections() {
    let reply = r#"{"status":200,"body":"x"}"#;
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", reply.len());
    let address = serve_response(format!("{head}{reply}").into_bytes()).await;
    let service = HttpPlainService::new();
    let req = PlainRequest {
        request: "r".to_string(),
        path: "p".to_string(),
        body: String::new(),
        idempotency_key: Some("k".to_string()),
        epoch: 1,
    };
    // The server closes each connection unannounced, so a call on a reused one would fail.
    for _ in 0..20 {
        assert_eq!(kind(&service.call(&address, &req).await), Kind::Success);
    }
}

#[rstest]
#[case::whole("503 X", "retry-after: 3\r\n", Kind::Deferred(Duration::from_secs(3)))]
#[case::decimal("503 X", "Retry-After: 0.25\r\n", Kind::Deferred(Duration::from_millis(250)))]
#[case::endless("503 X", "retry-after: 1e300\r\n", Kind::Deferred(Duration::MAX))]
#[case::none("503 X", "", Kind::Refused)]
#[case::zero("503 X", "retry-after: 0\r\n", Kind::Refused)]
#[case::negative("503 X", "retry-after: -1\r\n", Kind::Refused)]
#[case::no_number("503 X", "retry-after: soon\r\n", Kind::Refused)]
#[case::another_status("409 X", "retry-after: 3\r\n", Kind::Refused)]
#[tokio::test]
async fn time_that_an_upstream_asks_for_is_read(
    #[case] status: &str,
    #[case] header: &str,
    #[case] expected: Kind,
) {
    let response = format!("HTTP/1.1 {status}\r\n{header}content-length: 0\r\n\r\n");
    let address = serve_response(response.into_bytes()).await;
    let generated = HttpEngine::new().generate(&address, &request()).await;
    assert_eq!(kind(&generated.map(|_| ())), expected);
    assert_eq!(kind(&HttpEngine::new().status(&address).await), expected);
}

/// Starts a server that sends `prefix` and then `unit` again and again until the client closes the
/// connection; returns its address and the number of bytes that it has sent.
async fn serve_without_end(prefix: String, unit: &str) -> (String, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let block = unit.repeat(16384 / unit.len());
    let sent = Arc::new(AtomicUsize::new(0));
    let counter = sent.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let (prefix, block, counter) = (prefix.clone(), block.clone(), counter.clone());
            tokio::spawn(async move {
                let mut buf = [0; 65536];
                let _ = stream.read(&mut buf).await;
                let _ = stream.write_all(prefix.as_bytes()).await;
                while stream.write_all(block.as_bytes()).await.is_ok() {
                    counter.fetch_add(block.len(), Ordering::Relaxed);
                }
            });
        }
    });
    (address, sent)
}

#[tokio::test]
async fn bytes_without_end_after_the_last_record_are_not_read() {
    let (address, sent) = serve_without_end(format!("{OK}{TOKENS}\n{END}\n"), "x").await;
    let records = HttpEngine::new().generate(&address, &request()).await.unwrap();
    let records: Vec<_> = records.collect().await;
    assert!(matches!(&records[..], [Ok(StreamRecord::Tokens(_)), Ok(StreamRecord::End(_))]));
    tokio::time::sleep(Duration::from_millis(300)).await;
    let before = sent.load(Ordering::Relaxed);
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(sent.load(Ordering::Relaxed), before, "the connection is still being read");
    // What the kernel buffers, and a few reads.
    assert!(before <= 8 << 20, "{before} bytes were sent");
}

#[rstest]
#[case::line_ends("", "\n")]
#[case::status_line("HTTP/1.1 200 ", "x")]
#[case::header("HTTP/1.1 200 OK\r\nx: ", "x")]
#[case::body(OK, "x")]
#[case::tiny_chunks("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "1\r\nx\r\n")]
#[case::interim_heads("", "HTTP/1.1 100 Continue\r\n\r\n")]
#[tokio::test]
async fn call_to_an_engine_that_answers_without_end_is_an_error(
    #[case] prefix: &str,
    #[case] unit: &str,
) {
    let (address, sent) = serve_without_end(prefix.to_string(), unit).await;
    let begin = Instant::now();
    let outcome = HttpEngine::new().status(&address).await;
    assert!(matches!(kind(&outcome), Kind::Interrupted | Kind::Malformed), "{outcome:?}");
    assert!(begin.elapsed() < Duration::from_millis(2500), "{:?}", begin.elapsed());
    println!("{:?} {} bytes", begin.elapsed(), sent.load(Ordering::Relaxed));
    tokio::time::sleep(Duration::from_millis(200)).await;
    let before = sent.load(Ordering::Relaxed);
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(sent.load(Ordering::Relaxed), before, "the connection is still being read");
}

/// Bytes that carry no data pass every limit on the size of a body, and the limit of a call is 60 s.
#[rstest]
#[case::interim_heads("", "HTTP/1.1 100 Continue\r\n\r\n")]
#[case::tiny_chunks("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "1\r\nx\r\n")]
#[tokio::test]
async fn bytes_without_end_beside_data_end_a_call(#[case] prefix: &str, #[case] unit: &str) {
    let (address, _) = serve_without_end(prefix.to_string(), unit).await;
    let req = PlainRequest {
        request: "r".to_string(),
        path: "p".to_string(),
        body: String::new(),
        idempotency_key: None,
        epoch: 0,
    };
    let service = HttpPlainService::new();
    let call = tokio::time::timeout(Duration::from_secs(10), service.call(&address, &req));
    let outcome = call.await.expect("an error before the limit of the call");
    assert_eq!(kind(&outcome), Kind::Interrupted, "{outcome:?}");
}
