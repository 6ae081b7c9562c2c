//! Selection of the entry nodes that are returned to a caller.

use crate::cx::Cx;
use crate::election;
use crate::facts::FactKind;
use crate::generated::entries::EntriesReply;
use crate::generated::entries::EntryAddress;
use crate::ids::NodeId;
use crate::member_view::Member;
use crate::member_view::MemberState;
use guavaladder_proc_macros::common_derives;
use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum number of entry nodes in a reply.
const ENTRIES: usize = 3;
/// Time for which a caller may cache a reply.
const VALIDITY: Duration = Duration::from_secs(10);
/// Load, as a fraction of the capacity, above which a node's share of callers is reduced.
const HIGH_LOAD: f64 = 0.7;
/// Minimum weight of a loaded node relative to an idle one.
const MIN_WEIGHT: f64 = 0.1;

/// Load of a node, published as [`FactKind::NodeLoad`].
#[common_derives(Copy, Default, Eq)]
pub struct NodeLoad {
    /// Number of running requests.
    pub running: u32,
    /// Maximum number of concurrent requests.
    pub capacity: u32,
}

impl NodeLoad {
    /// Returns the encoded fact.
    pub fn encode(self) -> Vec<u8> {
        postcard::to_stdvec(&self).unwrap_or_default()
    }

    /// Returns the load as a fraction of the capacity; 0 if the capacity is 0.
    pub fn fraction(self) -> f64 {
        if self.capacity == 0 { 0.0 } else { f64::from(self.running) / f64::from(self.capacity) }
    }
}

/// Selects entry nodes for a caller, best first.
///
/// Nodes of this data centre come first, then those of this region, then the others. Nodes at the
/// same distance are ordered by weighted rendezvous hashing of the caller, so that few callers move
/// when a node joins, leaves or becomes loaded.
pub fn select(cx: &Cx, caller: &str) -> EntriesReply {
    let loads = loads(cx);
    let members = cx.members.get();
    let live: Vec<&Member> =
        members.values().filter(|member| member.state == MemberState::Live).collect();
    let usable = match live.is_empty() {
        true => members.values().filter(|member| member.state == MemberState::Suspect).collect(),
        false => live,
    };
    let mut ranked: Vec<(u8, f64, &Member)> = usable
        .into_iter()
        .map(|member| {
            let load = loads.get(&member.node).copied().unwrap_or_default();
            (distance(cx, member), score(caller, &member.node, load), member)
        })
        .collect();
    ranked.sort_by(|a, b| a.0.cmp(&b.0).then(b.1.total_cmp(&a.1)));
    let entries = ranked.into_iter().take(ENTRIES).map(|(_, _, member)| EntryAddress {
        node: member.node.clone(),
        address: member.caller_address.clone(),
        data_centre: member.data_centre.clone(),
    });
    EntriesReply { entries: entries.collect(), valid: VALIDITY }
}

/// Returns the weighted rendezvous score of a node for a caller; higher scores come first.
pub fn score(caller: &str, node: &str, load: NodeLoad) -> f64 {
    // Uses the 53 bits that an f64 represents exactly; 0.5 is added to avoid the logarithm of 0.
    let unit = ((election::weight(caller, node) >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -weight(load) / unit.ln()
}

/// Returns the relative share of callers that a node should get; 1 up to [`HIGH_LOAD`].
fn weight(load: NodeLoad) -> f64 {
    // The weight changes in steps, so that small changes of the load do not move callers.
    const STEPS: f64 = 5.0;
    let excess = ((load.fraction() - HIGH_LOAD) / (1.0 - HIGH_LOAD)).clamp(0.0, 1.0);
    let step = (excess * STEPS).round() / STEPS;
    (1.0 - step).max(MIN_WEIGHT)
}

fn distance(cx: &Cx, member: &Member) -> u8 {
    if member.data_centre == cx.settings.data_centre {
        0
    } else if member.region == cx.settings.region {
        1
    } else {
        2
    }
}

fn loads(cx: &Cx) -> BTreeMap<NodeId, NodeLoad> {
    let facts = cx.facts.all(FactKind::NodeLoad);
    facts
        .into_iter()
        .filter_map(|fact| Some((fact.node, postcard::from_bytes(&fact.value).ok()?)))
        .collect()
}
