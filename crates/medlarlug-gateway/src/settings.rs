//! Settings of a process, as the embedding program passes them at start and on reload.

use std::{
    net::{IpAddr, SocketAddr},
    path::PathBuf,
    time::Duration,
};

use medlarlug::transport::memory::{Memory, MemoryLimits};
use medlarlug_core::{
    gateway::{
        contacts::{InstanceInfo, InstanceKind},
        retry_budget::RetryBounds,
        table::{RouteTable, TableVersion},
        table_lease::LeaseBounds,
    },
    ids::{IdError, InstanceId, RegionId, ZoneId},
    units::ByteSize,
};
use smol_str::SmolStr;
use thiserror::Error;

/// The document is not a valid route table.
#[derive(Debug, Error)]
pub enum DocumentError {
    /// The document can't be parsed.
    #[error("the document can't be read: {reason}")]
    Unreadable {
        /// What is wrong, and where in the document.
        reason: String,
    },
    /// A field has a value of the wrong type or an unknown one. The value is left out, since it may be
    /// a key.
    #[error("`{path}` has to be {expected}")]
    Field {
        /// Where the field is in the document.
        path: SmolStr,
        /// What the field may hold.
        expected: &'static str,
    },
    /// The document parses, but the table is inconsistent.
    #[error(transparent)]
    Table(#[from] medlarlug_core::gateway::table::TableError),
}

/// Parses a route table from the document that an operator published.
pub type ReadTable = fn(&[u8]) -> Result<RouteTable, DocumentError>;

/// Settings of an entry instance or a keeper.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// Id, role, zone, region and addresses of this process.
    pub info: InstanceInfo,
    /// Address at which a keeper listens for links, if a relay or a port mapping passes on what arrives at
    /// the internal address in `info`, which other processes connect to.
    pub listener: Option<SocketAddr>,
    /// Region of each zone, sorted by zone.
    pub zones: Vec<(ZoneId, RegionId)>,
    /// Internal addresses of some keepers, from which the others are discovered.
    pub contacts: Vec<SocketAddr>,
    /// Whether the deployment starts for the first time. Only then may keepers form a new group,
    /// and only then do entry instances assume that no retry budget has been spent before.
    pub first_start: bool,
    /// Number of keepers that may fail at the same time. The group has `2 * tolerance + 1` voters.
    pub tolerance: usize,
    /// Directory for durable state; required for keepers.
    pub data: Option<PathBuf>,
    /// Bounds on the retries of each service, over all entry instances.
    pub retries: RetryBounds,
    /// Time between a request to stop and the end of the process, within which open calls may
    /// complete.
    pub grace: Duration,
    /// For how long after the last confirmation that a table is the newest its home regions may be relied
    /// on: the times within which operators expect a configuration to be in effect, while keepers are
    /// disturbed and otherwise.
    pub table_bounds: LeaseBounds,
    /// Parses the tables that operators publish.
    pub read_table: ReadTable,
    /// What the quotas of teams tolerate beyond their rate and burst.
    pub quotas: QuotaBounds,
    /// Resources of the process.
    pub resources: Resources,
    /// Whether engines crash when the requests that they hold exceed their memory. Only then are
    /// tokens booked at engines, and started upstreams ramped up.
    pub has_pressure: bool,
}

/// The bound on the use of a table without a confirmation, if the settings name none.
pub const DEFAULT_TABLE_BOUND: Duration = Duration::from_secs(11);

/// What the quotas of teams tolerate, summed over all entry instances: in every window,
/// `(rate * window + burst) * (1 + overage) + slack`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaBounds {
    /// Length of a window.
    pub window: Duration,
    /// Share of the quota that may be used beyond it.
    pub overage: f64,
    /// Units that may be used beyond it, in the unit of the quota.
    pub slack: f64,
}

impl Default for QuotaBounds {
    fn default() -> QuotaBounds {
        QuotaBounds { window: Duration::from_secs(8), overage: 0.0, slack: 0.0 }
    }
}

/// Resources of a process; `None` for no limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Resources {
    /// Bytes of memory above which the process is killed.
    pub memory_bytes: Option<u64>,
    /// Open file descriptors, sockets included.
    pub descriptors: Option<u32>,
}

impl Resources {
    /// The memory for the clients of a process whose longest body has `largest` bytes; unlimited if the
    /// memory of the process is.
    pub fn client_memory(self, largest: usize) -> Memory {
        let Some(bytes) = self.memory_bytes else { return Memory::unlimited() };
        Memory::new(MemoryLimits {
            memory: ByteSize(bytes),
            descriptors: self.descriptors,
            largest_body: ByteSize(largest as u64),
        })
    }
}

impl NodeSettings {
    /// The region of a zone; `None` if the zone is not configured.
    pub fn region_of(&self, zone: &ZoneId) -> Option<&RegionId> {
        let at = self.zones.binary_search_by(|it| it.0.cmp(zone)).ok()?;
        Some(&self.zones[at].1)
    }

    /// Whether the process runs as a keeper rather than as an entry instance.
    pub fn is_keeper(&self) -> bool {
        self.info.kind == InstanceKind::Keeper
    }
}

/// Returns the id of the instance at an address. Ids are derived from addresses because a machine
/// that lost its disk returns at its old address, and so that contacts have an id before they are
/// connected.
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

/// Returns the address of an instance, the inverse of [`instance_at`]; `None` if the id is not
/// derived from an IPv4 address.
pub fn address_of(id: &InstanceId, port: u16) -> Option<SocketAddr> {
    let ip: IpAddr = id.as_str().replace('-', ".").parse().ok()?;
    Some(SocketAddr::new(ip, port))
}

/// The clock of a process starts at this time, so that updates that are older than the process have
/// a timestamp. It exceeds every retention period.
pub(crate) const MAX_UPDATE_AGE: Duration = Duration::from_secs(25 * 3_600);

/// The version that is in effect before the first table is published.
pub const NO_TABLE: TableVersion = TableVersion(0);
