//! End-to-end tests on real processes, without and with faults.

mod booking;
mod bounds;
mod broken_answers;
mod confirmations;
mod crowds;
mod endless;
mod fixture;
mod history;
mod isolation;
mod keepers;
mod maintenance;
mod moves;
mod operators;
mod orders;
mod outcomes;
mod partition;
mod path;
mod shutdown;
mod streams;
mod suspects;
mod upstream_cuts;
mod upstreams;
