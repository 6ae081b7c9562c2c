//! The replicas that requests can be sent to, derived from the registered instances.
//!
//! A replica is a plain instance, or a group whose members all report that they belong to it. There is
//! no separate record of a group: the reports of its members are the only source of truth.

use crate::fleet_config::FleetConfig;
use crate::instance::Instance;
use crate::instance::InstanceId;
use crate::instance::Membership;
use crate::instance::MembershipState;
use crate::key_hash::key_hash;
use crate::rate_limits::RunHash;
use crate::rate_limits::run_hash;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Identity of a replica: name and epoch of a group, or id and start time of an instance.
pub type ReplicaKey = String;

/// A replica that accepts requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Replica {
    /// Identity of the replica.
    pub key: ReplicaKey,
    /// Hash of `key`.
    pub hash: u64,
    /// Name of the service.
    pub service: String,
    /// Instance that accepts the requests: the head of a group, or the plain instance itself.
    pub instance: InstanceId,
    /// Hash of that run of the instance.
    pub run: RunHash,
    /// Address of that instance.
    pub address: SocketAddr,
    /// Data centre of that instance.
    pub data_centre: String,
    /// Number of requests that the replica runs concurrently.
    pub slots: u32,
    /// Model that a group serves; `None` for a plain instance.
    pub model: Option<String>,
    /// Whether it is another node, to which a node without links to the instances passes requests on.
    pub is_node: bool,
    /// All members with their addresses, the head first.
    pub members: Vec<(InstanceId, SocketAddr)>,
}

/// Immutable set of all replicas at one point in time.
#[derive(Debug, Default)]
pub struct ReplicaSet {
    /// Replicas by service, sorted by key.
    by_service: HashMap<String, Vec<Arc<Replica>>>,
}

impl ReplicaSet {
    /// Derives the replicas from the registered instances. A group remains a replica while entries of its
    /// members have expired, as long as its head is registered.
    pub fn derive<'a>(
        registered: impl Iterator<Item = &'a Instance>,
        expired: impl Iterator<Item = &'a Instance>,
        config: &FleetConfig,
    ) -> Self {
        let mut groups: BTreeMap<(&str, u64), Vec<Member<'_>>> = BTreeMap::new();
        let mut by_service: HashMap<String, Vec<Arc<Replica>>> = HashMap::new();
        let registered = registered.map(|instance| (instance, true));
        for (instance, is_registered) in registered.chain(expired.map(|i| (i, false))) {
            let Some(service) = config.services.get(&instance.service) else { continue };
            if service.engine.is_none() {
                if is_registered && !instance.is_draining {
                    let replicas = by_service.entry(instance.service.clone()).or_default();
                    replicas.push(Arc::new(plain_replica(instance)));
                }
                continue;
            }
            if let Some(membership) = &instance.engine.membership {
                let members = groups.entry((&membership.group, membership.epoch)).or_default();
                members.push(Member { instance, membership, is_registered });
            }
        }
        for ((name, epoch), members) in groups {
            if let Some(replica) = group_replica(name, epoch, members, config) {
                by_service.entry(replica.service.clone()).or_default().push(Arc::new(replica));
            }
        }
        for replicas in by_service.values_mut() {
            replicas.sort_by(|a, b| a.key.cmp(&b.key));
        }
        Self { by_service }
    }

    /// Returns the replicas of a service.
    pub fn of_service(&self, service: &str) -> &[Arc<Replica>] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns all replicas.
    pub fn all(&self) -> impl Iterator<Item = &Arc<Replica>> {
        self.by_service.values().flatten()
    }

    /// Returns the services that have replicas.
    pub fn services(&self) -> impl Iterator<Item = &String> {
        self.by_service.keys()
    }
}

fn plain_replica(instance: &Instance) -> Replica {
    let key = format!("{}@{}", instance.id, instance.engine.born_ms);
    Replica {
        hash: key_hash(key.as_bytes()),
        key,
        service: instance.service.clone(),
        instance: instance.id.clone(),
        run: run_hash(&instance.id, instance.engine.born_ms),
        address: instance.address,
        data_centre: instance.data_centre.clone(),
        slots: instance.slots,
        model: None,
        is_node: false,
        members: vec![(instance.id.clone(), instance.address)],
    }
}

/// Returns the key of the replica that a group forms.
pub fn group_key(name: &str, epoch: u64) -> ReplicaKey {
    format!("{name}#{epoch}")
}

/// An instance with its membership in a group.
#[derive(Clone, Copy)]
struct Member<'a> {
    instance: &'a Instance,
    membership: &'a Membership,
    is_registered: bool,
}

/// Returns the replica of a group that is complete and open.
fn group_replica(
    name: &str,
    epoch: u64,
    mut members: Vec<Member<'_>>,
    config: &FleetConfig,
) -> Option<Replica> {
    members.sort_by_key(|member| member.membership.rank);
    let Member { instance: head, membership, is_registered } = *members.first()?;
    let engine = config.engine(&head.service)?;
    let model = engine.model(head.engine.model.as_deref()?)?;
    let has_every_rank = members.len() == model.size
        && members.iter().enumerate().all(|(rank, member)| member.membership.rank == rank);
    let is_usable = |Member { instance, membership, .. }: &Member<'_>| {
        let is_ready = matches!(membership.state, MembershipState::Ready | MembershipState::Open);
        is_ready && !instance.is_draining && instance.service == head.service
    };
    let is_open = membership.state == MembershipState::Open;
    if !is_registered || !is_open || !has_every_rank || !members.iter().all(is_usable) {
        return None;
    }
    let key = group_key(name, epoch);
    Some(Replica {
        hash: key_hash(key.as_bytes()),
        key,
        service: head.service.clone(),
        instance: head.id.clone(),
        run: run_hash(&head.id, head.engine.born_ms),
        address: head.address,
        data_centre: head.data_centre.clone(),
        slots: engine.slots,
        model: Some(model.name.clone()),
        is_node: false,
        members: members.iter().map(|m| (m.instance.id.clone(), m.instance.address)).collect(),
    })
}
