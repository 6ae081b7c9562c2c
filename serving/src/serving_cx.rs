//! Context that the parts of a node on the users' platform share.

use crate::admission_stats::AdmissionStats;
use crate::awaited_config::AwaitedConfig;
use crate::cold_instances::ColdInstances;
use crate::connection_table::ConnectionTables;
use crate::crash_record::CrashRecord;
use crate::descriptor_budget::DescriptorBudget;
use crate::dialect::Dialect;
use crate::down_reports::DownReports;
use crate::evacuations::Evacuations;
use crate::failed_attempts::FailedAttempts;
use crate::fleet_view::FleetView;
use crate::instance_deferrals::InstanceDeferrals;
use crate::instance_reach::InstanceReach;
use crate::lease_state::LeaseState;
use crate::listeners::RunningRequests;
use crate::load_table::LoadTable;
use crate::model_demand::ModelDemand;
use crate::network::Network;
use crate::node_stop::NodeStop;
use crate::node_table::NodeTable;
use crate::pause_record::PauseRecord;
use crate::peer_codec::FleetKey;
use crate::rate_limited_log::RateLimitedLog;
use crate::rate_limits::RateLimits;
use crate::rate_relay::RefusingNodes;
use crate::replica_health::Suspects;
use crate::retry_budget::RetryBounds;
use crate::retry_budget::RetryBudgets;
use crate::route_match::CurrentConfig;
use crate::serving_metrics::ServingMetrics;
use crate::serving_settings::ServingSettings;
use crate::store::Store;
use crate::upstream_pool::UpstreamPool;
use guavaladder_lib::byte_budget::ByteBudget;
use guavaladder_lib::clock::Clock;
use guavaladder_lib::event_log::EventLog;
use guavaladder_lib::generated::serving_peer::NodePhase;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Minimum period of the heartbeats between nodes.
const MIN_HEARTBEAT_PERIOD: Duration = Duration::from_millis(100);
/// Maximum period of the heartbeats between nodes.
const MAX_HEARTBEAT_PERIOD: Duration = Duration::from_secs(1);
/// Contribution of each node to the heartbeat period. A longer period in a larger fleet keeps the
/// message rate of a node from growing as fast as the fleet.
const HEARTBEAT_PERIOD_PER_NODE: Duration = Duration::from_millis(3);

/// Maximum wait of a watch on the store by the node that holds the lease on the groups.
///
/// If the store drops the pending calls of all nodes, each node waits in vain until its watch times
/// out. The holder's watch is short because the other nodes learn of a newer configuration from the
/// holder, which must be in force within 3 s by the platform's settings, and because the holder's
/// orders are based on the instance list.
pub const HOLDER_WATCH_WAIT: Duration = Duration::from_millis(1500);

