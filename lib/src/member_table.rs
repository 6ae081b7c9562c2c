//! Member table behind the member view, and the rules for merging member rows.

use crate::generated::peer::DataCentreBeat;
use crate::generated::peer::MemberHealth;
use crate::generated::peer::MemberRow;
use crate::generated::peer::MemberStamp;
use crate::ids::DataCentreId;
use crate::ids::NodeId;
use crate::member_view::Member;
use crate::member_view::MemberState;
use crate::member_view::Members;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time within which a suspicion can be refuted before the member is declared dead.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_secs(2);
/// Number of accusers required to declare a member dead, or fewer if fewer live nodes are known.
pub const REQUIRED_ACCUSERS: usize = 2;
/// Maximum number of accusers listed in a row.
const MAX_ACCUSERS: usize = 3;
/// Time without a heartbeat of a data centre after which its members count as suspect.
pub const DATA_CENTRE_SUSPECT_AFTER: Duration = Duration::from_millis(3500);
/// Time without a heartbeat of a data centre after which its members count as dead.
pub const DATA_CENTRE_DEAD_AFTER: Duration = Duration::from_secs(30);
/// Time for which the row of a dead member is retained, so that outdated rows do not revive it.
const DEAD_ROW_RETENTION: Duration = Duration::from_secs(600);
/// Maximum number of rows.
const MAX_ROWS: usize = 4096;

/// Outcome of merging a received row.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The row was new or updated the table.
    Changed,
    /// The row was already known or outdated, or the table is full.
    Unchanged,
    /// The row listed this node as not live, or with a later version; this node's row was renewed.
    Refuted,
}

#[derive(Debug, Clone)]
struct TableRow {
    row: MemberRow,
    /// Time of the last change of health.
    since: Duration,
}

#[derive(Debug, Clone, Copy)]
struct Heartbeat {
    count: u64,
    advanced_at: Duration,
}

/// Rows of all known members, this node's own included.
#[derive(Debug, Clone)]
pub struct MemberTable {
    own: NodeId,
    rows: BTreeMap<NodeId, TableRow>,
    heartbeats: BTreeMap<DataCentreId, Heartbeat>,
    /// Number of changes made to the rows.
    changes: u64,
    /// Cached digest with the change count that it was computed for.
    digest: Cell<Option<(u64, u64)>>,
}

impl MemberTable {
    /// Creates a table that contains only the row of this node.
    pub fn new(own: MemberRow, now: Duration) -> Self {
        let id = own.node.clone();
        let rows = BTreeMap::from([(id.clone(), TableRow { row: own, since: now })]);
        Self { own: id, rows, heartbeats: BTreeMap::new(), changes: 0, digest: Cell::new(None) }
    }

    /// Returns the row of this node.
    pub fn own(&self) -> &MemberRow {
        &self.rows[&self.own].row
    }

    /// Returns the row of a node.
    pub fn get(&self, node: &str) -> Option<&MemberRow> {
        self.rows.get(node).map(|entry| &entry.row)
    }

    /// Returns all rows.
    pub fn rows(&self) -> impl Iterator<Item = &MemberRow> {
        self.rows.values().map(|entry| &entry.row)
    }

    /// Returns the time since a row's health last changed.
    pub fn health_age(&self, node: &str, now: Duration) -> Duration {
        self.rows.get(node).map_or(Duration::ZERO, |entry| now.saturating_sub(entry.since))
    }

    /// Returns a counter that increases with each change of a row.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Merges a row received from a peer.
    pub fn merge(&mut self, row: &MemberRow, now: Duration) -> MergeOutcome {
        let merged = self.merge_row(row, now);
        if merged != MergeOutcome::Unchanged {
            self.changes += 1;
        }
        merged
    }

    fn merge_row(&mut self, row: &MemberRow, now: Duration) -> MergeOutcome {
        if row.node == self.own {
            return self.merge_own(row, now);
        }
        let Some(known) = self.rows.get_mut(&row.node) else {
            if self.rows.len() >= MAX_ROWS {
                return MergeOutcome::Unchanged;
            }
            let has_heartbeat = self.heartbeats.contains_key(&row.data_centre);
            if !has_heartbeat {
                let heartbeat = Heartbeat { count: 0, advanced_at: now };
                self.heartbeats.insert(row.data_centre.clone(), heartbeat);
            }
            self.rows.insert(row.node.clone(), TableRow { row: row.clone(), since: now });
            return MergeOutcome::Changed;
        };
        let order = (row.incarnation, row.refutation, row.health);
        let known_order = (known.row.incarnation, known.row.refutation, known.row.health);
        if order < known_order {
            return MergeOutcome::Unchanged;
        }
        if order == known_order {
            return merge_accusers(&mut known.row, &row.accusers);
        }
        let old_accusers = std::mem::replace(&mut known.row, row.clone()).accusers;
        if order.0 == known_order.0 && order.1 == known_order.1 {
            merge_accusers(&mut known.row, &old_accusers);
        }
        known.since = now;
        MergeOutcome::Changed
    }

