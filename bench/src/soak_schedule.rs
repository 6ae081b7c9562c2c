//! The seeded schedule of faults of a soak.

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::time::Duration;

/// Shortest and longest time between the starts of two faults.
const PAUSE_MS: std::ops::Range<u64> = 200..1500;

/// Shortest and longest time for which a fault lasts.
const LENGTH_MS: std::ops::Range<u64> = 500..5000;

/// Kind of a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum FaultKind {
    /// An engine or plain instance dies and comes back.
    KillInstance,
    /// An engine instance stops and goes on.
    PauseInstance,
    /// An engine instance is slow.
    Straggle,
    /// A whole fabric domain is dark.
    DarkDomain,
    /// The open connections to an instance go silent for good.
    SilentConnections,
    /// An instance is announced as leaving, dies, and comes back.
    LeavingInstance,
    /// Orders to an instance take effect late.
    LateOrders,
    /// The store answers slowly.
    SlowStore,
    /// The store refuses every call.
    StoreAway,
    /// Answers of the store are lost after the write.
    LostAnswers,
    /// A daemon stops and goes on.
    PauseDaemon,
    /// A daemon dies and is started again.
    KillDaemon,
    /// A daemon is stopped gracefully and started again.
    ReplaceDaemon,
    /// A daemon is cut off from its peers.
    Partition,
    /// Two operators change the same default at once.
    RacingOperators,
    /// A request that crashes upstreams is sent and sent again.
    Poison,
}

/// All kinds.
pub const ALL_KINDS: [FaultKind; 16] = [
    FaultKind::KillInstance,
    FaultKind::PauseInstance,
    FaultKind::Straggle,
    FaultKind::DarkDomain,
    FaultKind::SilentConnections,
    FaultKind::LeavingInstance,
    FaultKind::LateOrders,
    FaultKind::SlowStore,
    FaultKind::StoreAway,
    FaultKind::LostAnswers,
    FaultKind::PauseDaemon,
    FaultKind::KillDaemon,
    FaultKind::ReplaceDaemon,
    FaultKind::Partition,
    FaultKind::RacingOperators,
    FaultKind::Poison,
];

/// One fault of a schedule.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannedFault {
    /// Start, counted from the start of the soak.
    pub at: Duration,
    /// How long it lasts.
    pub length: Duration,
    /// Kind.
    pub kind: FaultKind,
    /// Chooses the instance or daemon, modulo their number.
    pub target: usize,
}

/// Returns the faults that start within a time; the same seed gives the same schedule.
///
/// All kinds come in a shuffled order before any comes again.
pub fn schedule(seed: u64, within: Duration) -> Vec<PlannedFault> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut faults = vec![];
    let mut kinds: Vec<FaultKind> = vec![];
    let mut at = Duration::ZERO;
    loop {
        at += Duration::from_millis(rng.random_range(PAUSE_MS));
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
