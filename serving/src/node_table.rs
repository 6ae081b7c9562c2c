//! Table of the other nodes: which are registered in the store, and the last heartbeat of each.

use crate::list_parts::PartReceiver;
use crate::peer_codec::AbilityNews;
use crate::peer_codec::EraNews;
use crate::peer_codec::ReachNews;
use crate::rate_limited_log::RateLimitedLog;
use crate::store_era::Era;
use guavaladder_lib::generated::events::Event;
use guavaladder_lib::generated::serving_peer::NodeBeat;
use guavaladder_lib::generated::serving_peer::NodePhase;
use std::collections::HashMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::Instant;

/// Minimum time without a heartbeat after which a node counts as silent.
const MIN_SILENT_AFTER: Duration = Duration::from_millis(1000);
/// Number of missed heartbeats after which a node counts as silent.
const SILENT_PERIODS: u32 = 6;
/// Maximum time without a heartbeat after which a node counts as silent for `is_cut_off`, which has to
/// be shorter than the platform's `stableWindowMs`.
const CUT_OFF_AFTER: Duration = Duration::from_millis(2000);
/// A node may be cut off if one in this many registered nodes is silent.
const CUT_OFF_DIVISOR: usize = 10;
/// Time for which a node that reached no instance is taken to reach none.
const CUT_TTL: Duration = Duration::from_secs(2);
/// Time without a heartbeat after which a registered node no longer shares the rates of instances.
const SHARES_FOR: Duration = Duration::from_secs(3);
/// Time without a heartbeat after which a node that is not registered is removed from the table.
const FORGET_AFTER: Duration = Duration::from_secs(20);

/// Level of messages that includes parts of changes of the instance list.
const PARTS_LEVEL: u32 = 1;

/// State of one other node.
#[derive(Debug, Clone)]
pub struct PeerNode {
    /// Id of the node.
    pub node: String,
    /// IP address that heartbeats are sent to.
    pub address: IpAddr,
    /// Last heartbeat and the time at which it arrived.
    pub last_heartbeat: Option<(Instant, NodeBeat)>,
    /// Whether it is registered in the store.
    pub is_registered: bool,
    /// Time until which it is taken to reach no instance.
    cut_until: Option<Instant>,
    /// Era of the store that it knows, if it told.
    era: Option<Era>,
    /// Run that stated which messages for large fleets it understands, and their level.
    abilities: Option<(u64, u32)>,
    /// Whether its silence is already in the log.
    is_silence_logged: bool,
}

impl PeerNode {
    /// Returns whether it reaches no instance, as it last told.
    fn is_cut(&self, now: Instant) -> bool {
        self.cut_until.is_some_and(|until| until > now)
    }

    /// Returns whether its current run stated that it understands messages of a level.
    fn understands(&self, level: u32) -> bool {
        let current = self.last_heartbeat.as_ref().map(|(_, heartbeat)| heartbeat.incarnation);
        let is_stated = |(incarnation, stated)| current == Some(incarnation) && stated >= level;
        self.abilities.is_some_and(is_stated)
    }

    /// Returns the last heartbeat unless it is older than `max_age`.
    pub fn recent_heartbeat(&self, now: Instant, max_age: Duration) -> Option<&NodeBeat> {
        self.last_heartbeat
            .as_ref()
            .filter(|(at, _)| now - *at < max_age)
            .map(|(_, heartbeat)| heartbeat)
    }
}

/// Handle to the shared table of the other nodes.
#[derive(Debug, Clone)]
pub struct NodeTable {
    own_id: Arc<str>,
    log: RateLimitedLog,
    nodes: Arc<Mutex<HashMap<String, PeerNode>>>,
    is_registry_known: Arc<AtomicBool>,
}

/// Renewal of the lease on the groups, as reported in the holder's heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseRenewal {
    /// Id of the node that holds the lease.
    pub holder: String,
    /// Revision of the lease's object.
    pub revision: u64,
    /// Era of the store that the holder knows, if it told.
    pub era: Option<Era>,
    /// When the heartbeat arrived.
    pub received_at: Instant,
    /// Time from the write of the revision until the heartbeat was sent.
    pub age: Duration,
}

