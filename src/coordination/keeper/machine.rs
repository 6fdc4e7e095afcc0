//! The state machine of one replication group.

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

/// A failure of a state machine.
#[derive(Debug, Error)]
pub enum StateMachineError {
    /// A committed command can't be decoded.
    #[error("a committed command of group {group} can't be decoded")]
    Command {
        /// The group.
        group: GroupId,
        /// The codec's error.
        #[source]
        source: postcard::Error,
    },
    /// A snapshot can't be decoded.
    #[error("a snapshot of group {group} can't be decoded")]
    Snapshot {
        /// The group.
        group: GroupId,
        /// The codec's error.
        #[source]
        source: postcard::Error,
    },
}

/// The state machine of one group, by the kind of the group.
#[derive(Debug)]
pub enum StateMachine {
    /// Of the configuration group.
    Configuration(Box<ConfigurationGroup>),
    /// Of a home group.
    Home(Box<HomeGroup>),
    /// Of the publication group.
    Publication(Box<Publication>),
}

impl StateMachine {
    /// The empty state machine of a group.
    pub fn new(group: &GroupId) -> StateMachine {
        match group {
            GroupId::Configuration => StateMachine::Configuration(Box::default()),
            GroupId::Home(_) => StateMachine::Home(Box::default()),
            GroupId::Publication => StateMachine::Publication(Box::default()),
        }
    }

    /// Applies a committed command.
    ///
    /// # Errors
    ///
    /// Fails when the command can't be decoded, which means that this program is older than the
    /// one that proposed it.
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

    /// Answers a request that reads only.
    pub fn read(&self, request: &GroupRequest) -> GroupReply {
        match (self, request) {
            (StateMachine::Home(machine), GroupRequest::LookUp(id)) => {
                GroupReply::Record(machine.look_up(id))
            }
            (StateMachine::Configuration(machine), GroupRequest::History) => {
                GroupReply::History(machine.history(HISTORY_ENTRIES))
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
            (StateMachine::Publication(machine), GroupRequest::Published) => {
                GroupReply::Published(machine.clone())
            }
            _ => GroupReply::UnsupportedRequest,
        }
    }

    /// The newest revision; `None` in a home group.
    pub fn revision(&self) -> Option<Revision> {
        match self {
            StateMachine::Configuration(machine) => Some(machine.configuration().revision),
            StateMachine::Home(_) | StateMachine::Publication(_) => None,
        }
    }

    /// The state of the publication group; `None` in other groups.
    pub fn publication(&self) -> Option<&Publication> {
        match self {
            StateMachine::Publication(machine) => Some(machine),
            StateMachine::Configuration(_) | StateMachine::Home(_) => None,
        }
    }

    /// The state as a snapshot.
    pub fn encode(&self) -> Vec<u8> {
        match self {
            StateMachine::Configuration(machine) => machine.encode_snapshot(),
            StateMachine::Home(machine) => machine.encode_snapshot(),
            StateMachine::Publication(machine) => machine.encode_snapshot(),
        }
    }

    /// Replaces the state by that of a snapshot.
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

/// Release notes that `release history` shows at most.
const HISTORY_ENTRIES: usize = 100;
