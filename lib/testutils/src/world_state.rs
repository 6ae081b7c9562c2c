//! State of the fake instances and of the streams that run on them.

use crate::engine_options::EngineOptions;
use crate::world_oracle::Oracle;
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

/// Id of a stream within the world.
pub type StreamId = u64;

/// Orders whose ids an instance remembers to recognize a resend.
const ORDER_MEMORY: usize = 64;

/// State of everything in the world.
#[derive(Debug)]
pub(crate) struct WorldState {
    pub(crate) instances: BTreeMap<Address, Instance>,
    pub(crate) streams: HashMap<StreamId, Stream>,
    pub(crate) next_stream: StreamId,
    pub(crate) list_log: Vec<(Duration, Vec<InstanceInfo>)>,
    pub(crate) list_lag: Duration,
    pub(crate) is_list_away: bool,
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
    /// Factor on all times of the instance.
    pub(crate) slowdown: f64,
    pub(crate) order_delay: Duration,
    pub(crate) leaving_since: Option<Duration>,
    pub(crate) state: MemberState,
    pub(crate) assignment: Option<Assignment>,
    /// Whether the weights of the assignment are in memory.
    pub(crate) is_loaded: bool,
    /// Grows with each change of the assignment, so that a finished load can tell it is outdated.
    pub(crate) generation: u64,
    pub(crate) highest_epoch: Epoch,
    pub(crate) orders: VecDeque<String>,
    /// Requests whose state is held: tokens generated and the time at which it is dropped.
    pub(crate) held: HashMap<RequestId, Held>,
    pub(crate) load_sample: (Duration, u32, u32),
    pub(crate) cache: VecDeque<u64>,
    pub(crate) cache_events: Vec<(Duration, CacheEvent)>,
    pub(crate) cache_sequence: u64,
    /// Notified when the instance resumes or dies.
    pub(crate) wake: Arc<Notify>,
}

/// State of a request that an engine still holds.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Held {
    pub(crate) generated: u32,
    pub(crate) until: Duration,
}

/// One running or queued stream.
#[derive(Debug)]
pub(crate) struct Stream {
    pub(crate) address: Address,
    pub(crate) request: RequestId,
    pub(crate) attempt: AttemptId,
    pub(crate) priority: Priority,
    pub(crate) is_running: bool,
    pub(crate) is_silent: bool,
    pub(crate) is_cancelled: bool,
    pub(crate) cut: Option<String>,
    pub(crate) drained_from: Option<Duration>,
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
            leaving_since: None,
            state: MemberState::Idle,
            assignment: None,
            is_loaded: false,
            generation: 0,
            highest_epoch: 0,
            orders: VecDeque::new(),
            held: HashMap::new(),
            load_sample: (Duration::ZERO, 0, 0),
            cache: VecDeque::new(),
            cache_events: vec![],
            cache_sequence: 0,
            wake: Arc::new(Notify::new()),
        }
    }

    /// Forgets everything that a restart of the engine loses.
    pub(crate) fn reset(&mut self) {
        self.state = MemberState::Idle;
        self.assignment = None;
        self.is_loaded = false;
        self.generation += 1;
        self.highest_epoch = 0;
        self.orders.clear();
        self.held.clear();
        self.cache.clear();
    }

    pub(crate) fn remember_order(&mut self, order: &str) {
        self.orders.push_back(order.to_string());
        if self.orders.len() > ORDER_MEMORY {
            self.orders.pop_front();
        }
    }

    /// Tells whether this instance holds the named shard of the assignment, loaded and joined.
    fn is_ready_shard(&self, shard: usize, wanted: &Assignment) -> bool {
        let Some(held) = &self.assignment else { return false };
        self.is_alive
            && matches!(self.state, MemberState::Ready | MemberState::Draining)
            && held.shard as usize == shard
            && (&held.group, held.epoch) == (&wanted.group, wanted.epoch)
            && held.members == wanted.members
    }
}

impl WorldState {
    pub(crate) fn by_id(&self, instance: &str) -> Option<&Instance> {
        self.instances.values().find(|known| known.info.instance == instance)
    }

