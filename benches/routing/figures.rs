//! Measurements of simulation runs and their summary.

#[derive(Debug, Clone, Default)]
pub struct Figures {
    pub token_times: Vec<f64>,
    pub cost: f64,
    pub requests: usize,
    pub within_deadline: usize,
    pub refused: usize,
    pub remote: usize,
    pub cache_hits: usize,
    pub starts: usize,
}

/// Summary of the pooled runs of one router in one scenario.
///
/// `cost` is per 1,000 served requests, `remote` and `refused` are shares of all requests, and
/// `cache_hits` is a share of the requests that an engine started.
#[derive(Debug, Clone, Copy)]
pub struct Summary {
    pub p50: f64,
    pub p95: f64,
    pub p99: f64,
    /// Percentiles over all requests; the deadline is the time of those without a first token.
    pub all_p95: f64,
    pub all_p99: f64,
    pub cost: f64,
    pub remote: f64,
    pub cache_hits: f64,
    pub within_deadline: f64,
    pub refused: f64,
}

pub fn summarize(mut figures: Figures, deadline: f64) -> Summary {
    let times = &mut figures.token_times;
    times.sort_by(f64::total_cmp);
    let at = |share: f64| percentile(times, share);
    let mut all = times.clone();
    all.resize(figures.requests.max(times.len()), deadline);
    all.sort_by(f64::total_cmp);
    let served = times.len() as f64;
    let requests = figures.requests as f64;
    Summary {
        p50: at(0.5),
        p95: at(0.95),
        p99: at(0.99),
        all_p95: percentile(&all, 0.95),
        all_p99: percentile(&all, 0.99),
        cost: figures.cost / served * 1_000.0,
        remote: figures.remote as f64 / requests,
        cache_hits: figures.cache_hits as f64 / figures.starts as f64,
        within_deadline: figures.within_deadline as f64,
        refused: figures.refused as f64 / requests,
    }
}

fn percentile(sorted: &[f64], share: f64) -> f64 {
    sorted[((sorted.len() - 1) as f64 * share) as usize]
}
