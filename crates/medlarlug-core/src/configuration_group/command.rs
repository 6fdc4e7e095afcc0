//! Commands and replies of the configuration group.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{
    home::FoundingToken,
    ids::{OperatorId, RegionId, ReleaseNumber, Revision, TeamId},
    release::{Configuration, ItemKey, NoteError, ReleaseNote},
};

/// A command in the log of the configuration group.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// An operator applies a release note.
    Apply(ReleaseNote),
    /// The leader found that no request uses these draining items any more.
    RemoveDrained {
        /// Revision of the configuration that the leader examined; the command has no effect on a later
        /// one.
        revision: Revision,
        /// Keys of the draining items to remove.
        items: Vec<ItemKey>,
    },
    /// The new home of a team has adopted its booking keys.
    HomeAdopted {
        /// Team whose home was changed.
        team: TeamId,
        /// Revision that changed the home; it distinguishes this move from other ones of the team.
        epoch: Revision,
    },
    /// A home group without state asks whether it is the first of its region.
    FoundHome {
        /// Region of the home group.
        region: RegionId,
        /// Identifies this founding; a retry with the same token gets the same reply.
        token: FoundingToken,
    },
    /// The group was rebuilt from the state of one surviving keeper, which may lack the newest changes.
    Rebuilt,
}

/// Record of an accepted note.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// Number of the note.
    pub number: ReleaseNumber,
    /// Operator who applied the note.
    pub operator: OperatorId,
    /// Revision that the note produced.
    pub revision: Revision,
}

/// The reply to a [`Command`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The note is accepted, by this command or by an earlier one with the same note.
    Accepted(Accepted),
    /// The note is refused; the configuration is unchanged.
    Refused(Refusal),
    /// The drained items are removed as of this revision.
    Removed(Revision),
    /// Nothing was removed: the configuration is at this other revision, the command names no item, or
    /// an item is not draining.
    NotRemoved(Revision),
    /// The move of the team's home is complete; also the reply to a retry.
    HomeAdopted,
    /// The home group is founded.
    Founded {
        /// Revision at which the founding was recorded.
        revision: Revision,
        /// Whether the region had no home group before.
        first: bool,
    },
    /// The region is not in the configuration.
    UnknownRegion(RegionId),
    /// The group is rebuilt and continues from this revision.
    Rebuilt(Revision),
}

/// Reason for which the group refuses a note.
#[derive(Debug, Clone, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum Refusal {
    /// The note cannot be applied to the configuration.
    #[error(transparent)]
    Note(#[from] NoteError),
    /// Another note has used the number.
    #[error(
        "number {} is taken: the note of {} became revision {}; the one of {operator} is refused",
        winner.number, winner.operator, winner.revision
    )]
    Conflict {
        /// Accepted note with the number.
        winner: Accepted,
        /// Operator of the refused note.
        operator: OperatorId,
    },
    /// The team's bookings are still being moved to the home region that an earlier note set.
    #[error("team {team} still moves from {from} to {to}; change its home again afterwards")]
    Moving {
        /// Team that is being moved.
        team: TeamId,
        /// Former home region.
        from: RegionId,
        /// New home region.
        to: RegionId,
    },
}

/// Change from one revision to the next.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// An accepted release note was applied.
    Note(ReleaseNote),
    /// Drained items were removed.
    Removed(Vec<ItemKey>),
    /// A home group was founded in the region; the items are unchanged.
    Founded(RegionId),
}

impl Change {
    /// Returns the configuration that follows `current`.
    ///
    /// # Errors
    ///
    /// Fails if the change cannot be applied to `current`.
    pub fn apply(&self, current: &Configuration) -> Result<Configuration, NoteError> {
        match self {
            Change::Note(note) => note.apply(current),
            Change::Removed(items) => current.without_drained(items),
            Change::Founded(_) => Ok(current.with_next_revision()),
        }
    }
}
