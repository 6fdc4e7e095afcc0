//! What goes into a replica and what comes out.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::ids::{InstanceId, LogIndex, Term};

use super::{
    membership::{Change, FormationId, Member, MemberKey, MemberRole, Membership},
    message::{Entry, HardState, Message, Payload, Snapshot},
};

/// State that a replica is started from; empty for new storage.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredState {
    /// Term and vote.
    pub hard: HardState,
    /// Newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
}

/// Names a request of the embedding program in the answer to it.
pub type Ticket = u64;

/// Input of a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A message has arrived from an instance.
    Message {
        /// The instance that sent it.
        from: InstanceId,
        /// The message.
        message: Message,
    },
    /// Replicate a command. Answered by [`Effect::Committed`] or [`Effect::Rejected`].
    Propose {
        /// Names the request.
        ticket: Ticket,
        /// The command.
        command: Vec<u8>,
    },
    /// Linearizable read. Answered by [`Effect::ReadReady`] or [`Effect::Rejected`].
    Read {
        /// Names the request.
        ticket: Ticket,
    },
    /// Every [`Persist`] up to `sequence` is synced.
    Persisted {
        /// Sequence number of the last synced one.
        sequence: u64,
    },
    /// Change the membership. Answered as a proposal is.
    ChangeMembership {
        /// Names the request.
        ticket: Ticket,
        /// The change.
        change: Change,
    },
    /// Replace the log up to `index` by a snapshot of the applied state. Ignored while a member is
    /// receiving the snapshot before: ask again when the log has grown further.
    Compact {
        /// Last entry that the snapshot covers; at most the last applied one.
        index: LogIndex,
        /// State of the embedding program.
        snapshot: Vec<u8>,
    },
    /// Hand leadership over, as before a graceful shutdown.
    TransferLeadership,
}

/// What storage is to write, in this order: hard state, snapshot, cut, entries.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Persist {
    /// Comes back in [`Event::Persisted`].
    pub sequence: u64,
    /// New term and vote.
    pub hard: Option<HardState>,
    /// New snapshot; the entries that it covers are dropped.
    pub snapshot: Option<Snapshot>,
    /// Drop the entries at and after this index.
    pub cut: Option<LogIndex>,
    /// Entries to append.
    pub entries: Vec<Entry>,
}

/// Why a request was not carried out.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Rejection {
    /// Another replica leads, or none. The request has no effect.
    #[error("this replica is not the leader")]
    NotLeader {
        /// The leader, if known.
        leader: Option<InstanceId>,
    },
    /// Leadership was lost before the answer. A proposal may still commit.
    #[error("leadership was lost; the proposal may still commit")]
    LeadershipLost {
        /// The leader, if known.
        leader: Option<InstanceId>,
    },
    /// The leader is handing over. The request has no effect.
    #[error("leadership is being handed over")]
    TransferPending,
    /// Too many proposals wait. The request has no effect.
    #[error("{limit} proposals wait for their commit")]
    Busy {
        /// The limit.
        limit: usize,
    },
    /// An earlier change of the membership is not committed yet. The request has no effect.
    #[error("an earlier change of the membership is under way")]
    ChangePending,
    /// The change does not fit the membership. The request has no effect.
    #[error("the change does not fit the membership")]
    InvalidChange,
    /// The member to promote lacks committed entries. The request has no effect.
    #[error("{key} has not caught up")]
    NotCaughtUp {
        /// The member.
        key: MemberKey,
    },
}

impl Rejection {
    /// Whether the request certainly has no effect, now or later.
    pub fn is_final(&self) -> bool {
        !matches!(self, Rejection::LeadershipLost { .. })
    }
}

/// The part that a replica plays in its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader or waits for one.
    Follower,
    /// Asks for votes.
    Candidate,
    /// Leads.
    Leader,
}

