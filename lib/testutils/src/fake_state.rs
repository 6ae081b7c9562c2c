//! State of the fake instances and of their streams.

use crate::engine_options::EngineOptions;
use crate::execution_oracle::Oracle;
use guavaladder_lib::generated::engine::Assignment;
use guavaladder_lib::generated::engine::CacheEvent;
use guavaladder_lib::generated::engine::EngineLoad;
use guavaladder_lib::generated::engine::EngineStatus;
use guavaladder_lib::generated::engine::MemberState;
use guavaladder_lib::generated::engine::Priority;
use guavaladder_lib::generated::platform::InstanceInfo;
use guavaladder_lib::ids::Address;
use guavaladder_lib::ids::AttemptId;
use guavaladder_lib::ids::Epoch;
use guavaladder_lib::ids::RequestId;
use rand::rngs::StdRng;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;

/// ID of a stream, unique over all fake instances.
pub type StreamId = u64;

/// Number of order IDs that an instance keeps to recognize resent orders.
const ORDER_HISTORY_LEN: usize = 64;

/// State of all fake instances, their streams and the instance list.
#[derive(Debug)]
pub(crate) struct FakeState {
    pub(crate) instances: BTreeMap<Address, Instance>,
    pub(crate) streams: HashMap<StreamId, Stream>,
    pub(crate) next_stream: StreamId,
    pub(crate) list_log: Vec<(Duration, Vec<InstanceInfo>)>,
    pub(crate) list_lag: Duration,
    pub(crate) is_list_unavailable: bool,
    /// Whether all connections to instances are reset or refused.
    pub(crate) is_partitioned: bool,
    pub(crate) oracle: Oracle,
    pub(crate) rng: StdRng,
}

/// One fake instance.
#[derive(Debug)]
pub(crate) struct Instance {
    pub(crate) info: InstanceInfo,
    pub(crate) options: EngineOptions,
    pub(crate) is_alive: bool,
    pub(crate) is_paused: bool,
    /// Factor on the duration of all work of the instance.
    pub(crate) slowdown: f64,
    pub(crate) order_delay: Duration,
    /// Time that the instance asks for while it refuses all requests.
    pub(crate) deferral: Option<Duration>,
    /// Number of requests that it refused so.
    pub(crate) deferred: usize,
    pub(crate) leaving_since: Option<Duration>,
    pub(crate) state: MemberState,
    pub(crate) assignment: Option<Assignment>,
    /// Whether the weights of the assignment are in memory.
    pub(crate) is_loaded: bool,
    /// Incremented on each change of the assignment, so that an outdated load is recognized.
    pub(crate) generation: u64,
    pub(crate) highest_epoch: Epoch,
    pub(crate) orders: VecDeque<String>,
    /// State of completed or interrupted requests, by request ID.
    pub(crate) retained: HashMap<RequestId, RetainedState>,
    pub(crate) load_sample: (Duration, u32, u32),
    pub(crate) cache: VecDeque<u64>,
    pub(crate) cache_events: Vec<(Duration, CacheEvent)>,
    pub(crate) cache_sequence: u64,
    /// Notified when the instance resumes or dies.
    pub(crate) wake: Arc<Notify>,
}

/// State of a request that is kept for a resume: its number of generated tokens and its expiry.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RetainedState {
    pub(crate) generated: u32,
    pub(crate) until: Duration,
}

/// A running or queued stream.
#[derive(Debug)]
pub(crate) struct Stream {
    pub(crate) address: Address,
    pub(crate) request: RequestId,
    pub(crate) attempt: AttemptId,
    pub(crate) priority: Priority,
    pub(crate) is_running: bool,
    pub(crate) is_stalled: bool,
    pub(crate) is_cancelled: bool,
    pub(crate) interruption: Option<String>,
    pub(crate) drain_deadline: Option<Duration>,
    pub(crate) wake: Arc<Notify>,
}

impl Instance {
    pub(crate) fn new(info: InstanceInfo, options: EngineOptions) -> Self {
        Self {
            info,
            options,
            is_alive: true,
            is_paused: false,
            slowdown: 1.0,
            order_delay: Duration::ZERO,
            deferral: None,
            deferred: 0,
            leaving_since: None,
            state: MemberState::Idle,
            assignment: None,
            is_loaded: false,
            generation: 0,
            highest_epoch: 0,
            orders: VecDeque::new(),
            retained: HashMap::new(),
            load_sample: (Duration::ZERO, 0, 0),
            cache: VecDeque::new(),
            cache_events: vec![],
            cache_sequence: 0,
            wake: Arc::new(Notify::new()),
        }
    }

    /// Clears the state that a restart of the engine loses.
    pub(crate) fn reset(&mut self) {
        self.state = MemberState::Idle;
        self.assignment = None;
        self.is_loaded = false;
        self.generation += 1;
        self.highest_epoch = 0;
        self.orders.clear();
        self.retained.clear();
        self.cache.clear();
    }

    pub(crate) fn record_order(&mut self, order: &str) {
        self.orders.push_back(order.to_string());
        if self.orders.len() > ORDER_HISTORY_LEN {
            self.orders.pop_front();
        }
    }

