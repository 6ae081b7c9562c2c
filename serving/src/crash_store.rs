//! Keeps the refused requests in the store, so that they stay refused when no node that knows of them is
//! left, and reach a node that is cut off from the other nodes.
//!
//! A node that saw one of the crashes writes an object for the request; the node that holds the lease on
//! the groups writes those that are still missing and deletes the old ones. A node reads all objects at
//! its start, and watches them while it does not hear many of the other nodes.

use crate::crash_record;
use crate::crash_sync;
use crate::dialect::ObjectChange;
use crate::dialect::ObjectKind;
use crate::dialect::StoredObject;
use crate::serving_cx::ServingCx;
use crate::store::StoreError;
use crate::store_era::Era;
use crate::store_era::Revision;
use guavaladder_lib::crash_history::CrashedRequest;
use guavaladder_lib::crash_history::SHARED_RETENTION;
use serde_json::json;
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;
use tokio::time::sleep;

/// Source of the objects in events.
const SOURCE: &str = "store";
/// Interval at which missing objects are written and silent nodes are looked for.
const CHECK_PERIOD: Duration = Duration::from_millis(500);
/// Time after which the holder of the lease writes an object that no witness has written.
const HOLDER_WRITE_DELAY: Duration = Duration::from_secs(2);
/// Interval at which the holder of the lease deletes old objects.
const CLEANUP_PERIOD: Duration = Duration::from_secs(60);
/// Maximum duration of a watch, which is shorter than the store's history.
const WATCH_WAIT: Duration = Duration::from_secs(15);
/// Minimum interval between two watch calls.
const WATCH_PERIOD: Duration = Duration::from_secs(1);

/// Reads the refused requests and keeps them stored until the task is cancelled.
pub async fn run(cx: ServingCx) {
    tokio::join!(read(&cx), write(&cx));
}

/// Reads the objects at the start, and follows them while this node may be cut off from the others.
async fn read(cx: &ServingCx) {
    loop {
        match cx.store.list(ObjectKind::CrashingRequests).await {
            Ok((objects, revision)) => {
                learn(cx, &objects);
                if cx.is_cut_off() {
                    watch(cx, revision).await;
                }
                while !cx.is_cut_off() {
                    sleep(CHECK_PERIOD).await;
                }
            }
            Err(e) => {
                log::debug!("failed to read the refused requests: {e}");
                sleep(cx.store.retry_delay()).await;
            }
        }
    }
}

/// Watches the objects while this node may be cut off, or until changes may have been missed.
async fn watch(cx: &ServingCx, mut revision: Revision) {
    while cx.is_cut_off() {
        let started = Instant::now();
        match cx.store.watch(ObjectKind::CrashingRequests, revision, WATCH_WAIT).await {
            Ok((changes, watched_to)) => {
                let put = |change: &ObjectChange| match change {
                    ObjectChange::Put(object) => Some(object.clone()),
                    ObjectChange::Removed(_) => None,
                };
                learn(cx, &changes.iter().filter_map(put).collect::<Vec<_>>());
                revision = watched_to;
                sleep(WATCH_PERIOD.saturating_sub(started.elapsed())).await;
            }
            Err(e) => {
                log::debug!("failed to watch the refused requests: {e}");
                return sleep(cx.store.retry_delay()).await;
            }
        }
    }
}

fn learn(cx: &ServingCx, objects: &[StoredObject]) {
    let now = cx.clock.unix();
    let requests: Vec<CrashedRequest> = objects.iter().filter_map(|o| decode(o, now)).collect();
    crash_sync::learn(cx, &requests, SOURCE);
}

/// Writes objects for the refused requests, and deletes old objects while this node holds the lease.
async fn write(cx: &ServingCx) {
    let era = cx.store.era().current();
    let mut writer = Writer { cx, era, missing: HashMap::new(), stored: HashMap::new() };
    let mut cleaned_up = Instant::now();
    loop {
        tokio::select! {
            () = cx.crashes.refusal_added() => {}
            () = sleep(CHECK_PERIOD) => {}
        }
        writer.write_missing().await;
        if cx.lease.term().is_some() && cleaned_up.elapsed() >= CLEANUP_PERIOD {
            writer.clean_up().await;
            cleaned_up = Instant::now();
        }
    }
}

struct Writer<'a> {
    cx: &'a ServingCx,
    /// Era of the store to which `stored` belongs.
    era: Era,
    /// When a refused request without a known object was first seen.
    missing: HashMap<u64, Instant>,
    /// Revision of the object of each request; the number is 0 if it is not known.
    stored: HashMap<u64, Revision>,
}

