//! Acquires and renews the lease on the groups, which is one object in the store.
//!
//! The holder renews the lease by replacing the object. Another node acquires it when the holder has
//! released it, or when the object has not changed for the lease duration by that node's own clock.
//! The term increases with each holder and is the fencing token of its orders. A holder that reaches no
//! instance can't give orders, and releases the lease.

use crate::dialect::ObjectKind;
use crate::dialect::StoredObject;
use crate::serving_cx::ServingCx;
use crate::store::StoreError;
use guavaladder_lib::election;
use guavaladder_lib::generated::events::Event;
use guavaladder_lib::generated::serving_peer::NodePhase;
use serde_json::json;
use std::time::Duration;
use tokio::time::Instant;
use tokio::time::sleep;

/// Name of the lease's object in the store.
const LEASE_NAME: &str = "groups";
/// Time without a change of the object after which another node may acquire the lease.
const LEASE_DURATION: Duration = Duration::from_millis(2000);
/// Part of the lease duration that the holder does not use, to allow for clock drift and for orders in
/// flight.
const SAFETY_MARGIN: Duration = Duration::from_millis(500);
/// Interval between two renewals by the holder.
const RENEW_PERIOD: Duration = Duration::from_millis(500);
/// Delay before a failed renewal is retried.
const RENEW_RETRY: Duration = Duration::from_millis(100);
/// Time without a heartbeat of the holder after which another node reads the object.
const HOLDER_SILENCE: Duration = Duration::from_millis(600);
/// Interval at which a node that is not the holder reads the object while the holder is silent.
const POLL_PERIOD: Duration = Duration::from_millis(200);
/// Delay per node that ranks higher, before the object is first created.
const RANK_DELAY: Duration = Duration::from_millis(120);

/// Content of the lease's object.
#[derive(Debug, Clone, PartialEq, Eq)]
struct LeaseRecord {
    holder: String,
    incarnation: u64,
    term: u64,
    is_released: bool,
}

impl LeaseRecord {
    fn decode(object: &StoredObject) -> Option<Self> {
        let content = &object.content;
        Some(Self {
            holder: content["holder"].as_str()?.to_string(),
            incarnation: content["incarnation"].as_u64()?,
            term: content["term"].as_u64()?,
            is_released: content["released"].as_bool().unwrap_or(false),
        })
    }

    fn encode(&self, revision: u64, renewals: u64) -> StoredObject {
        let content = json!({
            "holder": self.holder, "incarnation": self.incarnation, "term": self.term,
            "released": self.is_released, "renewals": renewals,
        });
        StoredObject { name: LEASE_NAME.to_string(), revision, content, ..Default::default() }
    }
}

/// Acquires the lease on one node and renews it while the node holds it.
#[derive(Debug)]
pub struct LeaseManager {
    cx: ServingCx,
    /// Number of writes that this node has attempted, which is part of the object.
    renewals: u64,
    /// Last known revision of the object, and when it was written or first seen.
    seen: Option<(u64, Duration)>,
}

impl LeaseManager {
    /// Creates a manager that has not read the lease yet.
    pub fn new(cx: ServingCx) -> Self {
        Self { cx, renewals: 0, seen: None }
    }

    /// Acquires and renews the lease until the task is aborted.
    pub async fn run(mut self) {
        loop {
            if !self.may_hold() {
                sleep(POLL_PERIOD).await;
                continue;
            }
            let now = Instant::now();
            if let Some(renewal) = self.cx.nodes.lease_holder(now, HOLDER_SILENCE) {
                // The heartbeat carries the age of the revision, so that time is not waited for again.
                let age = (now - renewal.received_at) + renewal.age;
                let written = self.cx.clock.now().saturating_sub(age);
                self.seen = Some((renewal.revision, written));
                sleep(POLL_PERIOD).await;
                continue;
            }
            match self.try_acquire().await {
                Ok(Some((record, object, sent))) => self.hold(record, object.revision, sent).await,
                Ok(None) => sleep(POLL_PERIOD).await,
                Err(e) => {
                    log::debug!("could not read or acquire the lease: {e}");
                    sleep(self.cx.store.retry_delay()).await;
                }
            }
        }
    }

