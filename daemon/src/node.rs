//! Starts every task of a node, waits for the stop signal, and stops the tasks in order.

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
use guavaladder_lib::fault_socket::FaultSwitches;
use guavaladder_lib::fleet_handle;
use guavaladder_lib::fleet_handle::FleetHandle;
use guavaladder_lib::generated::events::Event;
use guavaladder_lib::generated::settings::DaemonSettings;
use guavaladder_lib::http_server::HttpListener;
use guavaladder_lib::http_server::HttpServer;
use guavaladder_lib::http_server::ListenError;
use guavaladder_lib::metrics::Metrics;
use guavaladder_lib::operator_api::OperatorApi;
use guavaladder_lib::pause_watch;
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

/// Most connections of callers at once.
const MAX_CALLER_CONNECTIONS: usize = 20_000;
/// Most connections of operators at once.
const MAX_OPERATOR_CONNECTIONS: usize = 256;
/// Longest time that a listener gets to close its connections once their requests have ended.
const LISTENER_STOP: Duration = Duration::from_millis(500);
/// Longest time for which a leaving node still takes requests of callers that hold an old answer.
const LEAVE_GRACE: Duration = Duration::from_secs(1);
/// Part of the bound that is kept for what follows after requests had time to finish.
const STOP_RESERVE: Duration = Duration::from_secs(4);

/// The parts of a running node that a shutdown stops.
struct Node {
    cx: Cx,
    fleet: FleetHandle,
    control: JoinHandle<()>,
    path: RequestPath,
    callers: HttpServer,
    operators: HttpServer,
    shutdown: CancellationToken,
}

/// Runs a node until it has been stopped.
pub async fn run(settings: DaemonSettings) -> Result<()> {
    let mut signals = StopSignals::new()?;
    let node = Node::start(settings).await?;
    signals.next().await;
    let bound = node.cx.settings.shutdown;
    tokio::select! {
        ended = tokio::time::timeout(bound, node.stop()) => {
            if ended.is_err() {
                log::warn!("the shutdown reached its bound");
            }
        }
        () = signals.next() => log::warn!("a second signal ends the shutdown"),
    }
    Ok(())
}

impl Node {
    /// Binds the listeners, so that a busy port is an error before anything runs, and starts the parts.
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

        tokio::spawn(pause_watch::run(cx.clone(), shutdown.clone()));
        // The peers learn that this node left only after all else has stopped.
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
        let callers = callers.serve(caller_routes, MAX_CALLER_CONNECTIONS);
        let operators = operators.serve(api.router(), MAX_OPERATOR_CONNECTIONS);

        let version = env!("CARGO_PKG_VERSION").to_string();
        cx.record(Event::Started { node: cx.node().to_string(), version });
        Ok(Self { cx, fleet, control, path, callers, operators, shutdown })
    }

    /// Stops gracefully within the bound of the settings.
    async fn stop(self) {
        let started = self.cx.clock.now();
        let bound = self.cx.settings.shutdown;
        let name = self.cx.node().to_string();
        self.cx.record(Event::ShutdownStarted { node: name.clone(), bound });

        self.fleet.leave().await;
        tokio::time::sleep(LEAVE_GRACE.min(bound / 4)).await;
        let used = self.cx.clock.now() - started + STOP_RESERVE.min(bound / 2);
        let moved = self.path.drain(bound.saturating_sub(used)).await;
        self.callers.stop(LISTENER_STOP).await;
        self.shutdown.cancel();
        let _ = self.control.await;
        self.fleet.stop().await;

        let took = self.cx.clock.now() - started;
        self.cx.record(Event::ShutdownFinished { node: name, moved, took });
        self.operators.stop(LISTENER_STOP).await;
    }
}

/// Binds the peers' socket, with fault switches where the settings allow them.
async fn peer_socket(
    settings: &DaemonSettings,
) -> Result<(Arc<dyn PeerSocket>, Option<FaultSwitches>)> {
    let address = settings.peer_listen.parse()?;
    let socket = UdpPeerSocket::bind(address).await;
    let refused = |e| ListenError::with_io("peer_listen", &settings.peer_listen, &e);
    let socket: Arc<dyn PeerSocket> = Arc::new(socket.map_err(refused)?);
    if !settings.test_hooks {
        return Ok((socket, None));
    }
    let switches = FaultSwitches::new();
    Ok((Arc::new(FaultSocket::new(socket, switches.clone())), Some(switches)))
}

/// Returns the metrics, sent to statsd where the settings name a server.
fn metrics(settings: &DaemonSettings) -> Result<Metrics> {
    let Some(address) = &settings.statsd else { return Ok(Metrics::new()) };
    let socket = UdpSocket::bind("0.0.0.0:0").context("statsd: no socket")?;
    socket.set_nonblocking(true)?;
    let sink = UdpMetricSink::from(address.as_str(), socket).context("statsd")?;
    let sink = QueuingMetricSink::from(sink);
    Ok(Metrics::with_client(StatsdClient::from_sink("guavaladder", sink)))
}
