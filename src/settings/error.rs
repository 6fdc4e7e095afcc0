//! Why settings are refused.

use std::{io, path::PathBuf};

use smol_str::SmolStr;
use thiserror::Error;

/// A fault in a settings file and its place.
#[derive(Debug, Error)]
#[error("{}:{line}: {fault}", .file.display())]
pub struct SettingsError {
    /// The file.
    pub file: PathBuf,
    /// Line of the fault, from 1; 0 when the file could not be read at all.
    pub line: u64,
    /// The fault.
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
    Shape {
        /// The field that stands on the line.
        field: SmolStr,
        /// What the YAML reader found and expected.
        detail: SmolStr,
    },
    /// A value is outside its permitted range.
    #[error("{field}: `{text}` is not valid; give {valid}")]
    Invalid {
        /// The field.
        field: SmolStr,
        /// The refused value.
        text: SmolStr,
        /// What would be valid.
        valid: SmolStr,
    },
    /// An id or address stands twice where it must be unique.
    #[error("{field}: `{text}` is used more than once; give each its own")]
    Duplicate {
        /// The field.
        field: SmolStr,
        /// The repeated value.
        text: SmolStr,
    },
    /// An id refers to nothing in the settings.
    #[error("{field}: `{text}` is unknown; valid are {known}")]
    Unknown {
        /// The field.
        field: SmolStr,
        /// The refused id.
        text: SmolStr,
        /// The ids that exist, separated by commas.
        known: SmolStr,
    },
}

/// A fault and its line, before the file is known.
#[derive(Debug, Error)]
#[error("line {line}: {fault}")]
pub struct LineFault {
    /// Line of the fault, from 1.
    pub line: u64,
    /// The fault.
    pub fault: Fault,
}

impl LineFault {
    /// Adds the file.
    pub fn in_file(self, file: PathBuf) -> SettingsError {
        SettingsError { file, line: self.line, fault: self.fault }
    }
}
