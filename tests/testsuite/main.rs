//! Tests of the product: its parts and its processes.
mod state;
