//! Measures the routing core against a naive router, with both deployments' sizes and delays.
//!
//! One seeded loop drives the membership and routing cores over the stand-in's batching and
//! prefix-cache model. It prints one table and, for the seeds that the page shows, writes one plot
//! from the same runs. Arguments: seeds to pool in place of those, and names of the scenarios to
//! run, as in `cargo bench --bench routing -- 11 12 "slow idle"`.

mod decision;
mod deployment;
mod driver;
mod engine;
mod figures;
mod plot;
mod policy;
mod table;
mod traffic;

use std::env;

use deployment::{Deployment, KOORDINATU, MALABAR, SCENARIOS, Scenario};
use figures::{Figures, summarize};
use table::Row;

/// Seeds whose runs are pooled unless others are named.
const SEEDS: [u64; 3] = [1, 2, 3];

fn main() {
    let arguments: Vec<String> = env::args().skip(1).filter(|it| it != "--bench").collect();
    let named: Vec<u64> = arguments.iter().filter_map(|it| it.parse().ok()).collect();
    let seeds = if named.is_empty() { &SEEDS } else { named.as_slice() };
    let is_chosen = |it: &Scenario| arguments.iter().any(|name| name == it.name);
    let is_whole = !SCENARIOS.iter().any(is_chosen);
    decision::measure();
    let mut rows = Vec::new();
    for deployment in [KOORDINATU, MALABAR] {
        for scenario in SCENARIOS.into_iter().filter(|it| is_whole || is_chosen(it)) {
            let real = summarize(pooled(deployment, scenario, true, seeds), deployment.deadline);
            let naive = summarize(pooled(deployment, scenario, false, seeds), deployment.deadline);
            rows.push(Row { deployment, scenario, real, naive });
        }
    }
    println!("Seeds {seeds:?}.");
    table::print(&rows);
    if is_whole && named.is_empty() {
        plot::draw(&rows);
    }
}

fn pooled(deployment: Deployment, scenario: Scenario, is_real: bool, seeds: &[u64]) -> Figures {
    let mut pool = Figures::default();
    for seed in seeds {
        let run = driver::run(deployment, scenario, is_real, *seed);
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
