//! Tests of the product: its parts and its processes.

mod batching;
mod budget;
mod cli;
mod docs;
mod processes;
mod protocol;
mod settings;
mod standin;
mod state;
