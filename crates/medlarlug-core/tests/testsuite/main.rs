//! Tests of the coordination cores.

mod release;
mod replication;
