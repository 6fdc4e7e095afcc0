//! A keeper, which replicates the configuration, bookings and request records.

use std::{path::PathBuf, process::ExitCode};

use bpaf::Bpaf;
use medlarlug::{
    coordination::{daemon, keeper},
    settings::KeeperSettings,
};

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
    daemon::exit_code("medlarlug-keeper", start(&options().run()))
}

fn start(options: &Options) -> eyre::Result<()> {
    let settings = KeeperSettings::load(&options.settings)?;
    if options.check {
        daemon::print_valid(&options.settings);
        return Ok(());
    }
    if let Some(group) = &options.rebuild {
        keeper::rebuild::rebuild(&settings, group)?;
        println!("{group}: rebuilt from {}", settings.instance);
        return Ok(());
    }
    daemon::run(settings.log, |context| keeper::run(settings, context))
}
