//! Measurements of the service levels of each service, kept by a node in bounded memory.
//!
//! Counters are kept in one slot per minute for six hours, the longest window of the burn rates.
//! Latencies are kept in histograms that cover the current and the previous period of three hours.

use crate::clock::Clock;
use crate::ids::CustomerId;
use crate::ids::ServiceId;
use guavaladder_proc_macros::common_derives;
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

/// Time that one counter slot covers.
pub const SLOT_DURATION: Duration = Duration::from_secs(60);
/// Number of counter slots kept for each service.
pub const SLOT_COUNT: usize = 360;
/// Largest number of services with measurements; samples of further services are dropped.
const MAX_SERVICES: usize = 64;
/// Largest number of customers counted separately in a service; the others are counted together.
const MAX_CUSTOMERS: usize = 64;
/// Name under which all customers beyond `MAX_CUSTOMERS` are counted.
const OTHER_CUSTOMERS: &str = "(other)";
/// Largest latency in the histograms, in milliseconds; longer ones are recorded as this value.
const MAX_LATENCY_MS: u64 = 120_000;
/// Precision of the histograms in significant decimal digits.
const LATENCY_DIGITS: u8 = 2;
/// Time that one histogram covers.
const HISTOGRAM_PERIOD: Duration = Duration::from_secs(3 * 3600);

/// Outcome of a request as its caller saw it.
#[common_derives(Copy, Eq)]
pub enum RequestOutcome {
    /// The caller received the complete response.
    Whole,
    /// The caller was told that the request was not run.
    NotRun,
    /// The caller was told that the request may have run.
    Unknown,
    /// The caller closed the connection first.
    CallerLeft,
}

/// Measurements of one finished request.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestSample {
    /// Time from the request to the first token, if there was one.
    pub first_token: Option<Duration>,
    /// Mean time between tokens, if there were at least two.
    pub between_tokens: Option<Duration>,
    /// Whether the first token met its objective.
    pub first_token_met: bool,
    /// Whether the time between tokens met its objective.
    pub between_tokens_met: bool,
    /// Outcome of the request.
    pub outcome: RequestOutcome,
}

/// Counters of a service for one minute.
#[common_derives(Copy, Default, Eq)]
pub struct CounterSlot {
    /// Minutes from the Unix epoch to the start of the slot.
    pub minute: u64,
    /// Requests that produced a first token.
    pub first_tokens: u32,
    /// Those of them that met the objective.
    pub first_tokens_met: u32,
    /// Requests that produced at least two tokens.
    pub token_intervals: u32,
    /// Those of them that met the objective.
    pub token_intervals_met: u32,
    /// Requests that ended, except those whose callers disconnected first.
    pub answers: u32,
    /// Those of them that ended with the complete response.
    pub whole_answers: u32,
    /// Sum of the numbers of wanted groups over the samples of the minute.
    pub groups_wanted: u32,
    /// Sum of the numbers of wanted groups that were serving, over the same samples.
    pub groups_serving: u32,
    /// Sum of the numbers of accelerators over the samples of the minute.
    pub accelerators: u32,
    /// Sum of the numbers of accelerators outside any serving group, over the same samples.
    pub accelerators_stranded: u32,
}

/// Histogram of a latency of one service.
#[common_derives(Default, Eq)]
pub struct LatencyHistogram {
    /// Upper bound in milliseconds and count of each bucket, in ascending order.
    pub buckets: Vec<(u32, u32)>,
}

/// Measurements of one service on one node.
#[common_derives(Default)]
pub struct ServiceWindow {
    /// Slots in time order; minutes without samples are absent.
    pub slots: Vec<CounterSlot>,
    /// Time to the first token.
    pub first_token: LatencyHistogram,
    /// Mean time between tokens.
    pub between_tokens: LatencyHistogram,
    /// Number of complete responses and of all responses by customer.
    pub customers: BTreeMap<CustomerId, (u32, u32)>,
}

/// Measurements of all services of one node, as sent to its peers.
#[common_derives(Default)]
pub struct ServiceLevelSnapshot {
    /// Name of the node.
    pub node: String,
    /// Minutes from the Unix epoch to when the node started to record.
    pub since_minute: u64,
    /// Measurements by service.
    pub services: BTreeMap<ServiceId, ServiceWindow>,
}

#[derive(Debug)]
struct ServiceState {
    slots: std::collections::VecDeque<CounterSlot>,
    period: u64,
    first_token: [Histogram<u32>; 2],
    between_tokens: [Histogram<u32>; 2],
    customers: BTreeMap<CustomerId, (u32, u32)>,
}

/// Handle to the measurements of a node; clones share them.
#[derive(Debug, Clone)]
pub struct ServiceLevels {
    clock: Clock,
    since_minute: u64,
    services: Arc<Mutex<BTreeMap<ServiceId, ServiceState>>>,
}

impl ServiceLevels {
    /// Creates a handle without measurements.
    pub fn new(clock: Clock) -> Self {
        let since_minute = clock.unix().as_secs() / SLOT_DURATION.as_secs();
        Self { clock, since_minute, services: Arc::default() }
    }

