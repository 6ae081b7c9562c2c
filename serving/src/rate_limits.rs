//! Rates at which instances take requests, as they name them in their answers, shared among the nodes.
//!
//! Load pattern: a replica in need names the rate that it takes from all nodes together, while every node
//! has more requests for it. There is no common counter. A few nodes, elected by rendezvous hashing for each
//! instance, each send an equal part of the rate, evenly spaced; the others send it nothing.
//!
//! In any window of length `t`, `k` senders with a rate `r` send at most `t * r + 2 * k` requests: each
//! spaces them by `k / r` and may have one in advance and one in arrears.

use crate::key_hash::key_hash;
use guavaladder_proc_macros::common_derives;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use tokio::time::Instant;

/// Number of senders of an instance that names a rate below 1 request per second; one more for each whole
/// request per second.
const MIN_SENDERS: usize = 2;
/// Lowest rate at which requests are sent, per second. A limit of zero would otherwise never be seen to end.
const MIN_RATE: f64 = 0.25;
/// Time for which the end of a limit is told to other nodes.
const END_RETENTION: Duration = Duration::from_secs(30);

/// Hash of the id and the start time of an instance, which identifies one run of it.
pub type RunHash = u64;

/// Returns the hash of one run of an instance.
pub fn run_hash(instance: &str, born_ms: u64) -> RunHash {
    key_hash(format!("{instance}@{born_ms}").as_bytes())
}

/// What an answer of an instance states about its rate.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub enum RateNotice {
    /// The answer names no limit.
    #[default]
    Unlimited,
    /// The instance takes this many requests per second from all nodes together.
    Limited(f64),
    /// The answer names a limit that is not a decimal number of at least 0.
    Malformed,
}

/// Statement about the rate of an instance, as nodes tell each other.
#[common_derives]
pub struct RateNews {
    /// Run of the instance.
    pub run: RunHash,
    /// Requests per second that it takes; `None` if it no longer names a limit.
    pub per_second: Option<f64>,
    /// Time since the instance stated it, in milliseconds.
    pub age_ms: u32,
}

/// Change of a limit, for the log.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RateChange {
    /// The instance names a limit, or another one than before.
    Named {
        /// Requests per second that it takes from all nodes together.
        per_second: f64,
        /// This node's part of them; 0 if it is not elected.
        own_per_second: f64,
        /// Number of nodes that send to it.
        senders: usize,
    },
    /// The instance no longer names a limit.
    Ended {
        /// Time since it first named one.
        lasted: Duration,
    },
}

/// Whether a request may be sent to an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RateAllowance {
    /// The instance names no limit, or this node's part allows a request.
    Available,
    /// This node's part allows the next request after this time.
    After(Duration),
    /// Other nodes send to the instance.
    NotElected,
    /// The instance has asked this node for rest, for this time.
    Resting(Duration),
}

/// Shared table of the limits that instances name.
#[derive(Debug, Clone, Default)]
pub struct RateLimits {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug, Default)]
struct Inner {
    /// Nodes that share the rates; empty while they are not known.
    nodes: Vec<String>,
    own: String,
    limits: HashMap<RunHash, Limit>,
}

#[derive(Debug)]
struct Limit {
    /// Requests per second; `None` after the limit has ended.
    per_second: Option<f64>,
    /// When the instance first named a limit, and when it last stated one or its end.
    since: Instant,
    stated_at: Instant,
    /// This node's part; `None` if it is not elected.
    share: Option<Share>,
}

/// Part of a rate, as evenly spaced requests.
#[derive(Debug, Clone, Copy)]
struct Share {
    interval: Duration,
    next: Instant,
}

impl RateLimits {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the names of the nodes that share the rates, this one among them.
    pub fn set_nodes(&self, own: &str, mut nodes: Vec<String>, now: Instant) {
        nodes.sort_unstable();
        let mut inner = self.lock();
        if inner.nodes == nodes && inner.own == own {
            return;
        }
        (inner.nodes, inner.own) = (nodes, own.to_string());
        let Inner { nodes, own, limits } = &mut *inner;
        for (run, limit) in limits.iter_mut() {
            limit.update_share(*run, own, nodes, now);
        }
    }

