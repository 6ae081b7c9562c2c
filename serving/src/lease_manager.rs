//! Acquires and renews the lease on the groups, which is one object in the store.
//!
//! The holder renews the lease by replacing the object. Another node acquires it when the holder has
//! released it, or when the object has not changed for the lease duration by that node's own clock.
//! The term increases with each holder and is the fencing token of its orders. A holder that reaches no
//! instance can't give orders, and releases the lease.
//!
//! A holder loses the lease when the store returns from an older copy. Others may not have noticed yet that it
//! did, so the first lease of an era is used only once all leases of earlier eras have expired, unless this node
//! held the last one itself.

use crate::dialect::ObjectKind;
use crate::dialect::StoredObject;
use crate::lease_state;
use crate::serving_cx::ServingCx;
use crate::store::StoreError;
use crate::store_era::Revision;
use guavaladder_lib::election;
use guavaladder_lib::generated::events::Event;
use guavaladder_lib::generated::serving_peer::NodePhase;
use serde_json::json;
use std::cmp::Ordering;
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
/// Time without a heartbeat of the holder after which a candidate reads the object.
const CANDIDATE_SILENCE: Duration = Duration::from_millis(600);
/// Number of heartbeat periods without a heartbeat of the holder after which any other node reads the object.
const SILENT_PERIODS: u32 = 4;
/// Number of elected nodes that take the holder for silent sooner than a few heartbeats, which are far apart in a
/// large fleet. If every node did, the object would be read hundreds of times a second.
const CANDIDATES: usize = 3;
/// Interval at which a node that is not the holder reads the object while the holder is silent.
const POLL_PERIOD: Duration = Duration::from_millis(200);
/// Interval between two reads of the object by the nodes of a large fleet together while the holder is silent.
const POLL_INTERVAL_PER_NODE: Duration = Duration::from_millis(4);
/// Interval at which a node that finds no lease checks whether the instance list has been read.
const LISTED_CHECK_PERIOD: Duration = Duration::from_millis(50);
/// Delay per node that ranks higher, before the object is first created.
const RANK_DELAY: Duration = Duration::from_millis(120);

/// Returns the time without a heartbeat of the holder after which `node` reads the object; `live` are the other
/// live nodes.
pub fn holder_silence(node: &str, live: &[String], period: Duration) -> Duration {
    let all = live.iter().map(String::as_str).chain([node]);
    let is_candidate = election::elect(LEASE_NAME, all, CANDIDATES).iter().any(|name| name == node);
    match is_candidate {
        true => CANDIDATE_SILENCE,
        false => CANDIDATE_SILENCE.max(period * SILENT_PERIODS),
    }
}

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

    fn encode(&self, revision: Revision, renewals: u64) -> StoredObject {
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
    seen: Option<(Revision, Duration)>,
    /// Until when the last lease of this node allowed it to give orders, if it did.
    acting_until: Option<Duration>,
    /// Highest term that this node has held.
    last_term: u64,
}

/// A lease that this node has written to the store.
#[derive(Debug)]
struct Acquired {
    record: LeaseRecord,
    revision: Revision,
    /// When the write was sent.
    sent: Duration,
    /// From when orders may be sent.
    acts_from: Duration,
}

impl LeaseManager {
    /// Creates a manager that has not read the lease yet.
    pub fn new(cx: ServingCx) -> Self {
        Self { cx, renewals: 0, seen: None, acting_until: None, last_term: 0 }
    }

