//! Placement of fabric domains on the live nodes by rendezvous hashing, near nodes first.

use crate::ids::NodeId;
use crate::member_view::Member;

/// Location of a fabric domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DomainPlace {
    /// Data centre.
    pub data_centre: String,
    /// Region.
    pub region: String,
}

/// Distance of a node from a domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Distance {
    SameDataCentre,
    SameRegion,
    OtherRegion,
}

/// Returns the nodes in the order in which they should own the domain.
///
/// A node that joins or leaves changes the owner only of the domains that it gains or loses.
pub fn candidates(domain: &str, place: &DomainPlace, nodes: &[Member]) -> Vec<NodeId> {
    let mut ranked: Vec<(Distance, [u8; 32], &Member)> =
        nodes.iter().map(|node| (distance(place, node), score(domain, &node.node), node)).collect();
    ranked.sort_by_key(|a| (a.0, a.1));
    ranked.into_iter().map(|(_, _, node)| node.node.clone()).collect()
}

fn distance(place: &DomainPlace, node: &Member) -> Distance {
    if node.data_centre == place.data_centre {
        return Distance::SameDataCentre;
    }
    match node.region == place.region {
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
