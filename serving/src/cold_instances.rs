//! Instances that are cold, and how many requests they get from all nodes together.
//!
//! Load pattern: an instance has started, a data centre comes back, or a group has just opened. It has the fewest
//! requests of all, and every node sends to it at the same moment, while it crashes above a low rate. There is no
//! common counter. A few nodes, elected by rendezvous hashing for each run of an instance, send to it with strict
//! spacing; the others send it nothing. The nodes elected in one view of the fleet send at most half of what is
//! allowed in any one second, so that nodes with another view may have elected others.

use crate::fleet_config::ColdStart;
use crate::key_hash::key_hash;
use crate::placement;
use crate::placement::Candidate;
use crate::placement::NoCapacity;
use crate::placement::PlacementInput;
use crate::rate_limits::RateAllowance;
use crate::rate_limits::RunHash;
use crate::replica_set::Replica;
use crate::store_era::Revision;
use guavaladder_proc_macros::common_derives;
use std::cmp::Reverse;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Window in which requests are counted, and by how much requests may be delayed on the way to an instance
/// without exceeding the bound.
const WINDOW: Duration = Duration::from_secs(1);
const MAX_DELAY: Duration = Duration::from_millis(100);
/// Time after an instance was cold, or a replica was down, for which it is filled by the elected nodes alone.
const FILL_PERIOD: Duration = Duration::from_secs(1);
/// Fraction of the mean number of requests at the candidates below which a replica counts as light. With half of the
/// slots instead, all replicas are light at moderate load, and the busier ones are preferred.
const LIGHT_RATIO: f64 = 0.25;
/// Slowness from which a warm replica is not preferred to a cold one.
const SLOW_THRESHOLD: f64 = 2.0;
/// Age that an entry may have when it is read. One that states an instance to be warm does not end what was
/// assumed later than that.
const ENTRY_LAG: Duration = Duration::from_secs(1);
/// Difference in age within which two statements count as the same one that came by different ways.
const SAME_STATEMENT: Duration = Duration::from_millis(100);
/// Longest time for which an instance counts as cold by one statement, so that one whose statement is wrong is
/// not lost for good.
const MAX_COLD: Duration = Duration::from_secs(60);
/// Time for which the end of a cold period is told to other nodes.
const END_RETENTION: Duration = Duration::from_secs(3);
/// Time for which a run is remembered after its entry has gone, since the store may lose entries for a while.
const RUN_RETENTION: Duration = Duration::from_secs(60);

/// Statement of an instance on how long it stays cold, as nodes tell each other.
#[common_derives(Copy, Eq)]
pub struct ColdNews {
    /// Run of the instance.
    pub run: RunHash,
    /// How much longer it stays cold, in milliseconds; 0 if it is warm.
    pub left_ms: u32,
    /// Time since the instance stated it, in milliseconds.
    pub age_ms: u32,
}

/// An instance that was warm, as far as this node knew, is cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdChange {
    /// Run of the instance.
    pub run: RunHash,
    /// How much longer it stays cold.
    pub left: Duration,
}

/// How the requests of all nodes to a cold instance of a service are bounded.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdPolicy {
    /// Time for which an instance is cold after it started.
    pub period: Duration,
    /// Requests that the nodes elected in one view may send in any one second.
    pub window_requests: usize,
}

/// Number of nodes that send to an instance, and the interval between the requests of each.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SendPlan {
    /// Number of elected nodes.
    pub senders: usize,
    /// Interval between the requests of each.
    pub interval: Duration,
}

/// How far a replica may be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Warmth {
    /// It may be used freely.
    Warm,
    /// It may be used freely, but has so few requests that all nodes would choose it at once.
    Light,
    /// It is new or was cold until recently: only the elected nodes send to it.
    Filling,
    /// It is cold: only the elected nodes send to it, and only what no warm replica takes.
    Cold,
}

/// State of a replica with respect to cold instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdState {
    /// How far it may be used.
    pub warmth: Warmth,
    /// Whether this node's part allows a request; binding if the replica is cold or filling.
    pub allowance: RateAllowance,
}

impl ColdState {
    /// State of a replica of a service without a cold rate.
    pub const WARM: Self = Self { warmth: Warmth::Warm, allowance: RateAllowance::Available };
}

