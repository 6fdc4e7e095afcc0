//! Logs: one JSON object a line on standard error.
//!
//! Request events carry the fields `request`, `instance` and `zone`.

use std::{fmt, io, str::FromStr};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use thiserror::Error;
use tracing_subscriber::{
    Registry, filter::LevelFilter, fmt as format, layer::SubscriberExt, reload,
    util::SubscriberInitExt,
};

/// Least severe events that are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Failures that need an operator.
    Error,
    /// Conditions that may need one.
    Warn,
    /// Starts, stops, ends of requests, changes of configuration and membership.
    Info,
    /// Steps of requests and calls that need no operator.
    Debug,
    /// Each message.
    Trace,
}

/// A text that names no log level.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("`{text}` is no log level; valid are error, warn, info, debug and trace")]
pub struct LogLevelError {
    /// The refused text.
    pub text: SmolStr,
}

impl LogLevel {
    fn filter(self) -> LevelFilter {
        match self {
            LogLevel::Error => LevelFilter::ERROR,
            LogLevel::Warn => LevelFilter::WARN,
            LogLevel::Info => LevelFilter::INFO,
            LogLevel::Debug => LevelFilter::DEBUG,
            LogLevel::Trace => LevelFilter::TRACE,
        }
    }
}

impl fmt::Display for LogLevel {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            LogLevel::Error => "error",
            LogLevel::Warn => "warn",
            LogLevel::Info => "info",
            LogLevel::Debug => "debug",
            LogLevel::Trace => "trace",
        })
    }
}

impl FromStr for LogLevel {
    type Err = LogLevelError;

    fn from_str(text: &str) -> Result<LogLevel, LogLevelError> {
        match text {
            "error" => Ok(LogLevel::Error),
            "warn" => Ok(LogLevel::Warn),
            "info" => Ok(LogLevel::Info),
            "debug" => Ok(LogLevel::Debug),
            "trace" => Ok(LogLevel::Trace),
            _ => Err(LogLevelError { text: text.into() }),
        }
    }
}

/// Changes the level of the logs while the process runs.
#[derive(Debug, Clone)]
pub struct LevelHandle(reload::Handle<LevelFilter, Registry>);

/// The logs can't be started or changed.
#[derive(Debug, Error)]
pub enum LogError {
    /// The process has logs already.
    #[error("logs are started already")]
    Started,
    /// The subscriber is gone.
    #[error("the level of the logs can't be changed")]
    Gone(#[source] reload::Error),
}

impl LevelHandle {
    /// Writes events of `level` and above from now on.
    ///
    /// # Errors
    ///
    /// Fails when the subscriber is gone.
    pub fn set(&self, level: LogLevel) -> Result<(), LogError> {
        self.0.reload(level.filter()).map_err(LogError::Gone)
    }
}

/// Starts the logs of the process.
///
/// ```
/// use medlarlug::telemetry::logs::{self, LogLevel};
///
/// let level = logs::start(LogLevel::Info)?;
/// tracing::info!(instance = "entry-1", "started");
/// level.set(LogLevel::Warn)?;
/// # Ok::<(), logs::LogError>(())
/// ```
///
/// # Errors
///
/// Fails when the process has logs already.
pub fn start(level: LogLevel) -> Result<LevelHandle, LogError> {
    let (filter, handle) = reload::Layer::new(level.filter());
    let lines =
        format::layer().json().flatten_event(true).with_current_span(false).with_writer(io::stderr);
    let subscriber = tracing_subscriber::registry().with(filter).with(lines);
    subscriber.try_init().map_err(|_| LogError::Started)?;
    Ok(LevelHandle(handle))
}
