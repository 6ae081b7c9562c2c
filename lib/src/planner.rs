//! The planner of one fabric domain: computes the groups to record from the recorded groups, the
//! members' reports and the services' targets.
//!
//! It is a pure function. Its result is recorded first; orders are then derived from the
//! difference between the record and the reports.

use crate::generated::groups::GroupMember;
use crate::generated::groups::GroupRecord;
use crate::generated::groups::GroupState;
use crate::group_formation::Formation;
use crate::group_formation::Pool;
use crate::group_verify::GroupCondition;
use crate::group_verify::group_condition;
use crate::ids::InstanceId;
use crate::planner_change;
use crate::planner_types::DomainInput;
use crate::planner_types::DomainPlan;
use crate::planner_types::GroupChange;
use crate::planner_types::ModelSpec;
use crate::planner_types::ServiceTarget;
use crate::planner_types::Shortage;
use std::collections::BTreeSet;

/// Computes the plan of one domain.
pub fn plan(input: &DomainInput) -> DomainPlan {
    let mut builder = PlanBuilder::new(input);
    input.groups.iter().for_each(|group| builder.review(group));
    for target in &input.targets {
        planner_change::drain_leaving_and_surplus(&mut builder, target);
        builder.form_missing(target);
        planner_change::advance_rolling_change(&mut builder, target);
    }
    builder.assign_standbys();
    builder.plan
}

/// Plan under construction.
pub(crate) struct PlanBuilder<'a> {
    pub(crate) input: &'a DomainInput,
    pub(crate) plan: DomainPlan,
}

impl<'a> PlanBuilder<'a> {
    fn new(input: &'a DomainInput) -> Self {
        let plan = DomainPlan { next_group: input.next_group, ..DomainPlan::default() };
        Self { input, plan }
    }

    /// Keeps, advances or drops a recorded group according to its members' reports.
    fn review(&mut self, group: &GroupRecord) {
        let condition = group_condition(group, &self.input.members, &self.input.stragglers);
        let target = self.target_of(&group.service);
        let Some(target) = target else {
            return self.review_unwanted(group, &condition);
        };
        match (group.state, condition) {
            (GroupState::Released, _) => {}
            (GroupState::Draining, condition) => self.review_draining(group, &condition),
            (_, GroupCondition::Broken { reason }) => self.drop_group(group, reason),
            (GroupState::Serving, GroupCondition::Unconfirmed { member }) => {
                let reason = format!("{member} did not respond");
                self.set_state(group, GroupState::Verifying, reason);
            }
            (GroupState::Serving, _) => self.plan.groups.push(group.clone()),
            (_, _) if ModelSpec::of_group(group) != target.spec => {
                self.drop_group(group, "the model, version or adapter is outdated".to_string());
            }
            (_, GroupCondition::Complete) => {
                let reason = "every member reported its assignment".to_string();
                self.set_state(group, GroupState::Serving, reason);
            }
            (_, _) if self.has_leaving_member(group) => {
                self.drop_group(group, "a member is leaving".to_string());
            }
            (_, GroupCondition::Forming | GroupCondition::Unconfirmed { .. }) => {
                self.plan.groups.push(group.clone());
            }
        }
    }

    fn review_unwanted(&mut self, group: &GroupRecord, condition: &GroupCondition) {
        match group.state {
            GroupState::Serving => self.drain(group, "the service is no longer configured"),
            GroupState::Draining => self.review_draining(group, condition),
            _ => self.drop_group(group, "the service is no longer configured".to_string()),
        }
    }

    /// Ends draining when the lead reports no work, the drain timeout has passed or the group is
    /// broken.
    fn review_draining(&mut self, group: &GroupRecord, condition: &GroupCondition) {
        let drained_for = self.input.draining_for.get(&group.group).copied().unwrap_or_default();
        let lead = group.members.first().and_then(|lead| self.input.members.get(&lead.instance));
        let report = lead.and_then(|lead| lead.report.as_ref());
        let is_idle = report.is_some_and(|report| {
            // The load is a sample, so it counts only if it was taken after draining began.
            report.state == crate::generated::engine::MemberState::Draining
                && report.load.running + report.load.queued == 0
                && report.load.age < drained_for
        });
        let reason = match condition {
            GroupCondition::Broken { reason } => Some(reason.clone()),
            _ if is_idle => Some("drained".to_string()),
            _ if drained_for >= self.input.drain => Some("the drain timeout passed".to_string()),
            _ => None,
        };
        match reason {
            Some(reason) => self.drop_group(group, reason),
            None => self.plan.groups.push(group.clone()),
        }
    }

    /// Forms the groups missing for a target and reports those that cannot be formed.
    fn form_missing(&mut self, target: &ServiceTarget) {
        let have = self.active(target).len();
        let Some(missing) = target.groups.checked_sub(have).filter(|missing| *missing > 0) else {
            return;
        };
        let mut pool = self.pool();
        let free = pool.usable_by(&target.service);
        let formations = pool.form(target, missing);
        let formed = formations.len();
        for formation in formations {
            self.add_group(target, formation, "a group is missing");
        }
        if formed < missing {
            let missing = missing - formed;
            let wanted = target.groups;
            let service = target.service.clone();
            self.plan.shortages.push(Shortage { service, wanted, missing, free });
        }
    }

