//! Measurements for admission: per model, how many requests were refused lately, how many first events were late,
//! and how often each kind, size and customer was served.
//!
//! Load pattern: the rate of requests swings by half around its mean within seconds, and bursts come on top. What a
//! node measures must follow within a second or two, although it sees only few of the requests itself. So counts
//! weigh recent requests more, and those of all nodes are added where the other nodes tell them.

use crate::admission::ServedRatios;
use crate::customer_use::CustomerShares;
use crate::customer_use::DecayingCount;
use crate::customer_use::MAX_MODELS;
use crate::customer_use::ModelReport;
use crate::customer_use::OwnCustomers;
use crate::customer_use::RemoteUse;
use crate::customer_use::UseKey;
use crate::customer_use::UseReport;
use crate::customer_use::decay;
use crate::customer_use::from_units;
use crate::customer_use::to_units;
use crate::size_stats::SizeStats;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use tokio::time::Instant;

/// Time over which refusals and late first events are counted.
const SHORTAGE_PERIOD: Duration = Duration::from_secs(2);
/// Time over which it is counted how often kinds and sizes are served. A node sees about one request a second of
/// a large model.
const KIND_PERIOD: Duration = Duration::from_secs(10);
/// Age from which the sums over all nodes are computed anew.
const MAX_SUM_AGE: Duration = Duration::from_millis(100);
/// Requests that are added to those asked for, so that one refusal of few requests is no large shortage.
const SHORTAGE_PRIOR: f64 = 2.0;
/// Shortage below which it has ended, for the log.
const SHORTAGE_END: f64 = 0.002;
/// Time without a refusal after which other nodes are told nothing.
const REPORT_AFTER_REFUSAL: Duration = Duration::from_secs(5);
/// Interval at which the fill ratio is adjusted.
const FILL_PERIOD: Duration = Duration::from_millis(500);
/// Fraction of late first events from which replicas are filled less. A late response is worth 0.1 to 0.25 of one on
/// time, so that it costs more than what one request in ten adds.
const LATE_TO_LOWER: f64 = 0.1;
/// Fraction of late first events below which replicas are filled more.
const LATE_TO_RAISE: f64 = 0.05;
/// Change of the fill ratio in one period.
const FILL_STEP: f64 = 0.03;
/// Lowest fill ratio. Where first events are late for another reason than the load, filling the replicas less would
/// only cost slots.
const MIN_FILL_RATIO: f64 = 0.8;
/// First events below which the fill ratio is not lowered.
const MIN_FIRST_EVENTS: f64 = 8.0;
/// Recent requests from which a kind counts as asked for.
const MIN_KIND_ASKED: f64 = 0.5;
/// Maximum number of refused requests that are remembered, of models and of routes.
const MAX_REFUSED: usize = 4096;
const MAX_KEPT_MODELS: usize = 64;
const MAX_ROUTES: usize = 256;

/// What the measurements depend on for one request.
#[derive(Debug, Clone, Copy)]
pub struct RequestKeys<'a> {
    /// Key of the service and the model.
    pub model: UseKey,
    /// Key of the customer.
    pub customer: UseKey,
    /// Priority; 0 is the most urgent.
    pub urgency: u8,
    /// Name of the route, which is the kind of the request.
    pub route: &'a str,
    /// Tokens of the prompt, and ten times those of the response.
    pub size: f64,
    /// Fingerprint of the request.
    pub fingerprint: u64,
}

/// Measurements for one request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Measured {
    /// Fraction refused of the latest requests to which no reserve applied.
    pub shortage: f64,
    /// Fraction of the capacity up to which first events are on time.
    pub fill_ratio: f64,
    /// Whether the model is asked for by more urgent requests.
    pub has_more_urgent: bool,
    /// How urgent the request is among those of the model, from 0 for the most urgent to 1.
    pub urgency_rank: f64,
    /// Running requests of the customer over all nodes, relative to its share.
    pub customer_use: f64,
    /// Running requests of the customer over all nodes.
    pub customer_running: f64,
    /// Slots of a customer that asks for more than its share.
    pub customer_share: f64,
    /// How often requests like it are served.
    pub served: ServedRatios,
    /// Size relative to the mean of the kind.
    pub relative_size: f64,
    /// Whether this node refused the request, and the time that its caller was told is not over.
    pub is_early: bool,
}

