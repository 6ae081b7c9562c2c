//! Keeps or takes the lease on the groups, one object in the store.
//!
//! The holder renews it in place. Another node takes it over when the holder gave it up, or when
//! the object did not change for the whole of the lease on the other node's own clock. The term
//! grows with each holder and is the fencing token of its orders.

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

/// Name of the object.
const NAME: &str = "groups";
/// Time without a change after which the lease may be taken over.
const LEASE_DURATION: Duration = Duration::from_millis(2000);
/// Part of the lease that the holder does not use, for clocks that run differently and for orders
/// that are on their way.
const SAFETY_MARGIN: Duration = Duration::from_millis(500);
/// Period in which the holder renews.
const RENEW_PERIOD: Duration = Duration::from_millis(500);
/// Pause before a failed renewal is tried again.
const RENEW_RETRY: Duration = Duration::from_millis(100);
/// Silence of the holder from which on another node looks at the object.
const HOLDER_SILENCE: Duration = Duration::from_millis(600);
/// Period in which a node that is not the holder looks at the object, while the holder is silent.
const POLL_PERIOD: Duration = Duration::from_millis(200);
/// Head start of each node over the next in line.
const RANK_DELAY: Duration = Duration::from_millis(120);

/// The content of the lease's object.
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
        StoredObject { name: NAME.to_string(), revision, content, ..Default::default() }
    }
}

/// Keeper of the lease on one node.
#[derive(Debug)]
pub struct LeaseKeeper {
    cx: ServingCx,
    renewals: u64,
    /// Revision of the object, as last seen, and when it was first seen.
    seen: Option<(u64, Duration)>,
}

impl LeaseKeeper {
    /// Returns a keeper that knows nothing of the lease.
    pub fn new(cx: ServingCx) -> Self {
        Self { cx, renewals: 0, seen: None }
    }

    /// Keeps or takes the lease until the task is ended.
    pub async fn run(mut self) {
        loop {
            if self.cx.phase() == NodePhase::Leaving {
                sleep(POLL_PERIOD).await;
                continue;
            }
            let now = Instant::now();
            if let Some(renewal) = self.cx.nodes.lease_holder(now, HOLDER_SILENCE) {
                // The holder tells when it wrote the revision, which need not be waited out again.
                let age = (now - renewal.heard) + renewal.age;
                let written = self.cx.clock.now().saturating_sub(age);
                self.seen = Some((renewal.revision, written));
                sleep(POLL_PERIOD).await;
                continue;
            }
            match self.try_acquire().await {
                Ok(Some((record, object, sent))) => self.hold(record, object.revision, sent).await,
                Ok(None) => sleep(POLL_PERIOD).await,
                Err(e) => {
                    log::debug!("the lease could not be looked at: {e}");
                    sleep(self.cx.store.pause()).await;
                }
            }
        }
    }

    /// Takes the lease if it is free; returns it with the time at which the call was made.
    async fn try_acquire(
        &mut self,
    ) -> Result<Option<(LeaseRecord, StoredObject, Duration)>, StoreError> {
        let found = self.cx.store.get(ObjectKind::Leases, NAME).await?;
        let now = self.cx.clock.now();
        let Some(object) = found else {
            sleep(self.rank_delay()).await;
            return self.write_acquisition(None, 0, "it did not exist").await;
        };
        let record = LeaseRecord::decode(&object);
        let since = match self.seen {
            Some((revision, since)) if revision == object.revision => since,
            _ => now,
        };
        self.seen = Some((object.revision, since));
        let reason = match &record {
            None => Some("its object was unreadable"),
            Some(record) if record.is_released => Some("it was released"),
            Some(record) if record.holder == self.cx.node() => {
                Some("an earlier run of the node held it")
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
                    lease: NAME.to_string(),
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

    /// Renews the lease until it is lost or given up.
    async fn hold(&mut self, record: LeaseRecord, mut revision: u64, sent: Duration) {
        let cx = self.cx.clone();
        cx.lease.set_held(record.term, revision, sent, sent + LEASE_DURATION - SAFETY_MARGIN);
        let mut pause = RENEW_PERIOD;
        let reason = loop {
            sleep(pause).await;
            if cx.phase() == NodePhase::Leaving {
                break self.release(&record, revision).await;
            }
            let sent = cx.clock.now();
            self.renewals += 1;
            let object = record.encode(revision, self.renewals);
            pause = RENEW_RETRY;
            match cx.store.replace(ObjectKind::Leases, &object).await {
                Ok(object) => {
                    revision = object.revision;
                    cx.lease.set_held(
                        record.term,
                        revision,
                        sent,
                        sent + LEASE_DURATION - SAFETY_MARGIN,
                    );
                    pause = RENEW_PERIOD;
                }
                // An earlier renewal may have been carried out without an answer.
                Err(StoreError::Conflict(Some(current)))
                    if LeaseRecord::decode(&current).as_ref() == Some(&record) =>
                {
                    revision = current.revision;
                }
                Err(StoreError::Conflict(_)) => break "another node holds it".to_string(),
                Err(e) => {
                    log::debug!("the lease was not renewed: {e}");
                    if cx.lease.term().is_none() {
                        break format!("it lapsed: {e}");
                    }
                }
            }
        };
        cx.lease.release();
        self.seen = None;
        let lease = NAME.to_string();
        cx.log.record(Event::LeaseLost { lease, term: record.term, reason });
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

    /// Returns this node's head start over the others, for the first lease of a fleet.
    fn rank_delay(&self) -> Duration {
        let live = self.cx.nodes.live(Instant::now(), self.cx.beat_period());
        let own = election::weight(NAME, self.cx.node());
        let ahead = live.iter().filter(|beat| election::weight(NAME, &beat.node) > own).count();
        RANK_DELAY * ahead as u32
    }
}
