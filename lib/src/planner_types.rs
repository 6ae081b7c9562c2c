//! Input and output of the planner of one fabric domain: plain data without handles.

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

/// What the members of a service's groups have to load.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ModelSpec {
    /// Model.
    pub model: String,
    /// Version of the model.
    pub version: String,
    /// Adapter.
    pub adapter: Option<String>,
}

impl ModelSpec {
    /// Returns what a group has loaded.
    pub fn of_group(group: &GroupRecord) -> Self {
        Self {
            model: group.model.clone(),
            version: group.version.clone(),
            adapter: group.adapter.clone(),
        }
    }

    /// Returns what an assignment has loaded.
    pub fn of_assignment(held: &Assignment) -> Self {
        Self {
            model: held.model.clone(),
            version: held.version.clone(),
            adapter: held.adapter.clone(),
        }
    }
}

/// What one service wants of one fabric domain.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceTarget {
    /// Service.
    pub service: ServiceId,
    /// Wanted number of groups in this domain.
    pub groups: usize,
    /// Instances in a group.
    pub group_size: usize,
    /// Priority; higher wins.
    pub priority: u32,
    /// What its groups load.
    pub spec: ModelSpec,
    /// Part of the work that its groups do.
    pub role: GroupRole,
    /// Weight of group downtime against stranded accelerators, from 0 to 1.
    pub downtime_weight: f64,
    /// Groups that this domain may take down on purpose now.
    pub disruptions: usize,
}

/// The owner's judgement of one instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberHealth {
    /// Has not answered this owner yet, which began only lately.
    Unknown,
    /// Answers.
    Answering,
    /// Did not answer for a while; its group does not serve, its place is kept.
    Silent,
    /// Did not answer for so long that its place is given away.
    Lost,
    /// Answers, but failed or restarted too often lately to be given a place.
    Flapping,
}

/// What planning knows about one instance of the domain.
#[derive(Debug, Clone, PartialEq)]
pub struct MemberFacts {
    /// Address.
    pub address: Address,
    /// Judgement.
    pub health: MemberHealth,
    /// Last own report.
    pub report: Option<EngineStatus>,
    /// Whether it may be given a place in a group.
    pub takes_groups: bool,
    /// Whether it has to leave its group: it goes away or was excluded.
    pub must_leave: bool,
    /// Whether it refused to join with the weights that it reports.
    pub lacks_weights: bool,
    /// Service that it is kept for.
    pub pinned_to: Option<ServiceId>,
}

impl MemberFacts {
    /// Returns the assignment in the last report.
    pub fn held(&self) -> Option<&Assignment> {
        self.report.as_ref().and_then(|report| report.assignment.as_ref())
    }

    /// Returns the state in the last report.
    pub fn state(&self) -> Option<MemberState> {
        self.report.as_ref().map(|report| report.state)
    }

    /// Tells whether its last report is current.
    pub fn is_answering(&self) -> bool {
        matches!(self.health, MemberHealth::Answering | MemberHealth::Flapping)
    }

    /// Tells whether it may be given a place now.
    pub fn is_eligible(&self) -> bool {
        self.health == MemberHealth::Answering && self.takes_groups && !self.must_leave
    }
}

/// Input of the planner.
#[derive(Debug, Clone, PartialEq)]
pub struct DomainInput {
    /// Fencing number of the owner.
    pub epoch: Epoch,
    /// Groups as recorded.
    pub groups: Vec<GroupRecord>,
    /// Instances of the domain, lost ones included.
    pub members: BTreeMap<InstanceId, MemberFacts>,
    /// What the services want, in the order of their priority.
    pub targets: Vec<ServiceTarget>,
    /// How long each draining group has drained.
    pub draining_for: BTreeMap<GroupId, Duration>,
    /// Bound on draining.
    pub drain: Duration,
    /// Members whose load takes far longer than that of the rest of their group.
    pub stragglers: BTreeSet<InstanceId>,
    /// Number that the next new group gets in its id.
    pub next_group: u64,
    /// Prefix of new group ids, unique to the domain and its owner's epoch.
    pub id_prefix: String,
}

/// Why the planner changed a group.
#[derive(Debug, Clone, PartialEq)]
pub struct GroupChange {
    /// The group.
    pub group: GroupId,
    /// Its service.
    pub service: ServiceId,
    /// State before, or `none`.
    pub from: &'static str,
    /// State after.
    pub to: &'static str,
    /// Members after the change.
    pub members: Vec<InstanceId>,
    /// Inputs of the decision.
    pub reason: String,
}

/// A wanted group that cannot be formed.
#[derive(Debug, Clone, PartialEq)]
pub struct Shortage {
    /// The service.
    pub service: ServiceId,
    /// Wanted groups in this domain.
    pub wanted: usize,
    /// How many cannot be formed.
    pub missing: usize,
    /// Free instances.
    pub free: usize,
}

/// Output of the planner.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct DomainPlan {
    /// Groups as they should be recorded.
    pub groups: Vec<GroupRecord>,
    /// What changed and why.
    pub changes: Vec<GroupChange>,
    /// Wanted groups that cannot be formed.
    pub shortages: Vec<Shortage>,
    /// Number that the next new group gets in its id.
    pub next_group: u64,
}