/// Outcome of the admission of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Outcome {
    /// Whether it was sent to a replica.
    pub is_served: bool,
    /// Whether it might have used the whole capacity.
    pub is_unreserved: bool,
}

/// Start or end of a shortage of a model, for the log.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ShortageChange {
    /// A request was refused although no reserve applied to it.
    Began,
    /// No such request has been refused for a while.
    Ended {
        /// Time since the first refusal.
        lasted: Duration,
    },
}

/// Shared measurements of a node.
#[derive(Debug, Clone, Default)]
pub struct AdmissionStats {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug, Default)]
struct Inner {
    models: HashMap<UseKey, ModelStats>,
    remote: RemoteUse,
    /// Requests that were refused, with the end of the time that their callers were told.
    refused: HashMap<u64, Instant>,
    last_refusal: Option<Instant>,
}

/// Requests of one model at this node, and the last sums over all nodes.
#[derive(Debug)]
struct ModelStats {
    customers: OwnCustomers,
    asked: DecayingCount,
    refused: DecayingCount,
    on_time: DecayingCount,
    late: DecayingCount,
    kinds: BTreeMap<u8, ServedCount>,
    sizes: HashMap<String, SizeStats>,
    fill_ratio: f64,
    fill_adjusted_at: Instant,
    short_since: Option<Instant>,
    sums: Option<FleetSums>,
}

/// Requests asked for, and those of them that were served.
#[derive(Debug, Clone, Copy)]
pub struct ServedCount {
    asked: DecayingCount,
    served: DecayingCount,
}

/// Sums over all nodes.
#[derive(Debug)]
struct FleetSums {
    at: Instant,
    slots: u32,
    shortage: f64,
    first_events: f64,
    late: f64,
    shares: CustomerShares,
}

/// Counts a running request of a customer until it is dropped.
#[derive(Debug)]
pub struct UseGuard {
    stats: AdmissionStats,
    model: UseKey,
    customer: UseKey,
}

impl Drop for UseGuard {
    fn drop(&mut self) {
        if let Some(model) = self.stats.lock().models.get_mut(&self.model) {
            model.customers.end(self.customer);
        }
    }
}

impl AdmissionStats {
    /// Returns measurements without any requests.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the measurements for a request of a model whose replicas have this many slots.
    pub fn measure(&self, keys: &RequestKeys<'_>, slots: u32, now: Instant) -> Measured {
        let mut inner = self.lock();
        let is_early = inner.refused.get(&keys.fingerprint).is_some_and(|until| *until > now);
        let Inner { models, remote, .. } = &mut *inner;
        let measured = match models.get_mut(&keys.model) {
            Some(model) => model.measure(keys, remote, slots, now),
            None => ModelStats::new(now).measure(keys, remote, slots, now),
        };
        Measured { is_early, ..measured }
    }

    /// Records whether a request was admitted.
    pub fn record(
        &self,
        keys: &RequestKeys<'_>,
        outcome: Outcome,
        now: Instant,
    ) -> Option<ShortageChange> {
        let mut inner = self.lock();
        if outcome.is_served {
            inner.refused.remove(&keys.fingerprint);
        } else {
            inner.last_refusal = Some(now);
        }
        inner.model(keys.model, now)?.record(keys, outcome, now)
    }

    /// Remembers a refused request until its caller may come back.
    pub fn record_refused(&self, fingerprint: u64, retry_after: Duration, now: Instant) {
        let mut inner = self.lock();
        if inner.refused.len() >= MAX_REFUSED {
            inner.refused.retain(|_, until| *until > now);
        }
        if inner.refused.len() < MAX_REFUSED {
            inner.refused.insert(fingerprint, now + retry_after);
        }
    }

    /// Counts a running request of a customer until the returned value is dropped.
    pub fn begin(&self, model: UseKey, customer: UseKey, now: Instant) -> UseGuard {
        if let Some(model) = self.lock().model(model, now) {
            model.customers.begin(customer, now);
        }
        UseGuard { stats: self.clone(), model, customer }
    }

    /// Records whether the first event of a request was on time whose replica was nearly full.
    pub fn record_first_event(&self, model: UseKey, is_on_time: bool, now: Instant) {
        if let Some(model) = self.lock().model(model, now) {
            match is_on_time {
                true => model.on_time.add(1.0, now),
                false => model.late.add(1.0, now),
            }
        }
    }

