//! Startup and graceful shutdown of a node on the users' platform.

use crate::cold_sync;
use crate::config_sync;
use crate::crash_store;
use crate::dialect::Dialect;
use crate::evacuation_sync;
use crate::group_control::GroupControl;
use crate::instance_list_sync;
use crate::lease_manager::LeaseManager;
use crate::listeners;
use crate::listeners::BindError;
use crate::listeners::ListenerRole;
use crate::network::Network;
use crate::node_registry;
use crate::node_stop::CATCH_UP_TIME;
use crate::node_stop::StopTimes;
use crate::peer_exchange::PeerExchange;
use crate::replica_health;
use crate::serving_cx::ServingCx;
use crate::serving_settings::ServingSettings;
use crate::unproven_instances;
use guavaladder_lib::clock::Clock;
use guavaladder_lib::generated::events::Event;
use guavaladder_lib::generated::serving_peer::NodePhase;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio_util::sync::CancellationToken;

/// Capacity of the queue of instance list changes that wait to be sent to the other nodes.
const DELTA_QUEUE_LEN: usize = 16;
/// Interval at which a stopping node checks whether its requests have finished.
const STOP_POLL_PERIOD: Duration = Duration::from_millis(50);
/// Time for which a process that is late at the end of a shutdown still writes its last responses.
const EXIT_CATCH_UP_TIME: Duration = CATCH_UP_TIME.saturating_mul(2);
/// Interval at which the process checks whether it was paused.
const PAUSE_CHECK_PERIOD: Duration = Duration::from_millis(500);

/// Error of starting a node.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A listener could not be bound.
    #[error(transparent)]
    Bind(#[from] BindError),
    /// The UDP socket for messages between nodes could not be bound.
    #[error(
        "cannot bind the socket for peers: {0}; hint: check whether another process uses the port"
    )]
    Peers(io::Error),
}

/// Handle to a running node.
#[derive(Debug)]
pub struct ServingNode {
    /// Context that the tasks of the node share.
    pub cx: ServingCx,
    exchange: tokio::sync::watch::Receiver<Option<PeerExchange>>,
    /// Serves callers until `closing_callers` is cancelled and all of their connections have closed.
    callers: JoinHandle<()>,
    /// Serves requests that other nodes pass on, for as long.
    relay: JoinHandle<()>,
    closing_callers: CancellationToken,
    stopping: CancellationToken,
}

impl ServingNode {
    /// Binds the listeners and spawns the tasks. Must be called within a tokio runtime.
    pub async fn start(
        settings: ServingSettings,
        dialect: Arc<dyn Dialect>,
    ) -> Result<Self, StartError> {
        let cx = ServingCx::new(settings, dialect, Clock::new(), Network::Tcp);
        let settings = cx.settings.clone();
        let peers = UdpSocket::bind(settings.peers).await.map_err(StartError::Peers)?;
        let connections = cx.descriptors.shares.listeners();
        let receive_buffer = listeners::receive_buffer(settings.memory, connections);
        let bind = |address| listeners::bind(address, receive_buffer);
        let callers = bind(settings.callers)?;
        let relay = bind(settings.peers)?;
        let directory = bind(settings.directory)?;
        let readiness = bind(settings.readiness)?;
        let metrics = settings.metrics.map(bind).transpose()?;
        let (closing_callers, stopping) = (CancellationToken::new(), CancellationToken::new());
        let (exchange_tx, exchange) = tokio::sync::watch::channel(None);
        let serve = |listener, role, closing: &CancellationToken| {
            tokio::spawn(listeners::serve(cx.clone(), listener, role, closing.clone()))
        };
        let callers = serve(callers, ListenerRole::Callers, &closing_callers);
        let relay = serve(relay, ListenerRole::Relay, &closing_callers);
        serve(directory, ListenerRole::Directory, &stopping);
        serve(readiness, ListenerRole::Readiness, &stopping);
        if let Some(metrics) = metrics {
            serve(metrics, ListenerRole::Metrics, &stopping);
        }
        cx.log.record(Event::ServingStarted {
            node: cx.node().to_string(),
            version: env!("CARGO_PKG_VERSION").to_string(),
            address: settings.callers.to_string(),
            incarnation: cx.incarnation,
        });
        spawn_until(&stopping, config_sync::run(cx.clone()));
        let (delta_tx, deltas) = mpsc::channel(DELTA_QUEUE_LEN);
        spawn_until(&stopping, instance_list_sync::run(cx.clone(), delta_tx));
        spawn_until(&stopping, instance_list_sync::expire(cx.clone()));
        spawn_until(&stopping, replica_health::run(cx.clone()));
        spawn_until(&stopping, node_registry::run(cx.clone()));
        spawn_until(&stopping, crash_store::run(cx.clone()));
        spawn_until(&stopping, evacuation_sync::run(cx.clone()));
        spawn_until(&stopping, LeaseManager::new(cx.clone()).run());
        spawn_until(&stopping, GroupControl::new(cx.clone()).run());
        spawn_until(&stopping, unproven_instances::run(cx.clone()));
        spawn_until(&stopping, cold_sync::run(cx.clone()));
        spawn_until(&stopping, log_pauses(cx.clone()));
        let (peers_cx, peers_stopping) = (cx.clone(), stopping.clone());
        spawn_until(&stopping, async move {
            let key = node_registry::peer_key(&peers_cx).await;
            peers_cx.peer_key.set(key);
            let exchange = PeerExchange::new(peers_cx, peers);
            spawn_until(&peers_stopping, exchange.clone().receive_loop());
            spawn_until(&peers_stopping, exchange.clone().send_loop());
            spawn_until(&peers_stopping, exchange.clone().crash_digest_loop());
            spawn_until(&peers_stopping, exchange.clone().rate_limit_loop());
            spawn_until(&peers_stopping, exchange.clone().cold_loop());
            spawn_until(&peers_stopping, exchange.clone().reach_loop());
            spawn_until(&peers_stopping, exchange.clone().evacuation_loop());
            spawn_until(&peers_stopping, exchange.clone().customer_use_loop());
            spawn_until(&peers_stopping, exchange.clone().demand_loop());
            spawn_until(&peers_stopping, exchange.clone().retry_loop());
            spawn_until(&peers_stopping, exchange.clone().instance_delta_loop(deltas));
            spawn_until(&peers_stopping, exchange.clone().list_request_loop());
            exchange_tx.send_replace(Some(exchange));
        });
        Ok(Self { cx, exchange, callers, relay, closing_callers, stopping })
    }

