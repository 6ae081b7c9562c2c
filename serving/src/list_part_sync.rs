//! Sends, passes on and requests the parts of changes of the instance list in large fleets.
//!
//! Each part goes to one node of each data centre, which passes it on to the others there, and is never passed
//! on twice.

use crate::instance_list_delta;
use crate::instance_list_delta::DeltaFit;
use crate::instance_list_delta::InstanceListDelta;
use crate::instance_list_sync;
use crate::list_parts;
use crate::list_parts::ListPart;
use crate::list_parts::ListRequest;
use crate::list_parts::ReceivedParts;
use crate::list_parts::SentChanges;
use crate::peer_codec::PeerMessage;
use crate::serving_cx::ServingCx;
use std::net::IpAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use tokio::time::Instant;

/// Interval between two parts of a change. Three watchers that send at the same time then use three quarters
/// of a receiver's link of 20 Mbit/s.
pub const PART_INTERVAL: Duration = Duration::from_millis(2);
/// Interval at which missing parts are looked for.
pub const REQUEST_PERIOD: Duration = Duration::from_millis(50);

/// A message with the addresses to which it is sent.
pub type Addressed = (PeerMessage, Vec<IpAddr>);

/// State of a node as a sender and as a receiver of parts.
#[derive(Debug, Clone)]
pub struct ListPartSync {
    cx: ServingCx,
    sent: Arc<Mutex<SentChanges>>,
    received: Arc<Mutex<ReceivedParts>>,
}

impl ListPartSync {
    /// Creates the state of a node that has sent and received nothing.
    pub fn new(cx: ServingCx) -> Self {
        Self { cx, sent: Arc::default(), received: Arc::default() }
    }

    /// Returns the messages that tell other nodes of changes which this node has read from the store: those
    /// that are sent at once, and the parts, between which `PART_INTERVAL` passes.
    pub fn messages(&self, delta: InstanceListDelta) -> (Vec<Addressed>, Vec<Vec<Addressed>>) {
        if !self.cx.is_large_fleet() {
            return (vec![(PeerMessage::News(delta), self.cx.nodes.addresses())], vec![]);
        }
        lock(&self.sent).push(delta.clone());
        let parts = list_parts::split(self.cx.node(), &delta);
        if parts.len() == 1 {
            return (vec![(PeerMessage::News(delta), self.cx.nodes.addresses())], vec![]);
        }
        let (receivers, others) =
            self.cx.nodes.part_receivers(Instant::now(), self.cx.heartbeat_period());
        let whole =
            if others.is_empty() { vec![] } else { vec![(PeerMessage::News(delta), others)] };
        let addressed = |part: &ListPart| {
            let to = list_parts::spread(part, &receivers).into_iter();
            let message = |(address, is_spread): (IpAddr, bool)| {
                let part = ListPart { is_spread, ..part.clone() };
                (PeerMessage::NewsPart(part), vec![address])
            };
            to.map(message).collect()
        };
        (whole, parts.iter().map(addressed).collect())
    }

    /// Applies a part; returns it for the other nodes of the data centre if this node has to pass it on.
    pub fn apply_part(&self, from: IpAddr, part: ListPart) -> Option<Addressed> {
        let now = Instant::now();
        let passed_on = part.is_spread.then(|| {
            let (receivers, _) = self.cx.nodes.part_receivers(now, self.cx.heartbeat_period());
            let is_near = |address: &IpAddr| *address != from;
            let near = receivers.into_iter().filter(|receiver| {
                receiver.data_centre == self.cx.settings.data_centre
                    && receiver.node != part.watcher
            });
            let to = near.map(|receiver| receiver.address).filter(is_near).collect();
            (PeerMessage::NewsPart(ListPart { is_spread: false, ..part.clone() }), to)
        });
        if part.to > self.cx.fleet.sync_state().revision && part.watcher != self.cx.node() {
            let watcher = part.watcher.clone();
            let complete = lock(&self.received).add(part, now);
            if let Some(delta) = complete {
                self.apply(&watcher, delta, now);
            }
        }
        passed_on
    }

    /// Applies whole changes that a watcher sent, and those that were waiting for them.
    pub fn apply(&self, watcher: &str, delta: InstanceListDelta, now: Instant) {
        let mut next = Some((watcher.to_string(), delta));
        while let Some((watcher, delta)) = next {
            let state = self.cx.fleet.sync_state();
            let era = self.cx.nodes.era_of(&watcher);
            let is_current = era.is_none_or(|era| era == state.era);
            let fit = instance_list_delta::compare_to_revision(&delta, state.revision);
            if fit == DeltaFit::Gap && is_current && !state.is_unlisted {
                let mut received = lock(&self.received);
                received.note_gap(&watcher, delta.to, now);
                received.keep_later(&watcher, delta.clone());
            }
            let hold_until = instance_list_sync::hold_until(&self.cx);
            self.cx.fleet.apply_forwarded(delta, era, hold_until, now);
            next = match fit {
                DeltaFit::Gap => None,
                _ => lock(&self.received).take_next(self.cx.fleet.sync_state().revision),
            };
        }
    }

    /// Records the revision that a watcher states in its heartbeat.
    pub fn note_watcher(&self, watcher: &str, revision: u64, now: Instant) {
        let state = self.cx.fleet.sync_state();
        let is_current = self.cx.nodes.era_of(watcher).is_none_or(|era| era == state.era);
        if is_current && !state.is_unlisted && revision > state.revision {
            lock(&self.received).note_gap(watcher, revision, now);
        }
    }

    /// Returns the requests for missing changes that are due.
    pub fn requests(&self) -> Vec<Addressed> {
        let state = self.cx.fleet.sync_state();
        if state.revision == 0 {
            return vec![];
        }
        let due = lock(&self.received).due_requests(state.revision, Instant::now());
        let addressed = |(watcher, req): (String, ListRequest)| {
            let address = self.cx.nodes.address_of(&watcher)?;
            Some((PeerMessage::NewsRequest(req), vec![address]))
        };
        due.into_iter().filter_map(addressed).collect()
    }

    /// Returns the parts that the node at an address requests.
    pub fn answer(&self, from: IpAddr, req: &ListRequest) -> Vec<Addressed> {
        let parts = lock(&self.sent).answer(self.cx.node(), req, Instant::now());
        parts.into_iter().map(|part| (PeerMessage::NewsPart(part), vec![from])).collect()
    }
}

fn lock<T>(state: &Mutex<T>) -> MutexGuard<'_, T> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
