//! Object stamps, which nodes exchange to compare their views without sending the objects.
//!
//! A fabric domain's record is rewritten with each lease renewal. A renewal changes only
//! the renewal counter and the write id, so the stamp holds that counter separately from the
//! content hash, and a peer with the same content updates its copy from the stamp alone.

use crate::generated::peer::ObjectStamp;
use crate::object_view::ObjectView;
use crate::object_view::ViewedObject;
use serde_json::Value;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Prefix of the fabric domains' records.
pub const DOMAIN_PREFIX: &str = "domains/";
/// Prefixes of the objects that nodes exchange.
pub const SHARED_PREFIXES: &[&str] = &[crate::config_view::CONFIG_KEY, DOMAIN_PREFIX, "instances/"];
/// Fields of a domain record that a renewal changes.
const RENEWAL_FIELDS: &[&str] = &["renewals", "write_id"];
/// Field that counts renewals.
const RENEWAL_COUNTER: &str = "renewals";
/// Content hash of a deleted object.
const DELETED: u64 = 0;

/// Stamps of the view's shared objects, computed once for each version.
#[derive(Debug, Default)]
pub struct StampCache {
    stamps: BTreeMap<String, ObjectStamp>,
    seen_change: Option<u64>,
    digest: u64,
}

impl StampCache {
    /// Returns an empty cache.
    pub fn new() -> Self {
        Self::default()
    }

    /// Updates the cache from the view and returns the changed stamps with their previous values.
    pub fn refresh(&mut self, view: &ObjectView) -> Vec<(Option<ObjectStamp>, ObjectStamp)> {
        let change = *view.subscribe().borrow();
        if self.seen_change == Some(change) {
            return vec![];
        }
        self.seen_change = Some(change);
        let mut changed = vec![];
        for prefix in SHARED_PREFIXES {
            for object in view.list_with_tombstones(prefix) {
                let known = self.stamps.get(&object.key);
                if known.is_some_and(|known| known.version >= object.version) {
                    continue;
                }
                let stamp = stamp(&object);
                changed.push((known.cloned(), stamp.clone()));
                self.stamps.insert(object.key, stamp);
            }
        }
        if changed.iter().any(|(old, new)| old.as_ref().map(|o| o.content) != Some(new.content)) {
            self.digest = self.compute_digest();
        }
        changed
    }

    /// Returns the cached stamp of an object.
    pub fn get(&self, key: &str) -> Option<&ObjectStamp> {
        self.stamps.get(key)
    }

    /// Returns all cached stamps.
    pub fn all(&self) -> Vec<ObjectStamp> {
        self.stamps.values().cloned().collect()
    }

    /// Returns a hash of the contents of all objects, without renewals.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    fn compute_digest(&self) -> u64 {
        let mut hasher = blake3::Hasher::new();
        for stamp in self.stamps.values().filter(|stamp| stamp.content != DELETED) {
            hasher.update(stamp.key.as_bytes());
            hasher.update(&stamp.content.to_le_bytes());
        }
        first_u64(hasher.finalize().as_bytes())
    }
}

/// Computes the stamp of an object.
pub fn stamp(object: &ViewedObject) -> ObjectStamp {
    let (content, renewals) = match &object.value {
        None => (DELETED, 0),
        Some(text) if object.key.starts_with(DOMAIN_PREFIX) => domain_content(text),
        Some(text) => (hash_text(text), 0),
    };
    ObjectStamp { key: object.key.clone(), version: object.version, content, renewals }
}

/// Updates an object to a stamp with the same content; `None` when the object has to be fetched.
pub fn apply_renewal(known: &ViewedObject, stamp: &ObjectStamp) -> Option<ViewedObject> {
    let text = known.value.as_ref()?;
    let mut record: Value = serde_json::from_str(text).ok()?;
    *record.get_mut(RENEWAL_COUNTER)? = Value::from(stamp.renewals);
    let value: Arc<str> = Arc::from(record.to_string());
    Some(ViewedObject { key: known.key.clone(), version: stamp.version, value: Some(value) })
}

fn domain_content(text: &str) -> (u64, u64) {
    let Ok(Value::Object(mut record)) = serde_json::from_str::<Value>(text) else {
        return (hash_text(text), 0);
    };
    let renewals = record.get(RENEWAL_COUNTER).and_then(Value::as_u64).unwrap_or(0);
    for field in RENEWAL_FIELDS {
        record.remove(*field);
    }
    (hash_text(&Value::Object(record).to_string()), renewals)
}

fn hash_text(text: &str) -> u64 {
    first_u64(blake3::hash(text.as_bytes()).as_bytes()).max(DELETED + 1)
}

fn first_u64(bytes: &[u8; 32]) -> u64 {
    let mut first = [0; 8];
    first.copy_from_slice(&bytes[..8]);
    u64::from_le_bytes(first)
}
