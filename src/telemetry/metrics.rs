//! Metrics in the Prometheus text format.
//!
//! The constants of this module are the names of the metrics; [`start`] registers a description of
//! each one, which the rendered text includes.

use metrics::{Unit, describe_counter, describe_gauge, describe_histogram};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use thiserror::Error;

use crate::transport::memory;

/// Counter: completed requests. Label: `outcome`.
pub const REQUESTS: &str = "medlarlug_requests_total";
/// Histogram in seconds: from a request's arrival to the first byte of its answer.
pub const FIRST_BYTE: &str = "medlarlug_first_byte_seconds";
/// Histogram in seconds: from a request's arrival to the end of its answer.
pub const DURATION: &str = "medlarlug_request_seconds";
/// Counter: requests that were forwarded to another availability zone.
pub const FORWARDED: &str = "medlarlug_requests_forwarded_total";
/// Counter: retries, which are the attempts of a request after its first one.
pub const RETRIES: &str = "medlarlug_retries_total";
/// Counter: answers that were dropped because they carry the id of another request (misdelivered).
pub const CROSSED: &str = "medlarlug_crossed_answers_total";
/// Gauge: requests in flight in this process.
pub const RUNNING: &str = "medlarlug_requests_running";
/// Gauge: upstreams of the process's own zone that accept requests.
pub const UPSTREAMS: &str = "medlarlug_upstreams";
/// Gauge: configuration revision in effect.
pub const REVISION: &str = "medlarlug_revision";

/// Handle to the metrics of the process.
#[derive(Clone)]
pub struct Metrics(PrometheusHandle);

/// The process has a global metrics recorder already.
#[derive(Debug, Error)]
#[error("metrics were started already")]
pub struct MetricsError;

impl Metrics {
    /// The metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        self.0.render()
    }

    /// Maintenance that has to run periodically, or histograms grow without bound.
    pub fn upkeep(&self) {
        self.0.run_upkeep();
    }
}

/// Installs the global metrics recorder of the process.
///
/// ```
/// use medlarlug::telemetry::metrics;
///
/// let metrics = metrics::start()?;
/// ::metrics::gauge!(metrics::REVISION).set(3.0);
/// assert!(metrics.render().contains("medlarlug_revision 3"));
/// # Ok::<(), metrics::MetricsError>(())
/// ```
///
/// # Errors
///
/// Fails when the process has a global recorder already.
pub fn start() -> Result<Metrics, MetricsError> {
    let recorder = PrometheusBuilder::new().build_recorder();
    let handle = recorder.handle();
    metrics::set_global_recorder(recorder).map_err(|_| MetricsError)?;
    describe();
    Ok(Metrics(handle))
}

fn describe() {
    describe_counter!(REQUESTS, "Requests that ended, by outcome");
    describe_histogram!(FIRST_BYTE, Unit::Seconds, "Arrival to first byte of the answer");
    describe_histogram!(DURATION, Unit::Seconds, "Arrival to end of the answer");
    memory::describe();
    describe_counter!(FORWARDED, "Requests handed to another availability zone");
    describe_counter!(RETRIES, "Attempts after the first one");
    describe_counter!(CROSSED, "Answers dropped because they belong to another request");
    describe_gauge!(RUNNING, "Requests that run");
    describe_gauge!(UPSTREAMS, "Upstreams of the own zone that take work");
    describe_gauge!(REVISION, "Configuration revision in force");
}
