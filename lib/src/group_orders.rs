//! Orders that follow from the difference between a domain's record and its members' reports.

use crate::generated::engine::Assignment;
use crate::generated::engine::MemberState;
use crate::generated::engine::OrderAction;
use crate::generated::groups::GroupRecord;
use crate::generated::groups::GroupState;
use crate::group_verify::assignment_of;
use crate::group_verify::has_weights;
use crate::group_verify::is_standby;
use crate::ids::Address;
use crate::ids::Epoch;
use crate::ids::InstanceId;
use crate::planner_types::MemberFacts;
use crate::planner_types::ModelSpec;
use crate::planner_types::ServiceTarget;
use std::collections::BTreeMap;

/// An order to be sent to an instance now.
#[derive(Debug, Clone, PartialEq)]
pub struct NeededOrder {
    /// The instance.
    pub instance: InstanceId,
    /// Its address.
    pub address: Address,
    /// Requested action.
    pub action: OrderAction,
}

/// Reserved group id that no instance belongs to; a release of it only conveys the fencing number.
pub const FENCE_GROUP: &str = "-";

impl NeededOrder {
    /// Returns an order that only raises the highest fencing number seen by the instance.
    pub fn fence(instance: &str, address: &str) -> Self {
        let action = OrderAction::Release(FENCE_GROUP.to_string());
        Self { instance: instance.to_string(), address: address.to_string(), action }
    }

    /// Tells whether the order only conveys the fencing number.
    pub fn is_fence(&self) -> bool {
        self.action == OrderAction::Release(FENCE_GROUP.to_string())
    }
}

/// Use of an instance in the domain's record.
enum Claim<'a> {
    Member { group: &'a GroupRecord, shard: usize },
    Standby { group: &'a GroupRecord, index: usize },
    None,
}

/// Returns the orders that move the members towards the record, at most one for each instance.
pub fn needed_orders(
    groups: &[GroupRecord],
    members: &BTreeMap<InstanceId, MemberFacts>,
    targets: &[ServiceTarget],
    epoch: Epoch,
) -> Vec<NeededOrder> {
    let claims = claims(groups);
    let responding = members.iter().filter(|(_, facts)| facts.is_responding());
    let order = |(id, facts): (&InstanceId, &MemberFacts)| {
        let claim = claims.get(id.as_str()).unwrap_or(&Claim::None);
        let action = action_for(claim, facts, targets, epoch)?;
        Some(NeededOrder { instance: id.clone(), address: facts.address.clone(), action })
    };
    responding.filter_map(order).collect()
}

/// Tells whether an order removes an instance from a group whose lead may still accept requests.
///
/// `may_be_routed` tells whether routers may still send requests to a group.
pub fn breaks_routed_group(
    order: &NeededOrder,
    members: &BTreeMap<InstanceId, MemberFacts>,
    may_be_routed: impl Fn(&str) -> bool,
) -> bool {
    let changes_assignment = matches!(
        order.action,
        OrderAction::Regroup(_) | OrderAction::Release(_) | OrderAction::Reload(_)
    );
    let assignment = members.get(&order.instance).and_then(MemberFacts::assignment);
    let Some(assignment) = assignment
        .filter(|assignment| changes_assignment && !order.is_fence() && !is_standby(assignment))
    else {
        return false;
    };
    let Some(lead) = assignment.members.first().filter(|lead| **lead != order.instance) else {
        return false;
    };
    match members.get(lead).filter(|lead| lead.is_responding()) {
        Some(lead) => {
            let lead_assignment = lead
                .assignment()
                .map(|lead_assignment| (&lead_assignment.group, lead_assignment.epoch));
            let is_lead_in_group = lead_assignment == Some((&assignment.group, assignment.epoch));
            is_lead_in_group && lead.state() == Some(MemberState::Ready)
        }
        None => may_be_routed(&assignment.group),
    }
}

fn claims(groups: &[GroupRecord]) -> BTreeMap<&str, Claim<'_>> {
    let mut claims = BTreeMap::new();
    for group in groups {
        for (index, standby) in group.standbys.iter().enumerate() {
            claims.insert(standby.as_str(), Claim::Standby { group, index });
        }
    }
    for group in groups {
        for (shard, member) in group.members.iter().enumerate() {
            claims.insert(member.instance.as_str(), Claim::Member { group, shard });
        }
    }
    claims
}

fn action_for(
    claim: &Claim<'_>,
    facts: &MemberFacts,
    targets: &[ServiceTarget],
    epoch: Epoch,
) -> Option<OrderAction> {
    let state = facts.state()?;
    match claim {
        Claim::Member { group, shard } => member_action(group, *shard, facts, state),
        Claim::Standby { group, index } => {
            let spec = ModelSpec::of_group(group);
            let is_loaded_standby = facts.assignment().is_some_and(|assignment| {
                is_standby(assignment) && ModelSpec::of_assignment(assignment) == spec
            });
            match state {
                MemberState::Idle => {
                    let shard = group.members.len() + index;
                    let wanted = Assignment { epoch, ..assignment_of(group, shard) };
                    Some(OrderAction::Join(wanted))
                }
                MemberState::Loading | MemberState::Ready if is_loaded_standby => None,
                _ => release(facts),
            }
        }
        Claim::None => {
            let has_useful_weights = facts.is_eligible() && has_needed_weights(facts, targets);
            match has_useful_weights {
                // Its group is no longer recorded, so it must not accept requests.
                true if state == MemberState::Ready => drain_member(facts),
                true => None,
                false => release(facts),
            }
        }
    }
}

fn member_action(
    group: &GroupRecord,
    shard: usize,
    facts: &MemberFacts,
    state: MemberState,
) -> Option<OrderAction> {
    let wanted = assignment_of(group, shard);
    let has_wanted = facts.assignment() == Some(&wanted);
    match group.state {
        GroupState::Draining => {
            let accepts_requests = has_wanted && state == MemberState::Ready;
            accepts_requests.then(|| OrderAction::Drain(group.group.clone()))
        }
        GroupState::Released => release(facts),
        // A serving group whose members differ from the record is verified before it is changed.
        GroupState::Serving => None,
        GroupState::Reserved | GroupState::Loading | GroupState::Verifying => {
            if has_wanted && matches!(state, MemberState::Ready | MemberState::Loading) {
                return None;
            }
            if has_weights(facts, &ModelSpec::of_group(group), shard) {
                return Some(OrderAction::Regroup(wanted));
            }
            let may_load = group.state != GroupState::Reserved;
            match state {
                MemberState::Idle => may_load.then_some(OrderAction::Join(wanted)),
                _ => release(facts),
            }
        }
    }
}

fn drain_member(facts: &MemberFacts) -> Option<OrderAction> {
    let assignment = facts.assignment().filter(|assignment| !is_standby(assignment))?;
    Some(OrderAction::Drain(assignment.group.clone()))
}

fn release(facts: &MemberFacts) -> Option<OrderAction> {
    facts.assignment().map(|assignment: &Assignment| OrderAction::Release(assignment.group.clone()))
}

/// Tells whether an instance without a recorded group has weights that its domain may need again.
fn has_needed_weights(facts: &MemberFacts, targets: &[ServiceTarget]) -> bool {
    let Some(assignment) = facts.assignment() else { return false };
    let spec = ModelSpec::of_assignment(assignment);
    targets
        .iter()
        .any(|target| target.spec == spec && has_weights(facts, &spec, assignment.shard as usize))
}
