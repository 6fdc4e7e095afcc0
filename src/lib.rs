//! An inference gateway for several regions.
//!
//! The decisions are cores without I/O in the crate [`medlarlug_core`]; this crate is the shell
//! around them. Its layers, from the outside in; an inner layer never imports an outer one:
//!
//! * [`transport`]: HTTP towards callers, upstreams and operators; nng between processes.
//! * [`protocol`]: typed messages between processes and their codec, and the JSON of the HTTP
//!   interfaces.
//! * [`coordination`]: the loops that drive the cores.
//! * [`state`]: the durable log, snapshots and the data folder.
//!
//! Beside the layers stand [`settings`] (checked YAML), [`telemetry`] (logs and metrics),
//! [`commands`] (the operators' command line) and [`standin`] (an emulator of upstreams).

pub mod commands;
pub mod coordination;
pub mod protocol;
pub mod settings;
pub mod standin;
pub mod state;
pub mod telemetry;
pub mod transport;
