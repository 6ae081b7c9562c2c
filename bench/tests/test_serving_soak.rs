//! A short serving soak with a fixed seed.

use guavaladder_bench::serving_soak;
use std::time::Duration;

/// Enough for the faults of six seconds and the recovery.
const LENGTH: Duration = Duration::from_secs(14);
const SEED: u64 = 2;
const NODES: u8 = 3;

#[tokio::test(flavor = "multi_thread")]
async fn serving_soak_short() {
    let tally =
        serving_soak::soak(SEED, LENGTH, NODES, None, false).await.expect("a run of the soak");
    assert_eq!(tally.violations, Vec::<String>::new(), "{tally:?}");
    assert!(tally.outcomes["answered"] > 0, "{tally:?}");
}
