//! Release notes, as written and as checked.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{
    ids::{OperatorId, ReleaseNumber, Revision},
    release::{
        configuration::Configuration,
        item::{Item, ItemKey},
    },
};

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

    /// The configuration that follows `current` once this note is accepted.
    ///
    /// # Errors
    ///
    /// Fails when the base is not `current`'s revision, when an added item exists, or when a
    /// changed or withdrawn one doesn't.
    pub fn apply(&self, current: &Configuration) -> Result<Configuration, NoteError> {
        if self.base() != current.revision {
            return Err(NoteError::Stale { base: self.base(), current: current.revision });
        }
        let mut next = current.clone();
        for item in &self.0.added {
            if next.item(&item.key()).is_some() {
                return Err(NoteError::Exists(item.key()));
            }
            next.put(item.clone());
        }
        for item in &self.0.changed {
            if next.item(&item.key()).is_none() {
                return Err(NoteError::Missing(item.key()));
            }
            next.put(item.clone());
        }
        for key in &self.0.withdrawn {
            next.remove(key).ok_or_else(|| NoteError::Missing(key.clone()))?;
        }
        next.revision = current.revision.next();
        Ok(next)
    }
}
