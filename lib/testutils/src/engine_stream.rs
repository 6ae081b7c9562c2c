//! Token generation on a fake engine.

use crate::execution_oracle::Execution;
use crate::execution_oracle::ViolationKind;
use crate::fake_instances::FakeInstances;
use crate::fake_state::FakeState;
use crate::fake_state::RetainedState;
use crate::fake_state::Stream;
use crate::fake_state::StreamId;
use crate::token_text::ModelOutput;
use crate::token_text::POISON_MARKER;
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

/// Fraction of the prefill time that a prompt with a cached prefix takes.
const CACHED_PREFILL: f64 = 0.25;

/// Next step of a stream.
enum Step {
    Run { slowdown: f64 },
    Wait,
    Stalled,
    End(FinishReason),
    Interrupted(String),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Accepted,
    Tokens,
    Done,
}

/// A generation, advanced as its reader pulls records; dropping it frees its slot in the batch.
struct Generation {
    fake_instances: FakeInstances,
    id: StreamId,
    attempt: u64,
    address: String,
    output: ModelOutput,
    is_poisoned: bool,
    accepted: Option<AcceptedRecord>,
    phase: Phase,
    next: u32,
    /// Remaining work before the next record, as a duration at normal speed.
    cost: Duration,
    interval: Duration,
    tokens_per_record: u32,
    due: Option<Instant>,
    wake: Arc<Notify>,
}

impl FakeInstances {
    /// Starts a request on an instance and returns its stream of records.
    pub(crate) fn start_generation(
        &self,
        address: &str,
        req: &GenerateRequest,
    ) -> Result<RecordStream, UpstreamError> {
        let now = self.clock.now();
        let mut state = self.lock();
        let assignment = check_request(&state, address, req)?;
        let output = output_for(&assignment, req);
        let execution = new_execution(&state, address, req, &assignment, now);
        let is_resumable = check_resume(&mut state, address, req, &output, &execution, now);
        if !is_resumable {
            return refuse(format!("no state of the request at offset {}", req.offset));
        }
        state.oracle.record(execution);
        let is_cached = touch_cache(&mut state, address, &req.prompt, now);
        let load = state.sample_load(address, now);
        let id = add_stream(&mut state, address, req);
        state.fill_batch(address);
        let Some(instance) = state.instances.get(address) else {
            return refuse("unknown instance");
        };
        let Some(stream) = state.streams.get(&id) else { return refuse("unknown stream") };
        let prefill = instance.options.prefill;
        let generation = Generation {
            fake_instances: self.clone(),
            id,
            attempt: req.attempt,
            address: address.to_string(),
            output,
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
            interval: instance.options.token_interval,
            tokens_per_record: instance.options.tokens_per_record.max(1),
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
            return Step::Interrupted("the stream no longer exists".to_string());
        };
        if stream.is_stalled {
            return Step::Stalled;
        }
        if let Some(reason) = &stream.interruption {
            return Step::Interrupted(reason.clone());
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
        if stream.drain_deadline.is_some_and(|deadline| deadline <= now) {
            return Step::End(FinishReason::Drained);
        }
        if stream.is_running { Step::Run { slowdown } } else { Step::Wait }
    }

    fn end_stream(&self, id: StreamId, generated: u32) {
        let now = self.clock.now();
        let mut state = self.lock();
        let Some(stream) = state.streams.remove(&id) else { return };
        if let Some(instance) = state.instances.get_mut(&stream.address)
            && stream.interruption.is_none()
        {
            let until = now + instance.options.state_retention;
            instance.retained.retain(|_, retained| retained.until > now);
            instance.retained.insert(stream.request, RetainedState { generated, until });
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
            match self.fake_instances.step(self.id) {
                Step::Run { slowdown } => {
                    if self.is_due(slowdown).await {
                        break;
                    }
                }
                Step::Wait => {
                    self.due = None;
                    self.wake.notified().await;
                }
                Step::Stalled => std::future::pending::<()>().await,
                Step::End(reason) => return Ok(self.end(self.next, reason)),
                Step::Interrupted(reason) => {
                    self.phase = Phase::Done;
                    return Err(UpstreamError::Interrupted { reason });
                }
            }
        }
        if self.is_poisoned {
            self.phase = Phase::Done;
            let reason = "the engine crashed";
            self.fake_instances.lock().fail_group(&self.address, false, reason);
            return Err(UpstreamError::Interrupted { reason: reason.to_string() });
        }
        if self.next >= self.output.length {
            return Ok(self.end(self.output.length, self.output.reason));
        }
        let offset = self.next;
        let to = offset.saturating_add(self.tokens_per_record).min(self.output.length);
        let tokens = self.output.tokens(offset, to);
        self.next = to;
        self.cost =
            if to < self.output.length { self.interval * (to - offset) } else { Duration::ZERO };
        Ok(StreamRecord::Tokens(TokenRecord { attempt: self.attempt, offset, tokens }))
    }

    /// Waits until the next record is due; returns `false` if the stream was woken earlier.
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
        let now = self.fake_instances.clock.now();
        let load = Some(self.fake_instances.lock().sample_load(&self.address, now));
        StreamRecord::End(EndRecord { attempt: self.attempt, length, reason, load })
    }
}