impl Writer<'_> {
    async fn write_missing(&mut self) {
        let now = Instant::now();
        let era = self.cx.store.era().current();
        if era != self.era {
            // The store may have lost the objects; those that it still has are found by the writes.
            self.stored.clear();
            self.era = era;
        }
        let refused = self.cx.crashes.refused(now);
        let is_refused = |f: &u64| refused.iter().any(|(request, _)| request.fingerprint == *f);
        self.missing.retain(|fingerprint, _| is_refused(fingerprint));
        let cleared: Vec<u64> = self.stored.keys().copied().filter(|f| !is_refused(f)).collect();
        for fingerprint in cleared {
            self.delete_cleared(fingerprint).await;
        }
        for (request, is_witness) in refused {
            let fingerprint = request.fingerprint;
            if self.stored.contains_key(&fingerprint) {
                continue;
            }
            let since = *self.missing.entry(fingerprint).or_insert(now);
            let is_due =
                is_witness || (self.cx.lease.term().is_some() && now - since >= HOLDER_WRITE_DELAY);
            if !is_due {
                continue;
            }
            match self.cx.store.create(ObjectKind::CrashingRequests, &self.encode(&request)).await {
                Ok(object) => {
                    self.stored.insert(fingerprint, object.revision);
                }
                Err(StoreError::Conflict(Some(existing))) => {
                    self.stored.insert(fingerprint, existing.revision);
                }
                Err(StoreError::Conflict(None)) => {
                    self.stored.insert(fingerprint, Revision::default());
                }
                Err(e) => {
                    let fingerprint = crash_record::format_fingerprint(fingerprint);
                    log::debug!("failed to store the refused request {fingerprint}: {e}");
                    return sleep(self.cx.store.retry_delay()).await;
                }
            }
        }
    }

    /// Deletes the object of a request that is no longer refused; a failure is left to the clean-up.
    async fn delete_cleared(&mut self, fingerprint: u64) {
        let Some(revision) = self.stored.remove(&fingerprint) else { return };
        let name = crash_record::format_fingerprint(fingerprint);
        let kind = ObjectKind::CrashingRequests;
        if let Err(e) = self.cx.store.delete(kind, &name, revision).await {
            log::debug!("failed to delete the object of request {name}: {e}");
        }
    }

    /// Deletes the objects of requests that are no longer refused, and those that cannot be decoded.
    async fn clean_up(&mut self) {
        let objects = match self.cx.store.list(ObjectKind::CrashingRequests).await {
            Ok((objects, _)) => objects,
            Err(e) => return log::debug!("failed to read the refused requests: {e}"),
        };
        let unix = self.cx.clock.unix();
        for object in objects {
            let is_current = |request: &CrashedRequest| {
                Duration::from_millis(request.age_ms) < SHARED_RETENTION
                    || self.cx.crashes.is_refused(request.fingerprint)
            };
            if decode(&object, unix).as_ref().is_some_and(is_current) {
                continue;
            }
            let (kind, name) = (ObjectKind::CrashingRequests, &object.name);
            if let Err(e) = self.cx.store.delete(kind, name, object.revision).await {
                log::debug!("failed to delete the object of request {name}: {e}");
            }
        }
    }

    fn encode(&self, request: &CrashedRequest) -> StoredObject {
        let crashed = (self.cx.clock.unix().as_millis() as u64).saturating_sub(request.age_ms);
        let crashes = request.crashes.iter().map(|id| crash_record::format_fingerprint(*id));
        let content = json!({"crashes": crashes.collect::<Vec<_>>(), "crashed_ms": crashed});
        let name = crash_record::format_fingerprint(request.fingerprint);
        StoredObject { name, content, ..StoredObject::default() }
    }
}

/// Decodes an object; `None` if it is not one of this module.
fn decode(object: &StoredObject, unix: Duration) -> Option<CrashedRequest> {
    let id = |text: &str| u64::from_str_radix(text, 16).ok();
    let crashes = object.content["crashes"].as_array()?;
    let crashes = crashes.iter().map(|crash| crash.as_str().and_then(id));
    let crashed_ms = object.content["crashed_ms"].as_u64()?;
    Some(CrashedRequest {
        fingerprint: id(&object.name)?,
        crashes: crashes.collect::<Option<Vec<u64>>>()?,
        cleared: vec![],
        age_ms: (unix.as_millis() as u64).saturating_sub(crashed_ms),
    })
}
