//! Spreads the ownership of fabric domains over the live nodes and runs an owner for each domain
//! that this node holds.

use crate::cx::Cx;
use crate::domain_lease::LeaseObserver;
use crate::domain_owner::ControlShared;
use crate::domain_owner::DomainOwner;
use crate::domain_records::DomainRecords;
use crate::domain_targets::engines_by_domain;
use crate::engine::Engine;
use crate::ids::DomainId;
use crate::placement::DomainLocation;
use crate::placement::candidates;
use crate::store_client::StoreClient;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

/// Period at which the node looks for domains that it should own.
const LOOK_PERIOD: Duration = Duration::from_secs(1);
/// Time for which another node must have been the first candidate before a domain is handed back.
const HAND_BACK_AFTER: Duration = Duration::from_secs(5);
/// Candidates that try to take a domain when those before them do not.
const CANDIDATES: usize = 3;
/// Pause before a domain that this node gave up or lost is tried again.
const RETRY_PAUSE: Duration = Duration::from_secs(15);

/// Starts owning domains; ends after `shutdown` when every domain was handed back.
pub fn start(
    cx: Cx,
    store: StoreClient,
    engine: Arc<dyn Engine>,
    shutdown: CancellationToken,
) -> JoinHandle<()> {
    let records = DomainRecords::new(cx.view.clone());
    let shared = Arc::new(ControlShared { cx, store, engine, records });
    let control = DomainControl {
        shared,
        observer: LeaseObserver::new(),
        owners: BTreeMap::new(),
        given_up: BTreeMap::new(),
    };
    tokio::spawn(control.run(shutdown))
}

struct DomainControl {
    shared: Arc<ControlShared>,
    observer: LeaseObserver,
    owners: BTreeMap<DomainId, RunningOwner>,
    given_up: BTreeMap<DomainId, Duration>,
}

struct RunningOwner {
    handle: JoinHandle<()>,
    stop: CancellationToken,
    /// Time since which another node should own the domain.
    displaced_since: Option<Duration>,
}

impl DomainControl {
    async fn run(mut self, shutdown: CancellationToken) {
        let mut ticks = self.shared.cx.timers.subscribe(Duration::ZERO, LOOK_PERIOD).await;
        loop {
            tokio::select! {
                tick = ticks.next() => match tick {
                    Some(_) => self.look(),
                    None => break,
                },
                () = shutdown.cancelled() => break,
            }
        }
        for owner in self.owners.values() {
            owner.stop.cancel();
        }
        for owner in self.owners.into_values() {
            let _ = owner.handle.await;
        }
    }

    fn look(&mut self) {
        let now = self.shared.cx.clock.now();
        self.reap(now);
        // Without a configuration nothing says how long a lease is.
        if self.shared.cx.config.get().is_none() {
            return;
        }
        let places = self.places();
        self.observer.retain(|domain| places.contains_key(domain));
        for (domain, place) in places {
            let known = self.shared.records.get(&domain);
            let version = known.as_ref().map_or(0, |known| known.version);
            self.observer.note(&domain, version, now);
            let Some(rank) = self.rank(&domain, &place) else { continue };
            if self.owners.contains_key(&domain) {
                self.check_displaced(&domain, rank, now);
                continue;
            }
            if self.given_up.get(&domain).is_some_and(|at| now < *at + RETRY_PAUSE) {
                continue;
            }
            let record = known.as_ref().map(|known| known.record.as_ref());
            if self.observer.may_take(&domain, record, rank, now) {
                let reason = match record.map(|record| record.owner.as_str()) {
                    None => "it had no owner yet",
                    Some("") => "it was handed back",
                    Some(_) => "the lease lapsed",
                };
                self.spawn_owner(domain, place, reason);
            }
        }
    }

    /// Forgets owners that have ended.
    fn reap(&mut self, now: Duration) {
        let ended: Vec<DomainId> = self
            .owners
            .iter()
            .filter(|(_, owner)| owner.handle.is_finished())
            .map(|(domain, _)| domain.clone())
            .collect();
        for domain in ended {
            self.owners.remove(&domain);
            self.given_up.insert(domain, now);
        }
        self.given_up.retain(|_, at| now < *at + RETRY_PAUSE);
    }

    /// Returns the listed domains with their places.
    fn places(&self) -> BTreeMap<DomainId, DomainLocation> {
        let instances = self.shared.cx.instances.get();
        let place = |infos: &[&crate::generated::platform::InstanceInfo]| DomainLocation {
            data_centre: infos.first().map(|i| i.data_centre.clone()).unwrap_or_default(),
            region: infos.first().map(|i| i.region.clone()).unwrap_or_default(),
        };
        let domains = engines_by_domain(&instances).into_iter();
        domains.map(|(domain, infos)| (domain, place(&infos))).collect()
    }

    /// Returns this node's place among the candidates; a node alone is always the first.
    fn rank(&self, domain: &str, place: &DomainLocation) -> Option<u32> {
        let nodes = self.shared.cx.members.usable();
        if nodes.is_empty() {
            return Some(0);
        }
        let own = self.shared.cx.node();
        let ranked = candidates(domain, place, &nodes);
        let rank = ranked.iter().position(|node| node == own);
        rank.filter(|rank| *rank < CANDIDATES).map(|rank| rank as u32)
    }

    fn check_displaced(&mut self, domain: &str, rank: u32, now: Duration) {
        let Some(owner) = self.owners.get_mut(domain) else { return };
        if rank == 0 {
            owner.displaced_since = None;
            return;
        }
        let since = *owner.displaced_since.get_or_insert(now);
        if now.saturating_sub(since) >= HAND_BACK_AFTER {
            owner.stop.cancel();
        }
    }

    fn spawn_owner(&mut self, domain: DomainId, place: DomainLocation, reason: &'static str) {
        let stop = CancellationToken::new();
        let shared = self.shared.clone();
        let task = own(shared, domain.clone(), place, reason, stop.clone());
        let handle = tokio::spawn(task);
        self.owners.insert(domain, RunningOwner { handle, stop, displaced_since: None });
    }
}

async fn own(
    shared: Arc<ControlShared>,
    domain: DomainId,
    place: DomainLocation,
    reason: &'static str,
    stop: CancellationToken,
) {
    if let Some(owner) = DomainOwner::take(shared, &domain, &place, reason).await {
        owner.run(stop).await;
    }
}
