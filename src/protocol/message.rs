//! Messages between processes.

use std::fmt;

use medlarlug_core::{
    ids::{InstanceId, RegionId},
    release::Configuration,
};
use serde::{Deserialize, Serialize};

/// Names a replication group.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum GroupId {
    /// The group that accepts release notes.
    Configuration,
    /// The group that records the bookings and requests of a region.
    Home(RegionId),
}

impl fmt::Display for GroupId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            GroupId::Configuration => f.write_str("configuration"),
            GroupId::Home(region) => write!(f, "home-{region}"),
        }
    }
}

/// A message from one process to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A command for the state machine of a group, to be answered by [`Message::Reply`].
    Command {
        /// Number of the call at the sender.
        call: u64,
        /// The group.
        group: GroupId,
        /// The state machine's command, in postcard.
        command: Vec<u8>,
    },
    /// The answer to a command.
    Reply {
        /// Number of the call at the receiver of this reply.
        call: u64,
        /// What became of the command.
        reply: CommandReply,
    },
    /// The sender's configuration, for an instance that is behind.
    Configuration(Box<Configuration>),
}

/// What became of a command.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum CommandReply {
    /// It was committed and applied; the state machine's reply, in postcard.
    Applied(Vec<u8>),
    /// It was not taken in; the leader, if the receiver knows it.
    NotLeader(Option<InstanceId>),
    /// It was taken in, and whether it is committed is not known.
    Uncertain,
}
