//! Control loop that executes the planned steps while this node holds the lease on the groups.
//!
//! Each step runs as a separate task that reserves its instances. Status that an instance reports
//! during a step is newer than its registry entry, so it is kept until the entry has caught up.

use crate::expired_members::ExpiredMembers;
use crate::fleet_config::Engine;
use crate::group_allocation::AllocationDemand;
use crate::group_allocation::AllocationHistory;
use crate::group_plan;
use crate::group_plan::MOVE_REASON;
use crate::group_plan::Plan;
use crate::group_plan::PlanInput;
use crate::group_plan::PlanInstance;
use crate::group_plan::PlanStep;
use crate::group_steps;
use crate::group_steps::KnownState;
use crate::group_steps::StepOutcome;
use crate::instance::EngineStatus;
use crate::instance::GroupEpoch;
use crate::instance::GroupName;
use crate::instance::Instance;
use crate::instance::InstanceId;
use crate::instance::Membership;
use crate::instance::MembershipState;
use crate::key_hash::key_hash;
use crate::load_table::DownMember;
use crate::order_client;
use crate::order_client::AcceptedOrders;
use crate::registration_tracker::RegistrationTracker;
use crate::replica_health;
use crate::replica_set::group_key;
use crate::serving_cx::ServingCx;
use guavaladder_lib::generated::events::Event;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;

/// Maximum interval between two plans.
const PLAN_PERIOD: Duration = Duration::from_millis(100);
/// Time for which an instance that did not respond is not assigned to a group.
const SUSPECT_PERIOD: Duration = Duration::from_secs(5);
/// Time for which a group that was found to be down is kept while requests wait for it: a live instance may
/// be silent for a second or so.
const SILENCE_GRACE: Duration = Duration::from_millis(1500);
/// Time for which a reported status is still compared with an entry that changed after the report.
const REPORTED_STATUS_TTL: Duration = Duration::from_secs(6);
/// Maximum number of dissolved groups that are remembered.
const MAX_DISSOLVED: usize = 512;
/// Time within which an instance's entry reflects a change of its state.
const ENTRY_UPDATE_LAG: Duration = Duration::from_millis(500);

/// Minimum interval between two log entries about the allocation of a service that has changed.
const ALLOCATION_LOG_PERIOD: Duration = Duration::from_secs(2);
/// Interval after which an unchanged allocation is logged again.
const ALLOCATION_REPEAT_PERIOD: Duration = Duration::from_secs(15);

/// Decisions on a measured service so far.
#[derive(Debug, Default)]
struct ServiceAllocation {
    history: AllocationHistory,
    /// When the allocation was logged last, and what was planned.
    logged: Option<(Instant, String)>,
}

/// Plans and executes the steps for all groups while this node holds the lease.
#[derive(Debug)]
pub struct GroupControl {
    cx: ServingCx,
    /// Last term of the lease, and when this node started to act on it.
    term: Option<(u64, Instant)>,
    /// Instances that are part of a running step.
    reserved: HashSet<InstanceId>,
    /// Status that each instance reported during a step, with the time of the report.
    reported_status: HashMap<InstanceId, (Instant, EngineStatus)>,
    /// Model that is being staged, by instance.
    staging: HashMap<InstanceId, String>,
    /// Orders that each instance has accepted, as far as this node knows.
    accepted: HashMap<InstanceId, AcceptedOrders>,
    /// Groups that this node has dissolved.
    dissolved: BTreeSet<(GroupName, GroupEpoch)>,
    /// Instances that did not respond, with the time until which they are not assigned to a group.
    suspects: HashMap<InstanceId, Instant>,
    registrations: RegistrationTracker,
    /// Domain and model of each group that is being assembled or opened, by its head.
    assembling: HashMap<InstanceId, (String, String)>,
    active_loads: usize,
    /// Allocation of each measured service.
    allocations: HashMap<String, ServiceAllocation>,
    /// Members whose entries were removed.
    expired: ExpiredMembers,
    /// Running checks whether an expired member is still in its group.
    membership_checks: JoinSet<(InstanceId, bool)>,
    /// Running steps, with the term in which each started.
    steps: JoinSet<(Option<u64>, StepOutcome)>,
}

