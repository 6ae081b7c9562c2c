//! Seeded schedule of the faults of a soak.

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::time::Duration;

/// Range of the time between the starts of two faults.
const INTERVAL_MS: std::ops::Range<u64> = 200..1500;

/// Range of the duration of a fault.
const LENGTH_MS: std::ops::Range<u64> = 500..5000;

/// Kind of fault that the soak injects.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum FaultKind {
    /// An engine or plain instance is killed and restarted.
    KillInstance,
    /// An engine instance is paused and resumed.
    PauseInstance,
    /// An engine instance is slowed down.
    SlowInstance,
    /// All instances of a fabric domain are killed and restarted.
    UnreachableDomain,
    /// The open connections to an instance stall permanently.
    StalledConnections,
    /// An instance is announced as leaving, killed and restarted.
    LeavingInstance,
    /// Orders to an instance take effect late.
    LateOrders,
    /// The store responds slowly.
    SlowStore,
    /// The store refuses every call.
    StoreUnavailable,
    /// The store loses responses to writes that it has applied.
    LostResponses,
    /// A daemon is paused and resumed.
    PauseDaemon,
    /// A daemon is killed and restarted.
    KillDaemon,
    /// A daemon is shut down gracefully and restarted.
    ReplaceDaemon,
    /// A daemon is partitioned from its peers.
    Partition,
    /// Two operators change the same default concurrently.
    RacingOperators,
    /// A request that crashes upstreams is sent repeatedly.
    Poison,
}

/// All kinds of faults.
pub const ALL_KINDS: [FaultKind; 16] = [
    FaultKind::KillInstance,
    FaultKind::PauseInstance,
    FaultKind::SlowInstance,
    FaultKind::UnreachableDomain,
    FaultKind::StalledConnections,
    FaultKind::LeavingInstance,
    FaultKind::LateOrders,
    FaultKind::SlowStore,
    FaultKind::StoreUnavailable,
    FaultKind::LostResponses,
    FaultKind::PauseDaemon,
    FaultKind::KillDaemon,
    FaultKind::ReplaceDaemon,
    FaultKind::Partition,
    FaultKind::RacingOperators,
    FaultKind::Poison,
];

/// Scheduled fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannedFault {
    /// Start of the fault, relative to the start of the schedule.
    pub at: Duration,
    /// Duration of the fault.
    pub length: Duration,
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Selects the instance or daemon, modulo their number.
    pub target: usize,
}

/// Returns the faults that start within a time; the same seed yields the same schedule.
///
/// Kinds are drawn in shuffled rounds, so that every kind occurs once before any kind repeats.
pub fn schedule(seed: u64, within: Duration) -> Vec<PlannedFault> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut faults = vec![];
    let mut kinds: Vec<FaultKind> = vec![];
    let mut at = Duration::ZERO;
    loop {
        at += Duration::from_millis(rng.random_range(INTERVAL_MS));
        if at >= within {
            return faults;
        }
        if kinds.is_empty() {
            kinds = shuffled(&mut rng);
        }
        let Some(kind) = kinds.pop() else { return faults };
        let length = Duration::from_millis(rng.random_range(LENGTH_MS));
        let target = rng.random_range(0..usize::MAX / 2);
        faults.push(PlannedFault { at, length, kind, target });
    }
}

fn shuffled(rng: &mut StdRng) -> Vec<FaultKind> {
    let mut kinds = ALL_KINDS.to_vec();
    for i in (1..kinds.len()).rev() {
        kinds.swap(i, rng.random_range(0..=i));
    }
    kinds
}