    /// Acquires and renews the lease until the task is aborted.
    pub async fn run(mut self) {
        loop {
            if !self.may_hold() {
                sleep(POLL_PERIOD).await;
                continue;
            }
            let now = Instant::now();
            let period = self.cx.heartbeat_period();
            let live = self.cx.nodes.live_names(now, period);
            let silence = holder_silence(self.cx.node(), &live, period);
            if let Some(renewal) = self.cx.nodes.lease_holder(now, silence) {
                let era = self.cx.store.era().current();
                let holds_lease = match renewal.era.unwrap_or(era).cmp(&era) {
                    // It has not noticed that the store has returned from an older copy.
                    Ordering::Less => false,
                    Ordering::Equal => {
                        // The heartbeat carries the age of the revision, so that time is not waited for again.
                        let age = (now - renewal.received_at) + renewal.age;
                        let written = self.cx.clock.now().saturating_sub(age);
                        self.seen = Some((Revision { era, number: renewal.revision }, written));
                        true
                    }
                    Ordering::Greater => true,
                };
                if holds_lease {
                    sleep(POLL_PERIOD).await;
                    continue;
                }
            }
            match self.try_acquire().await {
                Ok(Some(acquired)) => self.hold(acquired).await,
                Ok(None) => sleep(self.poll_period(&live)).await,
                Err(e) => {
                    log::debug!("could not read or acquire the lease: {e}");
                    sleep(self.cx.store.retry_delay()).await;
                }
            }
        }
    }

    /// Returns the interval at which this node reads the object while the holder is silent; `live` are the other
    /// live nodes. In a large fleet, the nodes that are not candidates read it at random moments which are about
    /// `POLL_INTERVAL_PER_NODE` apart over all of them.
    fn poll_period(&self, live: &[String]) -> Duration {
        let all = live.iter().map(String::as_str).chain([self.cx.node()]);
        let candidates = election::elect(LEASE_NAME, all, CANDIDATES);
        let is_candidate = !live.is_empty() && candidates.iter().any(|name| name == self.cx.node());
        if is_candidate || !self.cx.is_large_fleet() {
            return POLL_PERIOD;
        }
        let period = POLL_INTERVAL_PER_NODE * self.cx.nodes.count_known() as u32;
        POLL_PERIOD.max(period.mul_f64(rand::random_range(0.5..1.5)))
    }

