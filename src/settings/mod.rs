//! Settings of all processes: YAML files that are validated before a process starts.
//!
//! A process reads its own settings file, which refers to the cluster file that all processes of a
//! deployment share. A file is first parsed into a *raw* struct, which rejects unknown fields and
//! stores the line of each value; `TryFrom` then validates it and converts it to the public type. A
//! [`SettingsError`] names the file, the line, the field and the valid values.
//!
//! * [`cluster`]: zones, instances and replication groups, the same for every process.
//! * [`process`]: one entry instance or keeper.
//! * [`standin`]: emulated upstreams.
//! * [`key`]: the deployment key that authenticates messages between processes.
//! * [`limits`]: limits on requests and connections of callers.

pub mod cluster;
pub mod error;
pub mod key;
pub mod limits;
pub mod process;
mod source;
pub mod standin;

pub use cluster::{ClusterSettings, HomeGroupSettings, Peer, PeerKind, Zone};
pub use error::{Fault, SettingsError};
pub use key::DeploymentKeys;
pub use limits::Limits;
pub use process::{EntrySettings, KeeperSettings, Operator, Resources};
pub use standin::{StandinSettings, UpstreamSettings};
