//! Demand by model: what each node counts of its callers' requests, and the slots that the models need
//! according to the counts of all nodes.
//!
//! Load pattern: demand varies by half around its mean in waves of 15 s, with bursts in addition, and
//! differs between the models of a service. Under overload most requests of one model are refused, so that
//! running requests do not show what the model needs; arrivals do.

use crate::key_hash::key_hash;
use guavaladder_proc_macros::common_derives;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use tokio::time::Instant;

/// Number of complete seconds over which arrivals are summed.
const ARRIVAL_WINDOW_S: u64 = 2;
/// Number of complete seconds over which repeats, refusals and work are summed. A refused caller returns
/// within a third of its deadline.
const WORK_WINDOW_S: u64 = 8;
/// Maximum number of entries in a message, which keeps it below 1 KB.
const MAX_ENTRIES: usize = 20;
/// Maximum number of models and kinds that are counted.
const MAX_COUNTED: usize = 256;
/// Time after which the sums of a silent node no longer count.
const REPORT_TTL: Duration = Duration::from_secs(4);
/// Time for which most nodes have to be heard before their sums are used.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Time after which the sums that are heard are used although most are missing: most registered nodes may have
/// been lost for good.
const FEW_HEARD_TIMEOUT: Duration = Duration::from_secs(10);
/// Time over which the peak is taken: longer than a wave of demand.
const PEAK_WINDOW: Duration = Duration::from_secs(20);
/// Weight of a new sample of the mean work of a request.
const NEWEST_WEIGHT: f64 = 0.3;

/// Hash of a service and one of its models.
pub type ModelHash = u64;

/// Returns the hash of a model of a service.
pub fn model_hash(service: &str, model: &str) -> ModelHash {
    key_hash(format!("{service}\0{model}").as_bytes())
}

/// Counts of one node for the requests of one kind (route) for a model.
#[common_derives(Copy, Eq, Default)]
pub struct KindDemand {
    /// Hash of the service and the model.
    pub model: ModelHash,
    /// Hash of the route; 0 for several routes.
    pub kind: u64,
    /// Requests of callers that are probably no repeats, in `ARRIVAL_WINDOW_S`.
    pub arrivals: u32,
    /// Requests of callers that are probably repeats, in `WORK_WINDOW_S`.
    pub repeats: u32,
    /// Refused requests, in `WORK_WINDOW_S`.
    pub refused: u32,
    /// Requests that ended at a replica, in `WORK_WINDOW_S`.
    pub ended: u32,
    /// Their time at the replica in milliseconds.
    pub work_ms: u32,
}

impl KindDemand {
    fn add(&mut self, other: &Self) {
        self.arrivals = self.arrivals.saturating_add(other.arrivals);
        self.repeats = self.repeats.saturating_add(other.repeats);
        self.refused = self.refused.saturating_add(other.refused);
        self.ended = self.ended.saturating_add(other.ended);
        self.work_ms = self.work_ms.saturating_add(other.work_ms);
    }
}

/// Demand that a node has counted.
#[common_derives(Eq)]
pub struct DemandNews {
    /// Id of the sending node.
    pub node: String,
    /// Its run.
    pub incarnation: u64,
    /// Number of the message in this run.
    pub sequence: u64,
    /// Time since the end of the sums' windows in milliseconds.
    pub age_ms: u32,
    /// Sums by model and kind.
    pub kinds: Vec<KindDemand>,
}

/// What is counted of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DemandEvent {
    /// A caller's request arrived.
    Arrived {
        /// Whether the caller has probably sent it before.
        is_repeat: bool,
    },
    /// It was refused.
    Refused,
    /// An attempt that was answered ended.
    Ended {
        /// Time from sending the request to the end of the response.
        took: Duration,
    },
}

/// Counters of one node by model, kind and second.
#[derive(Debug)]
pub struct DemandCounter {
    started: Instant,
    sequence: u64,
    kinds: BTreeMap<(ModelHash, u64), VecDeque<(u64, KindDemand)>>,
}

impl DemandCounter {
    /// Creates empty counters.
    pub fn new(now: Instant) -> Self {
        Self { started: now, sequence: 0, kinds: BTreeMap::new() }
    }

    /// Counts an event of a request.
    pub fn count(&mut self, model: ModelHash, kind: u64, event: DemandEvent, now: Instant) {
        let second = (now - self.started).as_secs();
        if self.kinds.len() >= MAX_COUNTED && !self.kinds.contains_key(&(model, kind)) {
            return;
        }
        let seconds = self.kinds.entry((model, kind)).or_default();
        if seconds.back().is_none_or(|(last, _)| *last < second) {
            seconds.push_back((second, KindDemand { model, kind, ..KindDemand::default() }));
        }
        while seconds.front().is_some_and(|(first, _)| first + WORK_WINDOW_S < second) {
            seconds.pop_front();
        }
        let Some((_, sums)) = seconds.back_mut() else { return };
        match event {
            DemandEvent::Arrived { is_repeat: false } => sums.arrivals += 1,
            DemandEvent::Arrived { is_repeat: true } => sums.repeats += 1,
            DemandEvent::Refused => sums.refused += 1,
            DemandEvent::Ended { took } => {
                sums.ended += 1;
                sums.work_ms = sums.work_ms.saturating_add(took.as_millis() as u32);
            }
        }
    }