    /// Marks a node as suspect, adds the accuser to its row and returns whether the accuser was added.
    pub fn mark_suspect(&mut self, node: &str, accuser: &str, now: Duration) -> bool {
        let Some(entry) = self.rows.get_mut(node) else { return false };
        if entry.row.health == MemberHealth::Dead || node == self.own {
            return false;
        }
        if entry.row.health == MemberHealth::Live {
            entry.row.health = MemberHealth::Suspect;
            entry.row.accusers.clear();
            entry.since = now;
        }
        self.changes += 1;
        merge_accusers(&mut entry.row, &[accuser.to_string()]) == MergeOutcome::Changed
    }

    /// Declares suspects dead whose suspicion has timed out and that have enough accusers.
    pub fn expire_suspicions(&mut self, now: Duration) -> Vec<NodeId> {
        let others = self.rows().filter(|row| row.health == MemberHealth::Live).count();
        let required = REQUIRED_ACCUSERS.min(others.max(1));
        let mut dead = vec![];
        for (node, entry) in &mut self.rows {
            let is_timed_out = now.saturating_sub(entry.since) >= SUSPICION_TIMEOUT;
            let is_suspect = entry.row.health == MemberHealth::Suspect;
            if is_suspect && is_timed_out && entry.row.accusers.len() >= required {
                entry.row.health = MemberHealth::Dead;
                entry.since = now;
                dead.push(node.clone());
                self.changes += 1;
            }
        }
        dead
    }

    /// Removes the rows of members that have been dead for long, and returns their ids.
    pub fn prune(&mut self, now: Duration) -> Vec<NodeId> {
        let is_old = |entry: &TableRow| {
            let is_dead = entry.row.health == MemberHealth::Dead;
            is_dead && now.saturating_sub(entry.since) > DEAD_ROW_RETENTION
        };
        let old: Vec<NodeId> =
            self.rows.iter().filter(|(_, e)| is_old(e)).map(|(n, _)| n.clone()).collect();
        for node in &old {
            self.changes += 1;
            self.rows.remove(node);
        }
        old
    }

    /// Changes this node's row and raises its version, so that it replaces the row held by others.
    pub fn renew_own(&mut self, change: impl FnOnce(&mut MemberRow)) {
        let Some(entry) = self.rows.get_mut(&self.own) else { return };
        entry.row.refutation += 1;
        self.changes += 1;
        change(&mut entry.row);
    }

    /// Advances the heartbeat counter of this node's data centre; called on relays.
    pub fn advance_heartbeat(&mut self, now: Duration) {
        let data_centre = self.own().data_centre.clone();
        // Starting at the incarnation keeps the counter above the value that other nodes hold, even
        // when all relays restart: an incarnation is a time in milliseconds, and heartbeats are
        // less frequent than one per millisecond.
        let first = self.own().incarnation;
        let heartbeat =
            self.heartbeats.entry(data_centre).or_insert(Heartbeat { count: 0, advanced_at: now });
        heartbeat.count = first.max(heartbeat.count + 1);
        heartbeat.advanced_at = now;
    }

    /// Merges the heartbeat counters of data centres.
    pub fn merge_heartbeats(&mut self, heartbeats: &[DataCentreBeat], now: Duration) {
        for received in heartbeats {
            let is_known = self.rows().any(|row| row.data_centre == received.data_centre);
            if !is_known {
                continue;
            }
            let heartbeat = self.heartbeats.entry(received.data_centre.clone());
            let heartbeat = heartbeat.or_insert(Heartbeat { count: 0, advanced_at: now });
            if received.count > heartbeat.count {
                heartbeat.count = received.count;
                heartbeat.advanced_at = now;
            }
        }
    }

    /// Returns the heartbeat counters that advanced recently.
    pub fn recent_heartbeats(&self, now: Duration) -> Vec<DataCentreBeat> {
        self.heartbeats
            .iter()
            .filter(|(_, heartbeat)| {
                now.saturating_sub(heartbeat.advanced_at) < DATA_CENTRE_SUSPECT_AFTER
            })
            .map(|(id, heartbeat)| DataCentreBeat {
                data_centre: id.clone(),
                count: heartbeat.count,
            })
            .collect()
    }

    /// Resets the silence of all data centres and the age of all suspicions after a pause of this
    /// process.
    pub fn reset_silence(&mut self, now: Duration) {
        for heartbeat in self.heartbeats.values_mut() {
            heartbeat.advanced_at = now;
        }
        for entry in self.rows.values_mut() {
            if entry.row.health == MemberHealth::Suspect {
                entry.since = now;
            }
        }
    }