/// Node that accepts requests of callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryNode {
    /// Address that callers connect to.
    pub address: SocketAddr,
    /// Data centre of the node.
    pub data_centre: String,
    /// Whether it reaches no instance, and passes requests on.
    pub is_cut: bool,
}

/// Node that serves callers, reaches instances and is not silent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LiveNode {
    /// Id of the node.
    pub node: String,
    /// IP address that messages are sent to.
    pub address: IpAddr,
    /// Data centre of the node.
    pub data_centre: String,
}

impl NodeTable {
    /// Returns an empty table for the node `own_id`.
    pub fn new(own_id: &str, log: RateLimitedLog) -> Self {
        Self {
            own_id: Arc::from(own_id),
            log,
            nodes: Arc::default(),
            is_registry_known: Arc::default(),
        }
    }

    /// Updates the table with the list of nodes that are registered in the store.
    pub fn set_registered(&self, registered: &[(String, IpAddr)]) {
        self.is_registry_known.store(true, Ordering::Relaxed);
        let mut nodes = self.lock();
        for peer in nodes.values_mut() {
            peer.is_registered = registered.iter().any(|(node, _)| *node == peer.node);
        }
        for (node, address) in registered.iter().filter(|(node, _)| **node != *self.own_id) {
            let peer = nodes.entry(node.clone()).or_insert_with(|| PeerNode {
                node: node.clone(),
                address: *address,
                last_heartbeat: None,
                is_registered: true,
                cut_until: None,
                era: None,
                abilities: None,
                is_silence_logged: false,
            });
            peer.is_registered = true;
            if peer.last_heartbeat.is_none() {
                peer.address = *address;
            }
        }
    }

    /// Records a heartbeat. Returns false if it is from this node or no newer than the last one.
    pub fn record_heartbeat(&self, from: IpAddr, heartbeat: NodeBeat, now: Instant) -> bool {
        if heartbeat.node == *self.own_id {
            return false;
        }
        let mut nodes = self.lock();
        let peer = nodes.entry(heartbeat.node.clone()).or_insert_with(|| PeerNode {
            node: heartbeat.node.clone(),
            address: from,
            last_heartbeat: None,
            is_registered: false,
            cut_until: None,
            era: None,
            abilities: None,
            is_silence_logged: false,
        });
        let last = peer.last_heartbeat.as_ref().map(|(_, last)| (last.incarnation, last.sequence));
        if last.is_some_and(|last| last >= (heartbeat.incarnation, heartbeat.sequence)) {
            return false;
        }
        if last.is_none_or(|(incarnation, _)| incarnation != heartbeat.incarnation) {
            let source = from.to_string();
            let (node, incarnation) = (heartbeat.node.clone(), heartbeat.incarnation);
            self.log.record(Event::NodeJoined { node, incarnation, source });
        }
        peer.address = from;
        peer.is_silence_logged = false;
        peer.last_heartbeat = Some((now, heartbeat));
        true
    }

    /// Records whether a known node reaches instances.
    pub fn record_reach(&self, news: &ReachNews, now: Instant) {
        if let Some(peer) = self.lock().get_mut(&news.node) {
            peer.cut_until = news.is_cut.then_some(now + CUT_TTL);
        }
    }

    /// Records the era of the store that a known node knows.
    pub fn record_era(&self, news: &EraNews) {
        if let Some(peer) = self.lock().get_mut(&news.node) {
            peer.era = peer.era.max(Some(news.era));
        }
    }

    /// Returns the era of the store that the node at an address knows, if it told.
    pub fn era_at(&self, address: IpAddr) -> Option<Era> {
        let nodes = self.lock();
        nodes.values().find(|peer| peer.address == address).and_then(|peer| peer.era)
    }

    /// Records which messages a known node understands. Returns whether its run had not stated this before.
    pub fn record_abilities(&self, news: &AbilityNews) -> bool {
        let stated = Some((news.incarnation, news.level));
        let mut nodes = self.lock();
        let Some(peer) = nodes.get_mut(&news.node) else { return false };
        if peer.abilities >= stated {
            return false;
        }
        peer.abilities = stated;
        true
    }

