//! Wrappers that hold back a node's calls while a gate is closed, to simulate a suspended process.

use crate::fake_instances::FakeInstances;
use crate::fake_store::FakeStore;
use async_trait::async_trait;
use guavaladder_lib::engine::Engine;
use guavaladder_lib::engine::RecordStream;
use guavaladder_lib::engine::UpstreamError;
use guavaladder_lib::generated::engine::CacheEvent;
use guavaladder_lib::generated::engine::EngineStatus;
use guavaladder_lib::generated::engine::GenerateRequest;
use guavaladder_lib::generated::engine::Order;
use guavaladder_lib::generated::engine::OrderReply;
use guavaladder_lib::generated::platform::ObjectList;
use guavaladder_lib::generated::platform::PutObject;
use guavaladder_lib::generated::platform::PutOutcome;
use guavaladder_lib::generated::platform::VersionedObject;
use guavaladder_lib::generated::platform::WatchBatch;
use guavaladder_lib::ids::AttemptId;
use guavaladder_lib::ids::ObjectVersion;
use guavaladder_lib::platform::ObjectStore;
use guavaladder_lib::platform::PlatformError;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// A gate that blocks calls while closed, both before they are sent and before they return.
#[derive(Debug, Clone)]
pub struct Gate {
    tx: Arc<watch::Sender<bool>>,
}

impl Gate {
    /// Creates an open gate.
    pub fn new() -> Self {
        Self { tx: Arc::new(watch::channel(true).0) }
    }

    /// Closes the gate, which blocks all calls.
    pub fn close(&self) {
        self.tx.send_replace(false);
    }

    /// Opens the gate, which unblocks all waiting calls.
    pub fn open(&self) {
        self.tx.send_replace(true);
    }

    /// Returns whether the gate is open.
    pub fn is_open(&self) -> bool {
        *self.tx.borrow()
    }

    /// Waits until the gate is open.
    pub async fn wait_until_open(&self) {
        let mut rx = self.tx.subscribe();
        // Cannot fail: the gate owns the sender.
        let _ = rx.wait_for(|is_open| *is_open).await;
    }
}

impl Default for Gate {
    fn default() -> Self {
        Self::new()
    }
}

/// The fake store, with all calls gated.
pub struct GatedStore {
    inner: FakeStore,
    gate: Gate,
}

impl GatedStore {
    /// Wraps a store with a gate.
    pub fn new(inner: FakeStore, gate: Gate) -> Self {
        Self { inner, gate }
    }

    async fn gated<T>(&self, call: impl Future<Output = T>) -> T {
        self.gate.wait_until_open().await;
        let response = call.await;
        self.gate.wait_until_open().await;
        response
    }
}

#[async_trait]
impl ObjectStore for GatedStore {
    async fn get(&self, key: &str) -> Result<Option<VersionedObject>, PlatformError> {
        self.gated(self.inner.get(key)).await
    }

    async fn list(&self, prefix: &str) -> Result<ObjectList, PlatformError> {
        self.gated(self.inner.list(prefix)).await
    }

    async fn put(&self, put: &PutObject) -> Result<PutOutcome, PlatformError> {
        self.gated(self.inner.put(put)).await
    }

    async fn delete(
        &self,
        key: &str,
        if_version: ObjectVersion,
    ) -> Result<PutOutcome, PlatformError> {
        self.gated(self.inner.delete(key, if_version)).await
    }

    async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> Result<WatchBatch, PlatformError> {
        self.gated(self.inner.watch(prefix, after, wait)).await
    }
}

/// The fake engines, with all calls gated.
pub struct GatedEngine {
    inner: FakeInstances,
    gate: Gate,
}

impl GatedEngine {
    /// Wraps engines with a gate.
    pub fn new(inner: FakeInstances, gate: Gate) -> Self {
        Self { inner, gate }
    }

    async fn gated<T>(&self, call: impl Future<Output = T>) -> T {
        self.gate.wait_until_open().await;
        let response = call.await;
        self.gate.wait_until_open().await;
        response
    }
}

#[async_trait]
impl Engine for GatedEngine {
    async fn status(&self, address: &str) -> Result<EngineStatus, UpstreamError> {
        self.gated(self.inner.status(address)).await
    }

    async fn order(&self, address: &str, order: &Order) -> Result<OrderReply, UpstreamError> {
        self.gated(self.inner.order(address, order)).await
    }

    async fn generate(
        &self,
        address: &str,
        req: &GenerateRequest,
    ) -> Result<RecordStream, UpstreamError> {
        self.gated(self.inner.generate(address, req)).await
    }

    async fn cancel(&self, address: &str, attempt: AttemptId) -> Result<(), UpstreamError> {
        self.gated(self.inner.cancel(address, attempt)).await
    }

    async fn export_kv(
        &self,
        address: &str,
        request: &str,
    ) -> Result<Option<Vec<u8>>, UpstreamError> {
        self.gated(self.inner.export_kv(address, request)).await
    }

    async fn import_kv(
        &self,
        address: &str,
        request: &str,
        state: &[u8],
    ) -> Result<(), UpstreamError> {
        self.gated(self.inner.import_kv(address, request, state)).await
    }

    async fn cache_events(
        &self,
        address: &str,
        after: u64,
    ) -> Result<Vec<CacheEvent>, UpstreamError> {
        self.gated(self.inner.cache_events(address, after)).await
    }
}
