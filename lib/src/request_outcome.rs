//! Events for requests that ended without a complete response.

use crate::cx::Cx;
use crate::generated::events::Event;
use crate::request::Request;
use crate::request::RequestError;
use crate::request::RunStatus;

/// Records that a request was rejected without execution, or that it failed and may have been
/// executed.
pub fn record_error(cx: &Cx, req: &Request, emitted: usize, e: &RequestError) {
    let request = req.id.clone();
    let customer = req.customer.clone();
    let service = req.service_id.clone();
    let code = e.code.name().to_string();
    let reason = e.message.clone();
    cx.record(match e.ran {
        RunStatus::NotRun => Event::RequestRefused { request, customer, service, code, reason },
        RunStatus::MaybeRun => {
            let emitted = emitted as u64;
            Event::RequestFailed { request, customer, service, code, reason, emitted }
        }
    });
}
