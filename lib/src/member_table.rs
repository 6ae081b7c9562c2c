//! The table of members behind the member view, and the rules by which rows replace each other.

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

/// Time for which a suspicion may be refuted.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_secs(2);
/// Accusers that a declaration of death needs, where the fleet has as many other nodes.
pub const REQUIRED_ACCUSERS: usize = 2;
/// Accusers that a row names.
const MAX_ACCUSERS: usize = 3;
/// Silence of a data centre after which its members count as suspect.
pub const DATA_CENTRE_SUSPECT_AFTER: Duration = Duration::from_millis(3500);
/// Silence of a data centre after which its members count as dead.
pub const DATA_CENTRE_DEAD_AFTER: Duration = Duration::from_secs(30);
/// Time for which the row of a dead member is kept, so that old rows do not revive it.
const DEAD_ROW_KEPT: Duration = Duration::from_secs(600);
/// Rows that are kept at most.
const MAX_ROWS: usize = 4096;

/// What became of a row that was taken in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Merged {
    /// The row is new or changed what was known.
    Changed,
    /// The row was known or old.
    Known,
    /// The row spoke of this node as not live, or as an earlier run; this node's row was renewed.
    Refuted,
}

#[derive(Debug, Clone)]
struct TableRow {
    row: MemberRow,
    /// When the health last changed.
    since: Duration,
}

#[derive(Debug, Clone, Copy)]
struct Beat {
    count: u64,
    advanced_at: Duration,
}

/// Rows of all known members, this node's own included.
#[derive(Debug, Clone)]
pub struct MemberTable {
    own: NodeId,
    rows: BTreeMap<NodeId, TableRow>,
    beats: BTreeMap<DataCentreId, Beat>,
    /// Counts changes of the rows.
    changes: u64,
    /// Digest of the rows after a number of changes.
    digest: Cell<Option<(u64, u64)>>,
}

