//! The HTTP listeners of a daemon: bounded in connections, header size and time.

use salvo::Router;
use salvo::Server;
use salvo::Service;
use salvo::conn::tcp::TcpAcceptor;
use salvo::fuse::FuseConfig;
use salvo::server::ServerHandle;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::task::JoinHandle;

/// Largest request head in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Most headers of a request.
const MAX_HEADERS: usize = 64;
/// Longest time to send a request head; it also bounds an idle connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest pause between two parts of a request body.
const BODY_PAUSE: Duration = Duration::from_secs(10);
/// Connections that may wait to be accepted.
const BACKLOG: u32 = 4096;
/// Longest time that the other end may leave a written part of an answer unread.
const WRITE_STALL: Duration = Duration::from_secs(30);

/// Errors of a listener.
#[derive(Debug, thiserror::Error)]
pub enum ListenError {
    /// Another process listens there.
    #[error(
        "{setting}: {address} is in use; hint: stop the process that listens there or choose \
         another port"
    )]
    Busy {
        /// Setting that holds the address.
        setting: &'static str,
        /// Address.
        address: String,
    },
    /// The address can't be listened on.
    #[error(
        "{setting}: can't listen on {address} ({reason}); hint: use an address of this instance"
    )]
    Unusable {
        /// Setting that holds the address.
        setting: &'static str,
        /// Address.
        address: String,
        /// What was seen.
        reason: String,
    },
}

impl ListenError {
    /// Words an error of the operating system about the address in a setting.
    pub fn with_io(setting: &'static str, address: &str, e: &io::Error) -> Self {
        let address = address.to_string();
        match e.kind() {
            io::ErrorKind::AddrInUse => Self::Busy { setting, address },
            _ => Self::Unusable { setting, address, reason: e.to_string() },
        }
    }
}

/// An HTTP listener that is bound and does not accept yet.
#[derive(Debug)]
pub struct HttpListener {
    acceptor: TcpAcceptor,
}

/// A running HTTP server.
#[derive(Debug)]
pub struct HttpServer {
    address: Option<SocketAddr>,
    handle: ServerHandle,
    task: JoinHandle<io::Result<()>>,
}

impl HttpListener {
    /// Binds the address that a setting holds.
    pub async fn bind(setting: &'static str, address: &str) -> Result<Self, ListenError> {
        let refused = |e: &io::Error| ListenError::with_io(setting, address, e);
        let listener = listen(address).map_err(|e| refused(&e))?;
        let acceptor = TcpAcceptor::try_from(listener).map_err(|e| refused(&e))?;
        Ok(Self { acceptor })
    }

    /// Returns the bound address.
    pub fn local_addr(&self) -> Option<SocketAddr> {
        self.acceptor.local_addr().ok()
    }

    /// Starts to serve a router with at most this many connections at once.
    pub fn serve(self, router: Router, max_connections: usize) -> HttpServer {
        let address = self.local_addr();
        let fuse = FuseConfig::default()
            .with_http1_header_timeout(HEAD_TIMEOUT)
            .with_request_body_timeout(BODY_PAUSE)
            .with_write_stall_timeout(WRITE_STALL);
        let mut server =
            Server::new(self.acceptor).fuse_config(fuse).max_connections(max_connections);
        server.http1_mut().max_buf_size(MAX_HEAD_BYTES).max_headers(MAX_HEADERS);
        let handle = server.handle();
        let task = tokio::spawn(server.try_serve(Service::new(router)));
        HttpServer { address, handle, task }
    }
}

/// Listens with options that the accepted connections inherit.
///
/// Without `TCP_NODELAY` the end of a chunked answer waits for the delayed acknowledgement of the
/// part before it, some 40 ms.
fn listen(address: &str) -> io::Result<TcpListener> {
    let address: SocketAddr = address
        .parse()
        .map_err(|_| io::Error::new(io::ErrorKind::InvalidInput, "not an address as ip:port"))?;
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

impl HttpServer {
    /// Returns the address that it listens on.
    pub fn local_addr(&self) -> Option<SocketAddr> {
        self.address
    }

    /// Stops accepting, lets running requests finish within `bound`, and ends.
    pub async fn stop(self, bound: Duration) {
        self.handle.stop_graceful(bound);
        let _ = self.task.await;
    }
}
