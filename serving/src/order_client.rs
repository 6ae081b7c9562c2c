//! Orders to instances, each checked against the lease right before it goes.

use crate::connection;
use crate::connection::CallError;
use crate::instance::GroupEpoch;
use crate::instance::Instance;
use crate::instance::InstanceId;
use crate::instance::InstanceReport;
use crate::instance::Membership;
use crate::instance::Order;
use crate::instance::OrderKind;
use crate::instance::OrderResponse;
use crate::replica_health;
use crate::replica_health::ReportError;
use crate::serving_cx::ServingCx;
use bytes::Bytes;
use guavaladder_lib::generated::events::Event;
use http::Request;
use http_body_util::Full;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::sleep;

/// Longest wait for a connection to an instance.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Longest wait for the answer to an order; instances answer in a millisecond or two.
const ORDER_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest wait for a report in the course of an order.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);
/// Pause before an order without an answer is looked after.
const UNANSWERED_PAUSE: Duration = Duration::from_millis(100);
/// Age that a report may have, by the platform's page on engines.
pub const REPORT_LAG: Duration = Duration::from_millis(220);
/// Attempts to give one order.
const MAX_ATTEMPTS: u32 = 3;
/// Largest answer to an order.
const MAX_ANSWER_BYTES: usize = 64 << 10;

/// Errors of an order.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum OrderError {
    /// The lease has lapsed; nothing was sent.
    #[error("the lease has lapsed")]
    NoLease,
    /// The instance's process does not run at its address.
    #[error("the instance has ended: {0}")]
    Ended(String),
    /// The instance does not answer; an order may have reached it.
    #[error("the instance does not answer: {0}")]
    Silent(String),
    /// The instance has another place than it was believed to have.
    #[error("the instance is elsewhere: {0}")]
    Elsewhere(String),
    /// A higher fencing token or epoch was seen.
    #[error("the instance has seen a higher token or epoch")]
    Fenced,
    /// The instance refused.
    #[error("the instance refused: {0}")]
    Refused(String),
}

/// The orders that an instance has accepted in one life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AcceptedOrders {
    /// Start of the life, in milliseconds since the Unix epoch.
    pub born_ms: u64,
    /// Number of orders.
    pub sequence: u64,
}

/// An instance that takes orders.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderTarget {
    /// Id.
    pub id: InstanceId,
    /// Address.
    pub address: SocketAddr,
    /// Start of its life and the orders that it has accepted in it; `None` until it was asked.
    pub accepted: Option<AcceptedOrders>,
}

/// How it came that an order holds.
#[derive(Debug, Clone, PartialEq)]
pub enum Given {
    /// The instance accepted it from this node.
    Accepted,
    /// The instance's own report shows that it holds.
    Reported(Box<InstanceReport>),
}

/// Gives an order until it holds, or fails. Orders without an answer are looked after by the
/// instance's own report before they are given again; a join is given again only to an instance that
/// still is where it was believed to be.
pub async fn give(
    cx: &ServingCx,
    target: &mut OrderTarget,
    kind: &OrderKind,
    believed: Option<&Membership>,
    holds: impl Fn(&InstanceReport) -> bool,
) -> Result<Given, OrderError> {
    let mut last = OrderError::Refused("not tried".to_string());
    // The sequence is asked for only where no order or report of this node has told it.
    if target.accepted.is_none() {
        let report = report(cx, target).await?;
        if holds(&report) {
            return Ok(Given::Reported(Box::new(report)));
        }
    }
    for _ in 0..MAX_ATTEMPTS {
        match give_once(cx, target, kind).await {
            Ok(OrderResponse::Begun) => {
                if let Some(accepted) = &mut target.accepted {
                    accepted.sequence += 1;
                }
                return Ok(Given::Accepted);
            }
            Ok(OrderResponse::Done) => {
                if let (OrderKind::Leave { .. }, Some(accepted)) = (kind, &mut target.accepted) {
                    accepted.sequence += 1;
                }
                return Ok(Given::Accepted);
            }
            Ok(OrderResponse::Conflict) => {
                last = OrderError::Refused("it does not fit its state".to_string());
                // What is known of its sequence is wrong; a report that is new enough tells it.
                sleep(REPORT_LAG).await;
                target.accepted = None;
            }
            Ok(OrderResponse::Fenced) => return Err(OrderError::Fenced),
            Ok(OrderResponse::WrongInstance) => {
                return Err(OrderError::Ended("another one has its address".to_string()));
            }
            Ok(OrderResponse::Refused { status }) => {
                return Err(OrderError::Refused(format!("status {status}")));
            }
            Err(OrderError::Silent(reason)) => {
                last = OrderError::Silent(reason);
                sleep(UNANSWERED_PAUSE).await;
            }
            Err(e) => return Err(e),
        }
        let report = report(cx, target).await?;
        if holds(&report) {
            return Ok(Given::Reported(Box::new(report)));
        }
        if matches!(kind, OrderKind::Join { .. }) {
            check_place(&report, believed)?;
        }
    }
    Err(last)
}

