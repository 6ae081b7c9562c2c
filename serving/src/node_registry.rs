//! Registration of the nodes in the store, through which they discover each other, and the key that
//! authenticates their messages.
//!
//! A node creates one small object when it starts and deletes it when it stops. The node that holds
//! the lease on the groups deletes the objects of nodes that crashed. After the store has returned from an older
//! copy, each node writes its object again if it is missing, and checks the key: the one in the store counts,
//! which the first node that finds none writes.

use crate::dialect::ObjectKind;
use crate::dialect::StoredObject;
use crate::peer_codec::PeerKey;
use crate::serving_cx::ServingCx;
use crate::store::StoreError;
use guavaladder_lib::generated::events::Event;
use guavaladder_lib::generated::serving_peer::NodePhase;
use serde_json::json;
use std::net::IpAddr;
use std::time::Duration;
use tokio::time::Instant;
use tokio::time::sleep;

/// Name of the object that holds the key.
const KEY_NAME: &str = "peers";
/// Length of the key in bytes.
const KEY_LEN: usize = 32;
/// Interval between reads of the registered nodes while this node receives heartbeats.
const READ_PERIOD: Duration = Duration::from_secs(60);
/// Interval between reads of the registered nodes while no other node is live.
const ISOLATED_READ_PERIOD: Duration = Duration::from_millis(1500);
/// Time without a heartbeat after which a registered node is deleted from the store.
const DEAD_AFTER: Duration = Duration::from_secs(30);
/// Maximum of the random delay before a node reads its objects after the store returned from an older copy.
const MAX_RESTORE_DELAY: Duration = Duration::from_millis(500);

/// Returns the key that authenticates messages between nodes, and creates it if there is none.
///
/// Retries until the store responds.
pub async fn peer_key(cx: &ServingCx) -> PeerKey {
    loop {
        match read_or_create_key(cx).await {
            Ok(Some(key)) => return key,
            Ok(None) => {}
            Err(e) => log::debug!("failed to read the fleet key: {e}"),
        }
        sleep(cx.store.retry_delay()).await;
    }
}

async fn read_or_create_key(cx: &ServingCx) -> Result<Option<PeerKey>, StoreError> {
    let key: PeerKey = rand::random();
    let object = encode_key(&key);
    // The nodes of a new fleet start together and none finds a key, so a read before the create would
    // cost each of them one more call.
    match cx.store.create(ObjectKind::FleetKey, &object).await {
        Ok(object) => Ok(decode_key(&object)),
        Err(StoreError::Conflict(Some(existing))) => Ok(decode_key(&existing)),
        Err(StoreError::Conflict(None)) => {
            let existing = cx.store.get(ObjectKind::FleetKey, KEY_NAME).await?;
            Ok(existing.as_ref().and_then(decode_key))
        }
        Err(e) => Err(e),
    }
}

fn encode_key(key: &PeerKey) -> StoredObject {
    let text: String = key.iter().map(|byte| format!("{byte:02x}")).collect();
    let content = json!({"key": text});
    StoredObject { name: KEY_NAME.to_string(), content, ..Default::default() }
}

fn decode_key(object: &StoredObject) -> Option<PeerKey> {
    let text = object.content["key"].as_str()?;
    let byte = |i: usize| u8::from_str_radix(text.get(2 * i..2 * i + 2)?, 16).ok();
    let bytes: Vec<u8> = (0..KEY_LEN).map_while(byte).collect();
    bytes.try_into().ok()
}

/// Registers this node, then reads the registered nodes periodically until the task is cancelled.
pub async fn run(cx: ServingCx) {
    register(&cx).await;
    let mut checked_era = cx.store.era().current();
    loop {
        let era = cx.store.era().current();
        if era != checked_era {
            match restore_key(&cx).await {
                Ok(()) => checked_era = era,
                Err(e) => {
                    log::debug!("failed to check the fleet key: {e}");
                    sleep(cx.store.retry_delay()).await;
                    continue;
                }
            }
        }
        match cx.store.list(ObjectKind::Nodes).await {
            Ok((objects, _)) => {
                if !is_registered(&cx, &objects) && cx.phase() != NodePhase::Leaving {
                    register(&cx).await;
                }
                let node = |object: &StoredObject| {
                    let address: IpAddr = object.content["address"].as_str()?.parse().ok()?;
                    Some((object.name.clone(), address))
                };
                let registered: Vec<(String, IpAddr)> = objects.iter().filter_map(node).collect();
                cx.nodes.set_registered(&registered);
                delete_dead_nodes(&cx, &objects).await;
            }
            Err(e) => {
                log::debug!("failed to read the registered nodes: {e}");
                sleep(cx.store.retry_delay()).await;
                continue;
            }
        }
        let now = Instant::now();
        let is_isolated = cx.nodes.live(now, cx.heartbeat_period()).is_empty();
        tokio::select! {
            () = sleep(if is_isolated { ISOLATED_READ_PERIOD } else { READ_PERIOD }) => {}
            () = cx.store.era().changed_from(era) => {
                sleep(MAX_RESTORE_DELAY.mul_f64(rand::random_range(0.0..1.0))).await;
            }
        }
    }
}

