//! Failures of durable state.

use std::{fmt, io, path::PathBuf};

use medlarlug_core::ids::InstanceId;
use thiserror::Error;

/// What was attempted when the operating system failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Operation {
    /// Create a file or folder.
    Create,
    /// Open a file.
    Open,
    /// List a folder.
    List,
    /// Read a file.
    Read,
    /// Write a file.
    Write,
    /// Sync a file or folder.
    Sync,
    /// Rename a file.
    Rename,
    /// Remove a file.
    Remove,
    /// Start the writer's thread.
    Start,
}

impl fmt::Display for Operation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Operation::Create => "create",
            Operation::Open => "open",
            Operation::List => "list",
            Operation::Read => "read",
            Operation::Write => "write",
            Operation::Sync => "sync",
            Operation::Rename => "rename",
            Operation::Remove => "remove",
            Operation::Start => "start the writer of",
        })
    }
}

/// A failure of durable state. The process has to stop: after a failed sync nobody knows what is on
/// the disk, so nothing is tried again.
#[derive(Debug, Error)]
pub enum StateError {
    /// The operating system failed.
    #[error("cannot {operation} {path}")]
    Io {
        /// What was attempted.
        operation: Operation,
        /// The file or folder.
        path: PathBuf,
        /// The failure.
        source: io::Error,
    },
    /// The folder belongs to another instance.
    #[error("the data folder {path} belongs to {owner}, not to {instance}")]
    WrongOwner {
        /// The folder.
        path: PathBuf,
        /// Its owner.
        owner: InstanceId,
        /// The instance that asked for it.
        instance: InstanceId,
    },
    /// Another process uses the folder.
    #[error("the data folder {path} is in use by another process")]
    InUse {
        /// The folder.
        path: PathBuf,
    },
    /// A record that was synced does not read back.
    #[error("{path} is corrupt at byte {offset}; bring the disk back or replace the keeper")]
    Corrupt {
        /// The file.
        path: PathBuf,
        /// Where the record begins.
        offset: u64,
    },
    /// The folder has an owner but no journal.
    #[error("the data folder {path} has lost its journal; bring it back or empty the folder")]
    MissingJournal {
        /// The folder.
        path: PathBuf,
    },
    /// The folder has a journal but no owner.
    #[error("the data folder {path} has lost its owner file; bring it back or empty the folder")]
    MissingOwner {
        /// The folder.
        path: PathBuf,
    },
    /// A record is larger than a journal can hold.
    #[error("a record of {bytes} bytes is larger than the limit of {limit}")]
    TooLarge {
        /// Length of the record.
        bytes: usize,
        /// The limit.
        limit: usize,
    },
    /// A record cannot be encoded.
    #[error("cannot encode a record")]
    Encode(#[source] postcard::Error),
}

impl StateError {
    pub(super) fn io(
        operation: Operation,
        path: impl Into<PathBuf>,
    ) -> impl FnOnce(io::Error) -> Self {
        let path = path.into();
        move |source| StateError::Io { operation, path, source }
    }
}
