//! The node's view of the platform's objects, in which an older version never replaces a newer one.

use crate::generated::platform::VersionedObject;
use crate::ids::ObjectVersion;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use tokio::sync::watch;

/// An object as the view holds it; a deleted one is kept as a tombstone without a value.
#[derive(Debug, Clone, PartialEq)]
pub struct ViewedObject {
    /// Key of the object.
    pub key: String,
    /// Version of the last known write or delete.
    pub version: ObjectVersion,
    /// JSON text, absent when the object was deleted.
    pub value: Option<Arc<str>>,
}

/// Result of applying an object to the view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Applied {
    /// The object was newer and replaced what the view held.
    Newer,
    /// The view already held this version or a newer one.
    Known,
}

/// Shared view of objects under the replicated prefixes, updated by watches and by peers.
#[derive(Debug, Clone)]
pub struct ObjectView {
    objects: Arc<Mutex<BTreeMap<String, ViewedObject>>>,
    changes: Arc<watch::Sender<u64>>,
}

impl ObjectView {
    /// Returns an empty view.
    pub fn new() -> Self {
        let (changes, _) = watch::channel(0);
        Self { objects: Arc::default(), changes: Arc::new(changes) }
    }

    /// Applies an object from any source and tells whether it was newer.
    pub fn apply(&self, object: ViewedObject) -> Applied {
        let mut objects = self.lock();
        let known = objects.get(&object.key).map(|known| known.version);
        if known.is_some_and(|version| version >= object.version) {
            return Applied::Known;
        }
        objects.insert(object.key.clone(), object);
        drop(objects);
        self.changes.send_modify(|count| *count += 1);
        Applied::Newer
    }

    /// Applies an object that the store returned.
    pub fn apply_stored(&self, object: &VersionedObject) -> Applied {
        self.apply(ViewedObject {
            key: object.key.clone(),
            version: object.version,
            value: Some(Arc::from(object.value.as_str())),
        })
    }

    /// Returns an object, or `None` when it is unknown or deleted.
    pub fn get(&self, key: &str) -> Option<ViewedObject> {
        self.lock().get(key).filter(|object| object.value.is_some()).cloned()
    }

    /// Returns the objects below a prefix, without tombstones.
    pub fn list(&self, prefix: &str) -> Vec<ViewedObject> {
        let mut objects = self.list_with_tombstones(prefix);
        objects.retain(|object| object.value.is_some());
        objects
    }

    /// Returns the objects and tombstones below a prefix, in key order.
    pub fn list_with_tombstones(&self, prefix: &str) -> Vec<ViewedObject> {
        self.lock()
            .range(prefix.to_string()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(_, object)| object.clone())
            .collect()
    }

    /// Returns a receiver that is notified on each change; its value counts changes.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<String, ViewedObject>> {
        self.objects.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for ObjectView {
    fn default() -> Self {
        Self::new()
    }
}