/// Output of a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Send a message; it may be lost, delayed, repeated or reordered.
    Send {
        /// Receiving instance.
        to: InstanceId,
        /// The message.
        message: Message,
    },
    /// Write and sync, then answer [`Event::Persisted`]. Storage without a disk answers at once.
    Persist(Persist),
    /// Apply a committed command. Commands come once each, in order.
    Apply {
        /// Position of the command.
        index: LogIndex,
        /// Term of the command.
        term: Term,
        /// The command.
        command: Vec<u8>,
    },
    /// The proposal is committed, and applied if it was a command.
    Committed {
        /// Names the request.
        ticket: Ticket,
        /// Position of the entry.
        index: LogIndex,
    },
    /// The request was not carried out.
    Rejected {
        /// Names the request.
        ticket: Ticket,
        /// Why.
        reason: Rejection,
    },
    /// The state as applied now serves the read.
    ReadReady {
        /// Names the request.
        ticket: Ticket,
        /// Entry up to which the read sees the log, at least.
        index: LogIndex,
    },
    /// Replace the applied state by this snapshot's.
    InstallSnapshot {
        /// Last entry that it covers.
        index: LogIndex,
        /// State of the embedding program.
        data: Vec<u8>,
    },
    /// The replica's part has changed.
    RoleChanged {
        /// The new part.
        role: Role,
        /// The term.
        term: Term,
    },
}

impl StoredState {
    /// Takes a batch over, as storage does.
    ///
    /// ```
    /// use medlarlug_core::{ids::Term, replication::{HardState, Persist, StoredState}};
    ///
    /// let hard = HardState { term: Term(3), vote: None };
    /// let mut restored = StoredState::default();
    /// restored.write(Persist { sequence: 1, hard: Some(hard), ..Persist::default() });
    /// assert_eq!(restored.hard.term, Term(3));
    /// ```
    pub fn write(&mut self, batch: Persist) {
        if let Some(hard) = batch.hard {
            self.hard = hard;
        }
        if let Some(snapshot) = batch.snapshot {
            self.entries.retain(|entry| entry.index > snapshot.index);
            self.snapshot = Some(snapshot);
        }
        if let Some(cut) = batch.cut {
            let keep = self.entries.partition_point(|entry| entry.index < cut);
            self.entries.truncate(keep);
        }
        self.entries.extend(batch.entries);
    }

    /// The newest membership that the state holds.
    pub fn membership(&self) -> Option<&Membership> {
        let members = |entry: &Entry| match &entry.payload {
            Payload::Members(_) => true,
            Payload::Command(_) | Payload::Empty => false,
        };
        match self.entries.iter().rfind(|entry| members(entry)).map(|entry| &entry.payload) {
            Some(Payload::Members(members)) => Some(members),
            _ => self.snapshot.as_ref().map(|snapshot| &snapshot.members),
        }
    }

    /// Turns the state of a survivor into a group of its own, for an operator after the loss of a
    /// majority.
    ///
    /// Every entry that the survivor holds becomes committed, acknowledged or not; what it lacks
    /// is lost. The other voters lose their votes; each is let in again once it returns with new
    /// storage. Earlier memberships in the state take the new formation, too: a returning voter that
    /// has received a part of them belongs to the group all the same. `command`, if any, becomes the first command of the new group. Returns `None` if
    /// the state belongs to no group.
    pub fn rebuild(
        mut self,
        member: Member,
        formation: FormationId,
        command: Option<Vec<u8>>,
    ) -> Option<StoredState> {
        let own = member.key.clone();
        let others = self.membership()?.members().iter().filter(|it| it.key != own);
        let others = others.cloned().map(|it| match it.role {
            MemberRole::Learner => it,
            MemberRole::Joining | MemberRole::Voter => Member { role: MemberRole::Joining, ..it },
        });
        let members: Vec<Member> = others.chain([member]).collect();
        let base = self.snapshot.as_ref().map(|snapshot| snapshot.index).unwrap_or_default();
        let last = self.entries.last().map(|entry| entry.index).unwrap_or(base);
        let term = self.hard.term.next();
        let payload = Payload::Members(Membership::new(formation, members));
        self.entries.push(Entry { index: last.next(), term, payload });
        if let Some(command) = command {
            let payload = Payload::Command(command);
            self.entries.push(Entry { index: last.next().next(), term, payload });
        }
        self.hard = HardState { term, vote: None };
        if let Some(snapshot) = &mut self.snapshot {
            snapshot.members.formation = formation;
        }
        for entry in &mut self.entries {
            if let Payload::Members(members) = &mut entry.payload {
                members.formation = formation;
            }
        }
        Some(self)
    }
}
