//! Event-driven simulation of a fleet over a month, with the production code of the planner, the
//! allocation, the load ranking, the member history and the orders on simulated instances. A domain
//! is stepped only after a change and while work is in progress, not at the production poll
//! interval.

use crate::groups_instance::SimInstance;
use crate::groups_meter::DomainCounts;
use crate::groups_meter::Meter;
use crate::groups_meter::RunReport;
use crate::groups_trace::Fault;
use crate::groups_trace::FleetShape;
use guavaladder_lib::domain_records::VersionedRecord;
use guavaladder_lib::domain_targets::ActiveExceptions;
use guavaladder_lib::domain_targets::capacities;
use guavaladder_lib::domain_targets::needs;
use guavaladder_lib::domain_targets::targets;
use guavaladder_lib::generated::config::FleetConfig;
use guavaladder_lib::generated::engine::MemberState;
use guavaladder_lib::generated::engine::OrderAction;
use guavaladder_lib::generated::groups::DomainRecord;
use guavaladder_lib::generated::groups::GroupState;
use guavaladder_lib::generated::platform::InstanceInfo;
use guavaladder_lib::group_orders::breaks_routed_group;
use guavaladder_lib::group_orders::needed_orders;
use guavaladder_lib::group_verify::is_standby;
use guavaladder_lib::load_schedule;
use guavaladder_lib::member_history::MemberHistory;
use guavaladder_lib::planner;
use guavaladder_lib::planner_types::DomainInput;
use guavaladder_lib::planner_types::MemberFacts;
use guavaladder_lib::planner_types::MemberHealth;
use guavaladder_lib::replica_allocation::Allocation;
use guavaladder_lib::replica_allocation::DomainCapacity;
use guavaladder_lib::replica_allocation::ServiceNeed;
use guavaladder_lib::replica_allocation::allocate;
use guavaladder_testutils::control_fleet::bare_config;
use guavaladder_testutils::control_fleet::with_service;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

const SECOND: Duration = Duration::from_secs(1);
/// Mean time until the next periodic poll.
const POLL_WAIT: Duration = Duration::from_millis(1500);
/// Time to load one shard once the weight store has a free slot.
const LOAD_TIME: Duration = Duration::from_secs(60);
/// Time to join a changed group when the weights are already loaded.
const JOIN_TIME: Duration = Duration::from_millis(200);
/// Time within which routers stop using a group that no longer serves.
const ROUTE_REMOVAL_TIME: Duration = Duration::from_secs(4);
/// Length of the time slots in which the domains take turns at loading standbys.
const STANDBY_SLOT: Duration = Duration::from_secs(10);
/// Simulated time for forming the groups, before the measurement and the failures start.
const WARM_UP: Duration = Duration::from_secs(1800);
/// Time to load one shard during the warm-up, which is not measured.
const WARM_UP_LOAD_TIME: Duration = Duration::from_millis(10);

/// Policy by which groups are planned.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Policy {
    /// First fit with an allocation that is fixed after the warm-up; an incomplete group is
    /// released and formed again with all its weights loaded anew.
    Naive,
    /// The planner, with this weight of downtime relative to stranded accelerators.
    Weighted(f64),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Step(usize),
    Recovery(usize, usize),
    Fault(usize),
}

struct SimDomain {
    instances: Vec<SimInstance>,
    record: DomainRecord,
    history: MemberHistory,
    draining_since: BTreeMap<String, Duration>,
    stopped_serving: BTreeMap<String, Duration>,
    next_group: u64,
    next_step: Duration,
    counts: DomainCounts,
}

/// State of the simulated fleet and its event queue.
pub struct Simulation {
    policy: Policy,
    config: FleetConfig,
    needs: Vec<ServiceNeed>,
    smallest_group: usize,
    domains: Vec<SimDomain>,
    records: BTreeMap<String, VersionedRecord>,
    capacities: BTreeMap<String, DomainCapacity>,
    allocation: Allocation,
    is_allocation_fixed: bool,
    queue: BinaryHeap<Reverse<(Duration, Event)>>,
    faults: Vec<(Duration, Fault)>,
    store_available_at: Duration,
    weight_slots: BinaryHeap<Reverse<Duration>>,
    meter: Meter,
    totals: DomainCounts,
    now: Duration,
}

