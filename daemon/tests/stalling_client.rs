//! Clients that send requests which do not end, or do not read the answers, and keep their connections.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Pause before a client whose connection was closed connects again.
const RECONNECT_DELAY: Duration = Duration::from_millis(500);
/// Receive buffer of a client that does not read, in bytes.
const SMALL_BUFFER: u32 = 4096;
/// Longest time for which the clients are waited for until each has sent its request once.
const SEND_TIMEOUT: Duration = Duration::from_secs(50);

/// A request, which need not be complete.
#[derive(Debug, Clone, Default)]
pub struct RawRequest {
    head: String,
    body: Vec<u8>,
}

impl RawRequest {
    /// Returns a request without headers other than those that all requests have.
    pub fn new(method: &str, path: &str) -> Self {
        let head = format!("{method} {path} HTTP/1.1\r\nHost: a.example\r\nX-Model: m0\r\n");
        Self { head, body: vec![] }
    }

    /// Adds a header.
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.head.push_str(&format!("{name}: {value}\r\n"));
        self
    }

    /// Adds bytes behind the head.
    pub fn with_body(mut self, body: &[u8]) -> Self {
        self.body.extend_from_slice(body);
        self
    }

    /// Returns the request with an id of its own and without the end of its head.
    pub fn to_open_head(&self) -> Vec<u8> {
        static NEXT_ID: AtomicU64 = AtomicU64::new(1 << 40);
        let id = NEXT_ID.fetch_add(1, Ordering::Relaxed);
        format!("{}X-Request-Id: {id:016x}\r\n", self.head).into_bytes()
    }

    /// Returns the request with an id of its own.
    pub fn to_bytes(&self) -> Vec<u8> {
        [self.to_open_head().as_slice(), b"\r\n", &self.body].concat()
    }
}

/// What a client sends first on a connection.
#[derive(Debug, Clone, Default)]
enum FirstBytes {
    #[default]
    Nothing,
    OpenHead(RawRequest),
    Request(Arc<RawRequest>),
}

/// What a client sends on each of its connections.
#[derive(Debug, Clone, Default)]
pub struct StallingClient {
    first: FirstBytes,
    /// Size of the parts of the request, in bytes, with a pause after each; it is sent at once if absent.
    parts: Option<(usize, Duration)>,
    /// Bytes that are sent afterwards again and again until the connection fails.
    tail: Vec<u8>,
    /// Pause after each tail.
    tail_interval: Duration,
    /// Whether the client leaves all answers unread.
    is_deaf: bool,
}

impl StallingClient {
    /// Returns a client that sends a request and waits.
    pub fn new(request: RawRequest) -> Self {
        Self { first: FirstBytes::Request(Arc::new(request)), ..Self::default() }
    }

    /// Returns a client that sends nothing.
    pub fn silent() -> Self {
        Self::default()
    }

    /// Returns a client that sends a head without its end.
    pub fn with_open_head(request: RawRequest) -> Self {
        Self { first: FirstBytes::OpenHead(request), ..Self::default() }
    }

    /// Sends the request in parts, with a pause after each.
    pub fn in_parts(self, len: usize, interval: Duration) -> Self {
        Self { parts: Some((len, interval)), ..self }
    }

    /// Sends these bytes after the request until the connection fails.
    pub fn with_tail(self, tail: Vec<u8>) -> Self {
        Self { tail, ..self }
    }

    /// Makes a pause after each tail.
    pub fn with_tail_interval(self, tail_interval: Duration) -> Self {
        Self { tail_interval, ..self }
    }

    /// Leaves all answers unread.
    pub fn deaf(self) -> Self {
        Self { is_deaf: true, ..self }
    }

    async fn connect_once(&self, to: SocketAddr, sent: &AtomicUsize) -> io::Result<()> {
        let socket = TcpSocket::new_v4()?;
        if self.is_deaf {
            socket.set_recv_buffer_size(SMALL_BUFFER)?;
        }
        let (read, write) = socket.connect(to).await?.into_split();
        tokio::select! {
            result = self.write(write, sent) => result,
            result = self.read(read) => result,
        }
    }

    async fn write(&self, mut stream: OwnedWriteHalf, sent: &AtomicUsize) -> io::Result<()> {
        let first = match &self.first {
            FirstBytes::Nothing => vec![],
            FirstBytes::OpenHead(request) => request.to_open_head(),
            FirstBytes::Request(request) => request.to_bytes(),
        };
        match self.parts {
            None => stream.write_all(&first).await?,
            Some((len, interval)) => {
                for part in first.chunks(len) {
                    stream.write_all(part).await?;
                    sleep(interval).await;
                }
            }
        }
        sent.fetch_add(1, Ordering::Relaxed);
        while !self.tail.is_empty() {
            stream.write_all(&self.tail).await?;
            sleep(self.tail_interval).await;
        }
        std::future::pending().await
    }

    /// Reads until the other side closes; a client that sends without end does not stop then.
    async fn read(&self, mut stream: OwnedReadHalf) -> io::Result<()> {
        let mut buf = [0; 4096];
        while !self.is_deaf && stream.read(&mut buf).await? > 0 {}
        match self.is_deaf || !self.tail.is_empty() {
            true => std::future::pending().await,
            false => Ok(()),
        }
    }
}

/// Clients that run until they are dropped. Each connects again when its connection is closed.
pub struct StallingClients {
    count: usize,
    sent: Arc<AtomicUsize>,
    _tasks: JoinSet<()>,
}

impl StallingClients {
    /// Starts clients of one kind.
    pub fn start(client: &StallingClient, to: SocketAddr, count: usize) -> Self {
        let sent = Arc::new(AtomicUsize::new(0));
        let mut tasks = JoinSet::new();
        for _ in 0..count {
            let (client, sent) = (client.clone(), sent.clone());
            tasks.spawn(async move {
                loop {
                    // The other side may refuse or close any connection.
                    let _ = client.connect_once(to, &sent).await;
                    sleep(RECONNECT_DELAY).await;
                }
            });
        }
        Self { count, sent, _tasks: tasks }
    }

    /// Waits until as many requests have been sent as there are clients, but not without end, since the
    /// other side may stop reading.
    pub async fn wait_until_sent(&self) {
        let start = Instant::now();
        while self.sent.load(Ordering::Relaxed) < self.count && start.elapsed() < SEND_TIMEOUT {
            sleep(Duration::from_millis(20)).await;
        }
    }
}
