//! One generation on a fake engine.

use crate::engine_world::EngineWorld;
use crate::token_text::Answer;
use crate::token_text::POISON_MARKER;
use crate::world_oracle::BrokenPromise;
use crate::world_oracle::Execution;
use crate::world_state::Held;
use crate::world_state::Stream;
use crate::world_state::StreamId;
use crate::world_state::WorldState;
use futures_util::StreamExt;
use guavaladder_lib::engine::RecordStream;
use guavaladder_lib::engine::UpstreamError;
use guavaladder_lib::generated::engine::AcceptedRecord;
use guavaladder_lib::generated::engine::Assignment;
use guavaladder_lib::generated::engine::CacheEvent;
use guavaladder_lib::generated::engine::EndRecord;
use guavaladder_lib::generated::engine::FinishReason;
use guavaladder_lib::generated::engine::GenerateRequest;
use guavaladder_lib::generated::engine::MemberState;
use guavaladder_lib::generated::engine::StreamRecord;
use guavaladder_lib::generated::engine::TokenRecord;
use guavaladder_lib::prefix_hash::prefix_hash;
use rand::RngExt;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Part of the prefill time that a cached prefix needs.
const CACHED_PREFILL: f64 = 0.25;

/// What a stream may do next.
enum Step {
    Go { slowdown: f64 },
    Wait,
    Silent,
    End(FinishReason),
    Cut(String),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Accepted,
    Tokens,
    Done,
}

/// A generation as its reader pulls it; dropping it frees its place in the batch.
struct Generation {
    world: EngineWorld,
    id: StreamId,
    attempt: u64,
    address: String,
    answer: Answer,
    is_poisoned: bool,
    accepted: Option<AcceptedRecord>,
    phase: Phase,
    next: u32,
    /// Work that is left before the next record, at normal speed.
    cost: Duration,
    interval: Duration,
    tokens_per_record: u32,
    due: Option<Instant>,
    wake: Arc<Notify>,
}

impl EngineWorld {
    /// Takes a request on an instance and returns its records.
    pub(crate) fn start_generation(
        &self,
        address: &str,
        req: &GenerateRequest,
    ) -> Result<RecordStream, UpstreamError> {
        let now = self.clock.now();
        let mut state = self.lock();
        let assignment = check_request(&state, address, req)?;
        let answer = answer_of(&assignment, req);
        let execution = execution_of(&state, address, req, &assignment, now);
        let is_resumable = check_resume(&mut state, address, req, &answer, &execution, now);
        if !is_resumable {
            return refused(format!("no state of the request at offset {}", req.offset));
        }
        state.oracle.note(execution);
        let is_cached = touch_cache(&mut state, address, &req.prompt, now);
        let load = state.sample_load(address, now);
        let id = add_stream(&mut state, address, req);
        state.fill_batch(address);
        let Some(known) = state.instances.get(address) else { return refused("unknown instance") };
        let Some(stream) = state.streams.get(&id) else { return refused("unknown stream") };
        let prefill = known.options.prefill;
        let generation = Generation {
            world: self.clone(),
            id,
            attempt: req.attempt,
            address: address.to_string(),
            answer,
            is_poisoned: req.prompt.contains(POISON_MARKER),
            accepted: Some(AcceptedRecord {
                attempt: req.attempt,
                group: assignment.group,
                epoch: assignment.epoch,
                load,
            }),
            phase: Phase::Accepted,
            next: req.offset,
            cost: if is_cached { prefill.mul_f64(CACHED_PREFILL) } else { prefill },
            interval: known.options.token_interval,
            tokens_per_record: known.options.tokens_per_record.max(1),
            due: None,
            wake: stream.wake.clone(),
        };
        drop(state);
        let records = futures_util::stream::unfold(generation, |mut generation| async move {
            generation.next_record().await.map(|record| (record, generation))
        });
        Ok(records.boxed())
    }