/// State and handles that all parts of a node share.
#[derive(Debug, Clone)]
pub struct ServingCx {
    /// Settings of the node.
    pub settings: Arc<ServingSettings>,
    /// Wire format of the platform.
    pub dialect: Arc<dyn Dialect>,
    /// Transport of outgoing connections.
    pub network: Network,
    /// Clock for leases and for wall-clock time.
    pub clock: Clock,
    /// Incarnation of this run of the node: the Unix time at its start in milliseconds.
    pub incarnation: u64,
    /// Key that authenticates messages between nodes, once it is known.
    pub peer_key: FleetKey,
    /// Rate-limited event log of the node.
    pub log: RateLimitedLog,
    /// Metrics of the node.
    pub metrics: ServingMetrics,
    /// Client of the platform's store.
    pub store: Store,
    /// Newer configuration that the store does not hold.
    pub awaited_config: AwaitedConfig,
    /// Current configuration.
    pub config: CurrentConfig,
    /// Known instances and the replicas that they form.
    pub fleet: FleetView,
    /// Load and health of the replicas.
    pub loads: LoadTable,
    /// Pauses of streams that ended by themselves.
    pub pauses: PauseRecord,
    /// Table of the other nodes.
    pub nodes: NodeTable,
    /// Retry budgets of the services.
    pub budgets: Arc<RetryBudgets>,
    /// Rates at which instances take requests.
    pub rate_limits: RateLimits,
    /// Nodes that refused requests which this node passed on.
    pub refusing_nodes: RefusingNodes,
    /// Instances that asked this node for time.
    pub deferrals: InstanceDeferrals,
    /// Requests that ran at a replica while it crashed.
    pub crashes: Arc<CrashRecord>,
    /// Attempts of this node that failed, until it is known whether their replica crashed.
    pub failed_attempts: FailedAttempts,
    /// Whether this node reaches instances.
    pub reach: InstanceReach,
    /// Replicas that this node found to be down.
    pub down_reports: DownReports,
    /// Replicas whose members are being checked because they went silent or failed.
    pub suspects: Suspects,
    /// Lease on the groups, as this node knows it.
    pub lease: LeaseState,
    /// Connection pool for the replicas.
    pub pool: UpstreamPool,
    /// File descriptors of connections.
    pub descriptors: DescriptorBudget,
    /// Open connections of the listeners.
    pub connections: ConnectionTables,
    /// Account of the bytes that this node holds for callers.
    pub memory: ByteBudget,
    /// Number of running requests.
    pub running: RunningRequests,
    /// Instances that are cold.
    pub cold: ColdInstances,
    /// Whether and when the node stops.
    pub stop: NodeStop,
    /// Whether the node accepts requests of callers.
    pub phase: Arc<watch::Sender<NodePhase>>,
    /// Evacuated data centres.
    pub evacuations: Evacuations,
    /// Measurements for the admission of requests.
    pub admission: AdmissionStats,
    /// Demand for the models of measured services.
    pub demand: ModelDemand,
}

/// Memory that the program itself takes, in bytes.
const PROGRAM_BYTES: usize = 24 << 20;

/// Returns how many bytes of the memory of the process may be held for callers: two thirds of what the program leaves, and
/// at least a third. The
/// rest is for buffers of connections, and for bytes that the kernel has received.
fn caller_bytes(memory: usize) -> usize {
    (memory.saturating_sub(PROGRAM_BYTES) / 3 * 2).max(memory / 3)
}

/// Returns the heartbeat period in a fleet of `nodes` nodes.
pub fn heartbeat_period_of(nodes: usize) -> Duration {
    let period = HEARTBEAT_PERIOD_PER_NODE * u32::try_from(nodes).unwrap_or(u32::MAX).min(1 << 16);
    period.clamp(MIN_HEARTBEAT_PERIOD, MAX_HEARTBEAT_PERIOD)
}

