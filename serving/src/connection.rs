//! HTTP/1.1 client connections, each driven by its own task.

use crate::descriptor_budget::UpstreamDescriptor;
use crate::network::Network;
use bytes::Bytes;
use guavaladder_lib::limited_body;
use guavaladder_lib::metered_stream::MeteredStream;
use guavaladder_lib::metered_stream::ReadAllowance;
use http::Request;
use http::Response;
use http_body_util::Full;
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

/// Time without an acknowledgement after which the kernel closes a connection.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(2);
/// Idle time after which the kernel sends TCP keep-alive probes.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Interval between keep-alive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unacknowledged keep-alive probes after which the kernel closes a connection.
const KEEPALIVE_RETRIES: u32 = 1;
/// Largest response head, in bytes.
const MAX_HEAD_BYTES: usize = 32 << 10;

/// Errors of opening a connection; the request was not sent.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ConnectError {
    /// Nothing listens on the address, so the process is not running.
    #[error("the connection was refused")]
    Refused,
    /// The connection was not established within the time limit.
    #[error("the connection was not established within {0:?}")]
    TimedOut(Duration),
    /// This process has no file descriptor for the connection.
    #[error("no file descriptor is left")]
    NoDescriptors,
    /// The connection failed for another reason.
    #[error("the connection failed: {0}")]
    Failed(String),
}

/// Errors of an HTTP call.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// The request was not sent.
    #[error(transparent)]
    NotSent(#[from] ConnectError),
    /// The request may have been sent, but no valid response was received.
    #[error("no valid response: {0}")]
    NoResponse(String),
}

/// An open connection; dropping it closes it.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: Driver,
    allowance: ReadAllowance,
    /// Descriptor of the connection; `None` if it counts towards no budget.
    _descriptor: Option<UpstreamDescriptor>,
    /// Time at which the connection was opened or a request was last sent on it.
    pub last_used: Instant,
    /// Number of requests sent on the connection.
    pub uses: u32,
}

/// Handle of the task that performs the connection's I/O; dropping it aborts the task.
#[derive(Debug)]
struct Driver(JoinHandle<()>);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Connection {
    /// Opens a connection and performs the HTTP/1.1 handshake.
    pub async fn open(
        network: &Network,
        address: SocketAddr,
        time_limit: Duration,
    ) -> Result<Self, ConnectError> {
        match network {
            Network::Tcp => Self::open_tcp(address, time_limit).await,
            Network::Pipes(pipes) => {
                let stream = pipes.connect(address).ok_or(ConnectError::Refused)?;
                Self::handshake(address, stream).await
            }
        }
    }

    async fn open_tcp(address: SocketAddr, time_limit: Duration) -> Result<Self, ConnectError> {
        let stream = match timeout(time_limit, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) if e.kind() == io::ErrorKind::ConnectionRefused => {
                return Err(ConnectError::Refused);
            }
            Ok(Err(e)) if is_out_of_descriptors(&e) => return Err(ConnectError::NoDescriptors),
            Ok(Err(e)) => return Err(ConnectError::Failed(e.to_string())),
            Err(_) => return Err(ConnectError::TimedOut(time_limit)),
        };
        if let Err(e) = set_options(&stream) {
            log::debug!("failed to set socket options on the connection to {address}: {e}");
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
        let allowance = ReadAllowance::new();
        let stream = TokioIo::new(MeteredStream::new(stream, allowance.clone()));
        let (sender, connection) = builder.handshake(stream).await.map_err(failed)?;
        let driver = tokio::spawn(async move {
            if let Err(e) = connection.await {
                log::debug!("connection to {address} ended: {e}");
            }
        });
        let driver = Driver(driver);
        Ok(Self {
            sender,
            driver,
            allowance,
            _descriptor: None,
            last_used: Instant::now(),
            uses: 0,
        })
    }

    /// Keeps the descriptor of the connection until it is closed.
    pub fn with_descriptor(self, descriptor: UpstreamDescriptor) -> Self {
        Self { _descriptor: Some(descriptor), ..self }
    }

    /// Sends a request and waits for the response head.
    pub async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, CallError> {
        self.last_used = Instant::now();
        self.uses += 1;
        self.allowance.reset();
        self.sender.send_request(req).await.map_err(|e| CallError::NoResponse(with_source(&e)))
    }

    /// Records that `len` bytes of the response's body were taken, so that the peer may send more.
    pub fn record_data(&self, len: usize) {
        self.allowance.record_data(len);
    }

    /// Returns whether the connection is closed, by the peer or because the peer sent unsolicited data.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed() || self.driver.0.is_finished()
    }

    /// Returns whether a request can be sent without waiting.
    pub fn is_ready(&self) -> bool {
        !self.is_closed() && self.sender.is_ready()
    }

    /// Waits until the last response has been read completely and another request can be sent;
    /// returns false if the connection closed instead.
    pub async fn ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }
}

/// Sends a request on a new connection and reads the whole response.
pub async fn call_once(
    network: &Network,
    address: SocketAddr,
    req: Request<Full<Bytes>>,
    connect_timeout: Duration,
    time_limit: Duration,
    max_bytes: usize,
) -> Result<Response<Bytes>, CallError> {
    let mut connection = Connection::open(network, address, connect_timeout).await?;
    call(&mut connection, req, time_limit, max_bytes).await
}

/// Sends a request and reads the whole response.
pub async fn call(
    connection: &mut Connection,
    req: Request<Full<Bytes>>,
    time_limit: Duration,
    max_bytes: usize,
) -> Result<Response<Bytes>, CallError> {
    let exchange = async {
        let (parts, body) = connection.send(req).await?.into_parts();
        let body =
            limited_body::read_with(body, max_bytes, |len| connection.record_data(len)).await;
        let body = body.map_err(|e| CallError::NoResponse(e.to_string()))?;
        Ok(Response::from_parts(parts, body))
    };
    let timed_out =
        || CallError::NoResponse(format!("timed out after {} ms", time_limit.as_millis()));
    timeout(time_limit, exchange).await.unwrap_or_else(|_| Err(timed_out()))
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

/// Returns whether the process or the system has no descriptor left.
fn is_out_of_descriptors(e: &io::Error) -> bool {
    const ENFILE: i32 = 23;
    const EMFILE: i32 = 24;
    matches!(e.raw_os_error(), Some(ENFILE | EMFILE))
}

/// Formats an error of hyper together with its source.
fn with_source(e: &hyper::Error) -> String {
    match std::error::Error::source(e) {
        Some(source) => format!("{e}: {source}"),
        None => e.to_string(),
    }
}
