//! Compares the routing core with a naive router in a simulation of two deployments.
//!
//! A seeded event loop drives the membership and routing cores over the stand-in's model of
//! batching and prefix caching. It prints one table. A run of all scenarios with the default
//! seeds, which are those that the page shows, also draws `docs/plots/routing.svg`. Arguments: seeds
//! to pool in place of the default ones, and names of the scenarios to run, as in
//! `cargo bench --bench routing -- 11 12 "slow idle"`.

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

/// Seeds whose runs are pooled unless the arguments name others.
const DEFAULT_SEEDS: [u64; 3] = [1, 2, 3];

fn main() {
    let arguments: Vec<String> = env::args().skip(1).filter(|it| it != "--bench").collect();
    let given_seeds: Vec<u64> = arguments.iter().filter_map(|it| it.parse().ok()).collect();
    let seeds = if given_seeds.is_empty() { &DEFAULT_SEEDS } else { given_seeds.as_slice() };
    let is_selected = |it: &Scenario| arguments.iter().any(|name| name == it.name);
    let runs_all = !SCENARIOS.iter().any(is_selected);
    decision::measure();
    let mut rows = Vec::new();
    for deployment in [KOORDINATU, MALABAR] {
        for scenario in SCENARIOS.into_iter().filter(|it| runs_all || is_selected(it)) {
            let real =
                summarize(run_pooled(deployment, scenario, true, seeds), deployment.deadline);
            let naive =
                summarize(run_pooled(deployment, scenario, false, seeds), deployment.deadline);
            rows.push(Row { deployment, scenario, real, naive });
        }
    }
    println!("Seeds {seeds:?}.");
    table::print(&rows);
    if runs_all && given_seeds.is_empty() {
        plot::draw(&rows);
    }
}

fn run_pooled(deployment: Deployment, scenario: Scenario, is_real: bool, seeds: &[u64]) -> Figures {
    let mut total = Figures::default();
    for seed in seeds {
        let run = driver::run(deployment, scenario, is_real, *seed);
        total.token_times.extend(run.token_times);
        total.cost += run.cost;
        total.requests += run.requests;
        total.within_deadline += run.within_deadline;
        total.refused += run.refused;
        total.remote += run.remote;
        total.cache_hits += run.cache_hits;
        total.starts += run.starts;
    }
    total
}
