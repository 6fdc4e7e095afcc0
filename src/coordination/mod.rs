//! The loops that drive the coordination cores.
//!
//! * [`node`]: what every process has: links, calls, membership, the configuration's follower.
//! * [`calls`]: commands to replication groups.
//! * [`clock`]: the process's clocks.

pub mod clock;
