//! What the simulation of groups measures.

use serde::Serialize;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

/// Numbers of one domain at one time.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct DomainNumbers {
    /// Groups by service that are recorded as serving and whole.
    pub serving: BTreeMap<String, usize>,
    /// Running instances outside any such group.
    pub stranded: usize,
    /// Most running instances that whole groups of the smallest size can use.
    pub usable: usize,
    /// Running instances.
    pub alive: usize,
}

/// Sums over time.
#[derive(Debug, Clone, Default)]
pub struct Meter {
    at: Duration,
    wanted: BTreeMap<String, usize>,
    wanted_instances: usize,
    down_group_seconds: f64,
    stranded_seconds: f64,
    bound_seconds: f64,
    open: BTreeMap<String, VecDeque<Duration>>,
    repairs: Vec<Duration>,
    serving: BTreeMap<String, usize>,
    stranded: usize,
    usable: usize,
    alive: usize,
    /// Weight loads of one shard.
    pub loads: u64,
    /// Record writes besides renewals.
    pub writes: u64,
    /// Wall time of each planning.
    pub planning: Vec<Duration>,
}

/// Figures of one run.
#[derive(Debug, Clone, Serialize)]
pub struct RunReport {
    /// Policy.
    pub policy: String,
    /// Minutes that a wanted group did not serve, on average, over the simulated time.
    pub downtime_minutes_per_group: f64,
    /// Accelerator-hours of running instances outside serving groups.
    pub stranded_hours: f64,
    /// The least possible by fragmentation and by the number of wanted groups.
    pub stranded_bound_hours: f64,
    /// Repairs that ended.
    pub repairs: usize,
    /// Median time from the loss of a group to the next one serving in its stead, in seconds.
    pub repair_p50_seconds: f64,
    /// The same at the 95th percentile.
    pub repair_p95_seconds: f64,
    /// Store writes a second, renewals included.
    pub store_writes_per_second: f64,
    /// Weight loads of one shard.
    pub shard_loads: u64,
    /// Bytes loaded at 20 GB a shard.
    pub loaded_terabytes: f64,
    /// Median wall time of allocation, planning and load ranking, in milliseconds.
    pub planning_p50_ms: f64,
    /// The same at its highest.
    pub planning_max_ms: f64,
}

/// Bytes of one shard's weights, in terabytes.
const SHARD_TERABYTES: f64 = 0.02;

impl Meter {
    /// Starts measuring.
    pub fn new(at: Duration, wanted: BTreeMap<String, usize>, wanted_instances: usize) -> Self {
        Self { at, wanted, wanted_instances, ..Self::default() }
    }

    /// Takes in the fleet's numbers, which hold from now on.
    pub fn note(&mut self, now: Duration, totals: &DomainNumbers) {
        self.advance(now);
        for (service, wanted) in &self.wanted {
            let before = self.serving.get(service).copied().unwrap_or(*wanted);
            let after = totals.serving.get(service).copied().unwrap_or(0);
            let open = self.open.entry(service.clone()).or_default();
            for _ in after..before {
                open.push_back(now);
            }
            for _ in before..after {
                if let Some(since) = open.pop_front() {
                    self.repairs.push(now - since);
                }
            }
        }
        self.serving = totals.serving.clone();
        self.stranded = totals.stranded;
        self.usable = totals.usable;
        self.alive = totals.alive;
    }

    fn advance(&mut self, now: Duration) {
        let seconds = now.saturating_sub(self.at).as_secs_f64();
        self.at = now;
        let serving = |service: &String| self.serving.get(service).copied().unwrap_or(0);
        let down: usize = self.wanted.iter().map(|(s, n)| n.saturating_sub(serving(s))).sum();
        self.down_group_seconds += down as f64 * seconds;
        self.stranded_seconds += self.stranded as f64 * seconds;
        let used = self.usable.min(self.wanted_instances);
        self.bound_seconds += self.alive.saturating_sub(used) as f64 * seconds;
    }

    /// Returns the figures of the run.
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
        let at = |times: &[Duration], part: f64| {
            let index = ((times.len() as f64 * part) as usize).min(times.len().saturating_sub(1));
            times.get(index).copied().unwrap_or_default().as_secs_f64()
        };
        let writes = self.writes as f64 / (end - start).as_secs_f64() + renewals;
        RunReport {
            policy: policy.to_string(),
            downtime_minutes_per_group: self.down_group_seconds / 60.0 / groups as f64,
            stranded_hours: self.stranded_seconds / 3600.0,
            stranded_bound_hours: self.bound_seconds / 3600.0,
            repairs: self.repairs.len(),
            repair_p50_seconds: at(&self.repairs, 0.5),
            repair_p95_seconds: at(&self.repairs, 0.95),
            store_writes_per_second: writes,
            shard_loads: self.loads,
            loaded_terabytes: self.loads as f64 * SHARD_TERABYTES,
            planning_p50_ms: at(&self.planning, 0.5) * 1000.0,
            planning_max_ms: at(&self.planning, 1.0) * 1000.0,
        }
    }
}