    /// Acquires the lease if it is free.
    async fn try_acquire(&mut self) -> Result<Option<Acquired>, StoreError> {
        let found = self.cx.store.get(ObjectKind::Leases, LEASE_NAME).await?;
        let now = self.cx.clock.now();
        let Some(object) = found else {
            // Whether instances are in groups tells if there was a holder before.
            while !self.cx.fleet.is_listed() {
                sleep(LISTED_CHECK_PERIOD).await;
            }
            sleep(self.rank_delay()).await;
            let none = Revision::default();
            return self.write_acquisition(None, none, "its object did not exist").await;
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
        revision: Revision,
        reason: &str,
    ) -> Result<Option<Acquired>, StoreError> {
        let known = previous.as_ref().map_or(0, |previous| previous.term).max(self.known_term());
        let record = LeaseRecord {
            holder: self.cx.node().to_string(),
            incarnation: self.cx.incarnation,
            term: lease_state::next_term(known, self.cx.store.era().current()),
            is_released: false,
        };
        let sent = self.cx.clock.now();
        self.renewals += 1;
        let object = record.encode(revision, self.renewals);
        let written = match revision.number {
            0 => self.cx.store.create(ObjectKind::Leases, &object).await,
            _ => self.cx.store.replace(ObjectKind::Leases, &object).await,
        };
        match written {
            Ok(object) => {
                let acts_from = self.acts_from(previous.as_ref());
                self.last_term = record.term;
                self.cx.log.record(Event::LeaseTaken {
                    lease: LEASE_NAME.to_string(),
                    term: record.term,
                    from: previous.map(|previous| previous.holder).unwrap_or_default(),
                    reason: reason.to_string(),
                });
                Ok(Some(Acquired { record, revision: object.revision, sent, acts_from }))
            }
            Err(StoreError::Conflict(_)) => Ok(None),
            Err(e) => Err(e),
        }
    }

    /// Returns the highest term that this node knows to have been used: its own, and, where no era of the store
    /// separates terms that it has lost, those in which instances joined their groups.
    fn known_term(&self) -> u64 {
        let is_era_named = self.cx.store.era().named().is_some();
        let epoch = self.cx.fleet.highest_epoch().filter(|_| !is_era_named);
        self.last_term.max(lease_state::term_of_epoch(epoch.unwrap_or(0)))
    }

    /// Returns from when this node may send orders under a lease that it has just acquired.
    fn acts_from(&self, previous: Option<&LeaseRecord>) -> Duration {
        let (now, era) = (self.cx.clock.now(), self.cx.store.era());
        let has_acted = self.acting_until.is_some_and(|until| now < until);
        let is_new_fleet = previous.is_none()
            && era.risen_at().is_none()
            && self.cx.fleet.highest_epoch().is_none()
            && self.cx.nodes.lease_holder(Instant::now(), LEASE_DURATION).is_none();
        if has_acted || is_new_fleet {
            return now;
        }
        let is_first_of_era =
            previous.is_none_or(|previous| lease_state::era_of_term(previous.term) < era.current());
        let since = if is_first_of_era { era.since() } else { era.risen_at() };
        let elapsed = since.map_or(LEASE_DURATION, |since| since.elapsed());
        now + LEASE_DURATION.saturating_sub(elapsed)
    }

    /// Records a renewal that was sent at `sent`, unless orders may not be sent yet.
    fn record_renewal(&mut self, acquired: &Acquired, sent: Duration) {
        if self.cx.clock.now() < acquired.acts_from {
            return;
        }
        let until = sent + LEASE_DURATION - SAFETY_MARGIN;
        self.cx.lease.set_held(acquired.record.term, acquired.revision, sent, until);
        self.acting_until = Some(until);
    }

    /// Renews the lease until it is lost or released.
    async fn hold(&mut self, mut acquired: Acquired) {
        let cx = self.cx.clone();
        let (era, record) = (acquired.revision.era, acquired.record.clone());
        let mut last_sent = acquired.sent;
        self.record_renewal(&acquired, last_sent);
        let mut delay = RENEW_PERIOD;
        let reason = loop {
            let acts_in = acquired.acts_from.saturating_sub(cx.clock.now());
            tokio::select! {
                () = sleep(delay) => {}
                () = sleep(acts_in), if !acts_in.is_zero() && acts_in < delay => {
                    self.record_renewal(&acquired, last_sent);
                    delay -= acts_in;
                    continue;
                }
                () = cx.reach.wait_until_cut() => {}
                () = cx.store.era().changed_from(era) => {
                    break "the store returned from an older copy".to_string();
                }
            }
            if !self.may_hold() {
                self.acting_until = None;
                break self.release(&record, acquired.revision).await;
            }
            let sent = cx.clock.now();
            self.renewals += 1;
            let object = record.encode(acquired.revision, self.renewals);
            delay = RENEW_RETRY;
            match cx.store.replace(ObjectKind::Leases, &object).await {
                Ok(object) => {
                    (acquired.revision, last_sent) = (object.revision, sent);
                    self.record_renewal(&acquired, sent);
                    delay = RENEW_PERIOD;
                }
                // An earlier renewal may have been applied although its response was lost.
                Err(StoreError::Conflict(Some(current)))
                    if LeaseRecord::decode(&current).as_ref() == Some(&record) =>
                {
                    acquired.revision = current.revision;
                }
                Err(StoreError::Conflict(_)) => {
                    self.acting_until = None;
                    break "another node holds it".to_string();
                }
                Err(e) => {
                    log::debug!("could not renew the lease: {e}");
                    let has_expired = cx.clock.now() >= last_sent + LEASE_DURATION - SAFETY_MARGIN;
                    if has_expired || e == StoreError::Restored {
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

    async fn release(&mut self, record: &LeaseRecord, revision: Revision) -> String {
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
