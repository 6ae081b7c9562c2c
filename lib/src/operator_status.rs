//! Status of the fleet for the operator API: nodes, services and instances as this node sees them.

use crate::config_change;
use crate::cx::Cx;
use crate::generated::config::Exception;
use crate::generated::config::ExceptionKind;
use crate::generated::config::FleetConfig;
use crate::generated::config::Service;
use crate::generated::config::ServiceKind;
use crate::generated::groups::DomainRecord;
use crate::generated::groups::GroupRecord;
use crate::generated::groups::GroupState;
use crate::generated::operator::InstanceStatus;
use crate::generated::operator::NodeStatus;
use crate::generated::operator::ServiceStatus;
use crate::generated::operator::StatusReply;
use crate::generated::platform::InstanceInfo;
use crate::generated::platform::InstanceRole;
use crate::generated::platform::InstanceState;
use crate::member_view::Member;
use crate::member_view::MemberState;
use std::collections::BTreeMap;
use std::time::Duration;

/// Key prefix of the records of fabric domains in the store.
const DOMAIN_PREFIX: &str = "domains/";

/// Groups of all fabric domains by the ids of their member instances.
type Assignments = BTreeMap<String, GroupRecord>;

/// Returns a summary of the fleet.
pub fn status(cx: &Cx, store_available: Option<bool>) -> StatusReply {
    let instances = cx.instances.get();
    let upstreams = || instances.iter().filter(|info| info.role != InstanceRole::Entry);
    let in_state = |state| upstreams().filter(|info| info.state == state).count() as u32;
    let assignments = assignments(cx);
    let live_engines: Vec<&InstanceInfo> =
        upstreams().filter(|info| is_live_engine(info)).collect();
    let state_of = |info: &InstanceInfo| assignments.get(&info.instance).map(|group| group.state);
    let unassigned = live_engines.iter().filter(|info| state_of(info).is_none()).count();
    let stranded = live_engines.iter().filter(|info| state_of(info) != Some(GroupState::Serving));
    StatusReply {
        node: cx.node().to_string(),
        program_version: env!("CARGO_PKG_VERSION").to_string(),
        config_version: cx.config.get().map(|record| record.version),
        store_available,
        nodes: cx.members.get().values().map(|member| node_status(cx, member)).collect(),
        services: services(cx, false),
        instances_live: in_state(InstanceState::Live),
        instances_leaving: in_state(InstanceState::Leaving),
        instances_unassigned: unassigned as u32,
        accelerators_stranded: stranded.map(|info| info.accelerators).sum(),
    }
}

/// Returns the status of all services, with their groups if `with_groups` is set.
pub fn services(cx: &Cx, with_groups: bool) -> Vec<ServiceStatus> {
    let Some(record) = cx.config.get() else { return vec![] };
    let groups = groups(cx);
    let status = |(id, service): (&String, &Service)| {
        let wanted = wanted_replicas(&record.config, id, service, cx.clock.unix());
        match service.kind {
            ServiceKind::Engine => engine_service(id, wanted, &groups, with_groups),
            ServiceKind::Plain => plain_service(cx, id, wanted),
        }
    };
    record.config.services.iter().map(status).collect()
}

/// Returns all instances, both upstreams and entry nodes, with their groups.
pub fn instances(cx: &Cx) -> Vec<InstanceStatus> {
    let assignments = assignments(cx);
    let config = cx.config.get();
    let exceptions = config.as_ref().map_or(&[][..], |record| &record.config.exceptions);
    let now = cx.clock.unix();
    let status = |info: &InstanceInfo| {
        let group = assignments.get(&info.instance);
        let applies = |exception: &&Exception| applies_to_instance(exception, info, now);
        InstanceStatus {
            info: info.clone(),
            group: group.map(|group| group.group.clone()),
            service: group.map(|group| group.service.clone()),
            group_state: group.map(|group| group.state),
            exception: exceptions.iter().find(applies).map(|exception| exception.id.clone()),
        }
    };
    let mut instances: Vec<InstanceStatus> = cx.instances.get().iter().map(status).collect();
    instances.sort_by(|a, b| a.info.instance.cmp(&b.info.instance));
    instances
}

