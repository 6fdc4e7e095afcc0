//! Logs with one JSON object per line, on standard error or, through a buffer that never blocks, on
//! standard output.
//!
//! Request events carry the fields `request`, `instance` and `zone`.

use std::{
    fmt, io,
    str::FromStr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread,
    time::Duration,
};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use thiserror::Error;
use tracing_subscriber::{
    Registry, filter::LevelFilter, fmt as format, layer::SubscriberExt, reload,
    util::SubscriberInitExt,
};

/// Log level: events of this level and above are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Failures that need the attention of an operator.
    Error,
    /// Conditions that may need the attention of an operator.
    Warn,
    /// Starts, stops, completed requests, and changes of configuration and membership.
    Info,
    /// Steps of requests, and failed calls that were handled.
    Debug,
    /// Every message between processes.
    Trace,
}

/// A text that is not a log level.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("`{text}` is not a log level; valid are error, warn, info, debug and trace")]
pub struct LogLevelError {
    /// Text that was parsed, unchanged; levels are written in lower case.
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

/// Changes the log level while the process runs.
#[derive(Debug, Clone)]
pub struct LevelHandle(reload::Handle<LevelFilter, Registry>);

/// Why logging could not be started, or the log level not be changed.
#[derive(Debug, Error)]
pub enum LogError {
    /// The process has a global subscriber already.
    #[error("logging was started already")]
    Started,
    /// The thread that writes buffered lines can't be started.
    #[error("failed to start the thread that writes logs")]
    Thread(#[source] io::Error),
    /// The subscriber was dropped.
    #[error("the level of the logs can't be changed")]
    SubscriberDropped(#[source] reload::Error),
}

impl LevelHandle {
    /// Sets the log level.
    ///
    /// # Errors
    ///
    /// Fails when the subscriber was dropped.
    pub fn set(&self, level: LogLevel) -> Result<(), LogError> {
        self.0.reload(level.filter()).map_err(LogError::SubscriberDropped)
    }
}

/// Starts logging to standard error.
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
/// Fails when logging was started already.
pub fn start(level: LogLevel) -> Result<LevelHandle, LogError> {
    let (filter, handle) = reload::Layer::new(level.filter());
    let lines =
        format::layer().json().flatten_event(true).with_current_span(false).with_writer(io::stderr);
    let subscriber = tracing_subscriber::registry().with(filter).with(lines);
    subscriber.try_init().map_err(|_| LogError::Started)?;
    Ok(LevelHandle(handle))
}

/// Starts logging to standard output through a bounded buffer that a thread empties. If the reader of
/// standard output stops reading, lines are dropped and counted, and no other thread is delayed.
///
/// # Errors
///
/// Fails when logging was started already, or the thread can't be started.
pub fn start_buffered(level: LogLevel) -> Result<(LevelHandle, LineBuffer), LogError> {
    let (filter, handle) = reload::Layer::new(level.filter());
    let buffer = LineBuffer::default();
    let sink = buffer.clone();
    let lines = format::layer()
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_target(false)
        .with_writer(move || sink.clone());
    let subscriber = tracing_subscriber::registry().with(filter).with(lines);
    subscriber.try_init().map_err(|_| LogError::Started)?;
    let writer = buffer.clone();
    let spawned = thread::Builder::new().name("logs".into()).spawn(move || {
        loop {
            thread::sleep(FLUSH_INTERVAL);
            writer.flush_to(&mut io::stdout());
        }
    });
    spawned.map_err(LogError::Thread)?;
    Ok((LevelHandle(handle), buffer))
}

/// Time between two writes of buffered lines.
const FLUSH_INTERVAL: Duration = Duration::from_millis(250);

/// Capacity of the buffer; further lines are dropped and counted.
const BUFFER_BYTES: usize = 1 << 20;

#[derive(Debug, Default)]
struct Buffered {
    bytes: Vec<u8>,
    dropped_lines: u64,
}

/// A bounded buffer of log lines that wait to be written; clones share it.
///
/// ```
/// use std::io::Write;
/// use medlarlug::telemetry::logs::LineBuffer;
///
/// let mut buffer = LineBuffer::default();
/// buffer.write_all(b"{}\n")?;
/// let mut out = Vec::new();
/// buffer.flush_to(&mut out);
/// assert_eq!(out, b"{}\n");
/// # Ok::<(), std::io::Error>(())
/// ```
#[derive(Debug, Clone, Default)]
pub struct LineBuffer(Arc<Mutex<Buffered>>);

impl LineBuffer {
    /// Writes the buffered lines to `out`, followed by a line with the number of dropped ones, if any.
    /// If `out` fails, the lines are lost, because there is no other place to report the error.
    pub fn flush_to(&self, out: &mut impl io::Write) {
        let buffered = std::mem::take(&mut *self.lock());
        let _ = out.write_all(&buffered.bytes);
        if buffered.dropped_lines > 0 {
            let dropped = buffered.dropped_lines;
            let line = format!(
                "{{\"level\":\"WARN\",\"message\":\"log lines dropped\",\"dropped\":{dropped}}}\n"
            );
            let _ = out.write_all(line.as_bytes());
        }
        let _ = out.flush();
    }

    fn lock(&self) -> MutexGuard<'_, Buffered> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl io::Write for LineBuffer {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut buffered = self.lock();
        match buffered.bytes.len() + line.len() > BUFFER_BYTES {
            true => buffered.dropped_lines += 1,
            false => buffered.bytes.extend_from_slice(line),
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
