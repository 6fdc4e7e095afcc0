//! An entry instance: takes callers' requests in.

use std::{path::PathBuf, process::ExitCode};

use bpaf::Bpaf;
use medlarlug::{coordination::entry, settings::EntrySettings, telemetry, transport::signals};
use tokio::{sync::watch, task::LocalSet};

/// Takes callers' requests in.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Settings file (YAML)
    #[bpaf(argument("FILE"))]
    settings: PathBuf,
    /// Validate the settings without starting
    check: bool,
}

fn main() -> ExitCode {
    let options = options().run();
    match start(&options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("medlarlug-entry: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn start(options: &Options) -> eyre::Result<()> {
    let settings = EntrySettings::load(&options.settings)?;
    if options.check {
        println!("{}: valid", options.settings.display());
        return Ok(());
    }
    let level = telemetry::logs::start(settings.log)?;
    let metrics = telemetry::metrics::start()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let (drain, _) = watch::channel(false);
    LocalSet::new().block_on(&runtime, async {
        signals::watch(drain.clone())?;
        entry::run(settings, level, metrics, drain).await?;
        Ok(())
    })
}
