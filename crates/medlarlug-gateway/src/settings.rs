//! What a process is told at its start.

use std::{
    net::{IpAddr, SocketAddr},
    path::PathBuf,
    time::Duration,
};

use medlarlug_core::{
    gateway::{
        contacts::{Card, Part},
        retry_budget::RetryBounds,
        table::{RouteTable, TableVersion},
    },
    ids::{IdError, InstanceId, RegionId, ZoneId},
};
use thiserror::Error;

/// A document that is no valid table.
#[derive(Debug, Error)]
pub enum DocumentError {
    /// It can't be read.
    #[error("the document can't be read: {reason}")]
    Unreadable {
        /// What is wrong with it, and where.
        reason: String,
    },
    /// Its parts don't fit together.
    #[error(transparent)]
    Table(#[from] medlarlug_core::gateway::table::TableError),
}

/// Reads a table out of the document that an operator sent.
pub type ReadTable = fn(&[u8]) -> Result<RouteTable, DocumentError>;

/// What a process is told at its start.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// The process's own id, zone and addresses.
    pub card: Card,
    /// Region of each zone, sorted by zone.
    pub zones: Vec<(ZoneId, RegionId)>,
    /// Internal addresses of some keepers.
    pub contacts: Vec<SocketAddr>,
    /// Whether the system starts for the first time.
    pub first_start: bool,
    /// Keepers whose loss at the same time has to be borne.
    pub tolerance: usize,
    /// Folder for durable state; keepers only.
    pub data: Option<PathBuf>,
    /// Bounds on retries.
    pub retries: RetryBounds,
    /// Time between a request to stop and the end of the process.
    pub grace: Duration,
    /// Reads tables.
    pub read_table: ReadTable,
}

impl NodeSettings {
    /// The region of a zone.
    pub fn region_of(&self, zone: &ZoneId) -> Option<&RegionId> {
        let at = self.zones.binary_search_by(|it| it.0.cmp(zone)).ok()?;
        Some(&self.zones[at].1)
    }

    /// Whether the process is a keeper.
    pub fn is_keeper(&self) -> bool {
        self.card.part == Part::Keeper
    }
}

/// The id of the instance at an address. A machine that lost its disk comes back at its address,
/// so addresses name instances, also those that are only known as contacts.
///
/// # Errors
///
/// Never for IPv4 addresses.
///
/// ```
/// use medlarlug_gateway::settings::instance_at;
///
/// assert_eq!(instance_at("10.1.0.38".parse().unwrap()).unwrap().as_str(), "10-1-0-38");
/// ```
pub fn instance_at(ip: IpAddr) -> Result<InstanceId, IdError> {
    ip.to_string().replace(['.', ':'], "-").parse()
}

/// The address of an instance, see [`instance_at`]; `None` if the id names none.
pub fn address_of(id: &InstanceId, port: u16) -> Option<SocketAddr> {
    let ip: IpAddr = id.as_str().replace('-', ".").parse().ok()?;
    Some(SocketAddr::new(ip, port))
}

/// Age up to which a process that has just started can tell how old news are: longer than anything is
/// remembered.
pub(crate) const LONGEST_AGE: Duration = Duration::from_secs(25 * 3_600);

/// The version before the first table.
pub const NO_TABLE: TableVersion = TableVersion(0);
