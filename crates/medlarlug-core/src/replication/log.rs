//! The in-memory log: the newest snapshot, the entries after it and the memberships that they hold.

use bytes::Bytes;

use crate::ids::{LogIndex, Term};

use super::{
    event::StoredState,
    membership::{MemberKey, Membership},
    message::{Entry, Payload, Position, Snapshot},
};

#[derive(Debug)]
pub(super) struct Log {
    snapshot: Option<Snapshot>,
    entries: Vec<Entry>,
    /// Payload of `entries`, in bytes.
    bytes: usize,
    /// Memberships with the index from which each applies, ascending.
    memberships: Vec<(LogIndex, Membership)>,
}

impl Log {
    pub(super) fn new(restored: StoredState) -> Log {
        let mut log =
            Log { snapshot: None, entries: Vec::new(), bytes: 0, memberships: Vec::new() };
        if let Some(snapshot) = restored.snapshot {
            log.memberships.push((snapshot.index, snapshot.members.clone()));
            log.snapshot = Some(snapshot);
        }
        for entry in restored.entries {
            log.append(entry);
        }
        log
    }

    /// Last entry that the newest snapshot covers; the default position without a snapshot.
    pub(super) fn snapshot_position(&self) -> Position {
        let position =
            |snapshot: &Snapshot| Position { term: snapshot.term, index: snapshot.index };
        self.snapshot.as_ref().map(position).unwrap_or_default()
    }

    pub(super) fn snapshot(&self) -> Option<&Snapshot> {
        self.snapshot.as_ref()
    }

    /// Payload of the entries after the snapshot, in bytes.
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    pub(super) fn last(&self) -> Position {
        match self.entries.last() {
            Some(entry) => Position { term: entry.term, index: entry.index },
            None => self.snapshot_position(),
        }
    }

    /// Term of the entry at `index`; `None` if the log lacks the entry or a snapshot replaced it.
    pub(super) fn term_at(&self, index: LogIndex) -> Option<Term> {
        let base = self.snapshot_position();
        if index == base.index {
            return Some(base.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    pub(super) fn get(&self, index: LogIndex) -> Option<&Entry> {
        let offset = index.0.checked_sub(self.snapshot_position().index.0 + 1)?;
        self.entries.get(offset as usize)
    }

    /// Entries from `index` on, limited to `bytes` in a message but at least one.
    pub(super) fn entries_from(&self, index: LogIndex, bytes: usize) -> Vec<Entry> {
        let start = index.0.saturating_sub(self.snapshot_position().index.0 + 1) as usize;
        let mut total = 0;
        let mut batch = Vec::new();
        for entry in self.entries.iter().skip(start) {
            total += entry.payload.len() + ENTRY_OVERHEAD_BYTES;
            if !batch.is_empty() && total > bytes {
                break;
            }
            batch.push(entry.clone());
        }
        batch
    }

    pub(super) fn append(&mut self, entry: Entry) {
        if let Payload::Members(members) = &entry.payload {
            self.memberships.push((entry.index, members.clone()));
        }
        self.bytes += entry.payload.len();
        self.entries.push(entry);
    }

    /// Drops the entries at and after `index`, with the memberships that they hold.
    pub(super) fn truncate_from(&mut self, index: LogIndex) {
        let keep = index.0.saturating_sub(self.snapshot_position().index.0 + 1) as usize;
        self.bytes -= payload_bytes(&self.entries[keep.min(self.entries.len())..]);
        self.entries.truncate(keep);
        self.memberships.retain(|(from, _)| *from < index);
    }

    /// First entry after the snapshot with the same term as the entry at `index`.
    pub(super) fn term_start(&self, index: LogIndex) -> LogIndex {
        let term = self.term_at(index);
        let mut first = index;
        while first.0 > self.snapshot_position().index.0 + 1
            && self.term_at(LogIndex(first.0 - 1)) == term
        {
            first = LogIndex(first.0 - 1);
        }
        first
    }

    /// Newest membership in the log, committed or not.
    pub(super) fn membership(&self) -> Option<&Membership> {
        self.memberships.last().map(|(_, members)| members)
    }

    /// Index of the entry or snapshot that holds the newest membership.
    pub(super) fn membership_index(&self) -> LogIndex {
        self.memberships.last().map(|(index, _)| *index).unwrap_or_default()
    }

    /// Whether `key` has a vote in the membership that applies at `commit` or in a later one.
    pub(super) fn is_voter_since(&self, commit: LogIndex, key: &MemberKey) -> bool {
        let count = self.memberships.partition_point(|(from, _)| *from <= commit);
        let since = &self.memberships[count.saturating_sub(1)..];
        since.iter().any(|(_, members)| members.is_voter(key))
    }

    fn membership_at(&self, index: LogIndex) -> Option<&Membership> {
        let count = self.memberships.partition_point(|(from, _)| *from <= index);
        self.memberships[..count].last().map(|(_, members)| members)
    }

    /// Replaces the entries up to `index` by a snapshot and returns it. Returns `None` if a snapshot
    /// covers `index` already, or if the log lacks it.
    pub(super) fn compact(&mut self, index: LogIndex, data: Bytes) -> Option<Snapshot> {
        if index <= self.snapshot_position().index {
            return None;
        }
        let term = self.term_at(index)?;
        let members = self.membership_at(index)?.clone();
        let snapshot = Snapshot { index, term, members, data };
        self.discard_covered(snapshot.clone());
        Some(snapshot)
    }

    /// Installs a leader's snapshot. Returns `true` if the log did not contain the snapshot's last entry
    /// and all entries were dropped.
    pub(super) fn install(&mut self, snapshot: Snapshot) -> bool {
        let is_prefix = self.term_at(snapshot.index) == Some(snapshot.term);
        if is_prefix {
            self.discard_covered(snapshot);
            return false;
        }
        self.entries.clear();
        self.bytes = 0;
        self.memberships = vec![(snapshot.index, snapshot.members.clone())];
        self.snapshot = Some(snapshot);
        true
    }

    fn discard_covered(&mut self, snapshot: Snapshot) {
        let count = (snapshot.index.0 - self.snapshot_position().index.0) as usize;
        self.bytes -= payload_bytes(&self.entries[..count]);
        self.entries.drain(..count);
        // The capacity follows the length, which has been large after a restart with a long log.
        self.entries.shrink_to(2 * self.entries.len());
        self.memberships.retain(|(from, _)| *from > snapshot.index);
        self.memberships.insert(0, (snapshot.index, snapshot.members.clone()));
        self.snapshot = Some(snapshot);
    }
}

fn payload_bytes(entries: &[Entry]) -> usize {
    entries.iter().map(|entry| entry.payload.len()).sum()
}

/// Encoded size of an entry in a message without its payload.
const ENTRY_OVERHEAD_BYTES: usize = 24;
