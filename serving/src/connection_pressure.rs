//! Makes room for new connections of a listener at its limit, and reports it.

use crate::connection_state::ConnectionPhase;
use crate::connection_table::ConnectionTable;
use crate::serving_cx::ServingCx;
use guavaladder_lib::generated::events::Event;
use std::time::Duration;
use tokio::time::Instant;

/// Minimum time between two reports of a listener.
const REPORT_PERIOD: Duration = Duration::from_secs(1);

/// Connections that were closed at the limit of a listener since the last report.
#[derive(Debug)]
pub struct ConnectionPressure {
    table: ConnectionTable,
    last_report: Option<Instant>,
    closed: u64,
    refused: u64,
}

impl ConnectionPressure {
    /// Returns the state of a listener that has not been at its limit.
    pub fn new(table: ConnectionTable) -> Self {
        Self { table, last_report: None, closed: 0, refused: 0 }
    }

    /// Closes the connections that have waited longest until there is room for a new one; returns false if
    /// all are busy.
    pub async fn make_room(&mut self, cx: &ServingCx) -> bool {
        let (listener, mut has_room) = (self.table.listener(), true);
        while self.table.is_full() {
            let Some((state, phase)) = self.table.longest_waiting(Instant::now()) else {
                cx.metrics.connection_closed(listener, "refused");
                self.refused += 1;
                has_room = false;
                break;
            };
            state.close().await;
            if !self.table.is_full() {
                cx.metrics.connection_closed(listener, phase.label());
                self.closed += 1;
            }
        }
        self.report(cx);
        has_room
    }

    fn report(&mut self, cx: &ServingCx) {
        let now = Instant::now();
        if self.last_report.is_some_and(|last| now - last < REPORT_PERIOD) {
            return;
        }
        self.last_report = Some(now);
        let counts = self.table.counts();
        let count = |phase| counts.get(&phase).copied().unwrap_or(0);
        cx.log.record(Event::ConnectionsAtLimit {
            listener: self.table.listener().to_string(),
            limit: self.table.max_connections() as u64,
            idle: count(ConnectionPhase::Idle),
            heads: count(ConnectionPhase::Head),
            bodies: count(ConnectionPhase::Body),
            busy: count(ConnectionPhase::Busy),
            unread: count(ConnectionPhase::Unread),
            lingering: count(ConnectionPhase::Lingering),
            closed: std::mem::take(&mut self.closed),
            refused: std::mem::take(&mut self.refused),
        });
    }
}
