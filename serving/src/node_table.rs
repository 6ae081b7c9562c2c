//! The other nodes: who registered in the store, who was heard lately, and what they told.

use crate::rate_limited_log::RateLimitedLog;
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
use std::time::Duration;
use tokio::time::Instant;

/// Shortest time without a message after which a node counts as silent.
const MIN_SILENCE: Duration = Duration::from_millis(1000);
/// Periods between messages after which a node counts as silent.
const SILENT_PERIODS: u32 = 6;
/// Time without a message after which a node that is not registered is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(20);

/// One other node.
#[derive(Debug, Clone)]
pub struct PeerNode {
    /// Id.
    pub node: String,
    /// IP number.
    pub address: IpAddr,
    /// Last message and the time at which it came.
    pub heard: Option<(Instant, NodeBeat)>,
    /// Whether it is registered in the store.
    pub is_registered: bool,
    /// Whether it was told to be silent.
    was_silent: bool,
}

impl PeerNode {
    /// Returns the last message unless it is older than `bound`.
    pub fn fresh_beat(&self, now: Instant, bound: Duration) -> Option<&NodeBeat> {
        self.heard.as_ref().filter(|(at, _)| now - *at < bound).map(|(_, beat)| beat)
    }
}

/// Shared table of the other nodes.
#[derive(Debug, Clone)]
pub struct NodeTable {
    own: Arc<str>,
    log: RateLimitedLog,
    nodes: Arc<Mutex<HashMap<String, PeerNode>>>,
}

/// What the holder of the lease on the groups told of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseRenewal {
    /// Holder.
    pub holder: String,
    /// Revision of the lease's object.
    pub revision: u64,
    /// When this was heard.
    pub heard: Instant,
    /// Time from the write of the revision until it was told.
    pub age: Duration,
}

/// An entry node as callers may use it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryNode {
    /// Address for callers.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: String,
}

impl NodeTable {
    /// Returns an empty table on a node.
    pub fn new(own: &str, log: RateLimitedLog) -> Self {
        Self { own: Arc::from(own), log, nodes: Arc::default() }
    }

    /// Takes in the nodes that are registered in the store.
    pub fn set_registered(&self, registered: &[(String, IpAddr)]) {
        let mut nodes = self.lock();
        for peer in nodes.values_mut() {
            peer.is_registered = registered.iter().any(|(node, _)| *node == peer.node);
        }
        for (node, address) in registered.iter().filter(|(node, _)| **node != *self.own) {
            let peer = nodes.entry(node.clone()).or_insert_with(|| PeerNode {
                node: node.clone(),
                address: *address,
                heard: None,
                is_registered: true,
                was_silent: false,
            });
            peer.is_registered = true;
            if peer.heard.is_none() {
                peer.address = *address;
            }
        }
    }

    /// Takes in a message; returns false for one that is older than the last.
    pub fn heard(&self, from: IpAddr, beat: NodeBeat, now: Instant) -> bool {
        if beat.node == *self.own {
            return false;
        }
        let mut nodes = self.lock();
        let peer = nodes.entry(beat.node.clone()).or_insert_with(|| PeerNode {
            node: beat.node.clone(),
            address: from,
            heard: None,
            is_registered: false,
            was_silent: false,
        });
        let last = peer.heard.as_ref().map(|(_, last)| (last.incarnation, last.sequence));
        if last.is_some_and(|last| last >= (beat.incarnation, beat.sequence)) {
            return false;
        }
        if last.is_none_or(|(incarnation, _)| incarnation != beat.incarnation) {
            let source = from.to_string();
            let (node, incarnation) = (beat.node.clone(), beat.incarnation);
            self.log.record(Event::NodeJoined { node, incarnation, source });
        }
        peer.address = from;
        peer.was_silent = false;
        peer.heard = Some((now, beat));
        true
    }

    /// Returns the addresses of all nodes that messages are sent to.
    pub fn addresses(&self) -> Vec<IpAddr> {
        self.lock().values().map(|peer| peer.address).collect()
    }

    /// Returns the other nodes that were heard lately.
    pub fn live(&self, now: Instant, period: Duration) -> Vec<NodeBeat> {
        let bound = silence(period);
        let nodes = self.lock();
        nodes.values().filter_map(|peer| peer.fresh_beat(now, bound).cloned()).collect()
    }

    /// Returns how many nodes there are, this one included: registered ones and those heard lately.
    pub fn count(&self, now: Instant, period: Duration) -> usize {
        let bound = silence(period);
        let is_there =
            |peer: &&PeerNode| peer.is_registered || peer.fresh_beat(now, bound).is_some();
        self.lock().values().filter(is_there).count() + 1
    }

    /// Returns the other nodes that callers may use.
    pub fn entries(&self, now: Instant, period: Duration) -> Vec<EntryNode> {
        let bound = silence(period);
        let nodes = self.lock();
        let beats = nodes.values().filter_map(|peer| peer.fresh_beat(now, bound));
        let serving = beats.filter(|beat| beat.phase == NodePhase::Serving);
        let entry = |beat: &NodeBeat| {
            let address = beat.caller_address.parse().ok()?;
            Some(EntryNode { address, data_centre: beat.data_centre.clone() })
        };
        serving.filter_map(entry).collect()
    }

    /// Returns what another node that was heard lately told of its lease on the groups.
    pub fn lease_holder(&self, now: Instant, bound: Duration) -> Option<LeaseRenewal> {
        let nodes = self.lock();
        let heard = nodes.values().filter_map(|peer| peer.heard.as_ref());
        let holders = heard.filter(|(at, beat)| now - *at < bound && beat.lease_term > 0);
        let (heard, beat) = holders.max_by_key(|(_, beat)| beat.lease_term)?;
        Some(LeaseRenewal {
            holder: beat.node.clone(),
            revision: beat.lease_revision,
            heard: *heard,
            age: Duration::from_millis(beat.lease_age_ms),
        })
    }

    /// Records the nodes that fell silent and forgets those that are gone.
    pub fn review(&self, now: Instant, period: Duration) {
        let bound = silence(period);
        let mut nodes = self.lock();
        for peer in nodes.values_mut() {
            let silent_for = peer.heard.as_ref().map(|(at, _)| now - *at);
            let Some(silent_for) = silent_for.filter(|silent| *silent >= bound) else { continue };
            if !std::mem::replace(&mut peer.was_silent, true) {
                self.log.record(Event::NodeSilent { node: peer.node.clone(), silent_for });
            }
        }
        nodes.retain(|_, peer| {
            let is_heard = peer.heard.as_ref().is_some_and(|(at, _)| now - *at < FORGET_AFTER);
            peer.is_registered || is_heard
        });
    }

    /// Returns the registered nodes that were not heard for `bound`, or never.
    pub fn unheard(&self, now: Instant, bound: Duration) -> Vec<String> {
        let nodes = self.lock();
        let is_unheard =
            |peer: &&PeerNode| peer.is_registered && peer.fresh_beat(now, bound).is_none();
        nodes.values().filter(is_unheard).map(|peer| peer.node.clone()).collect()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, PeerNode>> {
        self.nodes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the time without a message after which a node counts as silent.
fn silence(period: Duration) -> Duration {
    (period * SILENT_PERIODS).max(MIN_SILENCE)
}
