//! Assignment of fabric domains to live nodes by rendezvous hashing, with the nearest nodes first.

use crate::ids::NodeId;
use crate::member_view::Member;

/// Location of a fabric domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DomainLocation {
    /// Data centre of the domain.
    pub data_centre: String,
    /// Region of the domain.
    pub region: String,
}

/// Distance of a node from a domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Distance {
    SameDataCentre,
    SameRegion,
    OtherRegion,
}

/// Returns the nodes in the order of preference as owner of the domain.
///
/// When a node joins or leaves, only the domains that it gains or loses change their owner.
pub fn candidates(domain: &str, location: &DomainLocation, nodes: &[Member]) -> Vec<NodeId> {
    let mut ranked: Vec<(Distance, [u8; 32], &Member)> = nodes
        .iter()
        .map(|node| (distance(location, node), score(domain, &node.node), node))
        .collect();
    ranked.sort_by_key(|a| (a.0, a.1));
    ranked.into_iter().map(|(_, _, node)| node.node.clone()).collect()
}

fn distance(location: &DomainLocation, node: &Member) -> Distance {
    if node.data_centre == location.data_centre {
        return Distance::SameDataCentre;
    }
    match node.region == location.region {
        true => Distance::SameRegion,
        false => Distance::OtherRegion,
    }
}

fn score(domain: &str, node: &str) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(domain.as_bytes());
    hasher.update(&[0]);
    hasher.update(node.as_bytes());
    *hasher.finalize().as_bytes()
}