    /// Returns what to tell the other nodes; `None` while there is capacity.
    pub fn report(&self, node: &str, now: Instant) -> Option<UseReport> {
        let inner = self.lock();
        let since = now.saturating_duration_since(inner.last_refusal?);
        if since >= REPORT_AFTER_REFUSAL {
            return None;
        }
        let mut models: Vec<(&UseKey, &ModelStats)> = inner.models.iter().collect();
        models.sort_unstable_by(|(_, a), (_, b)| b.asked.get(now).total_cmp(&a.asked.get(now)));
        let reports = models.into_iter().take(MAX_MODELS).map(|(key, model)| ModelReport {
            model: *key,
            asked: to_units(model.asked.get(now)),
            refused: to_units(model.refused.get(now)),
            on_time: to_units(model.on_time.get(now)),
            late: to_units(model.late.get(now)),
            customers: model.customers.report(now),
        });
        Some(UseReport { node: node.to_string(), models: reports.collect() })
    }

    /// Records what another node tells.
    pub fn apply(&self, report: UseReport, now: Instant) {
        self.lock().remote.record(report, now);
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn model(&mut self, key: UseKey, now: Instant) -> Option<&mut ModelStats> {
        if self.models.len() >= MAX_KEPT_MODELS && !self.models.contains_key(&key) {
            return None;
        }
        Some(self.models.entry(key).or_insert_with(|| ModelStats::new(now)))
    }
}

impl ModelStats {
    fn new(now: Instant) -> Self {
        let count = DecayingCount::new(SHORTAGE_PERIOD, now);
        Self {
            customers: OwnCustomers::default(),
            asked: count,
            refused: count,
            on_time: count,
            late: count,
            kinds: BTreeMap::new(),
            sizes: HashMap::new(),
            fill_ratio: 1.0,
            fill_adjusted_at: now,
            short_since: None,
            sums: None,
        }
    }

    fn measure(
        &mut self,
        keys: &RequestKeys<'_>,
        remote: &RemoteUse,
        slots: u32,
        now: Instant,
    ) -> Measured {
        self.update_sums(keys.model, remote, slots, now);
        let served = ServedRatios {
            kind: self.served_ratio_of_kind(keys.urgency, now),
            customer: self.served_ratio_of_customer(keys.customer),
            size: self.sizes.get(keys.route).map_or(1.0, |s| s.served_ratio(keys.size, now)),
        };
        let asked = self.kinds.iter().filter(|(_, kind)| kind.asked.get(now) >= MIN_KIND_ASKED);
        let others: Vec<u8> =
            asked.map(|(urgency, _)| *urgency).filter(|urgency| *urgency != keys.urgency).collect();
        let more_urgent = others.iter().filter(|urgency| **urgency < keys.urgency).count();
        let rank = match others.len() {
            0 => 0.0,
            others => more_urgent as f64 / others as f64,
        };
        let shares = self.sums.as_ref().map(|sums| &sums.shares);
        Measured {
            shortage: self.sums.as_ref().map_or(0.0, |sums| sums.shortage),
            fill_ratio: self.fill_ratio,
            has_more_urgent: more_urgent > 0,
            urgency_rank: rank,
            customer_use: shares.map_or(0.0, |shares| shares.relative_use(keys.customer)),
            customer_running: shares.map_or(0.0, |shares| shares.counts(keys.customer).running),
            customer_share: shares.map_or(f64::INFINITY, CustomerShares::share),
            served,
            relative_size: self.sizes.get(keys.route).map_or(1.0, |s| s.relative(keys.size)),
            is_early: false,
        }
    }

    fn served_ratio_of_kind(&self, urgency: u8, now: Instant) -> f64 {
        let fraction = self.kinds.get(&urgency).and_then(|kind| kind.fraction(now));
        let (asked, served) = self.kinds.values().fold((0.0, 0.0), |(asked, served), kind| {
            (asked + kind.asked.get(now), served + kind.served.get(now))
        });
        fraction.map_or(1.0, |fraction| fraction / (served / asked).max(0.01))
    }

