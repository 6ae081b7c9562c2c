//! The records of all fabric domains, parsed once for each version in the view.

use crate::generated::groups::DomainRecord;
use crate::ids::DomainId;
use crate::ids::ObjectVersion;
use crate::object_view::ObjectView;
use crate::object_view::ViewedObject;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

/// Prefix of the domains' keys in the platform's store.
pub const DOMAINS_PREFIX: &str = "domains/";

/// Returns the key of a domain's record.
pub fn domain_key(domain: &str) -> String {
    format!("{DOMAINS_PREFIX}{domain}")
}

/// A parsed record with its version.
#[derive(Debug, Clone, PartialEq)]
pub struct KnownRecord {
    /// Version of the object.
    pub version: ObjectVersion,
    /// The record.
    pub record: Arc<DomainRecord>,
}

/// Parsed records over the view of objects.
#[derive(Debug, Clone)]
pub struct DomainRecords {
    view: ObjectView,
    parsed: Arc<Mutex<BTreeMap<DomainId, KnownRecord>>>,
}

impl DomainRecords {
    /// Returns the records over `view`.
    pub fn new(view: ObjectView) -> Self {
        Self { view, parsed: Arc::default() }
    }

    /// Returns the record of a domain.
    pub fn get(&self, domain: &str) -> Option<KnownRecord> {
        let object = self.view.get(&domain_key(domain))?;
        let mut parsed = self.parsed.lock().unwrap_or_else(PoisonError::into_inner);
        parse(&mut parsed, &object)
    }

    /// Returns all records by domain.
    pub fn all(&self) -> BTreeMap<DomainId, KnownRecord> {
        let objects = self.view.list(DOMAINS_PREFIX);
        let mut parsed = self.parsed.lock().unwrap_or_else(PoisonError::into_inner);
        let known = objects.iter().filter_map(|object| parse(&mut parsed, object));
        let known: BTreeMap<DomainId, KnownRecord> =
            known.map(|known| (known.record.domain.clone(), known)).collect();
        parsed.retain(|domain, _| known.contains_key(domain));
        known
    }
}

/// Parses an object, or returns what was parsed before; a text that does not parse keeps the last.
fn parse(
    parsed: &mut BTreeMap<DomainId, KnownRecord>,
    object: &ViewedObject,
) -> Option<KnownRecord> {
    let domain = object.key.strip_prefix(DOMAINS_PREFIX)?;
    if let Some(known) = parsed.get(domain).filter(|known| known.version == object.version) {
        return Some(known.clone());
    }
    match serde_json::from_str::<DomainRecord>(object.value.as_deref()?) {
        Ok(record) => {
            let known = KnownRecord { version: object.version, record: Arc::new(record) };
            parsed.insert(domain.to_string(), known.clone());
            Some(known)
        }
        Err(e) => {
            log::warn!("the record of domain {domain} does not parse: {e}");
            parsed.get(domain).cloned()
        }
    }
}
