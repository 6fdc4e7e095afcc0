//! Measures the routing core against a naive router, with both deployments' sizes and delays.
//!
//! One seeded loop drives the membership and routing cores over the stand-in's batching and
//! prefix-cache model. It prints one table and writes one plot from the same runs.

mod decision;
mod deployment;
mod driver;
mod engine;
mod plot;
mod policy;
mod traffic;

use deployment::{Deployment, KOORDINATU, MALABAR, SCENARIOS, Scenario};
use driver::Figures;

/// One row of the table.
struct Row {
    deployment: Deployment,
    scenario: Scenario,
    real: Summary,
    naive: Summary,
}

/// The figures of one run.
#[derive(Debug, Clone, Copy)]
struct Summary {
    p50: f64,
    p95: f64,
    p99: f64,
    cost: f64,
    away: f64,
    hits: f64,
    good: f64,
    refused: f64,
}

/// Seeds whose runs are pooled.
const SEEDS: [u64; 3] = [1, 2, 3];

fn main() {
    decision::measure();
    let mut rows = Vec::new();
    for deployment in [KOORDINATU, MALABAR] {
        for scenario in SCENARIOS {
            let real = summarize(pooled(deployment, scenario, true));
            let naive = summarize(pooled(deployment, scenario, false));
            rows.push(Row { deployment, scenario, real, naive });
        }
    }
    print(&rows);
    plot::draw(&rows);
}

fn pooled(deployment: Deployment, scenario: Scenario, is_real: bool) -> Figures {
    let mut pool = Figures::default();
    for seed in SEEDS {
        let run = driver::run(deployment, scenario, is_real, seed);
        pool.first_tokens.extend(run.first_tokens);
        pool.cost += run.cost;
        pool.requests += run.requests;
        pool.good += run.good;
        pool.refused += run.refused;
        pool.away += run.away;
        pool.hits += run.hits;
        pool.starts += run.starts;
    }
    pool
}

fn summarize(mut figures: Figures) -> Summary {
    let times = &mut figures.first_tokens;
    times.sort_by(f64::total_cmp);
    let at = |share: f64| times[((times.len() - 1) as f64 * share) as usize];
    let served = times.len() as f64;
    let requests = figures.requests as f64;
    Summary {
        p50: at(0.5),
        p95: at(0.95),
        p99: at(0.99),
        cost: figures.cost / served * 1_000.0,
        away: figures.away as f64 / requests,
        hits: figures.hits as f64 / figures.starts as f64,
        good: figures.good as f64,
        refused: figures.refused as f64 / requests,
    }
}

fn print(rows: &[Row]) {
    println!("First token in seconds, cost per 1,000 served, shares in percent; refused counts");
    println!("refusals and callers that gave up at the deadline; forced is the away share that");
    println!("lost or exceeded capacity forces.");
    println!(
        "{:<17}{:<12}{:<6}{:>7}{:>7}{:>7}{:>7}{:>7}{:>7}{:>7}{:>7}{:>9}",
        "deployment",
        "scenario",
        "router",
        "p50",
        "p95",
        "p99",
        "cost",
        "away",
        "forced",
        "hits",
        "good",
        "refused"
    );
    for row in rows {
        for (name, it) in [("real", row.real), ("naive", row.naive)] {
            println!(
                "{:<17}{:<12}{:<6}{:>7.3}{:>7.3}{:>7.3}{:>7.1}{:>7.1}{:>7.1}{:>7.1}{:>7}{:>9.1}",
                row.deployment.name,
                row.scenario.name,
                name,
                it.p50,
                it.p95,
                it.p99,
                it.cost,
                it.away * 100.0,
                row.scenario.forced() * 100.0,
                it.hits * 100.0,
                it.good,
                it.refused * 100.0
            );
        }
    }
}
