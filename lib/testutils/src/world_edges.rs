//! The fake world as the engine, plain service and instance list edges.

use crate::engine_world::EngineWorld;
use crate::token_text::plain_answer;
use crate::world_oracle::Execution;
use crate::world_state::Held;
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

/// Largest number of cache events in one answer.
const MAX_CACHE_EVENTS: usize = 256;

/// Status of a plain call that ran.
const PLAIN_OK: u16 = 200;

impl EngineWorld {
    /// Waits while the instance is paused; fails when it is dead.
    async fn reach(&self, address: &str) -> Result<(), UpstreamError> {
        loop {
            let wake = {
                let state = self.lock();
                match state.instances.get(address) {
                    Some(known) if known.is_alive && !known.is_paused => return Ok(()),
                    Some(known) if known.is_alive => known.wake.clone().notified_owned(),
                    _ => return unreachable_instance(address),
                }
            };
            wake.await;
        }
    }

    /// Checks again after work took time: a dead instance gives no answer.
    async fn still_reach(&self, address: &str) -> Result<(), UpstreamError> {
        let reached = self.reach(address).await;
        reached.map_err(|e| UpstreamError::Interrupted { reason: e.to_string() })
    }

    fn note_plain(&self, address: &str, req: &PlainRequest) -> Result<String, UpstreamError> {
        let now = self.clock.now();
        let mut state = self.lock();
        let Some(known) = state.instances.get(address) else {
            return unreachable_instance(address);
        };
        if known.info.role != InstanceRole::Plain {
            return Err(UpstreamError::Refused {
                reason: "no plain service runs here".to_string(),
            });
        }
        let service = known.info.service.clone().unwrap_or_default();
        let execution = Execution {
            at: now,
            instance: known.info.instance.clone(),
            address: address.to_string(),
            request: req.request.clone(),
            attempt: 0,
            group: String::new(),
            epoch: req.epoch,
            offset: 0,
            idempotency_key: req.idempotency_key.clone(),
            is_whole: true,
            leaving_for: known.leaving_since.map(|since| now.saturating_sub(since)),
            input: format!("{} {}", req.path, req.body),
        };
        state.oracle.note(execution);
        Ok(service)
    }

    fn plain_pace(&self, address: &str) -> (Duration, f64) {
        let state = self.lock();
        let known = state.instances.get(address);
        known.map_or((Duration::ZERO, 0.0), |known| {
            let time = known.options.plain_time.mul_f64(known.slowdown);
            (time, known.options.plain_lose_answers)
        })
    }
}

fn unreachable_instance<T>(address: &str) -> Result<T, UpstreamError> {
    Err(UpstreamError::Unreachable { reason: format!("no instance answers at {address}") })
}

#[async_trait]
impl Engine for EngineWorld {
    async fn status(&self, address: &str) -> Result<EngineStatus, UpstreamError> {
        self.reach(address).await?;
        let status = self.peek_status(address);
        status.map_or_else(|| unreachable_instance(address), Ok)
    }

    async fn order(&self, address: &str, order: &Order) -> Result<OrderReply, UpstreamError> {
        self.reach(address).await?;
        let world = self.clone();
        let (address, order) = (address.to_string(), order.clone());
        // The order takes effect even when its sender stops waiting for the answer.
        let taken = tokio::spawn(async move {
            let delay = world.lock().instances.get(&address).map(|known| known.order_delay);
            if let Some(delay) = delay.filter(|delay| !delay.is_zero()) {
                tokio::time::sleep(delay).await;
            }
            world.still_reach(&address).await?;
            world.take_order(&address, &order)
        });
        let ended =
            |e: tokio::task::JoinError| UpstreamError::Interrupted { reason: e.to_string() };
        taken.await.map_err(ended)?
    }

    async fn generate(
        &self,
        address: &str,
        req: &GenerateRequest,
    ) -> Result<RecordStream, UpstreamError> {
        self.reach(address).await?;
        self.start_generation(address, req)
    }

    async fn cancel(&self, address: &str, attempt: AttemptId) -> Result<(), UpstreamError> {
        self.reach(address).await?;
        let mut state = self.lock();
        let own = state.streams.values_mut();
        for stream in own.filter(|s| s.address == address && s.attempt == attempt) {
            stream.is_cancelled = true;
            stream.is_running = false;
            stream.wake.notify_one();
        }
        // The batch goes on without it, also where nobody reads the rest of the stream.
        state.fill_batch(address);
        Ok(())
    }

    async fn export_kv(
        &self,
        address: &str,
        request: &str,
    ) -> Result<Option<Vec<u8>>, UpstreamError> {
        self.reach(address).await?;
        let now = self.clock.now();
        let state = self.lock();
        let held = state.instances.get(address).and_then(|known| known.held.get(request));
        let held = held.filter(|held| held.until > now);
        Ok(held.map(|held| held.generated.to_be_bytes().to_vec()))
    }

    async fn import_kv(
        &self,
        address: &str,
        request: &str,
        state: &[u8],
    ) -> Result<(), UpstreamError> {
        self.reach(address).await?;
        let Ok(bytes) = state.try_into() else {
            return Err(UpstreamError::Refused { reason: "malformed state".to_string() });
        };
        let now = self.clock.now();
        let mut world = self.lock();
        let Some(known) = world.instances.get_mut(address) else {
            return unreachable_instance(address);
        };
        let until = now + known.options.hold_time;
        let generated = u32::from_be_bytes(bytes);
        known.held.insert(request.to_string(), Held { generated, until });
        Ok(())
    }

    async fn cache_events(
        &self,
        address: &str,
        after: u64,
    ) -> Result<Vec<CacheEvent>, UpstreamError> {
        self.reach(address).await?;
        let now = self.clock.now();
        let state = self.lock();
        let Some(known) = state.instances.get(address) else {
            return unreachable_instance(address);
        };
        let lag = known.options.cache_event_lag;
        let published = known.cache_events.iter().filter(|(at, _)| *at + lag <= now);
        let newer = published.filter(|(_, event)| event.sequence > after);
        Ok(newer.take(MAX_CACHE_EVENTS).map(|(_, event)| event.clone()).collect())
    }
}

#[async_trait]
impl guavaladder_lib::plain_service::PlainService for EngineWorld {
    async fn call(&self, address: &str, req: &PlainRequest) -> Result<PlainReply, UpstreamError> {
        self.reach(address).await?;
        let service = self.note_plain(address, req)?;
        let (time, lose_answers) = self.plain_pace(address);
        if !time.is_zero() {
            tokio::time::sleep(time).await;
        }
        self.still_reach(address).await?;
        if self.lock().rng.random_bool(lose_answers.clamp(0.0, 1.0)) {
            return Err(UpstreamError::Interrupted { reason: "connection closed".to_string() });
        }
        let body = plain_answer(&service, &req.path, &req.body);
        Ok(PlainReply { status: PLAIN_OK, body })
    }

    async fn takes_work(&self, address: &str) -> Result<bool, UpstreamError> {
        self.reach(address).await?;
        let state = self.lock();
        Ok(state.instances.get(address).is_some_and(|known| known.leaving_since.is_none()))
    }
}

#[async_trait]
impl InstanceList for EngineWorld {
    async fn instances(&self) -> Result<Vec<InstanceInfo>, PlatformError> {
        let now = self.clock.now();
        let state = self.lock();
        if state.is_list_away {
            return Err(PlatformError::NotApplied { reason: "the list is away".to_string() });
        }
        let seen = state.list_log.iter().rev().find(|(at, _)| *at + state.list_lag <= now);
        Ok(seen.map(|(_, list)| list.clone()).unwrap_or_default())
    }
}