    /// Acquires the lease if it is free. Returns it with the time at which the write was sent.
    async fn try_acquire(
        &mut self,
    ) -> Result<Option<(LeaseRecord, StoredObject, Duration)>, StoreError> {
        let found = self.cx.store.get(ObjectKind::Leases, LEASE_NAME).await?;
        let now = self.cx.clock.now();
        let Some(object) = found else {
            sleep(self.rank_delay()).await;
            return self.write_acquisition(None, 0, "its object did not exist").await;
        };
        let record = LeaseRecord::decode(&object);
        let since = match self.seen {
            Some((revision, since)) if revision == object.revision => since,
            _ => now,
        };
        self.seen = Some((object.revision, since));
        let reason = match &record {
            None => Some("its object could not be decoded"),
            Some(record) if record.is_released => Some("it was released"),
            Some(record) if record.holder == self.cx.node() => {
                Some("a previous process of this node held it")
            }
            Some(_) if now - since >= LEASE_DURATION => Some("it was not renewed"),
            Some(_) => None,
        };
        match reason {
            Some(reason) => self.write_acquisition(record, object.revision, reason).await,
            None => Ok(None),
        }
    }

    async fn write_acquisition(
        &mut self,
        previous: Option<LeaseRecord>,
        revision: u64,
        reason: &str,
    ) -> Result<Option<(LeaseRecord, StoredObject, Duration)>, StoreError> {
        let record = LeaseRecord {
            holder: self.cx.node().to_string(),
            incarnation: self.cx.incarnation,
            term: previous.as_ref().map_or(0, |previous| previous.term) + 1,
            is_released: false,
        };
        let sent = self.cx.clock.now();
        self.renewals += 1;
        let object = record.encode(revision, self.renewals);
        let written = match revision {
            0 => self.cx.store.create(ObjectKind::Leases, &object).await,
            _ => self.cx.store.replace(ObjectKind::Leases, &object).await,
        };
        match written {
            Ok(object) => {
                self.cx.log.record(Event::LeaseTaken {
                    lease: LEASE_NAME.to_string(),
                    term: record.term,
                    from: previous.map(|previous| previous.holder).unwrap_or_default(),
                    reason: reason.to_string(),
                });
                Ok(Some((record, object, sent)))
            }
            Err(StoreError::Conflict(_)) => Ok(None),
            Err(e) => Err(e),
        }
    }

    /// Renews the lease until it is lost or released.
    async fn hold(&mut self, record: LeaseRecord, mut revision: u64, sent: Duration) {
        let cx = self.cx.clone();
        cx.lease.set_held(record.term, revision, sent, sent + LEASE_DURATION - SAFETY_MARGIN);
        let mut delay = RENEW_PERIOD;
        let reason = loop {
            tokio::select! {
                () = sleep(delay) => {}
                () = cx.reach.wait_until_cut() => {}
            }
            if !self.may_hold() {
                break self.release(&record, revision).await;
            }
            let sent = cx.clock.now();
            self.renewals += 1;
            let object = record.encode(revision, self.renewals);
            delay = RENEW_RETRY;
            match cx.store.replace(ObjectKind::Leases, &object).await {
                Ok(object) => {
                    revision = object.revision;
                    cx.lease.set_held(
                        record.term,
                        revision,
                        sent,
                        sent + LEASE_DURATION - SAFETY_MARGIN,
                    );
                    delay = RENEW_PERIOD;
                }
                // An earlier renewal may have been applied although its response was lost.
                Err(StoreError::Conflict(Some(current)))
                    if LeaseRecord::decode(&current).as_ref() == Some(&record) =>
                {
                    revision = current.revision;
                }
                Err(StoreError::Conflict(_)) => break "another node holds it".to_string(),
                Err(e) => {
                    log::debug!("could not renew the lease: {e}");
                    if cx.lease.term().is_none() {
                        break format!("it expired: {e}");
                    }
                }
            }
        };
        cx.lease.release();
        self.seen = None;
        let lease = LEASE_NAME.to_string();
        cx.log.record(Event::LeaseLost { lease, term: record.term, reason });
    }

    /// Returns whether this node can use the lease: it does not stop, and its orders reach instances.
    fn may_hold(&self) -> bool {
        self.cx.phase() != NodePhase::Leaving && !self.cx.reach.is_cut()
    }

    async fn release(&mut self, record: &LeaseRecord, revision: u64) -> String {
        self.cx.lease.release();
        let released = LeaseRecord { is_released: true, ..record.clone() };
        let object = released.encode(revision, self.renewals);
        match self.cx.store.replace(ObjectKind::Leases, &object).await {
            Ok(_) => "it was released".to_string(),
            Err(e) => format!("releasing it failed: {e}"),
        }
    }

    /// Returns the delay before this node creates the object, so that nodes of a new fleet do not all
    /// try at once.
    fn rank_delay(&self) -> Duration {
        let live = self.cx.nodes.live(Instant::now(), self.cx.heartbeat_period());
        let own = election::weight(LEASE_NAME, self.cx.node());
        let ahead = live
            .iter()
            .filter(|heartbeat| election::weight(LEASE_NAME, &heartbeat.node) > own)
            .count();
        RANK_DELAY * ahead as u32
    }
}