    /// Records what an answer states. `sent_at` is the time of the request that it answers, and `is_run`
    /// whether the instance ran the request: only such an answer shows that a limit has ended.
    pub fn record(
        &self,
        run: RunHash,
        notice: RateNotice,
        sent_at: Instant,
        is_run: bool,
        now: Instant,
    ) -> Option<RateChange> {
        match notice {
            RateNotice::Limited(per_second) => self.lock().state(run, Some(per_second), now, now),
            RateNotice::Unlimited if is_run => {
                let mut inner = self.lock();
                let limit = inner.limits.get(&run)?;
                // An answer to an earlier request may have been on its way when the limit was named.
                match limit.per_second.is_some() && sent_at > limit.stated_at {
                    true => inner.state(run, None, now, now),
                    false => None,
                }
            }
            RateNotice::Unlimited | RateNotice::Malformed => None,
        }
    }

    /// Applies what another node tells; returns the changes.
    pub fn merge(&self, news: &[RateNews], now: Instant) -> Vec<(RunHash, RateChange)> {
        let mut inner = self.lock();
        let mut changes = vec![];
        for RateNews { run, per_second, age_ms } in news {
            let age = Duration::from_millis(u64::from(*age_ms));
            let Some(stated_at) = now.checked_sub(age) else { continue };
            let is_newer = match inner.limits.get(run) {
                Some(limit) => limit.stated_at < stated_at,
                None => per_second.is_some(),
            };
            if is_newer && let Some(change) = inner.state(*run, *per_second, stated_at, now) {
                changes.push((*run, change));
            }
        }
        changes
    }

    /// Returns what to tell other nodes, the latest statements first.
    pub fn news(&self, now: Instant) -> Vec<RateNews> {
        let inner = self.lock();
        let mut limits: Vec<(&RunHash, &Limit)> = inner.limits.iter().collect();
        limits.sort_unstable_by_key(|(_, limit)| std::cmp::Reverse(limit.stated_at));
        let news = limits.into_iter().map(|(run, limit)| RateNews {
            run: *run,
            per_second: limit.per_second,
            age_ms: u32::try_from((now - limit.stated_at).as_millis()).unwrap_or(u32::MAX),
        });
        news.collect()
    }

    /// Returns whether a request may be sent to an instance now. A request whose response has begun may take
    /// the next one of this node's part in advance.
    pub fn allowance(&self, run: RunHash, has_begun: bool, now: Instant) -> RateAllowance {
        self.lock().allowance(run, has_begun, now)
    }

    /// Withdraws a request from this node's part of an instance's rate; returns false if none is left.
    pub fn withdraw(&self, run: RunHash, has_begun: bool, now: Instant) -> bool {
        let mut inner = self.lock();
        let is_available = inner.allowance(run, has_begun, now) == RateAllowance::Available;
        let limit = inner.limits.get_mut(&run).filter(|limit| limit.per_second.is_some());
        if let Some(share) = limit.and_then(|limit| limit.share.as_mut()).filter(|_| is_available) {
            share.next = share.next.max(now) + share.interval;
        }
        is_available
    }

    /// Returns the nodes that are elected to send to an instance.
    pub fn senders(&self, run: RunHash) -> Vec<String> {
        let inner = self.lock();
        let limit = inner.limits.get(&run).and_then(|limit| limit.per_second);
        let Some(per_second) = limit else { return vec![] };
        let weighted = inner.nodes.iter().map(|node| (weight(run, node), node));
        let mut weighted: Vec<(u64, &String)> = weighted.collect();
        weighted.sort_unstable_by(|a, b| b.cmp(a));
        weighted.truncate(sender_count(per_second, inner.nodes.len()));
        weighted.into_iter().map(|(_, node)| node.clone()).collect()
    }

