//! Instances of services: their registration, their status reports and the orders that they accept.

use crate::rate_limits::RateNotice;
use guavaladder_proc_macros::common_derives;
use std::net::SocketAddr;
use std::time::Duration;

/// Id of one run of an instance's software; a restart usually assigns a new one.
pub type InstanceId = String;
/// Name of a group of instances.
pub type GroupName = String;
/// Generation of a group's assignment; a member rejects an epoch lower than the highest it has seen.
pub type GroupEpoch = u64;

/// State of an instance in its group.
#[common_derives(Copy, Eq)]
pub enum MembershipState {
    /// Loading weights or waiting for the other members.
    Joining,
    /// Ready to serve requests.
    Ready,
    /// Serving requests; only the head has this state.
    Open,
    /// The head no longer accepts requests and finishes those it has.
    Closing,
    /// A member of the group failed.
    Broken,
}

/// Membership of an instance in a group.
#[common_derives(Eq)]
pub struct Membership {
    /// Name of the group.
    pub group: GroupName,
    /// Epoch of the assignment to the group.
    pub epoch: GroupEpoch,
    /// Position in the list of members; 0 is the head.
    pub rank: usize,
    /// State of the instance within the group.
    pub state: MembershipState,
}

impl Membership {
    /// Returns the name and the epoch of the group.
    pub fn group_and_epoch(&self) -> (GroupName, GroupEpoch) {
        (self.group.clone(), self.epoch)
    }
}

/// Group membership and model weights of an instance, as it reports them.
#[common_derives(Eq, Default)]
pub struct EngineStatus {
    /// Model that it serves, alone or as a member of a group.
    pub model: Option<String>,
    /// Models whose weights are staged on its host.
    pub staged: Vec<String>,
    /// Membership in a group, if any.
    pub membership: Option<Membership>,
    /// Fabric domain of its host.
    pub domain: Option<String>,
    /// Start time of this run, in milliseconds since the Unix epoch.
    pub born_ms: u64,
}

/// A registered instance.
#[common_derives(Eq)]
pub struct Instance {
    /// Id of the current run.
    pub id: InstanceId,
    /// Name of the service that it belongs to.
    pub service: String,
    /// Address that accepts requests and orders.
    pub address: SocketAddr,
    /// Data centre that it runs in.
    pub data_centre: String,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it has announced that it is shutting down.
    pub is_draining: bool,
    /// Group membership and model weights.
    pub engine: EngineStatus,
}

/// Status report of an instance.
#[derive(Debug, Clone, PartialEq)]
pub struct InstanceReport {
    /// Group membership and model weights.
    pub engine: EngineStatus,
    /// Number of orders that it has accepted since it started.
    pub sequence: u64,
    /// Whether it is still executing an order.
    pub is_busy: bool,
    /// Number of queued requests.
    pub queued: u32,
    /// Number of running requests.
    pub running: u32,
    /// Factor on all its processing times; a value above 1 means that it is slow.
    pub pace: f64,
}

/// How the head of a group stops serving.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DrainMode {
    /// Running and queued requests are completed.
    Finish,
    /// Running and queued requests are aborted.
    Abort,
}

/// Operation that an order asks an instance to perform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderKind {
    /// Become a member of a group.
    Join {
        /// Name of the group.
        group: GroupName,
        /// Epoch of the group.
        epoch: GroupEpoch,
        /// Model that the group serves.
        model: String,
        /// Ids of all members, the head first.
        members: Vec<InstanceId>,
    },
    /// Start serving requests; sent to the head.
    Open {
        /// Name of the group.
        group: GroupName,
        /// Epoch of the group.
        epoch: GroupEpoch,
    },
    /// Stop serving requests; sent to the head.
    Close {
        /// Name of the group.
        group: GroupName,
        /// Epoch of the group.
        epoch: GroupEpoch,
        /// How running and queued requests are handled.
        mode: DrainMode,
    },
    /// Leave the group.
    Leave {
        /// Name of the group.
        group: GroupName,
        /// Epoch of the group.
        epoch: GroupEpoch,
    },
    /// Load a model's weights onto the host.
    Stage {
        /// Model whose weights are loaded.
        model: String,
    },
}

impl OrderKind {
    /// Returns the name of the operation as it appears in logs.
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

/// An order with the preconditions under which an instance accepts it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Operation to perform.
    pub kind: OrderKind,
    /// Fencing token of the sender's lease.
    pub fencing_token: u64,
    /// Number of orders that the instance must have accepted before; otherwise it rejects this one.
    pub expected_sequence: Option<u64>,
}

/// Response of an instance to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderResponse {
    /// The instance has started to execute the order.
    Begun,
    /// The requested state was already reached.
    Done,
    /// The order conflicts with the state of the instance, or the expected sequence differs.
    Conflict,
    /// The instance has seen a higher fencing token or epoch.
    Fenced,
    /// A different instance now has this address.
    WrongInstance,
    /// Any other response.
    Refused {
        /// HTTP status code.
        status: u16,
    },
}

/// Load that a replica reports in its responses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
}

/// Information from the head of a response.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ResponseHead {
    /// Id of the request to which it responds.
    pub request_id: Option<String>,
    /// Whether the replica guarantees that it did not execute the request.
    pub is_not_run: bool,
    /// Whether it carries the signature of the replica.
    pub is_signed: bool,
    /// Whether the body has a content encoding that was not requested.
    pub is_encoded: bool,
    /// Load that the replica reports.
    pub load: Option<ReportedLoad>,
    /// Instance that the replica names as the cause of a refusal.
    pub at_fault: Option<InstanceId>,
    /// Whether the replica closes the connection after this response.
    pub closes: bool,
    /// How long the replica keeps an idle connection open.
    pub keep_alive: Option<Duration>,
    /// What the instance states about itself.
    pub notice: InstanceNotice,
}

impl ResponseHead {
    /// Returns whether the instance ran the request.
    pub fn is_run(&self) -> bool {
        self.is_signed && !self.is_not_run
    }
}

/// What an instance states about itself in the headers of any answer.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct InstanceNotice {
    /// Rate at which it takes requests.
    pub rate: RateNotice,
    /// Whether it leaves: it takes no new requests.
    pub is_leaving: bool,
    /// Time for which it wants no requests of this node, if it refuses one.
    pub retry_after: Option<Duration>,
    /// How much longer it stays cold, if it says so.
    pub cold_left: Option<Duration>,
}
