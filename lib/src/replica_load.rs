//! Estimate of one replica's load: its last report, which lags, corrected by the requests that this
//! node started and finished since the report was sampled.

use crate::generated::engine::EngineLoad;
use std::collections::VecDeque;
use tokio::time::Instant;

/// Capacity of an engine that has not reported one.
pub const INITIAL_CAPACITY: u32 = 8;
/// Capacity of a plain upstream, which reports none; the limit on its requests adapts below it.
pub const PLAIN_CAPACITY: u32 = 256;
/// Starts and ends that are remembered for correcting reports.
const MAX_REMEMBERED: usize = 512;

#[derive(Debug, Clone, Copy)]
enum Change {
    Started,
    Ended,
}

/// Load of one replica as this node estimates it.
#[derive(Debug)]
pub struct ReplicaLoad {
    /// Requests of this node that run there.
    own_running: u32,
    reported: Option<Report>,
    /// Capacity while none is reported.
    assumed_capacity: u32,
    recent: VecDeque<(Instant, Change)>,
}

#[derive(Debug, Clone, Copy)]
struct Report {
    total: u32,
    capacity: u32,
    sampled: Instant,
}

impl ReplicaLoad {
    /// Returns the load of a replica that has not reported yet.
    pub fn new(assumed_capacity: u32) -> Self {
        Self { own_running: 0, reported: None, assumed_capacity, recent: VecDeque::new() }
    }

    /// Counts a request that this node sends there.
    pub fn start(&mut self, now: Instant) {
        self.own_running += 1;
        self.remember(now, Change::Started);
    }

    /// Counts the end of a request of this node.
    pub fn end(&mut self, now: Instant) {
        self.own_running = self.own_running.saturating_sub(1);
        self.remember(now, Change::Ended);
    }

    /// Takes in a report; one sampled earlier than the last is ignored.
    pub fn report(&mut self, load: &EngineLoad, now: Instant) {
        let sampled = now.checked_sub(load.age).unwrap_or(now);
        if self.reported.is_some_and(|known| known.sampled > sampled) {
            return;
        }
        let total = load.running.saturating_add(load.queued);
        self.reported = Some(Report { total, capacity: load.capacity.max(1), sampled });
        while self.recent.front().is_some_and(|(at, _)| *at <= sampled) {
            self.recent.pop_front();
        }
    }

    /// Returns the estimated number of requests there, with `nodes` nodes that send requests.
    ///
    /// What this node added since the report counts once for each node, since the others saw the
    /// same free places and probably did the same.
    pub fn total(&self, nodes: u32) -> u32 {
        let Some(report) = self.reported else { return self.own_running };
        let mut change = 0;
        for (at, kind) in &self.recent {
            match kind {
                _ if *at <= report.sampled => {}
                Change::Started => change += 1,
                Change::Ended => change -= 1,
            }
        }
        if change > 0 {
            change *= i64::from(nodes.max(1));
        }
        (i64::from(report.total) + change).max(i64::from(self.own_running)) as u32
    }

    /// Returns the number of requests that this node runs there.
    pub fn own_running(&self) -> u32 {
        self.own_running
    }

    /// Returns the largest running batch.
    pub fn capacity(&self) -> u32 {
        self.reported.map_or(self.assumed_capacity, |report| report.capacity)
    }

    fn remember(&mut self, now: Instant, change: Change) {
        if self.recent.len() == MAX_REMEMBERED {
            self.recent.pop_front();
        }
        self.recent.push_back((now, change));
    }
}
