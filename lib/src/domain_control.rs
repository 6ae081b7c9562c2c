//! Distributes the ownership of fabric domains over the live nodes and runs an owner task for each
//! domain that this node owns.

use crate::cx::Cx;
use crate::domain_lease::LeaseObserver;
use crate::domain_owner::DomainOwner;
use crate::domain_owner::OwnerContext;
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

/// Interval at which the node checks which domains it should own.
const CHECK_PERIOD: Duration = Duration::from_secs(1);
/// Time for which another node must have been the first candidate before a domain is released.
const RELEASE_AFTER: Duration = Duration::from_secs(5);
/// Number of top-ranked nodes that try to acquire a domain, each waiting longer than the one
/// before.
const MAX_CANDIDATES: usize = 3;
/// Delay before the node tries again to acquire a domain that it released or lost.
const RETRY_DELAY: Duration = Duration::from_secs(15);

/// Starts the task that acquires domains; after `shutdown` it ends once every owner has released
/// its domain.
pub fn start(
    cx: Cx,
    store: StoreClient,
    engine: Arc<dyn Engine>,
    shutdown: CancellationToken,
) -> JoinHandle<()> {
    let records = DomainRecords::new(cx.view.clone());
    let shared = Arc::new(OwnerContext { cx, store, engine, records });
    let control = DomainControl {
        shared,
        observer: LeaseObserver::new(),
        owners: BTreeMap::new(),
        ended_at: BTreeMap::new(),
    };
    tokio::spawn(control.run(shutdown))
}

struct DomainControl {
    shared: Arc<OwnerContext>,
    observer: LeaseObserver,
    owners: BTreeMap<DomainId, RunningOwner>,
    ended_at: BTreeMap<DomainId, Duration>,
}

struct RunningOwner {
    handle: JoinHandle<()>,
    stop: CancellationToken,
    /// Time since which this node has not been the first candidate for the domain.
    displaced_since: Option<Duration>,
}

impl DomainControl {
    async fn run(mut self, shutdown: CancellationToken) {
        let mut ticks = self.shared.cx.timers.subscribe(Duration::ZERO, CHECK_PERIOD).await;
        loop {
            tokio::select! {
                tick = ticks.next() => match tick {
                    Some(_) => self.check_domains(),
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

    fn check_domains(&mut self) {
        let now = self.shared.cx.clock.now();
        self.remove_ended_owners(now);
        // The duration of a lease is part of the configuration.
        if self.shared.cx.config.get().is_none() {
            return;
        }
        let locations = self.locations();
        self.observer.retain(|domain| locations.contains_key(domain));
        for (domain, location) in locations {
            let known = self.shared.records.get(&domain);
            let version = known.as_ref().map_or(0, |known| known.version);
            self.observer.observe(&domain, version, now);
            let Some(rank) = self.rank(&domain, &location) else { continue };
            if self.owners.contains_key(&domain) {
                self.check_displaced(&domain, rank, now);
                continue;
            }
            if self.ended_at.get(&domain).is_some_and(|at| now < *at + RETRY_DELAY) {
                continue;
            }
            let record = known.as_ref().map(|known| known.record.as_ref());
            if self.observer.may_acquire(&domain, record, rank, now) {
                let reason = match record.map(|record| record.owner.as_str()) {
                    None => "the domain had no owner",
                    Some("") => "the previous owner released it",
                    Some(_) => "the lease of the previous owner expired",
                };
                self.spawn_owner(domain, location, reason);
            }
        }
    }

    /// Removes owners whose task has ended and records when each ended.
    fn remove_ended_owners(&mut self, now: Duration) {
        let ended: Vec<DomainId> = self
            .owners
            .iter()
            .filter(|(_, owner)| owner.handle.is_finished())
            .map(|(domain, _)| domain.clone())
            .collect();
        for domain in ended {
            self.owners.remove(&domain);
            self.ended_at.insert(domain, now);
        }
        self.ended_at.retain(|_, at| now < *at + RETRY_DELAY);
    }

    /// Returns the location of each domain in the instance list.
    fn locations(&self) -> BTreeMap<DomainId, DomainLocation> {
        let instances = self.shared.cx.instances.get();
        let location = |infos: &[&crate::generated::platform::InstanceInfo]| DomainLocation {
            data_centre: infos.first().map(|i| i.data_centre.clone()).unwrap_or_default(),
            region: infos.first().map(|i| i.region.clone()).unwrap_or_default(),
        };
        let domains = engines_by_domain(&instances).into_iter();
        domains.map(|(domain, infos)| (domain, location(&infos))).collect()
    }

    /// Returns this node's rank among the candidates, 0 for the first, or `None` if it is not one
    /// of them. If no usable nodes are known, this node ranks first.
    fn rank(&self, domain: &str, location: &DomainLocation) -> Option<u32> {
        let nodes = self.shared.cx.members.usable();
        if nodes.is_empty() {
            return Some(0);
        }
        let own = self.shared.cx.node();
        let ranked = candidates(domain, location, &nodes);
        let rank = ranked.iter().position(|node| node == own);
        rank.filter(|rank| *rank < MAX_CANDIDATES).map(|rank| rank as u32)
    }

    fn check_displaced(&mut self, domain: &str, rank: u32, now: Duration) {
        let Some(owner) = self.owners.get_mut(domain) else { return };
        if rank == 0 {
            owner.displaced_since = None;
            return;
        }
        let since = *owner.displaced_since.get_or_insert(now);
        if now.saturating_sub(since) >= RELEASE_AFTER {
            owner.stop.cancel();
        }
    }

    fn spawn_owner(&mut self, domain: DomainId, location: DomainLocation, reason: &'static str) {
        let stop = CancellationToken::new();
        let shared = self.shared.clone();
        let task = run_owner(shared, domain.clone(), location, reason, stop.clone());
        let handle = tokio::spawn(task);
        self.owners.insert(domain, RunningOwner { handle, stop, displaced_since: None });
    }
}

async fn run_owner(
    shared: Arc<OwnerContext>,
    domain: DomainId,
    location: DomainLocation,
    reason: &'static str,
    stop: CancellationToken,
) {
    if let Some(owner) = DomainOwner::acquire(shared, &domain, &location, reason).await {
        owner.run(stop).await;
    }
}
