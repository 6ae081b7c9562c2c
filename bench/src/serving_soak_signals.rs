//! Series of signals to the daemons of the serving soak.

use crate::serving_soak_faults::Configuration;
use crate::serving_soak_faults::FaultLog;
use crate::serving_soak_nodes::Cause;
use crate::serving_soak_nodes::Disturbances;
use crate::serving_soak_nodes::GRACE;
use crate::serving_soak_nodes::NodeProcess;
use anyhow::Result;
use nix::sys::signal::Signal;
use rand::RngExt;
use rand::rngs::StdRng;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use tokio::time::sleep;

/// Series of signals to one daemon.
#[derive(Debug, Clone, Copy)]
pub enum SignalSeries {
    /// SIGKILL.
    Kill,
    /// SIGTERM.
    Stop,
    /// SIGTERM, a change of the configuration and SIGHUP.
    StopThenHangUp,
    /// SIGTERM, and SIGKILL before the daemon has finished.
    StopThenKill,
    /// SIGSTOP, and SIGCONT after a while.
    Pause,
    /// SIGTERM to a paused daemon.
    PauseThenStop,
    /// SIGHUP several times.
    HangUp,
}

/// Series that are planned work.
pub const PLANNED: [SignalSeries; 4] =
    [SignalSeries::Stop, SignalSeries::Stop, SignalSeries::StopThenHangUp, SignalSeries::HangUp];

/// All series.
pub const ALL: [SignalSeries; 7] = [
    SignalSeries::Kill,
    SignalSeries::Stop,
    SignalSeries::StopThenHangUp,
    SignalSeries::StopThenKill,
    SignalSeries::Pause,
    SignalSeries::PauseThenStop,
    SignalSeries::HangUp,
];

/// Daemon that gets a series of signals.
#[derive(Debug)]
pub struct Target {
    /// Number of the daemon.
    pub number: usize,
    /// The daemon.
    pub node: Arc<tokio::sync::Mutex<NodeProcess>>,
    /// Disturbances so far.
    pub disturbances: Disturbances,
    /// Configuration in the store.
    pub configuration: Configuration,
    /// Log of the faults.
    pub log: FaultLog,
}

impl Target {
    /// Sends a series of signals after those that the daemon already gets.
    pub async fn run(self, series: SignalSeries, mut rng: StdRng) -> Result<()> {
        let mut node = self.node.lock().await;
        let cause = match series {
            SignalSeries::Stop | SignalSeries::StopThenHangUp => Cause::Stop,
            SignalSeries::HangUp => Cause::HangUp,
            _ => Cause::Unplanned,
        };
        self.log.write(&format!("n{}: {series:?}", self.number))?;
        let disturbance = self.disturbances.begin(Some(self.number), cause);
        let pause = Duration::from_millis(rng.random_range(100..4000));
        let delay = Duration::from_millis(rng.random_range(0..1500));
        let stopped_by = Instant::now() + GRACE;
        match series {
            SignalSeries::Kill => {
                node.signal(Signal::SIGKILL)?;
                node.restart(stopped_by, delay).await?;
            }
            SignalSeries::Stop => {
                node.signal(Signal::SIGTERM)?;
                node.restart(stopped_by, delay).await?;
            }
            SignalSeries::StopThenHangUp => {
                node.signal(Signal::SIGTERM)?;
                sleep(Duration::from_millis(rng.random_range(0..800))).await;
                self.configuration.change()?;
                // The process may have exited.
                let _ = node.signal(Signal::SIGHUP);
                node.restart(stopped_by, delay).await?;
            }
            SignalSeries::StopThenKill => {
                node.signal(Signal::SIGTERM)?;
                sleep(pause / 4).await;
                node.signal(Signal::SIGKILL)?;
                node.restart(stopped_by, delay).await?;
            }
            SignalSeries::Pause => {
                node.signal(Signal::SIGSTOP)?;
                sleep(pause).await;
                node.signal(Signal::SIGCONT)?;
            }
            SignalSeries::PauseThenStop => {
                node.signal(Signal::SIGSTOP)?;
                node.signal(Signal::SIGTERM)?;
                sleep(pause).await;
                node.signal(Signal::SIGCONT)?;
                node.restart(stopped_by + pause, delay).await?;
            }
            SignalSeries::HangUp => {
                for _ in 0..rng.random_range(1..5) {
                    node.signal(Signal::SIGHUP)?;
                    sleep(Duration::from_millis(rng.random_range(0..100))).await;
                }
            }
        }
        self.disturbances.end(disturbance);
        self.log.write(&format!("n{}: {series:?} ended", self.number))
    }
}
