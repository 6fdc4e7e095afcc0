//! Code that the programs of entry instances and keepers share: exit codes, telemetry, signals and
//! the runtime.

use std::{future::Future, path::Path, process::ExitCode};

use tokio::{sync::watch, task::LocalSet};

use crate::{
    telemetry::{
        logs::{self, LevelHandle, LogLevel},
        metrics::{self, Metrics},
    },
    transport::signals,
};

/// Handles that [`run`] passes to the main function of a process.
pub struct Context {
    /// Changes the log level while the process runs.
    pub level: LevelHandle,
    /// Renders the metrics of the process for `GET /metrics`.
    pub metrics: Metrics,
    /// Set to true, by a signal or an operator, when the process has to drain and stop.
    pub drain: watch::Sender<bool>,
}

/// Starts telemetry and signal handling, and runs `main` on the current thread.
///
/// # Errors
///
/// Fails when telemetry, signal handling or the runtime can't be started, and when `main` fails.
pub fn run<F, E>(log: LogLevel, main: impl FnOnce(Context) -> F) -> eyre::Result<()>
where
    F: Future<Output = Result<(), E>>,
    E: std::error::Error + Send + Sync + 'static,
{
    let level = logs::start(log)?;
    let metrics = metrics::start()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let (drain, _) = watch::channel(false);
    LocalSet::new().block_on(&runtime, async {
        signals::watch(drain.clone())?;
        main(Context { level, metrics, drain }).await?;
        Ok(())
    })
}

/// Prints that a settings file is valid, for `--check`.
pub fn print_valid(file: &Path) {
    println!("{}: valid", file.display());
}

/// The exit code of a program. An error is printed to stderr with its causes, on one line.
pub fn exit_code(program: &str, result: eyre::Result<()>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{program}: {error:#}");
            ExitCode::FAILURE
        }
    }
}
