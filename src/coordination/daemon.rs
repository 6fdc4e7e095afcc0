//! What the programs of entry instances and keepers have in common: exit status, telemetry,
//! signals and the runtime.

use std::{future::Future, path::Path, process::ExitCode};

use tokio::{sync::watch, task::LocalSet};

use crate::{
    telemetry::{
        logs::{self, LevelHandle, LogLevel},
        metrics::{self, Metrics},
    },
    transport::signals,
};

/// What a process hands to its loop.
pub struct Context {
    /// Changes the level of the logs.
    pub level: LevelHandle,
    /// Renders the metrics.
    pub metrics: Metrics,
    /// Turns true when the process has to end its work and stop.
    pub drain: watch::Sender<bool>,
}

/// Starts telemetry and signals, and runs the process's loop on the current thread.
///
/// # Errors
///
/// Fails when telemetry, signals or the runtime can't be started, and when the loop fails.
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

/// Tells that a settings file is valid, for `--check`.
pub fn print_valid(file: &Path) {
    println!("{}: valid", file.display());
}

/// The exit status of a program; prints what failed, with its causes, on one line.
pub fn exit_code(program: &str, result: eyre::Result<()>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{program}: {error:#}");
            ExitCode::FAILURE
        }
    }
}
