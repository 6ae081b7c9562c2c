//! Starts the components of a node, waits for a stop signal, and shuts the components down in order.

use crate::signals::StopSignals;
use anyhow::Context;
use anyhow::Result;
use cadence::QueuingMetricSink;
use cadence::StatsdClient;
use cadence::UdpMetricSink;
use guavaladder_lib::caller_api;
use guavaladder_lib::clock::Clock;
use guavaladder_lib::cx::Cx;
use guavaladder_lib::domain_control;
use guavaladder_lib::engine_http::HttpEngine;
use guavaladder_lib::fault_socket::FaultSocket;
use guavaladder_lib::fault_socket::InjectedFaults;
use guavaladder_lib::fleet_handle;
use guavaladder_lib::fleet_handle::FleetHandle;
use guavaladder_lib::generated::events::Event;
use guavaladder_lib::generated::settings::DaemonSettings;
use guavaladder_lib::http_server::HttpListener;
use guavaladder_lib::http_server::HttpServer;
use guavaladder_lib::http_server::ListenError;
use guavaladder_lib::metrics::Metrics;
use guavaladder_lib::operator_api::OperatorApi;
use guavaladder_lib::pause_detector;
use guavaladder_lib::peer_socket::PeerSocket;
use guavaladder_lib::plain_service_http::HttpPlainService;
use guavaladder_lib::platform_http::HttpPlatform;
use guavaladder_lib::request_path::RequestPath;
use guavaladder_lib::store_client::StoreClient;
use guavaladder_lib::udp_socket::UdpPeerSocket;
use std::net::UdpSocket;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

/// Part of the memory for connections of callers.
const CONNECTION_SHARE: usize = 4;
/// Memory that a connection takes beside the bodies of its requests, in bytes.
const CONNECTION_BYTES: usize = 64 << 10;
/// Maximum number of concurrent connections of operators.
const MAX_OPERATOR_CONNECTIONS: usize = 256;
/// Timeout for the operators' listener to close its connections.
const OPERATORS_STOP_TIMEOUT: Duration = Duration::from_millis(250);
/// Longest time for which a leaving node still accepts requests from callers that still use an
/// address list from before it left.
const LEAVE_GRACE: Duration = Duration::from_secs(1);
/// Part of the shutdown timeout reserved for the steps after running requests were drained.
const POST_DRAIN_RESERVE: Duration = Duration::from_secs(4);
/// Part of the shutdown timeout that is left when callers must have received their responses.
const EXIT_RESERVE: Duration = Duration::from_secs(1);

/// Components of a running node that are stopped at shutdown.
struct Node {
    cx: Cx,
    fleet: FleetHandle,
    control: JoinHandle<()>,
    path: RequestPath,
    callers: HttpServer,
    operators: HttpServer,
    shutdown: CancellationToken,
}

/// Runs a node until a stop signal arrives, then shuts it down.
///
/// A second signal ends the process without waiting for the graceful shutdown.
pub async fn run(settings: DaemonSettings) -> Result<()> {
    let mut signals = StopSignals::new()?;
    let node = Node::start(settings).await?;
    signals.next().await;
    let bound = node.cx.settings.shutdown;
    tokio::select! {
        ended = tokio::time::timeout(bound, node.stop()) => {
            if ended.is_err() {
                log::warn!("the graceful shutdown timed out");
            }
        }
        () = signals.next() => log::warn!("received a second signal; aborting the graceful shutdown"),
    }
    Ok(())
}

