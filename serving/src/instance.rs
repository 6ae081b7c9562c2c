//! Instances of the services: what they register, what they report, and the orders that they take.

use guavaladder_proc_macros::common_derives;
use std::net::SocketAddr;
use std::time::Duration;

/// Id of one run of an instance's software; mostly new after a restart.
pub type InstanceId = String;
/// Name of a group of instances.
pub type GroupName = String;
/// Number of a group's assignment; a member refuses one lower than any that it has seen.
pub type GroupEpoch = u64;

/// State of an instance in its group.
#[common_derives(Copy, Eq)]
pub enum MembershipState {
    /// Loads weights or waits for the other members.
    Joining,
    /// Ready to serve.
    Ready,
    /// The head serves requests.
    Open,
    /// The head finishes its requests.
    Closing,
    /// A member of the group was lost.
    Broken,
}

/// Place of an instance in a group.
#[common_derives(Eq)]
pub struct Membership {
    /// Name of the group.
    pub group: GroupName,
    /// Epoch of the assignment.
    pub epoch: GroupEpoch,
    /// Place in the list of members; 0 is the head.
    pub rank: usize,
    /// State.
    pub state: MembershipState,
}

impl Membership {
    /// Returns the group and the epoch.
    pub fn place(&self) -> (GroupName, GroupEpoch) {
        (self.group.clone(), self.epoch)
    }
}

/// What an instance tells about its place and its weights.
#[common_derives(Eq, Default)]
pub struct EngineStatus {
    /// Model that it serves or serves with.
    pub model: Option<String>,
    /// Models that are staged on its host.
    pub staged: Vec<String>,
    /// Its group.
    pub membership: Option<Membership>,
    /// Fabric domain.
    pub domain: Option<String>,
    /// Start of this life, in milliseconds since the Unix epoch.
    pub born_ms: u64,
}

/// A registered instance.
#[common_derives(Eq)]
pub struct Instance {
    /// Id.
    pub id: InstanceId,
    /// Service.
    pub service: String,
    /// Address.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it has announced that it leaves.
    pub is_draining: bool,
    /// Place and weights.
    pub engine: EngineStatus,
}

/// An instance's answer to the question for its state.
#[derive(Debug, Clone, PartialEq)]
pub struct InstanceReport {
    /// Place and weights.
    pub engine: EngineStatus,
    /// Number of orders that it has accepted in this life.
    pub sequence: u64,
    /// Whether an order is in progress.
    pub is_busy: bool,
    /// Requests that wait.
    pub queued: u32,
    /// Requests that run.
    pub running: u32,
    /// Factor on all its times; above 1 it is slow.
    pub pace: f64,
}

/// How a group's head ends its work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DrainMode {
    /// Requests that run or wait are finished.
    Finish,
    /// Requests are cut off.
    Abort,
}

/// What an instance is ordered to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderKind {
    /// Become a member of a group.
    Join {
        /// Group.
        group: GroupName,
        /// Epoch.
        epoch: GroupEpoch,
        /// Model.
        model: String,
        /// All members, the head first.
        members: Vec<InstanceId>,
    },
    /// Start to serve, as the head.
    Open {
        /// Group.
        group: GroupName,
        /// Epoch.
        epoch: GroupEpoch,
    },
    /// Stop to serve, as the head.
    Close {
        /// Group.
        group: GroupName,
        /// Epoch.
        epoch: GroupEpoch,
        /// What becomes of the requests.
        mode: DrainMode,
    },
    /// Leave the group.
    Leave {
        /// Group.
        group: GroupName,
        /// Epoch.
        epoch: GroupEpoch,
    },
    /// Load a model's weights onto the host.
    Stage {
        /// Model.
        model: String,
    },
}

impl OrderKind {
    /// Returns the name used in logs.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Join { .. } => "join",
            Self::Open { .. } => "open",
            Self::Close { .. } => "close",
            Self::Leave { .. } => "leave",
            Self::Stage { .. } => "stage",
        }
    }
}

/// An order with its guards.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// What to do.
    pub kind: OrderKind,
    /// Fencing token of the sender's lease.
    pub fencing_token: u64,
    /// Number of orders that the instance must have accepted before; it refuses otherwise.
    pub expected_sequence: Option<u64>,
}

/// An instance's answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAnswer {
    /// It has begun.
    Begun,
    /// The state held already.
    Done,
    /// It does not fit the state, or the expected sequence differs.
    Conflict,
    /// A higher fencing token or epoch was seen.
    Fenced,
    /// Another instance has this address.
    WrongInstance,
    /// Any other answer.
    Refused {
        /// Status code.
        status: u16,
    },
}

/// Load that a replica tells in its answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that it runs at once.
    pub slots: u32,
}

/// What the head of an answer says.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AnswerHead {
    /// Request that it answers.
    pub request_id: Option<String>,
    /// Whether the replica vouches that it did not run the request.
    pub is_not_run: bool,
    /// Whether it bears the replica's signature.
    pub is_signed: bool,
    /// Whether the body is encoded in a way that nobody asked for.
    pub is_encoded: bool,
    /// Load of the replica.
    pub load: Option<ReportedLoad>,
    /// Instance that the replica blames for a refusal.
    pub at_fault: Option<InstanceId>,
    /// Whether the replica closes the connection after this answer.
    pub closes: bool,
    /// How long the replica keeps an idle connection open.
    pub keep_alive: Option<Duration>,
}
