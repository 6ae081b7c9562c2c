//! Registration of the nodes in the store, by which they find each other, and the key that
//! authenticates their messages.
//!
//! A node writes one small object at its start and removes it when it stops. The objects of nodes
//! that vanished are removed by the node that holds the lease on the groups.

use crate::dialect::ObjectKind;
use crate::dialect::StoredObject;
use crate::peer_codec::PeerKey;
use crate::serving_cx::ServingCx;
use crate::store::StoreError;
use guavaladder_lib::generated::events::Event;
use serde_json::json;
use std::net::IpAddr;
use std::time::Duration;
use tokio::time::Instant;
use tokio::time::sleep;

/// Name of the object with the key.
const KEY_NAME: &str = "peers";
/// Bytes of the key.
const KEY_LEN: usize = 32;
/// Period in which the registered nodes are read while this node hears others.
const REVIEW_PERIOD: Duration = Duration::from_secs(60);
/// The same while it hears nobody.
const LONELY_PERIOD: Duration = Duration::from_millis(1500);
/// Silence after which a registered node counts as gone for good.
const GONE_AFTER: Duration = Duration::from_secs(30);

/// Reads the key that authenticates messages between nodes, or creates it.
pub async fn peer_key(cx: &ServingCx) -> PeerKey {
    loop {
        match read_or_create_key(cx).await {
            Ok(Some(key)) => return key,
            Ok(None) => {}
            Err(e) => log::debug!("the fleet key could not be read: {e}"),
        }
        sleep(cx.store.pause()).await;
    }
}

async fn read_or_create_key(cx: &ServingCx) -> Result<Option<PeerKey>, StoreError> {
    let key: PeerKey = rand::random();
    let text: String = key.iter().map(|byte| format!("{byte:02x}")).collect();
    let content = json!({"key": text});
    let object = StoredObject { name: KEY_NAME.to_string(), content, ..Default::default() };
    // All nodes of a new fleet start together and find none, so reading first would cost each of them
    // a call more.
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

fn decode_key(object: &StoredObject) -> Option<PeerKey> {
    let text = object.content["key"].as_str()?;
    let byte = |i: usize| u8::from_str_radix(text.get(2 * i..2 * i + 2)?, 16).ok();
    let bytes: Vec<u8> = (0..KEY_LEN).map_while(byte).collect();
    bytes.try_into().ok()
}

/// Registers this node and follows the registered ones until the task is ended.
pub async fn run(cx: ServingCx) {
    register(&cx).await;
    loop {
        match cx.store.list(ObjectKind::Nodes).await {
            Ok((objects, _)) => {
                let node = |object: &StoredObject| {
                    let address: IpAddr = object.content["address"].as_str()?.parse().ok()?;
                    Some((object.name.clone(), address))
                };
                let registered: Vec<(String, IpAddr)> = objects.iter().filter_map(node).collect();
                cx.nodes.set_registered(&registered);
                remove_gone(&cx, &objects).await;
            }
            Err(e) => {
                log::debug!("the registered nodes could not be read: {e}");
                sleep(cx.store.pause()).await;
                continue;
            }
        }
        let now = Instant::now();
        let is_lonely = cx.nodes.live(now, cx.beat_period()).is_empty();
        sleep(if is_lonely { LONELY_PERIOD } else { REVIEW_PERIOD }).await;
    }
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
            // An earlier run of this node is registered.
            Err(StoreError::Conflict(_)) => cx.store.replace(ObjectKind::Nodes, &object).await,
            other => other,
        };
        match registered {
            Ok(_) => return,
            Err(e) => {
                log::debug!("this node could not be registered: {e}");
                sleep(cx.store.pause()).await;
            }
        }
    }
}

/// Removes this node's object; once, since the holder of the lease removes what is left behind.
pub async fn unregister(cx: &ServingCx) {
    let removed = match cx.store.get(ObjectKind::Nodes, cx.node()).await {
        Ok(Some(object)) => cx.store.delete(ObjectKind::Nodes, cx.node(), object.revision).await,
        Ok(None) => Ok(()),
        Err(e) => Err(e),
    };
    if let Err(e) = removed {
        log::info!("this node's entry was left in the store: {e}");
    }
}

/// Removes the objects of nodes that were not heard for long, as the holder of the lease.
async fn remove_gone(cx: &ServingCx, objects: &[StoredObject]) {
    let now = Instant::now();
    let is_settled =
        cx.clock.unix().as_millis() as u64 > cx.incarnation + GONE_AFTER.as_millis() as u64;
    if cx.lease.term().is_none() || !is_settled {
        return;
    }
    for node in cx.nodes.unheard(now, GONE_AFTER) {
        let Some(object) = objects.iter().find(|object| object.name == node) else { continue };
        match cx.store.delete(ObjectKind::Nodes, &node, object.revision).await {
            Ok(()) => cx.log.record(Event::NodeSilent { node, silent_for: GONE_AFTER }),
            Err(e) => log::debug!("the entry of {node} could not be removed: {e}"),
        }
    }
}
