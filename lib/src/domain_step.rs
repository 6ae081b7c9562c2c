//! One step of a domain owner: renew the lease, poll, plan, store the plan, send orders.

use crate::domain_owner::DomainOwner;
use crate::domain_owner::WriteOutcome;
use crate::domain_targets::ActiveExceptions;
use crate::domain_targets::capacities;
use crate::domain_targets::domain_of;
use crate::domain_targets::needs;
use crate::domain_targets::targets;
use crate::generated::config::FleetConfig;
use crate::generated::config::UpstreamKind;
use crate::generated::events::Event;
use crate::generated::groups::GroupState;
use crate::generated::platform::InstanceInfo;
use crate::generated::platform::InstanceRole;
use crate::ids::InstanceId;
use crate::load_schedule;
use crate::planner;
use crate::planner_types::DomainInput;
use crate::planner_types::DomainPlan;
use crate::planner_types::MemberFacts;
use crate::planner_types::MemberHealth;
use crate::planner_types::ServiceTarget;
use crate::replica_allocation::allocate;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

/// Order timeout for a kind of upstream that the configuration does not list.
pub(crate) const DEFAULT_ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// Facts about the domain's instances, by instance.
pub(crate) type Facts = BTreeMap<InstanceId, MemberFacts>;

impl DomainOwner {
    /// Runs one step of the owner.
    pub(crate) async fn step(&mut self) {
        let now = self.now();
        if self.authority.lease.is_renewal_due(now) && self.renew().await == WriteOutcome::Lost {
            return;
        }
        if now < self.next_poll {
            return;
        }
        let Some(config) = self.shared.cx.config.get().map(|record| record.config.clone()) else {
            return;
        };
        let instances = self.shared.cx.instances.get();
        let domain_instances: Vec<&InstanceInfo> = instances
            .iter()
            .filter(|info| info.role == InstanceRole::Engine && domain_of(info) == self.domain)
            .collect();
        self.poll(&domain_instances).await;
        // Polling takes time and the process may have been suspended meanwhile, so the lease is
        // checked again.
        if !self.may_act(&domain_instances, &config) {
            return;
        }
        let exceptions = ActiveExceptions::new(&config, self.shared.cx.clock.unix());
        let facts = self.facts(&domain_instances, &exceptions);
        if self.handle_unreachable(&facts).await {
            return;
        }
        let targets = self.targets(&instances, &config, &exceptions);
        let is_recorded = self.plan_and_record(&facts, &targets, &config, &domain_instances).await;
        if !is_recorded {
            return;
        }
        let sent = self.send_orders(&facts, &targets, &config, &domain_instances).await;
        self.schedule_poll(&facts, sent);
    }

    pub(crate) fn now(&self) -> Duration {
        self.shared.cx.clock.now()
    }

    async fn renew(&mut self) -> WriteOutcome {
        let groups = self.record.groups.clone();
        let unavailable = self.record.unavailable.clone();
        self.write(groups, unavailable).await
    }

    /// Returns whether the owner may plan now: its lease is valid, or all its instances check
    /// fencing numbers and so reject its orders once another node owns the domain.
    fn may_act(&mut self, domain_instances: &[&InstanceInfo], config: &FleetConfig) -> bool {
        if self.authority.lease.is_valid(self.now()) {
            return true;
        }
        self.is_fenced(domain_instances, config)
    }

    fn is_fenced(&self, domain_instances: &[&InstanceInfo], config: &FleetConfig) -> bool {
        domain_instances.iter().all(|info| kind_of(config, info).checks_fencing)
    }

    fn targets(
        &self,
        instances: &[InstanceInfo],
        config: &FleetConfig,
        exceptions: &ActiveExceptions,
    ) -> Vec<ServiceTarget> {
        let records = self.shared.records.all();
        let needs = needs(config, exceptions);
        let allocation = allocate(&capacities(instances, &records, exceptions), &needs);
        targets(&self.domain, config, &needs, &allocation, &records)
    }

    /// Plans the groups and stores the plan. Returns whether orders may be derived from the record
    /// in memory.
    async fn plan_and_record(
        &mut self,
        facts: &Facts,
        targets: &[ServiceTarget],
        config: &FleetConfig,
        domain_instances: &[&InstanceInfo],
    ) -> bool {
        // A group may have been draining already when this owner acquired the domain.
        self.update_draining_since();
        let input = self.input(facts, targets, config);
        let mut plan = planner::plan(&input);
        self.grant_loads(&mut plan, config.defaults.load_concurrency);
        let unavailable = unavailable(facts);
        self.record_shortages(&plan);
        if plan.groups == self.record.groups && unavailable == self.record.unavailable {
            return true;
        }
        let written = self.write(plan.groups.clone(), unavailable.clone()).await;
        match written {
            WriteOutcome::Written => {}
            WriteOutcome::Unknown if self.is_fenced(domain_instances, config) => {
                self.continue_without_store(&plan, unavailable);
            }
            WriteOutcome::Unknown | WriteOutcome::Lost => return false,
        }
        self.next_group = plan.next_group;
        self.update_draining_since();
        self.record_changes(plan);
        true
    }

