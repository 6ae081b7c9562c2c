//! Plans the lease holder's next steps for the instances of one service: a pure function from the known
//! state of the instances to the steps that are due.
//!
//! Scenarios handled here:
//! - A group loses a member every few seconds. Each domain keeps spare instances with staged weights, so
//!   that the group is complete again without loading weights.
//! - Instances without weights arrive while others disappear. They are staged for the model with the
//!   largest shortage of instances in their domain.
//! - Members are lost and replaced for hours, until a domain's free instances hold weights of the wrong
//!   model. They are staged again for a group that is missing.
//! - Half of the instances are replaced one by one by instances without weights. These are staged for
//!   the least served model that still has some members with weights in the domain.
//! - The models have different shares of the work. Groups are formed first for the model that is least
//!   served relative to its share.

use crate::expired_members::ExpiryCause;
use crate::fleet_config::Engine;
use crate::fleet_config::Model;
use crate::instance::GroupEpoch;
use crate::instance::GroupName;
use crate::instance::InstanceId;
use crate::instance::MembershipState;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// Number of spare instances per domain when groups are allocated, and per model when staging.
const SPARES_PER_DOMAIN: usize = 1;
/// Multiple of the number of loads that run concurrently at full speed up to which loads are started for
/// assemblies. This keeps the weight store busy while groups whose loads have finished are opened.
const LOAD_OVERCOMMIT: usize = 2;

/// State of one instance, as input of the planner.
#[derive(Debug, Clone, PartialEq)]
pub struct PlanInstance {
    /// Id of the instance.
    pub id: InstanceId,
    /// Fabric domain, which all members of a group share.
    pub domain: String,
    /// Whether it did not respond recently.
    pub is_suspect: bool,
    /// Whether it has announced that it is leaving.
    pub is_draining: bool,
    /// Whether its data centre is evacuated.
    pub is_evacuated: bool,
    /// Why its entry was removed; `None` while it is registered.
    pub expiry_cause: Option<ExpiryCause>,
    /// Whether it is part of a running step.
    pub is_reserved: bool,
    /// Model that is being staged on its host.
    pub staging: Option<String>,
    /// Models that are staged on its host.
    pub staged: Vec<String>,
    /// Model of the last group in this run of the instance.
    pub last_model: Option<String>,
    /// Group and epoch that it reports, with its rank and state.
    pub membership: Option<(GroupName, GroupEpoch, usize, MembershipState)>,
}

impl PlanInstance {
    /// Returns whether it may join a new group: it is registered, responds, is not leaving and not evacuated.
    pub fn is_usable(&self) -> bool {
        let is_present = !self.is_suspect && self.expiry_cause.is_none();
        is_present && !self.is_draining && !self.is_evacuated
    }

    /// Returns whether it is leaving, with or without an announcement.
    fn is_leaving(&self) -> bool {
        self.is_draining || self.expiry_cause == Some(ExpiryCause::Leaving)
    }
}

/// Input of the planner for one service.
#[derive(Debug, Clone)]
pub struct PlanInput<'a> {
    /// Engine configuration of the service.
    pub engine: &'a Engine,
    /// Instances of the service: registered ones, and members whose entries have expired.
    pub instances: &'a [PlanInstance],
    /// Groups that were found to be down, as name and epoch.
    pub down: &'a BTreeSet<(GroupName, GroupEpoch)>,
    /// Groups that were dissolved. Their members are free even if they still report the group.
    pub dissolved: &'a BTreeSet<(GroupName, GroupEpoch)>,
    /// Groups that are being assembled or opened, as domain and model.
    pub assembling: &'a [(String, String)],
    /// Number of weight loads that are running.
    pub active_loads: usize,
    /// Whether at most a small part of the instances was registered for the first time recently.
    pub is_fleet_stable: bool,
    /// Whether a missing entry means that its instance is gone. Entries expire while the store is
    /// unavailable, and are restored shortly after it has recovered.
    pub is_absence_trusted: bool,
}

