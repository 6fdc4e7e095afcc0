//! The state machine of a replication group, for all kinds of groups.

use medlarlug_core::{
    configuration_group,
    configuration_group::ConfigurationGroup,
    gateway::publication::{self, Publication},
    home,
    home::HomeGroup,
    ids::Revision,
};
use thiserror::Error;

use crate::protocol::{GroupId, GroupReply, GroupRequest};

/// Errors of a state machine; the keeper stops at any of them.
#[derive(Debug, Error)]
pub enum StateMachineError {
    /// A committed command can't be decoded.
    #[error("a committed command of group {group} can't be decoded")]
    Command {
        /// Group whose log contains the command.
        group: GroupId,
        /// The codec's error.
        #[source]
        source: postcard::Error,
    },
    /// A snapshot can't be decoded.
    #[error("a snapshot of group {group} can't be decoded")]
    Snapshot {
        /// Group whose state the snapshot contains.
        group: GroupId,
        /// The codec's error.
        #[source]
        source: postcard::Error,
    },
}

/// The state machine of a replication group.
#[derive(Debug)]
pub enum StateMachine {
    /// State of the configuration group.
    Configuration(Box<ConfigurationGroup>),
    /// State of a home group.
    Home(Box<HomeGroup>),
    /// State of the publication group.
    Publication(Box<Publication>),
}

impl StateMachine {
    /// Creates an empty state machine of the kind that `group` uses.
    pub fn new(group: &GroupId) -> StateMachine {
        match group {
            GroupId::Configuration => StateMachine::Configuration(Box::default()),
            GroupId::Home(_) => StateMachine::Home(Box::default()),
            GroupId::Publication => StateMachine::Publication(Box::default()),
        }
    }

    /// Applies a committed command and returns its reply.
    ///
    /// # Errors
    ///
    /// Fails when the command can't be decoded, which means that a newer version of the program
    /// proposed it.
    pub fn apply(
        &mut self,
        group: &GroupId,
        command: &[u8],
    ) -> Result<GroupReply, StateMachineError> {
        let error = |source| StateMachineError::Command { group: group.clone(), source };
        match self {
            StateMachine::Configuration(machine) => {
                let command: configuration_group::Command =
                    postcard::from_bytes(command).map_err(error)?;
                Ok(GroupReply::Configured(machine.apply(command)))
            }
            StateMachine::Home(machine) => {
                let command: home::Command = postcard::from_bytes(command).map_err(error)?;
                Ok(GroupReply::Acted(machine.apply(command)))
            }
            StateMachine::Publication(machine) => {
                let command: publication::Command = postcard::from_bytes(command).map_err(error)?;
                machine.apply(command);
                Ok(GroupReply::Accepted)
            }
        }
    }

    /// Answers a read-only request; [`GroupReply::UnsupportedRequest`] if this kind of group doesn't
    /// have it.
    pub fn read(&self, request: &GroupRequest) -> GroupReply {
        match (self, request) {
            (StateMachine::Home(machine), GroupRequest::LookUp(id)) => {
                GroupReply::Record(machine.look_up(id))
            }
            (StateMachine::Configuration(machine), GroupRequest::History) => {
                GroupReply::History(machine.history(MAX_HISTORY_ENTRIES))
            }
            (StateMachine::Configuration(machine), GroupRequest::Revision) => {
                GroupReply::Revision(machine.configuration().revision)
            }
            (StateMachine::Configuration(machine), GroupRequest::HomeMoves) => {
                GroupReply::HomeMoves(machine.moves().to_vec())
            }
            (StateMachine::Home(machine), GroupRequest::FoundingRevision) => {
                GroupReply::FoundingRevision(machine.founding_revision())
            }
            (StateMachine::Publication(machine), GroupRequest::Revision) => {
                GroupReply::Revision(Revision(machine.version().0))
            }
            (StateMachine::Publication(machine), GroupRequest::Published) => {
                GroupReply::Published(machine.clone())
            }
            _ => GroupReply::UnsupportedRequest,
        }
    }

    /// The newest revision; `None` except in the configuration group.
    pub fn revision(&self) -> Option<Revision> {
        match self {
            StateMachine::Configuration(machine) => Some(machine.configuration().revision),
            StateMachine::Home(_) | StateMachine::Publication(_) => None,
        }
    }

    /// The state of the publication group; `None` in other kinds of groups.
    pub fn publication(&self) -> Option<&Publication> {
        match self {
            StateMachine::Publication(machine) => Some(machine),
            StateMachine::Configuration(_) | StateMachine::Home(_) => None,
        }
    }

    /// Encodes the state as a snapshot.
    pub fn encode(&self) -> Vec<u8> {
        match self {
            StateMachine::Configuration(machine) => machine.encode_snapshot(),
            StateMachine::Home(machine) => machine.encode_snapshot(),
            StateMachine::Publication(machine) => machine.encode_snapshot(),
        }
    }

    /// Replaces the state by that of `snapshot`.
    ///
    /// # Errors
    ///
    /// Fails when the snapshot can't be decoded.
    pub fn restore(&mut self, group: &GroupId, snapshot: &[u8]) -> Result<(), StateMachineError> {
        let error = |source| StateMachineError::Snapshot { group: group.clone(), source };
        match self {
            StateMachine::Configuration(machine) => {
                **machine = ConfigurationGroup::decode_snapshot(snapshot).map_err(error)?;
            }
            StateMachine::Home(machine) => {
                **machine = HomeGroup::decode_snapshot(snapshot).map_err(error)?;
            }
            StateMachine::Publication(machine) => {
                **machine = Publication::decode_snapshot(snapshot).map_err(error)?;
            }
        }
        Ok(())
    }
}

/// Maximum number of release notes in the reply to `release history`.
const MAX_HISTORY_ENTRIES: usize = 100;
