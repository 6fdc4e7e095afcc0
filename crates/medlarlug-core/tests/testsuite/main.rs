//! Tests of the coordination cores.

mod membership;
mod network;
mod release;
