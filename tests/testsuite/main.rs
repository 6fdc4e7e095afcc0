//! Tests of the product: its parts and its processes.
mod processes;
mod state;

mod cli;
mod settings;
mod standin;
