//! Logs as JSON lines and metrics.
//!
//! [`logs`] writes one JSON object a line to standard error; its level can be changed while the
//! process runs. [`metrics`] keeps counters, gauges and histograms and renders them as Prometheus
//! text; the process serves that text on its operators' port.

pub mod logs;
pub mod metrics;