    /// Returns the sums over the last complete seconds as the next message of `node`.
    pub fn next_news(&mut self, node: &str, incarnation: u64, now: Instant) -> DemandNews {
        let elapsed = now - self.started;
        let second = elapsed.as_secs();
        self.kinds.retain(|_, seconds| {
            seconds.back().is_some_and(|(last, _)| last + WORK_WINDOW_S >= second)
        });
        let mut kinds: Vec<KindDemand> =
            self.kinds.values().filter_map(|seconds| sum_at(seconds, second)).collect();
        if kinds.len() > MAX_ENTRIES {
            // The kinds with the least work share one entry for each model.
            kinds.sort_by_key(|k| std::cmp::Reverse((k.work_ms, k.arrivals)));
            let mut others: BTreeMap<ModelHash, KindDemand> = BTreeMap::new();
            for kind in kinds.split_off(MAX_ENTRIES / 2) {
                let (model, kind_of_others) = (kind.model, 0);
                let entry = others.entry(model).or_insert(KindDemand {
                    model,
                    kind: kind_of_others,
                    ..KindDemand::default()
                });
                entry.add(&kind);
            }
            kinds.extend(others.into_values());
            kinds.truncate(MAX_ENTRIES);
        }
        self.sequence += 1;
        DemandNews {
            node: node.to_string(),
            incarnation,
            sequence: self.sequence,
            age_ms: elapsed.subsec_millis(),
            kinds,
        }
    }
}

/// Returns the sums over the windows that end at the begin of `second`; `None` if all are 0.
fn sum_at(seconds: &VecDeque<(u64, KindDemand)>, second: u64) -> Option<KindDemand> {
    let (_, first) = seconds.front()?;
    let mut sum = KindDemand { model: first.model, kind: first.kind, ..KindDemand::default() };
    for (at, counts) in seconds.iter().filter(|(at, _)| *at < second) {
        let age = second - at;
        let arrivals = if age <= ARRIVAL_WINDOW_S { counts.arrivals } else { 0 };
        if age <= WORK_WINDOW_S {
            sum.add(&KindDemand { arrivals, ..*counts });
        }
    }
    let KindDemand { arrivals, repeats, refused, ended, .. } = sum;
    (arrivals + repeats + refused + ended > 0).then_some(sum)
}

/// Demand of the fleet, computed from the last sums of each node.
#[derive(Debug, Default)]
pub struct FleetDemand {
    /// Last sums of each node, with the time at which their windows ended.
    reports: HashMap<String, (Instant, DemandNews)>,
    /// Mean work of a request in seconds, by model and kind.
    means: BTreeMap<(ModelHash, u64), f64>,
    /// Needed slots of each model in the last seconds.
    totals: BTreeMap<ModelHash, VecDeque<(Instant, f64)>>,
    /// Since when most nodes are heard.
    most_heard_since: Option<Instant>,
    /// Since when half of the nodes or fewer are heard.
    few_heard_since: Option<Instant>,
    /// Whether most nodes were heard for long enough once.
    is_settled: bool,
}

impl FleetDemand {
    /// Creates the state of a node that has heard no other.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the sums of a node, unless they are no newer than its last ones or too old.
    pub fn record(&mut self, news: DemandNews, now: Instant) {
        let age = Duration::from_millis(u64::from(news.age_ms));
        if age >= REPORT_TTL || news.kinds.len() > MAX_ENTRIES {
            return;
        }
        let order = |news: &DemandNews| (news.incarnation, news.sequence);
        let last = self.reports.get(&news.node);
        if last.is_some_and(|(_, last)| order(last) >= order(&news)) {
            return;
        }
        let at = now.checked_sub(age).unwrap_or(now);
        self.reports.insert(news.node.clone(), (at, news));
    }