impl Simulation {
    /// Returns a simulation of a fleet that has no groups yet.
    pub fn new(shape: &FleetShape, policy: Policy) -> Self {
        let mut config = bare_config(true);
        for (index, (replicas, size)) in shape.services.iter().enumerate() {
            config = with_service(config, &format!("s{index}"), *replicas, *size);
        }
        config.defaults.downtime_weight = match policy {
            Policy::Naive => 0.0,
            Policy::Weighted(weight) => weight,
        };
        let needs = needs(&config, &ActiveExceptions::default());
        let smallest_group =
            needs.iter().map(|n| n.group_size).filter(|s| *s > 1).min().unwrap_or(1);
        let domains: Vec<SimDomain> = shape.instances().into_iter().map(SimDomain::new).collect();
        let slots = config.defaults.load_concurrency;
        let mut simulation = Self {
            policy,
            needs,
            smallest_group,
            records: BTreeMap::new(),
            capacities: BTreeMap::new(),
            allocation: Allocation::new(),
            is_allocation_fixed: false,
            queue: BinaryHeap::new(),
            faults: vec![],
            store_available_at: Duration::ZERO,
            weight_slots: (0..slots).map(|_| Reverse(Duration::ZERO)).collect(),
            meter: Meter::default(),
            totals: DomainCounts::default(),
            now: Duration::ZERO,
            config,
            domains,
        };
        (0..simulation.domains.len()).for_each(|d| simulation.apply_record_write(d));
        simulation.allocation = allocate(&simulation.capacities, &simulation.needs);
        (0..simulation.domains.len()).for_each(|d| simulation.schedule(d, Duration::ZERO));
        simulation
    }

    /// Forms the groups, simulates the failures for `duration` and returns the figures.
    pub fn run(
        mut self,
        name: &str,
        faults: &[(Duration, Fault)],
        duration: Duration,
    ) -> RunReport {
        self.run_until(WARM_UP);
        let wanted = self.needs.iter().map(|n| (n.service.clone(), n.replicas)).collect();
        let instances = self.needs.iter().map(|n| n.replicas * n.group_size).sum();
        self.meter = Meter::new(WARM_UP, wanted, instances);
        self.meter.record(WARM_UP, &self.totals);
        self.is_allocation_fixed = self.policy == Policy::Naive;
        self.faults = faults.to_vec();
        for (index, (at, _)) in faults.iter().enumerate() {
            self.queue.push(Reverse((WARM_UP + *at, Event::Fault(index))));
        }
        let end = WARM_UP + duration;
        self.run_until(end);
        let lease = self.config.defaults.lease.as_secs_f64();
        let renewals = self.domains.len() as f64 / (lease / 3.0).ceil();
        self.meter.report(name, WARM_UP, end, renewals)
    }

    fn run_until(&mut self, end: Duration) {
        while let Some(Reverse((at, event))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            match event {
                Event::Step(d) if self.domains[d].next_step == at => self.step(d),
                Event::Step(_) => {}
                Event::Recovery(d, i) => self.recover(d, i),
                Event::Fault(index) => self.apply_fault(self.faults[index].1),
            }
        }
        self.now = end;
    }

    fn schedule(&mut self, d: usize, after: Duration) {
        let at = self.now + after;
        let next = self.domains[d].next_step;
        if next <= self.now || at < next {
            self.domains[d].next_step = at;
            self.queue.push(Reverse((at, Event::Step(d))));
        }
    }

