//! Implementations of `Engine`, `PlainService` and `InstanceList` by the fake instances.

use crate::execution_oracle::Execution;
use crate::fake_instances::FakeInstances;
use crate::fake_state::RetainedState;
use crate::token_text::plain_response;
use async_trait::async_trait;
use guavaladder_lib::engine::Engine;
use guavaladder_lib::engine::RecordStream;
use guavaladder_lib::engine::UpstreamError;
use guavaladder_lib::generated::engine::CacheEvent;
use guavaladder_lib::generated::engine::EngineStatus;
use guavaladder_lib::generated::engine::GenerateRequest;
use guavaladder_lib::generated::engine::Order;
use guavaladder_lib::generated::engine::OrderReply;
use guavaladder_lib::generated::engine::PlainReply;
use guavaladder_lib::generated::engine::PlainRequest;
use guavaladder_lib::generated::platform::InstanceInfo;
use guavaladder_lib::generated::platform::InstanceRole;
use guavaladder_lib::ids::AttemptId;
use guavaladder_lib::platform::InstanceList;
use guavaladder_lib::platform::PlatformError;
use rand::RngExt;
use std::time::Duration;

/// Maximum number of cache events in one response.
const MAX_CACHE_EVENTS: usize = 256;

/// HTTP status of a plain call that was executed.
const PLAIN_OK: u16 = 200;

impl FakeInstances {
    /// Waits while the instance is paused; fails if it is dead.
    async fn wait_reachable(&self, address: &str) -> Result<(), UpstreamError> {
        loop {
            let wake = {
                let state = self.lock();
                match state.instances.get(address).filter(|_| !state.is_partitioned) {
                    Some(instance) if instance.is_alive && !instance.is_paused => return Ok(()),
                    Some(instance) if instance.is_alive => instance.wake.clone().notified_owned(),
                    _ => return unreachable_instance(address),
                }
            };
            wake.await;
        }
    }

    /// Waits for the instance again after work that took time; if it died, the response is lost.
    async fn recheck_reachable(&self, address: &str) -> Result<(), UpstreamError> {
        let reached = self.wait_reachable(address).await;
        reached.map_err(|e| UpstreamError::Interrupted { reason: e.to_string() })
    }

    fn record_plain_call(
        &self,
        address: &str,
        req: &PlainRequest,
    ) -> Result<String, UpstreamError> {
        let now = self.clock.now();
        let mut state = self.lock();
        let Some(instance) = state.instances.get(address) else {
            return unreachable_instance(address);
        };
        if instance.info.role != InstanceRole::Plain {
            return Err(UpstreamError::Refused {
                reason: "no plain service runs here".to_string(),
            });
        }
        let service = instance.info.service.clone().unwrap_or_default();
        let execution = Execution {
            at: now,
            instance: instance.info.instance.clone(),
            address: address.to_string(),
            request: req.request.clone(),
            attempt: 0,
            group: String::new(),
            epoch: req.epoch,
            offset: 0,
            idempotency_key: req.idempotency_key.clone(),
            is_complete: true,
            leaving_for: instance.leaving_since.map(|since| now.saturating_sub(since)),
            input: format!("{} {}", req.path, req.body),
        };
        state.oracle.record(execution);
        Ok(service)
    }

    fn plain_call_options(&self, address: &str) -> (Duration, f64) {
        let state = self.lock();
        let instance = state.instances.get(address);
        instance.map_or((Duration::ZERO, 0.0), |instance| {
            let time = instance.options.plain_time.mul_f64(instance.slowdown);
            (time, instance.options.plain_lose_responses)
        })
    }
}

fn unreachable_instance<T>(address: &str) -> Result<T, UpstreamError> {
    Err(UpstreamError::Unreachable { reason: format!("no instance responds at {address}") })
}

#[async_trait]
impl Engine for FakeInstances {
    async fn status(&self, address: &str) -> Result<EngineStatus, UpstreamError> {
        self.wait_reachable(address).await?;
        let status = self.peek_status(address);
        status.map_or_else(|| unreachable_instance(address), Ok)
    }

    async fn order(&self, address: &str, order: &Order) -> Result<OrderReply, UpstreamError> {
        self.wait_reachable(address).await?;
        let fake_instances = self.clone();
        let (address, order) = (address.to_string(), order.clone());
        // A task of its own, so that the order takes effect even if its sender stops waiting.
        let applied = tokio::spawn(async move {
            let delay =
                fake_instances.lock().instances.get(&address).map(|instance| instance.order_delay);
            if let Some(delay) = delay.filter(|delay| !delay.is_zero()) {
                tokio::time::sleep(delay).await;
            }
            fake_instances.recheck_reachable(&address).await?;
            fake_instances.apply_order(&address, &order)
        });
        let ended =
            |e: tokio::task::JoinError| UpstreamError::Interrupted { reason: e.to_string() };
        applied.await.map_err(ended)?
    }

