//! Logs and metrics.
//!
//! [`logs`] writes one JSON object per line; the log level can be changed while the process runs.
//! [`metrics`] records counters, gauges and histograms and renders them in the Prometheus text format,
//! which the process serves on its operators' port.

pub mod logs;
pub mod metrics;
