//! The operators' command line.

use std::process::ExitCode;

fn main() -> ExitCode {
    medlarlug::commands::main()
}
