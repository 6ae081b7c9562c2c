//! Input and output of the planner of one fabric domain, as plain data.

use crate::generated::engine::Assignment;
use crate::generated::engine::EngineStatus;
use crate::generated::engine::GroupRole;
use crate::generated::engine::MemberState;
use crate::generated::groups::GroupRecord;
use crate::ids::Address;
use crate::ids::Epoch;
use crate::ids::GroupId;
use crate::ids::InstanceId;
use crate::ids::ServiceId;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

/// Model, version and adapter that the members of a group load.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ModelSpec {
    /// Name of the model.
    pub model: String,
    /// Version of the model.
    pub version: String,
    /// Adapter applied to the model, if any.
    pub adapter: Option<String>,
}

impl ModelSpec {
    /// Returns the model of a recorded group.
    pub fn of_group(group: &GroupRecord) -> Self {
        Self {
            model: group.model.clone(),
            version: group.version.clone(),
            adapter: group.adapter.clone(),
        }
    }

    /// Returns the model of an assignment.
    pub fn of_assignment(held: &Assignment) -> Self {
        Self {
            model: held.model.clone(),
            version: held.version.clone(),
            adapter: held.adapter.clone(),
        }
    }
}

/// Target of one service in one fabric domain.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceTarget {
    /// Id of the service.
    pub service: ServiceId,
    /// Wanted number of groups in this domain.
    pub groups: usize,
    /// Number of instances in a group.
    pub group_size: usize,
    /// Priority; services of higher priority are planned first.
    pub priority: u32,
    /// Model that its groups load.
    pub spec: ModelSpec,
    /// Role of its groups in serving a request.
    pub role: GroupRole,
    /// Weight of group downtime relative to stranded accelerators, from 0 to 1.
    pub downtime_weight: f64,
    /// Number of outdated groups that this domain may drain now without a replacement.
    pub disruptions: usize,
}

/// Health of one instance as assessed by the domain's owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberHealth {
    /// Has not responded yet, and this owner has polled it only for a short time.
    Unknown,
    /// Responds to polls.
    Responding,
    /// Has not responded for a short time; its group does not serve, but it stays a member.
    Silent,
    /// Has not responded for so long that its group is dropped.
    Lost,
    /// Responds, but failed or restarted too often recently to be assigned to a group.
    Flapping,
}

/// The planner's input about one instance of the domain.
#[derive(Debug, Clone, PartialEq)]
pub struct MemberFacts {
    /// Address of the instance.
    pub address: Address,
    /// Health of the instance.
    pub health: MemberHealth,
    /// Last report of the instance.
    pub report: Option<EngineStatus>,
    /// Whether it may be assigned to a group: neither it nor its domain is cordoned.
    pub accepts_groups: bool,
    /// Whether it has to leave its group: it is leaving or was excluded.
    pub must_leave: bool,
    /// Whether it refused to join a group with the weights that it reports.
    pub lacks_weights: bool,
    /// Service that it is reserved for, if any.
    pub pinned_to: Option<ServiceId>,
}

impl MemberFacts {
    /// Returns the assignment in the last report.
    pub fn assignment(&self) -> Option<&Assignment> {
        self.report.as_ref().and_then(|report| report.assignment.as_ref())
    }

    /// Returns the state in the last report.
    pub fn state(&self) -> Option<MemberState> {
        self.report.as_ref().map(|report| report.state)
    }

    /// Returns whether its last report is current.
    pub fn is_responding(&self) -> bool {
        matches!(self.health, MemberHealth::Responding | MemberHealth::Flapping)
    }

    /// Returns whether it may be assigned to a group now.
    pub fn is_eligible(&self) -> bool {
        self.health == MemberHealth::Responding && self.accepts_groups && !self.must_leave
    }
}

/// Input of the planner for one domain.
#[derive(Debug, Clone, PartialEq)]
pub struct DomainInput {
    /// Fencing number of the owner.
    pub epoch: Epoch,
    /// Groups in the domain's record.
    pub groups: Vec<GroupRecord>,
    /// Instances of the domain, including lost ones.
    pub members: BTreeMap<InstanceId, MemberFacts>,
    /// Targets of the services, highest priority first.
    pub targets: Vec<ServiceTarget>,
    /// Time for which each draining group has been draining.
    pub draining_for: BTreeMap<GroupId, Duration>,
    /// Longest time for which a group drains.
    pub drain: Duration,
    /// Members that take far longer to load than the fastest member of their group.
    pub stragglers: BTreeSet<InstanceId>,
    /// Number used in the id of the next new group.
    pub next_group: u64,
    /// Prefix of new group ids, unique to the domain and its owner's epoch.
    pub id_prefix: String,
}

/// A change of a group's state and its reason.
#[derive(Debug, Clone, PartialEq)]
pub struct GroupChange {
    /// Id of the group.
    pub group: GroupId,
    /// Service of the group.
    pub service: ServiceId,
    /// State before the change, or `none` for a new group.
    pub from: &'static str,
    /// State after the change.
    pub to: &'static str,
    /// Members after the change.
    pub members: Vec<InstanceId>,
    /// Reason for the change.
    pub reason: String,
}

/// Groups of one service that cannot be formed.
#[derive(Debug, Clone, PartialEq)]
pub struct Shortage {
    /// Service of the missing groups.
    pub service: ServiceId,
    /// Wanted number of groups in this domain.
    pub wanted: usize,
    /// Number of groups that cannot be formed.
    pub missing: usize,
    /// Number of free instances that the service may use.
    pub free: usize,
}

/// Output of the planner for one domain.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct DomainPlan {
    /// Groups to be recorded.
    pub groups: Vec<GroupRecord>,
    /// Changes from the recorded groups, with their reasons.
    pub changes: Vec<GroupChange>,
    /// Services whose wanted groups cannot all be formed.
    pub shortages: Vec<Shortage>,
    /// Number used in the id of the next new group.
    pub next_group: u64,
}
