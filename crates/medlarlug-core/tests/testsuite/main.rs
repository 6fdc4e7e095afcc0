//! Tests of the coordination cores.

mod directory;
mod membership;
mod network;
mod release;
mod routing;
