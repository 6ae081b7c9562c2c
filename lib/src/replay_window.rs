//! Replay check of messages between nodes.

use crate::ids::Incarnation;
use crate::ids::NodeId;
use std::collections::HashMap;

/// Senders that are remembered; the least recently heard is forgotten first.
const MAX_SENDERS: usize = 4096;
/// Sequence numbers below the highest that are still told apart.
const WINDOW: u64 = 128;

#[derive(Debug, Clone, Copy)]
struct Sender {
    incarnation: Incarnation,
    highest: u64,
    /// Bit `i` stands for sequence number `highest - i`.
    seen: u128,
    heard: u64,
}

/// Which sequence numbers of each sender were seen.
#[derive(Debug, Default)]
pub struct ReplayWindow {
    senders: HashMap<NodeId, Sender>,
    clock: u64,
}

impl ReplayWindow {
    /// Returns an empty window.
    pub fn new() -> Self {
        Self::default()
    }

    /// Marks a message as seen and tells whether it is fresh.
    pub fn accept(&mut self, sender: &str, incarnation: Incarnation, sequence: u64) -> bool {
        self.clock += 1;
        let heard = self.clock;
        let Some(known) = self.senders.get_mut(sender) else {
            self.evict();
            let entry = Sender { incarnation, highest: sequence, seen: 1, heard };
            self.senders.insert(sender.to_string(), entry);
            return true;
        };
        known.heard = heard;
        if incarnation != known.incarnation {
            let is_newer = incarnation > known.incarnation;
            if is_newer {
                *known = Sender { incarnation, highest: sequence, seen: 1, heard };
            }
            return is_newer;
        }
        known.accept_sequence(sequence)
    }

    fn evict(&mut self) {
        if self.senders.len() < MAX_SENDERS {
            return;
        }
        let oldest = self.senders.iter().min_by_key(|(_, sender)| sender.heard);
        if let Some(oldest) = oldest.map(|(id, _)| id.clone()) {
            self.senders.remove(&oldest);
        }
    }
}

impl Sender {
    fn accept_sequence(&mut self, sequence: u64) -> bool {
        if sequence > self.highest {
            let shift = sequence - self.highest;
            self.seen = if shift >= WINDOW { 0 } else { self.seen << shift };
            self.seen |= 1;
            self.highest = sequence;
            return true;
        }
        let age = self.highest - sequence;
        if age >= WINDOW || self.seen & (1 << age) != 0 {
            return false;
        }
        self.seen |= 1 << age;
        true
    }
}
