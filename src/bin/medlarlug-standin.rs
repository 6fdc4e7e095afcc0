//! Emulated upstreams for tests, demos and measurements.

use std::{path::PathBuf, process::ExitCode};

use bpaf::Bpaf;
use medlarlug::{
    coordination::daemon,
    settings::StandinSettings,
    standin,
    telemetry::logs::{self, LogLevel},
};

/// Emulates model engines and plain services.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Settings file (YAML)
    #[bpaf(argument("FILE"))]
    settings: PathBuf,
    /// Validate the settings without starting
    check: bool,
    /// Log level: error, warn, info, debug or trace
    #[bpaf(argument("LEVEL"), fallback(LogLevel::Info), display_fallback)]
    log: LogLevel,
}

fn main() -> ExitCode {
    daemon::exit_code("medlarlug-standin", start(&options().run()))
}

fn start(options: &Options) -> eyre::Result<()> {
    let settings = StandinSettings::load(&options.settings)?;
    if options.check {
        daemon::print_valid(&options.settings);
        return Ok(());
    }
    logs::start(options.log)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(standin::run(settings))?;
    Ok(())
}
