//! Tests on real processes: the whole path and its failures.

mod booking;
mod fixture;
mod history;
mod keepers;
mod operators;
mod partition;
mod path;
mod shutdown;
mod streams;
mod suspects;
mod upstreams;