/// A step that the planner has decided on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlanStep {
    /// Stop a group from serving, so that its members are free. When its head does not respond, each
    /// member is ordered to leave: a head cannot serve without its members, whatever its own state.
    Dissolve {
        /// Name of the group.
        group: GroupName,
        /// Epoch of its assignment.
        epoch: GroupEpoch,
        /// Head, if it is known and responds.
        head: Option<InstanceId>,
        /// Members that are known and respond, the head included.
        members: Vec<InstanceId>,
        /// Whether the group finishes its requests first.
        is_graceful: bool,
        /// Reason, for the event log.
        reason: String,
    },
    /// Open a group whose members are all ready.
    Open {
        /// Name of the group.
        group: GroupName,
        /// Epoch of its assignment.
        epoch: GroupEpoch,
        /// Members, the head first.
        members: Vec<InstanceId>,
    },
    /// Assemble a new group and open it.
    Assemble {
        /// Model to serve.
        model: String,
        /// Fabric domain of the members.
        domain: String,
        /// Members, the head first.
        members: Vec<InstanceId>,
        /// Number of members that have to load weights.
        loads: usize,
        /// Reason, for the event log.
        reason: String,
    },
    /// Load weights onto an instance's host.
    Stage {
        /// Instance whose host loads the weights.
        instance: InstanceId,
        /// Model whose weights are loaded.
        model: String,
    },
}

impl PlanStep {
    /// Returns the instances that take part in the step, the head of a new group first.
    pub fn instances(&self) -> &[InstanceId] {
        match self {
            Self::Dissolve { members, .. }
            | Self::Open { members, .. }
            | Self::Assemble { members, .. } => members,
            Self::Stage { instance, .. } => std::slice::from_ref(instance),
        }
    }
}

/// A group as reported by its members.
#[derive(Debug)]
struct Group<'a> {
    name: &'a str,
    epoch: GroupEpoch,
    /// Members by rank.
    members: BTreeMap<usize, &'a PlanInstance>,
}

impl<'a> Group<'a> {
    fn head(&self) -> Option<&'a PlanInstance> {
        self.members.get(&0).copied()
    }

    fn head_state(&self) -> Option<MembershipState> {
        self.head()?.membership.as_ref().map(|(_, _, _, state)| *state)
    }

    fn model<'e>(&self, engine: &'e Engine) -> Option<&'e Model> {
        let named = self.members.values().find_map(|member| member.last_model.as_deref())?;
        engine.model(named)
    }

    fn is_complete(&self, size: usize) -> bool {
        self.members.len() == size && self.members.keys().copied().eq(0..size)
    }

    fn all_members(&self, predicate: impl Fn(&PlanInstance, MembershipState) -> bool) -> bool {
        self.members.values().all(|member| {
            member.membership.as_ref().is_some_and(|(_, _, _, state)| predicate(member, *state))
        })
    }

    fn ids(&self) -> Vec<InstanceId> {
        self.members.values().map(|member| member.id.clone()).collect()
    }
}

/// Returns the steps that are due, most urgent first.
pub fn plan(input: &PlanInput<'_>) -> Vec<PlanStep> {
    if !input.instances.iter().any(|instance| instance.is_evacuated) {
        return plan_present(input);
    }
    let instances = without_evacuated(input.instances);
    plan_present(&PlanInput { instances: &instances, ..input.clone() })
}

/// Returns the instances without the evacuated ones, apart from those in a group that has members elsewhere. Other
/// groups are neither counted nor dissolved: they get no requests, and serve again once they are taken back.
fn without_evacuated(instances: &[PlanInstance]) -> Vec<PlanInstance> {
    let group_of = |instance: &PlanInstance| {
        instance.membership.as_ref().map(|(name, epoch, _, _)| (name.clone(), *epoch))
    };
    let present = instances.iter().filter(|instance| !instance.is_evacuated);
    let with_present: BTreeSet<(GroupName, GroupEpoch)> = present.filter_map(group_of).collect();
    let is_kept = |instance: &&PlanInstance| {
        let is_in_group = group_of(instance).is_some_and(|group| with_present.contains(&group));
        !instance.is_evacuated || is_in_group
    };
    instances.iter().filter(is_kept).cloned().collect()
}

