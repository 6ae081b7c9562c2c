//! Choice of the replica for a request.
//!
//! Each prompt prefix has an order of replicas by rendezvous hash. A request goes to the one with
//! more room among the first two that have any, so that prompts with a common prefix meet in the
//! same prefix caches, and load that spills over does so in the same order on every node. Suspects
//! of crashing replicas are placed by their own hash alone, so that copies of one on several nodes
//! meet on one replica and suspects that ran side by side part.

use crate::generated::engine::Priority;
use crate::ids::GroupId;
use crate::replica::Replica;
use crate::replica::Share;
use crate::request::mix;
use std::sync::Arc;
use tokio::time::Instant;

/// Difference in room, as a part of the limit, above which the nearer replica loses its preference.
const NEAR_PREFERENCE: f64 = 0.1;

/// How much a request is suspected of crashing replicas.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Suspicion {
    /// It was never running at a crash.
    None,
    /// It was running at a crash.
    Suspect,
    /// It was running at so many crashes that it runs beside no other suspect.
    Isolated,
}

/// What the choice of a replica depends on.
#[derive(Debug, Clone)]
pub struct Choice {
    /// Hash of the prompt's prefix, or of the content for a suspect.
    pub hash: u64,
    /// Priority.
    pub priority: Priority,
    /// Groups that this request has failed on.
    pub avoid: Vec<GroupId>,
    /// Group that must be used, where only one will do.
    pub only: Option<GroupId>,
    /// Adapter that the replica must have loaded, where the caller names one.
    pub adapter: Option<String>,
    /// Suspicion.
    pub suspicion: Suspicion,
    /// Whether the answer has begun: it goes to the replica with most room, even when all are full.
    pub has_begun: bool,
    /// Whether the customer runs more than its share; admission sets it at each choice.
    pub share: Share,
}

/// Position of the choosing node.
#[derive(Debug, Clone)]
pub struct Place {
    /// Data centre.
    pub data_centre: String,
    /// Region.
    pub region: String,
    /// Nodes that send requests to the same replicas.
    pub nodes: u32,
}

/// Result of a choice.
#[derive(Debug, Clone)]
pub enum Chosen {
    /// This replica has room.
    Replica(Arc<Replica>),
    /// There are replicas, but none has room now.
    Full,
    /// No replica takes requests.
    None,
}

/// Chooses a replica; the far region is used only when the near one has no room.
pub fn choose(replicas: &[Arc<Replica>], choice: &Choice, place: &Place, now: Instant) -> Chosen {
    if choice.has_begun && choice.suspicion == Suspicion::None {
        return roomiest(replicas, choice, place, now);
    }
    let is_near = |replica: &&Arc<Replica>| replica.identity.region == place.region;
    let near = best(replicas.iter().filter(is_near), choice, place, now);
    if let Chosen::Replica(_) = near {
        return near;
    }
    let far = best(replicas.iter().filter(|replica| !is_near(replica)), choice, place, now);
    match (&near, &far) {
        (Chosen::Full, Chosen::None) => near,
        _ => far,
    }
}

/// Chooses the replica with most room for an answer that has begun: its caller must not wait for a
/// place that it had already.
fn roomiest(replicas: &[Arc<Replica>], choice: &Choice, place: &Place, now: Instant) -> Chosen {
    let allowed = replicas.iter().filter(|replica| is_allowed(replica, choice, now));
    let order = |replica: &&Arc<Replica>| {
        let is_near = replica.identity.region == place.region;
        (is_near, weighed(room(replica, choice, place), replica, place))
    };
    let best = allowed.max_by(|a, b| {
        let ((a_near, a_room), (b_near, b_room)) = (order(a), order(b));
        a_near.cmp(&b_near).then(a_room.total_cmp(&b_room))
    });
    best.map_or(Chosen::None, |replica| Chosen::Replica(replica.clone()))
}

/// Returns the replica that every node would choose for a suspect, whatever it knows of replicas.
pub fn meeting_place<'a>(
    replicas: &'a [Arc<Replica>],
    fingerprint: u64,
    avoid: &[GroupId],
    place: &Place,
) -> Option<&'a Arc<Replica>> {
    let usable = replicas.iter().filter(|replica| !avoid.contains(&replica.identity.group));
    let rank = |replica: &&Arc<Replica>| {
        let is_near = replica.identity.region == place.region;
        (is_near, mix(replica.hash, fingerprint))
    };
    usable.max_by_key(rank)
}

fn best<'a>(
    replicas: impl Iterator<Item = &'a Arc<Replica>>,
    choice: &Choice,
    place: &Place,
    now: Instant,
) -> Chosen {
    let mut is_any = false;
    let mut first: Option<(u64, f64, &Arc<Replica>)> = None;
    let mut second: Option<(u64, f64, &Arc<Replica>)> = None;
    for replica in replicas.filter(|replica| is_allowed(replica, choice, now)) {
        is_any = true;
        let room = room(replica, choice, place);
        if room <= 0.0 {
            continue;
        }
        let rank = mix(replica.hash, choice.hash);
        if first.is_none_or(|(known, ..)| rank > known) {
            second = first.replace((rank, room, replica));
        } else if second.is_none_or(|(known, ..)| rank > known) {
            second = Some((rank, room, replica));
        }
    }
    match (first, second) {
        (Some((_, _, replica)), None) => Chosen::Replica(replica.clone()),
        (Some((_, _, replica)), _) if choice.suspicion > Suspicion::None => {
            Chosen::Replica(replica.clone())
        }
        (Some(a), Some(b)) => {
            let is_second = weighed(b.1, b.2, place) > weighed(a.1, a.2, place);
            Chosen::Replica(if is_second { b.2.clone() } else { a.2.clone() })
        }
        (None, _) if is_any => Chosen::Full,
        (None, _) => Chosen::None,
    }
}

fn is_allowed(replica: &Replica, choice: &Choice, now: Instant) -> bool {
    let identity = &replica.identity;
    let is_asked = choice.only.as_ref().is_none_or(|only| *only == identity.group);
    let has_adapter = choice.adapter.is_none() || choice.adapter == identity.adapter;
    let is_avoided = choice.avoid.contains(&identity.group);
    is_asked && has_adapter && !is_avoided && replica.takes_work(now)
}

/// Returns the room that a replica has for the request; an isolated one needs it free of suspects.
fn room(replica: &Replica, choice: &Choice, place: &Place) -> f64 {
    if choice.suspicion == Suspicion::Isolated && replica.suspects() > 0 {
        return 0.0;
    }
    replica.room(choice.priority, choice.share, place.nodes)
}

fn weighed(room: f64, replica: &Replica, place: &Place) -> f64 {
    let is_near = replica.identity.data_centre == place.data_centre;
    room + if is_near { NEAR_PREFERENCE } else { 0.0 }
}
