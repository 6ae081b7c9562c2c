//! Starts the tasks of a node on the users' platform, and stops them in order.

use crate::config_sync;
use crate::dialect::Dialect;
use crate::group_control::GroupControl;
use crate::instance_list_sync;
use crate::lease_manager::LeaseManager;
use crate::listeners;
use crate::listeners::BindError;
use crate::listeners::ListenerRole;
use crate::network::Network;
use crate::node_registry;
use crate::peer_exchange::PeerExchange;
use crate::replica_health;
use crate::serving_cx::ServingCx;
use crate::serving_settings::ServingSettings;
use guavaladder_lib::clock::Clock;
use guavaladder_lib::generated::events::Event;
use guavaladder_lib::generated::serving_peer::NodePhase;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// Time for which a stopping node still takes requests of callers that hold an old answer of the
/// directory: three times as long as they are told to keep it.
const STILL_TAKING: Duration = Duration::from_millis(3000);
/// Part of the time to stop that is kept for the end of the process.
const STOP_RESERVE: Duration = Duration::from_millis(400);
/// Changes of the instance list that may wait to be handed on.
const NEWS_QUEUE_LEN: usize = 16;
/// Period in which a stopping node looks whether its requests have ended.
const STOP_PERIOD: Duration = Duration::from_millis(50);
/// Period in which the process looks whether it was paused.
const PAUSE_WATCH_PERIOD: Duration = Duration::from_millis(500);

/// Errors of starting a node.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A listener could not be bound.
    #[error(transparent)]
    Bind(#[from] BindError),
    /// The socket for the other nodes could not be bound.
    #[error("peers: {0}; hint: look for another process that uses the port")]
    Peers(io::Error),
}

/// A running node.
#[derive(Debug)]
pub struct ServingNode {
    /// Context.
    pub cx: ServingCx,
    exchange: tokio::sync::watch::Receiver<Option<PeerExchange>>,
    closing_callers: CancellationToken,
    stopping: CancellationToken,
}

impl ServingNode {
    /// Binds the listeners and starts the tasks; call it within a tokio runtime.
    pub async fn start(
        settings: ServingSettings,
        dialect: Arc<dyn Dialect>,
    ) -> Result<Self, StartError> {
        let cx = ServingCx::new(settings, dialect, Clock::new(), Network::Tcp);
        let settings = cx.settings.clone();
        let peers = UdpSocket::bind(settings.peers).await.map_err(StartError::Peers)?;
        let callers = listeners::bind(settings.callers)?;
        let directory = listeners::bind(settings.directory)?;
        let readiness = listeners::bind(settings.readiness)?;
        let metrics = settings.metrics.map(listeners::bind).transpose()?;
        let (closing_callers, stopping) = (CancellationToken::new(), CancellationToken::new());
        let (exchange_tx, exchange) = tokio::sync::watch::channel(None);
        let serve = |listener, role, closing: &CancellationToken| {
            tokio::spawn(listeners::serve(cx.clone(), listener, role, closing.clone()));
        };
        serve(callers, ListenerRole::Callers, &closing_callers);
        serve(directory, ListenerRole::Directory, &stopping);
        serve(readiness, ListenerRole::Directory, &stopping);
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
        let (news_tx, news) = mpsc::channel(NEWS_QUEUE_LEN);
        spawn_until(&stopping, instance_list_sync::run(cx.clone(), news_tx));
        spawn_until(&stopping, instance_list_sync::expire(cx.clone()));
        spawn_until(&stopping, replica_health::run(cx.clone()));
        spawn_until(&stopping, node_registry::run(cx.clone()));
        spawn_until(&stopping, LeaseManager::new(cx.clone()).run());
        spawn_until(&stopping, GroupControl::new(cx.clone()).run());
        spawn_until(&stopping, watch_pauses(cx.clone()));
        let (peers_cx, peers_stopping) = (cx.clone(), stopping.clone());
        spawn_until(&stopping, async move {
            let key = node_registry::peer_key(&peers_cx).await;
            let exchange = PeerExchange::new(peers_cx, key, peers);
            spawn_until(&peers_stopping, exchange.clone().receive_loop());
            spawn_until(&peers_stopping, exchange.clone().send_loop());
            spawn_until(&peers_stopping, exchange.clone().news_loop(news));
            exchange_tx.send_replace(Some(exchange));
        });
        Ok(Self { cx, exchange, closing_callers, stopping })
    }

    /// Stops within the time that the platform gives: first the node is out of the callers' answers
    /// and still takes their requests; then it refuses new ones and finishes what runs.
    pub async fn stop(self) {
        let started = Instant::now();
        let cx = &self.cx;
        let running = cx.running.get() as u64;
        cx.phase.send_replace(NodePhase::Leaving);
        cx.log.record(Event::ServingStopping { node: cx.node().to_string(), running });
        let exchange = self.exchange.borrow().clone();
        if let Some(exchange) = &exchange {
            exchange.send_to_all().await;
        }
        let end = started + cx.settings.shutdown.saturating_sub(STOP_RESERVE);
        let unregistered = tokio::spawn({
            let cx = cx.clone();
            async move { node_registry::unregister(&cx).await }
        });
        sleep(STILL_TAKING.min(cx.settings.shutdown / 3)).await;
        self.closing_callers.cancel();
        while cx.running.get() > 0 && Instant::now() < end {
            sleep(STOP_PERIOD).await;
        }
        if tokio::time::timeout_at(end, unregistered).await.is_err() {
            log::info!("the stop did not wait for the store");
        }
        self.stopping.cancel();
        cx.log.record(Event::ServingStopped {
            node: cx.node().to_string(),
            unfinished: cx.running.get() as u64,
            took: started.elapsed(),
        });
    }
}

/// Runs a task until it ends or the node stops.
fn spawn_until(stopping: &CancellationToken, task: impl Future<Output = ()> + Send + 'static) {
    let stopping = stopping.clone();
    tokio::spawn(async move {
        tokio::select! {
            () = task => {}
            () = stopping.cancelled() => {}
        }
    });
}

/// Records pauses of the process until the task is ended.
async fn watch_pauses(cx: ServingCx) {
    let mut last = cx.clock.now();
    loop {
        sleep(PAUSE_WATCH_PERIOD).await;
        let now = cx.clock.now();
        let late_by = (now - last).saturating_sub(PAUSE_WATCH_PERIOD);
        last = now;
        if late_by >= PAUSE_WATCH_PERIOD {
            cx.log.record(Event::ProcessPaused { node: cx.node().to_string(), late_by });
        }
    }
}