impl ServingCx {
    /// Creates the context of a node that starts.
    pub fn new(
        settings: ServingSettings,
        dialect: Arc<dyn Dialect>,
        clock: Clock,
        network: Network,
    ) -> Self {
        let log = RateLimitedLog::new(&settings.node, EventLog::new(clock.clone()));
        let metrics = ServingMetrics::new();
        let memory = ByteBudget::new(caller_bytes(settings.memory));
        metrics.watch_memory(&memory);
        let reach = InstanceReach::new();
        let bounds = RetryBounds {
            ratio: settings.retry_ratio,
            slack: settings.retry_slack,
            window: settings.retry_window,
        };
        let store = Store::new(
            dialect.clone(),
            network.clone(),
            settings.store,
            log.clone(),
            metrics.clone(),
        );
        let descriptors = DescriptorBudget::new(settings.max_descriptors);
        Self {
            peer_key: FleetKey::new(),
            incarnation: clock.unix().as_millis() as u64,
            awaited_config: AwaitedConfig::new(),
            config: CurrentConfig::new(),
            fleet: FleetView::new(log.clone()),
            loads: LoadTable::new(),
            pauses: PauseRecord::new(),
            nodes: NodeTable::new(&settings.node, log.clone()),
            budgets: Arc::new(RetryBudgets::new(bounds)),
            rate_limits: RateLimits::new(),
            refusing_nodes: RefusingNodes::new(),
            deferrals: InstanceDeferrals::new(),
            crashes: Arc::new(CrashRecord::new()),
            failed_attempts: FailedAttempts::new(),
            reach: reach.clone(),
            down_reports: DownReports::new(),
            suspects: Suspects::new(),
            lease: LeaseState::new(clock.clone(), store.era().clone()),
            store,
            pool: UpstreamPool::new(network.clone(), metrics.clone(), reach, descriptors.clone()),
            descriptors,
            connections: ConnectionTables::new(),
            memory,
            running: RunningRequests::new(),
            cold: ColdInstances::new(),
            stop: NodeStop::new(),
            phase: Arc::new(watch::channel(NodePhase::Starting).0),
            evacuations: Evacuations::new(settings.evacuation),
            admission: AdmissionStats::new(),
            demand: ModelDemand::new(),
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

    /// Returns the heartbeat period, which grows with the number of nodes.
    pub fn heartbeat_period(&self) -> Duration {
        heartbeat_period_of(self.nodes.count_known() + 1)
    }

    /// Returns whether this node knows of so many others that the messages for large fleets are used.
    pub fn is_large_fleet(&self) -> bool {
        self.nodes.count_known() + 1 > self.settings.large_fleet_above
    }

    /// Returns the maximum wait of a watch on the store: `max_wait`, or `HOLDER_WATCH_WAIT` while
    /// this node holds the lease on the groups.
    pub fn watch_wait(&self, max_wait: Duration) -> Duration {
        match self.lease.term() {
            Some(_) => HOLDER_WATCH_WAIT,
            None => max_wait,
        }
    }

    /// Returns the number of nodes that send requests to the replicas, this one included, as far as it is
    /// known.
    pub fn sharing_nodes(&self) -> usize {
        self.nodes.count(Instant::now(), self.heartbeat_period())
    }

    /// Returns the number of nodes that share the retry budgets, this one included; `None` while the
    /// registered nodes are not known.
    pub fn budget_sharers(&self) -> Option<usize> {
        self.nodes.is_registry_known().then(|| self.sharing_nodes())
    }

    /// Returns whether this node may be cut off from others, since it does not hear many of them.
    pub fn is_cut_off(&self) -> bool {
        self.nodes.is_cut_off(Instant::now(), self.heartbeat_period())
    }

    /// Returns whether a service is scheduled by measurements.
    pub fn is_measured(&self, service: &str) -> bool {
        let from_size_ratio = self.settings.measured_from_size_ratio;
        self.config.get().is_some_and(|table| table.config.is_measured(service, from_size_ratio))
    }

    /// Returns the current phase of the node.
    pub fn phase(&self) -> NodePhase {
        *self.phase.borrow()
    }

    /// Returns whether this node waits for a newer configuration than it has.
    pub fn awaits_config(&self) -> bool {
        self.awaited_config.is_awaited(self.config.version().unwrap_or(0), Instant::now())
    }

    /// Changes the phase to serving once a configuration, the instances and the evacuations are known, and back while a newer
    /// configuration is awaited.
    pub fn update_phase(&self) {
        let is_ready =
            self.config.get().is_some() && self.fleet.is_listed() && !self.awaits_config();
        let now = Instant::now();
        if is_ready {
            self.evacuations.record_ready(now);
        }
        let is_ready = is_ready && !self.evacuations.is_unknown(now);
        let next = if is_ready { NodePhase::Serving } else { NodePhase::Starting };
        self.phase.send_if_modified(|phase| {
            let is_changed = *phase != NodePhase::Leaving && *phase != next;
            if is_changed {
                *phase = next;
            }
            is_changed
        });
    }
}