fn plan_present(input: &PlanInput<'_>) -> Vec<PlanStep> {
    let mut planner = Planner::new(input);
    let groups = groups(input.instances);
    for group in &groups {
        planner.review_group(group);
    }
    planner.assemble();
    planner.stage();
    planner.steps
}

fn groups(instances: &[PlanInstance]) -> Vec<Group<'_>> {
    let mut groups: BTreeMap<(&str, GroupEpoch), Group<'_>> = BTreeMap::new();
    for instance in instances {
        let Some((name, epoch, rank, _)) = &instance.membership else { continue };
        let group = groups.entry((name, *epoch)).or_insert_with(|| Group {
            name,
            epoch: *epoch,
            members: BTreeMap::new(),
        });
        group.members.insert(*rank, instance);
    }
    groups.into_values().collect()
}

/// Planning state: the steps so far, and what is left for further ones.
struct Planner<'a> {
    input: &'a PlanInput<'a>,
    /// Instances that no further step may use.
    unavailable: BTreeSet<InstanceId>,
    /// Number of groups that serve or are going to, by model.
    model_group_counts: BTreeMap<String, usize>,
    /// Number of groups that serve or are going to, by domain and model.
    domain_group_counts: GroupCounts,
    /// Number of groups that each domain should have, by domain and model.
    target_counts: GroupCounts,
    /// Number of weight loads that are running or planned.
    loads: usize,
    /// Whether an assembly has to wait for running loads.
    is_waiting_for_loads: bool,
    steps: Vec<PlanStep>,
}

impl<'a> Planner<'a> {
    fn new(input: &'a PlanInput<'a>) -> Self {
        let is_unavailable =
            |instance: &&PlanInstance| !instance.is_usable() || instance.is_reserved;
        let unavailable =
            input.instances.iter().filter(is_unavailable).map(|i| i.id.clone()).collect();
        let mut planner = Self {
            input,
            unavailable,
            model_group_counts: BTreeMap::new(),
            domain_group_counts: GroupCounts::new(),
            target_counts: allocate(input.engine, input.instances),
            loads: input.active_loads,
            is_waiting_for_loads: false,
            steps: vec![],
        };
        for (domain, model) in input.assembling {
            planner.count_group_in(model, domain.clone());
        }
        planner
    }

    /// Decides whether a group is kept, opened or dissolved.
    fn review_group(&mut self, group: &Group<'_>) {
        let key = (group.name.to_string(), group.epoch);
        if self.input.dissolved.contains(&key) {
            return;
        }
        let is_reserved = group.members.values().any(|member| member.is_reserved);
        let model = group.model(self.input.engine);
        let size = model.map_or(0, |model| model.size);
        let is_complete = group.is_complete(size);
        match group.head_state() {
            None if is_reserved => {}
            None if self.input.is_absence_trusted => {
                self.dissolve(group, false, "its head is not registered");
            }
            None => self.unavailable.extend(group.ids()),
            Some(MembershipState::Open | MembershipState::Closing) => {
                self.unavailable.extend(group.ids());
                if is_reserved {
                    return;
                }
                let is_operational = |_: &PlanInstance, state: MembershipState| {
                    matches!(state, MembershipState::Ready | MembershipState::Open)
                };
                let reason = if self.input.down.contains(&key) {
                    Some("it was found to be down")
                } else if !is_complete && self.input.is_absence_trusted {
                    Some("a member is missing")
                } else if !group.all_members(is_operational) {
                    Some("a member is not ready")
                } else {
                    None
                };
                if let Some(reason) = reason {
                    return self.dissolve(group, false, reason);
                }
                if group.members.values().any(|member| member.is_leaving()) {
                    return self.dissolve(group, true, "a member is leaving");
                }
                if group.head().is_some_and(|head| head.is_evacuated) {
                    let reason = "its head is in an evacuated data centre";
                    return self.dissolve(group, true, reason);
                }
                if group.head().is_some_and(|head| head.expiry_cause.is_some()) {
                    return self.dissolve(group, true, "its head is not registered");
                }
                self.count_group(model, group);
            }
            Some(MembershipState::Ready) if !is_reserved && size > 1 && is_complete => {
                let is_ready = |member: &PlanInstance, state: MembershipState| {
                    member.is_usable() && state == MembershipState::Ready
                };
                if group.all_members(is_ready) {
                    self.unavailable.extend(group.ids());
                    self.count_group(model, group);
                    let (group, members) = (group.name.to_string(), group.ids());
                    self.steps.push(PlanStep::Open { group, epoch: key.1, members });
                }
            }
            _ => {}
        }
    }