    fn apply_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Instance { domain, index, downtime } => {
                self.fail_instance(domain, index, downtime)
            }
            Fault::Domain { domain, downtime } => self.fail_domain(domain, downtime),
            Fault::DataCentre { data_centre, downtime } => {
                let id = format!("dc{data_centre}");
                let inside = |d: &usize| self.domains[*d].record.data_centre == id;
                let failed: Vec<usize> = (0..self.domains.len()).filter(inside).collect();
                failed.into_iter().for_each(|d| self.fail_domain(d, downtime));
            }
            Fault::Store { length } => {
                self.store_available_at = self.store_available_at.max(self.now + length)
            }
        }
    }

    fn fail_domain(&mut self, d: usize, downtime: Duration) {
        (0..self.domains[d].instances.len()).for_each(|i| self.fail_instance(d, i, downtime));
    }

    fn fail_instance(&mut self, d: usize, i: usize, downtime: Duration) {
        // Stands for the periodic polls since the last step, which the running instances answered.
        let now = self.now;
        self.domains[d].poll(now);
        let domain = &mut self.domains[d];
        domain.break_group(i);
        let instance = &mut domain.instances[i];
        instance.reset();
        instance.is_up = false;
        instance.recovers_at = instance.recovers_at.max(now + downtime);
        let recovers_at = instance.recovers_at;
        self.queue.push(Reverse((recovers_at, Event::Recovery(d, i))));
        self.update_counts(d);
        self.schedule(d, POLL_WAIT);
    }

    fn recover(&mut self, d: usize, i: usize) {
        let now = self.now;
        let instance = &mut self.domains[d].instances[i];
        if instance.is_up || instance.recovers_at > now {
            return;
        }
        instance.is_up = true;
        self.update_counts(d);
        self.schedule(d, POLL_WAIT);
    }

    fn step(&mut self, d: usize) {
        if self.now < self.store_available_at {
            let wait = self.store_available_at - self.now;
            return self.schedule(d, wait);
        }
        let now = self.now;
        self.domains[d].poll(now);
        let facts = self.domains[d].facts(now, self.policy);
        let is_unreachable = facts.values().all(|f| !f.is_responding());
        if is_unreachable {
            self.suspend_groups(d, &facts);
        } else {
            self.plan(d, &facts);
            let facts = self.domains[d].facts(now, self.policy);
            self.execute_orders(d, &facts);
        }
        self.update_counts(d);
        self.schedule_next(d, &facts, is_unreachable);
    }

    fn suspend_groups(&mut self, d: usize, facts: &BTreeMap<String, MemberFacts>) {
        let is_lost = facts.values().all(|f| f.health == MemberHealth::Lost);
        let record = &mut self.domains[d].record;
        let serving = record.groups.iter_mut().filter(|g| g.state == GroupState::Serving);
        serving.for_each(|group| group.state = GroupState::Verifying);
        if is_lost && record.unavailable.len() != facts.len() {
            record.unavailable = facts.keys().cloned().collect();
            self.apply_record_write(d);
        }
    }

    fn plan(&mut self, d: usize, facts: &BTreeMap<String, MemberFacts>) {
        let started = Instant::now();
        if !self.is_allocation_fixed {
            self.allocation = allocate(&self.capacities, &self.needs);
        }
        let id = self.domains[d].record.domain.clone();
        let targets = targets(&id, &self.config, &self.needs, &self.allocation, &self.records);
        let input = self.domains[d].input(facts, targets, self.now, self.config.defaults.drain);
        let mut plan = planner::plan(&input);
        let others = self.records.iter().filter(|(domain, _)| **domain != id);
        let others = others.flat_map(|(_, known)| &known.record.groups);
        let max_loads = match self.policy {
            _ if self.now < WARM_UP => u32::MAX,
            Policy::Naive => u32::MAX,
            Policy::Weighted(_) => self.config.defaults.load_concurrency,
        };
        let loadable = load_schedule::groups_to_load(others.chain(&plan.groups), max_loads);
        for group in plan.groups.iter_mut().filter(|g| loadable.contains(&g.group)) {
            group.state = GroupState::Loading;
        }
        self.meter.planning.push(started.elapsed());
        let unavailable: Vec<String> = facts
            .iter()
            .filter(|(_, f)| matches!(f.health, MemberHealth::Lost | MemberHealth::Flapping))
            .map(|(id, _)| id.clone())
            .collect();
        let domain = &mut self.domains[d];
        domain.next_group = plan.next_group;
        if plan.groups == domain.record.groups && unavailable == domain.record.unavailable {
            return;
        }
        domain.replace_groups(plan.groups, self.now);
        domain.record.unavailable = unavailable;
        self.apply_record_write(d);
    }

    /// Applies the write of a domain record to the fleet's view and schedules the other domains
    /// whose allocation changed or that have reserved groups.
    fn apply_record_write(&mut self, d: usize) {
        self.meter.writes += 1;
        let record = Arc::new(self.domains[d].record.clone());
        let id = record.domain.clone();
        self.records.insert(id.clone(), VersionedRecord { version: 1, record });
        let infos: Vec<InstanceInfo> =
            self.domains[d].instances.iter().map(|i| i.info.clone()).collect();
        let own: BTreeMap<String, VersionedRecord> =
            [(id.clone(), self.records[&id].clone())].into_iter().collect();
        let exceptions = ActiveExceptions::default();
        self.capacities.extend(capacities(&infos, &own, &exceptions));
        if self.is_allocation_fixed || self.now.is_zero() {
            return;
        }
        let next = allocate(&self.capacities, &self.needs);
        let before = std::mem::replace(&mut self.allocation, next);
        for other in 0..self.domains.len() {
            let id = &self.domains[other].record.domain;
            let is_waiting =
                self.domains[other].record.groups.iter().any(|g| g.state == GroupState::Reserved);
            if other != d && (is_waiting || before.get(id) != self.allocation.get(id)) {
                self.schedule(other, POLL_WAIT);
            }
        }
    }

    fn execute_orders(&mut self, d: usize, facts: &BTreeMap<String, MemberFacts>) {
        let now = self.now;
        let domain = &self.domains[d];
        let id = &domain.record.domain;
        let targets = targets(id, &self.config, &self.needs, &self.allocation, &self.records);
        let mut needed = needed_orders(&domain.record.groups, facts, &targets, 1);
        let may_be_routed = |group: &str| {
            domain.stopped_serving.get(group).is_some_and(|at| now < *at + ROUTE_REMOVAL_TIME)
        };
        needed.retain(|order| !breaks_routed_group(order, facts, may_be_routed));
        let groups = self.records.values().flat_map(|known| &known.record.groups);
        let loading: u32 = groups
            .filter(|g| matches!(g.state, GroupState::Loading | GroupState::Reserved))
            .map(|g| g.loads)
            .sum();
        let slot = now.as_secs() / STANDBY_SLOT.as_secs();
        let max_loads = match now < WARM_UP {
            true => u32::MAX,
            false => self.config.defaults.load_concurrency,
        };
        let is_busy = domain.instances.iter().any(|i| {
            i.state == MemberState::Loading && i.assignment.as_ref().is_some_and(is_standby)
        });
        let has_slot =
            load_schedule::may_load_standby(loading, max_loads, d, self.domains.len(), slot);
        let mut may_load = has_slot && !is_busy;
        for order in needed {
            let index = self.domains[d].index_of(&order.instance);
            if !self.domains[d].instances[index].accepts(&order.action) {
                continue;
            }
            match &order.action {
                OrderAction::Join(wanted) => {
                    if is_standby(wanted) && !std::mem::take(&mut may_load) {
                        continue;
                    }
                    let time = if now < WARM_UP { WARM_UP_LOAD_TIME } else { LOAD_TIME };
                    let from = self.weight_slots.pop().map_or(now, |Reverse(free)| free.max(now));
                    self.weight_slots.push(Reverse(from + time));
                    self.meter.loads += 1;
                    self.domains[d].instances[index].assign(wanted, from + time);
                }
                OrderAction::Regroup(wanted) | OrderAction::Reload(wanted) => {
                    self.domains[d].instances[index].assign(wanted, now + JOIN_TIME);
                }
                OrderAction::Drain(_) => {
                    self.domains[d].instances[index].state = MemberState::Draining;
                }
                OrderAction::Release(_) => {
                    self.domains[d].break_group(index);
                    self.domains[d].instances[index].reset();
                }
            }
        }
    }

    /// Updates the counts of a domain and of the fleet, and records them in the meter.
    fn update_counts(&mut self, d: usize) {
        let counts = self.domains[d].count(self.smallest_group);
        let before = std::mem::replace(&mut self.domains[d].counts, counts.clone());
        for (service, count) in &before.serving {
            *self.totals.serving.entry(service.clone()).or_default() -= count;
        }
        for (service, count) in &counts.serving {
            *self.totals.serving.entry(service.clone()).or_default() += count;
        }
        self.totals.stranded = self.totals.stranded + counts.stranded - before.stranded;
        self.totals.usable = self.totals.usable + counts.usable - before.usable;
        self.totals.alive = self.totals.alive + counts.alive - before.alive;
        self.meter.record(self.now, &self.totals);
    }

    /// Returns whether a domain has fewer groups than are allocated to it.
    fn lacks_groups(&self, d: usize) -> bool {
        let record = &self.domains[d].record;
        let wanted: usize =
            self.allocation.get(&record.domain).map_or(0, |wanted| wanted.values().sum());
        record.groups.len() < wanted
    }

    fn schedule_next(
        &mut self,
        d: usize,
        facts: &BTreeMap<String, MemberFacts>,
        is_unreachable: bool,
    ) {
        let now = self.now;
        let domain = &self.domains[d];
        let has_unresponsive_member =
            facts.values().any(|f| !f.is_responding() && f.health != MemberHealth::Lost);
        let loads = domain.instances.iter().filter(|i| i.state == MemberState::Loading);
        let next_load = loads.map(|i| i.busy_until.saturating_sub(now)).min();
        let has_group_in_transition = domain
            .record
            .groups
            .iter()
            .any(|g| matches!(g.state, GroupState::Verifying | GroupState::Draining));
        let all_serving = domain.record.groups.iter().all(|g| g.state == GroupState::Serving);
        let lacks_standby = domain
            .record
            .groups
            .iter()
            .flat_map(|g| &g.standbys)
            .any(|s| domain.instances[domain.index_of(s)].assignment.is_none());
        let wait = match next_load {
            _ if has_unresponsive_member || (has_group_in_transition && !is_unreachable) => {
                Some(SECOND)
            }
            Some(wait) => Some(wait.max(SECOND)),
            None if lacks_standby && !is_unreachable => Some(STANDBY_SLOT),
            None if (!all_serving || self.lacks_groups(d)) && !is_unreachable => Some(SECOND * 5),
            None => None,
        };
        if let Some(wait) = wait {
            self.schedule(d, wait);
        }
    }
}

