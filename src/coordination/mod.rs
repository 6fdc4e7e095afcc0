//! The loops that drive the coordination cores.
//!
//! * [`node`]: what every process has: links, calls, membership, the configuration's follower.
//! * [`keeper`]: the process that replicates state.
//! * [`entry`]: the process that takes callers' requests in.
//! * [`operators`]: the operators' interface of both.
//! * [`calls`]: requests to replication groups.
//! * [`lookup`]: what became of a request.
//! * [`clock`]: the process's clocks.
//! * [`daemon`]: what the programs have in common.

pub mod calls;
pub mod clock;
pub mod daemon;
pub mod entry;
pub mod keeper;
pub mod lookup;
pub mod node;
pub mod operators;