impl GroupControl {
    /// Creates the group control of a node that does not hold the lease.
    pub fn new(cx: ServingCx) -> Self {
        Self {
            cx,
            term: None,
            reserved: HashSet::new(),
            reported_status: HashMap::new(),
            staging: HashMap::new(),
            accepted: HashMap::new(),
            dissolved: BTreeSet::new(),
            suspects: HashMap::new(),
            registrations: RegistrationTracker::new(),
            assembling: HashMap::new(),
            active_loads: 0,
            allocations: HashMap::new(),
            expired: ExpiredMembers::new(),
            membership_checks: JoinSet::new(),
            steps: JoinSet::new(),
        }
    }

    /// Plans and executes steps until the task is aborted.
    pub async fn run(mut self) {
        let mut changes = self.cx.fleet.subscribe();
        loop {
            tokio::select! {
                Some(Ok((term, outcome))) = self.steps.join_next() => self.handle_outcome(term, outcome),
                Some(Ok((id, is_still_member))) = self.membership_checks.join_next() => {
                    self.expired.record_check(&id, is_still_member);
                }
                _ = changes.changed() => {}
                () = self.cx.down_reports.group_control_woken() => {}
                () = sleep(PLAN_PERIOD) => {}
            }
            while let Some(Ok((term, outcome))) = self.steps.try_join_next() {
                self.handle_outcome(term, outcome);
            }
            match self.cx.lease.term() {
                // The lease is about to be released, and silence says nothing about instances.
                Some(_) if self.cx.reach.is_cut() => {}
                Some(_) if self.cx.evacuations.is_outdated(Instant::now()) => {}
                Some(term) if self.has_current_list(term) => self.plan(),
                Some(_) => {}
                None => self.clear_holder_state(),
            }
        }
    }

    /// Returns whether the instance list was read since this term started, and since live instances have written
    /// their entries again if the store returned from an older copy. Requests a read when the term is new, since
    /// this node's view may not show the effect of the last orders of an earlier holder.
    fn has_current_list(&mut self, term: u64) -> bool {
        let since = match self.term {
            Some((known, since)) if known == term => since,
            _ => {
                let now = Instant::now();
                self.term = Some((term, now));
                // Another node may have sent orders in the meantime.
                self.clear_instance_state();
                self.cx.fleet.request_relist();
                now
            }
        };
        self.cx.fleet.is_listed_since(since) && self.cx.fleet.settles_at().is_none()
    }

    /// Returns the current term of this node, or its last one when it does not hold the lease.
    fn current_term(&self) -> Option<u64> {
        self.term.map(|(term, _)| term)
    }

    /// Clears the state that only the lease holder needs, once no step is running.
    fn clear_holder_state(&mut self) {
        if self.steps.is_empty() {
            self.reserved.clear();
            self.staging.clear();
            self.assembling.clear();
            self.active_loads = 0;
            self.clear_instance_state();
        }
    }

    /// Clears what is known from the instances' reports and from this node's orders.
    fn clear_instance_state(&mut self) {
        self.allocations.clear();
        self.reported_status.clear();
        self.accepted.clear();
        self.dissolved.clear();
    }

    /// Applies the outcome of a step. The knowledge gained by it only counts in the term in which the
    /// step started.
    fn handle_outcome(&mut self, term: Option<u64>, outcome: StepOutcome) {
        let now = Instant::now();
        for id in &outcome.reserved {
            self.reserved.remove(id);
            self.staging.remove(id);
            self.assembling.remove(id);
        }
        self.active_loads = self.active_loads.saturating_sub(outcome.loads);
        for id in outcome.unresponsive {
            self.suspects.insert(id, now + SUSPECT_PERIOD);
        }
        if term != self.current_term() {
            return;
        }
        for (id, status) in outcome.reported_status {
            self.reported_status.insert(id, (now, status));
        }
        self.accepted.extend(outcome.accepted);
        self.dissolved.extend(outcome.dissolved);
        while self.dissolved.len() > MAX_DISSOLVED {
            self.dissolved.pop_first();
        }
    }

