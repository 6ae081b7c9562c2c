//! The entries of one ledger shard in memory, and the operations on them.

use crate::generated::requests::LedgerAnswer;
use crate::generated::requests::LedgerEntry;
use crate::generated::requests::LedgerOp;
use crate::generated::requests::LedgerShard;
use crate::generated::requests::LedgerState;
use crate::ledger_key::LedgerKeyTime;
use crate::platform::MAX_OBJECT_BYTES;
use std::collections::BTreeMap;
use std::time::Duration;

/// Size limit of an encoded shard, 10% below the store's limit for an object.
pub const MAX_SHARD_BYTES: usize = MAX_OBJECT_BYTES - MAX_OBJECT_BYTES / 10;
/// Upper bound on the encoded size of an entry without its customer, key, node, attempt and
/// response.
const ENTRY_BYTES: usize = 260;
/// Longest response body that an entry stores.
pub const MAX_RESPONSE_BYTES: usize = 1024;
/// Percentage of `MAX_SHARD_BYTES` above which stored responses are dropped, oldest key first.
const DROP_RESPONSES_PERCENT: usize = 60;

/// A decoded shard, with an upper bound on its encoded size.
#[derive(Debug, Clone, PartialEq)]
pub struct ShardContent {
    shard: u32,
    writer: String,
    epoch: u64,
    entries: BTreeMap<(String, String), LedgerEntry>,
    bytes: usize,
}

impl ShardContent {
    /// Creates an empty shard that has no writer yet.
    pub fn new(shard: u32) -> Self {
        Self { shard, writer: String::new(), epoch: 0, entries: BTreeMap::new(), bytes: 0 }
    }

    /// Creates a shard from its stored form.
    pub fn from_stored(stored: LedgerShard) -> Self {
        let mut content = Self::new(stored.shard);
        content.writer = stored.writer;
        content.epoch = stored.epoch;
        for entry in stored.entries {
            content.insert(entry);
        }
        content
    }

    /// Returns the stored form of the shard.
    pub fn to_stored(&self, write_id: String) -> LedgerShard {
        LedgerShard {
            shard: self.shard,
            writer: self.writer.clone(),
            epoch: self.epoch,
            write_id,
            entries: self.entries.values().cloned().collect(),
        }
    }

    /// Sets the node that writes the next version; a change of the writer increments the epoch.
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

    /// Returns whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Executes an operation and returns its result and whether it changed the shard.
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
        let existing = self.entries.get(&(entry.customer.clone(), entry.key.clone()));
        if let Some(existing) = existing {
            let is_same_run = existing.attempt == entry.attempt;
            let is_final = existing.state != LedgerState::Started;
            if !is_same_run || is_final || existing.state == entry.state {
                return (LedgerAnswer::Entry(existing.clone()), false);
            }
        }
        let mut entry = entry.clone();
        entry.epoch = existing.map_or(self.epoch, |existing| existing.epoch);
        if existing.is_none() && self.bytes + encoded_size(&entry) > MAX_SHARD_BYTES {
            return (
                LedgerAnswer::NotWritten("the ledger shard has reached its size limit".to_string()),
                false,
            );
        }
        entry.answer = entry.answer.filter(|answer| answer.len() <= MAX_RESPONSE_BYTES);
        self.insert(entry.clone());
        self.drop_responses();
        (LedgerAnswer::Entry(entry), true)
    }

    /// Removes the entries of keys that no node accepts any more.
    pub fn remove_expired(&mut self, unix: Duration) {
        let is_kept = |entry: &LedgerEntry| {
            LedgerKeyTime::parse(&entry.key).is_some_and(|time| !time.is_expired(unix))
        };
        self.entries.retain(|_, entry| is_kept(entry));
        self.bytes = self.entries.values().map(encoded_size).sum();
    }

    fn insert(&mut self, entry: LedgerEntry) {
        self.bytes += encoded_size(&entry);
        let key = (entry.customer.clone(), entry.key.clone());
        if let Some(old) = self.entries.insert(key, entry) {
            self.bytes -= encoded_size(&old);
        }
    }

    /// Drops stored responses, oldest key first, until the shard is small enough. The outcome of
    /// each request is kept.
    fn drop_responses(&mut self) {
        let bound = MAX_SHARD_BYTES * DROP_RESPONSES_PERCENT / 100;
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
            self.bytes -= encoded_size(entry);
            entry.answer = None;
            self.bytes += encoded_size(entry);
        }
    }
}

/// Returns an upper bound on the encoded size of an entry, assuming that JSON escaping at most
/// doubles the length of the response.
fn encoded_size(entry: &LedgerEntry) -> usize {
    let answer = entry.answer.as_ref().map_or(0, |answer| 2 * answer.len());
    let names = entry.key.len() + entry.customer.len() + entry.node.len() + entry.attempt.len();
    ENTRY_BYTES + names + answer
}
