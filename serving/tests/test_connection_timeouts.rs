//! Tests of the times for which connections of callers stay open.

use crate::fleet::Fleet;
use guavaladder_platform_testutils::config;
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

const HEAD: &[u8] = b"GET /look/x HTTP/1.1\r\nHost: a.example\r\nApi-Key: key-1\r\n\
    X-Request-Id: r\r\nX-Deadline-Ms: 2000\r\n\r\n";

async fn fleet_with_header_timeout(header_timeout: Duration) -> (Fleet, SocketAddr) {
    fleet_with_timeouts(header_timeout, Duration::from_secs(60)).await
}

async fn fleet_with_timeouts(
    header_timeout: Duration,
    idle_timeout: Duration,
) -> (Fleet, SocketAddr) {
    let mut fleet = Fleet::new(0).await;
    let mut configuration = config(6);
    configuration["limits"] = json!({
        "headerTimeoutMs": header_timeout.as_millis() as u64, "idleTimeoutMs": idle_timeout.as_millis() as u64,
    });
    fleet.store.put("config", "main", configuration);
    fleet.add_first_node("orders", 2).await;
    let to = fleet.callers(0);
    (fleet, to)
}

/// Reads until a response head has been received.
async fn read_response(stream: &mut TcpStream) -> String {
    let mut response = vec![];
    while !String::from_utf8_lossy(&response).contains("\r\n\r\n") {
        let mut buf = [0; 1024];
        let read = timeout(Duration::from_secs(10), stream.read(&mut buf)).await;
        let read = read
            .unwrap_or_else(|_| panic!("{}", String::from_utf8_lossy(&response)))
            .expect("an open connection");
        assert!(read > 0, "closed after {:?}", String::from_utf8_lossy(&response));
        response.extend_from_slice(&buf[..read]);
    }
    String::from_utf8_lossy(&response).into_owned()
}

/// An unfinished head must not hold its connection for as long as an idle connection may stay.
#[tokio::test]
async fn unfinished_head_is_closed_after_the_header_timeout() {
    let (_fleet, to) = fleet_with_header_timeout(Duration::from_millis(300)).await;
    let mut first = TcpStream::connect(to).await.expect("a connection");
    first.write_all(&HEAD[..30]).await.expect("bytes sent");
    let mut second = TcpStream::connect(to).await.expect("a connection");
    second.write_all(HEAD).await.expect("bytes sent");
    read_response(&mut second).await;
    second.write_all(&HEAD[..30]).await.expect("bytes sent");
    for mut stream in [first, second] {
        let closed = timeout(Duration::from_secs(20), stream.read(&mut [0; 64])).await;
        assert!(matches!(closed.expect("a closed connection"), Ok(0) | Err(_)));
    }
}

/// The time before the first byte of a head does not count, and neither does that of earlier requests.
#[tokio::test]
async fn idle_connection_outlives_the_header_timeout() {
    let (_fleet, to) = fleet_with_header_timeout(Duration::from_millis(1)).await;
    let mut stream = TcpStream::connect(to).await.expect("a connection");
    for _ in 0..2 {
        sleep(Duration::from_secs(4)).await;
        let (begin, end) = HEAD.split_at(30);
        stream.write_all(begin).await.expect("bytes sent");
        sleep(Duration::from_millis(100)).await;
        stream.write_all(end).await.expect("bytes sent");
        assert!(read_response(&mut stream).await.starts_with("HTTP/1.1 200"));
    }
}

#[tokio::test]
async fn idle_connection_is_closed_after_the_idle_timeout() {
    let idle_timeout = Duration::from_millis(300);
    let (_fleet, to) = fleet_with_timeouts(Duration::from_secs(60), idle_timeout).await;
    let unused = TcpStream::connect(to).await.expect("a connection");
    let mut used = TcpStream::connect(to).await.expect("a connection");
    for _ in 0..2 {
        sleep(idle_timeout).await;
        used.write_all(HEAD).await.expect("bytes sent");
        assert!(read_response(&mut used).await.starts_with("HTTP/1.1 200"));
    }
    for mut stream in [unused, used] {
        let closed = timeout(Duration::from_secs(20), stream.read(&mut [0; 64])).await;
        assert!(matches!(closed.expect("a closed connection"), Ok(0)));
    }
}
