//! Prints the results as a table.

use crate::{
    deployment::{Deployment, Scenario},
    figures::Summary,
};

/// Results of both routers in one scenario of one deployment.
pub struct Row {
    pub deployment: Deployment,
    pub scenario: Scenario,
    pub real: Summary,
    pub naive: Summary,
}

pub fn print(rows: &[Row]) {
    println!("Time to first token in seconds, cost per 1,000 served, shares in percent; refused");
    println!(
        "counts refusals and callers that gave up at the deadline; away counts requests served in"
    );
    println!(
        "a remote zone, forced those for which local capacity is lacking; p95* and p99* are over"
    );
    println!("all requests, with the deadline as the time of those without a first token.");
    println!(
        "{:<17}{:<12}{:<6}{:>7}{:>7}{:>7}{:>7}{:>7}{:>7}{:>7}{:>7}{:>7}{:>7}{:>9}",
        "deployment",
        "scenario",
        "router",
        "p50",
        "p95",
        "p99",
        "p95*",
        "p99*",
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
                "{:<17}{:<12}{:<6}{:>7.3}{:>7.3}{:>7.3}{:>7.3}{:>7.3}{:>7.1}{:>7.1}{:>7.1}{:>7.1}{:>7}{:>9.1}",
                row.deployment.name,
                row.scenario.name,
                name,
                it.p50,
                it.p95,
                it.p99,
                it.all_p95,
                it.all_p99,
                it.cost,
                it.remote * 100.0,
                row.scenario.forced_share() * 100.0,
                it.cache_hits * 100.0,
                it.within_deadline,
                it.refused * 100.0
            );
        }
    }
}
