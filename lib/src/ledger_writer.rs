//! The writer of one ledger shard on this node. It executes operations in batches with conditional
//! writes to the store. Safety relies only on the store's version check, so any node may write any
//! shard at any time; having one preferred writer per shard only saves writes.

use crate::cx::Cx;
use crate::generated::events::Event;
use crate::generated::platform::PutObject;
use crate::generated::platform::PutOutcome;
use crate::generated::requests::LedgerAnswer;
use crate::generated::requests::LedgerOp;
use crate::generated::requests::LedgerShard;
use crate::ids::ObjectVersion;
use crate::ledger_shard::ShardContent;
use crate::metric_names;
use crate::store_client::CallClass;
use crate::store_client::StoreClient;
use crate::store_client::StoreError;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Shortest interval between two writes of a shard by one node; operations that arrive meanwhile
/// are executed as one batch.
pub const WRITE_INTERVAL: Duration = Duration::from_millis(100);
/// Largest number of operations in one batch.
const MAX_BATCH: usize = 512;
/// Largest number of attempts to execute a batch; writes of other nodes cause further attempts.
const MAX_ATTEMPTS: u32 = 8;

/// An operation in the queue of a shard's writer.
pub struct LedgerTask {
    /// Operation to execute.
    pub op: LedgerOp,
    /// Channel on which the result is sent.
    pub tx: oneshot::Sender<LedgerAnswer>,
}

struct Writer {
    cx: Cx,
    store: StoreClient,
    shard: u32,
    cached: Option<(ShardContent, ObjectVersion)>,
    writes: u64,
}

/// Executes the operations on a shard until all senders are dropped.
pub async fn run(cx: Cx, store: StoreClient, shard: u32, mut rx: mpsc::Receiver<LedgerTask>) {
    let mut writer = Writer { cx, store, shard, cached: None, writes: 0 };
    let mut batch = vec![];
    while rx.recv_many(&mut batch, MAX_BATCH).await > 0 {
        let started = Instant::now();
        let ops: Vec<LedgerOp> = batch.iter().map(|task| task.op.clone()).collect();
        writer.cx.metrics.count(metric_names::LEDGER_OPS, ops.len() as i64);
        let answers = writer.execute(&ops).await;
        for (task, answer) in batch.drain(..).zip(answers) {
            // The request may have been cancelled, so that nobody receives the result.
            let _ = task.tx.send(answer);
        }
        tokio::time::sleep_until(started + WRITE_INTERVAL).await;
    }
}

impl Writer {
    async fn execute(&mut self, ops: &[LedgerOp]) -> Vec<LedgerAnswer> {
        let mut is_current = false;
        for _ in 0..MAX_ATTEMPTS {
            let (mut content, version) = match self.cached.take() {
                Some(cached) => cached,
                None => match self.read().await {
                    Ok(read) => {
                        is_current = true;
                        read
                    }
                    Err(e) => return self.fail_all(ops, &e),
                },
            };
            let before = content.clone();
            content.set_writer(self.cx.node());
            content.remove_expired(self.cx.clock.unix());
            let mut is_changed = false;
            let mut answers = vec![];
            for op in ops {
                let (answer, changed) = content.apply(op);
                is_changed |= changed;
                answers.push(answer);
            }
            if !is_changed && is_current {
                self.cached = Some((before, version));
                return answers;
            }
            if !is_changed {
                // The cached content may be stale, and there is no write whose version check would
                // detect it, so read the shard again.
                continue;
            }
            match self.write(&content, version).await {
                Ok(PutOutcome::Written(version)) => {
                    self.cached = Some((content, version));
                    return answers;
                }
                Ok(PutOutcome::Conflict(_)) => {
                    self.cx.metrics.count(metric_names::LEDGER_CONFLICTS, 1);
                }
                Err(e) => return self.fail_all(ops, &e),
            }
        }
        let reason = "concurrent writes of other nodes changed the shard on every attempt";
        vec![LedgerAnswer::NotWritten(reason.to_string()); ops.len()]
    }

    async fn read(&self) -> Result<(ShardContent, ObjectVersion), StoreError> {
        let object = self.store.get(CallClass::Ledger, &object_key(self.shard)).await?;
        let Some(object) = object else { return Ok((ShardContent::new(self.shard), 0)) };
        match serde_json::from_str::<LedgerShard>(&object.value) {
            Ok(stored) => Ok((ShardContent::from_stored(stored), object.version)),
            // A shard that cannot be decoded must not be overwritten.
            Err(e) => Err(StoreError::NotApplied(crate::platform::PlatformError::Malformed {
                reason: e.to_string(),
            })),
        }
    }

    async fn write(
        &mut self,
        content: &ShardContent,
        version: ObjectVersion,
    ) -> Result<PutOutcome, StoreError> {
        self.writes += 1;
        let write_id = format!("{} {} {}", self.cx.node(), self.cx.incarnation, self.writes);
        let stored = content.to_stored(write_id);
        let put = PutObject {
            key: object_key(self.shard),
            if_version: version,
            value: serde_json::to_string(&stored).unwrap_or_default(),
        };
        self.cx.metrics.count(metric_names::LEDGER_WRITES, 1);
        self.store.put(CallClass::Ledger, put).await
    }

    fn fail_all(&self, ops: &[LedgerOp], e: &StoreError) -> Vec<LedgerAnswer> {
        let shard = self.shard.to_string();
        self.cx.record(Event::LedgerUnavailable { shard, reason: e.to_string() });
        let answer = |op: &LedgerOp| match op {
            LedgerOp::Put(_) if e.may_have_effect() => LedgerAnswer::Unclear(e.to_string()),
            _ => LedgerAnswer::NotWritten(e.to_string()),
        };
        ops.iter().map(answer).collect()
    }
}

/// Returns the key of the store object that holds a shard.
pub fn object_key(shard: u32) -> String {
    format!("ledger/{shard}")
}
