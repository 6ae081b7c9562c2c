//! Tests of callers that send more bytes than the node reads.

use crate::fleet::Fleet;
use crate::fleet::eventually;
use guavaladder_platform_testutils::Call;
use http::Method;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Size of the send buffer of the caller.
const SEND_BUFFER: u32 = 16 << 10;
/// Size of the send buffer of a caller that sends fast.
const LARGE_SEND_BUFFER: u32 = 256 << 10;
/// Maximum number of bytes that the buffers of both sides hold for such a caller.
const MAX_BUFFERED: usize = 1 << 20;
/// Maximum number of bytes that the caller can send while the node does not read.
const MAX_UNREAD: usize = 256 << 10;
/// Size of the largest body that is allowed.
const MAX_BODY: usize = 4 << 20;

/// Connects with a small send buffer, so that the bytes sent are mostly those received by the other side.
async fn connect(to: SocketAddr, send_buffer: u32) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_send_buffer_size(send_buffer).expect("a send buffer");
    socket.connect(to).await.expect("a connection")
}

fn request(id: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "POST /book/x HTTP/1.1\r\nHost: a.example\r\nApi-Key: key-1\r\nX-Request-Id: {id}\r\n\
         Content-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

/// Sends bytes until the other side takes no more; returns their number.
async fn send_until_blocked(stream: &mut TcpStream) -> usize {
    let (bytes, mut sent) = (vec![b'x'; 64 << 10], 0);
    while sent < MAX_BODY {
        match timeout(Duration::from_millis(300), stream.write(&bytes)).await {
            Ok(Ok(written)) => sent += written,
            Ok(Err(_)) | Err(_) => break,
        }
    }
    sent
}

/// What a caller sends while its request runs must not pile up in the receive buffer, which grows while a
/// large body is being read.
#[tokio::test]
async fn bytes_behind_a_running_request_stay_bounded() {
    let mut fleet = Fleet::new(0).await;
    fleet.add_first_node("orders", 2).await;
    let mut stream = connect(fleet.callers(0), SEND_BUFFER).await;
    stream.write_all(&request("large", &vec![b'x'; MAX_BODY])).await.expect("bytes sent");
    let mut response = vec![];
    while response.len() < MAX_BODY {
        assert!(stream.read_buf(&mut response).await.expect("a response") > 0);
    }
    assert!(response.starts_with(b"HTTP/1.1 200"));
    for id in ["p-00", "p-01"] {
        fleet.fake_platform.pause(id, Duration::from_secs(2));
    }
    stream.write_all(&request("running", b"a body")).await.expect("bytes sent");
    let running = fleet.nodes[0].cx.running.clone();
    eventually(|| running.get() > 0).await;
    let sent = send_until_blocked(&mut stream).await;
    assert!(sent <= MAX_UNREAD, "{sent} bytes were sent behind a running request");
}

/// A caller whose body is refused must not make the node read on for as long as it sends.
#[tokio::test]
async fn discarded_bytes_after_a_refusal_stay_bounded() {
    let mut fleet = Fleet::new(0).await;
    fleet.add_first_node("orders", 2).await;
    let mut stream = connect(fleet.callers(0), LARGE_SEND_BUFFER).await;
    let head = "POST /book/x HTTP/1.1\r\nHost: a.example\r\nApi-Key: key-1\r\nX-Request-Id: r\r\n\
                Content-Length: 1000000000000\r\n\r\n";
    stream.write_all(head.as_bytes()).await.expect("bytes sent");
    let (bytes, mut sent) = (vec![b'x'; 64 << 10], 0);
    while let Ok(written) = stream.write(&bytes).await {
        sent += written;
    }
    assert!(sent <= MAX_BODY + MAX_BUFFERED, "{sent} bytes were sent after a refusal");
    assert_eq!(Call::new(Method::GET, "/look/x").status(fleet.callers(0)).await, 200);
}