    /// Removes the limits of instances for which `is_known` is false, and those that ended long ago.
    pub fn retain(&self, is_known: impl Fn(RunHash) -> bool, now: Instant) {
        self.lock().limits.retain(|run, limit| {
            let is_over = limit.per_second.is_none() && now - limit.stated_at >= END_RETENTION;
            is_known(*run) && !is_over
        });
    }

    /// Returns the number of instances that name a limit.
    pub fn len(&self) -> usize {
        self.lock().limits.values().filter(|limit| limit.per_second.is_some()).count()
    }

    /// Returns whether no instance names a limit.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    /// Records a statement that is newer than the last one.
    fn state(
        &mut self,
        run: RunHash,
        per_second: Option<f64>,
        stated_at: Instant,
        now: Instant,
    ) -> Option<RateChange> {
        let limit = self.limits.entry(run).or_insert_with(|| Limit {
            per_second: None,
            since: stated_at,
            stated_at,
            share: None,
        });
        limit.stated_at = stated_at;
        let before = std::mem::replace(&mut limit.per_second, per_second);
        if before == per_second {
            return None;
        }
        match per_second {
            Some(per_second) => {
                if before.is_none() {
                    (limit.since, limit.share) = (stated_at, None);
                }
                limit.update_share(run, &self.own, &self.nodes, now);
                let own_per_second =
                    limit.share.map_or(0.0, |share| share.interval.as_secs_f64().recip());
                let senders = sender_count(per_second, self.nodes.len());
                Some(RateChange::Named { per_second, own_per_second, senders })
            }
            None => Some(RateChange::Ended { lasted: stated_at - limit.since }),
        }
    }

    fn allowance(&self, run: RunHash, has_begun: bool, now: Instant) -> RateAllowance {
        let limit = self.limits.get(&run).filter(|limit| limit.per_second.is_some());
        let Some(limit) = limit else { return RateAllowance::Available };
        let Some(Share { interval, next }) = limit.share else { return RateAllowance::NotElected };
        let in_advance = if has_begun { interval } else { Duration::ZERO };
        match next.saturating_duration_since(now).saturating_sub(in_advance) {
            Duration::ZERO => RateAllowance::Available,
            wait => RateAllowance::After(wait),
        }
    }
}

impl Limit {
    /// Computes this node's part anew. A node that was not elected before begins at a random moment of its
    /// first interval, so that the nodes do not send together.
    fn update_share(&mut self, run: RunHash, own: &str, nodes: &[String], now: Instant) {
        let Some(per_second) = self.per_second else { return };
        let senders = sender_count(per_second, nodes.len());
        if !is_elected(run, own, nodes, senders) {
            self.share = None;
            return;
        }
        let interval = Duration::from_secs_f64(senders as f64 / per_second.max(MIN_RATE));
        let first = now + interval.mul_f64(rand::random_range(0.0..1.0));
        let next = self.share.map_or(first, |share| share.next.min(now + interval));
        self.share = Some(Share { interval, next });
    }
}

/// Returns the number of nodes that send to an instance with this limit.
fn sender_count(per_second: f64, nodes: usize) -> usize {
    // The cast saturates for a limit that exceeds any number of nodes.
    nodes.min(MIN_SENDERS.saturating_add(per_second as usize))
}

/// Returns the weight by which a node is elected for an instance.
fn weight(run: RunHash, node: &str) -> u64 {
    key_hash(&[&run.to_le_bytes(), node.as_bytes()].concat())
}

/// Returns whether a node is among the `count` ones with the highest weights for an instance.
fn is_elected(run: RunHash, own: &str, nodes: &[String], count: usize) -> bool {
    let own_weight = weight(run, own);
    let is_ahead = |node: &&String| weight(run, node) > own_weight;
    nodes.iter().any(|node| node == own) && nodes.iter().filter(is_ahead).count() < count
}
