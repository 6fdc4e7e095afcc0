//! Tests of the product: its parts and its processes.

mod cli;
mod settings;
mod standin;
