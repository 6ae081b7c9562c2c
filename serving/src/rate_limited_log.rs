//! Event log of a node with a rate limit for each kind of event.
//!
//! Successful requests have the lowest limit, so that their events are dropped first. The number of
//! dropped events is logged when the next event of the kind is recorded in a later period.

use guavaladder_lib::event_log::EventLog;
use guavaladder_lib::generated::events::Event;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use tokio::time::Instant;

/// Period over which the events of a kind are counted.
const LIMIT_PERIOD: Duration = Duration::from_secs(1);
/// Maximum events per period for requests that succeeded.
const MAX_SUCCESS_LINES: u32 = 4;
/// Maximum events per period for each other kind.
const MAX_OTHER_LINES: u32 = 60;

/// Handle to a node's rate-limited event log.
#[derive(Debug, Clone)]
pub struct RateLimitedLog {
    node: Arc<str>,
    events: EventLog,
    budgets: Arc<Mutex<HashMap<&'static str, Budget>>>,
}

#[derive(Debug)]
struct Budget {
    period_start: Instant,
    lines: u32,
    dropped: u64,
}

impl RateLimitedLog {
    /// Returns the rate-limited log of a node, which writes to `events`.
    pub fn new(node: &str, events: EventLog) -> Self {
        Self { node: Arc::from(node), events, budgets: Arc::default() }
    }

    /// Records an event unless its kind has reached its limit in this period.
    pub fn record(&self, event: Event) {
        let now = Instant::now();
        let kind = event.name();
        let limit = match event {
            Event::RequestAnswered { .. } => MAX_SUCCESS_LINES,
            _ => MAX_OTHER_LINES,
        };
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        let budget =
            budgets.entry(kind).or_insert(Budget { period_start: now, lines: 0, dropped: 0 });
        let mut dropped = 0;
        if now - budget.period_start >= LIMIT_PERIOD {
            dropped = std::mem::take(&mut budget.dropped);
            *budget = Budget { period_start: now, lines: 0, dropped: 0 };
        }
        budget.lines += 1;
        let is_within_limit = budget.lines <= limit;
        budget.dropped += u64::from(!is_within_limit);
        drop(budgets);
        if dropped > 0 {
            let (node, kind) = (self.node.to_string(), kind.to_string());
            self.events.record(Event::LogLinesLeftOut { node, lines: dropped, kind });
        }
        if is_within_limit {
            self.events.record(event);
        }
    }

    /// Returns the underlying event log, which is not rate-limited.
    pub fn events(&self) -> &EventLog {
        &self.events
    }
}
