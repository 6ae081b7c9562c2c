//! Short serving soaks with fixed seeds.

use guavaladder_bench::serving_soak;
use guavaladder_bench::serving_soak::SoakPlan;
use guavaladder_bench::serving_soak_callers::Outcome;
use std::time::Duration;

/// Enough for a block of planned work, one of all faults, and the recovery.
const LENGTH: Duration = Duration::from_secs(24);
const NODES: u8 = 3;

/// The first begins with planned work; the second begins with all faults and has requests that crash
/// replicas by a part of their prompt; in the third, instances also state that they leave and rest; in the fourth,
/// the store also returns from older copies; in the last, there are only plain instances.
fn plans() -> [SoakPlan; 5] {
    let plan = |seed| SoakPlan::new(seed, LENGTH, NODES);
    [
        plan(2),
        plan(3),
        SoakPlan { has_notices: true, ..plan(4) },
        SoakPlan { has_returns: true, ..plan(5) },
        SoakPlan { only_plain: true, ..plan(7) },
    ]
}

// One after the other, since the daemons of a process share their ports.
#[tokio::test(flavor = "multi_thread")]
async fn serving_soak_short() {
    for plan in plans() {
        let report = serving_soak::soak(&plan).await.expect("a run of the soak");
        let seed = plan.seed;
        assert_eq!(report.violations, Vec::<String>::new(), "seed {seed}: {report}");
        assert!(report.count(Outcome::Answered) > 0, "seed {seed}: {report}");
    }
}
