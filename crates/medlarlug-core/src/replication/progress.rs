//! A leader's view of one member's log.

use std::collections::VecDeque;

use crate::{ids::LogIndex, time::Time};

use super::membership::MemberKey;

/// How the leader replicates to a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Mode {
    /// One append at a time, until a common entry of both logs is found.
    Probe {
        /// Whether an append is unanswered; reset by the next heartbeat.
        is_in_flight: bool,
    },
    /// Appends are sent without waiting for earlier answers.
    Stream,
    /// A snapshot is being sent.
    Snapshot {
        /// Last entry of the snapshot.
        index: LogIndex,
        /// Bytes that the member has confirmed.
        offset: u64,
    },
}

/// An append message that the member has not acknowledged.
#[derive(Debug, Clone, Copy)]
pub(super) struct SentAppend {
    /// Last entry of the message.
    pub(super) last: LogIndex,
    /// Payload of its entries, in bytes.
    pub(super) bytes: usize,
}

/// A leader's view of one member's log.
#[derive(Debug)]
pub(super) struct Progress {
    pub(super) key: MemberKey,
    /// Last entry known to be equal to the leader's and synced.
    pub(super) match_index: LogIndex,
    /// Next entry to send.
    pub(super) next_index: LogIndex,
    /// Appends in flight, in the order sent.
    pub(super) inflight: VecDeque<SentAppend>,
    pub(super) mode: Mode,
    /// When the leader last received a message from the member.
    pub(super) last_contact: Time,
    /// Whether the member has answered in this term.
    pub(super) has_answered: bool,
    /// Last quorum round that the member has confirmed.
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

    /// Payload of the appends in flight, in bytes.
    pub(super) fn inflight_bytes(&self) -> usize {
        self.inflight.iter().map(|sent| sent.bytes).sum()
    }

    pub(super) fn record_contact(&mut self, round: u64, now: Time) {
        self.last_contact = now;
        self.has_answered = true;
        self.confirmed_round = self.confirmed_round.max(round);
    }

    /// Records that the member holds the leader's log up to `last`.
    pub(super) fn record_match(&mut self, last: LogIndex) {
        self.match_index = self.match_index.max(last);
        self.next_index = self.next_index.max(last.next());
        while self.inflight.front().is_some_and(|sent| sent.last <= last) {
            self.inflight.pop_front();
        }
        match self.mode {
            Mode::Snapshot { index, .. } if last < index => {}
            _ => self.mode = Mode::Stream,
        }
    }

    /// Records that the member lacks `prev` and proposes to continue at `next`. Returns `false` if the
    /// answer is outdated.
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
