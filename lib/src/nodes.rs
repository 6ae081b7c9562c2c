//! Starts what the nodes do together: membership, object and instance sync, shared facts.

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

/// Period in which missing confirmations are asked for.
const CONFIRM_PERIOD: Duration = Duration::from_millis(500);

/// Handle to a node's part in the fleet.
#[derive(Clone)]
pub struct Nodes {
    cx: Cx,
    gossiper: Arc<Gossiper>,
    shutdown: CancellationToken,
}

/// Reads the fleet key that the settings name and starts a node's part in the fleet.
pub fn start(
    cx: Cx,
    store: StoreClient,
    instances: Arc<dyn InstanceList>,
    socket: Arc<dyn PeerSocket>,
    shutdown: CancellationToken,
) -> Result<Nodes, FleetKeyError> {
    let key = FleetKey::read(Path::new(&cx.settings.fleet_key_file))?;
    Ok(start_with_key(cx, store, instances, socket, key, shutdown))
}

/// Starts a node's part in the fleet with a given key.
pub fn start_with_key(
    cx: Cx,
    store: StoreClient,
    instances: Arc<dyn InstanceList>,
    socket: Arc<dyn PeerSocket>,
    key: FleetKey,
    shutdown: CancellationToken,
) -> Nodes {
    let link = PeerLink::new(cx.clone(), key, socket);
    let gossiper = Gossiper::new(cx.clone(), link);
    gossiper.note_news();
    spawn_gossip(&gossiper, &shutdown);
    for prefix in object_sync::WATCHED_PREFIXES {
        tokio::spawn(object_sync::run(cx.clone(), store.clone(), prefix, shutdown.clone()));
    }
    tokio::spawn(instance_sync::poll(cx.clone(), instances, shutdown.clone()));
    tokio::spawn(instance_sync::update_view(cx.clone(), shutdown.clone()));
    tokio::spawn(config_change::publish_in_force(cx.clone(), shutdown.clone()));
    tokio::spawn(level_sampler::run(cx.clone(), shutdown.clone()));
    Nodes { cx, gossiper, shutdown }
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

impl Nodes {
    /// Announces that this node leaves; it drops out of the callers' answers at once.
    pub async fn leave(&self) {
        self.gossiper.announce_leaving().await;
    }

    /// Announces that this node has left and ends its tasks; call it last.
    pub async fn stop(&self) {
        self.gossiper.announce_left().await;
        self.shutdown.cancel();
    }

    /// Returns the service levels of all nodes that answer, and the ids of those that do not.
    pub async fn collect_levels(&self) -> (Vec<ServiceLevelSnapshot>, Vec<String>) {
        let mut snapshots = vec![self.cx.service_levels.snapshot(self.cx.node())];
        let mut missing = vec![];
        let members = self.cx.members.get();
        let others = members.values().filter(|member| member.node != self.cx.node());
        for member in others.filter(|member| member.state != MemberState::Dead) {
            match self.levels_of(&member.peer_address).await {
                Some(snapshot) => snapshots.push(snapshot),
                None => missing.push(member.node.clone()),
            }
        }
        (snapshots, missing)
    }

    /// Fetches the facts of one node of each other data centre, which know their own best.
    pub async fn refresh_facts(&self) {
        let members = self.cx.members.get();
        let mut asked = std::collections::BTreeSet::from([&self.cx.settings.data_centre]);
        for member in members.values().filter(|member| member.state == MemberState::Live) {
            if !asked.insert(&member.data_centre) {
                continue;
            }
            let Ok(to) = member.peer_address.parse() else { continue };
            let req = PullRequest { facts: true, ..self.gossiper.request(vec![String::new()]) };
            self.gossiper.pull(to, req).await;
        }
    }

    /// Waits until a version is in force on all nodes, or until `bound`, and reports on it.
    ///
    /// The confirmations come by gossip; where some are missing, their data centres are asked.
    pub async fn confirm_in_force(&self, version: u64, bound: Duration) -> InForceReport {
        let end = tokio::time::Instant::now() + bound;
        loop {
            let report = config_change::in_force(&self.cx, version);
            let now = tokio::time::Instant::now();
            if report.missing.is_empty() || now >= end {
                return report;
            }
            tokio::time::sleep(CONFIRM_PERIOD.min(end - now)).await;
            self.refresh_facts().await;
        }
    }

    /// Returns the use of the control budget over the last period.
    pub fn control_use(&self) -> crate::control_budget::ControlUse {
        self.gossiper.budget.last_use()
    }

    async fn levels_of(&self, address: &str) -> Option<ServiceLevelSnapshot> {
        let to = address.parse().ok()?;
        let req =
            PullRequest { service_levels: true, ..self.gossiper.request(vec![String::new()]) };
        let reply = self.gossiper.pull(to, req).await?;
        postcard::from_bytes(&reply.service_levels).ok()
    }
}
