//! Commands and replies of the configuration group.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{
    home::FoundToken,
    ids::{OperatorId, RegionId, ReleaseNumber, Revision, TeamId},
    release::{Configuration, ItemKey, NoteError, ReleaseNote},
};

/// A command in the log of the configuration group.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// An operator applies a release note.
    Apply(ReleaseNote),
    /// The leader found that nothing uses these draining items any more.
    RemoveDrained {
        /// The configuration that the finding is about; a later one refuses the command.
        revision: Revision,
        /// Draining items to remove.
        items: Vec<ItemKey>,
    },
    /// The new home of a team has adopted its booking keys.
    HomeAdopted {
        /// The team.
        team: TeamId,
        /// Revision at which its home was changed.
        epoch: Revision,
    },
    /// A home group without state asks whether it is the region's first.
    FoundHome {
        /// Region of the home group.
        region: RegionId,
        /// Names this founding; a repeated command with the same token gets the same answer.
        token: FoundToken,
    },
    /// The group was rebuilt from the state of one survivor, which may lack the newest changes.
    Rebuilt,
}

/// What an accepted note led to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// Number of the note.
    pub number: ReleaseNumber,
    /// Operator who applied it.
    pub operator: OperatorId,
    /// Revision that it produced.
    pub revision: Revision,
}

/// The reply to a [`Command`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The note is accepted, now or when it was first applied.
    Accepted(Accepted),
    /// The note is refused; the configuration is as before.
    Refused(Refusal),
    /// The drained items are removed, at this revision.
    Removed(Revision),
    /// The configuration has moved on, or an item does not drain; nothing was removed.
    NotRemoved(Revision),
    /// The move of the team's home is complete.
    HomeAdopted,
    /// The home group is founded.
    Founded {
        /// Revision at which the founding was recorded.
        revision: Revision,
        /// Whether the region has never had a home group before.
        first: bool,
    },
    /// The region is not in the configuration.
    UnknownRegion(RegionId),
    /// The group is rebuilt and goes on at this revision.
    Rebuilt(Revision),
}

/// Why a note is refused by the group.
#[derive(Debug, Clone, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum Refusal {
    /// The note does not fit the configuration.
    #[error(transparent)]
    Note(#[from] NoteError),
    /// The number is taken by another note.
    #[error(
        "number {} is taken: the note of {} became revision {}; the one of {operator} is refused",
        winner.number, winner.operator, winner.revision
    )]
    Conflict {
        /// The note that holds the number.
        winner: Accepted,
        /// Operator of the refused note.
        operator: OperatorId,
    },
    /// The team's bookings are still on their way to the home region of an earlier note.
    #[error("team {team} still moves from {from} to {to}; change its home again afterwards")]
    Moving {
        /// The team.
        team: TeamId,
        /// Former home region.
        from: RegionId,
        /// New home region.
        to: RegionId,
    },
}

/// What turned one revision into the next.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// A release note.
    Note(ReleaseNote),
    /// Drained items were removed.
    Removed(Vec<ItemKey>),
    /// A region's home group was founded; the items are unchanged.
    Founded(RegionId),
}

impl Change {
    /// The configuration that follows `current`.
    ///
    /// # Errors
    ///
    /// Fails when the change does not fit `current`.
    pub fn apply(&self, current: &Configuration) -> Result<Configuration, NoteError> {
        match self {
            Change::Note(note) => note.apply(current),
            Change::Removed(items) => current.without_drained(items),
            Change::Founded(_) => Ok(current.raised()),
        }
    }
}
