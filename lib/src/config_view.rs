//! The configuration in force on this node, parsed from the node's copy of the store objects.

use crate::generated::config::ConfigRecord;
use crate::object_view::ObjectView;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

/// Store key of the current configuration.
pub const CONFIG_KEY: &str = "config/current";

/// Shared handle to the configuration in force, which caches the parsed record.
#[derive(Debug, Clone)]
pub struct ConfigView {
    view: ObjectView,
    parsed: Arc<Mutex<Option<ParsedConfig>>>,
}

#[derive(Debug)]
struct ParsedConfig {
    object_version: u64,
    record: Arc<ConfigRecord>,
}

impl ConfigView {
    /// Returns a handle that reads the configuration from `view`.
    pub fn new(view: ObjectView) -> Self {
        Self { view, parsed: Arc::default() }
    }

    /// Returns the configuration in force, or `None` while this node has received none.
    ///
    /// If a newer record does not parse, the previous one stays in force.
    pub fn get(&self) -> Option<Arc<ConfigRecord>> {
        let mut parsed = self.parsed.lock().unwrap_or_else(PoisonError::into_inner);
        let object = self.view.get(CONFIG_KEY);
        let Some(object) = object else { return parsed.as_ref().map(|p| p.record.clone()) };
        if parsed.as_ref().is_none_or(|p| p.object_version < object.version) {
            let text = object.value.as_deref().unwrap_or_default();
            if let Ok(record) = serde_json::from_str::<ConfigRecord>(text) {
                let record = Arc::new(record);
                *parsed = Some(ParsedConfig { object_version: object.version, record });
            }
        }
        parsed.as_ref().map(|p| p.record.clone())
    }
}