    fn plan(&mut self) {
        let Some(table) = self.cx.config.get() else { return };
        let now = Instant::now();
        self.suspects.retain(|_, until| *until > now);
        let mut instances = self.cx.fleet.instances();
        for member in self.expired_members(now) {
            instances.entry(member.id.clone()).or_insert(member);
        }
        let changes = self.cx.fleet.status_changed_at();
        // Entries do not change while the watch is interrupted, so a report does not expire by age alone.
        self.reported_status.retain(|id, (reported_at, _)| {
            let has_followed = changes.get(id).is_some_and(|changed_at| changed_at > reported_at);
            instances.contains_key(id)
                && (!has_followed || now - *reported_at < REPORTED_STATUS_TTL)
        });
        self.registrations.record(instances.keys(), now);
        for (service, engine) in &table.config.services {
            let Some(engine) = &engine.engine else { continue };
            let of_service: Vec<Instance> =
                instances.values().filter(|i| i.service == *service).cloned().collect();
            self.plan_service(service, engine, of_service, &changes, now);
        }
    }

    /// Returns the members whose entries were removed but that are still in their group as far as known,
    /// and starts the checks that are due.
    fn expired_members(&mut self, now: Instant) -> Vec<Instance> {
        let expired = self.cx.fleet.expired_members();
        for index in self.expired.update(&expired, now) {
            let (cx, instance) = (self.cx.clone(), expired[index].1.clone());
            self.membership_checks.spawn(async move {
                let is_still_member = order_client::is_still_member(&cx, &instance).await;
                (instance.id, is_still_member)
            });
        }
        let is_present = |instance: &Instance| {
            let is_suspect = self.suspects.contains_key(&instance.id);
            !is_suspect && self.expired.cause(&instance.id).is_some()
        };
        expired.into_iter().map(|(_, instance)| instance).filter(is_present).collect()
    }

    fn plan_service(
        &mut self,
        service: &str,
        engine: &Engine,
        mut instances: Vec<Instance>,
        changes: &HashMap<InstanceId, Instant>,
        now: Instant,
    ) {
        instances.sort_by(|a, b| a.id.cmp(&b.id));
        for instance in &mut instances {
            if let Some((reported_at, reported)) = self.reported_status.get(&instance.id) {
                let changed_at = changes.get(&instance.id).copied();
                let is_entry_later =
                    changed_at.is_some_and(|at| at > *reported_at + ENTRY_UPDATE_LAG);
                instance.engine = newer_status(reported, &instance.engine, is_entry_later).clone();
            }
        }
        let down = self.down_groups(&instances, now);
        let evacuated = self.cx.evacuations.current();
        let planned: Vec<PlanInstance> =
            instances.iter().map(|instance| self.plan_instance(instance, &evacuated)).collect();
        let is_evacuated = |head: &InstanceId| {
            planned.iter().any(|instance| instance.id == *head && instance.is_evacuated)
        };
        // Groups that are assembled in an evacuated data centre don't serve.
        let assembling = self.assembling.iter().filter(|(head, _)| !is_evacuated(head));
        let assembling: Vec<(String, String)> =
            assembling.map(|(_, domain_and_model)| domain_and_model.clone()).collect();
        let uses_demand = self.cx.settings.uses_demand_allocation;
        let is_measured = uses_demand && self.cx.is_measured(service);
        let demand = is_measured.then(|| self.demand(service, engine, now)).flatten();
        let input = PlanInput {
            engine,
            instances: &planned,
            down: &down,
            dissolved: &self.dissolved,
            assembling: &assembling,
            active_loads: self.active_loads,
            is_absence_trusted: self
                .cx
                .fleet
                .is_absence_trusted(self.cx.store.health().recovered_at, now),
            is_fleet_stable: self.registrations.is_stable(),
            demand: demand.as_ref(),
        };
        let plan = group_plan::plan_all(&input);
        if is_measured {
            self.record_plan(service, engine, demand.as_ref(), &plan, now);
        }
        for step in plan.steps {
            self.start_step(engine, step, &instances);
        }
    }

    /// Returns the measured demand for the models of a service; `None` until it is known.
    fn demand(&self, service: &str, engine: &Engine, now: Instant) -> Option<AllocationDemand> {
        let models = engine.models.iter().map(|model| model.name.clone());
        let needed = self.cx.demand.fleet().needed_slots(service, models)?;
        let new = ServiceAllocation::default();
        let history = &self.allocations.get(service).unwrap_or(&new).history;
        let (can_move, load_allowance) =
            (history.can_move(now), history.load_allowance(engine, now));
        Some(AllocationDemand { needed, can_move, load_allowance })
    }