    /// Counts a group that serves or is going to.
    fn count_group(&mut self, model: Option<&Model>, group: &Group<'_>) {
        let domain = group.head().map(|head| head.domain.clone());
        if let Some((model, domain)) = model.zip(domain) {
            self.count_group_in(&model.name, domain);
        }
    }

    fn count_group_in(&mut self, model: &str, domain: String) {
        *self.model_group_counts.entry(model.to_string()).or_default() += 1;
        *self.domain_group_counts.entry((domain, model.to_string())).or_default() += 1;
    }

    /// Returns how many groups of a model are missing in a domain.
    fn missing_groups(&self, model: &Model, domain: &str) -> usize {
        count_of(&self.target_counts, model, domain).saturating_sub(count_of(
            &self.domain_group_counts,
            model,
            domain,
        ))
    }

    fn dissolve(&mut self, group: &Group<'_>, is_graceful: bool, reason: &str) {
        let responding = group.members.values().filter(|member| !member.is_suspect);
        let members: Vec<InstanceId> = responding.map(|member| member.id.clone()).collect();
        self.unavailable.extend(group.ids());
        if members.is_empty() {
            return;
        }
        let head = group.head().map(|head| head.id.clone()).filter(|head| members.contains(head));
        self.steps.push(PlanStep::Dissolve {
            group: group.name.to_string(),
            epoch: group.epoch,
            head,
            members,
            is_graceful,
            reason: reason.to_string(),
        });
    }

    fn free(&self) -> impl Iterator<Item = &'a PlanInstance> + '_ {
        self.input.instances.iter().filter(|instance| !self.unavailable.contains(&instance.id))
    }

