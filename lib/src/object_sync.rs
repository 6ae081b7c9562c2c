//! Keeps the object view current: a few watchers in each data centre watch the store, and the other
//! nodes get the objects from peers.

use crate::config_view::CONFIG_KEY;
use crate::cx::Cx;
use crate::election;
use crate::generated::events::Event;
use crate::generated::platform::ObjectChange;
use crate::generated::platform::VersionedObject;
use crate::ids::ObjectVersion;
use crate::member_view::MemberState;
use crate::object_digest::DOMAIN_PREFIX;
use crate::object_view::ViewedObject;
use crate::object_watch::ObjectWatch;
use crate::object_watch::WatchUpdate;
use crate::store_client::StoreClient;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// Prefixes that are watched.
pub const WATCHED_PREFIXES: &[&str] = &[CONFIG_KEY, DOMAIN_PREFIX];
/// Number of watchers of a prefix in each data centre.
pub const WATCHERS: usize = 2;
/// Delay after the start before a node may be a watcher, so that it has discovered its peers.
const JOIN_DELAY: Duration = Duration::from_millis(1200);
/// Period in which a node checks whether it is a watcher.
const ELECTION_PERIOD: Duration = Duration::from_millis(500);
/// Longest time that a watch call waits for changes.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// Delay between two watch calls, so that one call returns many changes.
const WATCH_DELAY: Duration = Duration::from_millis(150);
/// Additional delay after a failed watch call.
const FAILURE_DELAY: Duration = Duration::from_millis(500);

/// Watches a prefix while this node is an elected watcher of it, until shutdown.
pub async fn run(cx: Cx, store: StoreClient, prefix: &'static str, shutdown: CancellationToken) {
    let mut ticks = cx.timers.subscribe(JOIN_DELAY, ELECTION_PERIOD).await;
    loop {
        let tick = tokio::select! {
            tick = ticks.next() => tick,
            () = shutdown.cancelled() => return,
        };
        if tick.is_none() {
            return;
        }
        if !is_watcher(&cx, prefix) {
            continue;
        }
        let live = cx.members.get().values().filter(|m| m.state == MemberState::Live).count();
        let node = cx.node().to_string();
        let live = live as u64;
        cx.record(Event::WatcherElected { prefix: prefix.to_string(), node: node.clone(), live });
        tokio::select! {
            () = watch(&cx, &store, prefix) => {}
            () = wait_until_released(&cx, prefix) => {}
            () = shutdown.cancelled() => return,
        }
        cx.record(Event::WatcherReleased { prefix: prefix.to_string(), node });
    }
}

/// Tells whether this node watches a prefix for its data centre.
pub fn is_watcher(cx: &Cx, prefix: &str) -> bool {
    let members = cx.members.get();
    let data_centre = &cx.settings.data_centre;
    election::is_elected(&members, data_centre, &subject(prefix), cx.node(), WATCHERS)
}

fn subject(prefix: &str) -> String {
    format!("watch:{prefix}")
}

/// Waits until this node is no longer a watcher.
async fn wait_until_released(cx: &Cx, prefix: &str) {
    let mut members = cx.members.subscribe();
    while is_watcher(cx, prefix) {
        if members.changed().await.is_err() {
            return;
        }
    }
}

async fn watch(cx: &Cx, store: &StoreClient, prefix: &str) {
    let mut watch = ObjectWatch::new(store.clone(), prefix);
    loop {
        match watch.next(WATCH_WAIT).await {
            Ok(WatchUpdate::Snapshot { revision, objects }) => {
                apply_snapshot(cx, prefix, revision, &objects);
            }
            Ok(WatchUpdate::Changes(changes)) => {
                for change in changes {
                    apply_change(cx, change);
                }
            }
            Err(_) => tokio::time::sleep(FAILURE_DELAY).await,
        }
        tokio::time::sleep(WATCH_DELAY).await;
    }
}

fn apply_change(cx: &Cx, change: ObjectChange) {
    // The view never drops the configuration: a deleted one stays in effect until the next one is
    // accepted.
    if change.value.is_none() && change.key == CONFIG_KEY {
        return;
    }
    let value = change.value.map(Arc::from);
    cx.view.apply(ViewedObject { key: change.key, version: change.version, value });
}

fn apply_snapshot(cx: &Cx, prefix: &str, revision: ObjectVersion, objects: &[VersionedObject]) {
    let listed: BTreeSet<&str> = objects.iter().map(|object| object.key.as_str()).collect();
    for object in objects {
        cx.view.apply_stored(object);
    }
    for known in cx.view.list(prefix) {
        let is_gone = !listed.contains(known.key.as_str()) && known.version <= revision;
        if is_gone && known.key != CONFIG_KEY {
            cx.view.apply(ViewedObject { version: revision, value: None, ..known });
        }
    }
}
