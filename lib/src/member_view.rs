//! The node's view of all entry nodes, updated by the membership protocol.

use crate::ids::Address;
use crate::ids::DataCentreId;
use crate::ids::Incarnation;
use crate::ids::NodeId;
use crate::ids::RegionId;
use std::collections::BTreeMap;
use std::sync::Arc;
use tokio::sync::watch;

/// State of a member as this node sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum MemberState {
    /// Responds to pings.
    Live,
    /// Did not respond, or its data centre is silent; not yet declared dead.
    Suspect,
    /// Announced that it is leaving; completes its running requests.
    Leaving,
    /// Declared dead, has left, or its data centre has been silent for long.
    Dead,
}

/// An entry node.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// Id of the node.
    pub node: NodeId,
    /// Incarnation, which changes with each start of the node.
    pub incarnation: Incarnation,
    /// State as seen by this node.
    pub state: MemberState,
    /// Data centre of the node.
    pub data_centre: DataCentreId,
    /// Region of the node.
    pub region: RegionId,
    /// Address for other nodes.
    pub peer_address: Address,
    /// Address for callers.
    pub caller_address: Address,
    /// Address of the operator API.
    pub operator_address: Address,
}

/// Members by node id, this node included.
pub type Members = BTreeMap<NodeId, Member>;

/// Handle to the shared member view.
#[derive(Debug, Clone)]
pub struct MemberView {
    tx: Arc<watch::Sender<Arc<Members>>>,
}

impl MemberView {
    /// Creates an empty view.
    pub fn new() -> Self {
        let (tx, _) = watch::channel(Arc::default());
        Self { tx: Arc::new(tx) }
    }

    /// Replaces the members; subscribers are notified only when they differ.
    pub fn replace(&self, members: Members) {
        self.tx.send_if_modified(|current| {
            let differs = **current != members;
            if differs {
                *current = Arc::new(members);
            }
            differs
        });
    }

    /// Returns the current members.
    pub fn get(&self) -> Arc<Members> {
        self.tx.borrow().clone()
    }

    /// Returns the members that may receive work: live or suspect, but not leaving.
    pub fn usable(&self) -> Vec<Member> {
        let is_usable =
            |member: &&Member| matches!(member.state, MemberState::Live | MemberState::Suspect);
        self.get().values().filter(is_usable).cloned().collect()
    }

    /// Returns a receiver that is notified when the members change.
    pub fn subscribe(&self) -> watch::Receiver<Arc<Members>> {
        self.tx.subscribe()
    }
}

impl Default for MemberView {
    fn default() -> Self {
        Self::new()
    }
}
