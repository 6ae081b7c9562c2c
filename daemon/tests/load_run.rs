//! Clients that stall beside ordinary requests, and what a daemon does meanwhile.

use crate::process_usage::Usage;
use crate::process_usage::UsageMonitor;
use crate::stalling_client::StallingClient;
use crate::stalling_client::StallingClients;
use std::net::SocketAddr;
use tokio::sync::Mutex;
use tokio::sync::MutexGuard;

/// Returns the guard of the test that runs; only one does at a time.
pub async fn lock() -> MutexGuard<'static, ()> {
    static LOCK: Mutex<()> = Mutex::const_new(());
    LOCK.lock().await
}

/// What was seen while clients stalled, and afterwards.
#[derive(Debug, Default)]
pub struct Outcome {
    pub peak: Usage,
    pub is_running: bool,
    /// Whether an ordinary request was served beside the clients.
    pub is_served_beside: bool,
    /// Whether the listener to which the clients connect has answered another request beside them.
    pub is_answered_beside: bool,
    /// Whether an ordinary request was served when they had gone.
    pub is_served_after: bool,
}

impl Outcome {
    /// Panics if the daemon ended, exceeded its limits or did not serve ordinary requests.
    pub fn check(&self, memory_mb: usize, max_descriptors: usize) {
        let (mib, descriptors) = (self.peak.memory >> 20, self.peak.descriptors);
        println!("peak {mib} MiB, {descriptors} descriptors: {self:?}");
        assert!(self.is_running, "the daemon ended: {self:?}");
        assert!(self.peak.memory <= memory_mb << 20, "{mib} MiB of {memory_mb}: {self:?}");
        assert!(descriptors <= max_descriptors, "{descriptors} descriptors: {self:?}");
        assert!(self.is_served_beside, "no ordinary request was served beside them: {self:?}");
        assert!(self.is_answered_beside, "their listener answered no other request: {self:?}");
        assert!(self.is_served_after, "no ordinary request was served afterwards: {self:?}");
    }
}

/// Clients of one kind and the process to which they connect.
pub struct LoadRun<'a> {
    pub client: &'a StallingClient,
    pub to: SocketAddr,
    pub count: usize,
    pub pid: u32,
    /// Ports on which the process listens.
    pub ports: Vec<u16>,
}

impl LoadRun<'_> {
    /// Runs the clients, tries an ordinary request and one at the listener of the clients beside them, and an
    /// ordinary one afterwards.
    pub async fn run(
        self,
        is_served: impl AsyncFn() -> bool,
        is_answered: impl AsyncFn() -> bool,
    ) -> Outcome {
        let monitor = UsageMonitor::start(self.pid, self.ports);
        let clients = StallingClients::start(self.client, self.to, self.count);
        clients.wait_until_sent().await;
        monitor.wait_until_steady().await;
        let is_served_beside = is_served().await;
        let is_answered_beside = is_answered().await;
        drop(clients);
        let is_served_after = is_served().await;
        let peak = monitor.peak();
        monitor.stop();
        Outcome { peak, is_running: true, is_served_beside, is_answered_beside, is_served_after }
    }
}