    /// Shuts down within the time that the platform allows.
    ///
    /// The node is first left out of the directory's responses but still accepts requests. It then
    /// refuses new requests and waits for the running ones to finish. A request without a response by
    /// `StopTimes::answers_due` is answered with an error while its caller can still receive it; from then on
    /// no requests are read.
    pub async fn stop(self) {
        let started = Instant::now();
        let cx = &self.cx;
        let running = cx.running.get() as u64;
        let times = StopTimes::new(started, cx.settings.shutdown);
        let exit = tokio::spawn(async move { times.wait_for_exit(EXIT_CATCH_UP_TIME).await });
        cx.stop.begin(times);
        cx.phase.send_replace(NodePhase::Leaving);
        cx.log.record(Event::ServingStopping { node: cx.node().to_string(), running });
        let exchange = self.exchange.borrow().clone();
        if let Some(exchange) = &exchange {
            exchange.send_heartbeat().await;
        }
        let unregistered = tokio::spawn({
            let cx = cx.clone();
            async move { node_registry::unregister(&cx).await }
        });
        sleep_until(times.refusing_from).await;
        while cx.running.get() > 0 && Instant::now() < times.answers_due {
            sleep(STOP_POLL_PERIOD).await;
        }
        // Requests that arrive later might not be answered before the process exits.
        self.closing_callers.cancel();
        let (mut callers, mut relay, mut unregistered) = (self.callers, self.relay, unregistered);
        let finished = async {
            for task in [&mut callers, &mut relay, &mut unregistered] {
                if let Err(e) = task.await {
                    log::warn!("a task of the shutdown failed: {e}");
                }
            }
        };
        tokio::select! {
            biased;
            () = finished => {}
            _ = exit => {}
        }
        for (listener, name) in [(callers, "callers"), (relay, "other nodes")] {
            if !listener.is_finished() {
                log::info!("stopped before all {name} had received their responses");
            }
        }
        if !unregistered.is_finished() {
            log::info!("stopped before the store confirmed that this node is unregistered");
        }
        self.stopping.cancel();
        cx.log.record(Event::ServingStopped {
            node: cx.node().to_string(),
            unfinished: cx.running.get() as u64,
            took: started.elapsed(),
        });
    }
}

/// Spawns a task that is cancelled when the node stops.
fn spawn_until(stopping: &CancellationToken, task: impl Future<Output = ()> + Send + 'static) {
    let stopping = stopping.clone();
    tokio::spawn(async move {
        tokio::select! {
            () = task => {}
            () = stopping.cancelled() => {}
        }
    });
}

/// Logs pauses of the process until the task is cancelled.
async fn log_pauses(cx: ServingCx) {
    let mut last = cx.clock.now();
    loop {
        sleep(PAUSE_CHECK_PERIOD).await;
        let now = cx.clock.now();
        let late_by = (now - last).saturating_sub(PAUSE_CHECK_PERIOD);
        last = now;
        if late_by >= PAUSE_CHECK_PERIOD {
            cx.log.record(Event::ProcessPaused { node: cx.node().to_string(), late_by });
        }
    }
}