    /// Records what a plan for a measured service means for the next ones, in the metrics and in the log.
    fn record_plan(
        &mut self,
        service: &str,
        engine: &Engine,
        demand: Option<&AllocationDemand>,
        plan: &Plan,
        now: Instant,
    ) {
        let allocation = self.allocations.entry(service.to_string()).or_default();
        let loads = plan.steps.iter().map(PlanStep::loads).sum();
        allocation.history.record_loads(loads, now);
        let is_move = |step: &PlanStep| matches!(step, PlanStep::Dissolve { reason, .. } if reason == MOVE_REASON);
        let moved = plan.steps.iter().filter(|step| is_move(step)).count();
        if moved > 0 {
            allocation.history.record_move(now);
        }
        let mut short = vec![];
        let (mut needs, mut slots, mut groups) = (vec![], vec![], vec![]);
        for (model, state) in engine.models.iter().zip(&plan.models) {
            let needed = demand.and_then(|demand| demand.needed.get(&model.name)).copied();
            if demand.is_some_and(|demand| demand.is_move_due(engine, model, state.planned)) {
                short.push(model.name.clone());
            }
            let of_groups = |groups: usize| groups as u64 * u64::from(engine.slots);
            let metrics = &self.cx.metrics;
            let needed = needed.map(|needed| needed.ceil() as u64);
            metrics.model_slots(service, &model.name, "needed", needed.unwrap_or(0));
            metrics.model_slots(service, &model.name, "serving", of_groups(state.serving));
            metrics.model_slots(service, &model.name, "planned", of_groups(state.planned));
            needs.push(format!(
                "{}={}",
                model.name,
                needed.map_or("?".to_string(), |n| n.to_string())
            ));
            slots.push(format!("{}={}", model.name, of_groups(state.serving)));
            groups.push(format!("{}={}/{}", model.name, state.planned, state.target));
        }
        allocation.history.record_short(&short, now);
        for (used_for, count) in &plan.uses {
            self.cx.metrics.instances_by_use(service, used_for.name(), *count as u64);
        }
        let reason = match demand {
            None => "the configured shares, as demand is not known".to_string(),
            Some(_) if moved > 0 => format!("{moved} groups dissolved: {MOVE_REASON}"),
            Some(_) if short.is_empty() => "no model is short".to_string(),
            Some(_) => format!("short: {}", short.join(",")),
        };
        let planned = format!("{} {reason}", groups.join(","));
        let is_due = allocation.logged.as_ref().is_none_or(|(at, last)| {
            let is_changed = *last != planned;
            now - *at >= if is_changed { ALLOCATION_LOG_PERIOD } else { ALLOCATION_REPEAT_PERIOD }
        });
        if is_due || moved > 0 {
            allocation.logged = Some((now, planned));
            let uses = plan.uses.iter().map(|(used_for, n)| format!("{}={n}", used_for.name()));
            self.cx.log.record(Event::GroupsAllocated {
                service: service.to_string(),
                needed: needs.join(","),
                slots: slots.join(","),
                groups: groups.join(","),
                reason,
                instances: uses.collect::<Vec<_>>().join(","),
            });
        }
    }

    fn plan_instance(
        &self,
        instance: &Instance,
        evacuated: &BTreeMap<String, Instant>,
    ) -> PlanInstance {
        let is_suspect = self.suspects.contains_key(&instance.id);
        let membership = instance.engine.membership.as_ref();
        PlanInstance {
            id: instance.id.clone(),
            domain: instance.engine.domain.clone().unwrap_or_default(),
            is_suspect,
            is_draining: instance.is_draining,
            is_evacuated: evacuated.contains_key(&instance.data_centre),
            expiry_cause: self.expired.cause(&instance.id),
            is_reserved: self.reserved.contains(&instance.id),
            staging: self.staging.get(&instance.id).cloned(),
            staged: instance.engine.staged.clone(),
            last_model: instance.engine.model.clone(),
            membership: membership.map(|m| (m.group.clone(), m.epoch, m.rank, m.state)),
        }
    }