    /// Returns the models, the one that is least served relative to its share first.
    fn models_by_need(&self) -> Vec<&'a Model> {
        let groups = |model: &Model| self.model_group_counts.get(&model.name).copied().unwrap_or(0);
        by_need(self.input.engine.models.iter(), groups)
    }

    /// Assembles groups while there are instances for them, first from instances that have the weights.
    /// Partial groups are completed by staging, so that their instances stay free for another group in
    /// the meantime. Only instances without any weights load them as members of a group.
    fn assemble(&mut self) {
        while let Some((model, domain, members)) = self.next_staged_group() {
            self.start_assembly(model, domain, members);
        }
        self.stage_for_partial_groups();
        while let Some((model, domain, members)) = self.next_unstaged_group() {
            let max_loads = self.input.engine.loads_at_once as usize * LOAD_OVERCOMMIT;
            if self.loads > 0 && self.loads + members.len() > max_loads.max(model.size) {
                self.is_waiting_for_loads = true;
                return;
            }
            self.start_assembly(model, domain, members);
        }
    }

    fn start_assembly(&mut self, model: &Model, domain: String, members: Vec<&PlanInstance>) {
        let loads = members.iter().filter(|member| !has_weights(member, &model.name)).count();
        self.loads += loads;
        self.unavailable.extend(members.iter().map(|member| member.id.clone()));
        self.count_group_in(&model.name, domain.clone());
        self.steps.push(PlanStep::Assemble {
            model: model.name.clone(),
            domain,
            members: members.iter().map(|member| member.id.clone()).collect(),
            loads,
            reason: format!("{} groups serve", self.model_group_counts[&model.name] - 1),
        });
    }

    /// Returns the next group that can be formed of instances that have the model's weights.
    fn next_staged_group(&self) -> Option<(&'a Model, String, Vec<&'a PlanInstance>)> {
        self.models_by_need().into_iter().find_map(|model| {
            let pool = self.largest_pool(|i| has_weights(i, &model.name), model.size);
            let (domain, mut members) = pool?;
            members.sort_by_key(|i| (i.last_model.as_ref() != Some(&model.name), &i.id));
            members.truncate(model.size);
            Some((model, domain, members))
        })
    }

    /// Returns the next group that can be formed of instances without any weights.
    fn next_unstaged_group(&self) -> Option<(&'a Model, String, Vec<&'a PlanInstance>)> {
        self.models_by_need().into_iter().find_map(|model| {
            let fits = |i: &PlanInstance| {
                let is_due = self.missing_groups(model, &i.domain) > 0;
                has_no_weights(i) && is_due && self.leaves_enough_for_largest(model, &i.domain)
            };
            let (domain, mut members) = self.largest_pool(fits, model.size)?;
            members.truncate(model.size);
            Some((model, domain, members))
        })
    }

    /// Stages instances without weights for missing groups of which a domain has some instances with the
    /// weights, the least served model first.
    fn stage_for_partial_groups(&mut self) {
        let max_loads = self.input.engine.loads_at_once as usize;
        let domains: BTreeSet<&str> =
            self.input.instances.iter().map(|instance| instance.domain.as_str()).collect();
        for model in self.models_by_need() {
            for domain in &domains {
                if self.missing_groups(model, domain) == 0 {
                    continue;
                }
                let free = || self.free().filter(|i| i.domain == *domain);
                let with_weights = free().filter(|i| has_weights(i, &model.name)).count();
                let in_domain = self.input.instances.iter().filter(|i| i.domain == *domain);
                let being_staged =
                    in_domain.filter(|i| i.staging.as_ref() == Some(&model.name)).count();
                let empty: Vec<&PlanInstance> = free().filter(|i| has_no_weights(i)).collect();
                let missing = model.size.saturating_sub(with_weights + being_staged);
                if with_weights == 0 || empty.len() < missing {
                    continue;
                }
                for instance in empty.into_iter().take(missing) {
                    if self.loads < max_loads {
                        self.start_staging(instance, model);
                    } else {
                        // It stays reserved for this group until another load may start.
                        self.unavailable.insert(instance.id.clone());
                    }
                }
            }
        }
    }

    /// Returns whether a group of a model leaves enough instances in a domain for the largest model.
    /// Otherwise small groups would use up the instances of large ones while a fleet registers.
    fn leaves_enough_for_largest(&self, model: &Model, domain: &str) -> bool {
        let largest = self.input.engine.models.iter().map(|model| model.size).max().unwrap_or(0);
        if self.input.is_fleet_stable || model.size >= largest {
            return true;
        }
        let in_domain = self.input.instances.iter().filter(|i| i.domain == domain);
        let (free, unavailable): (Vec<&PlanInstance>, Vec<&PlanInstance>) =
            in_domain.partition(|i| !self.unavailable.contains(&i.id));
        unavailable.len() >= largest || free.len() >= largest + model.size
    }

    /// Returns the domain with the most free instances that fit, if there are enough of them.
    fn largest_pool(
        &self,
        fits: impl Fn(&PlanInstance) -> bool,
        needed: usize,
    ) -> Option<(String, Vec<&'a PlanInstance>)> {
        let mut pools: BTreeMap<&str, Vec<&PlanInstance>> = BTreeMap::new();
        for instance in self.free().filter(|instance| fits(instance)) {
            pools.entry(&instance.domain).or_default().push(instance);
        }
        let (domain, members) = pools.into_iter().max_by_key(|(_, pool)| pool.len())?;
        (members.len() >= needed).then(|| (domain.to_string(), members))
    }

    /// Stages weights on free instances that have no useful ones.
    fn stage(&mut self) {
        let max_loads = self.input.engine.loads_at_once as usize;
        if self.is_waiting_for_loads || !self.input.is_fleet_stable {
            return;
        }
        while self.loads < max_loads {
            // Losing a member is most costly for large groups, so their spares are staged first.
            let due = self.free().filter_map(|i| Some((i, self.model_to_stage(i)?)));
            let first =
                due.max_by_key(|(_, (shortage, model))| (*shortage > 0, model.size, *shortage));
            let Some((instance, (_, model))) = first else { return };
            self.start_staging(instance, model);
        }
    }

    fn start_staging(&mut self, instance: &PlanInstance, model: &Model) {
        self.loads += 1;
        self.unavailable.insert(instance.id.clone());
        let (instance, model) = (instance.id.clone(), model.name.clone());
        self.steps.push(PlanStep::Stage { instance, model });
    }

    /// Returns the model that an instance should be staged for, with the shortage of instances for that
    /// model in its domain. `None` if the weights that the instance has are useful.
    fn model_to_stage(&self, instance: &PlanInstance) -> Option<(i64, &'a Model)> {
        let in_domain = || {
            let is_present = |i: &&PlanInstance| i.domain == instance.domain && !i.is_leaving();
            self.input.instances.iter().filter(is_present)
        };
        let all = in_domain().count();
        let with_weights =
            |model: &Model| in_domain().filter(|i| self.will_have_weights(i, &model.name)).count();
        let possible = self.input.engine.models.iter().filter(|model| model.size <= all);
        let (held, others): (Vec<&Model>, Vec<&Model>) =
            possible.partition(|model| has_weights(instance, &model.name));
        // The target is the allocated groups, plus spares for each model.
        let shortage = |model: &Model| {
            let groups = count_of(&self.target_counts, model, &instance.domain);
            let wanted = groups * model.size + SPARES_PER_DOMAIN;
            wanted as i64 - with_weights(model) as i64
        };
        let is_empty = held.is_empty();
        // Weights are replaced only where a model has a surplus and another one lacks a group.
        if !is_empty
            && (held.iter().any(|model| shortage(model) >= 0) || !self.is_domain_idle(instance))
        {
            return None;
        }
        let is_due = |model: &&Model| is_empty || self.missing_groups(model, &instance.domain) > 0;
        let shortages = others.into_iter().filter(is_due).map(|model| (shortage(model), model));
        let most = shortages.max_by_key(|(shortage, model)| (*shortage, model.size));
        most.filter(|(shortage, _)| is_empty || *shortage > 0)
    }

    /// Returns whether an instance has a model's weights once the planned steps are executed.
    fn will_have_weights(&self, instance: &PlanInstance, model: &str) -> bool {
        let planned = self.steps.iter().find_map(|step| match step {
            PlanStep::Stage { instance: id, model } if *id == instance.id => Some(model),
            _ => None,
        });
        match planned.or(instance.staging.as_ref()) {
            Some(staging) => staging == model || instance.last_model.as_deref() == Some(model),
            None => has_weights(instance, model),
        }
    }

    /// Returns whether all instances of an instance's domain are usable and take part in no running or
    /// planned step except staging. While a group is repaired, the domain appears to have fewer instances
    /// than it has.
    fn is_domain_idle(&self, instance: &PlanInstance) -> bool {
        let is_unchanged = |i: &PlanInstance| {
            let is_changing = i.is_reserved && i.staging.is_none();
            !is_changing && i.is_usable()
        };
        let mut in_domain = self.input.instances.iter().filter(|i| i.domain == instance.domain);
        let is_planned = |id: &InstanceId| {
            let others = self.steps.iter().filter(|s| !matches!(s, PlanStep::Stage { .. }));
            others.into_iter().any(|step| step.instances().contains(id))
        };
        self.input.is_absence_trusted && in_domain.all(|i| is_unchanged(i) && !is_planned(&i.id))
    }
}

