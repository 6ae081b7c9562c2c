//! Follows the operators' configuration in the store.

use crate::dialect::ObjectChange;
use crate::dialect::ObjectKind;
use crate::dialect::StoredObject;
use crate::serving_cx::HOLDER_WATCH_WAIT;
use crate::serving_cx::ServingCx;
use crate::store::StoreError;
use guavaladder_lib::generated::events::Event;
use std::time::Duration;
use tokio::time::sleep;

/// Name of the object that holds the newest configuration.
const NAME: &str = "main";
/// Longest wait of one watch, shorter than the store's history of 20 s, after which its revision would be
/// gone. The kernel's own probes notice a connection that went silent, and other nodes tell of a newer
/// configuration.
const WATCH_WAIT: Duration = Duration::from_secs(15);
/// Pause before the configuration is asked for again while there is none.
const ABSENT_PAUSE: Duration = Duration::from_millis(300);

/// Follows the configuration until the task is ended.
pub async fn run(cx: ServingCx) {
    loop {
        match cx.store.list(ObjectKind::Config).await {
            Ok((objects, revision)) => {
                let found = objects.iter().find(|object| object.name == NAME);
                if let Some(object) = found {
                    take(&cx, object, "list");
                } else {
                    sleep(ABSENT_PAUSE).await;
                }
                follow(&cx, revision).await;
            }
            Err(e) => {
                log::debug!("the configuration could not be read: {e}");
                sleep(cx.store.retry_delay()).await;
            }
        }
    }
}

/// Reads the configuration once more, since another node has a newer one.
pub async fn read_again(cx: &ServingCx) {
    match cx.store.get(ObjectKind::Config, NAME).await {
        Ok(Some(object)) => take(cx, &object, "peer"),
        Ok(None) => {}
        Err(e) => log::debug!("the configuration could not be read again: {e}"),
    }
}

/// Watches the configuration; returns when its history is gone.
async fn follow(cx: &ServingCx, mut revision: u64) {
    loop {
        let is_holder = cx.lease.term().is_some();
        let wait = cx.watch_wait(WATCH_WAIT);
        let watched = tokio::select! {
            watched = cx.store.watch(ObjectKind::Config, revision, wait) => watched,
            () = becomes_holder(cx), if !is_holder => continue,
        };
        match watched {
            Ok(batch) => {
                for change in &batch.changes {
                    match change {
                        ObjectChange::Put(object) if object.name == NAME => {
                            take(cx, object, "watch");
                        }
                        ObjectChange::Put(_) | ObjectChange::Removed(_) => {}
                    }
                }
                revision = batch.revision;
            }
            Err(StoreError::HistoryGone) => return,
            Err(e) => {
                log::debug!("the watch on the configuration failed: {e}");
                sleep(cx.store.retry_delay()).await;
                // A watch that failed may have missed the end of the history.
                if matches!(e, StoreError::Undecodable(_)) {
                    return;
                }
            }
        }
    }
}

/// Waits until this node holds the lease on the groups.
async fn becomes_holder(cx: &ServingCx) {
    while cx.lease.term().is_none() {
        sleep(HOLDER_WATCH_WAIT).await;
    }
}

/// Puts a stored configuration into force if it is newer.
fn take(cx: &ServingCx, object: &StoredObject, source: &str) {
    let config = match cx.dialect.decode_config(object) {
        Ok(config) => config,
        Err(e) => {
            let (config, reason) = (object.name.clone(), e.to_string());
            return cx.log.record(Event::ConfigUnreadable { config, reason });
        }
    };
    let before = cx.config.version().unwrap_or(0);
    let (version, routes) = (config.version, config.routes.len() as u64);
    let customers = config.customers.len() as u64;
    if cx.config.offer(config) {
        let source = source.to_string();
        cx.log.record(Event::ConfigTaken { version, before, routes, customers, source });
        if let Some(table) = cx.config.get() {
            cx.fleet.set_config(table.config.clone());
        }
        cx.update_phase();
    }
}