impl MemberTable {
    /// Returns a table with the row of this node.
    pub fn new(own: MemberRow, now: Duration) -> Self {
        let id = own.node.clone();
        let rows = BTreeMap::from([(id.clone(), TableRow { row: own, since: now })]);
        Self { own: id, rows, beats: BTreeMap::new(), changes: 0, digest: Cell::new(None) }
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

    /// Returns how long a row has had its health.
    pub fn health_age(&self, node: &str, now: Duration) -> Duration {
        self.rows.get(node).map_or(Duration::ZERO, |entry| now.saturating_sub(entry.since))
    }

    /// Returns a number that grows with each change of a row.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Takes in a row from a peer.
    pub fn merge(&mut self, row: &MemberRow, now: Duration) -> Merged {
        let merged = self.merge_row(row, now);
        if merged != Merged::Known {
            self.changes += 1;
        }
        merged
    }

    fn merge_row(&mut self, row: &MemberRow, now: Duration) -> Merged {
        if row.node == self.own {
            return self.merge_own(row, now);
        }
        let Some(known) = self.rows.get_mut(&row.node) else {
            if self.rows.len() >= MAX_ROWS {
                return Merged::Known;
            }
            let has_beat = self.beats.contains_key(&row.data_centre);
            if !has_beat {
                let beat = Beat { count: 0, advanced_at: now };
                self.beats.insert(row.data_centre.clone(), beat);
            }
            self.rows.insert(row.node.clone(), TableRow { row: row.clone(), since: now });
            return Merged::Changed;
        };
        let order = (row.incarnation, row.refutation, row.health);
        let known_order = (known.row.incarnation, known.row.refutation, known.row.health);
        if order < known_order {
            return Merged::Known;
        }
        if order == known_order {
            return merge_accusers(&mut known.row, &row.accusers);
        }
        let had_accusers = std::mem::replace(&mut known.row, row.clone()).accusers;
        if order.0 == known_order.0 && order.1 == known_order.1 {
            merge_accusers(&mut known.row, &had_accusers);
        }
        known.since = now;
        Merged::Changed
    }

    /// Adds an accuser to a row and tells whether that changed it.
    pub fn accuse(&mut self, node: &str, accuser: &str, now: Duration) -> bool {
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
        merge_accusers(&mut entry.row, &[accuser.to_string()]) == Merged::Changed
    }

    /// Declares dead the members whose suspicion has lasted and has enough accusers.
    pub fn expire_suspicions(&mut self, now: Duration) -> Vec<NodeId> {
        let others = self.rows().filter(|row| row.health == MemberHealth::Live).count();
        let required = REQUIRED_ACCUSERS.min(others.max(1));
        let mut dead = vec![];
        for (node, entry) in &mut self.rows {
            let is_due = now.saturating_sub(entry.since) >= SUSPICION_TIMEOUT;
            let is_suspect = entry.row.health == MemberHealth::Suspect;
            if is_suspect && is_due && entry.row.accusers.len() >= required {
                entry.row.health = MemberHealth::Dead;
                entry.since = now;
                dead.push(node.clone());
                self.changes += 1;
            }
        }
        dead
    }

    /// Drops rows that have been dead for long, and returns their nodes.
    pub fn prune(&mut self, now: Duration) -> Vec<NodeId> {
        let is_old = |entry: &TableRow| {
            let is_dead = entry.row.health == MemberHealth::Dead;
            is_dead && now.saturating_sub(entry.since) > DEAD_ROW_KEPT
        };
        let old: Vec<NodeId> =
            self.rows.iter().filter(|(_, e)| is_old(e)).map(|(n, _)| n.clone()).collect();
        for node in &old {
            self.changes += 1;
            self.rows.remove(node);
        }
        old
    }

    /// Renews this node's row, so that it replaces every row that others hold of it.
    pub fn renew_own(&mut self, change: impl FnOnce(&mut MemberRow)) {
        let Some(entry) = self.rows.get_mut(&self.own) else { return };
        entry.row.refutation += 1;
        self.changes += 1;
        change(&mut entry.row);
    }

    /// Raises the counter of this node's data centre; a relay does so.
    pub fn beat(&mut self, now: Duration) {
        let data_centre = self.own().data_centre.clone();
        // After a restart of all its relays the counter goes on above what others remember, since
        // an incarnation is in milliseconds and beats come more slowly.
        let first = self.own().incarnation;
        let beat = self.beats.entry(data_centre).or_insert(Beat { count: 0, advanced_at: now });
        beat.count = first.max(beat.count + 1);
        beat.advanced_at = now;
    }

    /// Takes in counters of data centres.
    pub fn merge_beats(&mut self, beats: &[DataCentreBeat], now: Duration) {
        for received in beats {
            let is_known = self.rows().any(|row| row.data_centre == received.data_centre);
            if !is_known {
                continue;
            }
            let beat = self.beats.entry(received.data_centre.clone());
            let beat = beat.or_insert(Beat { count: 0, advanced_at: now });
            if received.count > beat.count {
                beat.count = received.count;
                beat.advanced_at = now;
            }
        }
    }

    /// Returns the counters that advanced lately.
    pub fn recent_beats(&self, now: Duration) -> Vec<DataCentreBeat> {
        self.beats
            .iter()
            .filter(|(_, beat)| now.saturating_sub(beat.advanced_at) < DATA_CENTRE_SUSPECT_AFTER)
            .map(|(id, beat)| DataCentreBeat { data_centre: id.clone(), count: beat.count })
            .collect()
    }

    /// Restarts the silence of all data centres; called after a pause of this process.
    pub fn forgive_silence(&mut self, now: Duration) {
        for beat in self.beats.values_mut() {
            beat.advanced_at = now;
        }
        for entry in self.rows.values_mut() {
            if entry.row.health == MemberHealth::Suspect {
                entry.since = now;
            }
        }
    }

    /// Returns how long a data centre has been silent; this node's own never is.
    pub fn silence(&self, data_centre: &str, now: Duration) -> Duration {
        if data_centre == self.own().data_centre {
            return Duration::ZERO;
        }
        let beat = self.beats.get(data_centre);
        beat.map_or(Duration::ZERO, |beat| now.saturating_sub(beat.advanced_at))
    }

    /// Returns the data centres of all rows.
    pub fn data_centres(&self) -> Vec<DataCentreId> {
        let ids: std::collections::BTreeSet<&String> =
            self.rows().map(|row| &row.data_centre).collect();
        ids.into_iter().cloned().collect()
    }

    /// Returns the versions of all rows.
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

    /// Returns the rows that are newer than these stamps.
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

    /// Returns a hash of the rows that are not dead, equal at nodes that know the same.
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

    /// Returns the members as the other parts of the node see them.
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

    fn merge_own(&mut self, row: &MemberRow, now: Duration) -> Merged {
        let Some(entry) = self.rows.get_mut(&self.own) else { return Merged::Known };
        let own = &mut entry.row;
        // A row of a later incarnation exists when the calendar was set back across a restart.
        let is_ahead = (row.incarnation, row.refutation) > (own.incarnation, own.refutation);
        let is_same = (row.incarnation, row.refutation) == (own.incarnation, own.refutation);
        let is_slander = is_same && row.health > own.health;
        if !is_ahead && !is_slander {
            return Merged::Known;
        }
        own.incarnation = row.incarnation.max(own.incarnation);
        own.refutation = row.refutation + 1;
        entry.since = now;
        Merged::Refuted
    }
}

fn merge_accusers(row: &mut MemberRow, accusers: &[NodeId]) -> Merged {
    let mut merged = Merged::Known;
    for accuser in accusers {
        let has_room = row.accusers.len() < MAX_ACCUSERS;
        if has_room && *accuser != row.node && !row.accusers.contains(accuser) {
            row.accusers.push(accuser.clone());
            merged = Merged::Changed;
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
