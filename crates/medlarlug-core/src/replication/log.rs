//! The log in memory: entries after the newest snapshot, and the memberships within it.

use crate::ids::{LogIndex, Term};

use super::{
    event::StoredState,
    membership::{MemberKey, Membership},
    message::{Entry, Payload, Position, Snapshot},
};

/// The log of one replica.
#[derive(Debug)]
pub(super) struct Log {
    snapshot: Option<Snapshot>,
    entries: Vec<Entry>,
    /// Memberships by the index that they hold from, ascending.
    memberships: Vec<(LogIndex, Membership)>,
}

impl Log {
    pub(super) fn new(restored: StoredState) -> Log {
        let mut log = Log { snapshot: None, entries: Vec::new(), memberships: Vec::new() };
        if let Some(snapshot) = restored.snapshot {
            log.memberships.push((snapshot.index, snapshot.members.clone()));
            log.snapshot = Some(snapshot);
        }
        for entry in restored.entries {
            log.append(entry);
        }
        log
    }

    /// The entry that the newest snapshot ends with.
    pub(super) fn snapshot_position(&self) -> Position {
        let position =
            |snapshot: &Snapshot| Position { term: snapshot.term, index: snapshot.index };
        self.snapshot.as_ref().map(position).unwrap_or_default()
    }

    pub(super) fn snapshot(&self) -> Option<&Snapshot> {
        self.snapshot.as_ref()
    }

    pub(super) fn last(&self) -> Position {
        match self.entries.last() {
            Some(entry) => Position { term: entry.term, index: entry.index },
            None => self.snapshot_position(),
        }
    }

    /// Term of the entry at `index`; `None` if the log lacks it or has compacted it.
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

    /// Entries from `index` on, up to `bytes` of payload but at least one.
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
        self.entries.push(entry);
    }

    /// Drops the entries at and after `index`.
    pub(super) fn truncate_from(&mut self, index: LogIndex) {
        let keep = index.0.saturating_sub(self.snapshot_position().index.0 + 1) as usize;
        self.entries.truncate(keep);
        self.memberships.retain(|(from, _)| *from < index);
    }

    /// The first entry of the term that the entry at `index` belongs to.
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

    /// The newest membership.
    pub(super) fn membership(&self) -> Option<&Membership> {
        self.memberships.last().map(|(_, members)| members)
    }

    /// Index of the entry that holds the newest membership.
    pub(super) fn membership_index(&self) -> LogIndex {
        self.memberships.last().map(|(index, _)| *index).unwrap_or_default()
    }

    /// Whether `key` has a vote in the membership in force at `commit` or in a later one.
    pub(super) fn is_voter_since(&self, commit: LogIndex, key: &MemberKey) -> bool {
        let count = self.memberships.partition_point(|(from, _)| *from <= commit);
        let since = &self.memberships[count.saturating_sub(1)..];
        since.iter().any(|(_, members)| members.is_voter(key))
    }

    fn membership_at(&self, index: LogIndex) -> Option<&Membership> {
        let count = self.memberships.partition_point(|(from, _)| *from <= index);
        self.memberships[..count].last().map(|(_, members)| members)
    }

    /// Replaces the entries up to `index` by a snapshot and returns it.
    pub(super) fn compact(&mut self, index: LogIndex, data: Vec<u8>) -> Option<Snapshot> {
        if index <= self.snapshot_position().index {
            return None;
        }
        let term = self.term_at(index)?;
        let members = self.membership_at(index)?.clone();
        let snapshot = Snapshot { index, term, members, data };
        self.discard_covered(snapshot.clone());
        Some(snapshot)
    }

    /// Takes over a leader's snapshot. Returns whether entries after it were dropped.
    pub(super) fn install(&mut self, snapshot: Snapshot) -> bool {
        let is_prefix = self.term_at(snapshot.index) == Some(snapshot.term);
        if is_prefix {
            self.discard_covered(snapshot);
            return false;
        }
        self.entries.clear();
        self.memberships = vec![(snapshot.index, snapshot.members.clone())];
        self.snapshot = Some(snapshot);
        true
    }

    fn discard_covered(&mut self, snapshot: Snapshot) {
        let count = (snapshot.index.0 - self.snapshot_position().index.0) as usize;
        self.entries.drain(..count);
        self.memberships.retain(|(from, _)| *from > snapshot.index);
        self.memberships.insert(0, (snapshot.index, snapshot.members.clone()));
        self.snapshot = Some(snapshot);
    }
}

/// Bytes that an entry takes in a message besides its payload.
const ENTRY_OVERHEAD_BYTES: usize = 24;
