//! What instances state about themselves in the headers of their answers: responses, refusals, errors,
//! reports and answers to orders are all recorded here.

use crate::cold_sync;
use crate::instance::InstanceNotice;
use crate::instance_deferrals::MAX_DEFERRAL;
use crate::rate_limit_sync;
use crate::rate_limits;
use crate::rate_limits::RunHash;
use crate::serving_cx::ServingCx;
use guavaladder_lib::generated::events::Event;
use http::HeaderMap;
use http::StatusCode;
use tokio::time::Instant;

/// An answer of an instance to a request of this node.
#[derive(Debug, Clone, Copy)]
pub struct InstanceAnswer {
    /// When the request was sent.
    pub sent_at: Instant,
    /// Status of the answer.
    pub status: StatusCode,
    /// Whether the instance ran a request of a caller.
    pub is_run: bool,
}

/// Records what an answer of a run of an instance states.
pub fn record(cx: &ServingCx, run: RunHash, notice: &InstanceNotice, answer: InstanceAnswer) {
    // Another instance answers at this address.
    if answer.status == StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    let InstanceAnswer { sent_at, is_run, .. } = answer;
    let change = cx.rate_limits.record(run, notice.rate, sent_at, is_run, Instant::now());
    if let Some(change) = change {
        rate_limit_sync::log_change(cx, run, change, "answer");
    }
    let asks_for_time = answer.status == StatusCode::SERVICE_UNAVAILABLE;
    if let Some(time) = notice.retry_after.filter(|_| asks_for_time)
        && cx.deferrals.record(run, time, Instant::now())
    {
        let instance = rate_limit_sync::instance_of(cx, run);
        cx.log.record(Event::InstanceDeferred { instance, time: time.min(MAX_DEFERRAL) });
    }
    if let Some(left) = notice.cold_left {
        cold_sync::record_answer(cx, run, left, sent_at);
    }
    if notice.is_leaving {
        record_leaving(cx, run);
    }
}

/// Records that a run of an instance leaves.
pub fn record_leaving(cx: &ServingCx, run: RunHash) {
    if let Some(instance) = cx.fleet.mark_leaving(run) {
        cx.log.record(Event::InstanceLeaving { instance });
    }
}

/// Records what the answer of an instance to a call of its own interface states. Its run is the one that
/// began at `born_ms`, or the registered one if that is not known.
pub fn record_call(
    cx: &ServingCx,
    instance: &str,
    born_ms: Option<u64>,
    headers: &HeaderMap,
    status: StatusCode,
    sent_at: Instant,
) {
    let registered = || cx.fleet.instance(instance).map(|registered| registered.engine.born_ms);
    let Some(born_ms) = born_ms.or_else(registered) else { return };
    let run = rate_limits::run_hash(instance, born_ms);
    let answer = InstanceAnswer { sent_at, status, is_run: false };
    record(cx, run, &cx.dialect.decode_notice(headers), answer);
}