    async fn generate(
        &self,
        address: &str,
        req: &GenerateRequest,
    ) -> Result<RecordStream, UpstreamError> {
        self.wait_reachable(address).await?;
        self.check_deferral(address)?;
        self.start_generation(address, req)
    }

    async fn cancel(&self, address: &str, attempt: AttemptId) -> Result<(), UpstreamError> {
        self.wait_reachable(address).await?;
        let mut state = self.lock();
        let own = state.streams.values_mut();
        for stream in own.filter(|s| s.address == address && s.attempt == attempt) {
            stream.is_cancelled = true;
            stream.is_running = false;
            stream.wake.notify_one();
        }
        // Free the slots now: the reader of a cancelled stream may never poll it again.
        state.fill_batch(address);
        Ok(())
    }

    async fn export_kv(
        &self,
        address: &str,
        request: &str,
    ) -> Result<Option<Vec<u8>>, UpstreamError> {
        self.wait_reachable(address).await?;
        let now = self.clock.now();
        let state = self.lock();
        let retained =
            state.instances.get(address).and_then(|instance| instance.retained.get(request));
        let retained = retained.filter(|retained| retained.until > now);
        Ok(retained.map(|retained| retained.generated.to_be_bytes().to_vec()))
    }

    async fn import_kv(
        &self,
        address: &str,
        request: &str,
        state: &[u8],
    ) -> Result<(), UpstreamError> {
        self.wait_reachable(address).await?;
        let Ok(bytes) = state.try_into() else {
            return Err(UpstreamError::Refused { reason: "malformed state".to_string() });
        };
        let now = self.clock.now();
        let mut locked = self.lock();
        let Some(instance) = locked.instances.get_mut(address) else {
            return unreachable_instance(address);
        };
        let until = now + instance.options.state_retention;
        let generated = u32::from_be_bytes(bytes);
        instance.retained.insert(request.to_string(), RetainedState { generated, until });
        Ok(())
    }

    async fn cache_events(
        &self,
        address: &str,
        after: u64,
    ) -> Result<Vec<CacheEvent>, UpstreamError> {
        self.wait_reachable(address).await?;
        let now = self.clock.now();
        let state = self.lock();
        let Some(instance) = state.instances.get(address) else {
            return unreachable_instance(address);
        };
        let lag = instance.options.cache_event_lag;
        let published = instance.cache_events.iter().filter(|(at, _)| *at + lag <= now);
        let newer = published.filter(|(_, event)| event.sequence > after);
        Ok(newer.take(MAX_CACHE_EVENTS).map(|(_, event)| event.clone()).collect())
    }
}

#[async_trait]
impl guavaladder_lib::plain_service::PlainService for FakeInstances {
    async fn call(&self, address: &str, req: &PlainRequest) -> Result<PlainReply, UpstreamError> {
        self.wait_reachable(address).await?;
        self.check_deferral(address)?;
        let service = self.record_plain_call(address, req)?;
        let (time, lose_responses) = self.plain_call_options(address);
        if !time.is_zero() {
            tokio::time::sleep(time).await;
        }
        self.recheck_reachable(address).await?;
        if self.lock().rng.random_bool(lose_responses.clamp(0.0, 1.0)) {
            return Err(UpstreamError::Interrupted { reason: "connection closed".to_string() });
        }
        let body = plain_response(&service, &req.path, &req.body);
        Ok(PlainReply { status: PLAIN_OK, body })
    }

    async fn takes_work(&self, address: &str) -> Result<bool, UpstreamError> {
        self.wait_reachable(address).await?;
        let state = self.lock();
        Ok(state.instances.get(address).is_some_and(|instance| instance.leaving_since.is_none()))
    }
}

#[async_trait]
impl InstanceList for FakeInstances {
    async fn instances(&self) -> Result<Vec<InstanceInfo>, PlatformError> {
        let now = self.clock.now();
        let state = self.lock();
        if state.is_list_unavailable {
            return Err(PlatformError::NotApplied {
                reason: "the instance list is unavailable".to_string(),
            });
        }
        let seen = state.list_log.iter().rev().find(|(at, _)| *at + state.list_lag <= now);
        Ok(seen.map(|(_, list)| list.clone()).unwrap_or_default())
    }
}
