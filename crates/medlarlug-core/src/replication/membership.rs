//! Membership of a group, and the quorums that follow from it.
//!
//! A member is identified by its instance *and* its storage. An instance that lost its storage returns
//! with a new [`StorageId`] and is no longer the member that it was.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::ids::{IdError, InstanceId};

macro_rules! random_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        ///
        /// ```
        #[doc = concat!("use medlarlug_core::replication::", stringify!($name), ";")]
        #[doc = concat!("let id: ", stringify!($name), " = \"00000000000000ff\".parse().unwrap();")]
        #[doc = concat!("assert_eq!(id, ", stringify!($name), "(255));")]
        /// ```
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:016x}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                let number = u64::from_str_radix(text, 16);
                number.map(Self).map_err(|_| IdError::Number { text: text.into() })
            }
        }
    };
}

random_id!(
    /// Identifies one storage of one instance.
    ///
    /// Drawn at random when a data folder is created, or at every start of a process without a
    /// disk, so that lost storage is never mistaken for the storage that replaces it.
    StorageId
);
random_id!(
    /// Identifies one formation of a group; drawn at random when the group is formed or rebuilt.
    FormationId
);

/// Identifies a member by its instance and its storage.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberKey {
    /// Instance of the member; two members have the same one while a lost storage is replaced.
    pub id: InstanceId,
    /// Storage of the instance.
    pub storage: StorageId,
}

impl fmt::Display for MemberKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.id, self.storage)
    }
}

/// Whether a member votes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberRole {
    /// Receives the log without a vote. In an open group, the leader promotes it to replace a voter.
    Learner,
    /// Receives the log without a vote; the leader promotes it once it has caught up.
    Joining,
    /// Votes and counts towards commits.
    Voter,
}

/// One member of a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Instance and storage.
    pub key: MemberKey,
    /// Whether the member votes.
    pub role: MemberRole,
    /// Whether its storage survives a restart of the process.
    pub durable: bool,
}

/// Change of a single member; at most one change is uncommitted at a time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Adds a member without a vote: [`MemberRole::Learner`] or [`MemberRole::Joining`].
    Add(Member),
    /// Makes a member that has caught up a voter.
    Promote(MemberKey),
    /// Removes a member, with or without a vote.
    Remove(MemberKey),
}

/// The members of a group, sorted by key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Formation of the group.
    pub formation: FormationId,
    members: Vec<Member>,
}

impl Membership {
    /// Creates a membership of `members`, given in any order. Of several with the same key, the first
    /// is kept.
    pub fn new(formation: FormationId, mut members: Vec<Member>) -> Membership {
        members.sort_by(|a, b| a.key.cmp(&b.key));
        members.dedup_by(|a, b| a.key == b.key);
        Membership { formation, members }
    }

    /// All members, sorted by key.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// The member with `key`.
    pub fn get(&self, key: &MemberKey) -> Option<&Member> {
        let at = self.members.binary_search_by(|member| member.key.cmp(key)).ok()?;
        Some(&self.members[at])
    }

    /// Whether `key` has a vote.
    pub fn is_voter(&self, key: &MemberKey) -> bool {
        self.get(key).is_some_and(|member| member.role == MemberRole::Voter)
    }

    /// Members that have a vote, sorted by key.
    pub fn voters(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|member| member.role == MemberRole::Voter)
    }

    /// Whether a majority of the voters satisfies `agrees`.
    pub fn has_majority(&self, agrees: impl Fn(&MemberKey) -> bool) -> bool {
        let total = self.voters().count();
        let count = self.voters().filter(|member| agrees(&member.key)).count();
        count * 2 > total
    }

    /// Whether the members that satisfy `holds` suffice to commit an entry: a majority of the voters and,
    /// while a durable member votes or is joining, at least one such durable member.
    pub fn has_commit_quorum(&self, holds: impl Fn(&MemberKey) -> bool) -> bool {
        let counts = |member: &&Member| member.durable && member.role != MemberRole::Learner;
        let mut durable = self.members.iter().filter(counts).peekable();
        let is_durable = durable.peek().is_none() || durable.any(|member| holds(&member.key));
        is_durable && self.has_majority(holds)
    }

    /// Returns the membership after `change`; `None` if the change does not apply to this membership or
    /// would leave no voter.
    pub fn with_change(&self, change: &Change) -> Option<Membership> {
        let mut next = self.clone();
        match change {
            Change::Add(member) => {
                if member.role == MemberRole::Voter || self.get(&member.key).is_some() {
                    return None;
                }
                next.members.push(member.clone());
            }
            Change::Promote(key) => {
                let member = next.members.iter_mut().find(|member| member.key == *key)?;
                if member.role == MemberRole::Voter {
                    return None;
                }
                member.role = MemberRole::Voter;
            }
            Change::Remove(key) => {
                self.get(key)?;
                next.members.retain(|member| member.key != *key);
            }
        }
        next.voters().next()?;
        Some(Membership::new(next.formation, next.members))
    }
}