    fn step(&self, id: StreamId) -> Step {
        let now = self.clock.now();
        let state = self.lock();
        let Some(stream) = state.streams.get(&id) else {
            return Step::Cut("the stream is gone".to_string());
        };
        if stream.is_silent {
            return Step::Silent;
        }
        if let Some(reason) = &stream.cut {
            return Step::Cut(reason.clone());
        }
        let group = state.group_of(&stream.address);
        let members = group.iter().filter_map(|address| state.instances.get(address));
        let (mut is_paused, mut slowdown) = (false, 1.0_f64);
        for member in members {
            is_paused |= member.is_paused;
            slowdown = slowdown.max(member.slowdown);
        }
        if is_paused {
            return Step::Wait;
        }
        if stream.is_cancelled {
            return Step::End(FinishReason::Cancelled);
        }
        if stream.drained_from.is_some_and(|from| from <= now) {
            return Step::End(FinishReason::Drained);
        }
        if stream.is_running { Step::Go { slowdown } } else { Step::Wait }
    }

    fn end_stream(&self, id: StreamId, generated: u32) {
        let now = self.clock.now();
        let mut state = self.lock();
        let Some(stream) = state.streams.remove(&id) else { return };
        if let Some(known) = state.instances.get_mut(&stream.address)
            && stream.cut.is_none()
        {
            let until = now + known.options.hold_time;
            known.held.retain(|_, held| held.until > now);
            known.held.insert(stream.request, Held { generated, until });
        }
        state.fill_batch(&stream.address);
    }
}

impl Generation {
    async fn next_record(&mut self) -> Option<Result<StreamRecord, UpstreamError>> {
        match self.phase {
            Phase::Accepted => {
                self.phase = Phase::Tokens;
                self.accepted.take().map(|record| Ok(StreamRecord::Accepted(record)))
            }
            Phase::Tokens => Some(self.next_tokens().await),
            Phase::Done => None,
        }
    }

    async fn next_tokens(&mut self) -> Result<StreamRecord, UpstreamError> {
        loop {
            match self.world.step(self.id) {
                Step::Go { slowdown } => {
                    if self.is_due(slowdown).await {
                        break;
                    }
                }
                Step::Wait => {
                    self.due = None;
                    self.wake.notified().await;
                }
                Step::Silent => std::future::pending::<()>().await,
                Step::End(reason) => return Ok(self.end(self.next, reason)),
                Step::Cut(reason) => {
                    self.phase = Phase::Done;
                    return Err(UpstreamError::Interrupted { reason });
                }
            }
        }
        if self.is_poisoned {
            self.phase = Phase::Done;
            let reason = "the engine crashed";
            self.world.lock().break_group(&self.address, false, reason);
            return Err(UpstreamError::Interrupted { reason: reason.to_string() });
        }
        if self.next >= self.answer.length {
            return Ok(self.end(self.answer.length, self.answer.reason));
        }
        let offset = self.next;
        let to = offset.saturating_add(self.tokens_per_record).min(self.answer.length);
        let tokens = self.answer.tokens(offset, to);
        self.next = to;
        self.cost =
            if to < self.answer.length { self.interval * (to - offset) } else { Duration::ZERO };
        Ok(StreamRecord::Tokens(TokenRecord { attempt: self.attempt, offset, tokens }))
    }

    /// Waits until the next record is due; `false` when something else woke the stream first.
    async fn is_due(&mut self, slowdown: f64) -> bool {
        if self.cost.is_zero() {
            return true;
        }
        let now = Instant::now();
        let due = *self.due.get_or_insert(now) + self.cost.mul_f64(slowdown);
        if due > now {
            tokio::select! {
                () = tokio::time::sleep_until(due) => {}
                () = self.wake.notified() => return false,
            }
        }
        self.due = Some(due);
        true
    }

    fn end(&mut self, length: u32, reason: FinishReason) -> StreamRecord {
        self.phase = Phase::Done;
        let now = self.world.clock.now();
        let load = Some(self.world.lock().sample_load(&self.address, now));
        StreamRecord::End(EndRecord { attempt: self.attempt, length, reason, load })
    }
}

impl Drop for Generation {
    fn drop(&mut self) {
        self.world.end_stream(self.id, self.next);
    }
}

fn refused<T>(reason: impl Into<String>) -> Result<T, UpstreamError> {
    Err(UpstreamError::Refused { reason: reason.into() })
}

