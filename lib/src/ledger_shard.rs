//! The content of one ledger shard and what operations do to it.

use crate::generated::requests::LedgerAnswer;
use crate::generated::requests::LedgerEntry;
use crate::generated::requests::LedgerOp;
use crate::generated::requests::LedgerShard;
use crate::generated::requests::LedgerState;
use crate::ledger_key::LedgerKeyTime;
use crate::platform::MAX_OBJECT_BYTES;
use std::collections::BTreeMap;
use std::time::Duration;

/// Largest encoded shard, below the store's bound.
pub const MAX_SHARD_BYTES: usize = MAX_OBJECT_BYTES - MAX_OBJECT_BYTES / 10;
/// Upper bound on an entry's encoded size without its key, customer, node and answer.
const ENTRY_BYTES: usize = 260;
/// Longest answer that is kept.
pub const MAX_KEPT_ANSWER_BYTES: usize = 1024;
/// Part of the largest size, in percent, above which kept answers are dropped, oldest key first.
const DROP_ANSWERS_PERCENT: usize = 60;

/// A shard in memory.
#[derive(Debug, Clone, PartialEq)]
pub struct ShardContent {
    shard: u32,
    writer: String,
    epoch: u64,
    entries: BTreeMap<(String, String), LedgerEntry>,
    bytes: usize,
}

impl ShardContent {
    /// Returns an empty shard.
    pub fn new(shard: u32) -> Self {
        Self { shard, writer: String::new(), epoch: 0, entries: BTreeMap::new(), bytes: 0 }
    }

    /// Returns the shard that the store holds.
    pub fn from_stored(stored: LedgerShard) -> Self {
        let mut content = Self::new(stored.shard);
        content.writer = stored.writer;
        content.epoch = stored.epoch;
        for entry in stored.entries {
            content.insert(entry);
        }
        content
    }

    /// Returns the form that the store holds.
    pub fn to_stored(&self, write_id: String) -> LedgerShard {
        LedgerShard {
            shard: self.shard,
            writer: self.writer.clone(),
            epoch: self.epoch,
            write_id,
            entries: self.entries.values().cloned().collect(),
        }
    }

    /// Notes who writes the next version; a change of the writer raises the epoch.
    pub fn set_writer(&mut self, node: &str) {
        if self.writer != node {
            self.writer = node.to_string();
            self.epoch += 1;
        }
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Carries out an operation and returns its answer, and whether the shard changed.
    pub fn apply(&mut self, op: &LedgerOp) -> (LedgerAnswer, bool) {
        match op {
            LedgerOp::Read(key) => {
                let found = self.entries.get(&(key.customer.clone(), key.key.clone()));
                let answer = found.map_or(LedgerAnswer::Absent, |e| LedgerAnswer::Entry(e.clone()));
                (answer, false)
            }
            LedgerOp::Put(entry) => self.put(entry),
        }
    }

    fn put(&mut self, entry: &LedgerEntry) -> (LedgerAnswer, bool) {
        let known = self.entries.get(&(entry.customer.clone(), entry.key.clone()));
        if let Some(known) = known {
            let is_same_run = known.attempt == entry.attempt;
            let is_final = known.state != LedgerState::Started;
            if !is_same_run || is_final || known.state == entry.state {
                return (LedgerAnswer::Entry(known.clone()), false);
            }
        }
        let mut entry = entry.clone();
        entry.epoch = known.map_or(self.epoch, |known| known.epoch);
        if known.is_none() && self.bytes + size(&entry) > MAX_SHARD_BYTES {
            return (LedgerAnswer::NotWritten("the shard is full".to_string()), false);
        }
        entry.answer = entry.answer.filter(|answer| answer.len() <= MAX_KEPT_ANSWER_BYTES);
        self.insert(entry.clone());
        self.drop_answers();
        (LedgerAnswer::Entry(entry), true)
    }

    /// Forgets keys that no node accepts any more.
    pub fn forget(&mut self, unix: Duration) {
        let is_kept = |entry: &LedgerEntry| {
            LedgerKeyTime::parse(&entry.key).is_some_and(|time| !time.is_forgettable(unix))
        };
        self.entries.retain(|_, entry| is_kept(entry));
        self.bytes = self.entries.values().map(size).sum();
    }

    fn insert(&mut self, entry: LedgerEntry) {
        self.bytes += size(&entry);
        let key = (entry.customer.clone(), entry.key.clone());
        if let Some(old) = self.entries.insert(key, entry) {
            self.bytes -= size(&old);
        }
    }

    /// Drops kept answers, oldest key first, while the shard is large: the outcome stays.
    fn drop_answers(&mut self) {
        let bound = MAX_SHARD_BYTES * DROP_ANSWERS_PERCENT / 100;
        if self.bytes <= bound {
            return;
        }
        let mut by_age: Vec<&mut LedgerEntry> =
            self.entries.values_mut().filter(|entry| entry.answer.is_some()).collect();
        by_age.sort_by(|a, b| a.key.cmp(&b.key));
        for entry in by_age {
            if self.bytes <= bound {
                return;
            }
            self.bytes -= size(entry);
            entry.answer = None;
            self.bytes += size(entry);
        }
    }
}

/// Returns an upper bound on an entry's encoded size; escapes at most double a kept answer.
fn size(entry: &LedgerEntry) -> usize {
    let answer = entry.answer.as_ref().map_or(0, |answer| 2 * answer.len());
    let names = entry.key.len() + entry.customer.len() + entry.node.len() + entry.attempt.len();
    ENTRY_BYTES + names + answer
}
