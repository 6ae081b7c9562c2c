//! Whether this node reaches instances at all.
//!
//! A refused, reset or silent connection looks the same whether an instance has ended or the links of this node
//! are broken, for example by a partition from all instances that leaves callers, the store and the other nodes
//! reachable. So such evidence counts against an instance only if this node establishes connections to others at
//! the same time.
//!
//! If it establishes none, all instances may have ended, for example since a request crashes each of them that is
//! back. Their machines refuse connections then, while links that lose packets are silent. But links may refuse
//! connections too, so whether an instance has ended is left to the list of instances, which does not depend on
//! the links of this node: see `failed_attempts`.

use crate::connection::ConnectError;
use crate::connection::Connection;
use crate::instance::Instance;
use crate::serving_cx::ServingCx;
use guavaladder_lib::generated::events::Event;
use rand::seq::SliceRandom;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;

/// Time for which an established connection shows that the links work.
const EVIDENCE_AGE: Duration = Duration::from_millis(50);
/// Time within which a live instance accepts a connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(110);
/// Maximum scheduling delay of this process, beyond which its timeouts are no evidence.
const MAX_SCHEDULING_DELAY: Duration = Duration::from_millis(60);
/// Number of instances that are probed at once, and its maximum where there are many data centres.
const PROBES: usize = 4;
const MAX_PROBES: usize = 10;
/// Number of other instances from which it is certain that the links are broken if none of them answers. The machine
/// of a single one may have failed too.
const CERTAIN_PROBES: usize = 2;
/// Interval between the probes of a node that reaches no instance.
const PROBE_PERIOD: Duration = Duration::from_millis(100);

/// State of the links from this node to the instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Links {
    /// A connection to an instance was established, or there is nothing to compare with.
    Working,
    /// None of several instances could be reached.
    Broken,
    /// This process was delayed, so that its timeouts show nothing.
    Unknown,
}

/// Result of probing several instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ProbeResult {
    /// One of them accepted a connection.
    Connected,
    /// None of them did, and this many refused it.
    Unreachable { refused: usize },
    /// This process was delayed, so that its timeouts show nothing.
    Delayed,
}

impl ProbeResult {
    fn links(self) -> Links {
        match self {
            Self::Connected => Links::Working,
            Self::Unreachable { .. } => Links::Broken,
            Self::Delayed => Links::Unknown,
        }
    }

    /// Returns the value of the metrics label for this result.
    fn name(self) -> &'static str {
        match self {
            Self::Connected => "working",
            Self::Unreachable { refused: 0 } => "broken",
            Self::Unreachable { .. } => "refused",
            Self::Delayed => "delayed",
        }
    }
}

/// Shared knowledge about the links to the instances.
#[derive(Debug, Clone)]
pub struct InstanceReach {
    state: Arc<Mutex<State>>,
    /// Lets one check run at a time, whose result the others use.
    checking: Arc<tokio::sync::Mutex<()>>,
    is_cut: watch::Sender<bool>,
}

#[derive(Debug, Default)]
struct State {
    /// When a connection to an instance was last established.
    connected_at: Option<Instant>,
    /// Start and result of the last check.
    checked: Option<(Instant, Links)>,
    /// Number of times that this node began to reach no instance.
    cuts: u64,
    /// Whether the links were broken at the last one, rather than all instances down.
    has_broken_links: bool,
}

impl Default for InstanceReach {
    fn default() -> Self {
        Self::new()
    }
}

impl InstanceReach {
    /// Returns the state of a node that has not connected to an instance yet.
    pub fn new() -> Self {
        let is_cut = watch::channel(false).0;
        Self { state: Arc::default(), checking: Arc::default(), is_cut }
    }

    /// Returns whether this node reaches no instance.
    pub fn is_cut(&self) -> bool {
        *self.is_cut.borrow()
    }

