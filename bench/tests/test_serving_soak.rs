//! Short serving soaks with fixed seeds.

use guavaladder_bench::serving_soak;
use guavaladder_bench::serving_soak::SoakPlan;
use guavaladder_bench::serving_soak_callers::Outcome;
use std::time::Duration;

/// Enough for a block of planned work, one of all faults, and the recovery.
const LENGTH: Duration = Duration::from_secs(24);
/// The first begins with planned work; the second begins with all faults and has requests that crash
/// replicas by a part of their prompt; in the third, instances also state that they leave and rest; in the fourth,
/// the store also returns from older copies.
const SEEDS: [(u64, bool, bool); 4] =
    [(2, false, false), (3, false, false), (4, true, false), (5, false, true)];
const NODES: u8 = 3;

// One after the other, since the daemons of a process share their ports.
#[tokio::test(flavor = "multi_thread")]
async fn serving_soak_short() {
    for (seed, has_notices, has_returns) in SEEDS {
        let plan = SoakPlan {
            seed,
            length: LENGTH,
            nodes: NODES,
            logs: None,
            daemon: None,
            other_daemon: None,
            only_stops: false,
            has_notices,
            has_returns,
        };
        let report = serving_soak::soak(&plan).await.expect("a run of the soak");
        assert_eq!(report.violations, Vec::<String>::new(), "seed {seed}: {report}");
        assert!(report.count(Outcome::Answered) > 0, "seed {seed}: {report}");
    }
}
