//! Messages between replicas, and the log entries and snapshots that they carry.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::ids::{InstanceId, LogIndex, Term};

use super::membership::{FormationId, MemberKey, Membership, StorageId};

/// Content of a log entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// No content. A leader appends it first, to commit the entries of earlier terms.
    Empty,
    /// A command of the embedding program. Clones share its bytes.
    Command(Bytes),
    /// Membership that applies from this entry on, before it is committed.
    Members(Membership),
}

impl Payload {
    /// Length of the command in bytes; zero for other payloads.
    pub fn len(&self) -> usize {
        match self {
            Payload::Command(bytes) => bytes.len(),
            Payload::Empty | Payload::Members(_) => 0,
        }
    }

    /// Whether the payload holds no command bytes.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Position in the log, counted from 1.
    pub index: LogIndex,
    /// Term of the leader that appended the entry.
    pub term: Term,
    /// Content.
    pub payload: Payload,
}

/// State of a group after it applied the log up to an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Last entry that the snapshot covers.
    pub index: LogIndex,
    /// Term of that entry.
    pub term: Term,
    /// Membership at that entry.
    pub members: Membership,
    /// Encoded state of the embedding program. Clones share its bytes.
    pub data: Bytes,
}

/// State that a replica has to keep over restarts besides the log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Highest term that the replica has seen.
    pub term: Term,
    /// Candidate that the replica voted for in that term.
    pub vote: Option<MemberKey>,
}

/// A message between two replicas.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Introduction of a replica that has no leader, or a member's answer to it.
    Hello(Hello),
    /// Message between members of a group.
    Group(Envelope),
}

/// Introduction of a replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Instance and storage of the sender.
    pub key: MemberKey,
    /// Whether the sender's storage outlives its process.
    pub durable: bool,
    /// Formation that the sender belongs to; `None` before it belongs to a group.
    pub formation: Option<FormationId>,
    /// Leader that the sender knows.
    pub leader: Option<InstanceId>,
    /// Storage that the receiver named in the last hello that the sender has received. It proves that
    /// this hello was sent after the receiver created that storage.
    pub heard: Option<StorageId>,
    /// Founders that the sender is configured with, sorted.
    pub founders: Vec<InstanceId>,
}

/// Message between members of a group. The transport supplies the instances of sender and receiver.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Formation of the group.
    pub formation: FormationId,
    /// Storage of the sender.
    pub from: StorageId,
    /// Storage of the receiver; the instance ignores the message if its storage is another one.
    pub to: StorageId,
    /// Term of the sender when it created the message.
    pub term: Term,
    /// Content.
    pub body: Body,
}

/// Content of a message between members of a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks whether the receiver would grant a vote in `term`; raises no term.
    PreVote {
        /// Term that the sender would campaign in.
        term: Term,
        /// Last entry of the sender's log.
        last: Position,
    },
    /// Answer to `PreVote`.
    PreVoted {
        /// Term of the request.
        term: Term,
        /// Whether the vote would be granted.
        granted: bool,
    },
    /// Asks for a vote in the envelope's term.
    Vote {
        /// Last entry of the sender's log.
        last: Position,
        /// Whether the leader transferred leadership to the sender. The receiver then considers the
        /// request even if it recently received a message from the leader.
        handover: bool,
    },
    /// Answer to `Vote`.
    Voted {
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Entries after `prev`; a heartbeat carries none.
    Append {
        /// Entry before the first one in `entries`.
        prev: Position,
        /// Consecutive entries, in order.
        entries: Vec<Entry>,
        /// Commit index of the leader.
        commit: LogIndex,
        /// Quorum round of the leader, returned in the answer.
        round: u64,
    },
    /// Answer to `Append` or `Chunk`: the sender's log equals the leader's up to `last` and is synced.
    Appended {
        /// Last entry known to be equal and synced.
        last: LogIndex,
        /// Round of the answered message.
        round: u64,
    },
    /// Answer to `Append`: the sender's log lacks the entry `prev`.
    Refused {
        /// Index of the missing entry.
        prev: LogIndex,
        /// Entry that the leader should send next.
        next: LogIndex,
        /// Round of the answered message.
        round: u64,
    },
    /// Part of a snapshot.
    Chunk {
        /// Last entry of the snapshot.
        at: Position,
        /// Membership at that entry.
        members: Membership,
        /// Offset of `data` in the snapshot, in bytes.
        offset: u64,
        /// Length of the snapshot in bytes.
        total: u64,
        /// Bytes of this part.
        data: Bytes,
        /// Quorum round of the leader, returned in the answer.
        round: u64,
    },
    /// Answer to `Chunk`: how much of the snapshot the sender has received.
    Received {
        /// Last entry of the snapshot.
        index: LogIndex,
        /// Length of the received prefix in bytes.
        offset: u64,
        /// Round of the answered message.
        round: u64,
    },
    /// Transfers leadership to the receiver, which campaigns immediately.
    Campaign,
}

/// Term and index of an entry. The order is by term first, which is how votes compare logs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Position {
    /// Term of the entry.
    pub term: Term,
    /// Index of the entry.
    pub index: LogIndex,
}
