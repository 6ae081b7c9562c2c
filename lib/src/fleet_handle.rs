//! Starts a node's participation in the fleet: membership, object and instance sync, shared facts.

use crate::config_change;
use crate::cx::Cx;
use crate::fleet_key::FleetKey;
use crate::fleet_key::FleetKeyError;
use crate::generated::config::InForceReport;
use crate::generated::peer::PullRequest;
use crate::gossip::Gossiper;
use crate::instance_sync;
use crate::level_sampler;
use crate::member_view::MemberState;
use crate::object_sync;
use crate::peer_link::PeerLink;
use crate::peer_socket::PeerSocket;
use crate::platform::InstanceList;
use crate::service_levels::ServiceLevelSnapshot;
use crate::store_client::StoreClient;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

/// Interval at which missing confirmations are requested.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(500);

/// Handle to a node's participation in the fleet.
#[derive(Clone)]
pub struct FleetHandle {
    cx: Cx,
    gossiper: Arc<Gossiper>,
    shutdown: CancellationToken,
}

/// Reads the fleet key file named in the settings and starts a node's participation in the fleet.
pub fn start(
    cx: Cx,
    store: StoreClient,
    instances: Arc<dyn InstanceList>,
    socket: Arc<dyn PeerSocket>,
    shutdown: CancellationToken,
) -> Result<FleetHandle, FleetKeyError> {
    let key = FleetKey::read(Path::new(&cx.settings.fleet_key_file))?;
    Ok(start_with_key(cx, store, instances, socket, key, shutdown))
}

/// Starts a node's participation in the fleet with the given key.
pub fn start_with_key(
    cx: Cx,
    store: StoreClient,
    instances: Arc<dyn InstanceList>,
    socket: Arc<dyn PeerSocket>,
    key: FleetKey,
    shutdown: CancellationToken,
) -> FleetHandle {
    let link = PeerLink::new(cx.clone(), key, socket);
    let gossiper = Gossiper::new(cx.clone(), link);
    gossiper.refresh();
    spawn_gossip(&gossiper, &shutdown);
    for prefix in object_sync::WATCHED_PREFIXES {
        tokio::spawn(object_sync::run(cx.clone(), store.clone(), prefix, shutdown.clone()));
    }
    tokio::spawn(instance_sync::poll(cx.clone(), instances, shutdown.clone()));
    tokio::spawn(instance_sync::update_view(cx.clone(), shutdown.clone()));
    tokio::spawn(config_change::publish_in_force(cx.clone(), shutdown.clone()));
    tokio::spawn(level_sampler::run(cx.clone(), shutdown.clone()));
    FleetHandle { cx, gossiper, shutdown }
}

fn spawn_gossip(gossiper: &Arc<Gossiper>, shutdown: &CancellationToken) {
    let spawn = |task: JoinHandle<()>| drop(task);
    spawn(tokio::spawn(gossiper.clone().receive_loop(shutdown.clone())));
    spawn(tokio::spawn(gossiper.clone().period_loop(shutdown.clone())));
    spawn(tokio::spawn(gossiper.clone().relay_loop(shutdown.clone())));
    spawn(tokio::spawn(gossiper.clone().urgent_loop(shutdown.clone())));
    spawn(tokio::spawn(gossiper.clone().view_loop(shutdown.clone())));
    spawn(tokio::spawn(gossiper.clone().serve_pulls(shutdown.clone())));
}

impl FleetHandle {
    /// Announces that this node is leaving; callers are then no longer directed to it.
    pub async fn leave(&self) {
        self.gossiper.announce_leaving().await;
    }

    /// Announces that this node has left and cancels its tasks; must be called last.
    pub async fn stop(&self) {
        self.gossiper.announce_left().await;
        self.shutdown.cancel();
    }

    /// Returns the service levels of all nodes that respond, and the ids of those that do not.
    pub async fn collect_service_levels(&self) -> (Vec<ServiceLevelSnapshot>, Vec<String>) {
        let mut snapshots = vec![self.cx.service_levels.snapshot(self.cx.node())];
        let mut missing = vec![];
        let members = self.cx.members.get();
        let others = members.values().filter(|member| member.node != self.cx.node());
        for member in others.filter(|member| member.state != MemberState::Dead) {
            match self.fetch_service_levels(&member.peer_address).await {
                Some(snapshot) => snapshots.push(snapshot),
                None => missing.push(member.node.clone()),
            }
        }
        (snapshots, missing)
    }

    /// Pulls the facts of one node of each other data centre, which has the latest ones of its own.
    pub async fn refresh_facts(&self) {
        let members = self.cx.members.get();
        let mut visited = std::collections::BTreeSet::from([&self.cx.settings.data_centre]);
        for member in members.values().filter(|member| member.state == MemberState::Live) {
            if !visited.insert(&member.data_centre) {
                continue;
            }
            let Ok(to) = member.peer_address.parse() else { continue };
            let req = PullRequest { facts: true, ..self.gossiper.request(vec![String::new()]) };
            self.gossiper.pull(to, req).await;
        }
    }

    /// Waits until a configuration version is in force on all nodes, or until `max_wait` has passed,
    /// and returns a report.
    ///
    /// Confirmations are received by gossip; while some are missing, facts are also pulled from the
    /// other data centres.
    pub async fn confirm_in_force(&self, version: u64, max_wait: Duration) -> InForceReport {
        let deadline = tokio::time::Instant::now() + max_wait;
        loop {
            let report = config_change::in_force(&self.cx, version);
            let now = tokio::time::Instant::now();
            if report.missing.is_empty() || now >= deadline {
                return report;
            }
            tokio::time::sleep(CONFIRM_INTERVAL.min(deadline - now)).await;
            self.refresh_facts().await;
        }
    }

    /// Returns the usage of the control budget over the last period.
    pub fn control_usage(&self) -> crate::control_budget::ControlUsage {
        self.gossiper.budget.last_usage()
    }

    async fn fetch_service_levels(&self, address: &str) -> Option<ServiceLevelSnapshot> {
        let to = address.parse().ok()?;
        let req =
            PullRequest { service_levels: true, ..self.gossiper.request(vec![String::new()]) };
        let reply = self.gossiper.pull(to, req).await?;
        postcard::from_bytes(&reply.service_levels).ok()
    }
}