/// Number of groups by domain and model.
type GroupCounts = BTreeMap<(String, String), usize>;

/// Returns how many groups of each model each domain should have, regardless of existing groups.
///
/// Small groups fit where large ones no longer do, but not the other way round. So every number of
/// groups of the largest model is tried, starting with the most that fit, and the rest is filled with
/// the least served models first. The result is the allocation in which the least served model has the
/// most members for its share.
fn allocate(engine: &Engine, instances: &[PlanInstance]) -> GroupCounts {
    let mut remaining: BTreeMap<&str, usize> = BTreeMap::new();
    let is_present = |i: &&PlanInstance| !i.is_leaving() && !i.is_suspect && !i.is_evacuated;
    for instance in instances.iter().filter(is_present) {
        *remaining.entry(&instance.domain).or_default() += 1;
    }
    let Some(largest) = engine.models.iter().max_by_key(|model| model.size) else {
        return GroupCounts::new();
    };
    let most = remaining.values().map(|remaining| remaining / largest.size.max(1)).sum::<usize>();
    let mut best = (f64::MIN, GroupCounts::new());
    for count in (0..=most).rev() {
        let allocation = fill(engine, largest, count, remaining.clone());
        let least = least_served(engine, &allocation);
        if least > best.0 {
            best = (least, allocation);
        }
    }
    best.1
}