    /// Returns the time since a data centre's last heartbeat; zero for this node's own.
    pub fn silence(&self, data_centre: &str, now: Duration) -> Duration {
        if data_centre == self.own().data_centre {
            return Duration::ZERO;
        }
        let heartbeat = self.heartbeats.get(data_centre);
        heartbeat.map_or(Duration::ZERO, |heartbeat| now.saturating_sub(heartbeat.advanced_at))
    }

    /// Returns the data centres of all rows.
    pub fn data_centres(&self) -> Vec<DataCentreId> {
        let ids: std::collections::BTreeSet<&String> =
            self.rows().map(|row| &row.data_centre).collect();
        ids.into_iter().cloned().collect()
    }

    /// Returns the version stamps of all rows.
    pub fn stamps(&self) -> Vec<MemberStamp> {
        self.rows()
            .map(|row| MemberStamp {
                node: row.node.clone(),
                incarnation: row.incarnation,
                refutation: row.refutation,
                health: row.health,
            })
            .collect()
    }

    /// Returns the rows that are newer than the given stamps.
    pub fn newer_than(&self, stamps: &[MemberStamp]) -> Vec<MemberRow> {
        let known: BTreeMap<&str, _> = stamps
            .iter()
            .map(|s| (s.node.as_str(), (s.incarnation, s.refutation, s.health)))
            .collect();
        let order = |row: &MemberRow| (row.incarnation, row.refutation, row.health);
        self.rows()
            .filter(|row| known.get(row.node.as_str()).is_none_or(|k| *k < order(row)))
            .cloned()
            .collect()
    }

    /// Returns a hash of the rows that are not dead; it is equal on nodes with the same versions.
    pub fn digest(&self) -> u64 {
        if let Some((changes, digest)) = self.digest.get()
            && changes == self.changes
        {
            return digest;
        }
        let digest = self.compute_digest();
        self.digest.set(Some((self.changes, digest)));
        digest
    }

    fn compute_digest(&self) -> u64 {
        let mut hasher = blake3::Hasher::new();
        for row in self.rows().filter(|row| row.health != MemberHealth::Dead) {
            hasher.update(row.node.as_bytes());
            hasher.update(&row.incarnation.to_le_bytes());
            hasher.update(&row.refutation.to_le_bytes());
        }
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        u64::from_le_bytes(bytes)
    }

    /// Returns the member view that is published to the rest of the node.
    pub fn view(&self, now: Duration) -> Members {
        let silences: BTreeMap<DataCentreId, Duration> = self
            .data_centres()
            .into_iter()
            .map(|id| (id.clone(), self.silence(&id, now)))
            .collect();
        self.rows()
            .map(|row| {
                let silence = silences.get(&row.data_centre).copied().unwrap_or_default();
                (row.node.clone(), member(row, silence))
            })
            .collect()
    }

    fn merge_own(&mut self, row: &MemberRow, now: Duration) -> MergeOutcome {
        let Some(entry) = self.rows.get_mut(&self.own) else { return MergeOutcome::Unchanged };
        let own = &mut entry.row;
        // A later incarnation can exist if the system clock was set back across a restart.
        let is_ahead = (row.incarnation, row.refutation) > (own.incarnation, own.refutation);
        let is_same = (row.incarnation, row.refutation) == (own.incarnation, own.refutation);
        let is_suspicion = is_same && row.health > own.health;
        if !is_ahead && !is_suspicion {
            return MergeOutcome::Unchanged;
        }
        own.incarnation = row.incarnation.max(own.incarnation);
        own.refutation = row.refutation + 1;
        entry.since = now;
        MergeOutcome::Refuted
    }
}

fn merge_accusers(row: &mut MemberRow, accusers: &[NodeId]) -> MergeOutcome {
    let mut merged = MergeOutcome::Unchanged;
    for accuser in accusers {
        let has_capacity = row.accusers.len() < MAX_ACCUSERS;
        if has_capacity && *accuser != row.node && !row.accusers.contains(accuser) {
            row.accusers.push(accuser.clone());
            merged = MergeOutcome::Changed;
        }
    }
    merged
}

fn member(row: &MemberRow, silence: Duration) -> Member {
    let state = match row.health {
        MemberHealth::Dead => MemberState::Dead,
        _ if silence >= DATA_CENTRE_DEAD_AFTER => MemberState::Dead,
        _ if row.leaving => MemberState::Leaving,
        MemberHealth::Suspect => MemberState::Suspect,
        MemberHealth::Live if silence >= DATA_CENTRE_SUSPECT_AFTER => MemberState::Suspect,
        MemberHealth::Live => MemberState::Live,
    };
    Member {
        node: row.node.clone(),
        incarnation: row.incarnation,
        state,
        data_centre: row.data_centre.clone(),
        region: row.region.clone(),
        peer_address: row.peer_address.clone(),
        caller_address: row.caller_address.clone(),
        operator_address: row.operator_address.clone(),
    }
}
