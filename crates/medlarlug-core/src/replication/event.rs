//! Events that a replica handles and effects that it requests.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::ids::{InstanceId, LogIndex, Term};

use super::{
    membership::{Change, FormationId, Member, MemberKey, MemberRole, Membership},
    message::{Entry, HardState, Message, Payload, Snapshot},
};

/// State that a replica is started from, as storage holds it; empty for new storage.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredState {
    /// Term and vote.
    pub hard: HardState,
    /// Newest snapshot, if one has been taken.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
}

/// Correlates a request of the embedding program with its answer; chosen by the program.
pub type Ticket = u64;

/// Input of a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Time has passed. Sent at regular intervals shorter than the heartbeat interval.
    Tick,
    /// A message has been received.
    Message {
        /// Instance that sent the message.
        from: InstanceId,
        /// Message as the sender's [`Effect::Send`] carried it.
        message: Message,
    },
    /// Replicates a command. Answered by [`Effect::Committed`] or [`Effect::Rejected`].
    Propose {
        /// Returned in the answer.
        ticket: Ticket,
        /// Encoded command, opaque to the replica; returned by [`Effect::Apply`].
        command: Bytes,
    },
    /// Linearizable read. Answered by [`Effect::ReadReady`] or [`Effect::Rejected`].
    Read {
        /// Returned in the answer.
        ticket: Ticket,
    },
    /// Storage has synced every [`Persist`] batch up to `sequence`.
    Persisted {
        /// Sequence number of the last synced batch.
        sequence: u64,
    },
    /// Changes the membership. Answered as [`Event::Propose`] is.
    ChangeMembership {
        /// Returned in the answer.
        ticket: Ticket,
        /// Member to add, promote or remove.
        change: Change,
    },
    /// Replaces the log up to `index` by a snapshot of the applied state. Ignored unless
    /// [`Replica::can_compact`](super::Replica::can_compact).
    Compact {
        /// Last entry that the snapshot covers; at most the last applied one.
        index: LogIndex,
        /// Encoded state of the embedding program.
        snapshot: Bytes,
    },
    /// Transfers leadership to the voter with the most complete log, as before a graceful shutdown.
    TransferLeadership,
}

/// Batch for storage, which writes it in this order: hard state, snapshot, cut, entries.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Persist {
    /// Returned in [`Event::Persisted`].
    pub sequence: u64,
    /// New term and vote, if they changed.
    pub hard: Option<HardState>,
    /// New snapshot; storage drops the entries that it covers.
    pub snapshot: Option<Snapshot>,
    /// Storage drops the entries at and after this index.
    pub cut: Option<LogIndex>,
    /// Entries that storage appends.
    pub entries: Vec<Entry>,
}

impl Persist {
    /// Length of the commands and of the snapshot in the batch, in bytes.
    pub fn payload_bytes(&self) -> usize {
        payload_bytes(self.snapshot.as_ref(), &self.entries)
    }
}

fn payload_bytes(snapshot: Option<&Snapshot>, entries: &[Entry]) -> usize {
    let commands: usize = entries.iter().map(|entry| entry.payload.len()).sum();
    snapshot.map_or(0, |snapshot| snapshot.data.len()) + commands
}

