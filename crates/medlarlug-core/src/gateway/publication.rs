//! The replicated state of a gateway: the newest route table, as its operator sent it, and the
//! evacuated availability zones.
//!
//! Keepers replicate [`Command`]s. The table is an opaque document here: it was validated before it
//! was proposed, and readers get the bytes that were sent. A document whose version is not above
//! the current one changes nothing. That is not an error: the command may be a retry, or a newer
//! table may have been published first.

use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

use crate::{gateway::table::TableVersion, ids::ZoneId};

/// A change of the replicated state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Publish a table, unless the current one has the same or a higher version.
    Publish {
        /// Version of the table.
        version: TableVersion,
        /// The table, byte for byte as it was sent.
        document: ByteBuf,
    },
    /// Evacuate a zone.
    Evacuate(ZoneId),
    /// Withdraw the evacuation of a zone.
    Restore(ZoneId),
    /// The group was rebuilt from a surviving member; commands that the survivor lacks have to be
    /// sent again.
    Rebuilt,
}

impl Command {
    /// For a change of the evacuated zones: the zone, and whether the command evacuates it.
    pub fn evacuation(&self) -> Option<(&ZoneId, bool)> {
        match self {
            Command::Evacuate(zone) => Some((zone, true)),
            Command::Restore(zone) => Some((zone, false)),
            Command::Publish { .. } | Command::Rebuilt => None,
        }
    }
}

/// The replicated state.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Publication {
    version: TableVersion,
    document: ByteBuf,
    /// Evacuated zones, sorted.
    evacuated: Vec<ZoneId>,
    /// Number of changes of the evacuated zones.
    round: u64,
}

impl Publication {
    /// Applies a command; commands without effect are ignored.
    pub fn apply(&mut self, command: Command) {
        match command {
            Command::Publish { version, document } => {
                if version > self.version {
                    self.version = version;
                    self.document = document;
                }
            }
            Command::Evacuate(zone) => {
                if let Err(at) = self.evacuated.binary_search(&zone) {
                    self.evacuated.insert(at, zone);
                    self.round += 1;
                }
            }
            Command::Restore(zone) => {
                if let Ok(at) = self.evacuated.binary_search(&zone) {
                    self.evacuated.remove(at);
                    self.round += 1;
                }
            }
            Command::Rebuilt => {}
        }
    }

    /// Encodes the state as a snapshot.
    pub fn encode_snapshot(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("the state consists of plain values")
    }

    /// Decodes a snapshot.
    ///
    /// # Errors
    ///
    /// The bytes are not a snapshot of this state.
    pub fn decode_snapshot(bytes: &[u8]) -> Result<Publication, postcard::Error> {
        postcard::from_bytes(bytes)
    }

    /// Version of the newest table; zero before the first one.
    pub fn version(&self) -> TableVersion {
        self.version
    }

    /// The newest table as it was sent; empty before the first one.
    pub fn document(&self) -> &[u8] {
        &self.document
    }

    /// Evacuated zones, sorted.
    pub fn evacuated(&self) -> &[ZoneId] {
        &self.evacuated
    }

    /// Number of changes of the evacuated zones so far.
    pub fn round(&self) -> u64 {
        self.round
    }
}
