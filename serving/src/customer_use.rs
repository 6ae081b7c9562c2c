//! Running requests of each customer over all nodes, and the share of the slots that each may use.
//!
//! Load pattern: one customer sends most of the requests of a model, or repeats refused ones at once. Its
//! requests reach all nodes, so that no node alone sees how many slots it uses. Each node tells the others once a
//! second what its customers with the most requests use. The slots are divided so that no customer gets more than
//! it asks for, and those that ask for more than their share get the same number.
//!
//! A customer's count is off by at most what it started and ended at the other nodes since their last reports.

use crate::key_hash::key_hash;
use guavaladder_proc_macros::common_derives;
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;

/// Age from which a report of another node is void.
pub const MAX_REPORT_AGE: Duration = Duration::from_secs(4);
/// Time over which requests are counted: older ones count `1/e` of newer ones.
pub const COUNT_PERIOD: Duration = Duration::from_secs(4);
/// Maximum number of customers of one model in a report.
pub const MAX_CUSTOMERS: usize = 32;
/// Maximum number of models in a report.
pub const MAX_MODELS: usize = 8;
/// Maximum number of customers of one model that a node keeps.
const MAX_KEPT_CUSTOMERS: usize = 4096;
/// Maximum number of nodes whose reports are kept.
const MAX_NODES: usize = 1024;
/// Units in which counts are sent, per request.
const UNITS: f64 = 16.0;
/// Largest count that is believed of one node. A greater one comes from a faulty sender.
const MAX_COUNT: u32 = 1 << 20;
/// Requests asked for below which it is not known how often a customer is served.
const MIN_ASKED: f64 = 4.0;

/// Short hash of a customer or model.
pub type UseKey = u32;

/// Returns the key of a name.
pub fn use_key(parts: &[&str]) -> UseKey {
    key_hash(parts.join("\0").as_bytes()) as UseKey
}

/// What a node tells of its recent requests.
#[common_derives(Eq)]
pub struct UseReport {
    /// Id of the sending node.
    pub node: String,
    /// Models with requests.
    pub models: Vec<ModelReport>,
}

/// Recent requests of one model at one node, in sixteenths where they are weighted by age.
#[common_derives(Eq)]
pub struct ModelReport {
    /// Key of the service and the model.
    pub model: UseKey,
    /// Requests to which no reserve applied.
    pub asked: u32,
    /// Those of them that were refused.
    pub refused: u32,
    /// First events on time, of requests sent to replicas that were nearly full.
    pub on_time: u32,
    /// Late ones.
    pub late: u32,
    /// Customers with the most requests.
    pub customers: Vec<CustomerReport>,
}

/// Recent requests of a customer for one model at one node.
#[common_derives(Eq)]
pub struct CustomerReport {
    /// Key of the customer.
    pub customer: UseKey,
    /// Running requests.
    pub running: u32,
    /// Requests asked for.
    pub asked: u32,
    /// Those of them that were served.
    pub served: u32,
}

/// Returns a weighted count in the units of the reports.
pub fn to_units(count: f64) -> u32 {
    (count * UNITS).round().clamp(0.0, f64::from(MAX_COUNT)) as u32
}

/// Returns a reported count as a number of requests. One beyond any plausible number counts as the largest.
pub fn from_units(units: u32) -> f64 {
    f64::from(units.min(MAX_COUNT)) / UNITS
}

/// Count of requests in which older ones weigh less.
#[derive(Debug, Clone, Copy)]
pub struct DecayingCount {
    count: f64,
    at: Instant,
    period: Duration,
}

impl DecayingCount {
    /// Returns an empty count. Requests of `period` ago weigh `1/e`.
    pub fn new(period: Duration, now: Instant) -> Self {
        Self { count: 0.0, at: now, period }
    }

    /// Returns the count.
    pub fn get(&self, now: Instant) -> f64 {
        self.count * decay(now.saturating_duration_since(self.at), self.period)
    }

    /// Adds to the count.
    pub fn add(&mut self, n: f64, now: Instant) {
        self.count = self.get(now) + n;
        self.at = self.at.max(now);
    }
}

/// Returns the weight of requests of this age.
pub fn decay(age: Duration, period: Duration) -> f64 {
    (-age.as_secs_f64() / period.as_secs_f64()).exp()
}

/// Requests of one customer.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct CustomerCounts {
    /// Running requests.
    pub running: f64,
    /// Recent requests.
    pub asked: f64,
    /// Those of them that were served.
    pub served: f64,
}

impl CustomerCounts {
    fn add(&mut self, other: Self) {
        self.running += other.running;
        self.asked += other.asked;
        self.served += other.served;
    }

    /// Returns how often the customer is served; `None` if it asks for too little to tell.
    pub fn served_fraction(&self) -> Option<f64> {
        (self.asked >= MIN_ASKED).then(|| (self.served / self.asked).min(1.0))
    }

    /// Returns the number of slots that the customer would use if all of its requests were served.
    fn demand(&self) -> f64 {
        self.running / self.served_fraction().unwrap_or(1.0).max(0.05)
    }
}

#[derive(Debug)]
struct OwnCustomer {
    running: u32,
    asked: DecayingCount,
    served: DecayingCount,
}

/// Customers of one model at this node.
#[derive(Debug, Default)]
pub struct OwnCustomers {
    customers: HashMap<UseKey, OwnCustomer>,
}

impl OwnCustomers {
    /// Records whether a request was served.
    pub fn record(&mut self, customer: UseKey, is_served: bool, now: Instant) {
        let Some(own) = self.entry(customer, now) else { return };
        own.asked.add(1.0, now);
        if is_served {
            own.served.add(1.0, now);
        }
    }