/// Reason for which a request was not carried out.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Rejection {
    /// This replica is not the leader. The request has no effect.
    #[error("this replica is not the leader")]
    NotLeader {
        /// The leader, if known.
        leader: Option<InstanceId>,
    },
    /// The replica lost leadership before it answered. The proposal may still be committed.
    #[error("leadership was lost before the answer; the proposal may still be committed")]
    LeadershipLost {
        /// The leader, if known.
        leader: Option<InstanceId>,
    },
    /// A leadership transfer is in progress. The request has no effect.
    #[error("a leadership transfer is in progress")]
    TransferPending,
    /// Too many proposals are uncommitted. The request has no effect.
    #[error("the limit of {limit} uncommitted proposals is reached")]
    Busy {
        /// Limit set by [`Config::max_proposals`](super::Config::max_proposals).
        limit: usize,
    },
    /// The log holds too many bytes that could not be compacted yet. The request has no effect.
    #[error("the log has reached its limit of {limit} bytes")]
    LogFull {
        /// Limit set by [`Config::max_log_bytes`](super::Config::max_log_bytes).
        limit: usize,
    },
    /// An earlier membership change is not committed yet. The request has no effect.
    #[error("an earlier membership change is not committed yet")]
    ChangePending,
    /// The change cannot be applied to the current membership. The request has no effect.
    #[error("the change cannot be applied to the current membership")]
    InvalidChange,
    /// The member to promote has not answered recently or lacks entries that a majority holds. The
    /// request has no effect.
    #[error("member {key} has not caught up with the log")]
    NotCaughtUp {
        /// Member to promote.
        key: MemberKey,
    },
}

impl Rejection {
    /// Whether the request certainly has no effect, now or later, so that it can be sent again.
    pub fn is_final(&self) -> bool {
        !matches!(self, Rejection::LeadershipLost { .. })
    }
}

/// Role of a replica in its group, as visible from outside.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader, waits for one or asks for pre-votes.
    Follower,
    /// Asks for votes in its term.
    Candidate,
    /// Accepts proposals and replicates them.
    Leader,
}

/// Action that a replica requests from the embedding program.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Sends a message. It may be lost, delayed, duplicated or reordered.
    Send {
        /// Receiving instance.
        to: InstanceId,
        /// Passed to the receiving replica as [`Event::Message`].
        message: Message,
    },
    /// Writes and syncs a batch, answered by [`Event::Persisted`]. Storage without a disk answers
    /// immediately.
    Persist(Persist),
    /// Applies a committed command. Each command is requested once, in log order.
    Apply {
        /// Entry that holds the command.
        index: LogIndex,
        /// Term of that entry.
        term: Term,
        /// Bytes of an [`Event::Propose`] of this or another replica.
        command: Bytes,
    },
    /// The proposal is committed and, if it was a command, applied by an earlier effect.
    Committed {
        /// Ticket of the request.
        ticket: Ticket,
        /// Entry that holds the proposal.
        index: LogIndex,
    },
    /// The request was not carried out.
    Rejected {
        /// Ticket of the request.
        ticket: Ticket,
        /// Reason.
        reason: Rejection,
    },
    /// The read may be answered from the state applied so far.
    ReadReady {
        /// Ticket of the request.
        ticket: Ticket,
        /// Entry up to which the applied state reaches at least.
        index: LogIndex,
    },
    /// Replaces the applied state by that of a snapshot.
    InstallSnapshot {
        /// Last entry that the snapshot covers.
        index: LogIndex,
        /// Encoded state of the embedding program.
        data: Bytes,
    },
    /// The role of the replica has changed.
    RoleChanged {
        /// New role.
        role: Role,
        /// Term in which the replica takes the role.
        term: Term,
    },
}

impl StoredState {
    /// Applies a batch in the way that storage does.
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

    /// Length of the commands and of the snapshot, in bytes.
    pub fn payload_bytes(&self) -> usize {
        payload_bytes(self.snapshot.as_ref(), &self.entries)
    }

    /// Newest membership in the log or, failing that, in the snapshot.
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

    /// Turns the state of a survivor into a new group with `member` as its only voter. An operator
    /// orders this after the loss of a majority.
    ///
    /// Every entry that the survivor holds becomes committed, whether or not it was acknowledged;
    /// entries that it lacks are lost. The other voters lose their votes, and each is readmitted once
    /// it returns with new storage. Earlier memberships in the state get the new formation as well, so
    /// that a returning voter belongs to the new group even if it has received only some of them.
    /// `command`, if any, becomes the first command of the new group. Returns `None` if the state
    /// belongs to no group.
    pub fn rebuild(
        mut self,
        member: Member,
        formation: FormationId,
        command: Option<Bytes>,
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
