//! Detects pauses of the process, caused for example by a suspension or an overloaded machine.

use crate::cx::Cx;
use crate::generated::events::Event;
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// Interval of the check.
const PERIOD: Duration = Duration::from_millis(500);
/// Delay of a tick from which on it counts as a pause.
const MIN_PAUSE: Duration = Duration::from_millis(500);

/// Records an event for each pause until shutdown.
pub async fn run(cx: Cx, shutdown: CancellationToken) {
    let mut ticks = cx.timers.subscribe(PERIOD, PERIOD).await;
    loop {
        let tick = tokio::select! {
            tick = ticks.next() => tick,
            () = shutdown.cancelled() => return,
        };
        let Some(tick) = tick else { return };
        if tick.late_by >= MIN_PAUSE {
            cx.record(Event::Paused { node: cx.node().to_string(), late_by: tick.late_by });
        }
    }
}