impl SimDomain {
    fn new(infos: Vec<InstanceInfo>) -> Self {
        let record = DomainRecord {
            domain: infos[0].domain.clone(),
            data_centre: infos[0].data_centre.clone(),
            region: infos[0].region.clone(),
            owner: "n".to_string(),
            epoch: 1,
            lease: Duration::from_secs(10),
            renewals: 1,
            write_id: String::new(),
            groups: vec![],
            unavailable: vec![],
        };
        Self {
            instances: infos.into_iter().map(SimInstance::new).collect(),
            record,
            history: MemberHistory::new(),
            draining_since: BTreeMap::new(),
            stopped_serving: BTreeMap::new(),
            next_group: 1,
            next_step: Duration::ZERO,
            counts: DomainCounts::default(),
        }
    }

    fn index_of(&self, id: &str) -> usize {
        self.instances.iter().position(|i| i.info.instance == id).unwrap_or(0)
    }

    fn poll(&mut self, now: Duration) {
        let serving: BTreeSet<String> = self
            .record
            .groups
            .iter()
            .filter(|group| group.state == GroupState::Serving)
            .flat_map(|group| group.members.iter().map(|m| m.instance.clone()))
            .collect();
        for instance in &mut self.instances {
            instance.finish_load(now);
            let id = &instance.info.instance;
            match instance.is_up {
                true => {
                    self.history.record_report(id, instance.report(), serving.contains(id), now);
                }
                false => self.history.record_missed_poll(id, now),
            }
        }
    }

