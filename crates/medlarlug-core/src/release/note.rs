//! Release notes, as written and as checked.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{
    ids::{OperatorId, RegionId, ReleaseNumber, Revision, TeamId, ZoneId},
    release::{
        configuration::Configuration,
        item::{Item, ItemKey},
        validation,
    },
};

/// Keys that a team may have at once, so that one can be replaced by another.
pub const MAX_BEARER_KEYS: usize = 2;

/// A release note as an operator writes it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawNote {
    /// The operator's number of this note.
    pub number: ReleaseNumber,
    /// Who applies it.
    pub operator: OperatorId,
    /// The revision that the note builds on.
    pub base: Revision,
    /// Items that must not exist yet.
    #[serde(default)]
    pub added: Vec<Item>,
    /// Items that replace existing ones.
    #[serde(default)]
    pub changed: Vec<Item>,
    /// Keys of items that are taken out.
    #[serde(default)]
    pub withdrawn: Vec<ItemKey>,
}

/// A release note that is consistent in itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "RawNote", into = "RawNote")]
pub struct ReleaseNote(RawNote);

/// Why a release note is refused.
#[derive(Debug, Clone, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum NoteError {
    /// The note lists nothing.
    #[error("the release note lists nothing")]
    Empty,
    /// The note lists one item twice.
    #[error("the release note lists {0} more than once")]
    Repeated(ItemKey),
    /// An added item exists already.
    #[error("{0} exists already; list it under `changed`")]
    Exists(ItemKey),
    /// A changed or withdrawn item does not exist.
    #[error("{0} does not exist")]
    Missing(ItemKey),
    /// An item refers to one that would not exist.
    #[error("{from} refers to {to}, which would not exist")]
    Dangling {
        /// The referring item.
        from: ItemKey,
        /// The missing item.
        to: ItemKey,
    },
    /// A zone is listed more than once.
    #[error("zone {zone} is listed under region {first} and under region {second}")]
    SharedZone {
        /// The zone.
        zone: ZoneId,
        /// A region that lists it.
        first: RegionId,
        /// The region that lists it again.
        second: RegionId,
    },
    /// A team has too many keys.
    #[error("team {team} has {count} keys; {MAX_BEARER_KEYS} are permitted")]
    TooManyKeys {
        /// The team.
        team: TeamId,
        /// Its number of keys.
        count: usize,
    },
    /// One key is listed twice.
    #[error("one key belongs to team {first} and to team {second}")]
    SharedKey {
        /// A team that lists the key.
        first: TeamId,
        /// The team that lists it again.
        second: TeamId,
    },
    /// The base revision is not the one in force.
    #[error("the note builds on revision {base}, but revision {current} is in force")]
    Stale {
        /// Base that the note names.
        base: Revision,
        /// Revision in force.
        current: Revision,
    },
}

impl TryFrom<RawNote> for ReleaseNote {
    type Error = NoteError;

    fn try_from(raw: RawNote) -> Result<ReleaseNote, NoteError> {
        let mut keys: Vec<ItemKey> = raw.added.iter().chain(&raw.changed).map(Item::key).collect();
        keys.extend(raw.withdrawn.iter().cloned());
        if keys.is_empty() {
            return Err(NoteError::Empty);
        }
        keys.sort();
        if let Some(pair) = keys.windows(2).find(|pair| pair[0] == pair[1]) {
            return Err(NoteError::Repeated(pair[0].clone()));
        }
        Ok(ReleaseNote(raw))
    }
}

impl From<ReleaseNote> for RawNote {
    fn from(note: ReleaseNote) -> RawNote {
        note.0
    }
}

impl ReleaseNote {
    /// The operator's number of this note.
    pub fn number(&self) -> ReleaseNumber {
        self.0.number
    }

    /// Who applies it.
    pub fn operator(&self) -> &OperatorId {
        &self.0.operator
    }

    /// The revision that the note builds on.
    pub fn base(&self) -> Revision {
        self.0.base
    }

    /// Keys of the items that the note withdraws.
    pub fn withdrawn(&self) -> &[ItemKey] {
        &self.0.withdrawn
    }

    /// The configuration that follows `current` once this note is accepted.
    ///
    /// # Errors
    ///
    /// Fails when another note was accepted after the base, when an added item exists, when a
    /// changed or withdrawn one doesn't, or when the result would not be consistent.
    pub fn apply(&self, current: &Configuration) -> Result<Configuration, NoteError> {
        if self.base() < current.last_note_revision || self.base() > current.revision {
            return Err(NoteError::Stale { base: self.base(), current: current.revision });
        }
        let mut next = current.clone();
        for item in &self.0.added {
            if next.item(&item.key()).is_some() {
                return Err(NoteError::Exists(item.key()));
            }
            next.remove_draining(&item.key());
            next.put(item.clone());
        }
        for item in &self.0.changed {
            if next.item(&item.key()).is_none() {
                return Err(NoteError::Missing(item.key()));
            }
            next.put(item.clone());
        }
        for key in &self.0.withdrawn {
            let found = match key {
                ItemKey::Model(_) | ItemKey::Service(_) => next.start_draining(key),
                _ => next.remove(key).map(|_| ()),
            };
            found.ok_or_else(|| NoteError::Missing(key.clone()))?;
        }
        next.revision = current.revision.next();
        next.last_note_revision = next.revision;
        next.update_homes();
        validation::check(&next)?;
        Ok(next)
    }
}
