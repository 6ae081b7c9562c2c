//! Estimate of one replica's load: its last report, which lags behind, corrected by the requests
//! that this node started and finished after the report was sampled.

use crate::generated::engine::EngineLoad;
use std::collections::VecDeque;
use tokio::time::Instant;

/// Assumed capacity of an engine that has not reported one.
pub const INITIAL_CAPACITY: u32 = 8;
/// Assumed capacity of a plain upstream, which reports none; its concurrency limit adapts below
/// this.
pub const PLAIN_CAPACITY: u32 = 256;
/// Maximum number of recent starts and ends that are kept to correct reports.
const MAX_RECENT_CHANGES: usize = 512;

#[derive(Debug, Clone, Copy)]
enum Change {
    Started,
    Ended,
}

/// This node's estimate of the load of one replica.
#[derive(Debug)]
pub struct ReplicaLoad {
    /// This node's requests that run at the replica.
    own_running: u32,
    reported: Option<Report>,
    /// Capacity until the first report.
    assumed_capacity: u32,
    recent: VecDeque<(Instant, Change)>,
}

#[derive(Debug, Clone, Copy)]
struct Report {
    total: u32,
    capacity: u32,
    sampled_at: Instant,
}

impl ReplicaLoad {
    /// Creates the estimate for a replica that has not reported yet.
    pub fn new(assumed_capacity: u32) -> Self {
        Self { own_running: 0, reported: None, assumed_capacity, recent: VecDeque::new() }
    }

    /// Records that this node sends a request to the replica.
    pub fn record_start(&mut self, now: Instant) {
        self.own_running += 1;
        self.record_change(now, Change::Started);
    }

    /// Records that a request of this node ended.
    pub fn record_end(&mut self, now: Instant) {
        self.own_running = self.own_running.saturating_sub(1);
        self.record_change(now, Change::Ended);
    }

    /// Applies a report, unless it was sampled before the current one.
    pub fn record_report(&mut self, load: &EngineLoad, now: Instant) {
        let sampled_at = now.checked_sub(load.age).unwrap_or(now);
        if self.reported.is_some_and(|known| known.sampled_at > sampled_at) {
            return;
        }
        let total = load.running.saturating_add(load.queued);
        self.reported = Some(Report { total, capacity: load.capacity.max(1), sampled_at });
        while self.recent.front().is_some_and(|(at, _)| *at <= sampled_at) {
            self.recent.pop_front();
        }
    }

    /// Returns the estimated number of requests at the replica, with `nodes` nodes that send
    /// requests.
    ///
    /// Requests that this node added since the report are multiplied by the number of nodes,
    /// because the other nodes saw the same free slots and probably sent as many.
    pub fn total(&self, nodes: u32) -> u32 {
        let Some(report) = self.reported else { return self.own_running };
        let mut change = 0;
        for (at, kind) in &self.recent {
            match kind {
                _ if *at <= report.sampled_at => {}
                Change::Started => change += 1,
                Change::Ended => change -= 1,
            }
        }
        if change > 0 {
            change *= i64::from(nodes.max(1));
        }
        (i64::from(report.total) + change).max(i64::from(self.own_running)) as u32
    }

    /// Returns the number of this node's requests that run at the replica.
    pub fn own_running(&self) -> u32 {
        self.own_running
    }

    /// Returns the maximum batch size that the replica reported, or the assumed capacity.
    pub fn capacity(&self) -> u32 {
        self.reported.map_or(self.assumed_capacity, |report| report.capacity)
    }

    fn record_change(&mut self, now: Instant, change: Change) {
        if self.recent.len() == MAX_RECENT_CHANGES {
            self.recent.pop_front();
        }
        self.recent.push_back((now, change));
    }
}
