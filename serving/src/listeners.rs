//! HTTP listeners of a node, with limits on connections, header size and idle time.

use crate::connection_pressure::ConnectionPressure;
use crate::connection_state::ConnectionPhase;
use crate::connection_state::ConnectionState;
use crate::connection_state::RecordedBody;
use crate::connection_table::ConnectionPlace;
use crate::connection_table::ConnectionTable;
use crate::connection_timer::ConnectionTimer;
use crate::descriptor_budget::DescriptorBudget;
use crate::directory;
use crate::fleet_config::CallerLimits;
use crate::local_response;
use crate::recorded_stream::RecordedStream;
use crate::request_handler;
use crate::response_body::ResponseBody;
use crate::serving_cx::ServingCx;
use guavaladder_lib::lingering_stream::LingeringStream;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::header;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use socket2::Domain;
use socket2::Socket;
use socket2::Type;
use std::convert::Infallible;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Maximum number of connections that wait to be accepted.
const ACCEPT_BACKLOG: i32 = 1024;
/// Largest receive buffer of an accepted connection, which the kernel doubles. Without a limit, the buffer grows to
/// megabytes, which the process holds while it does not read.
const MAX_RECEIVE_BUFFER: usize = 64 << 10;
/// Smallest receive buffer of an accepted connection.
const MIN_RECEIVE_BUFFER: usize = 4 << 10;
/// Divisor of the memory that the receive buffers of all connections take, before the kernel doubles them.
const RECEIVE_BUFFERS_PART: usize = 12;
/// Delay after a failed `accept`, for example when no file descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time for which a connection is still served once it is to be closed, so that a request that has already
/// arrived is answered.
const CLOSE_DELAY: Duration = Duration::from_millis(50);
/// Time added to the idle timeout of callers, so that the caller closes an idle connection first.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_secs(2);

/// Time added to the timeout of request heads, so that a caller within it is served whatever the delay of the
/// network.
const HEADER_TIMEOUT_MARGIN: Duration = Duration::from_secs(2);

/// Kind of requests that a listener serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListenerRole {
    /// Requests of callers.
    Callers,
    /// Requests of callers that other nodes pass on.
    Relay,
    /// Readiness probes of the platform.
    Readiness,
    /// Resolve queries of callers.
    Directory,
    /// Metrics in text format.
    Metrics,
}

impl ListenerRole {
    /// Returns the label of the listener in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Callers => "callers",
            Self::Relay => "relay",
            Self::Readiness => "readiness",
            Self::Directory => "directory",
            Self::Metrics => "metrics",
        }
    }

    fn new_table(self, descriptors: &DescriptorBudget) -> ConnectionTable {
        let shares = descriptors.shares;
        let table = |max_connections| ConnectionTable::new(self.label(), max_connections);
        match self {
            Self::Callers => ConnectionTable::with_shared(self.label(), descriptors.clone()),
            Self::Relay => table(shares.relay),
            Self::Readiness => table(shares.readiness),
            Self::Directory => table(shares.directory),
            Self::Metrics => table(shares.metrics),
        }
    }
}

/// Error of binding a listener.
#[derive(Debug, thiserror::Error)]
#[error(
    "failed to listen on {address}: {source}; hint: check whether another process uses the address"
)]
pub struct BindError {
    address: SocketAddr,
    source: io::Error,
}

/// Shared counter of the running requests, for which a graceful shutdown waits.
#[derive(Debug, Clone, Default)]
pub struct RunningRequests(Arc<AtomicUsize>);

/// Guard that counts one request as running until it is dropped.
#[derive(Debug)]
pub struct RunningRequestGuard(RunningRequests);

impl RunningRequests {
    /// Returns a counter at zero.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of running requests.
    pub fn get(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }

    /// Counts a request as running until the returned guard is dropped.
    pub fn begin_request(&self) -> RunningRequestGuard {
        self.0.fetch_add(1, Ordering::Relaxed);
        RunningRequestGuard(self.clone())
    }
}

impl Drop for RunningRequestGuard {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Returns the size of the receive buffer of a connection, in bytes, for a process with `memory` bytes and
/// `connections` connections at most.
pub fn receive_buffer(memory: usize, connections: usize) -> usize {
    let share = memory / RECEIVE_BUFFERS_PART / connections.max(1);
    share.clamp(MIN_RECEIVE_BUFFER, MAX_RECEIVE_BUFFER)
}

/// Binds a TCP listener to an address, whose connections have receive buffers of this size.
pub fn bind(address: SocketAddr, receive_buffer: usize) -> Result<TcpListener, BindError> {
    let try_bind = || -> io::Result<TcpListener> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        // Accepted connections inherit the size.
        if let Err(e) = socket.set_recv_buffer_size(receive_buffer) {
            log::debug!("failed to set the size of receive buffers: {e}");
        }
        socket.bind(&address.into())?;
        socket.listen(ACCEPT_BACKLOG)?;
        TcpListener::from_std(socket.into())
    };
    try_bind().map_err(|source| BindError { address, source })
}

