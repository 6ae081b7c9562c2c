//! Asks instances whose entries came back with an older copy of the store whether they still work.
//!
//! Such an entry may be one of an instance that ended in between, whose address another instance may have
//! now. The instance's own report tells: an entry is used once the run that it names has answered. Instances
//! of services without an engine have no reports; their entries are used once they have stayed in the list for
//! longer than the store keeps those of instances that are silent.

use crate::fleet_view::UNPROVEN_RETENTION;
use crate::instance::Instance;
use crate::instance::InstanceId;
use crate::replica_health;
use crate::serving_cx::ServingCx;
use guavaladder_lib::generated::events::Event;
use std::collections::HashMap;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;

/// Interval between two questions to an instance, doubled after each until `MAX_CHECK_PERIOD`.
const CHECK_PERIOD: Duration = Duration::from_millis(500);
/// Maximum interval between two questions to an instance.
const MAX_CHECK_PERIOD: Duration = Duration::from_secs(4);
/// Time for which the entry of an instance without reports has to stay in the list. The store removes entries
/// after three missed heartbeats.
const PROOF_BY_ENTRY: Duration = Duration::from_secs(10);
/// Timeout for a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of instances that are asked at the same time.
const MAX_CONCURRENT: usize = 16;

/// Asks the unproven instances until the task is cancelled.
pub async fn run(cx: ServingCx) {
    loop {
        cx.fleet.unproven_added().await;
        let (mut period, mut outcomes) = (CHECK_PERIOD, HashMap::new());
        let since = Instant::now();
        loop {
            let unproven = cx.fleet.unproven();
            if unproven.is_empty() {
                break;
            }
            for some in unproven.chunks(MAX_CONCURRENT) {
                let mut checks = JoinSet::new();
                for instance in some.iter().cloned() {
                    checks.spawn(check(cx.clone(), instance, since.elapsed()));
                }
                for (instance, outcome) in checks.join_all().await {
                    let last = outcomes.insert(instance.clone(), outcome.clone());
                    if last.as_ref() != Some(&outcome) {
                        cx.log.record(Event::InstanceUnproven { instance, outcome });
                    }
                }
            }
            sleep(period).await;
            period = MAX_CHECK_PERIOD.min(period * 2);
            cx.fleet.expire_unproven(UNPROVEN_RETENTION);
        }
    }
}

/// Asks an instance for its report, and uses its entry if the run that the entry names answers. Returns its id
/// and the outcome.
async fn check(cx: ServingCx, instance: Instance, listed_for: Duration) -> (InstanceId, String) {
    let (id, address) = (&instance.id, instance.address);
    if instance.engine.domain.is_none() {
        if listed_for < PROOF_BY_ENTRY {
            return (instance.id, "it has no reports".to_string());
        }
        cx.fleet.record_proof(id, instance.engine.born_ms);
        return (instance.id, "its entry stayed".to_string());
    }
    let report = replica_health::fetch_report(&cx, id, address, "unproven", REPORT_TIMEOUT).await;
    let born_ms = instance.engine.born_ms;
    let outcome = match report {
        Ok(report) if report.engine.born_ms == born_ms => {
            cx.fleet.record_proof(id, born_ms);
            "it works".to_string()
        }
        Ok(_) => "another run answers".to_string(),
        Err(e) => e.to_string(),
    };
    (instance.id, outcome)
}