    fn facts(&self, now: Duration, policy: Policy) -> BTreeMap<String, MemberFacts> {
        let fact = |instance: &SimInstance| {
            let id = &instance.info.instance;
            let facts = MemberFacts {
                address: instance.info.address.clone(),
                health: self.history.health(id, now),
                report: self.history.report(id).cloned(),
                accepts_groups: true,
                must_leave: false,
                lacks_weights: policy == Policy::Naive,
                pinned_to: None,
            };
            (id.clone(), facts)
        };
        self.instances.iter().map(fact).collect()
    }

    fn input(
        &mut self,
        facts: &BTreeMap<String, MemberFacts>,
        targets: Vec<guavaladder_lib::planner_types::ServiceTarget>,
        now: Duration,
        drain: Duration,
    ) -> DomainInput {
        let draining = self.record.groups.iter().filter(|g| g.state == GroupState::Draining);
        let draining: BTreeSet<String> = draining.map(|g| g.group.clone()).collect();
        self.draining_since.retain(|group, _| draining.contains(group));
        for group in draining {
            self.draining_since.entry(group).or_insert(now);
        }
        let since = self.draining_since.iter();
        DomainInput {
            epoch: 1,
            groups: self.record.groups.clone(),
            members: facts.clone(),
            targets,
            draining_for: since.map(|(group, at)| (group.clone(), now - *at)).collect(),
            drain,
            stragglers: BTreeSet::new(),
            next_group: self.next_group,
            id_prefix: format!("{}-1", self.record.domain),
        }
    }

