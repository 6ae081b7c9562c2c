//! Decides how many groups each model of a service should have: from the configured shares of the work, or
//! from the slots that the models need according to measured demand.
//!
//! Load pattern: instances are scarce, and one group of the large model takes the instances and the loads
//! of several groups of the small one. Demand differs from the configured shares, varies in waves, and
//! groups lose members all the time, large ones more often.

use crate::fleet_config::Engine;
use crate::fleet_config::Model;
use crate::group_plan::PlanInstance;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// Number of spare instances per domain when groups are allocated, and per model when staging.
pub const SPARES_PER_DOMAIN: usize = 1;
/// Slots to keep as a multiple of the measured peak, since bursts and losses come without notice.
const NEED_MARGIN: f64 = 1.25;
/// Fraction of the time for which a member of a group is missing, as expected.
const MISSING_RATIO: f64 = 0.005;
/// Degree below which a model goes before all others: refusing more than half of its requests would starve
/// them.
const STARVING_DEGREE: f64 = 0.5;
/// Degree of a model that is asked for and has one group. A second one is due, but no other model's group is
/// dissolved for it.
const ONE_GROUP_DEGREE: f64 = 0.95;
/// Degree below which groups of another model are dissolved.
const MOVE_BELOW_DEGREE: f64 = 0.9;
/// Degree that a model keeps when some of its groups are dissolved for another one.
const KEPT_DEGREE: f64 = 1.1;
/// Time for which a model has to be short before groups are dissolved for it.
const SHORT_BEFORE_MOVE: Duration = Duration::from_secs(4);
/// Time between two such steps, about that of a load without staged weights.
const MOVE_INTERVAL: Duration = Duration::from_secs(15);
/// Window over which the platform bounds the number of loads that begin.
const LOAD_WINDOW: Duration = Duration::from_secs(5);
/// Multiple of the rate of loads that may begin in that window.
const LOAD_WINDOW_RATIO: f64 = 1.1;
/// Loads that may begin in it beyond that.
const LOAD_WINDOW_SLACK: f64 = 3.0;

/// Number of groups by domain and model.
pub type GroupCounts = BTreeMap<(String, String), usize>;

/// Measured demand for the models of one service, as input of the planner.
#[derive(Debug, Clone, PartialEq)]
pub struct AllocationDemand {
    /// Slots that each model needs at the peak.
    pub needed: BTreeMap<String, f64>,
    /// Whether groups of a model may be dissolved for another one now.
    pub can_move: bool,
    /// Number of weight loads that may begin now.
    pub load_allowance: usize,
}

impl AllocationDemand {
    /// Returns the expected slots of a number of groups, divided by what the model needs with a margin. From
    /// 1 on, the model has enough.
    pub fn degree(&self, engine: &Engine, model: &Model, groups: usize) -> f64 {
        let needed = self.needed.get(&model.name).copied().unwrap_or(0.0);
        let floor =
            expected_slots(engine, model, 1) / if needed > 0.0 { ONE_GROUP_DEGREE } else { 1.0 };
        expected_slots(engine, model, groups) / (needed * NEED_MARGIN).max(floor).max(1.0)
    }

    /// Returns whether a number of groups is less than the model needs.
    pub fn is_short(&self, engine: &Engine, model: &Model, groups: usize) -> bool {
        self.degree(engine, model, groups) < 1.0
    }

    /// Returns whether groups of another model should be dissolved for a model with so many groups.
    pub fn is_move_due(&self, engine: &Engine, model: &Model, groups: usize) -> bool {
        self.degree(engine, model, groups) < MOVE_BELOW_DEGREE
    }

    /// Returns whether instances with the weights of a model may be used for another one while its own groups
    /// can't be completed.
    pub fn can_spare_remnants(&self, engine: &Engine, model: &Model, groups: usize) -> bool {
        self.degree(engine, model, groups) >= STARVING_DEGREE
    }