    /// Returns the nodes that are not silent and understand parts of changes of the instance list, and the
    /// addresses of those that are not silent and do not.
    pub fn part_receivers(
        &self,
        now: Instant,
        period: Duration,
    ) -> (Vec<PartReceiver>, Vec<IpAddr>) {
        let max_age = silent_after(period);
        let (mut receivers, mut others) = (vec![], vec![]);
        for peer in self.lock().values() {
            let Some(heartbeat) = peer.recent_heartbeat(now, max_age) else { continue };
            match peer.understands(PARTS_LEVEL) {
                true => receivers.push(PartReceiver {
                    node: peer.node.clone(),
                    address: peer.address,
                    data_centre: heartbeat.data_centre.clone(),
                }),
                false => others.push(peer.address),
            }
        }
        (receivers, others)
    }

    /// Returns the address of a node.
    pub fn address_of(&self, node: &str) -> Option<IpAddr> {
        self.lock().get(node).map(|peer| peer.address)
    }

    /// Returns the id of the node at an address.
    pub fn node_at(&self, address: IpAddr) -> Option<String> {
        let nodes = self.lock();
        nodes.values().find(|peer| peer.address == address).map(|peer| peer.node.clone())
    }

    /// Returns the era of the store that a node knows, if it told.
    pub fn era_of(&self, node: &str) -> Option<Era> {
        self.lock().get(node).and_then(|peer| peer.era)
    }

    /// Returns the number of other nodes that are known.
    pub fn count_known(&self) -> usize {
        self.lock().len()
    }

    /// Returns the addresses of all other nodes that are known.
    pub fn addresses(&self) -> Vec<IpAddr> {
        self.lock().values().map(|peer| peer.address).collect()
    }

    /// Returns the last heartbeats of the other nodes that are not silent.
    pub fn live(&self, now: Instant, period: Duration) -> Vec<NodeBeat> {
        let max_age = silent_after(period);
        let nodes = self.lock();
        nodes.values().filter_map(|peer| peer.recent_heartbeat(now, max_age).cloned()).collect()
    }

    /// Returns the ids of the other nodes that are not silent.
    pub fn live_names(&self, now: Instant, period: Duration) -> Vec<String> {
        let max_age = silent_after(period);
        let nodes = self.lock();
        let live = nodes.values().filter(|peer| peer.recent_heartbeat(now, max_age).is_some());
        live.map(|peer| peer.node.clone()).collect()
    }

    /// Returns the ids of the other nodes out of which nodes are elected in a large fleet: those that are not
    /// silent, or all registered ones while this node hears less than half of them, as at the start of all nodes.
    pub fn electorate(&self, now: Instant, period: Duration) -> Vec<String> {
        let live = self.live_names(now, period);
        let nodes = self.lock();
        let registered: Vec<String> =
            nodes.values().filter(|peer| peer.is_registered).map(|p| p.node.clone()).collect();
        if live.len() * 2 < registered.len() { registered } else { live }
    }

    /// Returns the number of nodes that are registered or not silent, this one included.
    pub fn count(&self, now: Instant, period: Duration) -> usize {
        let max_age = silent_after(period);
        let is_member =
            |peer: &&PeerNode| peer.is_registered || peer.recent_heartbeat(now, max_age).is_some();
        self.lock().values().filter(is_member).count() + 1
    }

    /// Returns the names of the nodes that share the rates of instances, this one included: all that are
    /// registered or heard, without the silent ones. While this node does not hear most of the others, it may
    /// be cut off from them, and they keep their parts.
    pub fn sharers(&self, now: Instant, period: Duration) -> Vec<String> {
        let max_age = SHARES_FOR.max(silent_after(period));
        let nodes = self.lock();
        let is_heard = |peer: &&PeerNode| peer.recent_heartbeat(now, max_age).is_some();
        let heard = nodes.values().filter(is_heard).count();
        let hears_most = 2 * (heard + 1) > nodes.len() + 1;
        let shares = |peer: &&PeerNode| is_heard(peer) || (peer.is_registered && !hears_most);
        let others = nodes.values().filter(shares).map(|peer| peer.node.clone());
        others.chain([self.own_id.to_string()]).collect()
    }

    /// Returns whether the list of the registered nodes has been read.
    pub fn is_registry_known(&self) -> bool {
        self.is_registry_known.load(Ordering::Relaxed)
    }

