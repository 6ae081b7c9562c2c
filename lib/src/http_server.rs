//! HTTP listeners of a daemon, with limits on connections, header size and time.

use crate::connection_slots::ConnectionSlots;
use crate::lingering_stream::LingeringStream;
use crate::metrics::Metrics;
use crate::response_state::FlushRecorder;
use salvo::Router;
use salvo::Server;
use salvo::Service;
use salvo::conn::Accepted;
use salvo::conn::Acceptor;
use salvo::conn::Holding;
use salvo::conn::tcp::TcpAcceptor;
use salvo::conn::tcp::TcpCoupler;
use salvo::fuse::ArcFusePolicy;
use salvo::fuse::FuseConfig;
use salvo::server::ServerHandle;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Maximum size of a request head in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 64;
/// Timeout for receiving a request head; also the idle timeout of a connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout for each read of a request body.
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of connections that wait to be accepted.
const LISTEN_BACKLOG: u32 = 4096;
/// Receive buffer of a connection in bytes, so that the bytes which the node does not read are bounded.
const RECEIVE_BUFFER: u32 = 32 << 10;
/// Longest time for which a client may leave written response data unread.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Time for which connections are still accepted and served once they are to be closed, so that a request
/// that has already arrived is answered.
const CLOSE_DELAY: Duration = Duration::from_millis(50);

/// Maximum number of bytes that are discarded on one connection.
const MAX_DISCARDED_BYTES: usize = 8 << 20;

/// Errors of binding a listener.
#[derive(Debug, thiserror::Error)]
pub enum ListenError {
    /// Another process is listening on the address.
    #[error(
        "{setting}: {address} is in use; hint: stop the process that listens there or choose \
         another port"
    )]
    AddressInUse {
        /// Name of the setting with the address.
        setting: &'static str,
        /// Address that could not be bound.
        address: String,
    },
    /// The address can't be bound for another reason.
    #[error(
        "{setting}: can't listen on {address} ({reason}); hint: use an address of this instance"
    )]
    CannotBind {
        /// Name of the setting with the address.
        setting: &'static str,
        /// Address that could not be bound.
        address: String,
        /// Error of the operating system.
        reason: String,
    },
}

impl ListenError {
    /// Converts an I/O error of binding the address of a setting.
    pub fn from_io(setting: &'static str, address: &str, e: &io::Error) -> Self {
        let address = address.to_string();
        match e.kind() {
            io::ErrorKind::AddrInUse => Self::AddressInUse { setting, address },
            _ => Self::CannotBind { setting, address, reason: e.to_string() },
        }
    }
}

/// An HTTP listener that is bound but does not accept connections yet.
#[derive(Debug)]
pub struct HttpListener {
    acceptor: TcpAcceptor,
    metrics: Metrics,
}

/// Accepts connections as `LingeringStream`s, whose callers receive a response also if the server has not
/// read all that they sent.
struct LingeringAcceptor {
    acceptor: TcpAcceptor,
    slots: ConnectionSlots,
}

impl Acceptor for LingeringAcceptor {
    type Coupler = TcpCoupler<Self::Stream>;
    type Stream = LingeringStream<FlushRecorder<<TcpAcceptor as Acceptor>::Stream>>;

    fn holdings(&self) -> &[Holding] {
        self.acceptor.holdings()
    }

    async fn accept(
        &mut self,
        fuse_policy: Option<ArcFusePolicy>,
    ) -> io::Result<Accepted<Self::Coupler, Self::Stream>> {
        let accepted = self.acceptor.accept(fuse_policy).await?;
        let address = accepted.remote_addr.clone().into_std();
        let state = address.and_then(|address| self.slots.response_state(address));
        let to_stream = |stream| {
            let stream = FlushRecorder::new(stream, state.unwrap_or_default());
            LingeringStream::new(stream, MAX_DISCARDED_BYTES)
        };
        Ok(accepted.map_into(|_| TcpCoupler::new(), to_stream))
    }
}

/// A running HTTP server.
#[derive(Debug)]
pub struct HttpServer {
    address: Option<SocketAddr>,
    handle: ServerHandle,
    task: JoinHandle<io::Result<()>>,
}

impl HttpListener {
    /// Binds the address given in a setting.
    pub async fn bind(setting: &'static str, address: &str) -> Result<Self, ListenError> {
        let to_listen_error = |e: &io::Error| ListenError::from_io(setting, address, e);
        let listener = listen(address).map_err(|e| to_listen_error(&e))?;
        let acceptor = TcpAcceptor::try_from(listener).map_err(|e| to_listen_error(&e))?;
        Ok(Self { acceptor, metrics: Metrics::new() })
    }

    /// Counts the connections that are closed or refused in these metrics.
    pub fn with_metrics(self, metrics: Metrics) -> Self {
        Self { metrics, ..self }
    }

    /// Returns the bound address.
    pub fn local_addr(&self) -> Option<SocketAddr> {
        self.acceptor.local_addr().ok()
    }

    /// Starts to serve a router with at most `max_connections` concurrent connections.
    pub fn serve(self, router: Router, max_connections: usize) -> HttpServer {
        let address = self.local_addr();
        let fuse = FuseConfig::default()
            .with_http1_header_timeout(HEAD_TIMEOUT)
            .with_request_body_timeout(BODY_READ_TIMEOUT)
            .with_write_stall_timeout(WRITE_STALL_TIMEOUT);
        let slots = ConnectionSlots::new(max_connections, fuse, self.metrics);
        let router = Router::new().hoop(slots.tracker()).push(router);
        let acceptor = LingeringAcceptor { acceptor: self.acceptor, slots: slots.clone() };
        let mut server = Server::new(acceptor).fuse_policy(slots);
        server.http1_mut().max_buf_size(MAX_HEAD_BYTES).max_headers(MAX_HEADERS);
        let handle = server.handle();
        let task = tokio::spawn(server.try_serve(Service::new(router)));
        HttpServer { address, handle, task }
    }
}

/// Opens a listening socket whose options are inherited by the accepted connections.
///
/// Without `TCP_NODELAY`, the last chunk of a chunked response waits about 40 ms for the delayed
/// acknowledgement of the previous one.
fn listen(address: &str) -> io::Result<TcpListener> {
    let address: SocketAddr = address.parse().map_err(|_| {
        io::Error::new(io::ErrorKind::InvalidInput, "not an address of the form ip:port")
    })?;
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

impl HttpServer {
    /// Returns the address that the server listens on.
    pub fn local_addr(&self) -> Option<SocketAddr> {
        self.address
    }

    /// Serves the requests that have already arrived, stops accepting connections, and waits up to
    /// `timeout` until callers have received their responses.
    pub async fn stop(self, timeout: Duration) {
        let delay = CLOSE_DELAY.min(timeout);
        sleep(delay).await;
        self.handle.stop_graceful(timeout - delay);
        let _ = self.task.await;
    }
}
