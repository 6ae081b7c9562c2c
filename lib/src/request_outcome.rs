//! Events for requests that ended without a complete response.

use crate::cx::Cx;
use crate::generated::events::Event;
use crate::request::Ran;
use crate::request::Request;
use crate::request::RequestError;

/// Records that a request was rejected without execution, or that it failed and may have been
/// executed.
pub fn record_error(cx: &Cx, req: &Request, emitted: usize, e: &RequestError) {
    let request = req.id.clone();
    let customer = req.customer.clone();
    let service = req.service_id.clone();
    let code = e.code.name().to_string();
    let reason = e.message.clone();
    cx.record(match e.ran {
        Ran::Not => Event::RequestRefused { request, customer, service, code, reason },
        Ran::Maybe => {
            let emitted = emitted as u64;
            Event::RequestFailed { request, customer, service, code, reason, emitted }
        }
    });
}