    /// Returns the other nodes that serve callers and are not silent.
    pub fn entry_nodes(&self, now: Instant, period: Duration) -> Vec<EntryNode> {
        let max_age = silent_after(period);
        let nodes = self.lock();
        let entry = |peer: &PeerNode| {
            let heartbeat = peer.recent_heartbeat(now, max_age)?;
            let address = heartbeat.caller_address.parse().ok()?;
            let (data_centre, is_cut) = (heartbeat.data_centre.clone(), peer.is_cut(now));
            let is_serving = heartbeat.phase == NodePhase::Serving;
            is_serving.then_some(EntryNode { address, data_centre, is_cut })
        };
        nodes.values().filter_map(entry).collect()
    }

    /// Returns the other nodes that serve callers, reach instances and are not silent, with the addresses for
    /// messages.
    pub fn serving(&self, now: Instant, period: Duration) -> Vec<LiveNode> {
        let max_age = silent_after(period);
        let nodes = self.lock();
        let live = nodes.values().filter_map(|peer| {
            let heartbeat = peer.recent_heartbeat(now, max_age)?;
            let is_serving = heartbeat.phase == NodePhase::Serving && !peer.is_cut(now);
            is_serving.then(|| LiveNode {
                node: peer.node.clone(),
                address: peer.address,
                data_centre: heartbeat.data_centre.clone(),
            })
        });
        live.collect()
    }

    /// Returns the renewal of the lease on the groups with the highest term, out of the heartbeats
    /// that are not older than `max_age`.
    pub fn lease_holder(&self, now: Instant, max_age: Duration) -> Option<LeaseRenewal> {
        let nodes = self.lock();
        let holders = nodes.values().filter_map(|peer| {
            let (at, heartbeat) = peer.last_heartbeat.as_ref()?;
            let holds_lease = now - *at < max_age && heartbeat.lease_term > 0;
            holds_lease.then_some((peer.era, *at, heartbeat))
        });
        let (era, received_at, heartbeat) =
            holders.max_by_key(|(_, _, heartbeat)| heartbeat.lease_term)?;
        Some(LeaseRenewal {
            era,
            holder: heartbeat.node.clone(),
            revision: heartbeat.lease_revision,
            received_at,
            age: Duration::from_millis(heartbeat.lease_age_ms),
        })
    }

    /// Logs the nodes that became silent, and removes unregistered nodes without a recent heartbeat.
    pub fn prune_silent(&self, now: Instant, period: Duration) {
        let max_age = silent_after(period);
        let mut nodes = self.lock();
        for peer in nodes.values_mut() {
            let silent_for = peer.last_heartbeat.as_ref().map(|(at, _)| now - *at);
            let Some(silent_for) = silent_for.filter(|silent| *silent >= max_age) else { continue };
            if !std::mem::replace(&mut peer.is_silence_logged, true) {
                self.log.record(Event::NodeSilent { node: peer.node.clone(), silent_for });
            }
        }
        nodes.retain(|_, peer| {
            let is_recent =
                peer.last_heartbeat.as_ref().is_some_and(|(at, _)| now - *at < FORGET_AFTER);
            peer.is_registered || is_recent
        });
    }

    /// Returns the registered nodes without a heartbeat within `max_age`.
    pub fn silent_registered(&self, now: Instant, max_age: Duration) -> Vec<String> {
        let nodes = self.lock();
        let is_silent =
            |peer: &&PeerNode| peer.is_registered && peer.recent_heartbeat(now, max_age).is_none();
        nodes.values().filter(is_silent).map(|peer| peer.node.clone()).collect()
    }

    /// Returns whether a tenth or more of the registered nodes are silent. In a large fleet, a few of
    /// them always are, and a heartbeat may get lost.
    pub fn is_cut_off(&self, now: Instant, period: Duration) -> bool {
        let max_age = silent_after(period).min(CUT_OFF_AFTER);
        let nodes = self.lock();
        let registered = nodes.values().filter(|peer| peer.is_registered);
        let (mut count, mut silent) = (0, 0);
        for peer in registered {
            count += 1;
            silent += usize::from(peer.recent_heartbeat(now, max_age).is_none());
        }
        silent > 0 && silent * CUT_OFF_DIVISOR >= count
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, PeerNode>> {
        self.nodes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the time without a heartbeat after which a node counts as silent.
fn silent_after(period: Duration) -> Duration {
    (period * SILENT_PERIODS).max(MIN_SILENT_AFTER)
}
