//! Figures of one run, and their summary.

#[derive(Debug, Clone, Default)]
pub struct Figures {
    pub first_tokens: Vec<f64>,
    pub cost: f64,
    pub requests: usize,
    pub good: usize,
    pub refused: usize,
    pub away: usize,
    pub hits: usize,
    pub starts: usize,
}

/// The figures of one run.
#[derive(Debug, Clone, Copy)]
pub struct Summary {
    pub p50: f64,
    pub p95: f64,
    pub p99: f64,
    /// Percentiles over all requests, of which the lost ones take the deadline.
    pub all_p95: f64,
    pub all_p99: f64,
    pub cost: f64,
    pub away: f64,
    pub hits: f64,
    pub good: f64,
    pub refused: f64,
}

pub fn summarize(mut figures: Figures, deadline: f64) -> Summary {
    let times = &mut figures.first_tokens;
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
        away: figures.away as f64 / requests,
        hits: figures.hits as f64 / figures.starts as f64,
        good: figures.good as f64,
        refused: figures.refused as f64 / requests,
    }
}

fn percentile(sorted: &[f64], share: f64) -> f64 {
    sorted[((sorted.len() - 1) as f64 * share) as usize]
}
