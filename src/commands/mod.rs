//! The operators' command line: one module for each command.
//!
//! The module of a command defines its arguments and its function `exec`. `exec` creates a
//! [`Context`] with a client for the operators' port of a process and the output format. Errors are
//! [`CommandError`]s, each of which has an [exit code](error).

pub mod client;
mod context;
mod drain;
mod dump;
pub mod error;
mod explain;
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

const HELP_WIDTH_CHARS: usize = 100;

/// Large enough to print an error in one line.
const ERROR_WIDTH_CHARS: usize = 10_000;

/// Operates and inspects a medlarlug deployment
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version, footer(EXIT_CODES))]
enum Command {
    /// Checks, applies and shows release notes
    #[bpaf(command)]
    Release(#[bpaf(external(release::release))] release::Release),
    /// Shows the status of a process and of the peers that it knows
    #[bpaf(command)]
    Status(#[bpaf(external(status::status))] status::Status),
    /// Shows the record of a request
    #[bpaf(command)]
    Request(#[bpaf(external(request::request))] request::Request),
    /// Lists the upstreams that an entry instance knows
    #[bpaf(command)]
    Upstreams(#[bpaf(external(upstreams::upstreams))] upstreams::Upstreams),
    /// Tells where a call would go now from an entry instance of the platform, and why
    #[bpaf(command)]
    Explain(#[bpaf(external(explain::explain))] explain::Explain),
    /// Prints the complete state of a process as JSON
    #[bpaf(command)]
    Dump(#[bpaf(external(dump::dump))] dump::Dump),
    /// Lets a process finish its requests and stop
    #[bpaf(command)]
    Drain(#[bpaf(external(drain::drain))] drain::Drain),
    /// Changes the log level of a process
    #[bpaf(command("log-level"))]
    LogLevel(#[bpaf(external(log_level::log_level))] log_level::LogLevelArgs),
    /// Handles bearer keys
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
            Command::Explain(it) => it.exec().await,
            Command::Dump(it) => it.exec().await,
            Command::Drain(it) => it.exec().await,
            Command::LogLevel(it) => it.exec().await,
            Command::Key(it) => it.exec(),
        }
    }
}

/// Parses the arguments of the process and runs the command; prints an error to standard error and
/// returns its exit code.
pub fn main() -> ExitCode {
    let command = match command().run_inner(bpaf::Args::current_args()) {
        Ok(command) => command,
        Err(failure) => return print_parse_failure(&failure),
    };
    match run(command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("medlarlug: {}", error.line());
            error.exit_code()
        }
    }
}

fn print_parse_failure(failure: &ParseFailure) -> ExitCode {
    match failure {
        ParseFailure::Stderr(_) => {
            failure.print_message(ERROR_WIDTH_CHARS);
            ExitCode::from(error::BAD_ARGUMENTS)
        }
        _ => {
            failure.print_message(HELP_WIDTH_CHARS);
            ExitCode::SUCCESS
        }
    }
}

fn run(command: Command) -> Result<(), CommandError> {
    let runtime =
        Builder::new_current_thread().enable_all().build().map_err(CommandError::Runtime)?;
    LocalSet::new().block_on(&runtime, command.exec())
}
