//! Replicas that this node has found to be down and announces to the other nodes for a while.

use guavaladder_lib::generated::serving_peer::DownReplica;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Time for which a replica is announced as down.
const ANNOUNCE_PERIOD: Duration = Duration::from_millis(1500);

/// Shared list of the replicas that are announced as down.
#[derive(Debug, Clone, Default)]
pub struct DownReports {
    reports: Arc<Mutex<Vec<(Instant, DownReplica)>>>,
    report_added: Arc<Notify>,
    control_woken: Arc<Notify>,
}

impl DownReports {
    /// Creates an empty list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a replica and wakes the task that sends messages to other nodes.
    pub fn add(&self, report: DownReplica, now: Instant) {
        let mut reports = self.reports.lock().unwrap_or_else(PoisonError::into_inner);
        reports.push((now, report));
        drop(reports);
        self.report_added.notify_one();
    }

    /// Removes a replica that is not down any more.
    pub fn remove(&self, replica: u64) {
        let mut reports = self.reports.lock().unwrap_or_else(PoisonError::into_inner);
        reports.retain(|(_, report)| report.replica != replica);
    }

    /// Returns the replicas that are currently announced.
    pub fn announced(&self, now: Instant) -> Vec<DownReplica> {
        let mut reports = self.reports.lock().unwrap_or_else(PoisonError::into_inner);
        reports.retain(|(at, _)| now - *at < ANNOUNCE_PERIOD);
        reports.iter().map(|(_, report)| report.clone()).collect()
    }

    /// Wakes the group control loop, after this or another node found a replica to be down.
    pub fn wake_group_control(&self) {
        self.control_woken.notify_one();
    }

    /// Waits until a replica is added.
    pub async fn report_added(&self) {
        self.report_added.notified().await;
    }

    /// Waits until the group control loop is woken.
    pub async fn group_control_woken(&self) {
        self.control_woken.notified().await;
    }
}
