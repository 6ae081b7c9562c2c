//! Client connections over HTTP/1.1, each driven by a task of its own.

use crate::network::Network;
use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use socket2::TcpKeepalive;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio::time::timeout;

/// Time without an acknowledgement after which the kernel gives a connection up.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(2);
/// Idle time after which the kernel probes a connection.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Time between two such probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes after which the kernel gives a connection up.
const KEEPALIVE_RETRIES: u32 = 1;
/// Largest head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 32 << 10;

/// Errors of opening a connection; nothing was sent.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ConnectError {
    /// The other side has no listener: its process does not run.
    #[error("the connection was refused")]
    Refused,
    /// No answer within the bound.
    #[error("no answer to the connection within {0:?}")]
    TimedOut(Duration),
    /// Any other error.
    #[error("the connection failed: {0}")]
    Failed(String),
}

/// Errors of a call whose request may have been sent.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// Nothing was sent.
    #[error(transparent)]
    NotSent(#[from] ConnectError),
    /// The request may have been sent, and there is no usable answer.
    #[error("no usable answer: {0}")]
    Unanswered(String),
}

/// An open connection, closed when dropped.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: Driver,
    /// When it was last used.
    pub last_used: Instant,
    /// How many requests were sent on it.
    pub uses: u32,
}

/// The task that moves the bytes of a connection; it ends with its handle.
#[derive(Debug)]
struct Driver(JoinHandle<()>);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Connection {
    /// Opens a connection.
    pub async fn open(
        network: &Network,
        address: SocketAddr,
        bound: Duration,
    ) -> Result<Self, ConnectError> {
        match network {
            Network::Tcp => Self::open_tcp(address, bound).await,
            Network::Pipes(pipes) => {
                let stream = pipes.connect(address).ok_or(ConnectError::Refused)?;
                Self::handshake(address, stream).await
            }
        }
    }

    async fn open_tcp(address: SocketAddr, bound: Duration) -> Result<Self, ConnectError> {
        let stream = match timeout(bound, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) if e.kind() == io::ErrorKind::ConnectionRefused => {
                return Err(ConnectError::Refused);
            }
            Ok(Err(e)) => return Err(ConnectError::Failed(e.to_string())),
            Err(_) => return Err(ConnectError::TimedOut(bound)),
        };
        if let Err(e) = set_options(&stream) {
            log::debug!("socket options of a connection to {address} were not set: {e}");
        }
        Self::handshake(address, stream).await
    }

    async fn handshake<S>(address: SocketAddr, stream: S) -> Result<Self, ConnectError>
    where
        S: AsyncRead + AsyncWrite + Send + Unpin + 'static,
    {
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_HEAD_BYTES);
        let failed = |e: hyper::Error| ConnectError::Failed(e.to_string());
        let (sender, connection) = builder.handshake(TokioIo::new(stream)).await.map_err(failed)?;
        let driver = tokio::spawn(async move {
            if let Err(e) = connection.await {
                log::debug!("connection to {address} ended: {e}");
            }
        });
        Ok(Self { sender, driver: Driver(driver), last_used: Instant::now(), uses: 0 })
    }

    /// Sends a request and waits for the head of the answer.
    pub async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, CallError> {
        self.last_used = Instant::now();
        self.uses += 1;
        self.sender.send_request(req).await.map_err(|e| CallError::Unanswered(describe(&e)))
    }

    /// Tells whether the other side has closed the connection, or sent what nobody asked for.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed() || self.driver.0.is_finished()
    }

    /// Tells whether a request can be sent at once.
    pub fn is_ready(&self) -> bool {
        !self.is_closed() && self.sender.is_ready()
    }

    /// Waits until the last answer has been read to its end and a request can be sent.
    pub async fn ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }
}

/// Makes one call on a new connection and reads its whole answer.
pub async fn call_once(
    network: &Network,
    address: SocketAddr,
    req: Request<Full<Bytes>>,
    connect_bound: Duration,
    bound: Duration,
    max_bytes: usize,
) -> Result<Response<Bytes>, CallError> {
    let mut connection = Connection::open(network, address, connect_bound).await?;
    call(&mut connection, req, bound, max_bytes).await
}

/// Makes one call and reads its whole answer.
pub async fn call(
    connection: &mut Connection,
    req: Request<Full<Bytes>>,
    bound: Duration,
    max_bytes: usize,
) -> Result<Response<Bytes>, CallError> {
    let answered = async {
        let (parts, body) = connection.send(req).await?.into_parts();
        let body = Limited::new(body, max_bytes).collect().await;
        let body = body.map_err(|e| CallError::Unanswered(e.to_string()))?;
        Ok(Response::from_parts(parts, body.to_bytes()))
    };
    let late = || CallError::Unanswered(format!("none within {} ms", bound.as_millis()));
    timeout(bound, answered).await.unwrap_or_else(|_| Err(late()))
}

fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
}

/// Words an error of the HTTP library with its source.
fn describe(e: &hyper::Error) -> String {
    match std::error::Error::source(e) {
        Some(source) => format!("{e}: {source}"),
        None => e.to_string(),
    }
}