/// Shared table of the runs of instances with respect to being cold.
#[derive(Debug, Clone, Default)]
pub struct ColdInstances {
    inner: Arc<Mutex<Inner>>,
    is_active: Arc<AtomicBool>,
    news_added: Arc<Notify>,
}

#[derive(Debug, Default)]
struct Inner {
    /// When this node began to share the rates; `None` while it does not know the other nodes.
    shares_since: Option<Instant>,
    /// When the nodes changed last.
    nodes_since: Option<Instant>,
    /// Hashes of the nodes that share the rates, and of this one.
    nodes: Vec<u64>,
    own: u64,
    /// Increases with each change of the nodes.
    nodes_version: u64,
    /// Whether the instances and replicas that existed at the start are known.
    is_initialised: bool,
    runs: HashMap<RunHash, Run>,
    replicas: HashMap<u64, Returned>,
}

/// State of one run of an instance.
#[derive(Debug)]
struct Run {
    /// When it was last registered, as far as this node knows.
    seen_at: Instant,
    /// When it started, or was first seen; `None` if it has run for long.
    started: Option<Instant>,
    /// Newest statement of the instance.
    statement: Option<Statement>,
    /// Revision of the entry that was read last.
    entry_revision: Revision,
    /// Whether it was returned as one that was first seen.
    is_reported: bool,
    /// Since when and until when it is assumed to be cold.
    assumed: Option<(Instant, Instant)>,
    /// When this node last sent it a request.
    last_sent: Option<Instant>,
    /// Result of the last election.
    election: Option<Election>,
}

#[derive(Debug, Clone, Copy)]
struct Statement {
    /// Since when it has been cold without interruption.
    since: Instant,
    stated_at: Instant,
    until: Instant,
}

#[derive(Debug, Clone, Copy)]
struct Election {
    nodes_version: u64,
    senders: usize,
    is_elected: bool,
    /// Since when this node has been elected.
    since: Instant,
}

/// When a replica was first seen, and last found to be down.
#[derive(Debug, Clone, Copy)]
struct Returned {
    seen_at: Instant,
    first_seen: Option<Instant>,
    last_down: Option<Instant>,
}

impl ColdPolicy {
    /// Returns the policy for a service, with `over` and `slack` of the bound.
    pub fn new(cold_start: ColdStart, over: f64, slack: f64) -> Self {
        // The casts saturate.
        let bound = (cold_start.per_second * over + slack) as usize;
        let tolerated = cold_start.per_second.ceil() as usize;
        Self { period: cold_start.period, window_requests: (bound / 2).min(tolerated).max(1) }
    }

    /// Returns how many of `nodes` nodes send, and how often each.
    pub fn plan(&self, nodes: usize) -> SendPlan {
        let most = self.window_requests.min(nodes.max(1));
        let requests_of = |senders: &usize| (self.window_requests / senders * senders, *senders);
        let senders = (1..=most).max_by_key(requests_of).unwrap_or(1);
        let each = u32::try_from(self.window_requests / senders).unwrap_or(u32::MAX).max(1);
        SendPlan { senders, interval: (WINDOW + MAX_DELAY) / each }
    }
}

impl ColdInstances {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets whether any service has a cold rate.
    pub fn set_active(&self, is_active: bool) {
        self.is_active.store(is_active, Ordering::Relaxed);
    }

    /// Returns whether any service has a cold rate.
    pub fn is_active(&self) -> bool {
        self.is_active.load(Ordering::Relaxed)
    }

    /// Sets the names of the nodes that share the rates, this one among them; none if they are not known.
    pub fn set_nodes(&self, own: &str, nodes: &[String], now: Instant) {
        let mut hashes: Vec<u64> = nodes.iter().map(|node| key_hash(node.as_bytes())).collect();
        hashes.sort_unstable();
        let mut inner = self.lock();
        if inner.nodes == hashes {
            return;
        }
        if inner.nodes.is_empty() {
            inner.shares_since = Some(now);
        }
        inner.own = key_hash(own.as_bytes());
        inner.nodes = hashes;
        inner.nodes_version += 1;
        inner.nodes_since = Some(now);
    }

