//! The printed table.

use crate::{
    deployment::{Deployment, Scenario},
    figures::Summary,
};

/// One row of the table.
pub struct Row {
    pub deployment: Deployment,
    pub scenario: Scenario,
    pub real: Summary,
    pub naive: Summary,
}

pub fn print(rows: &[Row]) {
    println!("First token in seconds, cost per 1,000 served, shares in percent; refused counts");
    println!("refusals and callers that gave up at the deadline; forced is the away share that");
    println!("lost or exceeded capacity forces; p95* and p99* are over all requests, with the");
    println!("deadline as the time of the lost ones.");
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
                it.away * 100.0,
                row.scenario.forced() * 100.0,
                it.hits * 100.0,
                it.good,
                it.refused * 100.0
            );
        }
    }
}
