//! A multi-region inference gateway.
//!
//! The crate [`medlarlug_core`] contains the decision logic as state machines without I/O; this crate
//! embeds them and performs their I/O. Its layers, from the outermost to the innermost; an inner layer
//! never imports an outer one:
//!
//! * [`transport`]: HTTP for callers, upstreams and operators; nng between processes.
//! * [`protocol`]: typed messages between processes and their codec, and the JSON types of the HTTP
//!   interfaces.
//! * [`coordination`]: the event loops that drive the cores.
//! * [`state`]: the data folder with its journal and snapshots.
//!
//! Outside the layers are [`settings`] (validated YAML files), [`telemetry`] (logs and metrics),
//! [`commands`] (the operators' command line) and [`standin`] (an emulator of upstreams).

pub mod commands;
pub mod coordination;
pub mod protocol;
pub mod settings;
pub mod standin;
pub mod state;
pub mod telemetry;
pub mod transport;
