//! Keeps the instance view current: a few nodes of each region poll the platform's instance list
//! and publish it in the object view, one object for each fabric domain; the other nodes get these
//! objects from peers.

use crate::cx::Cx;
use crate::election;
use crate::generated::platform::InstanceInfo;
use crate::ids::ObjectVersion;
use crate::member_view::Member;
use crate::member_view::MemberState;
use crate::object_view::ViewedObject;
use crate::platform::InstanceList;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

/// Prefix of the shared objects that hold the list.
pub const INSTANCES_PREFIX: &str = "instances/";
/// Nodes of a region that poll the list.
const POLLERS: usize = 2;
/// Election subject of the pollers.
const POLLER_SUBJECT: &str = "instances";
/// Period of the polls.
const POLL_PERIOD: Duration = Duration::from_secs(1);
/// Timeout of a poll.
const POLL_TIMEOUT: Duration = Duration::from_secs(2);
/// Low bits of an object's version that hold a hash of its content.
///
/// Two pollers may change the same object at the same time; the hash makes their versions differ,
/// so that all nodes keep the same one.
const HASH_BITS: u32 = 20;

/// Polls the instance list while this node is an elected poller, until shutdown.
pub async fn poll(cx: Cx, list: Arc<dyn InstanceList>, shutdown: CancellationToken) {
    let mut ticks = cx.timers.subscribe(Duration::ZERO, POLL_PERIOD).await;
    loop {
        let tick = tokio::select! {
            tick = ticks.next() => tick,
            () = shutdown.cancelled() => return,
        };
        if tick.is_none() {
            return;
        }
        if !is_poller(&cx) {
            continue;
        }
        if let Ok(Ok(instances)) = timeout(POLL_TIMEOUT, list.instances()).await
            && !instances.is_empty()
        {
            publish(&cx, &instances);
        }
    }
}

/// Updates the instance view whenever the shared objects change, until shutdown.
pub async fn update_view(cx: Cx, shutdown: CancellationToken) {
    let mut changes = cx.view.subscribe();
    let mut seen: Vec<(String, ObjectVersion)> = vec![];
    loop {
        let objects = cx.view.list(INSTANCES_PREFIX);
        let versions: Vec<_> = objects.iter().map(|o| (o.key.clone(), o.version)).collect();
        if versions != seen {
            cx.instances.replace(parse(&objects));
            seen = versions;
        }
        tokio::select! {
            changed = changes.changed() => if changed.is_err() { return },
            () = shutdown.cancelled() => return,
        }
    }
}

/// Publishes the parts of an instance list that differ from the object view.
pub fn publish(cx: &Cx, instances: &[InstanceInfo]) {
    let mut by_key: BTreeMap<String, Vec<&InstanceInfo>> = BTreeMap::new();
    for instance in instances {
        let key = format!("{INSTANCES_PREFIX}{}/{}", instance.data_centre, instance.domain);
        by_key.entry(key).or_default().push(instance);
    }
    for known in cx.view.list(INSTANCES_PREFIX) {
        if !by_key.contains_key(&known.key) {
            let version = next_version(known.version, "");
            cx.view.apply(ViewedObject { version, value: None, ..known });
        }
    }
    for (key, mut instances) in by_key {
        instances.sort_by(|a, b| a.instance.cmp(&b.instance));
        let Ok(text) = serde_json::to_string(&instances) else { continue };
        let known = cx.view.list_with_tombstones(&key).into_iter().find(|o| o.key == key);
        let is_known =
            known.as_ref().and_then(|o| o.value.as_deref()).is_some_and(|value| value == text);
        if !is_known {
            let version = next_version(known.map_or(0, |object| object.version), &text);
            let value = Some(Arc::from(text.as_str()));
            cx.view.apply(ViewedObject { key, version, value });
        }
    }
}

fn is_poller(cx: &Cx) -> bool {
    let members = cx.members.get();
    let is_candidate =
        |member: &&Member| member.region == cx.settings.region && member.state == MemberState::Live;
    let nodes = members.values().filter(is_candidate).map(|member| member.node.as_str());
    let elected = election::elect(POLLER_SUBJECT, nodes, POLLERS);
    // A node that knows no members yet polls the list to find its peers.
    elected.is_empty() || elected.iter().any(|node| node == cx.node())
}

fn next_version(known: ObjectVersion, text: &str) -> ObjectVersion {
    let hash = blake3::hash(text.as_bytes());
    let bytes = hash.as_bytes();
    let hash = u64::from_le_bytes([bytes[0], bytes[1], bytes[2], 0, 0, 0, 0, 0]);
    (((known >> HASH_BITS) + 1) << HASH_BITS) | (hash & ((1 << HASH_BITS) - 1))
}

fn parse(objects: &[ViewedObject]) -> Vec<InstanceInfo> {
    let lists = objects.iter().filter_map(|object| object.value.as_deref());
    lists
        .filter_map(|text| serde_json::from_str::<Vec<InstanceInfo>>(text).ok())
        .flatten()
        .collect()
}
