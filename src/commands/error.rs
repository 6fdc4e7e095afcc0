//! Errors of commands and the exit codes that report them to scripts.

use std::{error::Error, io, net::SocketAddr, path::PathBuf, process::ExitCode};

use medlarlug_core::{ids::Revision, record::Outcome};
use smol_str::SmolStr;
use thiserror::Error;

use crate::protocol::Problem;

/// An answer could not be read, or a local operation failed.
pub const UNEXPECTED: u8 = 1;
/// A flag is unknown, or an argument is missing or malformed.
pub const BAD_ARGUMENTS: u8 = 2;
/// No process could be reached.
pub const UNREACHABLE: u8 = 3;
/// The process refused the request.
pub const REFUSED: u8 = 4;
/// The request or item does not exist.
pub const NOT_FOUND: u8 = 5;
/// The release note conflicts with the configuration in effect.
pub const CONFLICT: u8 = 6;
/// The accepted revision was not confirmed everywhere in time.
pub const NOT_CONFIRMED: u8 = 7;
/// A file can't be read or is not valid.
pub const BAD_INPUT: u8 = 8;
/// It is unknown whether the change took effect.
pub const UNKNOWN: u8 = 9;

/// Why a command fails.
#[derive(Debug, Error)]
pub enum CommandError {
    /// The tokio runtime can't be built.
    #[error("the event loop can't be started")]
    Runtime(#[source] io::Error),
    /// No address of a process was given.
    #[error("no address of a process; give --at ADDR or set MEDLARLUG_AT")]
    NoAddress,
    /// A command that acts on one process was given several.
    #[error("give one --at ADDR: the command acts on that process alone")]
    SeveralAddresses,
    /// A file can't be read.
    #[error("{} can't be read", .file.display())]
    ReadFile {
        /// Path of the unreadable file, as the operator gave it.
        file: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// Standard input can't be read.
    #[error("standard input can't be read")]
    ReadStdin(#[source] io::Error),
    /// A release note is malformed, or a field of it is unknown, missing or of another type.
    #[error("{}: {detail}", .file.display())]
    InvalidFile {
        /// Path of the release note, as the operator gave it.
        file: PathBuf,
        /// Message of the YAML parser with the location.
        detail: SmolStr,
    },
    /// The bearer key is empty or contains characters that a header value can't contain.
    #[error("the bearer key is empty or contains characters other than visible ASCII")]
    InvalidKey,
    /// No process answered.
    #[error("no answer from {address}")]
    Unreachable {
        /// The last address that was tried.
        address: SocketAddr,
        /// Why there was no answer.
        source: Box<dyn Error + Send + Sync>,
    },
    /// The process refused the request.
    #[error("{address} refused: {} ({})", .problem.title, .problem.kind)]
    Refused {
        /// The process.
        address: SocketAddr,
        /// The problem document of the answer.
        problem: Box<Problem>,
    },
    /// The body of the answer is not the expected JSON.
    #[error("{address} answered status {status} with an unexpected body")]
    UnexpectedAnswer {
        /// The process.
        address: SocketAddr,
        /// HTTP status of the answer.
        status: u16,
        /// Error of the JSON parser.
        source: Option<serde_json::Error>,
    },
    /// The revision was accepted but not confirmed everywhere in time.
    #[error("revision {revision} is accepted, but not confirmed yet in: {zones}")]
    NotConfirmed {
        /// Revision whose confirmation the command waited for.
        revision: Revision,
        /// Zones that have not confirmed it, separated by commas.
        zones: SmolStr,
    },
}

impl CommandError {
    /// The exit code that the process returns for this error.
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(self.code())
    }

    /// The error and all its sources in one line.
    pub fn line(&self) -> String {
        let mut line = self.to_string();
        let mut cause = self.source();
        while let Some(error) = cause {
            line.push_str(": ");
            line.push_str(&error.to_string());
            cause = error.source();
        }
        line.replace('\n', " ")
    }

    /// The exit code as a number; one of the constants of this module.
    pub fn code(&self) -> u8 {
        match self {
            CommandError::Runtime(_)
            | CommandError::ReadStdin(_)
            | CommandError::UnexpectedAnswer { .. } => UNEXPECTED,
            CommandError::NoAddress | CommandError::SeveralAddresses => BAD_ARGUMENTS,
            CommandError::ReadFile { .. }
            | CommandError::InvalidFile { .. }
            | CommandError::InvalidKey => BAD_INPUT,
            CommandError::Unreachable { .. } => UNREACHABLE,
            CommandError::NotConfirmed { .. } => NOT_CONFIRMED,
            CommandError::Refused { problem, .. } => code_of_problem(problem),
        }
    }
}

fn code_of_problem(problem: &Problem) -> u8 {
    match (problem.outcome, problem.status) {
        (Outcome::Unknown, _) => UNKNOWN,
        (_, 404 | 410) => NOT_FOUND,
        (_, 409) => CONFLICT,
        _ => REFUSED,
    }
}