    fn served_ratio_of_customer(&self, customer: UseKey) -> f64 {
        let Some(sums) = &self.sums else { return 1.0 };
        let fraction = sums.shares.counts(customer).served_fraction();
        let all = sums.shares.served_fraction();
        fraction.zip(all).map_or(1.0, |(fraction, all)| fraction / all.max(0.01))
    }

    fn record(
        &mut self,
        keys: &RequestKeys<'_>,
        outcome: Outcome,
        now: Instant,
    ) -> Option<ShortageChange> {
        let Outcome { is_served, is_unreserved } = outcome;
        self.customers.record(keys.customer, is_served, now);
        let new_kind = || ServedCount::new(KIND_PERIOD, now);
        self.kinds.entry(keys.urgency).or_insert_with(new_kind).record(is_served, now);
        if self.sizes.len() < MAX_ROUTES || self.sizes.contains_key(keys.route) {
            if !self.sizes.contains_key(keys.route) {
                self.sizes.insert(keys.route.to_string(), SizeStats::new(KIND_PERIOD, now));
            }
            if let Some(sizes) = self.sizes.get_mut(keys.route) {
                sizes.record(keys.size, is_served, now);
            }
        }
        if is_unreserved {
            self.asked.add(1.0, now);
            if !is_served {
                self.refused.add(1.0, now);
                self.sums = None;
                if self.short_since.is_none() {
                    self.short_since = Some(now);
                    return Some(ShortageChange::Began);
                }
            }
        }
        let is_short = self.sums.as_ref().is_none_or(|sums| sums.shortage > SHORTAGE_END);
        let since = self.short_since.filter(|_| !is_short)?;
        self.short_since = None;
        Some(ShortageChange::Ended { lasted: now.saturating_duration_since(since) })
    }

    /// Computes the sums over all nodes anew if they are too old.
    fn update_sums(&mut self, key: UseKey, remote: &RemoteUse, slots: u32, now: Instant) {
        let is_current = |sums: &FleetSums| {
            now.saturating_duration_since(sums.at) < MAX_SUM_AGE && sums.slots == slots
        };
        if self.sums.as_ref().is_some_and(is_current) {
            return;
        }
        let (mut asked, mut refused) = (self.asked.get(now), self.refused.get(now));
        let (mut on_time, mut late) = (self.on_time.get(now), self.late.get(now));
        for (age, report) in remote.of_model(key, now) {
            let weight = decay(age, SHORTAGE_PERIOD);
            asked += from_units(report.asked) * weight;
            refused += from_units(report.refused.min(report.asked)) * weight;
            on_time += from_units(report.on_time) * weight;
            late += from_units(report.late) * weight;
        }
        let shares = CustomerShares::new(&self.customers, remote, key, f64::from(slots), now);
        self.sums = Some(FleetSums {
            at: now,
            slots,
            shortage: refused / (asked + SHORTAGE_PRIOR),
            first_events: on_time + late,
            late,
            shares,
        });
        self.adjust_fill_ratio(now);
    }

    fn adjust_fill_ratio(&mut self, now: Instant) {
        let Some(sums) = &self.sums else { return };
        if now.saturating_duration_since(self.fill_adjusted_at) < FILL_PERIOD {
            return;
        }
        self.fill_adjusted_at = now;
        let late = sums.late / sums.first_events.max(1.0);
        if late > LATE_TO_LOWER && sums.first_events >= MIN_FIRST_EVENTS {
            self.fill_ratio = (self.fill_ratio - FILL_STEP).max(MIN_FILL_RATIO);
        } else if late < LATE_TO_RAISE {
            self.fill_ratio = (self.fill_ratio + FILL_STEP).min(1.0);
        }
    }
}

impl ServedCount {
    /// Returns empty counts.
    pub fn new(period: Duration, now: Instant) -> Self {
        Self { asked: DecayingCount::new(period, now), served: DecayingCount::new(period, now) }
    }

    /// Records whether a request was served.
    pub fn record(&mut self, is_served: bool, now: Instant) {
        self.asked.add(1.0, now);
        if is_served {
            self.served.add(1.0, now);
        }
    }

    /// Returns how often requests are served; `None` without enough of them.
    pub fn fraction(&self, now: Instant) -> Option<f64> {
        let asked = self.asked.get(now);
        (asked >= MIN_KIND_ASKED).then(|| self.served.get(now) / asked)
    }
}
