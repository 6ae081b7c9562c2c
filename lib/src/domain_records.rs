//! Cache of the parsed records of all fabric domains; each version in the view is parsed once.

use crate::generated::groups::DomainRecord;
use crate::ids::DomainId;
use crate::ids::ObjectVersion;
use crate::object_view::ObjectView;
use crate::object_view::ViewedObject;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

/// Key prefix of the domain records in the platform's store.
pub const DOMAINS_PREFIX: &str = "domains/";

/// Returns the key of a domain's record.
pub fn domain_key(domain: &str) -> String {
    format!("{DOMAINS_PREFIX}{domain}")
}

/// A parsed record with its version.
#[derive(Debug, Clone, PartialEq)]
pub struct VersionedRecord {
    /// Version of the stored object.
    pub version: ObjectVersion,
    /// Record parsed from the object.
    pub record: Arc<DomainRecord>,
}

/// Parsed domain records, read from the view of the store's objects.
#[derive(Debug, Clone)]
pub struct DomainRecords {
    view: ObjectView,
    parsed: Arc<Mutex<BTreeMap<DomainId, VersionedRecord>>>,
}

impl DomainRecords {
    /// Returns a cache that reads from `view`.
    pub fn new(view: ObjectView) -> Self {
        Self { view, parsed: Arc::default() }
    }

    /// Returns the record of a domain.
    pub fn get(&self, domain: &str) -> Option<VersionedRecord> {
        let object = self.view.get(&domain_key(domain))?;
        let mut parsed = self.parsed.lock().unwrap_or_else(PoisonError::into_inner);
        parse(&mut parsed, &object)
    }

    /// Returns all records by domain.
    pub fn all(&self) -> BTreeMap<DomainId, VersionedRecord> {
        let objects = self.view.list(DOMAINS_PREFIX);
        let mut parsed = self.parsed.lock().unwrap_or_else(PoisonError::into_inner);
        let known = objects.iter().filter_map(|object| parse(&mut parsed, object));
        let known: BTreeMap<DomainId, VersionedRecord> =
            known.map(|known| (known.record.domain.clone(), known)).collect();
        parsed.retain(|domain, _| known.contains_key(domain));
        known
    }
}

/// Parses an object unless its version is in the cache. If it does not parse, the last parsed
/// record stays in use.
fn parse(
    parsed: &mut BTreeMap<DomainId, VersionedRecord>,
    object: &ViewedObject,
) -> Option<VersionedRecord> {
    let domain = object.key.strip_prefix(DOMAINS_PREFIX)?;
    if let Some(known) = parsed.get(domain).filter(|known| known.version == object.version) {
        return Some(known.clone());
    }
    match serde_json::from_str::<DomainRecord>(object.value.as_deref()?) {
        Ok(record) => {
            let known = VersionedRecord { version: object.version, record: Arc::new(record) };
            parsed.insert(domain.to_string(), known.clone());
            Some(known)
        }
        Err(e) => {
            log::warn!("failed to parse the record of domain {domain}: {e}");
            parsed.get(domain).cloned()
        }
    }
}