/// Returns the name of a member state in responses of the operator API.
pub fn state_name(state: MemberState) -> &'static str {
    match state {
        MemberState::Live => "live",
        MemberState::Suspect => "suspect",
        MemberState::Leaving => "leaving",
        MemberState::Dead => "dead",
    }
}

fn node_status(cx: &Cx, member: &Member) -> NodeStatus {
    let confirmed = config_change::confirmed_version(cx, member);
    NodeStatus {
        node: member.node.clone(),
        state: state_name(member.state).to_string(),
        data_centre: member.data_centre.clone(),
        region: member.region.clone(),
        caller_address: member.caller_address.clone(),
        operator_address: member.operator_address.clone(),
        config_version: Some(confirmed).filter(|version| *version > 0),
    }
}

fn engine_service(
    id: &str,
    wanted: u32,
    groups: &[GroupRecord],
    with_groups: bool,
) -> ServiceStatus {
    let own: Vec<&GroupRecord> = groups.iter().filter(|group| group.service == id).collect();
    let in_states = |states: &[GroupState]| {
        own.iter().filter(|group| states.contains(&group.state)).count() as u32
    };
    ServiceStatus {
        service: id.to_string(),
        kind: ServiceKind::Engine,
        wanted,
        serving: in_states(&[GroupState::Serving]),
        assembling: in_states(&[GroupState::Reserved, GroupState::Loading, GroupState::Verifying]),
        draining: in_states(&[GroupState::Draining]),
        instances: own.iter().map(|group| group.members.len() as u32).sum(),
        groups: if with_groups { own.into_iter().cloned().collect() } else { vec![] },
    }
}

fn plain_service(cx: &Cx, id: &str, wanted: u32) -> ServiceStatus {
    let instances = cx.instances.get();
    let own = || instances.iter().filter(|info| info.service.as_deref() == Some(id));
    let in_state = |state| own().filter(|info| info.state == state).count() as u32;
    ServiceStatus {
        service: id.to_string(),
        kind: ServiceKind::Plain,
        wanted,
        serving: in_state(InstanceState::Live),
        assembling: 0,
        draining: in_state(InstanceState::Leaving),
        instances: own().count() as u32,
        groups: vec![],
    }
}

fn wanted_replicas(config: &FleetConfig, id: &str, service: &Service, now: Duration) -> u32 {
    let overridden = |exception: &Exception| match &exception.what {
        ExceptionKind::ServiceReplicas(other) if other.service == id => Some(other.replicas),
        _ => None,
    };
    let active = config.exceptions.iter().filter(|exception| is_active(exception, now));
    active.filter_map(overridden).next_back().unwrap_or(service.replicas)
}

fn applies_to_instance(exception: &Exception, info: &InstanceInfo, now: Duration) -> bool {
    let is_named = match &exception.what {
        ExceptionKind::ExcludeInstance(id) | ExceptionKind::CordonInstance(id) => {
            *id == info.instance
        }
        ExceptionKind::PinInstance(pin) => pin.instance == info.instance,
        ExceptionKind::CordonDomain(id) => *id == info.domain,
        ExceptionKind::ServiceReplicas(_) => false,
    };
    is_named && is_active(exception, now)
}

fn is_active(exception: &Exception, now: Duration) -> bool {
    exception.expires_unix.is_none_or(|at| now < at)
}

fn is_live_engine(info: &InstanceInfo) -> bool {
    info.role == InstanceRole::Engine && info.state == InstanceState::Live
}

fn groups(cx: &Cx) -> Vec<GroupRecord> {
    let parse = |text: &str| serde_json::from_str::<DomainRecord>(text).ok();
    let domains = cx.view.list(DOMAIN_PREFIX);
    let records = domains.iter().filter_map(|object| object.value.as_deref().and_then(parse));
    records.flat_map(|record| record.groups).collect()
}

fn assignments(cx: &Cx) -> Assignments {
    let mut assignments = Assignments::new();
    for group in groups(cx) {
        for member in &group.members {
            assignments.insert(member.instance.clone(), group.clone());
        }
    }
    assignments
}
