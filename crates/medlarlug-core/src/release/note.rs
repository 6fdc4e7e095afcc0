//! Release notes, as written by an operator and as checked.

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

/// Maximum number of bearer keys of a team: two, so that a key can be replaced without interruption.
pub const MAX_BEARER_KEYS: usize = 2;

/// Release note as an operator writes it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawNote {
    /// Number that the operator assigned to the note.
    pub number: ReleaseNumber,
    /// Operator who applies the note.
    pub operator: OperatorId,
    /// Revision that the note is based on.
    pub base: Revision,
    /// Items to add, which must not exist yet.
    #[serde(default)]
    pub added: Vec<Item>,
    /// Items that replace existing items with the same keys.
    #[serde(default)]
    pub changed: Vec<Item>,
    /// Keys of the items to withdraw.
    #[serde(default)]
    pub withdrawn: Vec<ItemKey>,
}

/// Release note that lists at least one item and none of them twice.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "RawNote", into = "RawNote")]
pub struct ReleaseNote(RawNote);

/// Reason for which a release note is refused.
#[derive(Debug, Clone, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum NoteError {
    /// The note lists no items.
    #[error("the release note lists nothing")]
    Empty,
    /// The note lists an item more than once.
    #[error("the release note lists {0} more than once")]
    Repeated(ItemKey),
    /// An added item already exists.
    #[error("{0} exists already; list it under `changed`")]
    Exists(ItemKey),
    /// A changed or withdrawn item does not exist.
    #[error("{0} does not exist")]
    Missing(ItemKey),
    /// An item refers to an item that the resulting configuration would not contain.
    #[error("{from} refers to {to}, which would not exist")]
    Dangling {
        /// Item that contains the reference.
        from: ItemKey,
        /// Item that is missing.
        to: ItemKey,
    },
    /// A zone is listed more than once.
    #[error("zone {zone} is listed under region {first} and under region {second}")]
    SharedZone {
        /// Zone that is listed more than once.
        zone: ZoneId,
        /// First region that lists it.
        first: RegionId,
        /// Other region that lists it, or the same one.
        second: RegionId,
    },
    /// A team has more than [`MAX_BEARER_KEYS`] bearer keys.
    #[error("team {team} has {count} keys; {MAX_BEARER_KEYS} are permitted")]
    TooManyKeys {
        /// Team that has too many keys.
        team: TeamId,
        /// Number of keys that the team has.
        count: usize,
    },
    /// A bearer key is listed more than once.
    #[error("one key belongs to team {first} and to team {second}")]
    SharedKey {
        /// First team that lists the key.
        first: TeamId,
        /// Other team that lists it, or the same one.
        second: TeamId,
    },
    /// Another note was accepted after the base revision, or the base revision is newer than the one in
    /// effect.
    #[error("the note builds on revision {base}, but revision {current} is in force")]
    Stale {
        /// Base revision of the note.
        base: Revision,
        /// Revision that is in effect.
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
    /// Number that the operator assigned to the note.
    pub fn number(&self) -> ReleaseNumber {
        self.0.number
    }

    /// Operator who applies the note.
    pub fn operator(&self) -> &OperatorId {
        &self.0.operator
    }

    /// Revision that the note is based on.
    pub fn base(&self) -> Revision {
        self.0.base
    }

    /// Keys of the items that the note withdraws.
    pub fn withdrawn(&self) -> &[ItemKey] {
        &self.0.withdrawn
    }

    /// Returns the configuration that results from applying the note to `current`.
    ///
    /// # Errors
    ///
    /// Fails if another note was accepted after the base revision, if the base revision is newer than
    /// `current`, if an added item already exists, if a changed or withdrawn item does not exist, or if the
    /// resulting configuration would be inconsistent.
    pub fn apply(&self, current: &Configuration) -> Result<Configuration, NoteError> {
        if self.base() < current.note_revision || self.base() > current.revision {
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
        next.note_revision = next.revision;
        next.update_homes();
        validation::check(&next)?;
        Ok(next)
    }
}
