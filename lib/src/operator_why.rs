//! Explains decisions from the numbered events that nodes keep.

use crate::cx::Cx;
use crate::event_log::RecordedEvent;
use crate::event_log::render;
use crate::generated::operator::WhyEvent;
use crate::generated::operator::WhyReply;

/// Returns this node's recent events about an id.
pub fn local(cx: &Cx, id: &str) -> WhyReply {
    let events = cx.events.about(id);
    let events = events.into_iter().map(|recorded| why_event(cx.node(), recorded)).collect();
    WhyReply { id: id.to_string(), events, missing: vec![] }
}

fn why_event(node: &str, recorded: RecordedEvent) -> WhyEvent {
    WhyEvent {
        unix: recorded.unix,
        node: node.to_string(),
        number: u32::from(recorded.event.number()),
        name: recorded.event.name().to_string(),
        text: render(&recorded.event),
    }
}
