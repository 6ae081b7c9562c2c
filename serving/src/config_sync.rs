//! Keeps the configuration in sync with the store.

use crate::dialect::ObjectChange;
use crate::dialect::ObjectKind;
use crate::dialect::StoredObject;
use crate::fleet_config::ConfigVersion;
use crate::serving_cx::HOLDER_WATCH_WAIT;
use crate::serving_cx::ServingCx;
use crate::store::StoreError;
use crate::store_era::Revision;
use guavaladder_lib::generated::events::Event;
use std::time::Duration;
use tokio::time::Instant;
use tokio::time::sleep;

/// Name of the object in the store that holds the current configuration.
const CONFIG_OBJECT_NAME: &str = "main";
/// Maximum duration of one watch call. It has to be shorter than the store's history of 20 s, after which
/// the watched revision would be gone. TCP keep-alive detects a connection that went silent, and other
/// nodes announce a newer configuration.
const WATCH_WAIT: Duration = Duration::from_secs(15);
/// Delay before the next read while the store has no configuration.
const ABSENT_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Keeps the configuration in sync until the task is cancelled.
pub async fn run(cx: ServingCx) {
    loop {
        match cx.store.list(ObjectKind::Config).await {
            Ok((objects, revision)) => {
                let found = objects.iter().find(|object| object.name == CONFIG_OBJECT_NAME);
                if let Some(object) = found {
                    apply(&cx, object, "list");
                } else {
                    sleep(ABSENT_RETRY_DELAY).await;
                }
                watch(&cx, revision).await;
            }
            Err(e) => {
                log::debug!("failed to read the configuration: {e}");
                sleep(cx.store.retry_delay()).await;
            }
        }
    }
}

/// Reads the configuration again, after another node announced a newer version. If the store holds only an
/// older one, it has returned from an older copy, and the newer one is waited for.
pub async fn refresh(cx: &ServingCx, announced: ConfigVersion) {
    match cx.store.get(ObjectKind::Config, CONFIG_OBJECT_NAME).await {
        Ok(Some(object)) => apply(cx, &object, "peer"),
        Ok(None) => {}
        Err(e) => return log::debug!("failed to read the newer configuration: {e}"),
    }
    let found = cx.config.version().unwrap_or(0);
    if found < announced && cx.awaited_config.record(announced, Instant::now()) {
        cx.log.record(Event::ConfigAwaited { version: announced, found });
        cx.update_phase();
    }
}

/// Watches the configuration; returns when it has to be read again, since changes may have been missed.
async fn watch(cx: &ServingCx, mut revision: Revision) {
    loop {
        let is_holder = cx.lease.term().is_some();
        let wait = cx.watch_wait(WATCH_WAIT);
        let watched = tokio::select! {
            watched = cx.store.watch(ObjectKind::Config, revision, wait) => watched,
            () = wait_for_lease(cx), if !is_holder => continue,
        };
        match watched {
            Ok((changes, watched_to)) => {
                for change in &changes {
                    match change {
                        ObjectChange::Put(object) if object.name == CONFIG_OBJECT_NAME => {
                            apply(cx, object, "watch");
                        }
                        ObjectChange::Put(_) | ObjectChange::Removed(_) => {}
                    }
                }
                revision = watched_to;
            }
            Err(StoreError::HistoryGone | StoreError::Restored) => return,
            Err(e) => {
                log::debug!("failed to watch the configuration: {e}");
                sleep(cx.store.retry_delay()).await;
                // The undecodable response may have reported that the history is gone.
                if matches!(e, StoreError::Undecodable(_)) {
                    return;
                }
            }
        }
    }
}

/// Waits until this node holds the lease for planning groups.
async fn wait_for_lease(cx: &ServingCx) {
    while cx.lease.term().is_none() {
        sleep(HOLDER_WATCH_WAIT).await;
    }
}

/// Applies a stored configuration if it is newer than the current one.
fn apply(cx: &ServingCx, object: &StoredObject, source: &str) {
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
    if cx.config.update_if_newer(config) {
        let source = source.to_string();
        cx.log.record(Event::ConfigTaken { version, before, routes, customers, source });
        if let Some(table) = cx.config.get() {
            cx.fleet.set_config(table.config.clone());
        }
        cx.update_phase();
    }
}