    /// Waits until this node reaches no instance.
    pub async fn wait_until_cut(&self) {
        let mut is_cut = self.is_cut.subscribe();
        if is_cut.wait_for(|is_cut| *is_cut).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Waits until this node reaches instances.
    pub async fn wait_until_reached(&self) {
        let mut is_cut = self.is_cut.subscribe();
        if is_cut.wait_for(|is_cut| !is_cut).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Records that a connection to an instance was established.
    pub fn record_connected(&self) {
        self.lock().connected_at = Some(Instant::now());
        self.is_cut.send_if_modified(|is_cut| std::mem::replace(is_cut, false));
    }

    /// Returns when a connection to an instance was last established.
    pub fn connected_at(&self) -> Option<Instant> {
        self.lock().connected_at
    }

    /// Returns whether this node reaches no instance since its links are broken, so that attempts which fail say
    /// nothing about their replicas.
    pub fn has_broken_links(&self) -> bool {
        self.is_cut() && self.lock().has_broken_links
    }

    /// Returns whether this node still reaches no instance since the cut with a number.
    fn is_in_cut(&self, number: u64) -> bool {
        self.is_cut() && self.lock().cuts == number
    }

    /// Returns what is known without a check about the links since a moment.
    fn known(&self, since: Instant) -> Option<Links> {
        let state = self.lock();
        if state.connected_at.is_some_and(|at| at >= since) {
            return Some(Links::Working);
        }
        if self.is_cut() {
            return Some(Links::Broken);
        }
        state.checked.filter(|(at, _)| *at >= since).map(|(_, links)| links)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns whether the failure of a connection that began at `since` counts against the instances at these
/// addresses: the links of this node work.
pub async fn counts_against(cx: &ServingCx, suspects: &[SocketAddr], since: Instant) -> bool {
    check(cx, suspects, since).await == Links::Working
}

/// Checks the links of this node after a connection to one of the `suspects` failed that began at `since`.
pub async fn check(cx: &ServingCx, suspects: &[SocketAddr], since: Instant) -> Links {
    // What worked before a timeout began may have broken meanwhile.
    let recent = Instant::now().checked_sub(EVIDENCE_AGE).unwrap_or(since);
    let since = since.max(recent);
    if let Some(links) = cx.reach.known(since) {
        return links;
    }
    let _checking = cx.reach.checking.lock().await;
    if let Some(links) = cx.reach.known(since) {
        return links;
    }
    let started = Instant::now();
    let addresses = others(cx, suspects);
    let links = match addresses.len() {
        0 => Links::Working,
        probed => {
            let result = probe(cx, &addresses).await;
            if let ProbeResult::Unreachable { refused } = result {
                record_cut(cx, probed, refused);
            }
            result.links()
        }
    };
    cx.reach.lock().checked = Some((started, links));
    links
}

/// Records that this node reaches no instance, and probes some of them until it does.
fn record_cut(cx: &ServingCx, probed: usize, refused: usize) {
    if cx.reach.is_cut.send_replace(true) {
        return;
    }
    // Where an instance refuses the connection, its machine answers: all instances may have ended together, and the
    // list of instances tells.
    let has_broken_links = probed >= CERTAIN_PROBES && refused == 0;
    let number = {
        let mut state = cx.reach.lock();
        state.cuts += 1;
        state.has_broken_links = has_broken_links;
        state.cuts
    };
    let (now, connected_at) = (Instant::now(), cx.reach.connected_at());
    let silent_for = connected_at.map_or(Duration::ZERO, |at| now - at);
    let forgotten = match has_broken_links {
        true => cx.failed_attempts.forget_since(connected_at),
        false => 0,
    };
    cx.log.record(Event::InstancesUnreachable {
        node: cx.node().to_string(),
        probed: probed as u64,
        refused: refused as u64,
        silent_for,
        forgotten: forgotten as u64,
    });
    let cx = cx.clone();
    tokio::spawn(async move {
        while cx.reach.is_in_cut(number) {
            sleep(PROBE_PERIOD).await;
            probe(&cx, &others(&cx, &[])).await;
        }
        let node = cx.node().to_string();
        let unreachable_for = now.elapsed();
        cx.log.record(Event::InstancesReached { node, unreachable_for });
    });
}

/// Returns the addresses of a few random instances without the suspects. All instances of a service or data
/// centre may be lost together, so they are of as many services as possible, then of as many data centres.
pub fn sample<'a>(
    instances: impl Iterator<Item = &'a Instance>,
    suspects: &[SocketAddr],
) -> Vec<SocketAddr> {
    let mut others: Vec<&Instance> = instances.filter(|i| !suspects.contains(&i.address)).collect();
    others.shuffle(&mut rand::rng());
    let (mut services, mut data_centres) = (HashSet::new(), HashSet::new());
    let (mut sampled, others): (Vec<&Instance>, Vec<&Instance>) =
        others.into_iter().partition(|instance| services.insert(&instance.service));
    sampled.truncate(PROBES);
    data_centres.extend(sampled.iter().map(|instance| &instance.data_centre));
    let (of_others, rest): (Vec<&Instance>, Vec<&Instance>) =
        others.into_iter().partition(|instance| data_centres.insert(&instance.data_centre));
    sampled.extend(of_others);
    sampled.truncate(MAX_PROBES);
    let missing = PROBES.saturating_sub(sampled.len());
    sampled.extend(rest.into_iter().take(missing));
    sampled.into_iter().map(|instance| instance.address).collect()
}

/// Returns the addresses of instances to compare with the suspects.
fn others(cx: &ServingCx, suspects: &[SocketAddr]) -> Vec<SocketAddr> {
    sample(cx.fleet.instances().values(), suspects)
}

/// Connects to instances until one accepts.
async fn probe(cx: &ServingCx, addresses: &[SocketAddr]) -> ProbeResult {
    let result = connect_to_any(cx, addresses).await;
    cx.metrics.link_check(result.name());
    result
}

async fn connect_to_any(cx: &ServingCx, addresses: &[SocketAddr]) -> ProbeResult {
    let started = Instant::now();
    let mut connections = JoinSet::new();
    for address in addresses {
        let (cx, address) = (cx.clone(), *address);
        connections
            .spawn(async move { Connection::open(&cx.network, address, PROBE_TIMEOUT).await });
    }
    let mut refused = 0;
    while let Some(opened) = connections.join_next().await {
        match opened {
            Ok(Ok(_)) => {
                cx.reach.record_connected();
                return ProbeResult::Connected;
            }
            Ok(Err(ConnectError::Refused)) => refused += 1,
            Ok(Err(_)) | Err(_) => {}
        }
    }
    match started.elapsed() > PROBE_TIMEOUT + MAX_SCHEDULING_DELAY {
        true => ProbeResult::Delayed,
        false => ProbeResult::Unreachable { refused },
    }
}
