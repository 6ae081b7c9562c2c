//! Short serving soaks with fixed seeds.

use guavaladder_bench::serving_soak;
use guavaladder_bench::serving_soak::SoakPlan;
use guavaladder_bench::serving_soak_callers::Outcome;
use std::time::Duration;

/// Enough for a block of planned work, one of all faults, and the recovery.
const LENGTH: Duration = Duration::from_secs(24);
/// The first begins with planned work; the second begins with all faults and has requests that crash
/// replicas by a part of their prompt.
const SEEDS: [u64; 2] = [2, 3];
const NODES: u8 = 3;

// One after the other, since the daemons of a process share their ports.
#[tokio::test(flavor = "multi_thread")]
async fn serving_soak_short() {
    for seed in SEEDS {
        let plan = SoakPlan {
            seed,
            length: LENGTH,
            nodes: NODES,
            logs: None,
            daemon: None,
            only_stops: false,
        };
        let report = serving_soak::soak(&plan).await.expect("a run of the soak");
        assert_eq!(report.violations, Vec::<String>::new(), "seed {seed}: {report}");
        assert!(report.count(Outcome::Answered) > 0, "seed {seed}: {report}");
    }
}
