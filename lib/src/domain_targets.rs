//! Derives each domain's targets from the configuration, the instance list and the records of all
//! domains.

use crate::domain_records::VersionedRecord;
use crate::generated::config::ExceptionKind;
use crate::generated::config::FleetConfig;
use crate::generated::config::Service;
use crate::generated::config::ServiceKind;
use crate::generated::groups::DomainRecord;
use crate::generated::groups::GroupState;
use crate::generated::platform::InstanceInfo;
use crate::generated::platform::InstanceRole;
use crate::generated::platform::InstanceState;
use crate::ids::DomainId;
use crate::ids::InstanceId;
use crate::ids::ServiceId;
use crate::planner_types::ModelSpec;
use crate::planner_types::ServiceTarget;
use crate::replica_allocation::Allocation;
use crate::replica_allocation::DomainCapacity;
use crate::replica_allocation::ServiceNeed;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

/// Prefix of the domain id of instances without a fabric; their data centre follows it.
const NO_FABRIC_PREFIX: &str = "none:";

/// Returns the domain in which an instance is planned.
pub fn domain_of(info: &InstanceInfo) -> DomainId {
    match info.domain.is_empty() {
        true => format!("{NO_FABRIC_PREFIX}{}", info.data_centre),
        false => info.domain.clone(),
    }
}

/// The operators' exceptions in effect at one time, by instance, domain and service.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ActiveExceptions {
    /// Instances excluded from planning.
    pub excluded: BTreeSet<InstanceId>,
    /// Instances that get no new group.
    pub cordoned: BTreeSet<InstanceId>,
    /// Domains that get no new group.
    pub cordoned_domains: BTreeSet<DomainId>,
    /// Instances reserved for one service.
    pub pinned: BTreeMap<InstanceId, ServiceId>,
    /// Overridden numbers of groups.
    pub replicas: BTreeMap<ServiceId, u32>,
}

impl ActiveExceptions {
    /// Returns the exceptions that have not expired. If two apply to the same instance or service,
    /// the one listed later takes effect.
    pub fn new(config: &FleetConfig, unix: Duration) -> Self {
        let mut active = Self::default();
        let is_unexpired = |expires: Option<Duration>| expires.is_none_or(|expires| unix < expires);
        for exception in config.exceptions.iter().filter(|e| is_unexpired(e.expires_unix)) {
            match &exception.what {
                ExceptionKind::ExcludeInstance(id) => {
                    active.excluded.insert(id.clone());
                }
                ExceptionKind::CordonInstance(id) => {
                    active.cordoned.insert(id.clone());
                }
                ExceptionKind::CordonDomain(domain) => {
                    active.cordoned_domains.insert(domain.clone());
                }
                ExceptionKind::PinInstance(pin) => {
                    active.pinned.insert(pin.instance.clone(), pin.service.clone());
                }
                ExceptionKind::ServiceReplicas(change) => {
                    active.replicas.insert(change.service.clone(), change.replicas);
                }
            }
        }
        active
    }

    /// Returns whether an instance may be assigned to a new group.
    pub fn accepts_groups(&self, info: &InstanceInfo) -> bool {
        !self.cordoned.contains(&info.instance) && !self.cordoned_domains.contains(&domain_of(info))
    }

    /// Returns whether an instance has to leave its group.
    pub fn must_leave(&self, info: &InstanceInfo) -> bool {
        info.state == InstanceState::Leaving || self.excluded.contains(&info.instance)
    }
}

/// Returns the engine instances by domain.
pub fn engines_by_domain(instances: &[InstanceInfo]) -> BTreeMap<DomainId, Vec<&InstanceInfo>> {
    let mut domains: BTreeMap<DomainId, Vec<&InstanceInfo>> = BTreeMap::new();
    for info in instances.iter().filter(|info| info.role == InstanceRole::Engine) {
        domains.entry(domain_of(info)).or_default().push(info);
    }
    domains
}

/// Returns the capacity of each domain for the allocation of groups.
pub fn capacities(
    instances: &[InstanceInfo],
    records: &BTreeMap<DomainId, VersionedRecord>,
    exceptions: &ActiveExceptions,
) -> BTreeMap<DomainId, DomainCapacity> {
    let domains = engines_by_domain(instances);
    let capacity = |(domain, infos): (DomainId, Vec<&InstanceInfo>)| {
        let record = records.get(&domain).map(|known| known.record.as_ref());
        let capacity = capacity_of(&domain, &infos, record, exceptions);
        (domain, capacity)
    };
    domains.into_iter().map(capacity).collect()
}

