//! Leases on fabric domains: when the holder must stop and when others may take over.
//!
//! The holder counts from before its write began, others from when they saw the write, so the
//! holder's count ends first whatever the delay. Both count suspended time.

use crate::generated::groups::DomainRecord;
use crate::ids::DomainId;
use crate::ids::ObjectVersion;
use std::collections::BTreeMap;
use std::time::Duration;

/// Part of a lease by which the holder stops early, for clock drift and short pauses.
const HOLDER_ALLOWANCE: f64 = 0.1;
/// Part of a lease by which others wait longer.
const CONTENDER_MARGIN: f64 = 0.1;
/// Part of a lease after which the holder renews it.
const RENEW_AFTER: f64 = 1.0 / 3.0;
/// Wait of each further candidate for a domain that was handed back or has no record.
const CANDIDATE_STAGGER: Duration = Duration::from_secs(2);

/// A lease that this node holds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HeldLease {
    /// Version of the record that the last renewal wrote.
    pub version: ObjectVersion,
    counted_from: Duration,
    lease: Duration,
}

impl HeldLease {
    /// Returns the lease that a write begun at `counted_from` gave.
    pub fn new(version: ObjectVersion, counted_from: Duration, lease: Duration) -> Self {
        Self { version, counted_from, lease }
    }

    /// Tells whether the holder may still act on the lease alone.
    pub fn is_valid(&self, now: Duration) -> bool {
        now < self.ends()
    }

    /// Returns the time at which the holder stops.
    pub fn ends(&self) -> Duration {
        self.counted_from + self.lease.mul_f64(1.0 - HOLDER_ALLOWANCE)
    }

    /// Tells whether the lease should be renewed.
    pub fn is_renewal_due(&self, now: Duration) -> bool {
        now >= self.counted_from + self.lease.mul_f64(RENEW_AFTER)
    }
}

/// Watches the records of all domains and tells when a candidate may try to take one.
#[derive(Debug, Default)]
pub struct LeaseObserver {
    seen: BTreeMap<DomainId, Seen>,
}

#[derive(Debug)]
struct Seen {
    version: ObjectVersion,
    at: Duration,
}

impl LeaseObserver {
    /// Returns an observer that has seen nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes note of the version of a domain's record, 0 when there is none.
    pub fn note(&mut self, domain: &str, version: ObjectVersion, now: Duration) {
        match self.seen.get_mut(domain) {
            Some(seen) if seen.version == version => {}
            Some(seen) => *seen = Seen { version, at: now },
            None => {
                self.seen.insert(domain.to_string(), Seen { version, at: now });
            }
        }
    }

    /// Forgets the domains that are gone.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.seen.retain(|domain, _| is_known(domain));
    }

    /// Tells whether the candidate of this rank, 0 the first, may try to take the domain.
    pub fn may_take(
        &self,
        domain: &str,
        record: Option<&DomainRecord>,
        rank: u32,
        now: Duration,
    ) -> bool {
        let Some(seen) = self.seen.get(domain) else { return false };
        let waited = now.saturating_sub(seen.at);
        match record {
            Some(record) if !record.owner.is_empty() => {
                let lease = record.lease.mul_f64(1.0 + CONTENDER_MARGIN);
                waited > lease + record.lease / 2 * rank
            }
            _ => waited >= CANDIDATE_STAGGER * rank,
        }
    }
}
