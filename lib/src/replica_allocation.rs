//! Allocation of the services' groups to fabric domains.
//!
//! Every owner computes the allocation of the whole fleet from the same records and uses the part
//! for its own domain. Existing groups stay in their domain while they fit, so that a change moves
//! few groups.

use crate::ids::DataCentreId;
use crate::ids::DomainId;
use crate::ids::ServiceId;
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Downtime weight from which domains that keep a spare instance are preferred.
const MIN_SPARE_WEIGHT: f64 = 0.5;

/// Capacity and current groups of one domain.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct DomainCapacity {
    /// Data centre of the domain.
    pub data_centre: DataCentreId,
    /// Number of instances that any service may use.
    pub shared: usize,
    /// Number of instances reserved for each service.
    pub pinned: BTreeMap<ServiceId, usize>,
    /// Number of groups of each service that serve or are being formed.
    pub current: BTreeMap<ServiceId, usize>,
    /// Whether its instances share a fabric.
    pub has_fabric: bool,
}

/// Number and size of the groups that a service needs in the fleet.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceNeed {
    /// Id of the service.
    pub service: ServiceId,
    /// Wanted number of groups.
    pub replicas: usize,
    /// Number of instances in a group.
    pub group_size: usize,
    /// Priority; services of higher priority are allocated first.
    pub priority: u32,
    /// Weight of group downtime relative to stranded accelerators.
    pub downtime_weight: f64,
    /// Whether a group may span fabrics.
    pub allow_spanning: bool,
}

/// Number of groups allocated, by domain and service.
pub type Allocation = BTreeMap<DomainId, BTreeMap<ServiceId, usize>>;

struct RemainingCapacity<'a> {
    capacity: &'a DomainCapacity,
    /// Shared instances not yet allocated.
    unallocated: usize,
    /// Shared instances in use by current groups that are not yet allocated.
    in_use: usize,
}

/// Allocates groups to domains, services of higher priority and larger groups first.
pub fn allocate(domains: &BTreeMap<DomainId, DomainCapacity>, needs: &[ServiceNeed]) -> Allocation {
    let sizes: BTreeMap<&str, usize> =
        needs.iter().map(|need| (need.service.as_str(), need.group_size)).collect();
    let mut remaining_by_domain: BTreeMap<&DomainId, RemainingCapacity<'_>> = domains
        .iter()
        .map(|(id, capacity)| (id, RemainingCapacity::new(capacity, &sizes)))
        .collect();
    let mut needs: Vec<&ServiceNeed> = needs.iter().collect();
    needs.sort_by_key(|n| (Reverse(n.priority), Reverse(n.group_size), n.service.clone()));
    let mut allocation = Allocation::new();
    for need in needs {
        let counts = place_groups(need, &mut remaining_by_domain);
        for (domain, count) in counts {
            allocation.entry(domain).or_default().insert(need.service.clone(), count);
        }
    }
    allocation
}

impl<'a> RemainingCapacity<'a> {
    fn new(capacity: &'a DomainCapacity, sizes: &BTreeMap<&str, usize>) -> Self {
        let used = capacity.current.iter();
        let used = used.map(|(s, count)| count * sizes.get(s.as_str()).copied().unwrap_or(0));
        Self { capacity, unallocated: capacity.shared, in_use: used.sum() }
    }

    fn pinned_to(&self, need: &ServiceNeed) -> usize {
        self.capacity.pinned.get(&need.service).copied().unwrap_or(0)
    }

    fn can_host(&self, need: &ServiceNeed) -> bool {
        self.capacity.has_fabric || need.group_size == 1 || need.allow_spanning
    }

    /// Returns how many groups of a service fit.
    fn max_groups(&self, need: &ServiceNeed) -> usize {
        match self.can_host(need) {
            true => (self.unallocated + self.pinned_to(need)) / need.group_size.max(1),
            false => 0,
        }
    }

    /// Returns the shared instances that `count` groups of a service use.
    fn shared_use(&self, need: &ServiceNeed, count: usize) -> usize {
        (count * need.group_size).saturating_sub(self.pinned_to(need))
    }
}

/// Allocates the groups of one service and subtracts the instances that they use.
fn place_groups(
    need: &ServiceNeed,
    remaining_by_domain: &mut BTreeMap<&DomainId, RemainingCapacity<'_>>,
) -> BTreeMap<DomainId, usize> {
    let mut counts: BTreeMap<DomainId, usize> = BTreeMap::new();
    for (id, remaining) in remaining_by_domain.iter() {
        let current = remaining.capacity.current.get(&need.service).copied().unwrap_or(0);
        counts.insert((*id).clone(), current.min(remaining.max_groups(need)));
    }
    let mut total: usize = counts.values().sum();
    while total > need.replicas {
        let most = counts.iter_mut().max_by_key(|(id, count)| (**count, Reverse((*id).clone())));
        let Some((_, count)) = most else { break };
        *count -= 1;
        total -= 1;
    }
    let mut per_data_centre: BTreeMap<&str, usize> = BTreeMap::new();
    for (id, remaining) in remaining_by_domain.iter() {
        *per_data_centre.entry(&remaining.capacity.data_centre).or_default() += counts[*id];
    }
    while total < need.replicas {
        let best = remaining_by_domain
            .iter()
            .filter(|(id, remaining)| remaining.max_groups(need) > counts[**id])
            .min_by_key(|(id, remaining)| {
                preference(need, remaining, counts[**id], &per_data_centre)
            });
        let Some((id, remaining)) = best else { break };
        if let Some(count) = counts.get_mut(*id) {
            *count += 1;
        }
        *per_data_centre.entry(&remaining.capacity.data_centre).or_default() += 1;
        total += 1;
    }
    for (id, remaining) in remaining_by_domain.iter_mut() {
        let current = remaining.capacity.current.get(&need.service).copied().unwrap_or(0);
        remaining.in_use = remaining.in_use.saturating_sub(current * need.group_size);
        remaining.unallocated =
            remaining.unallocated.saturating_sub(remaining.shared_use(need, counts[*id]));
    }
    counts
}

/// Returns the sort key of a domain for one more group; the smallest is preferred. Domains where
/// no group of another service is displaced come first, then those in the data centre with the
/// fewest groups of the service. Last, the downtime weight decides whether a spare instance is
/// kept or the remainder of unused instances is small.
fn preference(
    need: &ServiceNeed,
    remaining: &RemainingCapacity<'_>,
    count: usize,
    per_data_centre: &BTreeMap<&str, usize>,
) -> (bool, usize, usize) {
    let current = remaining.capacity.current.get(&need.service).copied().unwrap_or(0);
    let others_in_use = remaining.in_use.saturating_sub(current * need.group_size);
    let unallocated = remaining.unallocated.saturating_sub(remaining.shared_use(need, count + 1));
    let displaces = unallocated < others_in_use;
    let in_data_centre = per_data_centre.get(remaining.capacity.data_centre.as_str()).copied();
    let remainder = unallocated % need.group_size.max(1);
    let keeps_spare = unallocated > 0;
    let fit = match need.downtime_weight >= MIN_SPARE_WEIGHT {
        true => usize::from(!keeps_spare),
        false => remainder,
    };
    (displaces, in_data_centre.unwrap_or(0), fit)
}
