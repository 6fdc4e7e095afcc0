//! The operators' command line: one module for each command.
//!
//! A command's module holds its arguments and its `exec`. `exec` gets a [`Context`], which
//! talks to the operators' port of a process and knows how to print. Failures are
//! [`CommandError`]s, each with a distinct [exit code](error).

pub mod client;
mod context;
mod drain;
mod dump;
pub mod error;
mod key;
mod log_level;
mod release;
mod request;
mod status;
mod table;
mod upstreams;

use std::process::ExitCode;

use bpaf::{Bpaf, ParseFailure};
use tokio::{runtime::Builder, task::LocalSet};

pub use context::{Common, Context};
pub use error::CommandError;

const EXIT_CODES: &str = "Exit codes: 0 done, 1 unexpected answer, 2 bad arguments, \
     3 process unreachable, 4 refused, 5 not found, 6 conflict, 7 not in force everywhere in time, \
     8 bad input file, 9 outcome unknown";

/// Width of help texts, in characters.
const HELP_WIDTH: usize = 100;

/// Width that keeps an error in one line.
const ERROR_WIDTH: usize = 10_000;

/// Drives and inspects a medlarlug deployment
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version, footer(EXIT_CODES))]
enum Command {
    /// Checks, applies and shows release notes
    #[bpaf(command)]
    Release(#[bpaf(external(release::release))] release::Release),
    /// Shows what a process knows of itself and of others
    #[bpaf(command)]
    Status(#[bpaf(external(status::status))] status::Status),
    /// Tells what became of a request
    #[bpaf(command)]
    Request(#[bpaf(external(request::request))] request::Request),
    /// Lists the upstreams that an entry instance knows
    #[bpaf(command)]
    Upstreams(#[bpaf(external(upstreams::upstreams))] upstreams::Upstreams),
    /// Prints the whole state of a process as JSON
    #[bpaf(command)]
    Dump(#[bpaf(external(dump::dump))] dump::Dump),
    /// Lets a process end its requests and stop
    #[bpaf(command)]
    Drain(#[bpaf(external(drain::drain))] drain::Drain),
    /// Changes the level of a process's logs
    #[bpaf(command("log-level"))]
    LogLevel(#[bpaf(external(log_level::log_level))] log_level::LogLevelArgs),
    /// Works with bearer keys
    #[bpaf(command)]
    Key(#[bpaf(external(key::key))] key::Key),
}

impl Command {
    async fn exec(self) -> Result<(), CommandError> {
        match self {
            Command::Release(it) => it.exec().await,
            Command::Status(it) => it.exec().await,
            Command::Request(it) => it.exec().await,
            Command::Upstreams(it) => it.exec().await,
            Command::Dump(it) => it.exec().await,
            Command::Drain(it) => it.exec().await,
            Command::LogLevel(it) => it.exec().await,
            Command::Key(it) => it.exec(),
        }
    }
}

/// Parses the process's arguments, runs the command and prints its failure, if it fails.
pub fn main() -> ExitCode {
    let command = match command().run_inner(bpaf::Args::current_args()) {
        Ok(command) => command,
        Err(failure) => return report(&failure),
    };
    match run(command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("medlarlug: {}", error.line());
            error.exit_code()
        }
    }
}

fn report(failure: &ParseFailure) -> ExitCode {
    match failure {
        ParseFailure::Stderr(_) => {
            failure.print_message(ERROR_WIDTH);
            ExitCode::from(error::BAD_ARGUMENTS)
        }
        _ => {
            failure.print_message(HELP_WIDTH);
            ExitCode::SUCCESS
        }
    }
}

fn run(command: Command) -> Result<(), CommandError> {
    let runtime =
        Builder::new_current_thread().enable_all().build().map_err(CommandError::Runtime)?;
    LocalSet::new().block_on(&runtime, command.exec())
}
