//! A keeper: replicates the configuration, bookings and request records.

use std::{path::PathBuf, process::ExitCode};

use bpaf::Bpaf;
use medlarlug::{coordination::keeper, settings::KeeperSettings, telemetry, transport::signals};
use tokio::{sync::watch, task::LocalSet};

/// Replicates the configuration, bookings and request records.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Settings file (YAML)
    #[bpaf(argument("FILE"))]
    settings: PathBuf,
    /// Validate the settings without starting
    check: bool,
    /// Rebuild a group that lost its majority from this stopped keeper's data folder
    #[bpaf(argument("GROUP"))]
    rebuild: Option<String>,
}

fn main() -> ExitCode {
    let options = options().run();
    match start(&options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("medlarlug-keeper: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn start(options: &Options) -> eyre::Result<()> {
    let settings = KeeperSettings::load(&options.settings)?;
    if options.check {
        println!("{}: valid", options.settings.display());
        return Ok(());
    }
    if let Some(group) = &options.rebuild {
        keeper::rebuild::rebuild(&settings, group)?;
        println!("{group}: rebuilt from {}", settings.instance);
        return Ok(());
    }
    let level = telemetry::logs::start(settings.log)?;
    let metrics = telemetry::metrics::start()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let (drain, _) = watch::channel(false);
    LocalSet::new().block_on(&runtime, async {
        signals::watch(drain.clone())?;
        keeper::run(settings, level, metrics, drain).await?;
        Ok(())
    })
}
