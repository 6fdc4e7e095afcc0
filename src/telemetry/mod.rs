//! Logs as JSON lines and metrics.
