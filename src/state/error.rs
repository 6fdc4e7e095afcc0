//! Errors of durable state.

use std::{fmt, io, path::PathBuf};

use medlarlug_core::ids::InstanceId;
use thiserror::Error;

/// The operation that failed; its text completes the message `cannot OPERATION PATH`.
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
    /// Start the thread of the writer.
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

/// An error of durable state. After a failed sync the content of the disk is unknown, so the operation
/// is not retried: the process stops, or [`Journal::recover`](super::Journal::recover) writes a new file.
#[derive(Debug, Error)]
pub enum StateError {
    /// An operation of the operating system failed.
    #[error("cannot {operation} {path}")]
    Io {
        /// What the operating system was asked to do with `path`.
        operation: Operation,
        /// The file or folder.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The folder belongs to another instance.
    #[error("the data folder {path} belongs to {owner}, not to {instance}")]
    WrongOwner {
        /// The folder.
        path: PathBuf,
        /// The instance that its owner file names.
        owner: InstanceId,
        /// The instance that tried to open it.
        instance: InstanceId,
    },
    /// Another process holds the lock of the folder.
    #[error("the data folder {path} is in use by another process")]
    InUse {
        /// The folder.
        path: PathBuf,
    },
    /// A record that was synced can't be decoded.
    #[error("{path} is corrupt at byte {offset}; restore the disk or replace the keeper")]
    Corrupt {
        /// The file.
        path: PathBuf,
        /// Offset at which the record starts.
        offset: u64,
    },
    /// The folder has an owner file but no journal.
    #[error(
        "the data folder {path} has an owner file but no journal; restore the journal or empty the folder"
    )]
    MissingJournal {
        /// The folder.
        path: PathBuf,
    },
    /// The folder has a journal but no owner file.
    #[error(
        "the data folder {path} has a journal but no owner file; restore the owner file or empty the folder"
    )]
    MissingOwner {
        /// The folder.
        path: PathBuf,
    },
    /// A newer journal file may exist, since an attempt to replace this one failed halfway.
    #[error("{path} may have been replaced by a newer file; write a new one")]
    Superseded {
        /// The replaced file.
        path: PathBuf,
    },
    /// The thread that writes to the disk has ended.
    #[error("the writer has ended; nothing can be stored any more")]
    WriterEnded,
    /// A record is longer than a frame can hold.
    #[error("a record of {bytes} bytes exceeds the limit of {limit} bytes")]
    TooLarge {
        /// Length of the record, in bytes.
        bytes: usize,
        /// The longest permitted record, in bytes.
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
