//! Tests on real processes: the whole path and its failures.

mod booking;
mod bounds;
mod fixture;
mod history;
mod isolation;
mod keepers;
mod operators;
mod partition;
mod path;
mod shutdown;
mod streams;
mod suspects;
mod upstreams;
