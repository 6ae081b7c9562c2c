//! Logs what this node uses of the retry budgets.

use crate::serving_cx::ServingCx;
use guavaladder_lib::generated::events::Event;
use std::time::Duration;
use tokio::time::Instant;

/// Interval at which the use is logged.
pub const LOG_PERIOD: Duration = Duration::from_millis(500);

/// Logs the budgets from which this node has withdrawn retries since the last call.
pub fn log_uses(cx: &ServingCx) {
    for usage in cx.budgets.take_uses(Instant::now()) {
        cx.metrics.retries(&usage.service, "withdrawn", u64::from(usage.new_retries));
        cx.log.record(Event::RetriesWithdrawn {
            service: usage.service,
            retries: u64::from(usage.new_retries),
            own_requests: u64::from(usage.own.requests),
            own_retries: u64::from(usage.own.retries),
            sharers: cx.budget_sharers().unwrap_or(0) as u64,
        });
    }
}
