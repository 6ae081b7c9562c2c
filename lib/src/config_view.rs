//! The configuration in force on this node, parsed from the view of objects.

use crate::generated::config::ConfigRecord;
use crate::object_view::ObjectView;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

/// Key of the current configuration in the platform's store.
pub const CONFIG_KEY: &str = "config/current";

/// Shared view of the configuration in force.
#[derive(Debug, Clone)]
pub struct ConfigView {
    view: ObjectView,
    parsed: Arc<Mutex<Option<Parsed>>>,
}

#[derive(Debug)]
struct Parsed {
    object_version: u64,
    record: Arc<ConfigRecord>,
}

impl ConfigView {
    /// Returns the configuration view over `view`.
    pub fn new(view: ObjectView) -> Self {
        Self { view, parsed: Arc::default() }
    }

    /// Returns the configuration in force, or `None` while none has been learned.
    ///
    /// A record that does not parse leaves the one before it in force.
    pub fn get(&self) -> Option<Arc<ConfigRecord>> {
        let mut parsed = self.parsed.lock().unwrap_or_else(PoisonError::into_inner);
        let object = self.view.get(CONFIG_KEY);
        let Some(object) = object else { return parsed.as_ref().map(|p| p.record.clone()) };
        if parsed.as_ref().is_none_or(|p| p.object_version < object.version) {
            let text = object.value.as_deref().unwrap_or_default();
            if let Ok(record) = serde_json::from_str::<ConfigRecord>(text) {
                let record = Arc::new(record);
                *parsed = Some(Parsed { object_version: object.version, record });
            }
        }
        parsed.as_ref().map(|p| p.record.clone())
    }
}