/// Checks that the instance is shard 0 of the group that the request names and takes work.
fn check_request(
    state: &WorldState,
    address: &str,
    req: &GenerateRequest,
) -> Result<Assignment, UpstreamError> {
    let Some(known) = state.instances.get(address) else { return refused("unknown instance") };
    let Some(held) = &known.assignment else { return refused("the instance is in no group") };
    if (&held.group, held.epoch) != (&req.group, req.epoch) {
        return refused(format!("the group is {} of epoch {}", held.group, held.epoch));
    }
    if held.shard != 0 {
        return refused(format!("the instance is shard {}", held.shard));
    }
    if known.state != MemberState::Ready {
        return refused(format!("the instance is {}", known.state.name()));
    }
    if held.adapter != req.adapter {
        return refused("another adapter is loaded");
    }
    let (_, queued) = state.load_of(address);
    if queued >= known.options.queue_limit {
        return refused("the queue is full");
    }
    Ok(held.clone())
}

fn answer_of(assignment: &Assignment, req: &GenerateRequest) -> Answer {
    let adapter = assignment.adapter.as_deref();
    Answer::new(&assignment.model, &assignment.version, adapter, &req.prompt, req.max_tokens)
}

fn execution_of(
    state: &WorldState,
    address: &str,
    req: &GenerateRequest,
    assignment: &Assignment,
    now: Duration,
) -> Execution {
    let members = assignment.members.iter().filter_map(|member| state.by_id(member));
    let leaving_since = members.filter_map(|known| known.leaving_since).min();
    let instance = state.instances.get(address).map(|known| known.info.instance.clone());
    Execution {
        at: now,
        instance: instance.unwrap_or_default(),
        address: address.to_string(),
        request: req.request.clone(),
        attempt: req.attempt,
        group: assignment.group.clone(),
        epoch: req.epoch,
        offset: req.offset,
        idempotency_key: req.idempotency_key.clone(),
        is_whole: state.is_whole(assignment),
        leaving_for: leaving_since.map(|since| now.saturating_sub(since)),
        input: req.prompt.clone(),
    }
}

/// Tells whether a resume has state to go on from; a wrong start of the answer is a violation.
fn check_resume(
    state: &mut WorldState,
    address: &str,
    req: &GenerateRequest,
    answer: &Answer,
    execution: &Execution,
    now: Duration,
) -> bool {
    if req.offset == 0 {
        return true;
    }
    if req.emitted.len() == req.offset as usize {
        if req.emitted != answer.tokens(0, req.offset) {
            let detail = "resumed after tokens of another answer".to_string();
            state.oracle.report(execution, BrokenPromise::WrongResume, detail);
        }
        return true;
    }
    let held = state.instances.get(address).and_then(|known| known.held.get(&req.request));
    held.is_some_and(|held| held.until > now && held.generated >= req.offset)
}

/// Moves the prompt's prefix to the front of the cache and tells whether it was there.
fn touch_cache(state: &mut WorldState, address: &str, prompt: &str, now: Duration) -> bool {
    let prefix = prefix_hash(prompt);
    let Some(known) = state.instances.get_mut(address) else { return false };
    let place = known.cache.iter().position(|cached| *cached == prefix);
    if let Some(place) = place {
        known.cache.remove(place);
    }
    known.cache.push_front(prefix);
    let mut changes = vec![];
    if place.is_none() {
        changes.push((prefix, true));
    }
    if known.cache.len() > known.options.cache_prefixes {
        changes.extend(known.cache.pop_back().map(|evicted| (evicted, false)));
    }
    let loss = known.options.cache_event_loss.clamp(0.0, 1.0);
    for (prefix, stored) in changes {
        known.cache_sequence += 1;
        let event = CacheEvent { sequence: known.cache_sequence, prefix, stored };
        if !state.rng.random_bool(loss) {
            known.cache_events.push((now, event));
        }
    }
    place.is_some()
}

fn add_stream(state: &mut WorldState, address: &str, req: &GenerateRequest) -> StreamId {
    let id = state.next_stream;
    state.next_stream += 1;
    let stream = Stream {
        address: address.to_string(),
        request: req.request.clone(),
        attempt: req.attempt,
        priority: req.priority,
        is_running: false,
        is_silent: false,
        is_cancelled: false,
        cut: None,
        drained_from: None,
        wake: Arc::new(Notify::new()),
    };
    state.streams.insert(id, stream);
    id
}
