//! The planner of one fabric domain: from the recorded groups, the members' reports and what the
//! services want, it works out the groups that should be recorded.
//!
//! It is a plain function. What it returns is recorded first; the orders then follow from the
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

/// Plans one domain.
pub fn plan(input: &DomainInput) -> DomainPlan {
    let mut draft = Draft::new(input);
    input.groups.iter().for_each(|group| draft.review(group));
    for target in &input.targets {
        planner_change::retire(&mut draft, target);
        draft.form_missing(target);
        planner_change::roll(&mut draft, target);
    }
    draft.keep_standbys();
    draft.plan
}

/// A plan in the making.
pub(crate) struct Draft<'a> {
    pub(crate) input: &'a DomainInput,
    pub(crate) plan: DomainPlan,
}

impl<'a> Draft<'a> {
    fn new(input: &'a DomainInput) -> Self {
        let plan = DomainPlan { next_group: input.next_group, ..DomainPlan::default() };
        Self { input, plan }
    }

    /// Keeps, advances or drops a recorded group by what its members report.
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
                let reason = format!("{member} did not answer");
                self.keep(group, GroupState::Verifying, reason);
            }
            (GroupState::Serving, _) => self.plan.groups.push(group.clone()),
            (_, _) if ModelSpec::of_group(group) != target.spec => {
                self.drop_group(group, "another version is wanted".to_string());
            }
            (_, GroupCondition::Complete) => {
                let reason = "every member reported its place".to_string();
                self.keep(group, GroupState::Serving, reason);
            }
            (_, _) if self.has_leaving_member(group) => {
                self.drop_group(group, "a member goes away".to_string());
            }
            (_, GroupCondition::Forming | GroupCondition::Unconfirmed { .. }) => {
                self.plan.groups.push(group.clone());
            }
        }
    }

    fn review_unwanted(&mut self, group: &GroupRecord, condition: &GroupCondition) {
        match group.state {
            GroupState::Serving => self.drain(group, "the service is no longer wanted"),
            GroupState::Draining => self.review_draining(group, condition),
            _ => self.drop_group(group, "the service is no longer wanted".to_string()),
        }
    }

    /// Ends draining when the lead reports no work, the bound has passed or the group broke.
    fn review_draining(&mut self, group: &GroupRecord, condition: &GroupCondition) {
        let drained_for = self.input.draining_for.get(&group.group).copied().unwrap_or_default();
        let lead = group.members.first().and_then(|lead| self.input.members.get(&lead.instance));
        let report = lead.and_then(|lead| lead.report.as_ref());
        let is_idle = report.is_some_and(|report| {
            // The load is a sample; it counts once it was taken after the order to drain.
            report.state == crate::generated::engine::MemberState::Draining
                && report.load.running + report.load.queued == 0
                && report.load.age < drained_for
        });
        let reason = match condition {
            GroupCondition::Broken { reason } => Some(reason.clone()),
            _ if is_idle => Some("drained".to_string()),
            _ if drained_for >= self.input.drain => {
                Some("the bound on draining passed".to_string())
            }
            _ => None,
        };
        match reason {
            Some(reason) => self.drop_group(group, reason),
            None => self.plan.groups.push(group.clone()),
        }
    }

    /// Forms the groups that a target lacks.
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
            self.add(target, formation, "a group is missing");
        }
        if formed < missing {
            let missing = missing - formed;
            let wanted = target.groups;
            let service = target.service.clone();
            self.plan.shortages.push(Shortage { service, wanted, missing, free });
        }
    }

    /// Records a new group.
    pub(crate) fn add(&mut self, target: &ServiceTarget, formation: Formation, why: &str) {
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
        let reason = format!("{why}; {} of {} load", formation.loads, target.group_size);
        self.note(&group, "none", state.name(), reason);
        self.plan.groups.push(group);
    }

    /// Lets a serving group finish its work.
    pub(crate) fn drain(&mut self, group: &GroupRecord, reason: &str) {
        self.plan.groups.retain(|kept| kept.group != group.group);
        self.keep(group, GroupState::Draining, reason.to_string());
    }

    /// Drops a group; its loaded members are free for others.
    pub(crate) fn drop_group(&mut self, group: &GroupRecord, reason: String) {
        self.plan.groups.retain(|kept| kept.group != group.group);
        self.note(group, group.state.name(), GroupState::Released.name(), reason);
    }

    fn keep(&mut self, group: &GroupRecord, state: GroupState, reason: String) {
        self.note(group, group.state.name(), state.name(), reason);
        self.plan.groups.push(GroupRecord { state, loads: 0, ..group.clone() });
    }

    fn note(&mut self, group: &GroupRecord, from: &'static str, to: &'static str, reason: String) {
        self.plan.changes.push(GroupChange {
            group: group.group.clone(),
            service: group.service.clone(),
            from,
            to,
            members: group.members.iter().map(|member| member.instance.clone()).collect(),
            reason,
        });
    }

    /// Returns the groups of a service that serve or are on the way to it.
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

    /// Names the standbys: free instances that are kept loaded for promotion.
    fn keep_standbys(&mut self) {
        let mut pool = self.pool();
        self.plan.groups.iter_mut().for_each(|group| group.standbys.clear());
        for target in &self.input.targets {
            let groups = self.active(target).len();
            let mut chosen: Vec<InstanceId> = vec![];
            while chosen.len() < wanted_standbys(target, groups) {
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

/// Returns how many of a domain's free instances are kept loaded for a service: one for each two
/// groups when only downtime counts, none when only stranded accelerators count.
fn wanted_standbys(target: &ServiceTarget, groups: usize) -> usize {
    (target.downtime_weight * groups as f64 / 2.0).ceil() as usize
}
