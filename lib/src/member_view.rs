//! The node's view of the other entry nodes, fed by the membership protocol.

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
    /// Answers.
    Live,
    /// Did not answer; not yet declared dead.
    Suspect,
    /// Announced that it leaves; finishes what it runs.
    Leaving,
    /// Declared dead or gone.
    Dead,
}

/// One entry node.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// Id of the node.
    pub node: NodeId,
    /// Incarnation of its current run.
    pub incarnation: Incarnation,
    /// State.
    pub state: MemberState,
    /// Data centre.
    pub data_centre: DataCentreId,
    /// Region.
    pub region: RegionId,
    /// Address for other nodes.
    pub peer_address: Address,
    /// Address for callers.
    pub caller_address: Address,
    /// Address of the operators' API.
    pub operator_address: Address,
}

/// Members by node id, this node included.
pub type Members = BTreeMap<NodeId, Member>;

/// Shared view of the members.
#[derive(Debug, Clone)]
pub struct MemberView {
    tx: Arc<watch::Sender<Arc<Members>>>,
}

impl MemberView {
    /// Returns an empty view.
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

    /// Returns the members that may be given work: live or suspect, and not leaving.
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
