//! Replay protection for the messages between nodes.

use crate::ids::Incarnation;
use crate::ids::NodeId;
use std::collections::HashMap;

/// Maximum number of tracked senders; the least recently heard one is evicted first.
const MAX_SENDERS: usize = 4096;
/// Size of the window of sequence numbers that are tracked, from the highest one down.
const WINDOW: u64 = 128;

#[derive(Debug, Clone, Copy)]
struct Sender {
    incarnation: Incarnation,
    highest: u64,
    /// Bit `i` is set if sequence number `highest - i` was seen.
    seen: u128,
    last_heard: u64,
}

/// Sliding window of the sequence numbers received from each sender.
#[derive(Debug, Default)]
pub struct ReplayWindow {
    senders: HashMap<NodeId, Sender>,
    logical_clock: u64,
}

impl ReplayWindow {
    /// Creates an empty window.
    pub fn new() -> Self {
        Self::default()
    }

    /// Marks a message as seen and returns whether it is new, not a replay or too old.
    pub fn accept(&mut self, sender: &str, incarnation: Incarnation, sequence: u64) -> bool {
        self.logical_clock += 1;
        let last_heard = self.logical_clock;
        let Some(known) = self.senders.get_mut(sender) else {
            self.evict();
            let entry = Sender { incarnation, highest: sequence, seen: 1, last_heard };
            self.senders.insert(sender.to_string(), entry);
            return true;
        };
        known.last_heard = last_heard;
        if incarnation != known.incarnation {
            let is_newer = incarnation > known.incarnation;
            if is_newer {
                *known = Sender { incarnation, highest: sequence, seen: 1, last_heard };
            }
            return is_newer;
        }
        known.accept_sequence(sequence)
    }

    fn evict(&mut self) {
        if self.senders.len() < MAX_SENDERS {
            return;
        }
        let oldest = self.senders.iter().min_by_key(|(_, sender)| sender.last_heard);
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
