//! Election of nodes among the live members by rendezvous (highest random weight) hashing.
//!
//! Nodes with the same member view elect the same nodes. A node that joins or leaves changes only
//! the positions that it gains or loses.

use crate::ids::NodeId;
use crate::member_view::Member;
use crate::member_view::MemberState;
use crate::member_view::Members;

/// Returns the rendezvous weight of a node for a subject.
pub fn weight(subject: &str, node: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(subject.len() as u64).to_le_bytes());
    hasher.update(subject.as_bytes());
    hasher.update(node.as_bytes());
    let mut reader = hasher.finalize_xof();
    let mut bytes = [0; 8];
    reader.fill(&mut bytes);
    u64::from_le_bytes(bytes)
}

/// Returns the `count` nodes with the highest weight for a subject, highest first.
pub fn elect<'a>(subject: &str, nodes: impl Iterator<Item = &'a str>, count: usize) -> Vec<NodeId> {
    let mut ranked: Vec<(u64, &str)> = nodes.map(|node| (weight(subject, node), node)).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().take(count).map(|(_, node)| node.to_string()).collect()
}

/// Returns the live members of a data centre.
pub fn live_in_data_centre<'a>(
    members: &'a Members,
    data_centre: &'a str,
) -> impl Iterator<Item = &'a Member> {
    members
        .values()
        .filter(|member| member.state == MemberState::Live)
        .filter(move |member| member.data_centre == data_centre)
}

/// Returns whether `node` is among the `count` nodes elected for a subject in a data centre.
pub fn is_elected(
    members: &Members,
    data_centre: &str,
    subject: &str,
    node: &str,
    count: usize,
) -> bool {
    let live = live_in_data_centre(members, data_centre).map(|member| member.node.as_str());
    elect(subject, live, count).iter().any(|elected| elected == node)
}