    /// Updates the needed slots from the last sums. `nodes` is the number of nodes that send some. Nothing
    /// changes while half of them or fewer are heard, for `FEW_HEARD_TIMEOUT`: the missing sums would look like a
    /// fall of demand.
    pub fn update(&mut self, nodes: usize, now: Instant) {
        self.reports.retain(|_, (at, _)| now - *at < REPORT_TTL);
        if 2 * self.reports.len() > nodes {
            self.few_heard_since = None;
        } else if now - *self.few_heard_since.get_or_insert(now) < FEW_HEARD_TIMEOUT {
            self.most_heard_since = None;
            return;
        }
        let since = *self.most_heard_since.get_or_insert(now);
        self.is_settled |= now - since >= SETTLE_TIME;
        let mut sums: BTreeMap<(ModelHash, u64), KindDemand> = BTreeMap::new();
        for kind in self.reports.values().flat_map(|(_, news)| &news.kinds) {
            sums.entry((kind.model, kind.kind)).or_default().add(kind);
        }
        self.update_means(&sums);
        let mut needed: BTreeMap<ModelHash, f64> =
            self.totals.keys().map(|model| (*model, 0.0)).collect();
        for ((model, kind), sum) in &sums {
            // Nothing has been measured for any kind yet.
            let Some(mean) = self.mean(*model, *kind) else { continue };
            let excess = sum.repeats.saturating_sub(sum.refused);
            let rate = f64::from(sum.arrivals) / ARRIVAL_WINDOW_S as f64
                + f64::from(excess) / WORK_WINDOW_S as f64;
            *needed.entry(*model).or_default() += rate * mean;
        }
        for (model, slots) in needed {
            let totals = self.totals.entry(model).or_default();
            totals.push_back((now, slots));
            while totals.front().is_some_and(|(at, _)| now - *at > PEAK_WINDOW) {
                totals.pop_front();
            }
        }
        self.totals.retain(|_, totals| totals.iter().any(|(_, slots)| *slots > 0.0));
    }

    fn update_means(&mut self, sums: &BTreeMap<(ModelHash, u64), KindDemand>) {
        for (key, sum) in sums.iter().filter(|(_, sum)| sum.ended > 0) {
            let newest = f64::from(sum.work_ms) / 1000.0 / f64::from(sum.ended);
            let mean = self.means.entry(*key).or_insert(newest);
            *mean += NEWEST_WEIGHT * (newest - *mean);
        }
        if self.means.len() > MAX_COUNTED {
            self.means.retain(|key, _| sums.contains_key(key));
        }
    }

    /// Returns the mean work of a kind, or that of the model or of all models if none has ended.
    fn mean(&self, model: ModelHash, kind: u64) -> Option<f64> {
        let average = |means: Vec<f64>| {
            (!means.is_empty()).then(|| means.iter().sum::<f64>() / means.len() as f64)
        };
        let of_model = self.means.iter().filter(|((of, _), _)| *of == model);
        self.means
            .get(&(model, kind))
            .copied()
            .or_else(|| average(of_model.map(|(_, mean)| *mean).collect()))
            .or_else(|| average(self.means.values().copied().collect()))
    }

    /// Returns the slots that each of the models needs at the peak; `None` until demand is known.
    pub fn needed_slots(
        &self,
        service: &str,
        models: impl Iterator<Item = String>,
    ) -> Option<BTreeMap<String, f64>> {
        if !self.is_settled {
            return None;
        }
        let needed: BTreeMap<String, f64> =
            models.map(|model| (model.clone(), self.peak(model_hash(service, &model)))).collect();
        needed.values().any(|slots| *slots > 0.0).then_some(needed)
    }

    /// Returns the highest mean of two successive values: single ones vary by chance.
    fn peak(&self, model: ModelHash) -> f64 {
        let Some(totals) = self.totals.get(&model) else { return 0.0 };
        let slots: Vec<f64> = totals.iter().map(|(_, slots)| *slots).collect();
        let means = slots.windows(2).map(|pair| (pair[0] + pair[1]) / 2.0);
        means.fold(if slots.len() == 1 { slots[0] } else { 0.0 }, f64::max)
    }
}

/// Handle to the demand that a node has counted and heard.
#[derive(Debug, Clone)]
pub struct ModelDemand {
    counter: Arc<Mutex<DemandCounter>>,
    fleet: Arc<Mutex<FleetDemand>>,
}

impl Default for ModelDemand {
    fn default() -> Self {
        Self::new()
    }
}

impl ModelDemand {
    /// Creates the state of a node that starts.
    pub fn new() -> Self {
        let counter = DemandCounter::new(Instant::now());
        Self { counter: Arc::new(Mutex::new(counter)), fleet: Arc::default() }
    }

    /// Returns the counters of this node.
    pub fn counter(&self) -> MutexGuard<'_, DemandCounter> {
        self.counter.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the demand of the fleet.
    pub fn fleet(&self) -> MutexGuard<'_, FleetDemand> {
        self.fleet.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Measures the time of an attempt at a replica until it is dropped. Counts only if it was answered.
#[derive(Debug)]
pub struct WorkGuard {
    demand: ModelDemand,
    model: ModelHash,
    kind: u64,
    sent_at: Instant,
    is_answered: bool,
}

impl WorkGuard {
    /// Starts to measure an attempt that is being sent.
    pub fn new(demand: ModelDemand, model: ModelHash, kind: u64) -> Self {
        Self { demand, model, kind, sent_at: Instant::now(), is_answered: false }
    }

    /// Records that the response has started.
    pub fn mark_answered(&mut self) {
        self.is_answered = true;
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        if self.is_answered {
            let now = Instant::now();
            let event = DemandEvent::Ended { took: now - self.sent_at };
            self.demand.counter().count(self.model, self.kind, event, now);
        }
    }
}
