//! The ledger of requests that run at most once. It records which idempotency keys were used, by
//! which customer, and the outcome of each request. An entry is written to the platform's store
//! before its request is sent to an upstream.

use crate::cx::Cx;
use crate::fleet_key::FleetKey;
use crate::generated::requests::LedgerAnswer;
use crate::generated::requests::LedgerCall;
use crate::generated::requests::LedgerKey;
use crate::generated::requests::LedgerOp;
use crate::ids::Address;
use crate::ledger_peer;
use crate::ledger_writer;
use crate::ledger_writer::LedgerTask;
use crate::metric_names;
use crate::request::first_u64;
use crate::request::mix;
use crate::store_client::StoreClient;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

/// Number of shards of the ledger; each is one object in the platform's store.
pub const SHARD_COUNT: u32 = 32;
/// Capacity of the queue of operations of one shard.
const QUEUE_LEN: usize = 4096;
/// Timeout of an operation, including its time in the queue.
const OP_TIMEOUT: Duration = Duration::from_secs(3);

/// Handle to the ledger; clones share the shard writers.
#[derive(Clone)]
pub struct Ledger {
    cx: Cx,
    store: StoreClient,
    key: Option<Arc<FleetKey>>,
    writers: Arc<Mutex<HashMap<u32, mpsc::Sender<LedgerTask>>>>,
}

impl Ledger {
    /// Creates the ledger; without a fleet key this node writes every shard itself.
    pub fn new(cx: Cx, store: StoreClient, key: Option<FleetKey>) -> Self {
        Self { cx, store, key: key.map(Arc::new), writers: Arc::default() }
    }

    /// Executes an operation on the shard's preferred writer, or on this node if that writer does
    /// not respond.
    ///
    /// Operations of the same run are idempotent, so one whose response from the preferred writer
    /// was lost can be executed again on this node.
    pub async fn execute(&self, op: LedgerOp) -> LedgerAnswer {
        let shard = shard_of(&key_of(&op));
        if let (Some(key), Some(address)) = (&self.key, self.preferred_writer(shard)) {
            self.cx.metrics.count(metric_names::LEDGER_FORWARDS, 1);
            let call = LedgerCall { unix: self.cx.clock.unix(), shard, op: op.clone() };
            if let Some(answer) = ledger_peer::send(key, &address, &call).await {
                return answer;
            }
        }
        self.execute_locally(shard, op).await
    }

    /// Executes an operation on this node, whichever node is the shard's preferred writer.
    pub async fn execute_locally(&self, shard: u32, op: LedgerOp) -> LedgerAnswer {
        let (tx, rx) = oneshot::channel();
        if self.writer(shard).try_send(LedgerTask { op, tx }).is_err() {
            return LedgerAnswer::NotWritten("the queue of the shard is full".to_string());
        }
        match tokio::time::timeout(OP_TIMEOUT, rx).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) => LedgerAnswer::Unclear("the writer of the shard stopped".to_string()),
            Err(_) => LedgerAnswer::Unclear(format!(
                "the ledger operation did not complete within {OP_TIMEOUT:?}"
            )),
        }
    }

    /// Returns whether the store client considers the store available.
    pub fn is_available(&self) -> bool {
        self.store.is_available()
    }

    /// Returns the fleet key, with which the nodes authenticate forwarded operations.
    pub fn key(&self) -> Option<&FleetKey> {
        self.key.as_deref()
    }

    fn writer(&self, shard: u32) -> mpsc::Sender<LedgerTask> {
        let mut writers = self.writers.lock().unwrap_or_else(PoisonError::into_inner);
        let start = || {
            let (tx, rx) = mpsc::channel(QUEUE_LEN);
            tokio::spawn(ledger_writer::run(self.cx.clone(), self.store.clone(), shard, rx));
            tx
        };
        writers.entry(shard).or_insert_with(start).clone()
    }

    /// Returns the address of the node that writes a shard by preference; `None` if it is this
    /// node.
    ///
    /// The node is chosen by rendezvous hashing over the members. Nodes may disagree while the
    /// membership changes; they then all write the shard, and retry on version conflicts.
    fn preferred_writer(&self, shard: u32) -> Option<Address> {
        let rank = |node: &str| mix(first_u64(&blake3::hash(node.as_bytes())), u64::from(shard));
        let members = self.cx.members.usable();
        let best = members.iter().max_by_key(|member| rank(&member.node))?;
        (best.node != self.cx.node()).then(|| best.caller_address.clone())
    }
}

/// Returns the customer and idempotency key of the entry that an operation reads or writes.
pub fn key_of(op: &LedgerOp) -> LedgerKey {
    match op {
        LedgerOp::Read(key) => key.clone(),
        LedgerOp::Put(entry) => {
            LedgerKey { customer: entry.customer.clone(), key: entry.key.clone() }
        }
    }
}

/// Returns the shard that holds a key, by a hash of the customer and the key.
pub fn shard_of(key: &LedgerKey) -> u32 {
    let hash = blake3::hash(format!("{} {}", key.customer, key.key).as_bytes());
    (first_u64(&hash) % u64::from(SHARD_COUNT)) as u32
}
