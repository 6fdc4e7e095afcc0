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
pub enum MachineError {
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
pub enum Machine {
    /// Of the configuration group.
    Configuration(Box<ConfigurationGroup>),
    /// Of a home group.
    Home(Box<HomeGroup>),
    /// Of the publication group.
    Publication(Box<Publication>),
}

impl Machine {
    /// The empty state machine of a group.
    pub fn new(group: &GroupId) -> Machine {
        match group {
            GroupId::Configuration => Machine::Configuration(Box::default()),
            GroupId::Home(_) => Machine::Home(Box::default()),
            GroupId::Publication => Machine::Publication(Box::default()),
        }
    }

    /// Applies a committed command.
    ///
    /// # Errors
    ///
    /// Fails when the command can't be decoded, which means that this program is older than the
    /// one that proposed it.
    pub fn apply(&mut self, group: &GroupId, command: &[u8]) -> Result<GroupReply, MachineError> {
        let error = |source| MachineError::Command { group: group.clone(), source };
        match self {
            Machine::Configuration(machine) => {
                let command: configuration_group::Command =
                    postcard::from_bytes(command).map_err(error)?;
                Ok(GroupReply::Configured(machine.apply(command)))
            }
            Machine::Home(machine) => {
                let command: home::Command = postcard::from_bytes(command).map_err(error)?;
                Ok(GroupReply::Acted(machine.apply(command)))
            }
            Machine::Publication(machine) => {
                let command: publication::Command = postcard::from_bytes(command).map_err(error)?;
                machine.apply(command);
                Ok(GroupReply::Accepted)
            }
        }
    }

    /// Answers a request that reads only.
    pub fn read(&self, request: &GroupRequest) -> GroupReply {
        match (self, request) {
            (Machine::Home(machine), GroupRequest::LookUp(id)) => {
                GroupReply::Known(machine.look_up(id))
            }
            (Machine::Configuration(machine), GroupRequest::History) => {
                GroupReply::History(machine.history(HISTORY_ENTRIES))
            }
            (Machine::Configuration(machine), GroupRequest::Revision) => {
                GroupReply::Revision(machine.configuration().revision)
            }
            (Machine::Configuration(machine), GroupRequest::Moves) => {
                GroupReply::Moves(machine.moves().to_vec())
            }
            (Machine::Home(machine), GroupRequest::Founding) => {
                GroupReply::Founding(machine.founding_revision())
            }
            (Machine::Publication(machine), GroupRequest::Published) => {
                GroupReply::Published(machine.clone())
            }
            _ => GroupReply::Unfit,
        }
    }

    /// The newest revision; `None` in a home group.
    pub fn revision(&self) -> Option<Revision> {
        match self {
            Machine::Configuration(machine) => Some(machine.configuration().revision),
            Machine::Home(_) | Machine::Publication(_) => None,
        }
    }

    /// The state of the publication group; `None` in other groups.
    pub fn publication(&self) -> Option<&Publication> {
        match self {
            Machine::Publication(machine) => Some(machine),
            Machine::Configuration(_) | Machine::Home(_) => None,
        }
    }

    /// The state as a snapshot.
    pub fn encode(&self) -> Vec<u8> {
        match self {
            Machine::Configuration(machine) => machine.encode_snapshot(),
            Machine::Home(machine) => machine.encode_snapshot(),
            Machine::Publication(machine) => machine.encode_snapshot(),
        }
    }

    /// Replaces the state by that of a snapshot.
    ///
    /// # Errors
    ///
    /// Fails when the snapshot can't be decoded.
    pub fn restore(&mut self, group: &GroupId, snapshot: &[u8]) -> Result<(), MachineError> {
        let error = |source| MachineError::Snapshot { group: group.clone(), source };
        match self {
            Machine::Configuration(machine) => {
                **machine = ConfigurationGroup::decode_snapshot(snapshot).map_err(error)?;
            }
            Machine::Home(machine) => {
                **machine = HomeGroup::decode_snapshot(snapshot).map_err(error)?;
            }
            Machine::Publication(machine) => {
                **machine = Publication::decode_snapshot(snapshot).map_err(error)?;
            }
        }
        Ok(())
    }
}

/// Release notes that `release history` shows at most.
const HISTORY_ENTRIES: usize = 100;