    /// Records the registered runs, with their ages according to the wall clock, and the replicas. Those of the
    /// first call existed before this node started; runs that are first seen later count as just started.
    /// Returns the latter.
    pub fn observe(
        &self,
        runs: impl Iterator<Item = (RunHash, Option<Duration>)>,
        replicas: impl Iterator<Item = u64>,
        now: Instant,
    ) -> Vec<RunHash> {
        let mut inner = self.lock();
        let is_first = !std::mem::replace(&mut inner.is_initialised, true);
        let mut new = vec![];
        for (hash, age) in runs {
            let started = (!is_first).then_some(now);
            let run = inner.runs.entry(hash);
            let run = run.or_insert_with(|| Run { started, ..Run::new(now) });
            match is_first {
                true => {
                    let recent = age.filter(|age| *age < MAX_COLD);
                    run.started = recent.and_then(|age| now.checked_sub(age));
                }
                false if run.started.is_some() && !run.is_reported => new.push(hash),
                false => {}
            }
            run.is_reported = true;
            run.seen_at = now;
        }
        for hash in replicas {
            let first_seen = (!is_first).then_some(now);
            let new = Returned { seen_at: now, first_seen, last_down: None };
            inner.replicas.entry(hash).or_insert(new).seen_at = now;
        }
        inner.runs.retain(|_, run| now - run.seen_at < RUN_RETENTION);
        inner.replicas.retain(|_, replica| now - replica.seen_at < RUN_RETENTION);
        new
    }

    /// Records what the entry of an instance states. `is_watched` tells whether it was read as a change: an entry
    /// out of the complete list may have been written long ago, and its statement that the instance is warm shows
    /// nothing.
    pub fn record_entry(
        &self,
        run: RunHash,
        left: Duration,
        revision: Revision,
        is_watched: bool,
        now: Instant,
    ) -> Option<ColdChange> {
        let mut inner = self.lock();
        let state = match left.is_zero() {
            true => inner.runs.get_mut(&run)?,
            false => inner.runs.entry(run).or_insert_with(|| Run::new(now)),
        };
        if revision <= std::mem::replace(&mut state.entry_revision, revision) {
            return None;
        }
        match left.is_zero() {
            true if !is_watched => None,
            // The entry may be older than what the instance stated in an answer.
            true if state.statement.is_some_and(|s| now < s.stated_at + ENTRY_LAG) => None,
            _ => self.state_and_notify(run, state, left, now, now),
        }
    }

    /// Records what an answer of an instance to a request that was sent at `sent_at` states.
    pub fn record_answer(
        &self,
        run: RunHash,
        left: Duration,
        sent_at: Instant,
        now: Instant,
    ) -> Option<ColdChange> {
        let mut inner = self.lock();
        let state = match left.is_zero() {
            true => inner.runs.get_mut(&run)?,
            false => inner.runs.entry(run).or_insert_with(|| Run::new(now)),
        };
        // An answer may have been on its way when the instance turned cold.
        if left.is_zero() && state.statement.is_some_and(|s| sent_at <= s.stated_at) {
            return None;
        }
        self.state_and_notify(run, state, left, now, now)
    }

    fn state_and_notify(
        &self,
        run: RunHash,
        state: &mut Run,
        left: Duration,
        stated_at: Instant,
        now: Instant,
    ) -> Option<ColdChange> {
        let before = state.statement;
        let change = state.record_statement(run, left, stated_at, now);
        let was_told = before.is_some_and(|before| {
            let after = state.statement.map_or(now, |after| after.until);
            after <= before.until + SAME_STATEMENT && (before.until <= now || after > now)
        });
        if !was_told && (before.is_some() || !left.is_zero()) {
            self.news_added.notify_one();
        }
        change
    }

