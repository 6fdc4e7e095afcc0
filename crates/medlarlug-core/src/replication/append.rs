//! Replication of entries, on the leader and on the follower.

use crate::{ids::LogIndex, time::Time};

use super::{
    event::Effect,
    leader::Leader,
    membership::{FormationId, MemberKey},
    message::{Body, Entry, Position},
    progress::{Mode, Progress, SentAppend},
    replica::{Replica, State},
};

impl Replica {
    pub(super) fn on_append(
        &mut self,
        requester: (MemberKey, FormationId),
        prev: Position,
        entries: Vec<Entry>,
        (commit, round): (LogIndex, u64),
        out: &mut Vec<Effect>,
    ) {
        let is_prefix = prev.index <= self.commit;
        if !is_prefix && self.log.term_at(prev.index) != Some(prev.term) {
            let next = self.next_index_after_mismatch(prev.index);
            let body = Body::Refused { prev: prev.index, next, round };
            let answer = self.envelope(requester.0, requester.1, body);
            return self.send(answer, out);
        }
        let last = LogIndex(prev.index.0 + entries.len() as u64);
        for entry in entries {
            self.store_entry(entry);
        }
        self.commit = self.commit.max(commit.min(last));
        self.acknowledge(requester, last, round, out);
    }

    fn store_entry(&mut self, entry: Entry) {
        if entry.index <= self.commit || self.log.term_at(entry.index) == Some(entry.term) {
            return;
        }
        if entry.index <= self.log.last().index {
            self.truncate_from(entry.index);
        }
        self.log.append(entry.clone());
        self.dirty.entries.push(entry);
    }

    /// Entry that the leader should send next after it sent entries that follow the missing entry `prev`.
    fn next_index_after_mismatch(&self, prev: LogIndex) -> LogIndex {
        let last = self.log.last().index;
        let next = if prev > last { last.next() } else { self.log.term_start(prev) };
        next.max(self.commit.next())
    }

    /// Acknowledges the log up to `last`: the synced part immediately, the rest after its sync.
    pub(super) fn acknowledge(
        &mut self,
        requester: (MemberKey, FormationId),
        last: LogIndex,
        round: u64,
        out: &mut Vec<Effect>,
    ) {
        if self.is_hard_state_synced() {
            let body = Body::Appended { last: last.min(self.synced), round };
            let answer = self.envelope(requester.0.clone(), requester.1, body);
            self.send(answer, out);
            if last <= self.synced {
                return;
            }
        }
        let answer = self.envelope(requester.0, requester.1, Body::Appended { last, round });
        self.send_after_sync(answer, out);
    }

    pub(super) fn on_appended(&mut self, from: &MemberKey, last: LogIndex, round: u64, now: Time) {
        if let State::Leader(leader) = &mut self.state
            && let Some(progress) = leader.progress_mut(from)
        {
            progress.record_contact(round, now);
            progress.record_match(last);
        }
    }

    pub(super) fn on_refused(
        &mut self,
        from: &MemberKey,
        (prev, next): (LogIndex, LogIndex),
        round: u64,
        now: Time,
    ) {
        if let State::Leader(leader) = &mut self.state
            && let Some(progress) = leader.progress_mut(from)
        {
            progress.record_contact(round, now);
            progress.record_mismatch(prev, next);
        }
    }

    /// Sends each member the entries that its window allows.
    pub(super) fn replicate_to_all(&mut self, now: Time, out: &mut Vec<Effect>) {
        self.with_leader(|replica, leader| {
            for progress in &mut leader.progress {
                replica.replicate_to(progress, leader.round, now, out);
            }
        });
    }

    fn replicate_to(&self, progress: &mut Progress, round: u64, now: Time, out: &mut Vec<Effect>) {
        loop {
            let is_due = match progress.mode {
                Mode::Probe { is_in_flight } => !is_in_flight,
                Mode::Stream => {
                    let has_room = progress.inflight.len() < self.config.max_inflight
                        && progress.inflight_bytes() < self.config.max_inflight_bytes;
                    has_room && progress.next_index <= self.log.last().index
                }
                Mode::Snapshot { .. } => false,
            };
            if !is_due {
                return;
            }
            let prev = LogIndex(progress.next_index.0 - 1);
            if self.log.term_at(prev).is_none() {
                self.begin_snapshot(progress, now);
                return self.send_chunk(progress, round, out);
            }
            let entries = self.log.entries_from(progress.next_index, self.config.batch_bytes);
            let last = LogIndex(prev.0 + entries.len() as u64);
            let bytes = entries.iter().map(|entry| entry.payload.len()).sum();
            self.send_append(progress, prev, entries, round, out);
            match &mut progress.mode {
                Mode::Probe { is_in_flight } => *is_in_flight = true,
                Mode::Stream => {
                    progress.inflight.push_back(SentAppend { last, bytes });
                    progress.next_index = last.next();
                }
                Mode::Snapshot { .. } => {}
            }
        }
    }

    fn send_append(
        &self,
        progress: &Progress,
        prev: LogIndex,
        entries: Vec<Entry>,
        round: u64,
        out: &mut Vec<Effect>,
    ) {
        let (Some(formation), Some(term)) = (self.formation(), self.log.term_at(prev)) else {
            return;
        };
        let prev = Position { term, index: prev };
        let body = Body::Append { prev, entries, commit: self.commit, round };
        self.send(self.envelope(progress.key.clone(), formation, body), out);
    }

    /// Sends each member a message that requires an answer. In probe mode, it permits the next append.
    pub(super) fn send_heartbeats(&mut self, leader: &mut Leader, out: &mut Vec<Effect>) {
        for progress in &mut leader.progress {
            match &mut progress.mode {
                Mode::Probe { is_in_flight } => *is_in_flight = false,
                Mode::Stream => {
                    let prev = LogIndex(progress.next_index.0 - 1);
                    if self.log.term_at(prev).is_none() {
                        progress.mode = Mode::Probe { is_in_flight: false };
                        continue;
                    }
                    self.send_append(progress, prev, Vec::new(), leader.round, out);
                }
                Mode::Snapshot { .. } => self.send_chunk(progress, leader.round, out),
            }
        }
    }
}
