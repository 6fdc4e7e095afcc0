//! Measures the routing core against a naive router, with both deployments' sizes and delays.
//!
//! One seeded loop drives the membership and routing cores over the stand-in's batching and
//! prefix-cache model. It prints one table and writes one plot from the same runs.

mod decision;
mod deployment;
mod driver;
mod engine;
mod figures;
mod plot;
mod policy;
mod table;
mod traffic;

use deployment::{Deployment, KOORDINATU, MALABAR, SCENARIOS, Scenario};
use figures::{Figures, summarize};
use table::Row;

/// Seeds whose runs are pooled.
const SEEDS: [u64; 3] = [1, 2, 3];

fn main() {
    decision::measure();
    let mut rows = Vec::new();
    for deployment in [KOORDINATU, MALABAR] {
        for scenario in SCENARIOS {
            let real = summarize(pooled(deployment, scenario, true), deployment.deadline);
            let naive = summarize(pooled(deployment, scenario, false), deployment.deadline);
            rows.push(Row { deployment, scenario, real, naive });
        }
    }
    table::print(&rows);
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