    /// Applies what another node tells; returns the instances that are cold.
    pub fn merge(&self, news: &[ColdNews], now: Instant) -> Vec<ColdChange> {
        let mut inner = self.lock();
        let mut changes = vec![];
        for ColdNews { run, left_ms, age_ms } in news {
            let left = Duration::from_millis(u64::from(*left_ms)).min(MAX_COLD);
            let age = Duration::from_millis(u64::from(*age_ms));
            let Some(stated_at) = now.checked_sub(age) else { continue };
            // What has ended long ago changes nothing, and would be kept for runs that do not exist.
            if age > left + END_RETENTION {
                continue;
            }
            let state = inner.runs.entry(*run).or_insert_with(|| Run::new(now));
            changes.extend(state.record_statement(*run, left, stated_at, now));
        }
        changes
    }

    /// Returns what to tell other nodes, the latest statements first.
    pub fn news(&self, now: Instant) -> Vec<ColdNews> {
        let inner = self.lock();
        let statements =
            inner.runs.iter().filter_map(|(run, state)| Some((*run, state.statement?)));
        let is_news = |(_, s): &(RunHash, Statement)| now < s.until + END_RETENTION;
        let mut statements: Vec<(RunHash, Statement)> = statements.filter(is_news).collect();
        statements.sort_unstable_by_key(|(run, statement)| (Reverse(statement.stated_at), *run));
        let millis = |time: Duration| u32::try_from(time.as_millis()).unwrap_or(u32::MAX);
        let news = statements.into_iter().map(|(run, statement)| ColdNews {
            run,
            left_ms: millis(statement.until.saturating_duration_since(statement.stated_at)),
            age_ms: millis(now.saturating_duration_since(statement.stated_at)),
        });
        news.collect()
    }

    /// Waits until this node has read a statement that others may not know.
    pub async fn news_added(&self) {
        self.news_added.notified().await;
    }

    /// Treats runs of instances as cold until a time, unless they state later that they are warm.
    pub fn assume_cold(&self, runs: impl IntoIterator<Item = RunHash>, until: Instant) {
        let now = Instant::now();
        let mut inner = self.lock();
        for run in runs {
            let state = inner.runs.entry(run).or_insert_with(|| Run::new(now));
            let latest = state.assumed.map_or(until, |(_, before)| before.max(until));
            state.assumed = Some((now, latest));
        }
    }

    /// Returns how far a replica may be used. A run or a replica that is not known yet counts as new; one with
    /// fewer requests than `light_below` as light.
    pub fn state(
        &self,
        policy: &ColdPolicy,
        replica: &Replica,
        requests: u32,
        light_below: f64,
        is_down: bool,
        now: Instant,
    ) -> ColdState {
        let mut inner = self.lock();
        if is_down {
            inner.returned(replica.hash, now).last_down = Some(now);
        }
        let limit = inner.limit(policy, replica.run, replica.hash, now);
        let is_light = f64::from(requests) < light_below;
        let warmth = match limit {
            Some(limit) => limit.warmth(),
            None if is_light => Warmth::Light,
            None => return ColdState::WARM,
        };
        let since = limit.map(|limit| limit.since);
        ColdState { warmth, allowance: inner.allowance(policy, replica.run, since, now) }
    }

    /// Withdraws a request from this node's part of what a replica gets and returns how far the replica may be
    /// used; `None` if no part is left. What is sent to a warm replica is recorded, since it may turn cold.
    pub fn withdraw(&self, policy: &ColdPolicy, replica: &Replica, now: Instant) -> Option<Warmth> {
        let mut inner = self.lock();
        let limit = inner.limit(policy, replica.run, replica.hash, now);
        if let Some(limit) = limit
            && inner.allowance(policy, replica.run, Some(limit.since), now)
                != RateAllowance::Available
        {
            return None;
        }
        inner.run(replica.run, now).last_sent = Some(now);
        Some(limit.map_or(Warmth::Warm, Limit::warmth))
    }

