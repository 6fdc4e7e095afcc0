//! The replicated state of a gateway: the newest table, as its operator sent it, and the
//! evacuated availability zones.
//!
//! Keepers replicate [`Command`]s. The table is an opaque document here: it was checked before it
//! was proposed, and whoever reads it back gets the bytes that were sent. A document whose version
//! is not above the present one changes nothing, which is not an error: it may be a repeat, or
//! have been overtaken.

use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

use crate::{gateway::table::TableVersion, ids::ZoneId};

/// A change of the replicated state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Put a table in force, unless one with the same or a higher version is.
    Publish {
        /// The table's version.
        version: TableVersion,
        /// The table, as sent.
        document: ByteBuf,
    },
    /// Evacuate a zone.
    Evacuate(ZoneId),
    /// Withdraw the evacuation of a zone.
    Restore(ZoneId),
    /// The group was rebuilt from a survivor; what it lacks has to be sent again.
    Rebuilt,
}

/// The replicated state.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Publication {
    version: TableVersion,
    document: ByteBuf,
    /// Evacuated zones, sorted.
    evacuated: Vec<ZoneId>,
    /// Counts the changes of the evacuated zones.
    round: u64,
}

impl Publication {
    /// Applies a command.
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

    /// The state as a snapshot.
    pub fn encode_snapshot(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("the state consists of plain values")
    }

    /// The state of a snapshot.
    ///
    /// # Errors
    ///
    /// The bytes are no snapshot of this state.
    pub fn decode_snapshot(bytes: &[u8]) -> Result<Publication, postcard::Error> {
        postcard::from_bytes(bytes)
    }

    /// Version of the newest table; zero before the first one.
    pub fn version(&self) -> TableVersion {
        self.version
    }

    /// The newest table, as sent; empty before the first one.
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
