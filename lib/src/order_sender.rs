//! Sends the orders of a domain's owner, each checked against the lease right before it goes.

use crate::cx::Cx;
use crate::domain_lease::HeldLease;
use crate::engine::Engine;
use crate::engine::UpstreamError;
use crate::generated::config::UpstreamKind;
use crate::generated::engine::EngineStatus;
use crate::generated::engine::Order;
use crate::generated::engine::OrderAction;
use crate::generated::engine::OrderReply;
use crate::generated::events::Event;
use crate::group_orders::NeededOrder;
use crate::ids::Epoch;
use crate::metric_names;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Under which right orders are given.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OrderRight {
    /// Fencing number.
    pub epoch: Epoch,
    /// Lease.
    pub lease: HeldLease,
    /// Time before which instances that do not check fencing numbers get no order, since orders of
    /// the owner before may still be in flight.
    pub unfenced_from: Duration,
}

impl OrderRight {
    /// Tells whether an order to an instance of this kind may go now.
    pub fn permits(&self, kind: &UpstreamKind, now: Duration) -> bool {
        // Where fencing numbers are checked, a newer owner's orders win without the lease.
        kind.checks_fencing || (self.lease.is_valid(now) && now >= self.unfenced_from)
    }
}

/// What came of an order.
#[derive(Debug, Clone, PartialEq)]
pub enum OrderOutcome {
    /// It took effect.
    Accepted(EngineStatus),
    /// A newer owner has given orders.
    Fenced(Epoch),
    /// The instance refused it.
    Refused(String),
    /// It was not sent: the lease does not permit it.
    NotPermitted,
    /// It is unclear whether it took effect.
    Unclear(String),
}

/// Sender of orders for one domain.
pub struct OrderSender {
    cx: Cx,
    engine: Arc<dyn Engine>,
    domain: String,
    sent: AtomicU64,
}

impl OrderSender {
    /// Returns a sender.
    pub fn new(cx: Cx, engine: Arc<dyn Engine>, domain: &str) -> Self {
        Self { cx, engine, domain: domain.to_string(), sent: AtomicU64::new(0) }
    }

    /// Sends one order and waits for its answer, at most as long as an order may be in flight.
    pub async fn send(
        &self,
        needed: &NeededOrder,
        kind: &UpstreamKind,
        right: &OrderRight,
    ) -> OrderOutcome {
        let now = self.cx.clock.now();
        if !right.permits(kind, now) {
            return OrderOutcome::NotPermitted;
        }
        let order = self.order(&needed.action, kind, right, now);
        self.cx.metrics.count(metric_names::GROUP_ORDERS, 1);
        let call = self.engine.order(&needed.address, &order);
        let outcome = match tokio::time::timeout(kind.order_timeout, call).await {
            Ok(Ok(OrderReply::Accepted(status))) => OrderOutcome::Accepted(status),
            Ok(Ok(OrderReply::Fenced(epoch))) => OrderOutcome::Fenced(epoch),
            Ok(Ok(OrderReply::Refused(reason))) => OrderOutcome::Refused(reason),
            Ok(Err(UpstreamError::Refused { reason })) => OrderOutcome::Refused(reason),
            Ok(Err(UpstreamError::Unreachable { reason })) => OrderOutcome::Refused(reason),
            Ok(Err(e)) => {
                // The order may still be in flight; nothing else goes to the instance meanwhile.
                let sent_for = self.cx.clock.now().saturating_sub(now);
                tokio::time::sleep(kind.order_timeout.saturating_sub(sent_for)).await;
                OrderOutcome::Unclear(e.to_string())
            }
            Err(_) => OrderOutcome::Unclear("no answer".to_string()),
        };
        self.record(needed, &order, &outcome);
        outcome
    }

    fn order(
        &self,
        action: &OrderAction,
        kind: &UpstreamKind,
        right: &OrderRight,
        now: Duration,
    ) -> Order {
        let number = self.sent.fetch_add(1, Ordering::Relaxed);
        let node = self.cx.node();
        let incarnation = self.cx.incarnation;
        let valid_for = match kind.checks_fencing {
            true => kind.order_timeout,
            false => kind.order_timeout.min(right.lease.expires_at().saturating_sub(now)),
        };
        Order {
            order: format!("{node}-{incarnation}-{}-{number}", self.domain),
            domain: self.domain.clone(),
            epoch: right.epoch,
            deadline_unix: self.cx.clock.unix() + valid_for,
            action: action.clone(),
        }
    }

    fn record(&self, needed: &NeededOrder, order: &Order, outcome: &OrderOutcome) {
        let reason = match outcome {
            OrderOutcome::Accepted(_) | OrderOutcome::NotPermitted => return,
            OrderOutcome::Fenced(epoch) => format!("a newer owner of epoch {epoch} gave orders"),
            // Only the number in it mattered.
            OrderOutcome::Refused(_) if needed.is_fence() => return,
            OrderOutcome::Refused(reason) => reason.clone(),
            OrderOutcome::Unclear(reason) => format!("unclear: {reason}"),
        };
        self.cx.record(Event::OrderRefused {
            instance: needed.instance.clone(),
            domain: self.domain.clone(),
            order: order.order.clone(),
            reason,
        });
    }
}
