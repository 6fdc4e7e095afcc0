//! Tests on real processes: the whole path and its failures.

mod booking;
mod confirmations;
mod fixture;
mod history;
mod keepers;
mod moves;
mod orders;
mod outcomes;
mod path;
mod streams;
mod suspects;
mod upstreams;