/// Allocates `count` groups of the largest model, then groups of the least served of the other models.
fn fill(
    engine: &Engine,
    largest: &Model,
    count: usize,
    mut remaining: BTreeMap<&str, usize>,
) -> GroupCounts {
    let mut groups = GroupCounts::new();
    for _ in 0..count {
        allocate_group(largest, &mut remaining, &mut groups);
    }
    loop {
        let others = engine.models.iter().filter(|model| model.name != largest.name);
        let others = by_need(others, |model| count_all(&groups, model));
        if !others.into_iter().any(|model| allocate_group(model, &mut remaining, &mut groups)) {
            return groups;
        }
    }
}

/// Allocates a group in the domain with the most unallocated instances; returns false if there are too
/// few.
fn allocate_group(
    model: &Model,
    remaining: &mut BTreeMap<&str, usize>,
    groups: &mut GroupCounts,
) -> bool {
    let largest = remaining.iter_mut().max_by_key(|(_, remaining)| **remaining);
    let Some((domain, remaining)) = largest else { return false };
    if *remaining < model.size + SPARES_PER_DOMAIN {
        return false;
    }
    *remaining -= model.size;
    *groups.entry((domain.to_string(), model.name.clone())).or_default() += 1;
    true
}

/// Returns the number of groups of a model in a domain.
fn count_of(groups: &GroupCounts, model: &Model, domain: &str) -> usize {
    groups.get(&(domain.to_string(), model.name.clone())).copied().unwrap_or(0)
}

/// Returns the number of groups of a model in all domains.
fn count_all(groups: &GroupCounts, model: &Model) -> usize {
    groups.iter().filter(|((_, name), _)| *name == model.name).map(|(_, count)| count).sum()
}

/// Returns the number of members in a model's groups, divided by the model's share of the work.
fn members_per_share(model: &Model, groups: usize) -> f64 {
    (groups * model.size) as f64 / model.share.max(0.001)
}

/// Returns the models ordered by members per share, least first, and larger models first on a tie.
fn by_need<'m>(
    models: impl Iterator<Item = &'m Model>,
    groups: impl Fn(&Model) -> usize,
) -> Vec<&'m Model> {
    let mut models: Vec<&Model> = models.collect();
    let need = |model: &Model| members_per_share(model, groups(model));
    models.sort_by(|a, b| need(a).total_cmp(&need(b)).then(b.size.cmp(&a.size)));
    models
}

fn least_served(engine: &Engine, groups: &GroupCounts) -> f64 {
    let served = |model: &Model| members_per_share(model, count_all(groups, model));
    engine.models.iter().map(served).fold(f64::MAX, f64::min)
}

/// Returns whether an instance has no weights at all.
fn has_no_weights(instance: &PlanInstance) -> bool {
    instance.staged.is_empty() && instance.last_model.is_none()
}

/// Returns whether an instance can join a group of a model without loading weights.
fn has_weights(instance: &PlanInstance, model: &str) -> bool {
    instance.staged.iter().any(|staged| staged == model)
        || instance.last_model.as_deref() == Some(model)
}