    fn input(&self, facts: &Facts, targets: &[ServiceTarget], config: &FleetConfig) -> DomainInput {
        let now = self.now();
        let draining_for =
            |(group, since): (&String, &Duration)| (group.clone(), now.saturating_sub(*since));
        DomainInput {
            epoch: self.authority.epoch,
            groups: self.record.groups.clone(),
            members: facts.clone(),
            targets: targets.to_vec(),
            draining_for: self.draining_since.iter().map(draining_for).collect(),
            drain: config.defaults.drain,
            stragglers: self.stragglers(now),
            next_group: self.next_group,
            id_prefix: format!("{}-{}", self.domain, self.authority.epoch),
        }
    }

    fn stragglers(&self, now: Duration) -> BTreeSet<InstanceId> {
        let loading = self.record.groups.iter().filter(|g| g.state == GroupState::Loading);
        let stragglers = loading.flat_map(|group| {
            let ids: Vec<InstanceId> = group.members.iter().map(|m| m.instance.clone()).collect();
            self.history.stragglers(&ids, now)
        });
        stragglers.collect()
    }

    /// Moves reserved groups to loading as the fleet-wide load schedule permits.
    fn grant_loads(&self, plan: &mut DomainPlan, concurrency: u32) {
        let records = self.shared.records.all();
        let others = records.iter().filter(|(domain, _)| **domain != self.domain);
        let others = others.flat_map(|(_, known)| &known.record.groups);
        let granted = load_schedule::groups_to_load(others.chain(&plan.groups), concurrency);
        let waiting = plan.groups.iter_mut().filter(|group| group.state == GroupState::Reserved);
        for group in waiting.filter(|group| granted.contains(&group.group)) {
            group.state = GroupState::Loading;
        }
    }

    /// Keeps a plan in memory that could not be stored. This is safe because all instances check
    /// fencing numbers.
    fn continue_without_store(&mut self, plan: &DomainPlan, unavailable: Vec<InstanceId>) {
        self.record.groups = plan.groups.clone();
        self.record.unavailable = unavailable;
        if !std::mem::replace(&mut self.is_unsaved, true) {
            self.shared.cx.record(Event::OwnerWithoutStore {
                domain: self.domain.clone(),
                node: self.shared.cx.node().to_string(),
                epoch: self.authority.epoch,
            });
        }
    }

    fn update_draining_since(&mut self) {
        let now = self.now();
        let draining = self.record.groups.iter().filter(|g| g.state == GroupState::Draining);
        let draining: BTreeSet<&String> = draining.map(|group| &group.group).collect();
        self.draining_since.retain(|group, _| draining.contains(group));
        for group in draining {
            self.draining_since.entry(group.clone()).or_insert(now);
        }
    }

    fn record_changes(&self, plan: DomainPlan) {
        for change in plan.changes {
            self.shared.cx.record(Event::GroupChanged {
                group: change.group,
                domain: self.domain.clone(),
                service: change.service,
                from: change.from.to_string(),
                to: change.to.to_string(),
                members: change.members.join(" "),
                epoch: self.authority.epoch,
                reason: change.reason,
            });
        }
    }

    fn record_shortages(&mut self, plan: &DomainPlan) {
        let shortages = plan.shortages.iter().map(|s| (s.service.clone(), s.missing));
        let shortages: BTreeMap<String, usize> = shortages.collect();
        for shortage in &plan.shortages {
            if self.shortages.get(&shortage.service) == Some(&shortage.missing) {
                continue;
            }
            self.shared.cx.record(Event::GroupShort {
                domain: self.domain.clone(),
                service: shortage.service.clone(),
                wanted: shortage.wanted as u64,
                missing: shortage.missing as u64,
                free: shortage.free as u64,
                reason: "too few free instances that respond and accept groups".to_string(),
            });
        }
        self.shortages = shortages;
    }
}

pub(crate) fn kind_of(config: &FleetConfig, info: &InstanceInfo) -> UpstreamKind {
    let unknown = UpstreamKind { checks_fencing: false, order_timeout: DEFAULT_ORDER_TIMEOUT };
    config.upstream_kinds.get(&info.kind).cloned().unwrap_or(unknown)
}

fn unavailable(facts: &Facts) -> Vec<InstanceId> {
    let is_unavailable =
        |facts: &MemberFacts| matches!(facts.health, MemberHealth::Lost | MemberHealth::Flapping);
    facts.iter().filter(|(_, facts)| is_unavailable(facts)).map(|(id, _)| id.clone()).collect()
}