    /// Returns the models in the order in which loads are spent on them: first those that would be starved,
    /// then, of those that are short, the ones whose groups take the fewest loads.
    pub fn by_urgency<'m>(
        &self,
        engine: &'m Engine,
        groups: impl Fn(&Model) -> usize,
    ) -> Vec<&'m Model> {
        let key = |model: &Model| {
            let degree = self.degree(engine, model, groups(model));
            match degree {
                degree if degree < STARVING_DEGREE => (0, 0, degree),
                degree if degree < 1.0 => (1, model.size, degree),
                degree => (2, 0, degree),
            }
        };
        let mut models: Vec<&Model> = engine.models.iter().collect();
        models.sort_by(|a, b| {
            let ((tier_a, size_a, a_degree), (tier_b, size_b, b_degree)) = (key(a), key(b));
            let by_size = || (tier_a, size_a).cmp(&(tier_b, size_b));
            by_size().then(a_degree.total_cmp(&b_degree)).then(b.size.cmp(&a.size))
        });
        models
    }
}

/// Returns the slots of a number of groups, as far as no member is missing.
fn expected_slots(engine: &Engine, model: &Model, groups: usize) -> f64 {
    let is_complete = (1.0 - MISSING_RATIO).powi(model.size.min(1000) as i32);
    groups as f64 * f64::from(engine.slots.max(1)) * is_complete
}

/// Instances of a domain that are in no group.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct DomainSpace {
    /// Their number.
    pub free: usize,
    /// How many of them have the weights of each model.
    pub with_weights: BTreeMap<String, usize>,
}

/// Returns how many groups of each model each domain should have: those that exist, and as many more as fit,
/// each of the model with the lowest degree.
///
/// Existing groups are kept whatever the demand, so that a change of demand never makes one superfluous.
pub fn allocate_by_demand(
    engine: &Engine,
    demand: &AllocationDemand,
    existing: &GroupCounts,
    mut spaces: BTreeMap<String, DomainSpace>,
) -> GroupCounts {
    let mut groups = existing.clone();
    let largest = engine.models.iter().map(|model| model.size).max().unwrap_or(0);
    loop {
        let mut models: Vec<&Model> = engine.models.iter().collect();
        let degree = |model: &Model| demand.degree(engine, model, count_all(&groups, model));
        models.sort_by(|a, b| degree(a).total_cmp(&degree(b)).then(b.size.cmp(&a.size)));
        let placed = models.into_iter().find_map(|model| {
            let has_room =
                |space: &DomainSpace| space.free >= model.size.max(1) + SPARES_PER_DOMAIN;
            let rooms = spaces.iter().filter(|(_, space)| has_room(space));
            // Small groups fill up domains one after the other, which leaves room for large ones.
            let preference = |space: &DomainSpace| {
                let with_weights = space.with_weights.get(&model.name).copied().unwrap_or(0);
                let with_weights = with_weights.min(model.size);
                let fill = if model.size == largest { space.free } else { usize::MAX - space.free };
                (with_weights, fill)
            };
            let domain = rooms.max_by_key(|(_, space)| preference(space))?.0.clone();
            Some((domain, model))
        });
        let Some((domain, model)) = placed else { return groups };
        if let Some(space) = spaces.get_mut(&domain) {
            space.free -= model.size.max(1);
            let with_weights = space.with_weights.entry(model.name.clone()).or_default();
            *with_weights = with_weights.saturating_sub(model.size);
        }
        *groups.entry((domain, model.name.clone())).or_default() += 1;
    }
}

/// Groups of a model to be dissolved in a domain for another model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GroupMove {
    /// Fabric domain.
    pub domain: String,
    /// Model that gives up groups.
    pub from: String,
    /// Model that the instances are used for.
    pub to: String,
    /// Number of groups to be dissolved.
    pub groups: usize,
}

/// Returns the groups to be dissolved for a model that is short and has no room: those with the fewest
/// members, of a model that keeps more slots than it needs. `free` is the number of free instances by domain.
pub fn next_move(
    engine: &Engine,
    demand: &AllocationDemand,
    groups: &GroupCounts,
    free: &BTreeMap<String, usize>,
) -> Option<GroupMove> {
    let count = |model: &Model| count_all(groups, model);
    let free_in = |domain: &str| free.get(domain).copied().unwrap_or(0);
    for to in demand.by_urgency(engine, count) {
        let has_room = free.values().any(|free| *free >= to.size);
        if !demand.is_move_due(engine, to, count(to)) || has_room {
            continue;
        }
        let candidates = groups.iter().filter_map(|((domain, from), in_domain)| {
            let from = engine.model(from).filter(|from| from.name != to.name)?;
            let lacking = to.size.saturating_sub(free_in(domain));
            let dissolved = lacking.div_ceil(from.size.max(1)).max(1);
            let left = count(from).checked_sub(dissolved).filter(|left| *left > 0)?;
            let keeps_enough = demand.degree(engine, from, left) >= KEPT_DEGREE;
            (dissolved <= *in_domain && keeps_enough).then(|| {
                let (domain, from_name) = (domain.clone(), from.name.clone());
                let to = to.name.clone();
                (
                    dissolved * from.size,
                    GroupMove { domain, from: from_name, to, groups: dissolved },
                )
            })
        });
        if let Some((_, first)) = candidates.min_by_key(|(members, _)| *members) {
            return Some(first);
        }
    }
    None
}

