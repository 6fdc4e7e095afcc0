//! An entry instance, which accepts and routes requests of callers.

use std::{path::PathBuf, process::ExitCode};

use bpaf::Bpaf;
use medlarlug::{
    coordination::{daemon, entry},
    settings::EntrySettings,
};

/// Accepts requests of callers and routes them to upstreams.
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
    daemon::exit_code("medlarlug-entry", start(&options().run()))
}

fn start(options: &Options) -> eyre::Result<()> {
    let settings = EntrySettings::load(&options.settings)?;
    if options.check {
        daemon::print_valid(&options.settings);
        return Ok(());
    }
    daemon::run(settings.log, |context| entry::run(settings, context))
}
