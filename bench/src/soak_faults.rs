//! Injects the faults of a soak into the fake platform and upstreams and into the daemons.

use crate::caller::Caller;
use crate::daemon_process::DaemonProcess;
use crate::fake_fleet::FakeFleet;
use crate::operator::Operator;
use crate::soak_schedule::FaultKind;
use crate::soak_schedule::PlannedFault;
use anyhow::Result;
use guavaladder_lib::generated::operator::PeerFaults;
use guavaladder_lib::generated::platform::InstanceInfo;
use guavaladder_lib::generated::platform::InstanceRole;
use guavaladder_testutils::fake_store::StoreFaults;
use guavaladder_testutils::token_text::POISON_MARKER;
use nix::sys::signal::Signal;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Mutex;

/// Factor by which a slow instance is slowed down.
const SLOWDOWN: f64 = 8.0;

/// Delay before an order takes effect.
const ORDER_DELAY: Duration = Duration::from_millis(700);

/// Delay of each call while the store is slow.
const STORE_DELAY: Duration = Duration::from_millis(400);

/// Fraction of the store's writes whose responses are lost.
const LOST_RESPONSE_FRACTION: f64 = 0.3;

/// Timeout for a daemon to exit after SIGTERM.
const STOP_TIMEOUT: Duration = Duration::from_secs(15);

/// Number of times that a poison request is sent.
const POISON_SENDS: usize = 3;

/// Daemons, fakes and clients that the faults act on.
pub struct SoakTarget {
    /// Fake platform and upstreams.
    pub fleet: FakeFleet,
    /// Daemons; one with a fault stays locked until it runs again.
    pub daemons: Vec<Mutex<DaemonProcess>>,
    /// Held while a daemon is down or paused, so that at most one is at any time.
    pub daemon_fault_lock: Mutex<()>,
    /// Operators that change the configuration concurrently.
    pub operators: [Operator; 2],
    /// Caller that sends poison requests.
    pub caller: Arc<Caller>,
    /// Service that receives the poison requests.
    pub service: &'static str,
    /// Number of active faults of the store of each kind: slow, unavailable, lost responses.
    pub store_faults: std::sync::Mutex<[u32; 3]>,
}

impl SoakTarget {
    /// Starts a fault, waits for its duration and ends it.
    pub async fn inject(&self, fault: PlannedFault) -> Result<()> {
        match fault.kind {
            FaultKind::KillInstance => {
                let instance = self.instance(fault.target, true);
                self.fleet.kill(&instance.address);
                tokio::time::sleep(fault.length).await;
                self.fleet.revive(&instance.address).await?;
            }
            FaultKind::PauseInstance => {
                let address = self.instance(fault.target, false).address;
                self.fleet.fake_instances.pause(&address);
                tokio::time::sleep(fault.length).await;
                self.fleet.fake_instances.resume(&address);
            }
            FaultKind::SlowInstance => {
                let address = self.instance(fault.target, false).address;
                self.fleet.fake_instances.set_slowdown(&address, SLOWDOWN);
                tokio::time::sleep(fault.length).await;
                self.fleet.fake_instances.set_slowdown(&address, 1.0);
            }
            FaultKind::UnreachableDomain => self.unreachable_domain(fault).await?,
            FaultKind::StalledConnections => {
                self.fleet.stall_connections(&self.instance(fault.target, true).address);
            }
            FaultKind::LeavingInstance => {
                let address = self.instance(fault.target, true).address;
                self.fleet.fake_instances.set_leaving(&address);
                tokio::time::sleep(fault.length).await;
                self.fleet.kill(&address);
                tokio::time::sleep(fault.length).await;
                self.fleet.revive(&address).await?;
            }
            FaultKind::LateOrders => {
                let address = self.instance(fault.target, false).address;
                self.fleet.fake_instances.delay_orders(&address, ORDER_DELAY);
                tokio::time::sleep(fault.length).await;
                self.fleet.fake_instances.delay_orders(&address, Duration::ZERO);
            }
            FaultKind::SlowStore => self.store_fault(0, fault.length).await,
            FaultKind::StoreUnavailable => self.store_fault(1, fault.length).await,
            FaultKind::LostResponses => self.store_fault(2, fault.length).await,
            FaultKind::PauseDaemon | FaultKind::KillDaemon | FaultKind::ReplaceDaemon => {
                self.daemon_fault(fault).await?;
            }
            FaultKind::Partition => self.partition(fault).await?,
            FaultKind::RacingOperators => self.change_concurrently().await,
            FaultKind::Poison => {
                let prompt = format!("{POISON_MARKER} {}", fault.target);
                for _ in 0..POISON_SENDS {
                    // Any response is acceptable; the oracle checks the executions instead.
                    self.caller.generate(self.service, &prompt, 20).await;
                }
            }
        }
        Ok(())
    }

