//! Generates the load that gossip carries for the other components of a node: records of fabric
//! domains with their renewals, and shared facts that change.

use guavaladder_lib::cx::Cx;
use guavaladder_lib::entries::NodeLoad;
use guavaladder_lib::facts::FactKind;
use guavaladder_lib::generated::engine::GroupRole;
use guavaladder_lib::generated::groups::DomainRecord;
use guavaladder_lib::generated::groups::GroupMember;
use guavaladder_lib::generated::groups::GroupRecord;
use guavaladder_lib::generated::groups::GroupState;
use guavaladder_lib::generated::platform::InstanceInfo;
use guavaladder_lib::generated::platform::InstanceRole;
use guavaladder_lib::generated::platform::InstanceState;
use guavaladder_testutils::fake_store::FakeStore;
use guavaladder_testutils::node_fleet::NodeFleet;
use std::time::Duration;

/// Number of instances in a group.
const MEMBERS_PER_GROUP: usize = 8;
/// Number of groups in a fabric domain.
const GROUPS_PER_DOMAIN: usize = 6;
/// Duration of a domain's lease.
const LEASE_DURATION: Duration = Duration::from_secs(10);
/// Period of lease renewals.
const RENEWAL_PERIOD: Duration = Duration::from_millis(3333);
/// Period at which a node publishes its facts.
const PUBLISH_PERIOD: Duration = Duration::from_secs(1);
/// Number of customers whose usage a node publishes.
const CUSTOMERS_PER_NODE: usize = 10;
/// Encoded size of one customer's usage in bytes.
const CUSTOMER_BYTES: usize = 8;
/// Number of replicas whose load a node publishes.
const REPLICAS_PER_NODE: usize = 24;
/// Encoded size of one replica's load in bytes.
const REPLICA_BYTES: usize = 12;

/// Domain records that are renewed periodically during a measurement.
pub struct FleetLoad {
    domains: Vec<DomainRecord>,
}

impl FleetLoad {
    /// Creates the domain records of `replicas` groups, distributed over the data centres.
    pub fn new(replicas: usize, data_centres: usize) -> Self {
        let count = replicas.div_ceil(GROUPS_PER_DOMAIN);
        let domain = |index: usize| {
            let groups = GROUPS_PER_DOMAIN.min(replicas - index * GROUPS_PER_DOMAIN);
            domain_record(index, index % data_centres, data_centres, groups)
        };
        Self { domains: (0..count).map(domain).collect() }
    }

    /// Writes the records to the store and the instances to the instance list.
    pub fn fill(&self, fleet: &NodeFleet) {
        let mut instances = vec![];
        for domain in &self.domains {
            write(&fleet.store, domain);
            for member in domain.groups.iter().flat_map(|group| &group.members) {
                instances.push(instance(domain, member));
            }
        }
        fleet.list.set(instances);
    }

    /// Starts the tasks that renew the leases and publish the facts, with staggered start times.
    pub fn start(&self, fleet: &NodeFleet) {
        for (index, domain) in self.domains.iter().enumerate() {
            let fraction = index as f64 / self.domains.len() as f64;
            tokio::spawn(renew(
                fleet.store.clone(),
                domain.clone(),
                RENEWAL_PERIOD.mul_f64(fraction),
            ));
        }
        for (index, node) in fleet.nodes.values().enumerate() {
            let fraction = index as f64 / fleet.nodes.len() as f64;
            tokio::spawn(publish(node.cx.clone(), PUBLISH_PERIOD.mul_f64(fraction)));
        }
    }
}

async fn renew(store: FakeStore, mut domain: DomainRecord, delay: Duration) {
    tokio::time::sleep(delay).await;
    loop {
        domain.renewals += 1;
        domain.write_id = format!("{}-{}", domain.owner, domain.renewals);
        write(&store, &domain);
        tokio::time::sleep(RENEWAL_PERIOD).await;
    }
}

async fn publish(cx: Cx, delay: Duration) {
    tokio::time::sleep(delay).await;
    for round in 0u64.. {
        let fill = |len: usize| (0..len).map(|i| (i as u64 + round) as u8).collect::<Vec<u8>>();
        let load = NodeLoad { running: (round % 50) as u32, capacity: 200 };
        let put = |kind, value| cx.facts.publish(cx.node(), cx.incarnation, kind, value);
        put(FactKind::NodeLoad, load.encode());
        put(FactKind::CustomerUsage, fill(CUSTOMERS_PER_NODE * CUSTOMER_BYTES));
        put(FactKind::ReplicaLoad, fill(REPLICAS_PER_NODE * REPLICA_BYTES));
        tokio::time::sleep(PUBLISH_PERIOD).await;
    }
}

fn write(store: &FakeStore, domain: &DomainRecord) {
    if let Ok(text) = serde_json::to_string(domain) {
        store.seed(&format!("domains/{}", domain.domain), &text);
    }
}

fn domain_record(
    index: usize,
    data_centre: usize,
    data_centres: usize,
    groups: usize,
) -> DomainRecord {
    let region = if data_centre < data_centres.div_ceil(2) { "r1" } else { "r2" };
    let domain = format!("fabric-{index}");
    let groups = (0..groups).map(|group| group_record(&domain, index, group)).collect();
    DomainRecord {
        data_centre: format!("dc{}", data_centre + 1),
        region: region.to_string(),
        owner: format!("n{}", index + 1),
        epoch: 1,
        lease: LEASE_DURATION,
        renewals: 0,
        write_id: String::new(),
        unavailable: vec![],
        groups,
        domain,
    }
}

fn group_record(domain: &str, index: usize, group: usize) -> GroupRecord {
    let member = |shard: usize| GroupMember {
        instance: format!("{domain}-{}", group * MEMBERS_PER_GROUP + shard),
        address: format!("10.{}.{}.{}:9000", 100 + index / 250, index % 250, group * 8 + shard),
    };
    GroupRecord {
        group: format!("{domain}-g{group}"),
        service: "drafting".to_string(),
        epoch: 1,
        state: GroupState::Serving,
        members: (0..MEMBERS_PER_GROUP).map(member).collect(),
        standbys: vec![],
        model: "drafting-70b".to_string(),
        version: "1".to_string(),
        adapter: None,
        role: GroupRole::Full,
        generation: 1,
        loads: 0,
    }
}

fn instance(domain: &DomainRecord, member: &GroupMember) -> InstanceInfo {
    InstanceInfo {
        instance: member.instance.clone(),
        address: member.address.clone(),
        role: InstanceRole::Engine,
        domain: domain.domain.clone(),
        data_centre: domain.data_centre.clone(),
        region: domain.region.clone(),
        accelerators: 1,
        kind: "fenced".to_string(),
        service: None,
        state: InstanceState::Live,
    }
}