impl Node {
    /// Binds all listeners first, so that a port in use is reported before anything runs, and then starts
    /// the components.
    async fn start(settings: DaemonSettings) -> Result<Self> {
        let metrics = metrics(&settings)?;
        let cx = Cx::new(settings, Clock::new(), metrics);
        let settings = cx.settings.clone();
        let callers = HttpListener::bind("caller_listen", &settings.caller_listen).await?;
        let operators = HttpListener::bind("operator_listen", &settings.operator_listen).await?;
        let (peers, faults) = peer_socket(&settings).await?;
        let shutdown = CancellationToken::new();

        let platform = Arc::new(HttpPlatform::new(settings.platform.clone()));
        let store = StoreClient::new(cx.clone(), platform.clone());
        let engine = Arc::new(HttpEngine::new());
        let plain = Arc::new(HttpPlainService::new());

        tokio::spawn(pause_detector::run(cx.clone(), shutdown.clone()));
        // Not cancelled with the other components, because this node announces that it has left only
        // after they have stopped.
        let fleet_shutdown = CancellationToken::new();
        let fleet = fleet_handle::start(cx.clone(), store.clone(), platform, peers, fleet_shutdown)
            .context("fleet_key_file")?;
        let control =
            domain_control::start(cx.clone(), store.clone(), engine.clone(), shutdown.clone());
        let path = RequestPath::start(cx.clone(), store.clone(), engine, plain, shutdown.clone());

        let caller_routes = caller_api::router(path.clone());
        let mut api = OperatorApi::new(cx.clone()).with_store(store).with_fleet(fleet.clone());
        if let Some(faults) = faults {
            api = api.with_faults(faults);
        }
        let callers = callers.with_metrics(cx.metrics.clone());
        let callers = callers.serve(caller_routes, max_caller_connections(&settings));
        let operators = operators
            .with_metrics(cx.metrics.clone())
            .serve(api.router(), MAX_OPERATOR_CONNECTIONS);

        let version = env!("CARGO_PKG_VERSION").to_string();
        cx.record(Event::Started { node: cx.node().to_string(), version });
        Ok(Self { cx, fleet, control, path, callers, operators, shutdown })
    }

    /// Shuts the node down gracefully within the timeout of the settings.
    async fn stop(self) {
        let started = self.cx.clock.now();
        let bound = self.cx.settings.shutdown;
        let left = |reserve: Duration| {
            let elapsed = self.cx.clock.now() - started;
            bound.saturating_sub(elapsed + reserve)
        };
        let name = self.cx.node().to_string();
        self.cx.record(Event::ShutdownStarted { node: name.clone(), bound });

        self.path.begin_stop();
        self.fleet.leave().await;
        tokio::time::sleep(LEAVE_GRACE.min(bound / 4)).await;
        let moved = self.path.drain(left(POST_DRAIN_RESERVE.min(bound / 2)), bound / 4).await;
        // The domains are released while callers receive the rest of their responses.
        let callers = self.callers.stop(left(EXIT_RESERVE.min(bound / 8)));
        self.shutdown.cancel();
        let _ = tokio::join!(callers, self.control);
        self.fleet.stop().await;

        let took = self.cx.clock.now() - started;
        self.cx.record(Event::ShutdownFinished { node: name, moved, took });
        self.operators.stop(OPERATORS_STOP_TIMEOUT.min(bound / 16)).await;
    }
}

/// Returns the maximum number of concurrent connections of callers.
fn max_caller_connections(settings: &DaemonSettings) -> usize {
    let memory = (settings.memory_mb as usize) << 20;
    (settings.max_connections as usize).min(memory / CONNECTION_SHARE / CONNECTION_BYTES)
}

/// Binds the socket for the other nodes, with fault injection if `test_hooks` is set.
async fn peer_socket(
    settings: &DaemonSettings,
) -> Result<(Arc<dyn PeerSocket>, Option<InjectedFaults>)> {
    let address = settings.peer_listen.parse()?;
    let socket = UdpPeerSocket::bind(address).await;
    let to_listen_error = |e| ListenError::from_io("peer_listen", &settings.peer_listen, &e);
    let socket: Arc<dyn PeerSocket> = Arc::new(socket.map_err(to_listen_error)?);
    if !settings.test_hooks {
        return Ok((socket, None));
    }
    let faults = InjectedFaults::new();
    Ok((Arc::new(FaultSocket::new(socket, faults.clone())), Some(faults)))
}

/// Returns the metrics, sent to statsd if the settings name a server.
fn metrics(settings: &DaemonSettings) -> Result<Metrics> {
    let Some(address) = &settings.statsd else { return Ok(Metrics::new()) };
    let socket = UdpSocket::bind("0.0.0.0:0").context("statsd: can't open a UDP socket")?;
    socket.set_nonblocking(true)?;
    let sink = UdpMetricSink::from(address.as_str(), socket).context("statsd")?;
    let sink = QueuingMetricSink::from(sink);
    Ok(Metrics::with_client(StatsdClient::from_sink("guavaladder", sink)))
}
