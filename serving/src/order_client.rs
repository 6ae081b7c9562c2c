//! Sends orders to instances. The lease is checked right before each order is sent.

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
use crate::instance_notices;
use crate::instance_reach;
use crate::replica_health;
use crate::replica_health::ReportError;
use crate::serving_cx::ServingCx;
use bytes::Bytes;
use guavaladder_lib::generated::events::Event;
use http::Request;
use http_body_util::Full;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;
use tokio::time::sleep;

/// Timeout for connecting to an instance.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout for the response to an order; instances respond in a millisecond or two.
const ORDER_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout for a report that is requested while an order is delivered.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);
/// Delay before the instance's report is read after an order got no response.
const NO_RESPONSE_DELAY: Duration = Duration::from_millis(100);
/// Maximum age of a report, according to the platform's documentation of engines.
pub const MAX_REPORT_AGE: Duration = Duration::from_millis(220);
/// Maximum number of times that one order is sent.
const MAX_ATTEMPTS: u32 = 3;
/// Maximum size of the response to an order.
const MAX_RESPONSE_BYTES: usize = 64 << 10;

/// Why an order could not be delivered.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum OrderError {
    /// The lease has expired, and the order was not sent.
    #[error("the lease has expired")]
    NoLease,
    /// The instance's process no longer runs at its address.
    #[error("the instance's process has ended: {0}")]
    Ended(String),
    /// The instance does not respond. It may have received the order.
    #[error("the instance does not respond: {0}")]
    Unresponsive(String),
    /// The instance is in another group than last known.
    #[error("the instance is in an unexpected group: {0}")]
    UnexpectedGroup(String),
    /// The instance has seen a higher fencing token or epoch.
    #[error("the instance has seen a higher fencing token or epoch")]
    Fenced,
    /// The instance refused the order.
    #[error("the instance refused the order: {0}")]
    Refused(String),
}

/// Number of orders that one run of an instance has accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AcceptedOrders {
    /// Start of the run, in milliseconds since the Unix epoch.
    pub born_ms: u64,
    /// Number of accepted orders, which the next order must state as the expected sequence.
    pub sequence: u64,
}

/// An instance to which orders are sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderTarget {
    /// Id of the instance.
    pub id: InstanceId,
    /// Address of its HTTP server.
    pub address: SocketAddr,
    /// Orders that its current run has accepted; `None` until the instance has reported it.
    pub accepted: Option<AcceptedOrders>,
}

/// How an order was confirmed to be in effect.
#[derive(Debug, Clone, PartialEq)]
pub enum Confirmation {
    /// The instance accepted the order from this node.
    Accepted,
    /// The instance's report shows that the order is in effect.
    Reported(Box<InstanceReport>),
}

/// Sends an order until it is in effect or has failed. When there is no response, the instance's report
/// is read before the order is sent again. A join is sent again only while the instance is in no group
/// or in its last known one.
pub async fn deliver(
    cx: &ServingCx,
    target: &mut OrderTarget,
    kind: &OrderKind,
    last_known: Option<&Membership>,
    is_in_effect: impl Fn(&InstanceReport) -> bool,
) -> Result<Confirmation, OrderError> {
    let mut last = OrderError::Refused("not tried".to_string());
    // The sequence is requested only when it is not known from an earlier order or report.
    if target.accepted.is_none() {
        let report = report(cx, target).await?;
        if is_in_effect(&report) {
            return Ok(Confirmation::Reported(Box::new(report)));
        }
    }
    for _ in 0..MAX_ATTEMPTS {
        match send_once(cx, target, kind).await {
            Ok(OrderResponse::Begun) => {
                if let Some(accepted) = &mut target.accepted {
                    accepted.sequence += 1;
                }
                return Ok(Confirmation::Accepted);
            }
            Ok(OrderResponse::Done) => {
                if let (OrderKind::Leave { .. }, Some(accepted)) = (kind, &mut target.accepted) {
                    accepted.sequence += 1;
                }
                return Ok(Confirmation::Accepted);
            }
            Ok(OrderResponse::Conflict) => {
                last = OrderError::Refused(
                    "it conflicts with the instance's state or sequence".to_string(),
                );
                // The known sequence is wrong; a report that is recent enough shows the right one.
                sleep(MAX_REPORT_AGE).await;
                target.accepted = None;
            }
            Ok(OrderResponse::Fenced) => return Err(OrderError::Fenced),
            Ok(OrderResponse::WrongInstance) => {
                return Err(OrderError::Ended("another instance has its address".to_string()));
            }
            Ok(OrderResponse::Refused { status }) => {
                return Err(OrderError::Refused(format!("status {status}")));
            }
            Err(OrderError::Unresponsive(reason)) => {
                last = OrderError::Unresponsive(reason);
                sleep(NO_RESPONSE_DELAY).await;
            }
            Err(e) => return Err(e),
        }
        let report = report(cx, target).await?;
        if is_in_effect(&report) {
            return Ok(Confirmation::Reported(Box::new(report)));
        }
        if matches!(kind, OrderKind::Join { .. }) {
            check_membership(&report, last_known)?;
        }
    }
    Err(last)
}

