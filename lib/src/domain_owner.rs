//! The owner of one fabric domain: renews its lease, polls its instances, plans its groups, stores
//! the plan and sends the orders that result from it.

use crate::cx::Cx;
use crate::domain_lease::HeldLease;
use crate::domain_records::DomainRecords;
use crate::domain_records::domain_key;
use crate::engine::Engine;
use crate::generated::events::Event;
use crate::generated::groups::DomainRecord;
use crate::generated::groups::GroupRecord;
use crate::generated::groups::GroupState;
use crate::generated::platform::PutObject;
use crate::generated::platform::PutOutcome;
use crate::ids::DomainId;
use crate::ids::GroupId;
use crate::ids::InstanceId;
use crate::ids::ObjectVersion;
use crate::ids::ServiceId;
use crate::member_history::MemberHistory;
use crate::object_view::ViewedObject;
use crate::order_sender::OrderAuthority;
use crate::order_sender::OrderSender;
use crate::placement::DomainLocation;
use crate::store_client::CallClass;
use crate::store_client::StoreClient;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// Interval between the owner's steps.
const STEP_PERIOD: Duration = Duration::from_secs(1);

/// Time for which the end of a group's serving state is kept in `stopped_serving`.
const STOPPED_RETENTION: Duration = Duration::from_secs(60);

/// Dependencies shared by all domain owners of a node.
pub struct OwnerContext {
    /// Context of the node.
    pub cx: Cx,
    /// Client of the platform's store.
    pub store: StoreClient,
    /// Connection to the engine instances.
    pub engine: Arc<dyn Engine>,
    /// Parsed records of all domains.
    pub records: DomainRecords,
}

/// Owner of one fabric domain, from acquiring it until it is released or lost.
pub struct DomainOwner {
    pub(crate) shared: Arc<OwnerContext>,
    pub(crate) domain: DomainId,
    pub(crate) authority: OrderAuthority,
    pub(crate) record: DomainRecord,
    pub(crate) history: MemberHistory,
    pub(crate) sender: OrderSender,
    pub(crate) next_group: u64,
    pub(crate) draining_since: BTreeMap<GroupId, Duration>,
    pub(crate) shortages: BTreeMap<ServiceId, usize>,
    pub(crate) next_poll: Duration,
    pub(crate) owned_since: Duration,
    /// Groups that the stored record lists as serving.
    pub(crate) stored_serving: BTreeSet<GroupId>,
    /// Time at which the stored record stopped listing a group as serving.
    pub(crate) stopped_serving: BTreeMap<GroupId, Duration>,
    pub(crate) unreachable_since: Option<Duration>,
    /// Whether the previous owner recorded every member as unavailable before this node acquired
    /// the domain.
    pub(crate) was_found_unreachable: bool,
    /// Whether the record in memory has changes that are not stored.
    pub(crate) is_unsaved: bool,
    is_lost: bool,
}

/// Outcome of writing the record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WriteOutcome {
    /// The record is stored.
    Written,
    /// The write failed or its result is unknown; the record may or may not be stored.
    Unknown,
    /// Another node owns the domain.
    Lost,
}