    fn replace_groups(
        &mut self,
        groups: Vec<guavaladder_lib::generated::groups::GroupRecord>,
        now: Duration,
    ) {
        let before = std::mem::replace(&mut self.record.groups, groups);
        self.stopped_serving.retain(|_, at| now < *at + ROUTE_REMOVAL_TIME);
        let serving: BTreeSet<&String> = self
            .record
            .groups
            .iter()
            .filter(|g| g.state == GroupState::Serving)
            .map(|g| &g.group)
            .collect();
        let was_serving = before.iter().filter(|g| g.state == GroupState::Serving);
        for group in was_serving.filter(|g| !serving.contains(&g.group)) {
            self.stopped_serving.insert(group.group.clone(), now);
        }
    }

    /// Marks the loaded members of an instance's group as failed; they keep their weights.
    fn break_group(&mut self, index: usize) {
        let assignment = self.instances[index].assignment.clone();
        let Some(assignment) = assignment.filter(|a| !is_standby(a)) else { return };
        for instance in &mut self.instances {
            let is_same_group = instance.assignment.as_ref().is_some_and(|other| {
                !is_standby(other)
                    && (&other.group, other.epoch) == (&assignment.group, assignment.epoch)
            });
            if is_same_group && matches!(instance.state, MemberState::Ready | MemberState::Draining)
            {
                instance.state = MemberState::Failed;
            }
        }
    }

    fn count(&self, smallest_group: usize) -> DomainCounts {
        let alive = self.instances.iter().filter(|i| i.is_up).count();
        let mut counts = DomainCounts {
            alive,
            usable: alive - alive % smallest_group,
            ..DomainCounts::default()
        };
        let mut used = 0;
        for group in self.record.groups.iter().filter(|g| g.state == GroupState::Serving) {
            let is_complete = group.members.iter().all(|member| {
                let instance = &self.instances[self.index_of(&member.instance)];
                let assignment =
                    instance.assignment.as_ref().map(|assignment| assignment.group.as_str());
                let is_ready = instance.state == MemberState::Ready
                    && assignment == Some(group.group.as_str());
                instance.is_up && is_ready
            });
            if is_complete {
                used += group.members.len();
                *counts.serving.entry(group.service.clone()).or_default() += 1;
            }
        }
        counts.stranded = alive - used;
        counts
    }
}