fn capacity_of(
    domain: &str,
    infos: &[&InstanceInfo],
    record: Option<&DomainRecord>,
    exceptions: &ActiveExceptions,
) -> DomainCapacity {
    let groups = record.map(|record| record.groups.as_slice()).unwrap_or_default();
    let active = || groups.iter().filter(|group| is_active(group.state));
    let members: BTreeSet<&str> =
        active().flat_map(|group| &group.members).map(|m| m.instance.as_str()).collect();
    let unavailable: BTreeSet<&str> =
        record.into_iter().flat_map(|record| &record.unavailable).map(String::as_str).collect();
    let mut capacity = DomainCapacity {
        data_centre: infos.first().map(|info| info.data_centre.clone()).unwrap_or_default(),
        has_fabric: !domain.starts_with(NO_FABRIC_PREFIX),
        ..DomainCapacity::default()
    };
    for info in infos {
        let is_usable = !exceptions.must_leave(info)
            && !unavailable.contains(info.instance.as_str())
            && (exceptions.accepts_groups(info) || members.contains(info.instance.as_str()));
        match exceptions.pinned.get(&info.instance) {
            _ if !is_usable => {}
            Some(service) => *capacity.pinned.entry(service.clone()).or_default() += 1,
            None => capacity.shared += 1,
        }
    }
    for group in active() {
        *capacity.current.entry(group.service.clone()).or_default() += 1;
    }
    capacity
}

/// Returns whether a group in this state serves or is being formed.
pub fn is_active(state: GroupState) -> bool {
    !matches!(state, GroupState::Draining | GroupState::Released)
}

/// Returns the fleet-wide needs of the engine services.
pub fn needs(config: &FleetConfig, exceptions: &ActiveExceptions) -> Vec<ServiceNeed> {
    let engines = config.services.iter().filter(|(_, s)| s.kind == ServiceKind::Engine);
    let need = |(id, service): (&ServiceId, &Service)| ServiceNeed {
        service: id.clone(),
        replicas: exceptions.replicas.get(id).copied().unwrap_or(service.replicas) as usize,
        group_size: service.members_per_replica.max(1) as usize,
        priority: service.priority,
        downtime_weight: service.downtime_weight.unwrap_or(config.defaults.downtime_weight),
        allow_spanning: service.allow_spanning,
    };
    engines.map(need).collect()
}

/// Returns the targets of one domain in the order of allocation: higher priority first, then
/// larger groups.
pub fn targets(
    domain: &str,
    config: &FleetConfig,
    needs: &[ServiceNeed],
    allocation: &Allocation,
    records: &BTreeMap<DomainId, VersionedRecord>,
) -> Vec<ServiceTarget> {
    let wanted = allocation.get(domain);
    let target = |need: &ServiceNeed| {
        let service = config.services.get(&need.service)?;
        let spec = ModelSpec {
            model: service.model.clone(),
            version: service.version.clone(),
            adapter: service.adapter.clone(),
        };
        let budget = service.disruption_budget.unwrap_or(config.defaults.disruption_budget);
        Some(ServiceTarget {
            service: need.service.clone(),
            groups: wanted.and_then(|wanted| wanted.get(&need.service)).copied().unwrap_or(0),
            group_size: need.group_size,
            priority: need.priority,
            disruptions: disruptions(domain, need, &spec, budget as usize, records),
            spec,
            role: service.role,
            downtime_weight: need.downtime_weight.clamp(0.0, 1.0),
        })
    };
    let mut targets: Vec<ServiceTarget> = needs.iter().filter_map(target).collect();
    targets.sort_by_key(|t| (Reverse(t.priority), Reverse(t.group_size), t.service.clone()));
    targets
}

/// Returns how many outdated groups of a service this domain may drain now.
///
/// All owners list the outdated groups of the fleet in the same order. The first of them may be
/// drained, as many as the disruption budget leaves after the groups that are already missing.
fn disruptions(
    domain: &str,
    need: &ServiceNeed,
    spec: &ModelSpec,
    budget: usize,
    records: &BTreeMap<DomainId, VersionedRecord>,
) -> usize {
    let groups = records.iter().flat_map(|(id, known)| {
        known.record.groups.iter().filter(|g| g.service == need.service).map(move |g| (id, g))
    });
    let serving: Vec<_> = groups.filter(|(_, g)| g.state == GroupState::Serving).collect();
    let down = need.replicas.saturating_sub(serving.len());
    let outdated = serving.into_iter().filter(|(_, g)| ModelSpec::of_group(g) != *spec);
    let allowed = outdated.take(budget.saturating_sub(down));
    allowed.filter(|(id, _)| id.as_str() == domain).count()
}