    /// Ends all faults of the store and the instances that may still be active.
    pub fn clear_all(&self) {
        self.fleet.store.set_faults(StoreFaults::default());
        for info in self.fleet.fake_instances.all_instances() {
            self.fleet.fake_instances.resume(&info.address);
            self.fleet.fake_instances.set_slowdown(&info.address, 1.0);
            self.fleet.fake_instances.delay_orders(&info.address, Duration::ZERO);
        }
    }

    fn instance(&self, target: usize, with_plain: bool) -> InstanceInfo {
        let mut all = self.fleet.fake_instances.all_instances();
        all.retain(|info| match info.role {
            InstanceRole::Engine => true,
            InstanceRole::Plain => with_plain,
            InstanceRole::Entry => false,
        });
        all.swap_remove(target % all.len())
    }

    async fn unreachable_domain(&self, fault: PlannedFault) -> Result<()> {
        let domain = self.instance(fault.target, false).domain;
        let mut inside = self.fleet.fake_instances.all_instances();
        inside.retain(|info| info.domain == domain);
        inside.iter().for_each(|info| self.fleet.kill(&info.address));
        tokio::time::sleep(fault.length).await;
        for info in inside {
            self.fleet.revive(&info.address).await?;
        }
        Ok(())
    }

    async fn store_fault(&self, index: usize, length: Duration) {
        self.change_store_fault(|counts| counts[index] += 1);
        tokio::time::sleep(length).await;
        self.change_store_fault(|counts| counts[index] -= 1);
    }

    fn change_store_fault(&self, change: impl FnOnce(&mut [u32; 3])) {
        let lock = self.store_faults.lock();
        let mut counts = lock.unwrap_or_else(std::sync::PoisonError::into_inner);
        change(&mut counts);
        let [slow, is_unavailable, lost] = counts.map(|count| count > 0);
        self.fleet.store.set_faults(StoreFaults {
            is_unavailable,
            delay: if slow { STORE_DELAY } else { Duration::ZERO },
            lose_responses: if lost { LOST_RESPONSE_FRACTION } else { 0.0 },
            ..StoreFaults::default()
        });
    }

    async fn daemon_fault(&self, fault: PlannedFault) -> Result<()> {
        let _guard = self.daemon_fault_lock.lock().await;
        let mut daemon = self.daemons[fault.target % self.daemons.len()].lock().await;
        match fault.kind {
            FaultKind::PauseDaemon => {
                daemon.signal(Signal::SIGSTOP)?;
                tokio::time::sleep(fault.length).await;
                daemon.signal(Signal::SIGCONT)
            }
            FaultKind::KillDaemon => {
                daemon.kill();
                tokio::time::sleep(fault.length).await;
                daemon.start().await
            }
            _ => {
                daemon.signal(Signal::SIGTERM)?;
                daemon.wait(STOP_TIMEOUT).await?;
                daemon.start().await
            }
        }
    }

    async fn partition(&self, fault: PlannedFault) -> Result<()> {
        let daemon = self.daemons[fault.target % self.daemons.len()].lock().await;
        let (operator, own) =
            (daemon.settings.operator_listen.clone(), daemon.settings.peer_listen.clone());
        drop(daemon);
        let mut blocked = vec![];
        for other in &self.daemons {
            let address = other.lock().await.settings.peer_listen.clone();
            if address != own {
                blocked.push(address);
            }
        }
        let operator = Operator::new(vec![operator], "soak");
        // The call fails if the daemon is down; then it has no peers to be separated from.
        let _ = operator.set_peer_faults(&PeerFaults { blocked, loss: 0.0 }).await;
        tokio::time::sleep(fault.length).await;
        let _ = operator.set_peer_faults(&PeerFaults { blocked: vec![], loss: 0.0 }).await;
        Ok(())
    }

    /// Changes the same default as both operators concurrently.
    ///
    /// Either change may fail or be a conflict; the store oracle checks the accepted versions.
    async fn change_concurrently(&self) {
        let change = async |operator: &Operator| -> Result<()> {
            let (version, mut config) = operator.config().await?;
            config["defaults"]["between_tokens_ms"] = (40 + version % 50).into();
            operator.apply(version, &config, "concurrent change").await?;
            Ok(())
        };
        let _ = tokio::join!(change(&self.operators[0]), change(&self.operators[1]));
    }
}