    /// Returns the groups that were found to be down, and marks their missing members as suspects.
    fn down_groups(
        &mut self,
        instances: &[Instance],
        now: Instant,
    ) -> BTreeSet<(GroupName, GroupEpoch)> {
        let found = self.cx.loads.down_members(now);
        let mut down = BTreeSet::new();
        if found.is_empty() {
            return down;
        }
        for instance in instances {
            let Some(membership) = &instance.engine.membership else { continue };
            let key = group_key(&membership.group, membership.epoch);
            let hash = key_hash(key.as_bytes());
            let Some(found) = found.get(&hash) else { continue };
            if self.may_return(hash, found) {
                self.recheck(hash);
                continue;
            }
            down.insert(membership.group_and_epoch());
            if !found.member.is_empty() {
                self.suspects.entry(found.member.clone()).or_insert(now + SUSPECT_PERIOD);
            }
        }
        down
    }

    /// Returns whether a group that was found to be down is kept for now: its member may only be silent,
    /// and requests wait for it that can't go on elsewhere.
    fn may_return(&self, hash: u64, down: &DownMember) -> bool {
        down.down_for < SILENCE_GRACE
            && !self.cx.failed_attempts.has_ended(hash)
            && self.cx.loads.requests(hash) > 0
    }

    /// Asks the members of a group that was found to be down again: it may have returned without a request
    /// of this node.
    fn recheck(&self, hash: u64) {
        let replicas = self.cx.fleet.replicas();
        if let Some(replica) = replicas.all().find(|replica| replica.hash == hash) {
            replica_health::recheck(&self.cx, replica);
        }
    }

    fn start_step(&mut self, engine: &Engine, step: PlanStep, instances: &[Instance]) {
        let ids = step.instances();
        let involved: Vec<Instance> = ids
            .iter()
            .filter_map(|id| instances.iter().find(|instance| instance.id == *id).cloned())
            .collect();
        match &step {
            PlanStep::Dissolve { .. } => {}
            PlanStep::Open { .. } => {
                self.assembling.extend(involved.first().map(|head| {
                    let domain = head.engine.domain.clone().unwrap_or_default();
                    (head.id.clone(), (domain, head.engine.model.clone().unwrap_or_default()))
                }));
            }
            PlanStep::Assemble { model, domain, loads, .. } => {
                self.active_loads += loads;
                let domain_and_model = (domain.clone(), model.clone());
                self.assembling.extend(ids.first().map(|head| (head.clone(), domain_and_model)));
            }
            PlanStep::Stage { instance, model } => {
                self.active_loads += 1;
                self.staging.insert(instance.clone(), model.clone());
            }
        }
        self.reserved.extend(ids.iter().cloned());
        let (cx, engine) = (self.cx.clone(), engine.clone());
        let known = involved.iter().filter_map(|i| self.accepted.get_key_value(&i.id));
        let accepted = known.map(|(id, accepted)| (id.clone(), *accepted)).collect();
        let memberships = involved.iter().filter_map(|i| i.engine.membership.as_ref());
        let dissolved = memberships
            .map(Membership::group_and_epoch)
            .filter(|group| self.dissolved.contains(group))
            .collect();
        let known = KnownState { accepted, dissolved };
        let term = self.current_term();
        self.steps.spawn(async move {
            (term, group_steps::execute(&cx, &engine, step, involved, known).await)
        });
    }
}

/// Returns the newer of an instance's reported status and its registry entry. `is_entry_later` is
/// whether the entry changed after the report.
fn newer_status<'a>(
    reported: &'a EngineStatus,
    entry: &'a EngineStatus,
    is_entry_later: bool,
) -> &'a EngineStatus {
    if reported.born_ms != entry.born_ms {
        return if reported.born_ms > entry.born_ms { reported } else { entry };
    }
    let (Some(reported_membership), Some(entry_membership)) =
        (&reported.membership, &entry.membership)
    else {
        return if is_entry_later { entry } else { reported };
    };
    if reported_membership.epoch != entry_membership.epoch {
        return if reported_membership.epoch > entry_membership.epoch { reported } else { entry };
    }
    // Within one epoch the state only advances.
    if state_order(reported_membership.state) > state_order(entry_membership.state) {
        reported
    } else {
        entry
    }
}

/// Returns the position of a state in the order in which a member passes through the states.
fn state_order(state: MembershipState) -> u8 {
    match state {
        MembershipState::Joining => 0,
        MembershipState::Ready => 1,
        MembershipState::Open => 2,
        MembershipState::Closing => 3,
        MembershipState::Broken => 4,
    }
}
