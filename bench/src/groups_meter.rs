//! Downtime, stranded instances and repair times of the simulated groups.

use serde::Serialize;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

/// Counts of one domain, or of the whole fleet, at one time.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct DomainCounts {
    /// Number of complete groups in the state serving, by service.
    pub serving: BTreeMap<String, usize>,
    /// Running instances that belong to no such group.
    pub stranded: usize,
    /// Largest number of running instances that complete groups of the smallest size can use.
    pub usable: usize,
    /// Running instances.
    pub alive: usize,
}

/// Integrates the counts over simulated time and collects the figures of a run.
#[derive(Debug, Clone, Default)]
pub struct Meter {
    updated_at: Duration,
    wanted: BTreeMap<String, usize>,
    wanted_instances: usize,
    down_group_seconds: f64,
    stranded_seconds: f64,
    min_stranded_seconds: f64,
    open_losses: BTreeMap<String, VecDeque<Duration>>,
    repairs: Vec<Duration>,
    serving: BTreeMap<String, usize>,
    stranded: usize,
    usable: usize,
    alive: usize,
    /// Number of shard loads from the weight store.
    pub loads: u64,
    /// Writes of domain records, without lease renewals.
    pub writes: u64,
    /// Wall-clock time of each planning step.
    pub planning: Vec<Duration>,
}

/// Figures of one simulated run.
#[derive(Debug, Clone, Serialize)]
pub struct RunReport {
    /// Name of the policy.
    pub policy: String,
    /// Mean downtime of a wanted group over the simulated time, in minutes.
    pub downtime_minutes_per_group: f64,
    /// Hours of running instances outside serving groups, summed over the instances.
    pub stranded_hours: f64,
    /// Lower bound of `stranded_hours` that follows from fragmentation and the number of wanted
    /// groups.
    pub stranded_bound_hours: f64,
    /// Number of completed repairs.
    pub repairs: usize,
    /// Median time from the loss of a group until its replacement serves, in seconds.
    pub repair_p50_seconds: f64,
    /// 95th percentile of the repair time, in seconds.
    pub repair_p95_seconds: f64,
    /// Store writes per second, including lease renewals.
    pub store_writes_per_second: f64,
    /// Number of shard loads from the weight store.
    pub shard_loads: u64,
    /// Loaded data in terabytes, at 20 GB per shard.
    pub loaded_terabytes: f64,
    /// Median wall-clock time of allocation, planning and load ranking, in milliseconds.
    pub planning_p50_ms: f64,
    /// Maximum wall-clock time of allocation, planning and load ranking, in milliseconds.
    pub planning_max_ms: f64,
}

/// Size of one shard's weights in terabytes.
const SHARD_TERABYTES: f64 = 0.02;

impl Meter {
    /// Starts measuring at `updated_at`, with these wanted groups by service and wanted instances
    /// in total.
    pub fn new(
        updated_at: Duration,
        wanted: BTreeMap<String, usize>,
        wanted_instances: usize,
    ) -> Self {
        Self { updated_at, wanted, wanted_instances, ..Self::default() }
    }

    /// Records the fleet's counts, which apply from `now` until the next call.
    pub fn record(&mut self, now: Duration, counts: &DomainCounts) {
        self.advance(now);
        for (service, wanted) in &self.wanted {
            let before = self.serving.get(service).copied().unwrap_or(*wanted);
            let after = counts.serving.get(service).copied().unwrap_or(0);
            let open_losses = self.open_losses.entry(service.clone()).or_default();
            for _ in after..before {
                open_losses.push_back(now);
            }
            for _ in before..after {
                if let Some(lost_at) = open_losses.pop_front() {
                    self.repairs.push(now - lost_at);
                }
            }
        }
        self.serving = counts.serving.clone();
        self.stranded = counts.stranded;
        self.usable = counts.usable;
        self.alive = counts.alive;
    }

    fn advance(&mut self, now: Duration) {
        let seconds = now.saturating_sub(self.updated_at).as_secs_f64();
        self.updated_at = now;
        let serving = |service: &String| self.serving.get(service).copied().unwrap_or(0);
        let down: usize = self.wanted.iter().map(|(s, n)| n.saturating_sub(serving(s))).sum();
        self.down_group_seconds += down as f64 * seconds;
        self.stranded_seconds += self.stranded as f64 * seconds;
        let needed = self.usable.min(self.wanted_instances);
        self.min_stranded_seconds += self.alive.saturating_sub(needed) as f64 * seconds;
    }

    /// Returns the figures of the run; `renewals` is the rate of lease renewals per second.
    pub fn report(
        mut self,
        policy: &str,
        start: Duration,
        end: Duration,
        renewals: f64,
    ) -> RunReport {
        self.advance(end);
        self.repairs.sort();
        self.planning.sort();
        let groups: usize = self.wanted.values().sum();
        let percentile = |times: &[Duration], fraction: f64| {
            let index =
                ((times.len() as f64 * fraction) as usize).min(times.len().saturating_sub(1));
            times.get(index).copied().unwrap_or_default().as_secs_f64()
        };
        let writes = self.writes as f64 / (end - start).as_secs_f64() + renewals;
        RunReport {
            policy: policy.to_string(),
            downtime_minutes_per_group: self.down_group_seconds / 60.0 / groups as f64,
            stranded_hours: self.stranded_seconds / 3600.0,
            stranded_bound_hours: self.min_stranded_seconds / 3600.0,
            repairs: self.repairs.len(),
            repair_p50_seconds: percentile(&self.repairs, 0.5),
            repair_p95_seconds: percentile(&self.repairs, 0.95),
            store_writes_per_second: writes,
            shard_loads: self.loads,
            loaded_terabytes: self.loads as f64 * SHARD_TERABYTES,
            planning_p50_ms: percentile(&self.planning, 0.5) * 1000.0,
            planning_max_ms: percentile(&self.planning, 1.0) * 1000.0,
        }
    }
}
