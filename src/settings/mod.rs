//! Settings of every process: YAML, checked before anything starts.
//!
//! A process reads one file of its own, which points to the cluster file that all processes of a
//! deployment share. A file is first read into a *raw* struct that refuses unknown fields and
//! keeps the line of each value; `TryFrom` then turns the raw struct into the checked type. A
//! [`SettingsError`] names the file, the line, the field and what would be valid.
//!
//! * [`cluster`]: zones, instances and replication groups, the same for every process.
//! * [`process`]: one entry instance or keeper.
//! * [`standin`]: emulated upstreams.
//! * [`key`]: the deployment key that authenticates messages between processes.
//! * [`limits`]: bounds on what a caller can send.

pub mod cluster;
pub mod error;
pub mod key;
pub mod limits;
pub mod process;
mod source;
pub mod standin;

pub use cluster::{ClusterSettings, Home, Peer, PeerKind, Zone};
pub use error::{Fault, SettingsError};
pub use key::DeploymentKeys;
pub use limits::Limits;
pub use process::{EntrySettings, KeeperSettings, Operator};
pub use standin::{StandinSettings, UpstreamSettings};