    /// Returns which of `nodes` are elected to send to a run of an instance.
    pub fn senders(&self, policy: &ColdPolicy, run: RunHash, nodes: Vec<String>) -> Vec<String> {
        let plan = policy.plan(nodes.len());
        let weighted = nodes.into_iter().map(|node| (weight(run, key_hash(node.as_bytes())), node));
        let mut weighted: Vec<(u64, String)> = weighted.collect();
        weighted.sort_unstable_by(|a, b| b.cmp(a));
        weighted.truncate(plan.senders);
        weighted.into_iter().map(|(_, node)| node).collect()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Why only the elected nodes send to a replica.
#[derive(Debug, Clone, Copy)]
struct Limit {
    since: Instant,
    is_cold: bool,
}

impl Limit {
    fn warmth(self) -> Warmth {
        if self.is_cold { Warmth::Cold } else { Warmth::Filling }
    }
}

impl Inner {
    /// Returns the state of a run; one that is not known yet counts as just started.
    fn run(&mut self, run: RunHash, now: Instant) -> &mut Run {
        let is_new = self.is_initialised;
        self.runs
            .entry(run)
            .or_insert_with(|| Run { started: is_new.then_some(now), ..Run::new(now) })
    }

    fn returned(&mut self, hash: u64, now: Instant) -> &mut Returned {
        let first_seen = self.is_initialised.then_some(now);
        let new = Returned { seen_at: now, first_seen, last_down: None };
        self.replicas.entry(hash).or_insert(new)
    }

    /// Returns why only the elected nodes send to a replica, if that is so.
    fn limit(
        &mut self,
        policy: &ColdPolicy,
        run: RunHash,
        hash: u64,
        now: Instant,
    ) -> Option<Limit> {
        let cold = self.run(run, now).cold_period(policy.period);
        let returned = *self.returned(hash, now);
        let opened = returned.first_seen.map(|at| (at, at + policy.period));
        let went_up = returned.last_down.map(|at| (at, at + FILL_PERIOD));
        let is_cold = cold.is_some_and(|(_, until)| now < until);
        let cooled = cold.map(|(since, until)| (since, until + FILL_PERIOD));
        let periods = [cooled, opened, went_up].into_iter().flatten();
        let current = periods.filter(|(_, until)| now < *until).map(|(since, _)| since);
        current.min().map(|since| Limit { since, is_cold })
    }

    /// Returns whether this node's part allows a request to a run. A replica that is limited gets the first one
    /// at a moment within the first interval that differs between the elected nodes.
    fn allowance(
        &mut self,
        policy: &ColdPolicy,
        run: RunHash,
        limited_since: Option<Instant>,
        now: Instant,
    ) -> RateAllowance {
        let Some(shares_since) = self.shares_since.filter(|_| !self.nodes.is_empty()) else {
            return RateAllowance::NotElected;
        };
        let plan = policy.plan(self.nodes.len());
        let election = self.elect(run, plan.senders, now);
        if !election.is_elected {
            return RateAllowance::NotElected;
        }
        let phase = weight(run, self.own) as u32;
        let phase = plan.interval.mul_f64(f64::from(phase) / f64::from(u32::MAX));
        let first = limited_since.map(|limited_since| {
            // An earlier process of this node may have sent until it ended.
            (limited_since.max(election.since) + phase).max(shares_since + plan.interval)
        });
        let next = self.run(run, now).last_sent.map(|at| at + plan.interval);
        match first.max(next).map_or(Duration::ZERO, |at| at.saturating_duration_since(now)) {
            Duration::ZERO => RateAllowance::Available,
            wait => RateAllowance::After(wait),
        }
    }

    fn elect(&mut self, run: RunHash, senders: usize, now: Instant) -> Election {
        let nodes_version = self.nodes_version;
        let last = self.run(run, now).election;
        let is_current =
            |last: &Election| last.nodes_version == nodes_version && last.senders == senders;
        if let Some(last) = last.filter(is_current) {
            return last;
        }
        let own = weight(run, self.own);
        let ahead = self.nodes.iter().filter(|node| weight(run, **node) > own).count();
        let is_elected = self.nodes.binary_search(&self.own).is_ok() && ahead < senders;
        let newly = self.nodes_since.unwrap_or(now);
        let since = last.filter(|last| last.is_elected).map_or(newly, |last| last.since);
        let election = Election { nodes_version, senders, is_elected, since };
        self.run(run, now).election = Some(election);
        election
    }
}

impl Run {
    /// Returns the state of a run that has run for long.
    fn new(now: Instant) -> Self {
        Self {
            seen_at: now,
            started: None,
            statement: None,
            entry_revision: Revision::default(),
            is_reported: false,
            assumed: None,
            last_sent: None,
            election: None,
        }
    }

    /// Records a statement, unless a newer one is known; returns a change if the instance was not known to be
    /// cold by its own statement.
    fn record_statement(
        &mut self,
        run: RunHash,
        left: Duration,
        stated_at: Instant,
        now: Instant,
    ) -> Option<ColdChange> {
        let until = stated_at + left.min(MAX_COLD);
        if let Some(known) = &self.statement {
            if stated_at + SAME_STATEMENT < known.stated_at {
                return None;
            }
            // The same statement came by another way: it does not become newer by that.
            let is_same = stated_at <= known.stated_at + SAME_STATEMENT
                && until <= known.until + SAME_STATEMENT;
            if is_same && (!left.is_zero() || stated_at <= known.stated_at) {
                return None;
            }
        }
        let known = self.statement.filter(|known| known.until > now);
        let since = known.map_or(stated_at, |known| known.since);
        self.statement = Some(Statement { since, stated_at, until });
        let is_new = known.is_none() && until > now;
        is_new.then(|| ColdChange { run, left: until - now })
    }

    /// Returns since when and until when the run is or was cold. `period` is how long instances of its service
    /// are cold after they started.
    fn cold_period(&self, period: Duration) -> Option<(Instant, Instant)> {
        let statement = self.statement;
        // What is assumed ends with a later statement.
        let end_of = |(since, until): (Instant, Instant)| match statement {
            Some(statement) if statement.stated_at >= since + ENTRY_LAG => {
                (since, until.min(statement.stated_at))
            }
            _ => (since, until),
        };
        let started = self.started.map(|at| end_of((at, at + period)));
        let assumed = self.assumed.map(end_of);
        let stated = statement.map(|statement| (statement.since, statement.until));
        let periods = [started, assumed, stated].into_iter().flatten();
        periods.reduce(|(since, until), (other_since, other_until)| match () {
            // Of separate periods, the last one counts.
            () if other_since > until => (other_since, other_until),
            () if since > other_until => (since, until),
            () => (since.min(other_since), until.max(other_until)),
        })
    }
}

/// Returns the weight by which a node is elected for a run: the finalizer of SplitMix64 over both hashes.
fn weight(run: RunHash, node: u64) -> u64 {
    let mixed = (run ^ node.rotate_left(32)).wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Returns the number of requests below which a replica is light: it has emptied, perhaps because it turned cold.
pub fn light_below(candidates: &[Candidate]) -> f64 {
    let requests: u32 = candidates.iter().map(|c| c.state.requests()).sum();
    f64::from(requests) / candidates.len().max(1) as f64 * LIGHT_RATIO
}

/// Chooses a replica: a warm one, where a light one counts only if this node's part allows a request; then any
/// that is not cold; then a cold one within this node's part. `states` are those of the candidates, in order.
pub fn choose(
    candidates: &mut [Candidate],
    states: &[ColdState],
    input: &PlacementInput<'_>,
) -> Result<Arc<Replica>, NoCapacity> {
    for (candidate, state) in candidates.iter_mut().zip(states) {
        let is_limited = matches!(state.warmth, Warmth::Cold | Warmth::Filling);
        if is_limited && candidate.rate == RateAllowance::Available {
            candidate.rate = state.allowance;
        }
    }
    let is_prompt = |c: &Candidate| !c.state.is_ejected && c.state.slowness < SLOW_THRESHOLD;
    let is_own = |state: &ColdState| match state.warmth {
        Warmth::Cold => false,
        Warmth::Light => state.allowance == RateAllowance::Available,
        Warmth::Warm | Warmth::Filling => true,
    };
    let is_not_cold = |state: &ColdState| state.warmth != Warmth::Cold;
    let choose_from = |is_preferred: &dyn Fn(&ColdState) -> bool| {
        let with_state = candidates.iter().zip(states);
        let preferred = with_state.filter(|(c, state)| is_prompt(c) && is_preferred(state));
        let preferred: Vec<Candidate> = preferred.map(|(c, _)| c.clone()).collect();
        placement::choose(&preferred, input)
    };
    choose_from(&is_own)
        .or_else(|_| choose_from(&is_not_cold))
        .or_else(|_| placement::choose(candidates, input))
}
