//! Errors of settings files.

use std::{io, path::PathBuf};

use smol_str::SmolStr;
use thiserror::Error;

/// A fault in a settings file with its location.
#[derive(Debug, Error)]
#[error("{}:{line}: {fault}", .file.display())]
pub struct SettingsError {
    /// Path of the settings file, or of the file it refers to, that has the fault.
    pub file: PathBuf,
    /// Line of the fault, counted from 1; 0 when the file could not be read.
    pub line: u64,
    /// What is wrong on that line.
    pub fault: Fault,
}

/// What is wrong with a value in a settings file.
#[derive(Debug, Error)]
pub enum Fault {
    /// The file can't be read.
    #[error("the file can't be read: {0}")]
    Read(#[source] io::Error),
    /// The YAML is malformed, or a field is unknown, missing or of another type.
    #[error("{field}: {detail}")]
    Malformed {
        /// The field on that line, or `settings` if the line has none.
        field: SmolStr,
        /// Message of the YAML parser.
        detail: SmolStr,
    },
    /// A value is outside its permitted range.
    #[error("{field}: `{text}` is not valid; give {valid}")]
    Invalid {
        /// Name of the field whose value is rejected.
        field: SmolStr,
        /// The rejected value.
        text: SmolStr,
        /// Description of the valid values; completes `give ...`.
        valid: SmolStr,
    },
    /// An id or address that must be unique occurs more than once.
    #[error("{field}: `{text}` is used more than once; give each its own")]
    Duplicate {
        /// Name of the field in which the value is repeated.
        field: SmolStr,
        /// The repeated value.
        text: SmolStr,
    },
    /// An id refers to nothing that the settings define.
    #[error("{field}: `{text}` is unknown; valid are {known}")]
    Unknown {
        /// Name of the field that contains the id.
        field: SmolStr,
        /// The rejected id.
        text: SmolStr,
        /// The ids that exist, separated by commas.
        known: SmolStr,
    },
}

/// A fault with its line; the file is added by [`LineFault::in_file`].
#[derive(Debug, Error)]
#[error("line {line}: {fault}")]
pub struct LineFault {
    /// Line of the fault, counted from 1.
    pub line: u64,
    /// What is wrong on that line.
    pub fault: Fault,
}

impl LineFault {
    /// Adds the path of the file.
    pub fn in_file(self, file: PathBuf) -> SettingsError {
        SettingsError { file, line: self.line, fault: self.fault }
    }
}
