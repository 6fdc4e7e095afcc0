//! Tests of the coordination cores.

mod admission;
mod drain;
mod limits;
mod release;
mod replication;
mod retry;
mod stream;
mod suspects;