/// Returns whether the object of this run of the node is among those in the store.
fn is_registered(cx: &ServingCx, objects: &[StoredObject]) -> bool {
    objects.iter().any(|object| {
        object.name == cx.node() && object.content["incarnation"].as_u64() == Some(cx.incarnation)
    })
}

/// Writes the fleet key again if the store has lost it, or takes over the one that it holds.
async fn restore_key(cx: &ServingCx) -> Result<(), StoreError> {
    // A node that does not know the key yet is about to read or create it.
    let Some(own) = cx.peer_key.get() else { return Ok(()) };
    let (found, outcome) = match cx.store.get(ObjectKind::FleetKey, KEY_NAME).await? {
        Some(object) => (decode_key(&object), "taken over"),
        None => match cx.store.create(ObjectKind::FleetKey, &encode_key(&own)).await {
            Ok(object) => (decode_key(&object), "written again"),
            Err(StoreError::Conflict(Some(object))) => (decode_key(&object), "taken over"),
            Err(e) => return Err(e),
        },
    };
    let Some(found) = found else { return Ok(()) };
    if found != own || outcome == "written again" {
        cx.peer_key.set(found);
        cx.log.record(Event::FleetKeyReplaced { outcome: outcome.to_string() });
    }
    Ok(())
}

async fn register(cx: &ServingCx) {
    let content = json!({
        "address": cx.settings.callers.ip(),
        "data_centre": cx.settings.data_centre,
        "incarnation": cx.incarnation,
    });
    let object = StoredObject { name: cx.node().to_string(), content, ..Default::default() };
    loop {
        let created = cx.store.create(ObjectKind::Nodes, &object).await;
        let registered = match created {
            // The object was left by an earlier run of this node.
            Err(StoreError::Conflict(_)) => cx.store.replace(ObjectKind::Nodes, &object).await,
            other => other,
        };
        match registered {
            Ok(_) => return,
            Err(e) => {
                log::debug!("failed to register this node: {e}");
                sleep(cx.store.retry_delay()).await;
            }
        }
    }
}

/// Deletes this node's object. A failure is not retried, since the node that holds the lease on the
/// groups deletes the objects that remain.
pub async fn unregister(cx: &ServingCx) {
    let deleted = match cx.store.get(ObjectKind::Nodes, cx.node()).await {
        Ok(Some(object)) => cx.store.delete(ObjectKind::Nodes, cx.node(), object.revision).await,
        Ok(None) => Ok(()),
        Err(e) => Err(e),
    };
    if let Err(e) = deleted {
        log::info!("failed to delete this node's object from the store: {e}");
    }
}

/// Deletes the objects of nodes that sent no heartbeat for `DEAD_AFTER`, if this node holds the lease
/// on the groups and has itself run for longer than that.
async fn delete_dead_nodes(cx: &ServingCx, objects: &[StoredObject]) {
    let now = Instant::now();
    let has_run_long_enough =
        cx.clock.unix().as_millis() as u64 > cx.incarnation + DEAD_AFTER.as_millis() as u64;
    if cx.lease.term().is_none() || !has_run_long_enough {
        return;
    }
    for node in cx.nodes.silent_registered(now, DEAD_AFTER) {
        let Some(object) = objects.iter().find(|object| object.name == node) else { continue };
        match cx.store.delete(ObjectKind::Nodes, &node, object.revision).await {
            Ok(()) => cx.log.record(Event::NodeSilent { node, silent_for: DEAD_AFTER }),
            Err(e) => log::debug!("failed to delete the object of {node}: {e}"),
        }
    }
}