impl DomainOwner {
    /// Tries to become the owner of a domain. Returns `None` if another node changed the record
    /// first or the write failed.
    pub async fn acquire(
        shared: Arc<OwnerContext>,
        domain: &str,
        location: &DomainLocation,
        reason: &str,
    ) -> Option<Self> {
        let known = shared.records.get(domain);
        let version = known.as_ref().map_or(0, |known| known.version);
        let previous = known.map(|known| (*known.record).clone());
        let lease = shared.cx.config.get()?.config.defaults.lease;
        let from = previous.as_ref().map(|record| record.owner.clone()).unwrap_or_default();
        let record = new_record(&shared.cx, domain, location, previous, lease);
        let started_at = shared.cx.clock.now();
        let version = match store_record(&shared, &record, version).await {
            Ok(PutOutcome::Written(version)) => version,
            Ok(PutOutcome::Conflict(_)) => {
                read_record(&shared, domain).await;
                return None;
            }
            Err(_) => return None,
        };
        shared.cx.record(Event::DomainTaken {
            domain: domain.to_string(),
            node: shared.cx.node().to_string(),
            epoch: record.epoch,
            from: from.clone(),
            reason: reason.to_string(),
        });
        let unfenced_from = match from.is_empty() {
            true => Duration::ZERO,
            false => shared.cx.clock.now() + max_unfenced_order_timeout(&shared.cx),
        };
        let owned_since = shared.cx.clock.now();
        let stored_serving = serving_groups(&record);
        let lease = HeldLease::new(version, started_at, lease);
        let authority = OrderAuthority { epoch: record.epoch, lease, unfenced_from };
        let sender = OrderSender::new(shared.cx.clone(), shared.engine.clone(), domain);
        Some(Self {
            was_found_unreachable: is_recorded_unreachable(&record),
            shared,
            domain: domain.to_string(),
            authority,
            record,
            history: MemberHistory::new(),
            sender,
            next_group: 1,
            draining_since: BTreeMap::new(),
            shortages: BTreeMap::new(),
            next_poll: Duration::ZERO,
            owned_since,
            stored_serving,
            stopped_serving: BTreeMap::new(),
            unreachable_since: None,
            is_unsaved: false,
            is_lost: false,
        })
    }

    /// Runs the owner until it loses the domain or `stop` asks it to release the domain.
    pub async fn run(mut self, stop: CancellationToken) {
        let mut ticks = self.shared.cx.timers.subscribe(Duration::ZERO, STEP_PERIOD).await;
        let mut instances = self.shared.cx.instances.subscribe();
        while !self.is_lost {
            tokio::select! {
                // A leaving instance must stop accepting work within seconds, so a change of the
                // list is handled at once. The context keeps the sender alive, so `changed`
                // does not fail.
                Ok(()) = instances.changed() => {
                    self.next_poll = Duration::ZERO;
                    self.step().await;
                }
                tick = ticks.next() => match tick {
                    Some(_) => self.step().await,
                    None => return,
                },
                () = stop.cancelled() => return self.release("it moves to another node").await,
            }
        }
    }

    /// Releases the domain by clearing the owner in its record. No order is in flight, since each
    /// step waits for the orders that it sent.
    pub(crate) async fn release(&mut self, reason: &str) {
        let groups = self.record.groups.clone();
        let unavailable = self.record.unavailable.clone();
        let owner = std::mem::take(&mut self.record.owner);
        let written = self.write(groups, unavailable).await;
        self.record.owner = owner;
        self.is_lost = true;
        if written == WriteOutcome::Written {
            self.shared.cx.record(Event::DomainHandedBack {
                domain: self.domain.clone(),
                node: self.shared.cx.node().to_string(),
                epoch: self.record.epoch,
                reason: reason.to_string(),
            });
        }
    }

    /// Writes the record, which also renews the lease.
    pub(crate) async fn write(
        &mut self,
        groups: Vec<GroupRecord>,
        unavailable: Vec<InstanceId>,
    ) -> WriteOutcome {
        let renewals = self.record.renewals + 1;
        self.record.renewals = renewals;
        let write_id = write_id(&self.shared.cx, renewals);
        let next = DomainRecord { renewals, write_id, groups, unavailable, ..self.record.clone() };
        let started_at = self.shared.cx.clock.now();
        let version = self.authority.lease.version;
        match store_record(&self.shared, &next, version).await {
            Ok(PutOutcome::Written(version)) => {
                self.authority.lease = HeldLease::new(version, started_at, next.lease);
                self.record = next;
                self.is_unsaved = false;
                self.update_stored_serving();
                WriteOutcome::Written
            }
            Ok(PutOutcome::Conflict(_)) => self.read_after_conflict().await,
            Err(_) => WriteOutcome::Unknown,
        }
    }

    /// Updates which groups the stored record lists as serving and when others stopped.
    fn update_stored_serving(&mut self) {
        let now = self.shared.cx.clock.now();
        let serving = serving_groups(&self.record);
        let previous = std::mem::replace(&mut self.stored_serving, serving);
        self.stopped_serving.retain(|_, at| now < *at + STOPPED_RETENTION);
        for group in previous {
            if !self.stored_serving.contains(&group) {
                self.stopped_serving.insert(group, now);
            }
        }
    }

