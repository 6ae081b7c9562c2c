//! Upstreams that interrupted a request and do not respond to a probe. They may have crashed, or go on a
//! second later, so the requests that were running there count as running at a crash only once the crash
//! is known: nothing listens at the address, or the engine has lost its group. That nothing listens, or
//! responds for long, counts only while this node reaches another upstream: otherwise its own links are broken.

use crate::engine::UpstreamError;
use crate::generated::events::Event;
use crate::generation::is_group_ready;
use crate::ids::ServiceId;
use crate::replica::Replica;
use crate::request::Request;
use crate::request_path::RequestPath;
use rand::seq::IteratorRandom;
use rand::seq::SliceRandom;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

/// Interval between two probes of a silent upstream, and the timeout of each.
const PROBE_PERIOD: Duration = Duration::from_millis(500);
/// Silence after which an upstream counts as crashed.
const MAX_SILENCE: Duration = Duration::from_secs(10);
/// Number of services with an upstream that an unreachable one is compared with, and the time that these get to
/// respond.
const COMPARED: usize = 4;
const COMPARISON_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum number of requests that wait for the result of a check.
const MAX_REQUESTS: usize = 4096;

/// Kind of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamType {
    /// Head of a group of engines.
    Engine,
    /// Instance of a plain service.
    Plain,
}

/// Result of a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Liveness {
    /// It serves.
    Serving,
    /// It does not serve any more: its process ended, or it is not in the group.
    Ended,
    /// It did not respond; it may have crashed or be paused.
    Silent,
}

/// A request that was running at an upstream that may have crashed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunningRequest {
    id: String,
    fingerprint: u64,
    /// Key of the prefix of its prompt.
    prefix: Option<u64>,
}

impl RunningRequest {
    /// Returns what is kept of a request.
    pub fn new(upstream_type: UpstreamType, req: &Request) -> Self {
        let prefix = match upstream_type {
            UpstreamType::Engine => req.prefix_key(),
            UpstreamType::Plain => None,
        };
        Self { id: req.id.clone(), fingerprint: req.fingerprint, prefix }
    }
}

/// Cloneable list of the requests that were running at silent upstreams, by the id of the possible crash.
#[derive(Debug, Clone, Default)]
pub struct SilentUpstreams {
    inner: Arc<Mutex<HashMap<u64, Vec<RunningRequest>>>>,
}

impl SilentUpstreams {
    /// Creates an empty list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a request; returns true if the upstream was not in the list.
    fn add(&self, crash: u64, running: RunningRequest) -> bool {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        let is_new = !inner.contains_key(&crash);
        if inner.values().map(Vec::len).sum::<usize>() < MAX_REQUESTS {
            inner.entry(crash).or_default().push(running);
        }
        is_new && inner.contains_key(&crash)
    }

    fn remove(&self, crash: u64) -> Vec<RunningRequest> {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        inner.remove(&crash).unwrap_or_default()
    }
}

/// Asks an upstream for its state on a new connection.
pub async fn probe(
    path: &RequestPath,
    upstream_type: UpstreamType,
    replica: &Replica,
    bound: Duration,
) -> Liveness {
    let address = &replica.identity.address;
    let probing = async {
        match upstream_type {
            UpstreamType::Engine => {
                let status = path.engine().status(address).await?;
                replica.record_load(&status.load, Instant::now());
                Ok(is_group_ready(&status, replica))
            }
            UpstreamType::Plain => path.plain().takes_work(address).await.map(|_| true),
        }
    };
    match timeout(bound, probing).await {
        Ok(Ok(true)) => Liveness::Serving,
        Ok(Ok(false)) => Liveness::Ended,
        Ok(Err(UpstreamError::Unreachable { .. })) => match reaches_another(path, replica).await {
            true => Liveness::Ended,
            false => Liveness::Silent,
        },
        Ok(Err(_)) | Err(_) => Liveness::Silent,
    }
}

/// Returns a random upstream of each of a few services, without the suspect. All upstreams of one service may be
/// lost together.
fn sample_others(path: &RequestPath, suspect: &Replica) -> Vec<Arc<Replica>> {
    let mut rng = rand::rng();
    let mut services = path.routes().services();
    services.shuffle(&mut rng);
    let other_of = |service: &ServiceId| {
        let replicas = path.routes().replicas(service);
        let others = replicas.iter().filter(|r| r.identity.address != suspect.identity.address);
        others.choose(&mut rng).cloned()
    };
    services.iter().filter_map(other_of).take(COMPARED).collect()
}

/// Returns whether one of a few other upstreams responds to this node, or there is none to compare with.
async fn reaches_another(path: &RequestPath, suspect: &Replica) -> bool {
    let others = sample_others(path, suspect);
    let is_alone = others.is_empty();
    let mut probes = JoinSet::new();
    for replica in others {
        let path = path.clone();
        probes.spawn(async move {
            let address = &replica.identity.address;
            let probing = async {
                match replica.identity.epoch {
                    0 => path.plain().takes_work(address).await.map(|_| ()),
                    _ => path.engine().status(address).await.map(|_| ()),
                }
            };
            let reached = timeout(COMPARISON_TIMEOUT, probing).await;
            reached.is_ok_and(|reached| !matches!(reached, Err(UpstreamError::Unreachable { .. })))
        });
    }
    while let Some(reached) = probes.join_next().await {
        if matches!(reached, Ok(true)) {
            return true;
        }
    }
    is_alone
}

/// Records a crash under a request, and returns the number of crashes known for it.
pub fn record_crash(path: &RequestPath, replica: &Replica, running: &RunningRequest) -> usize {
    let RunningRequest { id, fingerprint, prefix } = running;
    let crashes = path.suspects().record_crash(*fingerprint, replica.crash_id());
    if let Some(prefix) = prefix {
        path.suspects().record_crash(*prefix, replica.crash_id());
    }
    path.cx().record(Event::RequestSuspected {
        request: id.clone(),
        fingerprint: format!("{fingerprint:016x}"),
        group: replica.identity.group.clone(),
        crashes: crashes as u64,
    });
    crashes
}

/// Checks a silent upstream until it is known whether it crashed, and then records the crash under all
/// requests that were running there.
pub fn watch(
    path: &RequestPath,
    upstream_type: UpstreamType,
    replica: &Arc<Replica>,
    req: &Request,
) {
    if !path.silent_upstreams().add(replica.crash_id(), RunningRequest::new(upstream_type, req)) {
        return;
    }
    let (path, replica) = (path.clone(), replica.clone());
    tokio::spawn(async move {
        let has_crashed = has_crashed(&path, upstream_type, &replica).await;
        let requests = path.silent_upstreams().remove(replica.crash_id());
        if has_crashed {
            for running in &requests {
                record_crash(&path, &replica, running);
            }
        }
    });
}

async fn has_crashed(path: &RequestPath, upstream_type: UpstreamType, replica: &Replica) -> bool {
    let end = Instant::now() + MAX_SILENCE;
    while Instant::now() < end {
        match probe(path, upstream_type, replica, PROBE_PERIOD).await {
            Liveness::Serving => return false,
            Liveness::Ended => return true,
            Liveness::Silent => sleep(PROBE_PERIOD).await,
        }
    }
    reaches_another(path, replica).await
}
