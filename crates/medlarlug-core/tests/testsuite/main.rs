//! Tests of the coordination cores.

mod admission;
mod drain;
mod limits;
mod release;
mod retry;
mod stream;
mod suspects;
mod replication;
