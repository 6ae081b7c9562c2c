//! Checks the store's log of writes against the guarantees for groups and configurations.

use guavaladder_lib::config_view::CONFIG_KEY;
use guavaladder_lib::generated::config::ConfigRecord;
use guavaladder_lib::generated::groups::DomainRecord;
use guavaladder_lib::generated::groups::GroupState;
use guavaladder_testutils::fake_store::StoreWrite;
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// Key prefix of the records of fabric domains.
const DOMAIN_PREFIX: &str = "domains/";

/// Guarantee that a write violates.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum StoreViolationKind {
    /// An instance belongs to at most one group.
    OneGroup,
    /// An accepted configuration is never reverted or removed; each write increases its version by
    /// one.
    NoRevert,
    /// The epoch of a fabric domain never decreases, and increases with each new owner.
    GrowingEpoch,
}

/// One violation of a guarantee.
#[derive(Debug, Clone, PartialEq)]
pub struct StoreViolation {
    /// Time of the write on the clock's `now` scale.
    pub at: Duration,
    /// Violated guarantee.
    pub kind: StoreViolationKind,
    /// Details of the write.
    pub detail: String,
}

impl fmt::Display for StoreViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3} s: {:?}: {}", self.at.as_secs_f64(), self.kind, self.detail)
    }
}

/// Returns all violations by these writes.
pub fn check(writes: &[StoreWrite]) -> Vec<StoreViolation> {
    let mut found = vec![];
    let mut config: Option<ConfigRecord> = None;
    let mut domains: BTreeMap<String, DomainRecord> = BTreeMap::new();
    for write in writes {
        let mut report = |kind, detail| {
            found.push(StoreViolation { at: write.at, kind, detail });
        };
        if write.key == CONFIG_KEY {
            check_config(write, &mut config, &mut report);
        } else if write.key.starts_with(DOMAIN_PREFIX) {
            check_domain(write, &mut domains, &mut report);
        }
    }
    found
}

fn check_config(
    write: &StoreWrite,
    last: &mut Option<ConfigRecord>,
    report: &mut impl FnMut(StoreViolationKind, String),
) {
    let text = write.value.as_deref().unwrap_or_default();
    let Ok(record) = serde_json::from_str::<ConfigRecord>(text) else {
        return report(
            StoreViolationKind::NoRevert,
            "the configuration was removed or is unreadable".to_string(),
        );
    };
    let before = last.as_ref().map_or(0, |last| last.version);
    if record.version != before + 1 {
        let detail = format!("version {} was written after {before}", record.version);
        report(StoreViolationKind::NoRevert, detail);
    }
    *last = Some(record);
}

fn check_domain(
    write: &StoreWrite,
    domains: &mut BTreeMap<String, DomainRecord>,
    report: &mut impl FnMut(StoreViolationKind, String),
) {
    let text = write.value.as_deref().unwrap_or_default();
    let Ok(record) = serde_json::from_str::<DomainRecord>(text) else { return };
    let before = domains.insert(record.domain.clone(), record.clone());
    if let Some(before) = before {
        let has_new_owner = before.owner != record.owner && !record.owner.is_empty();
        let is_older = record.epoch < before.epoch;
        if is_older || (has_new_owner && record.epoch == before.epoch) {
            let detail = format!(
                "{}: owner {} with epoch {} follows owner {} with epoch {}",
                record.domain, record.owner, record.epoch, before.owner, before.epoch
            );
            report(StoreViolationKind::GrowingEpoch, detail);
        }
    }
    let mut groups: BTreeMap<&str, &str> = BTreeMap::new();
    for other in domains.values() {
        for group in other.groups.iter().filter(|group| group.state != GroupState::Released) {
            let members = group.members.iter().map(|member| member.instance.as_str());
            for instance in members.chain(group.standbys.iter().map(String::as_str)) {
                if let Some(first) = groups.insert(instance, &group.group)
                    && first != group.group
                {
                    let detail = format!("{instance} is in {first} and {}", group.group);
                    report(StoreViolationKind::OneGroup, detail);
                }
            }
        }
    }
}