    /// Adds a new group to the plan.
    pub(crate) fn add_group(&mut self, target: &ServiceTarget, formation: Formation, cause: &str) {
        let state = match formation.loads {
            0 => GroupState::Verifying,
            _ => GroupState::Reserved,
        };
        let address = |id: &InstanceId| self.input.members[id].address.clone();
        let member = |id: &InstanceId| GroupMember { instance: id.clone(), address: address(id) };
        let group = GroupRecord {
            group: format!("{}-{}", self.input.id_prefix, self.plan.next_group),
            service: target.service.clone(),
            epoch: self.input.epoch,
            state,
            members: formation.members.iter().map(member).collect(),
            standbys: vec![],
            model: target.spec.model.clone(),
            version: target.spec.version.clone(),
            adapter: target.spec.adapter.clone(),
            role: target.role,
            generation: 1,
            loads: formation.loads as u32,
        };
        self.plan.next_group += 1;
        let reason = format!("{cause}; {} of {} load", formation.loads, target.group_size);
        self.record_change(&group, "none", state.name(), reason);
        self.plan.groups.push(group);
    }

    /// Sets a serving group to draining, so that it finishes its running requests.
    pub(crate) fn drain(&mut self, group: &GroupRecord, reason: &str) {
        self.plan.groups.retain(|kept| kept.group != group.group);
        self.set_state(group, GroupState::Draining, reason.to_string());
    }

    /// Removes a group from the plan; its members become free and keep their loaded weights.
    pub(crate) fn drop_group(&mut self, group: &GroupRecord, reason: String) {
        self.plan.groups.retain(|kept| kept.group != group.group);
        self.record_change(group, group.state.name(), GroupState::Released.name(), reason);
    }

    fn set_state(&mut self, group: &GroupRecord, state: GroupState, reason: String) {
        self.record_change(group, group.state.name(), state.name(), reason);
        self.plan.groups.push(GroupRecord { state, loads: 0, ..group.clone() });
    }

    fn record_change(
        &mut self,
        group: &GroupRecord,
        from: &'static str,
        to: &'static str,
        reason: String,
    ) {
        self.plan.changes.push(GroupChange {
            group: group.group.clone(),
            service: group.service.clone(),
            from,
            to,
            members: group.members.iter().map(|member| member.instance.clone()).collect(),
            reason,
        });
    }

    /// Returns the groups of a service that serve or are being formed.
    pub(crate) fn active(&self, target: &ServiceTarget) -> Vec<&GroupRecord> {
        let is_active = |group: &&GroupRecord| {
            group.service == target.service
                && !matches!(group.state, GroupState::Draining | GroupState::Released)
        };
        self.plan.groups.iter().filter(is_active).collect()
    }

    /// Returns the pool of instances that are members of no planned group.
    pub(crate) fn pool(&self) -> Pool<'a> {
        let members = self.plan.groups.iter().flat_map(|group| &group.members);
        let claimed: BTreeSet<InstanceId> = members.map(|m| m.instance.clone()).collect();
        Pool::new(&self.input.members, &claimed)
    }

    pub(crate) fn has_leaving_member(&self, group: &GroupRecord) -> bool {
        group.members.iter().any(|member| {
            let facts = self.input.members.get(&member.instance);
            facts.is_none_or(|facts| facts.must_leave)
        })
    }

    fn target_of(&self, service: &str) -> Option<&'a ServiceTarget> {
        self.input.targets.iter().find(|target| target.service == service)
    }

    /// Selects the standbys: free instances that stay loaded to replace failed members. They are
    /// recorded with one group of the service that runs the wanted version.
    fn assign_standbys(&mut self) {
        let mut pool = self.pool();
        self.plan.groups.iter_mut().for_each(|group| group.standbys.clear());
        for target in &self.input.targets {
            let groups = self.active(target).len();
            let mut chosen: Vec<InstanceId> = vec![];
            while chosen.len() < standby_count(target, groups) {
                let Some(id) = pool.take_standby(&target.service, &target.spec) else { break };
                chosen.push(id);
            }
            chosen.sort();
            let host = self.plan.groups.iter_mut().find(|group| {
                group.service == target.service
                    && group.state != GroupState::Draining
                    && ModelSpec::of_group(group) == target.spec
            });
            if let Some(host) = host {
                host.standbys = chosen;
            }
        }
    }
}

/// Returns how many free instances of a domain are kept loaded as standbys of a service: one for
/// each two groups at a downtime weight of 1, none at 0, where only stranded accelerators count.
fn standby_count(target: &ServiceTarget, groups: usize) -> usize {
    (target.downtime_weight * groups as f64 / 2.0).ceil() as usize
}
