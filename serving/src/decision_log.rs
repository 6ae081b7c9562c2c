//! The log of decisions: numbered events, bounded in lines a second for each kind.
//!
//! Lines about ordinary successes have the smallest budget, so that they are left out first. What
//! was left out is counted and told.

use guavaladder_lib::event_log::EventLog;
use guavaladder_lib::generated::events::Event;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use tokio::time::Instant;

/// Period over which lines are counted.
const PERIOD: Duration = Duration::from_secs(1);
/// Lines of one kind in a period, for ordinary successes.
const ORDINARY_LINES: u32 = 4;
/// Lines of one kind in a period, for everything else.
const NOTABLE_LINES: u32 = 60;

/// Handle to the log of decisions of a node.
#[derive(Debug, Clone)]
pub struct DecisionLog {
    node: Arc<str>,
    events: EventLog,
    budgets: Arc<Mutex<HashMap<&'static str, Budget>>>,
}

#[derive(Debug)]
struct Budget {
    period_start: Instant,
    lines: u32,
    left_out: u64,
}

impl DecisionLog {
    /// Returns the log of a node.
    pub fn new(node: &str, events: EventLog) -> Self {
        Self { node: Arc::from(node), events, budgets: Arc::default() }
    }

    /// Records an event unless the lines of its kind are used up.
    pub fn record(&self, event: Event) {
        let now = Instant::now();
        let kind = event.name();
        let limit = match event {
            Event::RequestAnswered { .. } => ORDINARY_LINES,
            _ => NOTABLE_LINES,
        };
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        let budget =
            budgets.entry(kind).or_insert(Budget { period_start: now, lines: 0, left_out: 0 });
        let mut left_out = 0;
        if now - budget.period_start >= PERIOD {
            left_out = std::mem::take(&mut budget.left_out);
            *budget = Budget { period_start: now, lines: 0, left_out: 0 };
        }
        budget.lines += 1;
        let is_within = budget.lines <= limit;
        budget.left_out += u64::from(!is_within);
        drop(budgets);
        if left_out > 0 {
            let (node, kind) = (self.node.to_string(), kind.to_string());
            self.events.record(Event::LogLinesLeftOut { node, lines: left_out, kind });
        }
        if is_within {
            self.events.record(event);
        }
    }

    /// Returns the underlying events.
    pub fn events(&self) -> &EventLog {
        &self.events
    }
}
