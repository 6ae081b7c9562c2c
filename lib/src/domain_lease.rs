//! Leases on fabric domains: when the holder must stop and when another node may acquire the
//! domain.
//!
//! The holder measures a lease from before its write began, other nodes from when they observed
//! the write. The lease therefore expires at the holder first, however long the write takes to
//! become visible. Both clocks include time in which the process was suspended.

use crate::generated::groups::DomainRecord;
use crate::ids::DomainId;
use crate::ids::ObjectVersion;
use std::collections::BTreeMap;
use std::time::Duration;

/// Fraction of a lease by which the holder stops early, to allow for clock drift and short pauses.
const HOLDER_MARGIN: f64 = 0.1;
/// Fraction of a lease by which other nodes wait longer.
const CONTENDER_MARGIN: f64 = 0.1;
/// Fraction of a lease after which the holder renews it.
const RENEW_AFTER: f64 = 1.0 / 3.0;
/// Additional delay per rank before a candidate tries to acquire a domain that was released or has
/// no record.
const CANDIDATE_STAGGER: Duration = Duration::from_secs(2);

/// A lease that this node holds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HeldLease {
    /// Version of the record written by the last renewal.
    pub version: ObjectVersion,
    started_at: Duration,
    lease: Duration,
}

impl HeldLease {
    /// Returns the lease established by a write that began at `started_at`.
    pub fn new(version: ObjectVersion, started_at: Duration, lease: Duration) -> Self {
        Self { version, started_at, lease }
    }

    /// Returns whether the lease alone still permits the holder to act.
    pub fn is_valid(&self, now: Duration) -> bool {
        now < self.expires_at()
    }

    /// Returns the time at which the lease expires for its holder.
    pub fn expires_at(&self) -> Duration {
        self.started_at + self.lease.mul_f64(1.0 - HOLDER_MARGIN)
    }

    /// Returns whether the lease should be renewed.
    pub fn is_renewal_due(&self, now: Duration) -> bool {
        now >= self.started_at + self.lease.mul_f64(RENEW_AFTER)
    }
}

/// Tracks when the record of each domain last changed, to decide when a candidate may try to
/// acquire the domain.
#[derive(Debug, Default)]
pub struct LeaseObserver {
    observations: BTreeMap<DomainId, Observation>,
}

#[derive(Debug)]
struct Observation {
    version: ObjectVersion,
    at: Duration,
}

impl LeaseObserver {
    /// Returns an observer without observations.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the version of a domain's record, 0 if there is none.
    pub fn observe(&mut self, domain: &str, version: ObjectVersion, now: Duration) {
        match self.observations.get_mut(domain) {
            Some(observed) if observed.version == version => {}
            Some(observed) => *observed = Observation { version, at: now },
            None => {
                self.observations.insert(domain.to_string(), Observation { version, at: now });
            }
        }
    }

    /// Removes the domains for which `is_known` returns false.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.observations.retain(|domain, _| is_known(domain));
    }

    /// Returns whether the candidate of this rank, 0 being the first, may try to acquire the
    /// domain.
    pub fn may_acquire(
        &self,
        domain: &str,
        record: Option<&DomainRecord>,
        rank: u32,
        now: Duration,
    ) -> bool {
        let Some(observed) = self.observations.get(domain) else { return false };
        let waited = now.saturating_sub(observed.at);
        match record {
            Some(record) if !record.owner.is_empty() => {
                let lease = record.lease.mul_f64(1.0 + CONTENDER_MARGIN);
                waited > lease + record.lease / 2 * rank
            }
            _ => waited >= CANDIDATE_STAGGER * rank,
        }
    }
}
