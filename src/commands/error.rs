//! Why a command fails, and the exit code that tells it to scripts.

use std::{error::Error, io, net::SocketAddr, path::PathBuf, process::ExitCode};

use medlarlug_core::{ids::Revision, record::Outcome};
use smol_str::SmolStr;
use thiserror::Error;

use crate::protocol::Problem;

/// An answer that can't be read, or a failure of the local machine.
pub const UNEXPECTED: u8 = 1;
/// Unknown flags, missing or malformed arguments.
pub const BAD_ARGUMENTS: u8 = 2;
/// No process could be reached.
pub const UNREACHABLE: u8 = 3;
/// The process refused.
pub const REFUSED: u8 = 4;
/// There is no such request or item.
pub const NOT_FOUND: u8 = 5;
/// The release note conflicts with what is in force.
pub const CONFLICT: u8 = 6;
/// The accepted revision was not confirmed everywhere in time.
pub const NOT_CONFIRMED: u8 = 7;
/// A file can't be read or is not valid.
pub const BAD_INPUT: u8 = 8;
/// The process could not tell whether the change is in force.
pub const UNKNOWN: u8 = 9;

/// Why a command fails.
#[derive(Debug, Error)]
pub enum CommandError {
    /// The machine gives no event loop.
    #[error("the event loop can't be started")]
    Runtime(#[source] io::Error),
    /// No address was given.
    #[error("no process to ask; give --at ADDR or set MEDLARLUG_AT")]
    NoAddress,
    /// A command that acts on one process was given several.
    #[error("give one --at ADDR: the command acts on that process alone")]
    ManyAddresses,
    /// A file can't be read.
    #[error("{} can't be read", .file.display())]
    Read {
        /// The file.
        file: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// Standard input can't be read.
    #[error("standard input can't be read")]
    Input(#[source] io::Error),
    /// A file is not valid.
    #[error("{}: {detail}", .file.display())]
    Invalid {
        /// The file.
        file: PathBuf,
        /// What is wrong, and where.
        detail: SmolStr,
    },
    /// The bearer key is empty or holds characters that a header can't carry.
    #[error("the bearer key is empty or holds white space or control characters")]
    Key,
    /// No process answered.
    #[error("no answer from {address}")]
    Unreachable {
        /// The last address that was tried.
        address: SocketAddr,
        /// Why.
        source: Box<dyn Error + Send + Sync>,
    },
    /// The process refused.
    #[error("{address} refused: {} ({})", .problem.title, .problem.kind)]
    Refused {
        /// The process.
        address: SocketAddr,
        /// Its reason.
        problem: Box<Problem>,
    },
    /// The answer is no such JSON.
    #[error("{address} answered status {status} with an unexpected body")]
    Answer {
        /// The process.
        address: SocketAddr,
        /// Status of the answer.
        status: u16,
        /// What is wrong with the body.
        source: Option<serde_json::Error>,
    },
    /// The revision was accepted but not confirmed everywhere in time.
    #[error("revision {revision} is accepted, but not confirmed yet in: {zones}")]
    NotConfirmed {
        /// The revision.
        revision: Revision,
        /// Zones that have not confirmed it, separated by commas.
        zones: SmolStr,
    },
}

impl CommandError {
    /// The exit code.
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(self.code())
    }

    /// The failure and its causes in one line.
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

    /// The number of the exit code.
    pub fn code(&self) -> u8 {
        match self {
            CommandError::Runtime(_) | CommandError::Input(_) | CommandError::Answer { .. } => {
                UNEXPECTED
            }
            CommandError::NoAddress | CommandError::ManyAddresses => BAD_ARGUMENTS,
            CommandError::Read { .. } | CommandError::Invalid { .. } | CommandError::Key => {
                BAD_INPUT
            }
            CommandError::Unreachable { .. } => UNREACHABLE,
            CommandError::NotConfirmed { .. } => NOT_CONFIRMED,
            CommandError::Refused { problem, .. } => problem_code(problem),
        }
    }
}

fn problem_code(problem: &Problem) -> u8 {
    match (problem.outcome, problem.status) {
        (Outcome::Unknown, _) => UNKNOWN,
        (_, 404 | 410) => NOT_FOUND,
        (_, 409) => CONFLICT,
        _ => REFUSED,
    }
}