/// Accepts connections until `shutdown` is cancelled, then shuts the open ones down gracefully and waits
/// until they have closed.
pub async fn serve(
    cx: ServingCx,
    listener: TcpListener,
    role: ListenerRole,
    shutdown: CancellationToken,
) {
    let table = role.new_table(&cx.descriptors);
    cx.connections.add(table.clone());
    let mut pressure = ConnectionPressure::new(table.clone());
    let connections = TaskTracker::new();
    // The connections that wait to be accepted are served like the others before the listener closes.
    let closed = async {
        shutdown.cancelled().await;
        sleep(CLOSE_DELAY).await;
    };
    let mut closed = std::pin::pin!(closed);
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = &mut closed => break,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(e) => {
                log::debug!("failed to accept a connection: {e}");
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if table.is_full() && !pressure.make_room(&cx).await {
            continue;
        }
        connections.spawn(serve_connection(
            cx.clone(),
            stream,
            table.add(),
            role,
            shutdown.clone(),
        ));
    }
    drop(listener);
    connections.close();
    connections.wait().await;
}

/// Serves a connection until it closes.
async fn serve_connection(
    cx: ServingCx,
    stream: TcpStream,
    place: ConnectionPlace,
    role: ListenerRole,
    shutdown: CancellationToken,
) {
    if let Err(e) = stream.set_nodelay(true) {
        log::debug!("failed to set TCP_NODELAY: {e}");
    }
    let limits = cx.config.get().map(|table| table.config.limits).unwrap_or_default();
    let state = place.state.clone();
    let service = service_fn(|req| {
        let (cx, state) = (cx.clone(), state.clone());
        async move {
            let response = dispatch(&cx, &state, role, req).await;
            Ok::<_, Infallible>(response.map(|body| RecordedBody::new(body, state)))
        }
    });
    let mut builder = http1::Builder::new();
    // The timeout of hyper also counts the idle time before a head.
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size((limits.max_header_bytes + 1024).max(8192));
    let stream = RecordedStream::new(stream, state.clone());
    let stream = LingeringStream::new(stream, limits.max_body_bytes);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let closing = async {
        shutdown.cancelled().await;
        sleep(CLOSE_DELAY).await;
    };
    let mut closing = std::pin::pin!(closing);
    let mut is_closing = false;
    let mut timer = ConnectionTimer::new();
    loop {
        tokio::select! {
            biased;
            ended = connection.as_mut() => {
                if let Err(e) = ended {
                    log::debug!("connection closed with an error: {e}");
                }
                return;
            }
            () = closing.as_mut(), if !is_closing => {
                is_closing = true;
                connection.as_mut().graceful_shutdown();
            }
            () = state.close_requested() => {
                // A request may have been received since the connection was chosen.
                if state.is_waiting(Instant::now()) {
                    return;
                }
                state.answer_close();
            }
            () = poll_fn(|task_cx| timer.poll(task_cx, deadline(&state, &limits))) => {
                match state.phase(Instant::now()).0 {
                    ConnectionPhase::Head => {
                        cx.metrics.connection_closed(role.label(), "header_timeout");
                    }
                    ConnectionPhase::Unread => {
                        cx.metrics.connection_closed(role.label(), "unread_timeout");
                    }
                    _ => {}
                }
                return;
            }
        }
    }
}

/// Returns when a connection is closed unless its peer sends more.
fn deadline(state: &ConnectionState, limits: &CallerLimits) -> Option<Instant> {
    match state.phase(Instant::now()) {
        (ConnectionPhase::Idle, since) => Some(since + limits.idle_timeout + IDLE_TIMEOUT_MARGIN),
        (ConnectionPhase::Head, since) => {
            Some(since + limits.header_timeout + HEADER_TIMEOUT_MARGIN)
        }
        (ConnectionPhase::Busy | ConnectionPhase::Unread, _) => {
            state.unread_since().map(|since| since + limits.idle_timeout + IDLE_TIMEOUT_MARGIN)
        }
        (ConnectionPhase::Body | ConnectionPhase::Lingering, _) => None,
    }
}

async fn dispatch(
    cx: &ServingCx,
    state: &ConnectionState,
    role: ListenerRole,
    req: Request<Incoming>,
) -> Response<ResponseBody> {
    let is_forwarded = matches!(role, ListenerRole::Callers | ListenerRole::Relay);
    state.record_head(is_forwarded && !req.body().is_end_stream());
    match role {
        ListenerRole::Callers | ListenerRole::Relay => {
            let mut response = match role {
                ListenerRole::Relay => request_handler::handle_relayed(cx, state, req).await,
                _ => request_handler::handle(cx, state, req).await,
            };
            if cx.stop.times().is_some() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            response
        }
        ListenerRole::Readiness | ListenerRole::Directory => directory::handle(cx, &req),
        ListenerRole::Metrics => {
            cx.connections.record(&cx.metrics);
            local_response::text(http::StatusCode::OK, cx.metrics.render().trim_end())
        }
    }
}
