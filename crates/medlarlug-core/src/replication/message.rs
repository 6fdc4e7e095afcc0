//! Messages between replicas and the records that they carry.

use serde::{Deserialize, Serialize};

use crate::ids::{InstanceId, LogIndex, Term};

use super::membership::{FormationId, MemberKey, Membership, StorageId};

/// What a log entry holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing: the first entry of a leader.
    Empty,
    /// A command of the embedding program.
    Command(Vec<u8>),
    /// The membership from this entry on.
    Members(Membership),
}

impl Payload {
    /// Length of the command in bytes.
    pub fn len(&self) -> usize {
        match self {
            Payload::Command(bytes) => bytes.len(),
            Payload::Empty | Payload::Members(_) => 0,
        }
    }

    /// Whether the payload holds no command byte.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Position in the log.
    pub index: LogIndex,
    /// Term of the leader that wrote it.
    pub term: Term,
    /// What it holds.
    pub payload: Payload,
}

/// The state up to an entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Last entry that the snapshot covers.
    pub index: LogIndex,
    /// Term of that entry.
    pub term: Term,
    /// Membership at that entry.
    pub members: Membership,
    /// State of the embedding program.
    pub data: Vec<u8>,
}

/// What a replica must not forget besides the log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Highest term seen.
    pub term: Term,
    /// Candidate that got the vote in that term.
    pub vote: Option<MemberKey>,
}

/// A message between two replicas.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A replica without a group tells of itself, or a member answers that it has one.
    Hello(Hello),
    /// A message within a group.
    Group(Envelope),
}

/// How a replica introduces itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Sender.
    pub key: MemberKey,
    /// Whether the sender's storage outlives its process.
    pub durable: bool,
    /// Formation that the sender belongs to, if any.
    pub formation: Option<FormationId>,
    /// The leader that the sender knows.
    pub leader: Option<InstanceId>,
    /// Storage of the receiver that the sender has last heard of: the message is newer than it.
    pub heard: Option<StorageId>,
    /// The sender's founders, sorted.
    pub founders: Vec<InstanceId>,
}

/// A message within a group; whoever carries it knows the instances of its ends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// The group's formation.
    pub formation: FormationId,
    /// Storage of the sender.
    pub from: StorageId,
    /// Storage of the receiver; another storage of the same instance ignores the message.
    pub to: StorageId,
    /// Term of the sender.
    pub term: Term,
    /// Content.
    pub body: Body,
}

/// Content of a message within a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks whether a vote would be granted in `term`, without raising terms.
    PreVote {
        /// The term that the sender would campaign in.
        term: Term,
        /// The sender's last entry.
        last: Position,
    },
    /// Answer to `PreVote`.
    PreVoted {
        /// The term that was asked for.
        term: Term,
        /// Whether the vote would be granted.
        granted: bool,
    },
    /// Asks for a vote in the envelope's term.
    Vote {
        /// The sender's last entry.
        last: Position,
        /// The leader handed over to the sender.
        handover: bool,
    },
    /// Answer to `Vote`.
    Voted {
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Entries after `prev`, or a heartbeat without entries.
    Append {
        /// The entry before the first one sent.
        prev: Position,
        /// Entries in order.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: LogIndex,
        /// Round of the leader's quorum checks.
        round: u64,
    },
    /// The receiver's log equals the leader's up to `last`, synced.
    Appended {
        /// Last equal entry.
        last: LogIndex,
        /// The round of the append.
        round: u64,
    },
    /// The receiver lacks the entry `prev` of the append.
    Refused {
        /// The missing entry.
        prev: LogIndex,
        /// Where the leader should go on.
        next: LogIndex,
        /// The round of the append.
        round: u64,
    },
    /// A part of a snapshot.
    Chunk {
        /// Last entry of the snapshot.
        at: Position,
        /// Membership at that entry.
        members: Membership,
        /// Offset of `data`, in bytes.
        offset: u64,
        /// Bytes of the snapshot in all.
        total: u64,
        /// The part.
        data: Vec<u8>,
        /// Round of the leader's quorum checks.
        round: u64,
    },
    /// How much of a snapshot has arrived.
    Received {
        /// Last entry of the snapshot.
        index: LogIndex,
        /// Bytes that have arrived.
        offset: u64,
        /// The round of the chunk.
        round: u64,
    },
    /// The leader hands over to the receiver, which campaigns at once.
    Campaign,
}

/// Index and term of an entry; ordered by term first, as logs are compared.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Position {
    /// Term of the entry.
    pub term: Term,
    /// Index of the entry.
    pub index: LogIndex,
}
