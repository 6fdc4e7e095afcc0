//! `medlarlug log-level`: changes the log level of a process.

use bpaf::Bpaf;
use hyper::Method;

use crate::{
    commands::{
        context::{Common, common},
        error::CommandError,
    },
    protocol::operators::LevelChange,
    telemetry::logs::LogLevel,
};

/// Arguments of `log-level`.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(log_level), ignore_rustdoc)]
pub struct LogLevelArgs {
    #[bpaf(external)]
    common: Common,
    /// error, warn, info, debug or trace
    #[bpaf(positional("LEVEL"))]
    level: LogLevel,
}

impl LogLevelArgs {
    /// Runs the command and prints its result to standard output.
    pub async fn exec(self) -> Result<(), CommandError> {
        let context = self.common.context()?;
        context.client.require_one()?;
        let change = LevelChange { level: self.level };
        let answer: LevelChange = context.client.send(Method::PUT, "/log-level", &change).await?;
        context.print(&answer, |it| format!("log level {}\n", it.level));
        Ok(())
    }
}
