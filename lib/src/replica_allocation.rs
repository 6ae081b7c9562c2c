//! Allocation of the services' groups to fabric domains.
//!
//! Every owner computes the whole allocation from the same records and takes its own domain's part.
//! What a domain already has stays there as long as it fits, so a change moves little.

use crate::ids::DataCentreId;
use crate::ids::DomainId;
use crate::ids::ServiceId;
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Weight of downtime from which domains that keep a spare are preferred.
const PREFER_SPARES_FROM: f64 = 0.5;

/// What allocation knows about one domain.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct DomainCapacity {
    /// Data centre.
    pub data_centre: DataCentreId,
    /// Instances that any service may use.
    pub shared: usize,
    /// Instances kept for one service.
    pub pinned: BTreeMap<ServiceId, usize>,
    /// Groups that serve or are on the way to it.
    pub current: BTreeMap<ServiceId, usize>,
    /// Whether its instances share a fabric.
    pub has_fabric: bool,
}

/// What a service wants of the fleet.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceNeed {
    /// Service.
    pub service: ServiceId,
    /// Wanted groups.
    pub replicas: usize,
    /// Instances in a group.
    pub group_size: usize,
    /// Priority; higher wins.
    pub priority: u32,
    /// Weight of group downtime against stranded accelerators.
    pub downtime_weight: f64,
    /// Whether a group may span fabrics.
    pub allow_spanning: bool,
}

/// Wanted groups by domain and service.
pub type Allocation = BTreeMap<DomainId, BTreeMap<ServiceId, usize>>;

struct Room<'a> {
    capacity: &'a DomainCapacity,
    /// Shared instances not yet allocated.
    left: usize,
    /// Shared instances in use by current groups that are not yet allocated.
    in_use: usize,
}

/// Allocates groups to domains, services of higher priority and larger groups first.
pub fn allocate(domains: &BTreeMap<DomainId, DomainCapacity>, needs: &[ServiceNeed]) -> Allocation {
    let sizes: BTreeMap<&str, usize> =
        needs.iter().map(|need| (need.service.as_str(), need.group_size)).collect();
    let mut rooms: BTreeMap<&DomainId, Room<'_>> =
        domains.iter().map(|(id, capacity)| (id, Room::new(capacity, &sizes))).collect();
    let mut needs: Vec<&ServiceNeed> = needs.iter().collect();
    needs.sort_by_key(|n| (Reverse(n.priority), Reverse(n.group_size), n.service.clone()));
    let mut allocation = Allocation::new();
    for need in needs {
        let counts = place(need, &mut rooms);
        for (domain, count) in counts {
            allocation.entry(domain).or_default().insert(need.service.clone(), count);
        }
    }
    allocation
}

impl<'a> Room<'a> {
    fn new(capacity: &'a DomainCapacity, sizes: &BTreeMap<&str, usize>) -> Self {
        let used = capacity.current.iter();
        let used = used.map(|(s, count)| count * sizes.get(s.as_str()).copied().unwrap_or(0));
        Self { capacity, left: capacity.shared, in_use: used.sum() }
    }

    fn pinned_to(&self, need: &ServiceNeed) -> usize {
        self.capacity.pinned.get(&need.service).copied().unwrap_or(0)
    }

    fn is_fit(&self, need: &ServiceNeed) -> bool {
        self.capacity.has_fabric || need.group_size == 1 || need.allow_spanning
    }

    /// Returns how many groups of a service fit.
    fn fits(&self, need: &ServiceNeed) -> usize {
        match self.is_fit(need) {
            true => (self.left + self.pinned_to(need)) / need.group_size.max(1),
            false => 0,
        }
    }

    /// Returns the shared instances that `count` groups of a service use.
    fn shared_use(&self, need: &ServiceNeed, count: usize) -> usize {
        (count * need.group_size).saturating_sub(self.pinned_to(need))
    }
}

/// Places the groups of one service and takes their room.
fn place(
    need: &ServiceNeed,
    rooms: &mut BTreeMap<&DomainId, Room<'_>>,
) -> BTreeMap<DomainId, usize> {
    let mut counts: BTreeMap<DomainId, usize> = BTreeMap::new();
    for (id, room) in rooms.iter() {
        let current = room.capacity.current.get(&need.service).copied().unwrap_or(0);
        counts.insert((*id).clone(), current.min(room.fits(need)));
    }
    let mut total: usize = counts.values().sum();
    while total > need.replicas {
        let most = counts.iter_mut().max_by_key(|(id, count)| (**count, Reverse((*id).clone())));
        let Some((_, count)) = most else { break };
        *count -= 1;
        total -= 1;
    }
    let mut per_data_centre: BTreeMap<&str, usize> = BTreeMap::new();
    for (id, room) in rooms.iter() {
        *per_data_centre.entry(&room.capacity.data_centre).or_default() += counts[*id];
    }
    while total < need.replicas {
        let best = rooms
            .iter()
            .filter(|(id, room)| room.fits(need) > counts[**id])
            .min_by_key(|(id, room)| preference(need, room, counts[**id], &per_data_centre));
        let Some((id, room)) = best else { break };
        if let Some(count) = counts.get_mut(*id) {
            *count += 1;
        }
        *per_data_centre.entry(&room.capacity.data_centre).or_default() += 1;
        total += 1;
    }
    for (id, room) in rooms.iter_mut() {
        let current = room.capacity.current.get(&need.service).copied().unwrap_or(0);
        room.in_use = room.in_use.saturating_sub(current * need.group_size);
        room.left = room.left.saturating_sub(room.shared_use(need, counts[*id]));
    }
    counts
}

/// Ranks a domain for one more group, the smallest first: no group of another service displaced,
/// data centres even, then a spare kept or no remainder left, by the service's weight.
fn preference(
    need: &ServiceNeed,
    room: &Room<'_>,
    count: usize,
    per_data_centre: &BTreeMap<&str, usize>,
) -> (bool, usize, usize) {
    let current = room.capacity.current.get(&need.service).copied().unwrap_or(0);
    let others_in_use = room.in_use.saturating_sub(current * need.group_size);
    let left = room.left.saturating_sub(room.shared_use(need, count + 1));
    let displaces = left < others_in_use;
    let in_data_centre = per_data_centre.get(room.capacity.data_centre.as_str()).copied();
    let remainder = left % need.group_size.max(1);
    let keeps_spare = left > 0;
    let fit = match need.downtime_weight >= PREFER_SPARES_FROM {
        true => usize::from(!keeps_spare),
        false => remainder,
    };
    (displaces, in_data_centre.unwrap_or(0), fit)
}
