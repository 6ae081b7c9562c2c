//! Route table of a node: the replicas of each service, built from the domain records, the instance
//! list and the upstreams that reported that they are leaving.

use crate::cx::Cx;
use crate::generated::config::Exception;
use crate::generated::config::ExceptionKind;
use crate::generated::events::Event;
use crate::generated::groups::DomainRecord;
use crate::generated::groups::GroupRecord;
use crate::generated::groups::GroupState;
use crate::generated::platform::InstanceInfo;
use crate::generated::platform::InstanceRole;
use crate::generated::platform::InstanceState;
use crate::ids::InstanceId;
use crate::ids::ServiceId;
use crate::replica::Replica;
use crate::replica::ReplicaIdentity;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

/// Key prefix of the domain records in the store.
const DOMAIN_RECORD_PREFIX: &str = "domains/";

/// Replicas of one service.
pub type Replicas = Arc<Vec<Arc<Replica>>>;

/// Cloneable handle to the route table.
#[derive(Debug, Clone)]
pub struct RouteTable {
    cx: Cx,
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug, Default)]
struct Inner {
    services: HashMap<ServiceId, Replicas>,
    /// Parsed records by key, with the object's version so that an unchanged record is not parsed
    /// again.
    records: BTreeMap<String, (u64, Arc<DomainRecord>)>,
    leaving: BTreeSet<InstanceId>,
}

impl RouteTable {
    /// Creates a table from the current views.
    pub fn new(cx: Cx) -> Self {
        let table = Self { cx, inner: Arc::default() };
        table.rebuild(&BTreeSet::new());
        table
    }

    /// Returns the replicas of a service; empty if it has none.
    pub fn replicas(&self, service: &str) -> Replicas {
        self.lock().services.get(service).cloned().unwrap_or_default()
    }

    /// Returns the services that have routes.
    pub fn services(&self) -> Vec<ServiceId> {
        self.lock().services.keys().cloned().collect()
    }

    /// Rebuilds the routes; `reported_leaving` are the upstreams that reported to any node that
    /// they are leaving. A replica whose identity is unchanged keeps its state.
    pub fn rebuild(&self, reported_leaving: &BTreeSet<InstanceId>) {
        let instances = self.cx.instances.get();
        let excluded = self.excluded_instances();
        let mut inner = self.lock();
        self.refresh_records(&mut inner);
        let mut leaving = reported_leaving.clone();
        leaving.extend(listed_leaving(&instances));
        for instance in leaving.difference(&inner.leaving) {
            let source = if reported_leaving.contains(instance) { "peer" } else { "list" };
            let (instance, source) = (instance.clone(), source.to_string());
            self.cx.record(Event::UpstreamLeaving { instance, source });
        }
        let is_usable =
            |instance: &String| !leaving.contains(instance) && !excluded.contains(instance);
        let mut identities = vec![];
        for (_, record) in inner.records.values() {
            let serving = record.groups.iter().filter(|group| group.state == GroupState::Serving);
            let usable =
                serving.filter(|group| group.members.iter().all(|m| is_usable(&m.instance)));
            identities.extend(usable.filter_map(|group| group_identity(record, group)));
        }
        let plain = instances.iter().filter(|i| i.role == InstanceRole::Plain);
        identities.extend(plain.filter(|i| is_usable(&i.instance)).filter_map(plain_identity));
        let services = merge(&inner.services, identities);
        inner.services = services;
        inner.leaving = leaving;
    }

    fn refresh_records(&self, inner: &mut Inner) {
        let objects = self.cx.view.list(DOMAIN_RECORD_PREFIX);
        let keys: BTreeSet<&String> = objects.iter().map(|object| &object.key).collect();
        inner.records.retain(|key, _| keys.contains(key));
        for object in &objects {
            let is_known =
                inner.records.get(&object.key).is_some_and(|(known, _)| *known == object.version);
            let text = object.value.as_deref().unwrap_or_default();
            if is_known {
                continue;
            }
            // If a record does not parse, the routes of its previous version stay in use.
            if let Ok(record) = serde_json::from_str::<DomainRecord>(text) {
                inner.records.insert(object.key.clone(), (object.version, Arc::new(record)));
            }
        }
    }

    /// Returns the instances that exceptions of the configuration exclude from routing.
    fn excluded_instances(&self) -> BTreeSet<InstanceId> {
        let Some(record) = self.cx.config.get() else { return BTreeSet::new() };
        let unix = self.cx.clock.unix();
        let is_active = |exception: &&Exception| exception.expires_unix.is_none_or(|at| at > unix);
        let exceptions = record.config.exceptions.iter().filter(is_active);
        let excluded = exceptions.filter_map(|exception| match &exception.what {
            ExceptionKind::ExcludeInstance(instance) => Some(instance.clone()),
            _ => None,
        });
        excluded.collect()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the instances that the platform lists as leaving.
pub fn listed_leaving(instances: &[InstanceInfo]) -> impl Iterator<Item = InstanceId> {
    let leaving = instances.iter().filter(|info| info.state == InstanceState::Leaving);
    leaving.map(|info| info.instance.clone())
}

fn group_identity(record: &DomainRecord, group: &GroupRecord) -> Option<ReplicaIdentity> {
    Some(ReplicaIdentity {
        group: group.group.clone(),
        epoch: group.epoch,
        generation: group.generation,
        service: group.service.clone(),
        adapter: group.adapter.clone(),
        address: group.members.first()?.address.clone(),
        instances: group.members.iter().map(|member| member.instance.clone()).collect(),
        data_centre: record.data_centre.clone(),
        region: record.region.clone(),
    })
}

fn plain_identity(info: &InstanceInfo) -> Option<ReplicaIdentity> {
    Some(ReplicaIdentity {
        group: info.instance.clone(),
        epoch: 0,
        generation: 0,
        service: info.service.clone()?,
        adapter: None,
        address: info.address.clone(),
        instances: vec![info.instance.clone()],
        data_centre: info.data_centre.clone(),
        region: info.region.clone(),
    })
}

fn merge(
    old: &HashMap<ServiceId, Replicas>,
    identities: Vec<ReplicaIdentity>,
) -> HashMap<ServiceId, Replicas> {
    let known: HashMap<&str, &Arc<Replica>> = old
        .values()
        .flat_map(|replicas| replicas.iter())
        .map(|replica| (replica.identity.group.as_str(), replica))
        .collect();
    let mut services: HashMap<ServiceId, Vec<Arc<Replica>>> = HashMap::new();
    for identity in identities {
        let kept = known.get(identity.group.as_str()).filter(|r| r.identity == identity);
        let service = identity.service.clone();
        let replica = kept.map_or_else(|| Arc::new(Replica::new(identity)), |r| (*r).clone());
        services.entry(service).or_default().push(replica);
    }
    services.into_iter().map(|(service, replicas)| (service, Arc::new(replicas))).collect()
}