/// What the decisions on one service depend on besides the current state.
#[derive(Debug, Default)]
pub struct AllocationHistory {
    /// Since when each model has been short.
    short_since: BTreeMap<String, Instant>,
    /// When groups were last dissolved for another model.
    moved_at: Option<Instant>,
    /// When weight loads began, and how many.
    loads: VecDeque<(Instant, usize)>,
}

impl AllocationHistory {
    /// Creates the state of a node that has just acquired the lease.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the models that are short according to the last plan.
    pub fn record_short(&mut self, short: &[String], now: Instant) {
        self.short_since.retain(|model, _| short.contains(model));
        for model in short {
            self.short_since.entry(model.clone()).or_insert(now);
        }
    }

    /// Records that groups are dissolved for another model.
    pub fn record_move(&mut self, now: Instant) {
        self.moved_at = Some(now);
    }

    /// Records that weight loads begin.
    pub fn record_loads(&mut self, loads: usize, now: Instant) {
        if loads > 0 {
            self.loads.push_back((now, loads));
        }
        while self.loads.front().is_some_and(|(at, _)| now - *at >= LOAD_WINDOW) {
            self.loads.pop_front();
        }
    }

    /// Returns whether groups may be dissolved for another model.
    pub fn can_move(&self, now: Instant) -> bool {
        let is_short = self.short_since.values().any(|since| now - *since >= SHORT_BEFORE_MOVE);
        is_short && self.moved_at.is_none_or(|at| now - at >= MOVE_INTERVAL)
    }

    /// Returns how many weight loads may begin now.
    pub fn load_allowance(&self, engine: &Engine, now: Instant) -> usize {
        let recent = self.loads.iter().filter(|(at, _)| now - *at < LOAD_WINDOW);
        max_loads_in_window(engine).saturating_sub(recent.map(|(_, loads)| loads).sum())
    }
}

/// Returns how many weight loads of an engine may begin in `LOAD_WINDOW`.
pub fn max_loads_in_window(engine: &Engine) -> usize {
    let by_rate = engine.loads_per_second * LOAD_WINDOW.as_secs_f64() * LOAD_WINDOW_RATIO;
    (by_rate + LOAD_WINDOW_SLACK).max(1.0) as usize
}

/// Returns how many groups of each model each domain should have, regardless of existing groups, by the
/// configured shares.
///
/// Small groups fit where large ones no longer do, but not the other way round. So every number of
/// groups of the largest model is tried, starting with the most that fit, and the rest is filled with
/// the least served models first. The result is the allocation in which the least served model has the
/// most members for its share.
pub fn allocate(engine: &Engine, instances: &[PlanInstance]) -> GroupCounts {
    let mut remaining: BTreeMap<&str, usize> = BTreeMap::new();
    for instance in instances.iter().filter(|i| i.is_present()) {
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
pub fn count_of(groups: &GroupCounts, model: &Model, domain: &str) -> usize {
    groups.get(&(domain.to_string(), model.name.clone())).copied().unwrap_or(0)
}

/// Returns the number of groups of a model in all domains.
pub fn count_all(groups: &GroupCounts, model: &Model) -> usize {
    groups.iter().filter(|((_, name), _)| *name == model.name).map(|(_, count)| count).sum()
}

/// Returns the number of members in a model's groups, divided by the model's share of the work.
fn members_per_share(model: &Model, groups: usize) -> f64 {
    (groups * model.size) as f64 / model.share.max(0.001)
}

/// Returns the models ordered by members per share, least first, and larger models first on a tie.
pub fn by_need<'m>(
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
