//! Tests of which connections of a listener are closed for new ones.

use bytes::Bytes;
use futures_util::stream::unfold;
use guavaladder_lib::http_server::HttpListener;
use salvo::Router;
use salvo::handler;
use salvo::http::Response;
use std::convert::Infallible;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Longest time that a test waits for a response.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
const PARTS: usize = 20;

struct SlowStream;

#[handler]
impl SlowStream {
    async fn handle(&self, res: &mut Response) {
        res.stream(unfold(0, |sent| async move {
            sleep(Duration::from_millis(50)).await;
            (sent < PARTS).then(|| (Ok::<Bytes, Infallible>(Bytes::from_static(b"part")), sent + 1))
        }));
    }
}

/// A response that is being sent is cut when its client has begun to send the next request.
#[tokio::test]
async fn response_is_cut_for_new_connection_since_its_client_sends_next_request() {
    let listener = HttpListener::bind("caller_listen", "127.0.0.1:0").await.unwrap();
    let server = listener.serve(Router::with_path("slow").get(SlowStream), 1);
    let address = server.local_addr().unwrap();
    let mut client = TcpStream::connect(address).await.unwrap();
    client.write_all(b"GET /slow HTTP/1.1\r\nHost: a\r\n\r\n").await.unwrap();
    let mut received = vec![0; 1024];
    let len = client.read(&mut received).await.unwrap();
    received.truncate(len);
    client.write_all(b"GET /slow HTTP/1.1\r\n").await.unwrap();
    sleep(Duration::from_millis(200)).await;

    let mut other = TcpStream::connect(address).await.unwrap();
    other.write_all(b"GET /slow HTTP/1.1\r\nHost: a\r\n\r\n").await.unwrap();

    let end = b"0\r\n\r\n";
    let whole = async {
        while !received.ends_with(end) {
            if !matches!(client.read_buf(&mut received).await, Ok(len) if len > 0) {
                break;
            }
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, whole).await.unwrap();
    let text = String::from_utf8_lossy(&received);
    assert_eq!(text.matches("part").count(), PARTS, "{text}");
    assert!(received.ends_with(end), "{text}");
}
