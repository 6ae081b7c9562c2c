//! Tests of clients that take memory and connections from a daemon and keep them.

use crate::serving_stand::Listener;
use crate::serving_stand::MAX_BODY;
use crate::serving_stand::MAX_DESCRIPTORS;
use crate::serving_stand::MEMORY_MB;
use crate::serving_stand::ServingStand;
use crate::stalling_client::RawRequest;
use crate::stalling_client::StallingClient;
use crate::stalling_client::StallingClients;
use guavaladder_platform_testutils::ReplicaLoad;
use rstest::rstest;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Number of clients, fewer than the connections that are allowed; with bodies of legal size they send more
/// than the memory of the machine.
const CLIENTS: usize = 100;
/// Number of clients that is larger than the number of connections that are allowed.
const MANY_CLIENTS: usize = 160;
/// Length of a body of the latter, in bytes.
const SMALL_BODY: usize = 16 << 10;
/// Length of a body far over the limit, in bytes.
const HUGE_BODY: usize = 1 << 30;
/// Length of an answer near the limit of the node, in bytes.
const LONG_ANSWER: usize = 8_000_000;
/// Size of the data of an event, in bytes.
const EVENT: usize = 16 << 10;

fn request(method: &str, path: &str) -> RawRequest {
    RawRequest::new(method, path).with_header("Api-Key", "key-1")
}

/// Returns a request with a length, and `sent` bytes of its body.
fn with_length(path: &str, length: usize, sent: usize) -> RawRequest {
    request("POST", path)
        .with_header("Content-Length", &length.to_string())
        .with_body(&vec![b'a'; sent])
}

fn chunk(len: usize) -> Vec<u8> {
    format!("{len:x}\r\n{}\r\n", "a".repeat(len)).into_bytes()
}

/// Returns a request whose body of `sent` bytes is in chunks of one size, without the last chunk.
fn in_chunks(chunk_len: usize, sent: usize) -> RawRequest {
    let body = chunk(chunk_len).repeat(sent / chunk_len);
    chunked().with_body(&body)
}

fn chunked() -> RawRequest {
    request("POST", "/parcel/a").with_header("Transfer-Encoding", "chunked")
}

fn client(name: &str) -> StallingClient {
    let short = || StallingClient::new(with_length("/parcel/a", MAX_BODY, MAX_BODY - 1));
    let without_end = || StallingClient::new(in_chunks(64 << 10, MAX_BODY));
    let get = |path| request("GET", path);
    match name {
        "bodies_whole" => short(),
        "bodies_in_pieces" => short().in_parts(16 << 10, Duration::from_millis(5)),
        "large_chunks" => without_end(),
        "endless_chunks" => without_end().with_tail(chunk(64 << 10)),
        "chunks_of_one_byte" => StallingClient::new(in_chunks(1, 64 << 10)),
        "chunks_of_64_bytes" => StallingClient::new(in_chunks(64, MAX_BODY)),
        "announced_over_limit" => {
            StallingClient::new(with_length("/parcel/a", HUGE_BODY, 0)).with_tail(vec![b'a'; 65536])
        }
        "chunks_over_limit" => StallingClient::new(in_chunks(64 << 10, 16 * MAX_BODY)),
        "one_chunk_over_limit" => {
            let size = format!("{HUGE_BODY:x}\r\n");
            StallingClient::new(chunked().with_body(size.as_bytes())).with_tail(vec![b'a'; 65536])
        }
        "unknown_key" => {
            let head = RawRequest::new("POST", "/parcel/a").with_header("Api-Key", "unknown");
            let head = head.with_header("Content-Length", &MAX_BODY.to_string());
            StallingClient::new(head.with_body(&vec![b'a'; MAX_BODY - 1]))
        }
        "pipelined_requests" => {
            StallingClient::new(get("/parcel/a")).with_tail(get("/parcel/b").to_bytes())
        }
        "pipelined_bodies" => StallingClient::new(get("/parcel/a"))
            .with_tail(with_length("/parcel/b", MAX_BODY, MAX_BODY).to_bytes()),
        other => panic!("no client named {other}"),
    }
}

