//! Sends the orders of a domain's owner; the lease is checked right before each order is sent.

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

/// Authority under which a domain's owner sends orders.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OrderAuthority {
    /// Fencing number.
    pub epoch: Epoch,
    /// Lease on the domain.
    pub lease: HeldLease,
    /// Time before which no order is sent to instances that do not check fencing numbers, since
    /// orders of the previous owner may still be in flight.
    pub unfenced_from: Duration,
}

impl OrderAuthority {
    /// Tells whether an order to an instance of this kind may be sent now.
    pub fn permits(&self, kind: &UpstreamKind, now: Duration) -> bool {
        // An instance that checks fencing numbers rejects an older owner's orders without a lease.
        kind.checks_fencing || (self.lease.is_valid(now) && now >= self.unfenced_from)
    }
}

/// Outcome of an order.
#[derive(Debug, Clone, PartialEq)]
pub enum OrderOutcome {
    /// It took effect.
    Accepted(EngineStatus),
    /// The instance has seen this higher fencing number of a newer owner.
    Fenced(Epoch),
    /// It had no effect: the instance refused it or was unreachable.
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
    /// Returns a sender that has sent no orders yet.
    pub fn new(cx: Cx, engine: Arc<dyn Engine>, domain: &str) -> Self {
        Self { cx, engine, domain: domain.to_string(), sent: AtomicU64::new(0) }
    }

    /// Sends one order and waits for its response, at most as long as an order may be in flight.
    pub async fn send(
        &self,
        needed: &NeededOrder,
        kind: &UpstreamKind,
        authority: &OrderAuthority,
    ) -> OrderOutcome {
        let now = self.cx.clock.now();
        if !authority.permits(kind, now) {
            return OrderOutcome::NotPermitted;
        }
        let order = self.order(&needed.action, kind, authority, now);
        self.cx.metrics.count(metric_names::GROUP_ORDERS, 1);
        let call = self.engine.order(&needed.address, &order);
        let outcome = match tokio::time::timeout(kind.order_timeout, call).await {
            Ok(Ok(OrderReply::Accepted(status))) => OrderOutcome::Accepted(status),
            Ok(Ok(OrderReply::Fenced(epoch))) => OrderOutcome::Fenced(epoch),
            Ok(Ok(OrderReply::Refused(reason))) => OrderOutcome::Refused(reason),
            Ok(Err(UpstreamError::Refused { reason })) => OrderOutcome::Refused(reason),
            Ok(Err(UpstreamError::Unreachable { reason })) => OrderOutcome::Refused(reason),
            Ok(Err(e)) => {
                // The order may still be in flight, so nothing else is sent to the instance until
                // the order's timeout has passed.
                let sent_for = self.cx.clock.now().saturating_sub(now);
                tokio::time::sleep(kind.order_timeout.saturating_sub(sent_for)).await;
                OrderOutcome::Unclear(e.to_string())
            }
            Err(_) => OrderOutcome::Unclear("no response".to_string()),
        };
        self.record(needed, &order, &outcome);
        outcome
    }

    fn order(
        &self,
        action: &OrderAction,
        kind: &UpstreamKind,
        authority: &OrderAuthority,
        now: Duration,
    ) -> Order {
        let number = self.sent.fetch_add(1, Ordering::Relaxed);
        let node = self.cx.node();
        let incarnation = self.cx.incarnation;
        let valid_for = match kind.checks_fencing {
            true => kind.order_timeout,
            false => kind.order_timeout.min(authority.lease.expires_at().saturating_sub(now)),
        };
        Order {
            order: format!("{node}-{incarnation}-{}-{number}", self.domain),
            domain: self.domain.clone(),
            epoch: authority.epoch,
            deadline_unix: self.cx.clock.unix() + valid_for,
            action: action.clone(),
        }
    }

    fn record(&self, needed: &NeededOrder, order: &Order, outcome: &OrderOutcome) {
        let reason = match outcome {
            OrderOutcome::Accepted(_) | OrderOutcome::NotPermitted => return,
            OrderOutcome::Fenced(epoch) => {
                format!("a newer owner of epoch {epoch} has sent orders")
            }
            // The instance has seen the fencing number, which is all that a fence conveys.
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
