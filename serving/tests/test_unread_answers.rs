//! Tests of callers that do not read their answers, or read them slowly.

use crate::fleet::Fleet;
use crate::fleet::eventually;
use guavaladder_platform_testutils::config;
use guavaladder_serving::serving_cx::ServingCx;
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Size of a body, more than the buffers of both sides hold.
const BODY: usize = 4 << 20;
/// Size of the receive buffer of the caller.
const RECEIVE_BUFFER: u32 = 16 << 10;
/// Idle timeout of the configuration.
const IDLE_TIMEOUT: Duration = Duration::from_millis(500);

async fn fleet() -> Fleet {
    let mut fleet = Fleet::new(0).await;
    let mut configuration = config(6);
    configuration["limits"] = json!({"idleTimeoutMs": IDLE_TIMEOUT.as_millis() as u64});
    fleet.store.put("config", "main", configuration);
    fleet.add_first_node("orders", 2).await;
    fleet
}

/// Sends a request whose answer is as large as its body.
async fn send_request(to: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(RECEIVE_BUFFER).expect("a receive buffer");
    let mut stream = socket.connect(to).await.expect("a connection");
    let head = format!(
        "POST /book/x HTTP/1.1\r\nHost: a.example\r\nApi-Key: key-1\r\nX-Request-Id: r\r\n\
         X-Deadline-Ms: 2500\r\nContent-Length: {BODY}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.expect("bytes sent");
    stream.write_all(&vec![b'x'; BODY]).await.expect("bytes sent");
    stream
}

/// Returns whether callers have no open connection.
fn is_unused(cx: &ServingCx) -> bool {
    cx.connections.record(&cx.metrics);
    let text = cx.metrics.render();
    let of_callers = |line: &&str| line.contains("open_connections{listener=\"callers\"");
    text.lines().filter(of_callers).all(|line| line.ends_with(" 0"))
}

/// A caller that never reads must not keep its connection and its answer for good.
#[tokio::test]
async fn unread_answer_is_dropped_after_the_deadline_and_the_idle_timeout() {
    let fleet = fleet().await;
    let _stream = send_request(fleet.callers(0)).await;
    let cx = fleet.nodes[0].cx.clone();
    eventually(|| cx.metrics.sum("requests_total") == 1).await;
    assert!(!is_unused(&cx));
    eventually(|| is_unused(&cx)).await;
}

/// A caller that reads slowly gets its whole answer, even after its deadline.
#[tokio::test]
async fn slowly_read_answer_is_complete() {
    let fleet = fleet().await;
    let mut stream = send_request(fleet.callers(0)).await;
    let mut received = 0;
    while received < BODY {
        let mut buf = vec![0; 64 << 10];
        let read = stream.read(&mut buf).await.expect("an open connection");
        assert!(read > 0, "closed after {received} bytes");
        received += read;
        sleep(Duration::from_millis(20)).await;
    }
}
