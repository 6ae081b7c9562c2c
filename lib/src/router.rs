//! Selection of the replica for a request.
//!
//! Rendezvous hashing ranks the replicas for each prompt prefix. A request goes to the one with
//! more headroom among the first two that have any, so that prompts with a common prefix share a
//! prefix cache, and every node spills load over in the same order. A request suspected of crashing
//! replicas is routed by the hash of its content alone, so that copies on several nodes go to the
//! same replica, and suspects that ran on the same replica are separated.

use crate::generated::engine::Priority;
use crate::ids::GroupId;
use crate::replica::Replica;
use crate::replica::Share;
use crate::request::mix;
use std::sync::Arc;
use tokio::time::Instant;

/// Headroom, as a fraction of the limit, that is added for a replica in the node's data centre.
const SAME_DATA_CENTRE_BONUS: f64 = 0.1;

/// Degree to which a request is suspected of crashing replicas.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Suspicion {
    /// It was not running at any known crash.
    None,
    /// It was running when a replica crashed.
    Suspect,
    /// It was running at so many crashes that it must not share a replica with another suspect.
    Isolated,
}

/// Criteria for the selection of a replica.
#[derive(Debug, Clone)]
pub struct SelectionCriteria {
    /// Hash of the prompt's prefix, or of the content of a suspect.
    pub hash: u64,
    /// Priority of the request.
    pub priority: Priority,
    /// Groups on which this request has failed.
    pub avoid: Vec<GroupId>,
    /// The only group that may be used, if the request is bound to one.
    pub only: Option<GroupId>,
    /// Adapter that the replica must have loaded, if the caller names one.
    pub adapter: Option<String>,
    /// Whether the request is suspected of crashing replicas.
    pub suspicion: Suspicion,
    /// Whether the response has started; it then goes to the replica with the most headroom, even
    /// if all are full.
    pub has_started: bool,
    /// Whether the customer exceeds its fair share; admission control sets it for each selection.
    pub share: Share,
}

/// Location of the selecting node.
#[derive(Debug, Clone)]
pub struct NodeLocation {
    /// Data centre of the node.
    pub data_centre: String,
    /// Region of the node.
    pub region: String,
    /// Number of nodes that send requests to the same replicas.
    pub nodes: u32,
}

/// Result of a selection.
#[derive(Debug, Clone)]
pub enum Selection {
    /// This replica was selected.
    Replica(Arc<Replica>),
    /// Replicas accept requests, but none has headroom.
    Full,
    /// No replica accepts the request.
    None,
}

/// Selects a replica; other regions are used only if the node's own has no headroom.
pub fn choose(
    replicas: &[Arc<Replica>],
    criteria: &SelectionCriteria,
    location: &NodeLocation,
    now: Instant,
) -> Selection {
    if criteria.has_started && criteria.suspicion == Suspicion::None {
        return least_loaded(replicas, criteria, location, now);
    }
    let is_near = |replica: &&Arc<Replica>| replica.identity.region == location.region;
    let near = select_by_rank(replicas.iter().filter(is_near), criteria, location, now);
    if let Selection::Replica(_) = near {
        return near;
    }
    let far = select_by_rank(
        replicas.iter().filter(|replica| !is_near(replica)),
        criteria,
        location,
        now,
    );
    match (&near, &far) {
        (Selection::Full, Selection::None) => near,
        _ => far,
    }
}

/// Selects the replica with the most headroom, even if it is full, since a response that has
/// started must not wait for a slot again. Replicas in the node's region are preferred.
fn least_loaded(
    replicas: &[Arc<Replica>],
    criteria: &SelectionCriteria,
    location: &NodeLocation,
    now: Instant,
) -> Selection {
    let allowed = replicas.iter().filter(|replica| is_allowed(replica, criteria, now));
    let order = |replica: &&Arc<Replica>| {
        let is_near = replica.identity.region == location.region;
        (is_near, weighted_headroom(headroom(replica, criteria, location), replica, location))
    };
    let best = allowed.max_by(|a, b| {
        let ((a_near, a_headroom), (b_near, b_headroom)) = (order(a), order(b));
        a_near.cmp(&b_near).then(a_headroom.total_cmp(&b_headroom))
    });
    best.map_or(Selection::None, |replica| Selection::Replica(replica.clone()))
}

/// Returns the replica that every node selects for a suspect, independent of load and ejections.
pub fn rendezvous_replica<'a>(
    replicas: &'a [Arc<Replica>],
    fingerprint: u64,
    avoid: &[GroupId],
    location: &NodeLocation,
) -> Option<&'a Arc<Replica>> {
    let usable = replicas.iter().filter(|replica| !avoid.contains(&replica.identity.group));
    let rank = |replica: &&Arc<Replica>| {
        let is_near = replica.identity.region == location.region;
        (is_near, mix(replica.hash, fingerprint))
    };
    usable.max_by_key(rank)
}

fn select_by_rank<'a>(
    replicas: impl Iterator<Item = &'a Arc<Replica>>,
    criteria: &SelectionCriteria,
    location: &NodeLocation,
    now: Instant,
) -> Selection {
    let mut has_allowed = false;
    let mut first: Option<(u64, f64, &Arc<Replica>)> = None;
    let mut second: Option<(u64, f64, &Arc<Replica>)> = None;
    for replica in replicas.filter(|replica| is_allowed(replica, criteria, now)) {
        has_allowed = true;
        let headroom = headroom(replica, criteria, location);
        if headroom <= 0.0 {
            continue;
        }
        let rank = mix(replica.hash, criteria.hash);
        if first.is_none_or(|(known, ..)| rank > known) {
            second = first.replace((rank, headroom, replica));
        } else if second.is_none_or(|(known, ..)| rank > known) {
            second = Some((rank, headroom, replica));
        }
    }
    match (first, second) {
        (Some((_, _, replica)), None) => Selection::Replica(replica.clone()),
        (Some((_, _, replica)), _) if criteria.suspicion > Suspicion::None => {
            Selection::Replica(replica.clone())
        }
        (Some(a), Some(b)) => {
            let is_second =
                weighted_headroom(b.1, b.2, location) > weighted_headroom(a.1, a.2, location);
            Selection::Replica(if is_second { b.2.clone() } else { a.2.clone() })
        }
        (None, _) if has_allowed => Selection::Full,
        (None, _) => Selection::None,
    }
}

fn is_allowed(replica: &Replica, criteria: &SelectionCriteria, now: Instant) -> bool {
    let identity = &replica.identity;
    let is_requested = criteria.only.as_ref().is_none_or(|only| *only == identity.group);
    let has_adapter = criteria.adapter.is_none() || criteria.adapter == identity.adapter;
    let is_avoided = criteria.avoid.contains(&identity.group);
    is_requested && has_adapter && !is_avoided && replica.accepts_requests(now)
}

/// Returns a replica's headroom for the request; 0 if the request is isolated and a suspect runs
/// there.
fn headroom(replica: &Replica, criteria: &SelectionCriteria, location: &NodeLocation) -> f64 {
    if criteria.suspicion == Suspicion::Isolated && replica.suspects() > 0 {
        return 0.0;
    }
    replica.headroom(criteria.priority, criteria.share, location.nodes)
}

fn weighted_headroom(headroom: f64, replica: &Replica, location: &NodeLocation) -> f64 {
    let is_same_data_centre = replica.identity.data_centre == location.data_centre;
    headroom + if is_same_data_centre { SAME_DATA_CENTRE_BONUS } else { 0.0 }
}
