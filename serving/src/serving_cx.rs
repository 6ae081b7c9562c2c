//! The context that every part of a node on the users' platform holds.

use crate::crash_record::CrashRecord;
use crate::dialect::Dialect;
use crate::down_reports::DownReports;
use crate::fleet_view::FleetView;
use crate::lease_state::LeaseState;
use crate::listeners::RunningRequests;
use crate::load_table::LoadTable;
use crate::network::Network;
use crate::node_table::NodeTable;
use crate::rate_limited_log::RateLimitedLog;
use crate::replica_health::Suspects;
use crate::retry_budget::RetryBounds;
use crate::retry_budget::RetryBudgets;
use crate::route_match::CurrentConfig;
use crate::serving_metrics::ServingMetrics;
use crate::serving_settings::ServingSettings;
use crate::store::Store;
use crate::upstream_pool::UpstreamPool;
use guavaladder_lib::clock::Clock;
use guavaladder_lib::event_log::EventLog;
use guavaladder_lib::generated::serving_peer::NodePhase;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Shortest period of the messages between nodes.
const MIN_BEAT_PERIOD: Duration = Duration::from_millis(100);
/// Longest period of the messages between nodes.
const MAX_BEAT_PERIOD: Duration = Duration::from_secs(1);
/// Part of the period for each node, so that a node's cost grows slower than the fleet.
const BEAT_PERIOD_PER_NODE: Duration = Duration::from_millis(3);

/// Longest wait of a watch on the store by the node that holds the lease on the groups. A store that
/// loses the calls of all nodes for a moment leaves them waiting for answers that never come; the
/// others learn of a newer configuration from this node, within the bound on its being in force, 3 s by
/// the platform's settings, and its own orders rest on the instance list.
pub const HOLDER_WATCH_WAIT: Duration = Duration::from_millis(1500);

/// What all parts of a node share.
#[derive(Debug, Clone)]
pub struct ServingCx {
    /// Settings.
    pub settings: Arc<ServingSettings>,
    /// The platform's manner of speaking.
    pub dialect: Arc<dyn Dialect>,
    /// Where outgoing connections go.
    pub network: Network,
    /// Clock for leases and the calendar.
    pub clock: Clock,
    /// Incarnation of this run of the node, taken from the calendar at start.
    pub incarnation: u64,
    /// Log of decisions.
    pub log: RateLimitedLog,
    /// Metrics.
    pub metrics: ServingMetrics,
    /// Platform's store.
    pub store: Store,
    /// Configuration in force.
    pub config: CurrentConfig,
    /// Instances and replicas.
    pub fleet: FleetView,
    /// Loads and health of the replicas.
    pub loads: LoadTable,
    /// Other nodes.
    pub nodes: NodeTable,
    /// Budgets of repeated sends.
    pub budgets: Arc<RetryBudgets>,
    /// Requests that ran at replicas while those crashed.
    pub crashes: Arc<CrashRecord>,
    /// Replicas that this node found to be down.
    pub down_reports: DownReports,
    /// Replicas that are being looked at.
    pub suspects: Suspects,
    /// Lease on the groups.
    pub lease: LeaseState,
    /// Connections to replicas.
    pub pool: UpstreamPool,
    /// Requests that run.
    pub running: RunningRequests,
    /// What the node does with callers.
    pub phase: Arc<watch::Sender<NodePhase>>,
}

impl ServingCx {
    /// Builds the context.
    pub fn new(
        settings: ServingSettings,
        dialect: Arc<dyn Dialect>,
        clock: Clock,
        network: Network,
    ) -> Self {
        let log = RateLimitedLog::new(&settings.node, EventLog::new(clock.clone()));
        let metrics = ServingMetrics::new();
        let bounds = RetryBounds {
            ratio: settings.retry_ratio,
            slack: settings.retry_slack,
            window: settings.retry_window,
        };
        Self {
            incarnation: clock.unix().as_millis() as u64,
            store: Store::new(
                dialect.clone(),
                network.clone(),
                settings.store,
                log.clone(),
                metrics.clone(),
            ),
            config: CurrentConfig::new(),
            fleet: FleetView::new(log.clone()),
            loads: LoadTable::new(),
            nodes: NodeTable::new(&settings.node, log.clone()),
            budgets: Arc::new(RetryBudgets::new(bounds)),
            crashes: Arc::new(CrashRecord::new()),
            down_reports: DownReports::new(),
            suspects: Suspects::new(),
            lease: LeaseState::new(clock.clone()),
            pool: UpstreamPool::new(network.clone(), metrics.clone()),
            running: RunningRequests::new(),
            phase: Arc::new(watch::channel(NodePhase::Starting).0),
            settings: Arc::new(settings),
            dialect,
            network,
            clock,
            log,
            metrics,
        }
    }

    /// Returns the id of this node.
    pub fn node(&self) -> &str {
        &self.settings.node
    }

    /// Returns the period of the messages between nodes, which grows with their number.
    pub fn beat_period(&self) -> Duration {
        let nodes = self.nodes.addresses().len() as u32 + 1;
        (BEAT_PERIOD_PER_NODE * nodes).clamp(MIN_BEAT_PERIOD, MAX_BEAT_PERIOD)
    }

    /// Returns the longest wait of a watch on the store that may otherwise wait for `longest`.
    pub fn watch_wait(&self, longest: Duration) -> Duration {
        match self.lease.term() {
            Some(_) => HOLDER_WATCH_WAIT,
            None => longest,
        }
    }

    /// Returns how many nodes share a budget.
    pub fn sharing_nodes(&self) -> usize {
        self.nodes.count(Instant::now(), self.beat_period())
    }

    /// Returns what the node does with callers.
    pub fn phase(&self) -> NodePhase {
        *self.phase.borrow()
    }

    /// Brings the phase up to date with what the node knows.
    pub fn review_phase(&self) {
        let is_ready = self.config.get().is_some() && self.fleet.is_listed();
        self.phase.send_if_modified(|phase| {
            let is_due = *phase == NodePhase::Starting && is_ready;
            if is_due {
                *phase = NodePhase::Serving;
            }
            is_due
        });
    }
}
