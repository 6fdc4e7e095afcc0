//! What a leader knows of one member's log.

use std::collections::VecDeque;

use crate::{ids::LogIndex, time::Time};

use super::membership::MemberKey;

/// How a member is being supplied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Mode {
    /// One append at a time, until the logs are known to agree.
    Probe {
        /// Whether an append is under way.
        is_in_flight: bool,
    },
    /// Appends follow each other without waiting.
    Stream,
    /// A snapshot is under way.
    Snapshot {
        /// Last entry of the snapshot.
        index: LogIndex,
        /// Bytes that the member has confirmed.
        offset: u64,
    },
}

/// What a leader knows of one member's log.
#[derive(Debug)]
pub(super) struct Progress {
    pub(super) key: MemberKey,
    /// Last entry that is known to be equal and synced.
    pub(super) match_index: LogIndex,
    /// Next entry to send.
    pub(super) next_index: LogIndex,
    /// Last entries of the appends under way.
    pub(super) inflight: VecDeque<LogIndex>,
    pub(super) mode: Mode,
    /// When the member was last heard.
    pub(super) last_contact: Time,
    /// Whether the member has answered at all in this term.
    pub(super) has_answered: bool,
    /// Newest quorum round that the member has confirmed.
    pub(super) confirmed_round: u64,
}

impl Progress {
    pub(super) fn new(key: MemberKey, last: LogIndex, now: Time) -> Progress {
        Progress {
            key,
            match_index: LogIndex(0),
            next_index: last.next(),
            inflight: VecDeque::new(),
            mode: Mode::Probe { is_in_flight: false },
            last_contact: now,
            has_answered: false,
            confirmed_round: 0,
        }
    }

    /// Notes that the member was heard.
    pub(super) fn record_contact(&mut self, round: u64, now: Time) {
        self.last_contact = now;
        self.has_answered = true;
        self.confirmed_round = self.confirmed_round.max(round);
    }

    /// The member holds the log up to `last`.
    pub(super) fn record_match(&mut self, last: LogIndex) {
        self.match_index = self.match_index.max(last);
        self.next_index = self.next_index.max(last.next());
        while self.inflight.front().is_some_and(|sent| *sent <= last) {
            self.inflight.pop_front();
        }
        match self.mode {
            Mode::Snapshot { index, .. } if last < index => {}
            _ => self.mode = Mode::Stream,
        }
    }

    /// The member lacks `prev` and proposes to go on at `next`. Returns whether that is news.
    pub(super) fn record_mismatch(&mut self, prev: LogIndex, next: LogIndex) -> bool {
        let is_stale = match self.mode {
            Mode::Probe { .. } => prev.next() != self.next_index,
            Mode::Stream => false,
            Mode::Snapshot { .. } => true,
        };
        if is_stale || prev <= self.match_index {
            return false;
        }
        self.next_index = next.min(prev).max(self.match_index.next());
        self.inflight.clear();
        self.mode = Mode::Probe { is_in_flight: false };
        true
    }
}
