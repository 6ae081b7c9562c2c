//! Tests of answers that arrive before their request was sent completely.

use bytes::Bytes;
use guavaladder_serving::connection::Connection;
use guavaladder_serving::network::Network;
use http::Request;
use http_body_util::Full;
use rstest::rstest;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::time::sleep;

/// Number of requests, some of which meet the reset while they are being sent.
const REQUESTS: usize = 40;
const REFUSAL: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n";

/// Starts a server that refuses each request once it has read `read` bytes, and closes the connection `delay`
/// later. The bytes that it has not read make that a reset.
async fn start_server(read: usize, delay: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut buf = vec![0; read];
                let _ = stream.read_exact(&mut buf).await;
                let _ = stream.write_all(REFUSAL).await;
                sleep(delay).await;
            });
        }
    });
    address
}

/// A replica refuses a long request before it has read it, and closes the connection.
#[rstest]
#[case::at_once(Duration::ZERO, 8 << 20)]
#[case::later(Duration::from_millis(5), 8 << 20)]
#[case::shorter(Duration::ZERO, 200 << 10)]
#[tokio::test]
async fn reset_hides_the_refusal_of_a_long_request(#[case] delay: Duration, #[case] len: usize) {
    let address = start_server(100, delay).await;
    let mut lost = vec![];
    for _ in 0..REQUESTS {
        let opened = Connection::open(&Network::Tcp, address, Duration::from_secs(1)).await;
        let mut connection = opened.expect("a connection");
        let body = Full::new(Bytes::from(vec![b'x'; len]));
        let req = Request::post("/book/x").header("host", "a.example").body(body);
        match connection.send(req.expect("a request")).await {
            Ok(response) => assert_eq!(response.status(), 503),
            Err(e) => lost.push(e.to_string()),
        }
    }
    lost.sort();
    lost.dedup_by(|a, b| a == b);
    assert!(lost.is_empty(), "{lost:?}");
}
