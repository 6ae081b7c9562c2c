//! Tests of clients that take memory and connections from a daemon by its own interface and keep them.

use crate::daemon_stand::DaemonStand;
use crate::daemon_stand::Listener;
use crate::daemon_stand::MAX_BODY;
use crate::daemon_stand::MAX_DESCRIPTORS;
use crate::daemon_stand::MEMORY_MB;
use crate::daemon_stand::OTHER_DESCRIPTORS;
use crate::daemon_stand::TOKEN;
use crate::daemon_stand::call;
use crate::daemon_stand::call_of;
use crate::daemon_stand::send;
use crate::stalling_client::RawRequest;
use crate::stalling_client::StallingClient;
use rstest::rstest;
use std::time::Duration;

/// Number of clients, fewer than the connections that are allowed; with bodies of legal size they send more
/// than the memory of the machine.
const CLIENTS: usize = 100;
/// Number of clients that is larger than the number of connections of any listener.
const MANY_CLIENTS: usize = 400;
/// Number of clients whose messages together with their connections take more than the memory.
const MESSAGE_CLIENTS: usize = 1500;
/// Number of connections of callers that are allowed then.
const MESSAGE_CONNECTIONS: usize = 2048;
/// Length of a message of another node, in bytes.
const MESSAGE: usize = 16 << 10;

/// Returns a request with a length whose body is one byte short.
fn short(request: RawRequest, length: usize) -> StallingClient {
    let request = request.with_header("Content-Length", &length.to_string());
    StallingClient::new(request.with_body(&vec![b'a'; length - 1]))
}

/// Chunks of a request without the last one.
fn in_chunks(request: RawRequest, chunk_len: usize, length: usize) -> RawRequest {
    let chunk = format!("{chunk_len:x}\r\n{}\r\n", "a".repeat(chunk_len));
    let request = request.with_header("Transfer-Encoding", "chunked");
    request.with_body(chunk.repeat(length / chunk_len).as_bytes())
}

fn ledger() -> RawRequest {
    RawRequest::new("POST", "/v1/internal/ledger")
}

fn generation() -> RawRequest {
    RawRequest::new("POST", "/v1/generate").with_header("Authorization", &format!("Bearer {TOKEN}"))
}

fn client(name: &str) -> StallingClient {
    match name {
        "calls" => short(call(), MAX_BODY),
        "calls_in_pieces" => short(call(), MAX_BODY).in_parts(16 << 10, Duration::from_millis(5)),
        "calls_in_chunks" => StallingClient::new(in_chunks(call(), 64 << 10, MAX_BODY)),
        "generations" => short(generation(), MAX_BODY),
        "calls_without_token" => short(RawRequest::new("POST", "/v1/call/filing/a"), MAX_BODY),
        "messages" => short(ledger(), MESSAGE),
        "configurations" => short(RawRequest::new("POST", "/operator/v1/config/apply"), 900_000),
        "heads" => StallingClient::with_open_head(call()),
        "nothing" => StallingClient::silent(),
        "answered" => StallingClient::new(RawRequest::new("GET", "/healthz")),
        other => panic!("no client named {other}"),
    }
}

#[rstest]
#[case::calls("calls")]
#[case::calls_in_pieces("calls_in_pieces")]
#[case::calls_in_chunks("calls_in_chunks")]
#[case::generations("generations")]
#[case::calls_without_token("calls_without_token")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_that_do_not_end_exceed_memory(#[case] name: &str) {
    let mut stand = DaemonStand::new(name).await;
    let outcome = stand.run(&client(name), Listener::Callers, CLIENTS).await;
    outcome.check(MEMORY_MB, MAX_DESCRIPTORS);
}

/// The daemon learns only from a complete message whether another node has sent it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn messages_of_unknown_senders_exceed_memory() {
    let mut stand = DaemonStand::with_connections("messages", MESSAGE_CONNECTIONS).await;
    let outcome = stand.run(&client("messages"), Listener::Callers, MESSAGE_CLIENTS).await;
    outcome.check(MEMORY_MB, MESSAGE_CONNECTIONS + OTHER_DESCRIPTORS);
}

#[rstest]
#[case::caller_messages(Listener::Callers, "messages")]
#[case::caller_heads(Listener::Callers, "heads")]
#[case::caller_nothing(Listener::Callers, "nothing")]
#[case::caller_answered(Listener::Callers, "answered")]
#[case::operator_heads(Listener::Operators, "heads")]
#[case::operator_configurations(Listener::Operators, "configurations")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn clients_that_stay_shut_out_callers_or_operators(
    #[case] listener: Listener,
    #[case] name: &str,
) {
    let mut stand = DaemonStand::new(&format!("{listener:?}-{name}")).await;
    let outcome = stand.run(&client(name), listener, MANY_CLIENTS).await;
    outcome.check(MEMORY_MB, MAX_DESCRIPTORS);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_for_slow_service_exceed_memory() {
    let mut stand = DaemonStand::new("slow-service").await;
    let request = call_of("slow").with_header("Content-Length", &MAX_BODY.to_string());
    let client = StallingClient::new(request.with_body(&vec![b'a'; MAX_BODY]));
    let outcome = stand.run(&client, Listener::Callers, CLIENTS).await;
    outcome.check(MEMORY_MB, MAX_DESCRIPTORS);
}

#[rstest]
#[case::whole(None)]
#[case::large_chunks(Some(64 << 10))]
#[case::chunks_of_64_bytes(Some(64))]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn single_call_within_limits_is_refused(#[case] chunk_len: Option<usize>) {
    let stand = DaemonStand::new(&format!("single-{chunk_len:?}")).await;
    let request = match chunk_len {
        Some(len) => in_chunks(call(), len, MAX_BODY).with_body(b"0\r\n\r\n"),
        None => call()
            .with_header("Content-Length", &MAX_BODY.to_string())
            .with_body(&vec![b'a'; MAX_BODY]),
    };
    let status = send(stand.address(Listener::Callers), &request).await;
    assert_eq!(status.as_deref(), Some("200"));
}
