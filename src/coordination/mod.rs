//! The event loops of the processes, which drive the coordination cores.
//!
//! * [`node`]: the part that all processes share: links, calls, membership, configuration follower.
//! * [`keeper`]: the process that replicates state.
//! * [`entry`]: the process that receives requests from callers.
//! * [`operators`]: the HTTP interface for operators, which both processes have.
//! * [`calls`]: calls to replication groups.
//! * [`lookup`]: look-up of the record of a request.
//! * [`clock`]: the clocks of the process.
//! * [`daemon`]: exit codes, telemetry, signals and the runtime.

pub mod calls;
pub mod clock;
pub mod daemon;
pub mod entry;
pub mod keeper;
pub mod lookup;
pub mod node;
pub mod operators;
