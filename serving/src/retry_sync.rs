//! Tells the other nodes what this one has used of the retry budgets, and logs it.

use crate::fleet_retries::RetryNews;
use crate::serving_cx::ServingCx;
use guavaladder_lib::generated::events::Event;
use std::time::Duration;
use tokio::time::Instant;

/// Minimum interval at which the use is told.
pub const MIN_NEWS_PERIOD: Duration = Duration::from_millis(500);

/// Returns the interval at which the use is told. It grows with the fleet like that of the heartbeats.
pub fn news_period(cx: &ServingCx) -> Duration {
    cx.heartbeat_period().max(MIN_NEWS_PERIOD)
}

/// Logs the budgets from which this node has withdrawn retries since the last call.
pub fn log_uses(cx: &ServingCx) {
    for usage in cx.budgets.take_uses(Instant::now()) {
        cx.metrics.retries(&usage.service, "withdrawn", u64::from(usage.new_retries));
        cx.log.record(Event::RetriesWithdrawn {
            service: usage.service,
            retries: u64::from(usage.new_retries),
            own_requests: u64::from(usage.own.requests),
            own_retries: u64::from(usage.own.retries),
            other_requests: u64::from(usage.others.requests),
            other_retries: u64::from(usage.others.retries),
            sharers: cx.budget_sharers().unwrap_or(0) as u64,
        });
    }
}

/// Returns the next statement; `None` if there is nothing that the other nodes have to know.
pub fn next_news(cx: &ServingCx) -> Option<RetryNews> {
    cx.budgets.next_news(cx.node(), cx.incarnation, cx.budget_sharers(), Instant::now())
}

/// Records the statement of another node.
pub fn apply(cx: &ServingCx, news: RetryNews) {
    if news.node != cx.node() {
        cx.budgets.record_news(news, Instant::now());
    }
}
