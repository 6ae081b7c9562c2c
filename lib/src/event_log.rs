//! Log of numbered events. Events are written to the process log, and the most recent ones are kept
//! in a bounded buffer for `guavaladder why`.

use crate::clock::Clock;
use crate::generated::events::Event;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

/// `log` target under which events are written.
const TARGET: &str = "guavaladder";
/// Maximum number of events kept in memory.
const MAX_RECENT_EVENTS: usize = 4096;

/// An event with the time at which it was recorded.
#[derive(Debug, Clone, PartialEq)]
pub struct RecordedEvent {
    /// Wall-clock time of the recording, as time since the Unix epoch.
    pub unix: Duration,
    /// The recorded event.
    pub event: Event,
}

/// Handle to the event log of a node; clones share the recent events.
#[derive(Debug, Clone)]
pub struct EventLog {
    clock: Clock,
    recent: Arc<Mutex<VecDeque<RecordedEvent>>>,
}

impl EventLog {
    /// Returns an empty event log.
    pub fn new(clock: Clock) -> Self {
        Self { clock, recent: Arc::default() }
    }

    /// Writes an event to the log and adds it to the recent events, dropping the oldest when full.
    pub fn record(&self, event: Event) {
        write_log(&event);
        let mut recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        if recent.len() == MAX_RECENT_EVENTS {
            recent.pop_front();
        }
        recent.push_back(RecordedEvent { unix: self.clock.unix(), event });
    }

    /// Returns the recent events, oldest first, in which a field is `id` or a space-separated list that
    /// contains it.
    pub fn mentioning(&self, id: &str) -> Vec<RecordedEvent> {
        let recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        let mentions = |event: &Event| {
            event.fields().iter().any(|(_, value)| value.split(' ').any(|v| v == id))
        };
        recent.iter().filter(|recorded| mentions(&recorded.event)).cloned().collect()
    }

    /// Returns all recent events, oldest first.
    pub fn recent(&self) -> Vec<RecordedEvent> {
        self.recent.lock().unwrap_or_else(PoisonError::into_inner).iter().cloned().collect()
    }
}

/// Writes an event to the process log, with its fields both in the message and as key-value pairs.
fn write_log(event: &Event) {
    let fields = event.fields();
    let attributes: Vec<(&str, &str)> =
        fields.iter().map(|(name, value)| (*name, value.as_str())).collect();
    let logger = log::logger();
    let metadata = log::Metadata::builder().level(event.level()).target(TARGET).build();
    if event.level() > log::max_level() || !logger.enabled(&metadata) {
        return;
    }
    let text = render(event);
    let mut record = log::Record::builder();
    record.metadata(metadata).key_values(&attributes);
    logger.log(&record.args(format_args!("{text}")).build());
}

/// Renders an event as `GLnnnn name key=value ...`.
///
/// Empty values and values with white space, control characters, `"` or `=` are quoted.
pub fn render(event: &Event) -> String {
    let mut text = format!("GL{:04} {}", event.number(), event.name());
    for (name, value) in event.fields() {
        let needs_quotes = value.is_empty()
            || value
                .contains(|c: char| c.is_whitespace() || c.is_control() || matches!(c, '"' | '='));
        match needs_quotes {
            true => text.push_str(&format!(" {name}={value:?}")),
            false => text.push_str(&format!(" {name}={value}")),
        }
    }
    text
}