/// The replica never answers, so that what is passed on stays in the node.
#[rstest]
#[case::bodies_whole("bodies_whole")]
#[case::bodies_in_pieces("bodies_in_pieces")]
#[case::large_chunks("large_chunks")]
#[case::endless_chunks("endless_chunks")]
#[case::chunks_of_one_byte("chunks_of_one_byte")]
#[case::chunks_of_64_bytes("chunks_of_64_bytes")]
#[case::announced_over_limit("announced_over_limit")]
#[case::chunks_over_limit("chunks_over_limit")]
#[case::one_chunk_over_limit("one_chunk_over_limit")]
#[case::unknown_key("unknown_key")]
#[case::pipelined_requests("pipelined_requests")]
#[case::pipelined_bodies("pipelined_bodies")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn clients_that_do_not_end_requests_exceed_memory(#[case] name: &str) {
    let mut stand = ServingStand::new(name, ReplicaLoad::NeverAnswers).await;
    stand.run(&client(name), Listener::Callers, CLIENTS).await.check(MEMORY_MB, MAX_DESCRIPTORS);
}

fn connection(name: &str) -> StallingClient {
    let open_head = || StallingClient::with_open_head(request("POST", "/parcel/a"));
    let unknown = RawRequest::new("GET", "/look/a").with_header("Api-Key", "unknown");
    match name {
        "nothing" => StallingClient::silent(),
        "heads" => open_head(),
        "heads_that_grow" => open_head()
            .with_tail(b"X-A: b\r\n".to_vec())
            .with_tail_interval(Duration::from_millis(500)),
        "bodies" => StallingClient::new(with_length("/parcel/a", SMALL_BODY, SMALL_BODY - 1)),
        "chunks" => StallingClient::new(in_chunks(1, 100)),
        "answered" => StallingClient::new(request("GET", "/look/a")),
        "refused" => StallingClient::new(unknown),
        other => panic!("no client named {other}"),
    }
}

#[rstest]
#[case::nothing("nothing")]
#[case::heads("heads")]
#[case::heads_that_grow("heads_that_grow")]
#[case::bodies("bodies")]
#[case::chunks("chunks")]
#[case::answered("answered")]
#[case::refused("refused")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn clients_that_stay_shut_out_others(#[case] name: &str) {
    let mut stand = ServingStand::new(&format!("stay-{name}"), ReplicaLoad::NeverAnswers).await;
    stand
        .run(&connection(name), Listener::Callers, MANY_CLIENTS)
        .await
        .check(MEMORY_MB, MAX_DESCRIPTORS);
}

#[rstest]
#[case::relay_nothing(Listener::Relay, "nothing")]
#[case::relay_heads(Listener::Relay, "heads")]
#[case::relay_bodies(Listener::Relay, "bodies")]
#[case::directory_nothing(Listener::Directory, "nothing")]
#[case::directory_heads(Listener::Directory, "heads")]
#[case::directory_bodies(Listener::Directory, "bodies")]
#[case::readiness_heads(Listener::Readiness, "heads")]
#[case::metrics_heads(Listener::Metrics, "heads")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn clients_of_another_listener_shut_out_others(
    #[case] listener: Listener,
    #[case] name: &str,
) {
    let test = format!("{listener:?}-{name}");
    let mut stand = ServingStand::new(&test, ReplicaLoad::NeverAnswers).await;
    stand.run(&connection(name), listener, MANY_CLIENTS).await.check(MEMORY_MB, MAX_DESCRIPTORS);
}

