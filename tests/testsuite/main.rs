//! Tests of the product: its parts and its processes.
mod processes;
mod state;
