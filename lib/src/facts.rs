//! Facts shared by gossip: each node publishes its complete current value of each kind.

use crate::ids::Incarnation;
use crate::ids::NodeId;
use guavaladder_proc_macros::common_derives;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

/// Kind of a fact, by descending priority; when the budget is short, the last kinds are dropped
/// first.
#[common_derives(Copy, Eq, Hash, PartialOrd, Ord)]
pub enum FactKind {
    /// Version of the configuration that is in force on the node.
    ConfigInForce,
    /// Fingerprints of requests that were running when an upstream crashed.
    SuspectRequests,
    /// Upstreams that the node knows to be leaving.
    LeavingUpstreams,
    /// The node's own load.
    NodeLoad,
    /// Resource usage per customer.
    CustomerUsage,
    /// Load of replicas, taken from their responses.
    ReplicaLoad,
    /// Summary of service levels.
    ServiceLevels,
}

impl FactKind {
    /// All kinds by descending priority.
    pub const ALL: [Self; 7] = [
        Self::ConfigInForce,
        Self::SuspectRequests,
        Self::LeavingUpstreams,
        Self::NodeLoad,
        Self::CustomerUsage,
        Self::ReplicaLoad,
        Self::ServiceLevels,
    ];

    /// Returns whether facts of this kind are sent to all data centres rather than only their own.
    pub fn is_fleet_wide(self) -> bool {
        match self {
            Self::ConfigInForce
            | Self::SuspectRequests
            | Self::LeavingUpstreams
            | Self::CustomerUsage => true,
            Self::NodeLoad | Self::ReplicaLoad | Self::ServiceLevels => false,
        }
    }
}

/// A node's current value of one kind; the encoding depends on the kind.
#[common_derives(Eq)]
pub struct Fact {
    /// Node that published the fact.
    pub node: NodeId,
    /// Incarnation of the node.
    pub incarnation: Incarnation,
    /// Increases with each publication within an incarnation.
    pub sequence: u64,
    /// Kind of the fact.
    pub kind: FactKind,
    /// Encoded value.
    pub value: Vec<u8>,
}

type Key = (FactKind, NodeId);

/// Shared table of the latest known facts.
#[derive(Debug, Clone, Default)]
pub struct Facts {
    table: Arc<Mutex<BTreeMap<Key, Fact>>>,
}

impl Facts {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Publishes this node's value of a kind; an equal value keeps its sequence number.
    pub fn publish(&self, node: &str, incarnation: Incarnation, kind: FactKind, value: Vec<u8>) {
        let mut table = self.lock();
        let known = table.get(&(kind, node.to_string()));
        let known = known.filter(|fact| fact.incarnation == incarnation);
        if known.is_some_and(|fact| fact.value == value) {
            return;
        }
        let sequence = known.map_or(0, |fact| fact.sequence) + 1;
        let fact = Fact { node: node.to_string(), incarnation, sequence, kind, value };
        table.insert((kind, node.to_string()), fact);
    }

    /// Merges a fact received from a peer and returns whether it was newer.
    pub fn merge(&self, fact: Fact) -> bool {
        let mut table = self.lock();
        let key = (fact.kind, fact.node.clone());
        let is_newer = table
            .get(&key)
            .is_none_or(|k| (k.incarnation, k.sequence) < (fact.incarnation, fact.sequence));
        if is_newer {
            table.insert(key, fact);
        }
        is_newer
    }

    /// Returns the facts of a kind from all nodes.
    pub fn all(&self, kind: FactKind) -> Vec<Fact> {
        self.lock().values().filter(|fact| fact.kind == kind).cloned().collect()
    }

    /// Returns the fact of a kind from one node.
    pub fn get(&self, kind: FactKind, node: &str) -> Option<Fact> {
        self.lock().get(&(kind, node.to_string())).cloned()
    }

    /// Returns all facts.
    pub fn snapshot(&self) -> Vec<Fact> {
        self.lock().values().cloned().collect()
    }

    /// Removes all facts of a node that is gone.
    pub fn remove_node(&self, node: &str) {
        self.lock().retain(|(_, owner), _| owner != node);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<Key, Fact>> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