#[rstest]
#[case::bodies_whole("bodies_whole")]
#[case::endless_chunks("endless_chunks")]
#[case::announced_over_limit("announced_over_limit")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_without_ticket_exceed_memory(#[case] name: &str) {
    let mut stand = ServingStand::new(&format!("relay-{name}"), ReplicaLoad::NeverAnswers).await;
    stand.run(&client(name), Listener::Relay, CLIENTS).await.check(MEMORY_MB, MAX_DESCRIPTORS);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_for_slow_replicas_exceed_memory() {
    let mut stand = ServingStand::new("slow-replicas", ReplicaLoad::ReadsSlowly).await;
    let client = StallingClient::new(with_length("/parcel/a", MAX_BODY, MAX_BODY));
    stand.run(&client, Listener::Callers, CLIENTS).await.check(MEMORY_MB, MAX_DESCRIPTORS);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_that_nobody_reads_exceed_memory() {
    let mut stand = ServingStand::new("answers", ReplicaLoad::LongAnswer(LONG_ANSWER)).await;
    let client = StallingClient::new(request("GET", "/parcel/a")).deaf();
    stand.run(&client, Listener::Callers, CLIENTS).await.check(MEMORY_MB, MAX_DESCRIPTORS);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_that_nobody_reads_exceed_memory() {
    let mut stand = ServingStand::new("streams", ReplicaLoad::EndlessStream(EVENT)).await;
    let client = StallingClient::new(with_length("/feed/a", 1, 1)).deaf();
    stand.run(&client, Listener::Callers, CLIENTS).await.check(MEMORY_MB, MAX_DESCRIPTORS);
}

/// Beside the bodies that are kept, the bytes of each connection that wait for room are in its receive buffer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_that_wait_for_room_exceed_memory_with_many_descriptors() {
    let (memory_mb, max_descriptors, clients) = (260, 4200, 2000);
    let load = ReplicaLoad::NeverAnswers;
    let mut stand =
        ServingStand::with_limits("many-waiting", load, memory_mb, max_descriptors).await;
    let client = StallingClient::new(with_length("/parcel/a", 256 << 10, (256 << 10) - 1));
    stand.run(&client, Listener::Callers, clients).await.check(memory_mb, max_descriptors);
}

/// Requests behind a running one stay in the receive buffers.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn pipelined_bodies_exceed_memory_with_many_descriptors() {
    let (memory_mb, max_descriptors, clients) = (260, 4200, 2000);
    let load = ReplicaLoad::NeverAnswers;
    let mut stand =
        ServingStand::with_limits("many-pipelined", load, memory_mb, max_descriptors).await;
    let client = client("pipelined_bodies");
    stand.run(&client, Listener::Callers, clients).await.check(memory_mb, max_descriptors);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_that_nobody_reads_shut_out_bodies() {
    let load = ReplicaLoad::LongAnswer(LONG_ANSWER);
    let stand = ServingStand::new("answers-and-bodies", load).await;
    assert!(stand.is_body_served().await, "no body was served without other clients");
    let client = StallingClient::new(request("GET", "/parcel/a")).deaf();
    let clients = StallingClients::start(&client, stand.callers, CLIENTS);
    clients.wait_until_sent().await;
    sleep(Duration::from_secs(3)).await;
    assert!(stand.is_body_served().await, "no body of 64 KiB was served");
}

/// Sends a request in parts and returns the status line and the length of the answer.
async fn send(to: SocketAddr, request: &[u8], part: usize, interval: Duration) -> (String, usize) {
    let mut stream = TcpStream::connect(to).await.unwrap();
    for part in request.chunks(part) {
        stream.write_all(part).await.unwrap();
        sleep(interval).await;
    }
    let mut received = vec![];
    stream.read_to_end(&mut received).await.unwrap();
    let text = String::from_utf8_lossy(&received);
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or_default();
    (head.lines().next().unwrap_or_default().to_string(), body.len())
}

#[rstest]
#[case::whole(0, usize::MAX, 0)]
#[case::slow(0, 16 << 10, 20)]
#[case::large_chunks(64 << 10, usize::MAX, 0)]
#[case::large_chunks_slow(64 << 10, 16 << 10, 20)]
#[case::chunks_of_64_bytes(64, usize::MAX, 0)]
#[case::chunks_of_one_byte(1, usize::MAX, 0)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn single_request_within_limits_is_refused(
    #[case] chunk_len: usize,
    #[case] part: usize,
    #[case] interval_ms: u64,
) {
    let test = format!("single-{chunk_len}-{interval_ms}");
    let stand = ServingStand::new(&test, ReplicaLoad::ReadsSlowly).await;
    let request = match chunk_len {
        0 => with_length("/parcel/a", MAX_BODY, MAX_BODY),
        _ => in_chunks(chunk_len, MAX_BODY).with_body(b"0\r\n\r\n"),
    };
    let request = request.with_header("Connection", "close").to_bytes();
    let interval = Duration::from_millis(interval_ms);
    let (status, _) = send(stand.callers, &request, part, interval).await;
    assert_eq!(status, "HTTP/1.1 200 OK");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn single_long_answer_is_refused() {
    let stand = ServingStand::new("single-answer", ReplicaLoad::LongAnswer(LONG_ANSWER)).await;
    let request = request("GET", "/parcel/a").with_header("Connection", "close").to_bytes();
    let (status, length) = send(stand.callers, &request, usize::MAX, Duration::ZERO).await;
    assert_eq!((status.as_str(), length), ("HTTP/1.1 200 OK", LONG_ANSWER));
}