    /// Reads the record after a conflict, which may be with a write of this owner that took effect
    /// late.
    async fn read_after_conflict(&mut self) -> WriteOutcome {
        let Some((version, stored)) = read_record(&self.shared, &self.domain).await else {
            return WriteOutcome::Unknown;
        };
        let is_own = stored.owner == self.shared.cx.node() && stored.epoch == self.authority.epoch;
        if is_own {
            self.authority.lease.version = version;
            self.record.groups = stored.groups;
            self.record.renewals = self.record.renewals.max(stored.renewals);
            return WriteOutcome::Unknown;
        }
        self.lose(&format!("{} acquired the domain with epoch {}", stored.owner, stored.epoch));
        WriteOutcome::Lost
    }

    /// Ends the ownership without writing the record, since it belongs to another owner now.
    pub(crate) fn lose(&mut self, reason: &str) {
        self.is_lost = true;
        self.shared.cx.record(Event::DomainLost {
            domain: self.domain.clone(),
            node: self.shared.cx.node().to_string(),
            epoch: self.authority.epoch,
            reason: reason.to_string(),
        });
    }
}

fn new_record(
    cx: &Cx,
    domain: &str,
    location: &DomainLocation,
    previous: Option<DomainRecord>,
    lease: Duration,
) -> DomainRecord {
    let epoch = previous.as_ref().map_or(0, |record| record.epoch) + 1;
    let renewals = previous.as_ref().map_or(0, |record| record.renewals) + 1;
    let (groups, unavailable) =
        previous.map(|record| (record.groups, record.unavailable)).unwrap_or_default();
    DomainRecord {
        domain: domain.to_string(),
        data_centre: location.data_centre.clone(),
        region: location.region.clone(),
        owner: cx.node().to_string(),
        epoch,
        lease,
        renewals,
        write_id: write_id(cx, renewals),
        groups,
        unavailable,
    }
}

fn serving_groups(record: &DomainRecord) -> BTreeSet<GroupId> {
    let serving = record.groups.iter().filter(|group| group.state == GroupState::Serving);
    serving.map(|group| group.group.clone()).collect()
}

/// Returns whether the record has groups and lists all their members as unavailable.
fn is_recorded_unreachable(record: &DomainRecord) -> bool {
    let mut members = record.groups.iter().flat_map(|group| &group.members);
    !record.groups.is_empty() && members.all(|m| record.unavailable.contains(&m.instance))
}

fn write_id(cx: &Cx, renewals: u64) -> String {
    format!("{}-{}-{renewals}", cx.node(), cx.incarnation)
}

/// Returns the longest time for which an order to an instance that does not check fencing numbers
/// may be in flight.
fn max_unfenced_order_timeout(cx: &Cx) -> Duration {
    let config = cx.config.get();
    let kinds = config.iter().flat_map(|record| record.config.upstream_kinds.values());
    let unfenced = kinds.filter(|kind| !kind.checks_fencing).map(|kind| kind.order_timeout);
    unfenced.max().unwrap_or_default().max(crate::domain_step::DEFAULT_ORDER_TIMEOUT)
}

/// Writes a record to the store and, if written, applies it to the local view.
async fn store_record(
    shared: &OwnerContext,
    record: &DomainRecord,
    if_version: ObjectVersion,
) -> Result<PutOutcome, crate::store_error::StoreError> {
    let key = domain_key(&record.domain);
    // Serialization cannot fail: the record consists of plain data with string keys.
    let value = serde_json::to_string(record).unwrap_or_default();
    let put = PutObject { key: key.clone(), if_version, value: value.clone() };
    let outcome = shared.store.put(CallClass::Control, put).await?;
    if let PutOutcome::Written(version) = outcome {
        let value = Some(Arc::from(value.as_str()));
        shared.cx.view.apply(ViewedObject { key, version, value });
    }
    Ok(outcome)
}

/// Reads a record from the store, applies it to the local view and returns it.
async fn read_record(shared: &OwnerContext, domain: &str) -> Option<(ObjectVersion, DomainRecord)> {
    let object = shared.store.get(CallClass::Control, &domain_key(domain)).await.ok()??;
    shared.cx.view.apply_stored(&object);
    let record = serde_json::from_str(&object.value).ok()?;
    Some((object.version, record))
}
