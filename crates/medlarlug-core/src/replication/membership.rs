//! Who belongs to a group, and what counts as a quorum.
//!
//! A member is named by its instance *and* its storage. Storage that is lost takes its member
//! with it: the instance returns under a new [`StorageId`], which no membership lists yet.

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
    /// Names one storage of one instance.
    ///
    /// Drawn at random when a data folder is created, or at every start of a process without a
    /// disk, so that storage that was lost is never taken for the storage that replaces it.
    StorageId
);
random_id!(
    /// Names one formation of a group; drawn at random when the group is formed.
    FormationId
);

/// Instance and storage of a member.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberKey {
    /// The instance.
    pub id: InstanceId,
    /// Its storage.
    pub storage: StorageId,
}

impl fmt::Display for MemberKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.id, self.storage)
    }
}

/// What a member takes part in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberRole {
    /// Receives the log and stays without a vote.
    Learner,
    /// Receives the log; the leader promotes it once it has caught up.
    Joining,
    /// Votes and counts towards commit.
    Voter,
}

/// One member of a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Instance and storage.
    pub key: MemberKey,
    /// What it takes part in.
    pub role: MemberRole,
    /// Whether its storage outlives its process.
    pub durable: bool,
}

/// One change of a membership; at most one is uncommitted at a time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Adds a member without a vote: [`MemberRole::Learner`] or [`MemberRole::Joining`].
    Add(Member),
    /// Makes a caught-up member a voter.
    Promote(MemberKey),
    /// Removes a member.
    Remove(MemberKey),
}

/// The members of a group, sorted by key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// The formation that the group stems from.
    pub formation: FormationId,
    members: Vec<Member>,
}

impl Membership {
    /// A membership of `members`, in any order.
    pub fn new(formation: FormationId, mut members: Vec<Member>) -> Membership {
        members.sort_by(|a, b| a.key.cmp(&b.key));
        members.dedup_by(|a, b| a.key == b.key);
        Membership { formation, members }
    }

    /// All members.
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

    /// The members that have a vote.
    pub fn voters(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|member| member.role == MemberRole::Voter)
    }

    /// Whether the voters that satisfy `agrees` are a majority.
    pub fn has_majority(&self, agrees: impl Fn(&MemberKey) -> bool) -> bool {
        let total = self.voters().count();
        let count = self.voters().filter(|member| agrees(&member.key)).count();
        count * 2 > total
    }

    /// Whether the members that satisfy `holds` suffice to commit: a majority of the voters, and a
    /// durable member while the group has a durable voter or one that is joining.
    pub fn has_commit_quorum(&self, holds: impl Fn(&MemberKey) -> bool) -> bool {
        let counts = |member: &&Member| member.durable && member.role != MemberRole::Learner;
        let mut durable = self.members.iter().filter(counts).peekable();
        let is_durable = durable.peek().is_none() || durable.any(|member| holds(&member.key));
        is_durable && self.has_majority(holds)
    }

    /// The membership after `change`; `None` if the change doesn't apply to this membership.
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