    /// Returns whether this instance serves the given shard of the assignment.
    fn is_ready_shard(&self, shard: usize, wanted: &Assignment) -> bool {
        let Some(current) = &self.assignment else { return false };
        self.is_alive
            && matches!(self.state, MemberState::Ready | MemberState::Draining)
            && current.shard as usize == shard
            && (&current.group, current.epoch) == (&wanted.group, wanted.epoch)
            && current.members == wanted.members
    }
}

impl FakeState {
    pub(crate) fn by_id(&self, id: &str) -> Option<&Instance> {
        self.instances.values().find(|instance| instance.info.instance == id)
    }

    /// Returns whether all members of an assignment are alive, ready and in that assignment.
    pub(crate) fn is_complete(&self, wanted: &Assignment) -> bool {
        !wanted.members.is_empty()
            && wanted.members.iter().enumerate().all(|(shard, member)| {
                self.by_id(member).is_some_and(|instance| instance.is_ready_shard(shard, wanted))
            })
    }

    /// Returns the addresses of the instances in the same group, or only its own outside a group.
    pub(crate) fn group_of(&self, address: &str) -> Vec<Address> {
        let own = self.instances.get(address).and_then(|instance| instance.assignment.as_ref());
        let is_member = |own: &&Assignment| {
            self.instances.get(address).is_some_and(|i| own.members.contains(&i.info.instance))
        };
        let Some(own) = own.filter(is_member) else { return vec![address.to_string()] };
        let members = own.members.iter().filter_map(|member| self.by_id(member));
        let same = members.filter(|instance| {
            let theirs = instance.assignment.as_ref();
            theirs.is_some_and(|a| (&a.group, a.epoch) == (&own.group, own.epoch))
        });
        same.map(|instance| instance.info.address.clone()).collect()
    }

    /// Interrupts all streams of the instance's group.
    pub(crate) fn interrupt_group_streams(&mut self, address: &str, reason: &str) {
        let members = self.group_of(address);
        for stream in self.streams.values_mut().filter(|s| members.contains(&s.address)) {
            stream.interruption = Some(reason.to_string());
            stream.wake.notify_one();
        }
    }

    /// Fails a group: its streams are interrupted and its ready or draining members become `Failed`.
    ///
    /// Members that are still loading are unaffected.
    pub(crate) fn fail_group(&mut self, address: &str, keep_weights: bool, reason: &str) {
        self.interrupt_group_streams(address, reason);
        for member in self.group_of(address) {
            let Some(instance) = self.instances.get_mut(&member) else { continue };
            if !matches!(instance.state, MemberState::Ready | MemberState::Draining) {
                continue;
            }
            instance.is_loaded &= keep_weights;
            instance.state = MemberState::Failed;
            instance.generation += 1;
            instance.retained.clear();
        }
    }

    /// Returns the number of running and the number of queued streams of an instance.
    pub(crate) fn load_of(&self, address: &str) -> (u32, u32) {
        let own = self.streams.values();
        let own = own.filter(|stream| stream.address == address && !stream.is_cancelled);
        let (running, queued): (Vec<_>, Vec<_>) = own.partition(|stream| stream.is_running);
        (running.len() as u32, queued.len() as u32)
    }

    /// Returns the reported load, sampled at most once per `load_lag` and so possibly outdated.
    pub(crate) fn sample_load(&mut self, address: &str, now: Duration) -> EngineLoad {
        let (running, queued) = self.load_of(address);
        let Some(instance) = self.instances.get_mut(address) else { return no_load() };
        if instance.load_sample.0 + instance.options.load_lag <= now {
            instance.load_sample = (now, running, queued);
        }
        let (at, running, queued) = instance.load_sample;
        let age = now.saturating_sub(at);
        EngineLoad { running, queued, capacity: instance.options.capacity, age }
    }

    /// Moves queued streams into free slots of the batch, by priority and then by age.
    pub(crate) fn fill_batch(&mut self, address: &str) {
        let Some(instance) = self.instances.get(address) else { return };
        let capacity = instance.options.capacity;
        let (running, queued) = self.load_of(address);
        let free = capacity.saturating_sub(running).min(queued);
        for _ in 0..free {
            let waiting = self.streams.iter_mut();
            let waiting =
                waiting.filter(|(_, s)| s.address == address && !s.is_running && !s.is_cancelled);
            let Some((_, next)) = waiting.min_by_key(|(id, s)| (s.priority, **id)) else { return };
            next.is_running = true;
            next.wake.notify_one();
        }
    }

    /// Returns the status that an instance reports.
    pub(crate) fn status(&mut self, address: &str, now: Duration) -> Option<EngineStatus> {
        let load = self.sample_load(address, now);
        let instance = self.instances.get(address)?;
        let is_leaving = instance.leaving_since.is_some() && instance.state == MemberState::Ready;
        Some(EngineStatus {
            instance: instance.info.instance.clone(),
            state: if is_leaving { MemberState::Draining } else { instance.state },
            assignment: instance.assignment.clone(),
            highest_epoch: instance.highest_epoch,
            load,
        })
    }

    /// Records the instance list that is valid from `now` on.
    pub(crate) fn record_list(&mut self, now: Duration) {
        let alive = self.instances.values().filter(|instance| instance.is_alive);
        let list = alive.map(|instance| instance.info.clone()).collect();
        self.list_log.push((now, list));
    }
}

fn no_load() -> EngineLoad {
    EngineLoad { running: 0, queued: 0, capacity: 0, age: Duration::ZERO }
}