    /// Records that a request was sent to a replica.
    pub fn begin(&mut self, customer: UseKey, now: Instant) {
        if let Some(own) = self.entry(customer, now) {
            own.running += 1;
        }
    }

    /// Records the end of a request that was sent to a replica.
    pub fn end(&mut self, customer: UseKey) {
        if let Some(own) = self.customers.get_mut(&customer) {
            own.running = own.running.saturating_sub(1);
        }
    }

    /// Returns the counts of each customer.
    pub fn counts(&self, now: Instant) -> impl Iterator<Item = (UseKey, CustomerCounts)> {
        self.customers.iter().map(move |(customer, own)| {
            let (asked, served) = (own.asked.get(now), own.served.get(now));
            (*customer, CustomerCounts { running: f64::from(own.running), asked, served })
        })
    }

    /// Returns what to tell other nodes: the customers with the most requests.
    pub fn report(&self, now: Instant) -> Vec<CustomerReport> {
        let mut counts: Vec<(UseKey, CustomerCounts)> = self.counts(now).collect();
        let weight = |(_, counts): &(UseKey, CustomerCounts)| counts.running + counts.asked;
        counts.sort_unstable_by(|a, b| weight(b).total_cmp(&weight(a)));
        counts.truncate(MAX_CUSTOMERS);
        let reports = counts.into_iter().map(|(customer, counts)| CustomerReport {
            customer,
            running: counts.running as u32,
            asked: to_units(counts.asked),
            served: to_units(counts.served),
        });
        reports.filter(|report| report.running + report.asked > 0).collect()
    }

    fn entry(&mut self, customer: UseKey, now: Instant) -> Option<&mut OwnCustomer> {
        if self.customers.len() >= MAX_KEPT_CUSTOMERS && !self.customers.contains_key(&customer) {
            self.customers.retain(|_, own| own.running > 0 || own.asked.get(now) > 0.1);
        }
        if self.customers.len() >= MAX_KEPT_CUSTOMERS && !self.customers.contains_key(&customer) {
            return None;
        }
        Some(self.customers.entry(customer).or_insert_with(|| OwnCustomer {
            running: 0,
            asked: DecayingCount::new(COUNT_PERIOD, now),
            served: DecayingCount::new(COUNT_PERIOD, now),
        }))
    }
}

/// Last reports of the other nodes.
#[derive(Debug, Default)]
pub struct RemoteUse {
    reports: HashMap<String, (Instant, UseReport)>,
}

impl RemoteUse {
    /// Records a report, which replaces the last one of the same node.
    pub fn record(&mut self, mut report: UseReport, now: Instant) {
        self.reports.retain(|_, (at, _)| now.saturating_duration_since(*at) < MAX_REPORT_AGE);
        if self.reports.len() >= MAX_NODES && !self.reports.contains_key(&report.node) {
            return;
        }
        report.models.truncate(MAX_MODELS);
        for model in &mut report.models {
            model.customers.truncate(MAX_CUSTOMERS);
        }
        self.reports.insert(report.node.clone(), (now, report));
    }

    /// Returns the reports on a model with their ages.
    pub fn of_model(
        &self,
        model: UseKey,
        now: Instant,
    ) -> impl Iterator<Item = (Duration, &ModelReport)> {
        self.reports.values().flat_map(move |(at, report)| {
            let age = now.saturating_duration_since(*at);
            let of_model = report.models.iter().filter(move |report| report.model == model);
            of_model.filter(move |_| age < MAX_REPORT_AGE).map(move |report| (age, report))
        })
    }
}

/// Counts of the customers of a model over all nodes.
#[derive(Debug, Default)]
pub struct CustomerShares {
    counts: HashMap<UseKey, CustomerCounts>,
    /// Slots of a customer that asks for more than its share.
    share: f64,
}

impl CustomerShares {
    /// Sums the counts of all nodes and divides the slots.
    pub fn new(
        own: &OwnCustomers,
        remote: &RemoteUse,
        model: UseKey,
        slots: f64,
        now: Instant,
    ) -> Self {
        let mut counts: HashMap<UseKey, CustomerCounts> = own.counts(now).collect();
        for (age, report) in remote.of_model(model, now) {
            let weight = decay(age, COUNT_PERIOD);
            for customer in &report.customers {
                counts.entry(customer.customer).or_default().add(CustomerCounts {
                    running: f64::from(customer.running.min(MAX_COUNT)),
                    asked: from_units(customer.asked) * weight,
                    served: from_units(customer.served) * weight,
                });
            }
        }
        let share = max_min_share(counts.values().map(CustomerCounts::demand).collect(), slots);
        Self { counts, share }
    }

    /// Returns the slots of a customer that asks for more than its share.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Returns the counts of a customer.
    pub fn counts(&self, customer: UseKey) -> CustomerCounts {
        self.counts.get(&customer).copied().unwrap_or_default()
    }

    /// Returns the running requests of a customer, relative to its share.
    pub fn relative_use(&self, customer: UseKey) -> f64 {
        self.counts(customer).running / self.share.max(1.0)
    }

    /// Returns how often requests of all customers are served.
    pub fn served_fraction(&self) -> Option<f64> {
        let mut sum = CustomerCounts::default();
        self.counts.values().for_each(|counts| sum.add(*counts));
        sum.served_fraction()
    }
}

/// Returns the most that anyone gets if `slots` are divided so that no one gets more than it asks for, and what it
/// leaves is divided among the others; infinite if there is enough for all.
pub fn max_min_share(mut demands: Vec<f64>, slots: f64) -> f64 {
    demands.sort_unstable_by(f64::total_cmp);
    let mut left = slots;
    for (i, demand) in demands.iter().enumerate() {
        let share = left / (demands.len() - i) as f64;
        if *demand > share {
            return share;
        }
        left -= demand;
    }
    f64::INFINITY
}
