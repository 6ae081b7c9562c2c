//! Tests of the connections of a listener at its limit.

use guavaladder_lib::http_server::HttpListener;
use salvo::Router;
use salvo::handler;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

const MAX_CONNECTIONS: usize = 16;
const GET: &[u8] = b"GET / HTTP/1.1\r\nHost: a.example\r\n\r\n";

#[handler]
async fn ok() -> &'static str {
    "ok"
}

async fn is_answered(stream: &mut TcpStream) -> bool {
    let mut buf = [0; 1024];
    let read = timeout(Duration::from_secs(5), stream.read(&mut buf)).await;
    matches!(read, Ok(Ok(len)) if buf[..len].starts_with(b"HTTP/1.1 200"))
}

async fn open_idle(to: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(to).await.unwrap();
    stream.write_all(GET).await.unwrap();
    assert!(is_answered(&mut stream).await);
    stream
}

/// A connection whose request is on its way is newer than idle ones.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn new_connection_gives_its_place_before_idle_ones() {
    let listener = HttpListener::bind("caller_listen", "127.0.0.1:0").await.unwrap();
    let to = listener.local_addr().unwrap();
    let server = listener.serve(Router::new().get(ok), MAX_CONNECTIONS);
    let mut idle = vec![];
    for _ in 0..MAX_CONNECTIONS {
        idle.push(open_idle(to).await);
    }
    let mut first = TcpStream::connect(to).await.unwrap();
    sleep(Duration::from_millis(20)).await;
    for _ in 0..3 {
        idle.push(open_idle(to).await);
    }
    sleep(Duration::from_millis(20)).await;
    let _ = first.write_all(GET).await;
    assert!(is_answered(&mut first).await, "the connection was closed before its request");
    drop(idle);
    server.stop(Duration::from_secs(1)).await;
}