/// Checks that an instance is in no group or in its last known one.
pub fn check_membership(
    report: &InstanceReport,
    last_known: Option<&Membership>,
) -> Result<(), OrderError> {
    let Some(membership) = &report.engine.membership else { return Ok(()) };
    if last_known
        .is_some_and(|known| known.group == membership.group && known.epoch == membership.epoch)
    {
        return Ok(());
    }
    let found = format!("{} of epoch {}", membership.group, membership.epoch);
    Err(OrderError::UnexpectedGroup(found))
}

/// Requests an instance's report and updates the known sequence.
pub async fn report(
    cx: &ServingCx,
    target: &mut OrderTarget,
) -> Result<InstanceReport, OrderError> {
    let (started, address) = (Instant::now(), target.address);
    let fetched =
        replica_health::fetch_report(cx, &target.id, address, "order", REPORT_TIMEOUT).await;
    let has_ended = match &fetched {
        Ok(_) => false,
        Err(e) => e.proves_not_running(cx, address, started).await,
    };
    match fetched {
        Ok(report) => {
            let reported =
                AcceptedOrders { born_ms: report.engine.born_ms, sequence: report.sequence };
            // The report may be older than the last accepted order.
            target.accepted = match target.accepted {
                Some(known) if known.born_ms == reported.born_ms => Some(AcceptedOrders {
                    sequence: known.sequence.max(reported.sequence),
                    ..known
                }),
                _ => Some(reported),
            };
            Ok(report)
        }
        Err(e) if has_ended => Err(OrderError::Ended(e.to_string())),
        Err(ReportError::Unusable(reason)) => Err(OrderError::Refused(reason)),
        Err(e) => Err(OrderError::Unresponsive(e.to_string())),
    }
}

async fn send_once(
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
    let sent_at = Instant::now();
    let response = connection::call_once(
        &cx.network,
        target.address,
        req,
        CONNECT_TIMEOUT,
        ORDER_TIMEOUT,
        MAX_RESPONSE_BYTES,
    );
    let response = response.await;
    if !matches!(response, Err(CallError::NotSent(_))) {
        cx.reach.record_connected();
    }
    let result = match response {
        Ok(response) => {
            let (headers, status) = (response.headers(), response.status());
            let born_ms = target.accepted.map(|accepted| accepted.born_ms);
            instance_notices::record_call(cx, &target.id, born_ms, headers, status, sent_at);
            let decoded = cx.dialect.decode_order_response(response.status());
            if !matches!(decoded, OrderResponse::Begun | OrderResponse::Done) {
                let text = String::from_utf8_lossy(response.body());
                log::info!("instance {} refused order {}: {text}", target.id, kind.name());
            }
            Ok(decoded)
        }
        Err(CallError::NotSent(connection::ConnectError::Refused))
            if instance_reach::counts_against(cx, &[target.address], sent_at).await =>
        {
            Err(OrderError::Ended("its connection was refused".to_string()))
        }
        Err(e) => Err(OrderError::Unresponsive(e.to_string())),
    };
    record_result(cx, target, kind, term, &result);
    result
}

fn record_result(
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

/// Checks by an instance's report whether it is still in its last known group.
pub async fn is_still_member(cx: &ServingCx, instance: &Instance) -> bool {
    let Some(membership) = &instance.engine.membership else { return false };
    let (id, address) = (&instance.id, instance.address);
    let fetched = replica_health::fetch_report(cx, id, address, "lapsed", REPORT_TIMEOUT).await;
    let is_still_member = fetched
        .as_ref()
        .is_ok_and(|report| is_member_of(report, &membership.group, membership.epoch));
    cx.log.record(Event::LapsedMemberAsked {
        instance: id.clone(),
        group: membership.group.clone(),
        outcome: match &fetched {
            Ok(_) if is_still_member => "in its place".to_string(),
            Ok(_) => "elsewhere".to_string(),
            Err(e) => e.to_string(),
        },
    });
    is_still_member
}

/// Returns whether a report shows membership in a group at an epoch.
pub fn is_member_of(report: &InstanceReport, group: &str, epoch: GroupEpoch) -> bool {
    let membership = report.engine.membership.as_ref();
    membership.is_some_and(|m| m.group == group && m.epoch == epoch)
}