    /// Records the measurements of a finished request.
    pub fn record(&self, service: &str, customer: &str, sample: &RequestSample) {
        self.update(service, |state, slot| {
            if let Some(first_token) = sample.first_token {
                slot.first_tokens += 1;
                slot.first_tokens_met += u32::from(sample.first_token_met);
                state.first_token[0].saturating_record(first_token.as_millis() as u64);
            }
            if let Some(interval) = sample.between_tokens {
                slot.token_intervals += 1;
                slot.token_intervals_met += u32::from(sample.between_tokens_met);
                state.between_tokens[0].saturating_record(interval.as_millis() as u64);
            }
            if sample.outcome != RequestOutcome::CallerLeft {
                let is_whole = u32::from(sample.outcome == RequestOutcome::Whole);
                slot.answers += 1;
                slot.whole_answers += is_whole;
                let (whole, all) = state.customer_counts(customer);
                *whole += is_whole;
                *all += 1;
            }
        });
    }

    /// Records how many of a service's wanted groups are serving.
    pub fn record_groups(&self, service: &str, wanted: u32, serving: u32) {
        self.update(service, |_, slot| {
            slot.groups_wanted += wanted;
            slot.groups_serving += serving.min(wanted);
        });
    }

    /// Records how many accelerators exist and how many are outside any serving group.
    pub fn record_accelerators(&self, service: &str, all: u32, stranded: u32) {
        self.update(service, |_, slot| {
            slot.accelerators += all;
            slot.accelerators_stranded += stranded;
        });
    }

    /// Returns the measurements that a burn report needs from this node.
    pub fn snapshot(&self, node: &str) -> ServiceLevelSnapshot {
        let services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        ServiceLevelSnapshot {
            node: node.to_string(),
            since_minute: self.since_minute,
            services: services.iter().map(|(id, state)| (id.clone(), state.window())).collect(),
        }
    }

    fn update(&self, service: &str, change: impl FnOnce(&mut ServiceState, &mut CounterSlot)) {
        let now = self.clock.unix();
        let mut services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        if !services.contains_key(service) {
            if services.len() == MAX_SERVICES {
                return;
            }
            let Some(state) = ServiceState::new() else { return };
            services.insert(service.to_string(), state);
        }
        let Some(state) = services.get_mut(service) else { return };
        state.rotate(now);
        let mut slot = state.slots.pop_back().unwrap_or_default();
        change(state, &mut slot);
        state.slots.push_back(slot);
    }
}

impl ServiceState {
    /// Returns an empty state; `None` only if the constants of the histograms are invalid.
    fn new() -> Option<Self> {
        let histogram = || Histogram::new_with_bounds(1, MAX_LATENCY_MS, LATENCY_DIGITS).ok();
        Some(Self {
            slots: std::collections::VecDeque::new(),
            period: 0,
            first_token: [histogram()?, histogram()?],
            between_tokens: [histogram()?, histogram()?],
            customers: BTreeMap::new(),
        })
    }

    /// Ensures that the last slot is that of the current minute, removes slots that are too old,
    /// and replaces the older histogram once a new period has begun.
    fn rotate(&mut self, now: Duration) {
        let minute = now.as_secs() / SLOT_DURATION.as_secs();
        if self.slots.back().is_none_or(|slot| slot.minute < minute) {
            self.slots.push_back(CounterSlot { minute, ..CounterSlot::default() });
        }
        while self.slots.front().is_some_and(|slot| slot.minute + SLOT_COUNT as u64 <= minute) {
            self.slots.pop_front();
        }
        let period = now.as_secs() / HISTOGRAM_PERIOD.as_secs();
        if period > self.period {
            for histograms in [&mut self.first_token, &mut self.between_tokens] {
                histograms.swap(0, 1);
                histograms[0].reset();
            }
            self.period = period;
        }
    }

    fn customer_counts(&mut self, customer: &str) -> &mut (u32, u32) {
        let is_known = self.customers.contains_key(customer);
        let has_capacity = self.customers.len() < MAX_CUSTOMERS;
        let name = if is_known || has_capacity { customer } else { OTHER_CUSTOMERS };
        self.customers.entry(name.to_string()).or_default()
    }

    fn window(&self) -> ServiceWindow {
        ServiceWindow {
            slots: self.slots.iter().copied().collect(),
            first_token: LatencyHistogram::from_histograms(&self.first_token),
            between_tokens: LatencyHistogram::from_histograms(&self.between_tokens),
            customers: self.customers.clone(),
        }
    }
}

impl LatencyHistogram {
    fn from_histograms(histograms: &[Histogram<u32>; 2]) -> Self {
        let mut buckets: BTreeMap<u32, u32> = BTreeMap::new();
        for histogram in histograms {
            for bucket in histogram.iter_recorded() {
                let value = bucket.value_iterated_to() as u32;
                *buckets.entry(value).or_default() += bucket.count_at_value();
            }
        }
        Self { buckets: buckets.into_iter().collect() }
    }

    /// Adds the counts of another histogram, as of another node.
    pub fn merge(&mut self, other: &Self) {
        let mut buckets: BTreeMap<u32, u32> = self.buckets.drain(..).collect();
        for (value, count) in &other.buckets {
            *buckets.entry(*value).or_default() += count;
        }
        self.buckets = buckets.into_iter().collect();
    }

    /// Returns the latency at a quantile between 0 and 1; `None` without samples.
    pub fn quantile(&self, quantile: f64) -> Option<Duration> {
        let all: u64 = self.buckets.iter().map(|(_, count)| u64::from(*count)).sum();
        let rank = (all as f64 * quantile).ceil() as u64;
        let mut seen = 0;
        for (value, count) in &self.buckets {
            seen += u64::from(*count);
            if seen >= rank.max(1) {
                return Some(Duration::from_millis(u64::from(*value)));
            }
        }
        None
    }
}
