//! The HTTP listeners of a node, bounded in connections, header size and idle time.

use crate::answer_body::AnswerBody;
use crate::directory;
use crate::front;
use crate::refusal;
use crate::serving_cx::ServingCx;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use socket2::Domain;
use socket2::Socket;
use socket2::Type;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// New connections that may wait to be accepted.
const BACKLOG: i32 = 1024;
/// Pause after accepting failed, as for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Time added to the callers' idle time-out, so that a caller closes first.
const IDLE_SLACK: Duration = Duration::from_secs(2);

/// What a listener serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListenerRole {
    /// Requests of callers.
    Callers,
    /// Questions whether the node is ready, and for addresses.
    Directory,
    /// Metrics as text.
    Metrics,
}

/// Errors of binding a listener.
#[derive(Debug, thiserror::Error)]
#[error("{address}: {source}; hint: look for another process that uses the address")]
pub struct BindError {
    address: SocketAddr,
    source: io::Error,
}

/// Counts of the requests that run, for a graceful shutdown.
#[derive(Debug, Clone, Default)]
pub struct RunningRequests(Arc<AtomicUsize>);

/// Holds the count of one request until dropped.
#[derive(Debug)]
pub struct RunningRequest(RunningRequests);

impl RunningRequests {
    /// Returns a count of none.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of requests that run.
    pub fn get(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }

    /// Counts a request until the returned value is dropped.
    pub fn enter(&self) -> RunningRequest {
        self.0.fetch_add(1, Ordering::Relaxed);
        RunningRequest(self.clone())
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Binds a listener.
pub fn bind(address: SocketAddr) -> Result<TcpListener, BindError> {
    let listen = || -> io::Result<TcpListener> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        socket.listen(BACKLOG)?;
        TcpListener::from_std(socket.into())
    };
    listen().map_err(|source| BindError { address, source })
}

/// Accepts connections until `closing`, and ends idle ones then.
pub async fn serve(
    cx: ServingCx,
    listener: TcpListener,
    role: ListenerRole,
    closing: CancellationToken,
) {
    let max_connections = cx.settings.max_descriptors / 2;
    let connections = Arc::new(AtomicUsize::new(0));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = closing.cancelled() => return,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(e) => {
                log::debug!("accepting failed: {e}");
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if connections.load(Ordering::Relaxed) >= max_connections {
            log::debug!("a connection was refused: {max_connections} are open");
            continue;
        }
        connections.fetch_add(1, Ordering::Relaxed);
        let (cx, closing, connections) = (cx.clone(), closing.clone(), connections.clone());
        tokio::spawn(async move {
            connection(cx, stream, role, closing).await;
            connections.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

/// Serves one connection to its end.
async fn connection(
    cx: ServingCx,
    stream: TcpStream,
    role: ListenerRole,
    closing: CancellationToken,
) {
    if let Err(e) = stream.set_nodelay(true) {
        log::debug!("no TCP_NODELAY: {e}");
    }
    let limits = cx.config.get().map(|table| table.config.limits).unwrap_or_default();
    let service = service_fn(|req| {
        let cx = cx.clone();
        async move { Ok::<_, Infallible>(answer(&cx, role, req).await) }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout + IDLE_SLACK)
        .max_buf_size((limits.max_header_bytes + 1024).max(8192));
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = closing.cancelled() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(e) = ended {
        log::debug!("a connection ended: {e}");
    }
}

async fn answer(
    cx: &ServingCx,
    role: ListenerRole,
    req: Request<Incoming>,
) -> Response<AnswerBody> {
    match role {
        ListenerRole::Callers => front::handle(cx, req).await,
        ListenerRole::Directory => directory::handle(cx, &req),
        ListenerRole::Metrics => {
            refusal::plain(http::StatusCode::OK, cx.metrics.render().trim_end())
        }
    }
}