/// Checks that an instance is in no group, or in the one that it is believed to be in.
pub fn check_place(
    report: &InstanceReport,
    believed: Option<&Membership>,
) -> Result<(), OrderError> {
    let Some(place) = &report.engine.membership else { return Ok(()) };
    if believed.is_some_and(|b| b.group == place.group && b.epoch == place.epoch) {
        return Ok(());
    }
    let found = format!("it is in group {} of epoch {}", place.group, place.epoch);
    Err(OrderError::Elsewhere(found))
}

/// Asks an instance for its state and takes its sequence in.
pub async fn report(
    cx: &ServingCx,
    target: &mut OrderTarget,
) -> Result<InstanceReport, OrderError> {
    let asked =
        replica_health::fetch_report(cx, &target.id, target.address, "order", REPORT_TIMEOUT).await;
    match asked {
        Ok(report) => {
            let reported =
                AcceptedOrders { born_ms: report.engine.born_ms, sequence: report.sequence };
            // A report may be older than the last order.
            target.accepted = match target.accepted {
                Some(known) if known.born_ms == reported.born_ms => Some(AcceptedOrders {
                    sequence: known.sequence.max(reported.sequence),
                    ..known
                }),
                _ => Some(reported),
            };
            Ok(report)
        }
        Err(e) if e.proves_not_running() => Err(OrderError::Ended(e.to_string())),
        Err(ReportError::Unusable(reason)) => Err(OrderError::Refused(reason)),
        Err(e) => Err(OrderError::Silent(e.to_string())),
    }
}

async fn give_once(
    cx: &ServingCx,
    target: &OrderTarget,
    kind: &OrderKind,
) -> Result<OrderResponse, OrderError> {
    let Some(term) = cx.lease.term() else { return Err(OrderError::NoLease) };
    let order = Order {
        kind: kind.clone(),
        fencing_token: term,
        expected_sequence: target.accepted.map(|accepted| accepted.sequence),
    };
    let body = Full::new(Bytes::from(cx.dialect.encode_order(&order)));
    let req = Request::post(cx.dialect.order_path()).body(body);
    let mut req = req.map_err(|e| OrderError::Refused(e.to_string()))?;
    *req.headers_mut() = cx.dialect.instance_headers(&target.id);
    let answer = connection::call_once(
        &cx.network,
        target.address,
        req,
        CONNECT_TIMEOUT,
        ORDER_TIMEOUT,
        MAX_ANSWER_BYTES,
    );
    let result = match answer.await {
        Ok(answer) => {
            let decoded = cx.dialect.decode_order_answer(answer.status());
            if !matches!(decoded, OrderResponse::Begun | OrderResponse::Done) {
                let text = String::from_utf8_lossy(answer.body());
                log::info!("{} refused order {}: {text}", target.id, kind.name());
            }
            Ok(decoded)
        }
        Err(CallError::NotSent(connection::ConnectError::Refused)) => {
            Err(OrderError::Ended("its connection was refused".to_string()))
        }
        Err(e) => Err(OrderError::Silent(e.to_string())),
    };
    note(cx, target, kind, term, &result);
    result
}

fn note(
    cx: &ServingCx,
    target: &OrderTarget,
    kind: &OrderKind,
    term: u64,
    result: &Result<OrderResponse, OrderError>,
) {
    let outcome = match result {
        Ok(OrderResponse::Begun) => return cx.metrics.order(kind.name(), "begun"),
        Ok(OrderResponse::Done) => return cx.metrics.order(kind.name(), "done"),
        Ok(OrderResponse::Conflict) => "conflict".to_string(),
        Ok(OrderResponse::Fenced) => "fenced".to_string(),
        Ok(OrderResponse::WrongInstance) => "wrong_instance".to_string(),
        Ok(OrderResponse::Refused { status }) => format!("status_{status}"),
        Err(OrderError::Ended(_)) => "ended".to_string(),
        Err(e) => e.to_string(),
    };
    cx.metrics.order(kind.name(), if result.is_ok() { &outcome } else { "unanswered" });
    let (instance, order) = (target.id.clone(), kind.name().to_string());
    cx.log.record(Event::OrderFailed { instance, order, term, outcome });
}

/// Asks an instance whether it still is in the group that it was believed to be in.
pub async fn is_in_place(cx: &ServingCx, instance: &Instance) -> bool {
    let Some(place) = &instance.engine.membership else { return false };
    let (id, address) = (&instance.id, instance.address);
    let asked = replica_health::fetch_report(cx, id, address, "lapsed", REPORT_TIMEOUT).await;
    let is_in_place = asked.as_ref().is_ok_and(|report| is_in(report, &place.group, place.epoch));
    cx.log.record(Event::LapsedMemberAsked {
        instance: id.clone(),
        group: place.group.clone(),
        outcome: match &asked {
            Ok(_) if is_in_place => "in its place".to_string(),
            Ok(_) => "elsewhere".to_string(),
            Err(e) => e.to_string(),
        },
    });
    is_in_place
}

/// Tells whether a report shows a place in a group of an epoch.
pub fn is_in(report: &InstanceReport, group: &str, epoch: GroupEpoch) -> bool {
    let membership = report.engine.membership.as_ref();
    membership.is_some_and(|m| m.group == group && m.epoch == epoch)
}