    /// Tells whether every member of an assignment is alive, ready and in that assignment.
    pub(crate) fn is_whole(&self, wanted: &Assignment) -> bool {
        !wanted.members.is_empty()
            && wanted.members.iter().enumerate().all(|(shard, member)| {
                self.by_id(member).is_some_and(|known| known.is_ready_shard(shard, wanted))
            })
    }

    /// Returns the addresses of the instances of the group that the instance belongs to.
    pub(crate) fn group_of(&self, address: &str) -> Vec<Address> {
        let own = self.instances.get(address).and_then(|known| known.assignment.as_ref());
        let is_member = |own: &&Assignment| {
            self.instances.get(address).is_some_and(|i| own.members.contains(&i.info.instance))
        };
        let Some(own) = own.filter(is_member) else { return vec![address.to_string()] };
        let members = own.members.iter().filter_map(|member| self.by_id(member));
        let same = members.filter(|known| {
            let theirs = known.assignment.as_ref();
            theirs.is_some_and(|a| (&a.group, a.epoch) == (&own.group, own.epoch))
        });
        same.map(|known| known.info.address.clone()).collect()
    }

    /// Ends every stream of the group that the instance belongs to.
    pub(crate) fn cut_group_streams(&mut self, address: &str, reason: &str) {
        let members = self.group_of(address);
        for stream in self.streams.values_mut().filter(|s| members.contains(&s.address)) {
            stream.cut = Some(reason.to_string());
            stream.wake.notify_one();
        }
    }

    /// Breaks a group: its streams end and its ready members have failed; others go on loading.
    pub(crate) fn break_group(&mut self, address: &str, keeps_weights: bool, reason: &str) {
        self.cut_group_streams(address, reason);
        for member in self.group_of(address) {
            let Some(known) = self.instances.get_mut(&member) else { continue };
            if !matches!(known.state, MemberState::Ready | MemberState::Draining) {
                continue;
            }
            known.is_loaded &= keeps_weights;
            known.state = MemberState::Failed;
            known.generation += 1;
            known.held.clear();
        }
    }

    /// Returns the number of running and of queued streams of an instance.
    pub(crate) fn load_of(&self, address: &str) -> (u32, u32) {
        let own = self.streams.values();
        let own = own.filter(|stream| stream.address == address && !stream.is_cancelled);
        let (running, queued): (Vec<_>, Vec<_>) = own.partition(|stream| stream.is_running);
        (running.len() as u32, queued.len() as u32)
    }

    /// Returns the reported load, which is a sample that may be old.
    pub(crate) fn sample_load(&mut self, address: &str, now: Duration) -> EngineLoad {
        let (running, queued) = self.load_of(address);
        let Some(known) = self.instances.get_mut(address) else { return no_load() };
        if known.load_sample.0 + known.options.load_lag <= now {
            known.load_sample = (now, running, queued);
        }
        let (at, running, queued) = known.load_sample;
        let age = now.saturating_sub(at);
        EngineLoad { running, queued, capacity: known.options.capacity, age }
    }

    /// Gives free places in the batch to the waiting streams of highest priority.
    pub(crate) fn fill_batch(&mut self, address: &str) {
        let Some(known) = self.instances.get(address) else { return };
        let capacity = known.options.capacity;
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

    /// Returns the report of an instance.
    pub(crate) fn status(&mut self, address: &str, now: Duration) -> Option<EngineStatus> {
        let load = self.sample_load(address, now);
        let known = self.instances.get(address)?;
        let is_leaving = known.leaving_since.is_some() && known.state == MemberState::Ready;
        Some(EngineStatus {
            instance: known.info.instance.clone(),
            state: if is_leaving { MemberState::Draining } else { known.state },
            assignment: known.assignment.clone(),
            highest_epoch: known.highest_epoch,
            load,
        })
    }

    /// Records the instance list as it is from now on.
    pub(crate) fn note_list(&mut self, now: Duration) {
        let alive = self.instances.values().filter(|known| known.is_alive);
        let list = alive.map(|known| known.info.clone()).collect();
        self.list_log.push((now, list));
    }
}

fn no_load() -> EngineLoad {
    EngineLoad { running: 0, queued: 0, capacity: 0, age: Duration::ZERO }
}