impl Drop for Generation {
    fn drop(&mut self) {
        self.fake_instances.end_stream(self.id, self.next);
    }
}

fn refuse<T>(reason: impl Into<String>) -> Result<T, UpstreamError> {
    Err(UpstreamError::Refused { reason: reason.into() })
}

/// Checks that the instance is shard 0 of the group that the request names and accepts requests.
fn check_request(
    state: &FakeState,
    address: &str,
    req: &GenerateRequest,
) -> Result<Assignment, UpstreamError> {
    let Some(instance) = state.instances.get(address) else { return refuse("unknown instance") };
    let Some(current) = &instance.assignment else { return refuse("the instance is in no group") };
    if (&current.group, current.epoch) != (&req.group, req.epoch) {
        return refuse(format!("the group is {} of epoch {}", current.group, current.epoch));
    }
    if current.shard != 0 {
        return refuse(format!("the instance is shard {}", current.shard));
    }
    if instance.state != MemberState::Ready {
        return refuse(format!("the instance is {}", instance.state.name()));
    }
    if current.adapter != req.adapter {
        return refuse("another adapter is loaded");
    }
    let (_, queued) = state.load_of(address);
    if queued >= instance.options.queue_limit {
        return refuse("the queue is full");
    }
    Ok(current.clone())
}

fn output_for(assignment: &Assignment, req: &GenerateRequest) -> ModelOutput {
    let adapter = assignment.adapter.as_deref();
    ModelOutput::new(&assignment.model, &assignment.version, adapter, &req.prompt, req.max_tokens)
}

fn new_execution(
    state: &FakeState,
    address: &str,
    req: &GenerateRequest,
    assignment: &Assignment,
    now: Duration,
) -> Execution {
    let members = assignment.members.iter().filter_map(|member| state.by_id(member));
    let leaving_since = members.filter_map(|instance| instance.leaving_since).min();
    let instance = state.instances.get(address).map(|instance| instance.info.instance.clone());
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
        is_complete: state.is_complete(assignment),
        leaving_for: leaving_since.map(|since| now.saturating_sub(since)),
        input: req.prompt.clone(),
    }
}

/// Returns whether the request can start at its offset, from retained state or the emitted tokens.
///
/// Emitted tokens that differ from the expected output are recorded as a violation.
fn check_resume(
    state: &mut FakeState,
    address: &str,
    req: &GenerateRequest,
    output: &ModelOutput,
    execution: &Execution,
    now: Duration,
) -> bool {
    if req.offset == 0 {
        return true;
    }
    if req.emitted.len() == req.offset as usize {
        if req.emitted != output.tokens(0, req.offset) {
            let detail = "resumed after tokens that are not of the expected output".to_string();
            state.oracle.record_violation(execution, ViolationKind::WrongResume, detail);
        }
        return true;
    }
    let retained =
        state.instances.get(address).and_then(|instance| instance.retained.get(&req.request));
    retained.is_some_and(|retained| retained.until > now && retained.generated >= req.offset)
}

/// Moves the prompt's prefix to the front of the cache and returns whether it was cached.
fn touch_cache(state: &mut FakeState, address: &str, prompt: &str, now: Duration) -> bool {
    let prefix = prefix_hash(prompt);
    let Some(instance) = state.instances.get_mut(address) else { return false };
    let position = instance.cache.iter().position(|cached| *cached == prefix);
    if let Some(position) = position {
        instance.cache.remove(position);
    }
    instance.cache.push_front(prefix);
    let mut changes = vec![];
    if position.is_none() {
        changes.push((prefix, true));
    }
    if instance.cache.len() > instance.options.cache_prefixes {
        changes.extend(instance.cache.pop_back().map(|evicted| (evicted, false)));
    }
    let loss = instance.options.cache_event_loss.clamp(0.0, 1.0);
    for (prefix, stored) in changes {
        instance.cache_sequence += 1;
        let event = CacheEvent { sequence: instance.cache_sequence, prefix, stored };
        if !state.rng.random_bool(loss) {
            instance.cache_events.push((now, event));
        }
    }
    position.is_some()
}

fn add_stream(state: &mut FakeState, address: &str, req: &GenerateRequest) -> StreamId {
    let id = state.next_stream;
    state.next_stream += 1;
    let stream = Stream {
        address: address.to_string(),
        request: req.request.clone(),
        attempt: req.attempt,
        priority: req.priority,
        is_running: false,
        is_stalled: false,
        is_cancelled: false,
        interruption: None,
        drain_deadline: None,
        wake: Arc::new(Notify::new()),
    };
    state.streams.insert(id, stream);
    id
}
