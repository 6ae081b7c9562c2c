//! Periodic samples of wanted and serving groups, and of accelerators outside any serving group.

use crate::cx::Cx;
use crate::generated::config::ExceptionKind;
use crate::generated::config::FleetConfig;
use crate::generated::config::ServiceKind;
use crate::generated::groups::DomainRecord;
use crate::generated::groups::GroupState;
use crate::generated::platform::InstanceRole;
use crate::object_digest::DOMAIN_PREFIX;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// Service name under which the accelerators of the whole fleet are recorded.
pub const FLEET_SERVICE: &str = "(fleet)";
/// Interval between two samples.
const SAMPLE_PERIOD: Duration = Duration::from_secs(10);

/// Takes a sample in each interval until shutdown.
///
/// Every node samples the whole fleet, so a report may sum the samples of all nodes: only their
/// ratio matters, and it is the same as that of one node.
pub async fn run(cx: Cx, shutdown: CancellationToken) {
    let mut ticks = cx.timers.subscribe(SAMPLE_PERIOD, SAMPLE_PERIOD).await;
    loop {
        let tick = tokio::select! {
            tick = ticks.next() => tick,
            () = shutdown.cancelled() => return,
        };
        if tick.is_none() {
            return;
        }
        sample(&cx);
    }
}

/// Records the current groups of each service and the fleet's accelerators.
pub fn sample(cx: &Cx) {
    let Some(record) = cx.config.get() else { return };
    let mut serving: BTreeMap<String, u32> = BTreeMap::new();
    let mut used: BTreeSet<String> = BTreeSet::new();
    for object in cx.view.list(DOMAIN_PREFIX) {
        let text = object.value.as_deref().unwrap_or_default();
        let Ok(domain) = serde_json::from_str::<DomainRecord>(text) else { continue };
        for group in domain.groups {
            if group.state == GroupState::Serving {
                *serving.entry(group.service).or_default() += 1;
                used.extend(group.members.into_iter().map(|member| member.instance));
            }
        }
    }
    for (service, wanted) in wanted_groups(&record.config) {
        let serving = serving.get(&service).copied().unwrap_or(0);
        cx.service_levels.record_groups(&service, wanted, serving);
    }
    let instances = cx.instances.get();
    let engines = || instances.iter().filter(|info| info.role == InstanceRole::Engine);
    let all: u32 = engines().map(|info| info.accelerators).sum();
    let stranded = engines().filter(|info| !used.contains(&info.instance));
    let stranded: u32 = stranded.map(|info| info.accelerators).sum();
    cx.service_levels.record_accelerators(FLEET_SERVICE, all, stranded);
}

/// Returns the wanted number of groups of each engine service, with exceptions applied.
fn wanted_groups(config: &FleetConfig) -> BTreeMap<String, u32> {
    let engines = config.services.iter().filter(|(_, s)| s.kind == ServiceKind::Engine);
    let mut wanted: BTreeMap<String, u32> =
        engines.map(|(id, service)| (id.clone(), service.replicas)).collect();
    for exception in &config.exceptions {
        if let ExceptionKind::ServiceReplicas(replicas) = &exception.what
            && let Some(count) = wanted.get_mut(&replicas.service)
        {
            *count = replicas.replicas;
        }
    }
    wanted
}
