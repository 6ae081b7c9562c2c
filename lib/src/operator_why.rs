//! Explains decisions by the recent events that nodes keep in memory.

use crate::cx::Cx;
use crate::event_log::RecordedEvent;
use crate::event_log::render;
use crate::generated::operator::WhyEvent;
use crate::generated::operator::WhyReply;
use crate::http_client::encode_component;
use crate::member_view::Member;
use crate::member_view::MemberState;
use crate::operator_client::OperatorClient;
use futures_util::future::join_all;
use std::time::Duration;

/// Timeout of the request for the events of another node.
const NODE_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of events in one response; the oldest are left out first.
const MAX_EVENTS: usize = 500;

/// Returns this node's recent events that name an id.
pub fn local(cx: &Cx, id: &str) -> WhyReply {
    let events = cx.events.mentioning(id);
    let events = events.into_iter().map(|recorded| why_event(cx.node(), recorded)).collect();
    WhyReply { id: id.to_string(), events: newest(events), missing: vec![] }
}

/// Returns the recent events of all nodes that name an id; requests to the other nodes carry the
/// operator's token.
pub async fn fleet(cx: &Cx, id: &str, token: &str) -> WhyReply {
    let mut reply = local(cx, id);
    let members = cx.members.get();
    let others = members.values().filter(|m| m.node != cx.node() && m.state != MemberState::Dead);
    for result in join_all(others.map(|member| fetch_events(member, id, token))).await {
        match result {
            Ok(events) => reply.events.extend(events),
            Err(missing) => reply.missing.push(missing),
        }
    }
    reply.events = newest(reply.events);
    reply
}

/// Fetches the events of one node; the error names the node and the cause.
async fn fetch_events(member: &Member, id: &str, token: &str) -> Result<Vec<WhyEvent>, String> {
    let client = OperatorClient::new(vec![member.operator_address.clone()], token.to_string());
    let path = format!("why?local=true&id={}", encode_component(id));
    match tokio::time::timeout(NODE_TIMEOUT, client.get::<WhyReply>(&path)).await {
        Ok(Ok(reply)) => Ok(reply.events),
        Ok(Err(e)) => Err(format!("{}: {e}", member.node)),
        Err(_) => Err(format!("{}: the response timed out", member.node)),
    }
}

/// Sorts events by time and drops the oldest beyond `MAX_EVENTS`.
fn newest(mut events: Vec<WhyEvent>) -> Vec<WhyEvent> {
    events.sort_by(|a, b| (a.unix, &a.node).cmp(&(b.unix, &b.node)));
    let surplus = events.len().saturating_sub(MAX_EVENTS);
    events.split_off(surplus)
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
