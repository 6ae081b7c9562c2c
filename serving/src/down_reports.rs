//! Replicas that this node found to be down, until the other nodes had time to learn it.

use guavaladder_lib::generated::serving_peer::DownReplica;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Time for which a replica is told as down.
const TOLD_FOR: Duration = Duration::from_millis(1500);

/// Shared list of the replicas that are told as down.
#[derive(Debug, Clone, Default)]
pub struct DownReports {
    reports: Arc<Mutex<Vec<(Instant, DownReplica)>>>,
    news: Arc<Notify>,
    control: Arc<Notify>,
}

impl DownReports {
    /// Returns an empty list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a replica and wakes the sender of messages.
    pub fn add(&self, report: DownReplica, now: Instant) {
        let mut reports = self.reports.lock().unwrap_or_else(PoisonError::into_inner);
        reports.push((now, report));
        drop(reports);
        self.news.notify_one();
    }

    /// Returns the replicas that are to be told.
    pub fn to_tell(&self, now: Instant) -> Vec<DownReplica> {
        let mut reports = self.reports.lock().unwrap_or_else(PoisonError::into_inner);
        reports.retain(|(at, _)| now - *at < TOLD_FOR);
        reports.iter().map(|(_, report)| report.clone()).collect()
    }

    /// Wakes the control of the groups, since this node or another found a replica to be down.
    pub fn wake_control(&self) {
        self.control.notify_one();
    }

    /// Waits for a replica that was added.
    pub async fn news(&self) {
        self.news.notified().await;
    }

    /// Waits until the control of the groups is woken.
    pub async fn news_for_control(&self) {
        self.control.notified().await;
    }
}
