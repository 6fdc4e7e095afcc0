//! The cluster file: availability zones, instances and replication groups.
//!
//! ```yaml
//! zones:
//!   - { id: riga-a, region: riga }
//! instances:
//!   - id: entry-1
//!     kind: entry
//!     zone: riga-a
//!     callers: 127.0.0.1:7001
//!     internal: 127.0.0.1:7101
//!     peers: 127.0.0.1:7201
//!     operators: 127.0.0.1:7301
//!   - id: keeper-1
//!     kind: keeper
//!     zone: riga-a
//!     durable: true
//!     internal: 127.0.0.1:7111
//!     peers: 127.0.0.1:7211
//!     operators: 127.0.0.1:7311
//! configuration: [keeper-1]
//! homes:
//!   - { region: riga, voters: [keeper-1] }
//! ```

use std::{net::SocketAddr, path::Path};

use medlarlug_core::ids::{InstanceId, RegionId, ZoneId};
use serde::Deserialize;
use smol_str::{SmolStr, ToSmolStr};

use crate::settings::{
    error::{LineFault, SettingsError},
    source::{self, Lined, Text, address, duplicate, fault, id, invalid, unknown},
};

/// Most voters of the configuration group.
pub const MAX_CONFIGURATION_VOTERS: usize = 9;

/// Most voters of the home group of a region.
pub const MAX_HOME_VOTERS: usize = 5;

/// The cluster file, which is the same for all processes of a deployment; every list is sorted by id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClusterSettings {
    /// Availability zones and their regions.
    pub zones: Vec<Zone>,
    /// Entry instances and keepers.
    pub instances: Vec<Peer>,
    /// Voters of the configuration group, all of them durable keepers.
    pub configuration: Vec<InstanceId>,
    /// The home group of each region.
    pub homes: Vec<HomeGroupSettings>,
}

/// An availability zone and its region.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Zone {
    /// The zone.
    pub id: ZoneId,
    /// Region to which it belongs.
    pub region: RegionId,
}

/// The kind of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerKind {
    /// Accepts requests of callers.
    Entry,
    /// Votes in replication groups.
    Keeper,
}

/// A process of the deployment and its addresses.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// The instance.
    pub id: InstanceId,
    /// Whether it is an entry instance or a keeper.
    pub kind: PeerKind,
    /// Availability zone in which it runs.
    pub zone: ZoneId,
    /// Address for HTTP between processes and for announcements of upstreams.
    pub internal: SocketAddr,
    /// Address for messages between processes over nng.
    pub peers: SocketAddr,
    /// Address for HTTP of operators.
    pub operators: SocketAddr,
    /// Address for HTTP of callers; entry instances only.
    pub callers: Option<SocketAddr>,
    /// Whether it stores its state on a disk; keepers only.
    pub durable: bool,
}

/// The home group of a region.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HomeGroupSettings {
    /// Region that the group belongs to.
    pub region: RegionId,
    /// Voters of the group; volatile keepers are permitted.
    pub voters: Vec<InstanceId>,
}

impl PeerKind {
    /// The kind as it is written in the cluster file.
    pub fn name(self) -> &'static str {
        match self {
            PeerKind::Entry => "entry",
            PeerKind::Keeper => "keeper",
        }
    }
}

impl ClusterSettings {
    /// Reads and checks a cluster file.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be read or a value is not valid; reports the first such value.
    pub fn load(file: &Path) -> Result<ClusterSettings, SettingsError> {
        source::load::<RawCluster, ClusterSettings>(file)
    }

    /// The instance with this id, if the file lists it.
    pub fn peer(&self, id: &InstanceId) -> Option<&Peer> {
        let found = self.instances.binary_search_by(|it| it.id.cmp(id)).ok()?;
        Some(&self.instances[found])
    }

    /// The region to which `zone` belongs, if the file lists the zone.
    pub fn region_of(&self, zone: &ZoneId) -> Option<&RegionId> {
        let found = self.zones.binary_search_by(|it| it.id.cmp(zone)).ok()?;
        Some(&self.zones[found].region)
    }

    /// The home group of `region`, if it has one.
    pub fn home(&self, region: &RegionId) -> Option<&HomeGroupSettings> {
        let found = self.homes.binary_search_by(|it| it.region.cmp(region)).ok()?;
        Some(&self.homes[found])
    }

    /// The entry instances, sorted by id.
    pub fn entries(&self) -> impl Iterator<Item = &Peer> {
        self.instances.iter().filter(|it| it.kind == PeerKind::Entry)
    }

    /// The keepers, sorted by id.
    pub fn keepers(&self) -> impl Iterator<Item = &Peer> {
        self.instances.iter().filter(|it| it.kind == PeerKind::Keeper)
    }

    /// The regions of all zones, sorted and without duplicates.
    pub fn regions(&self) -> Vec<&RegionId> {
        let mut regions: Vec<&RegionId> = self.zones.iter().map(|it| &it.region).collect();
        regions.sort();
        regions.dedup();
        regions
    }
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawCluster {
    zones: Lined<Vec<RawZone>>,
    instances: Vec<RawPeer>,
    configuration: Lined<Vec<Text>>,
    homes: Lined<Vec<RawHome>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawZone {
    id: Text,
    region: Text,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawPeer {
    id: Text,
    kind: PeerKind,
    zone: Text,
    internal: Text,
    peers: Text,
    operators: Text,
    callers: Option<Text>,
    #[serde(default)]
    durable: Option<Lined<bool>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawHome {
    region: Text,
    voters: Lined<Vec<Text>>,
}

impl TryFrom<RawCluster> for ClusterSettings {
    type Error = LineFault;

    fn try_from(raw: RawCluster) -> Result<ClusterSettings, LineFault> {
        let zones = check_zones(&raw.zones)?;
        let instances = check_instances(&raw.instances, &zones)?;
        let configuration = check_voters(
            "configuration",
            &raw.configuration,
            MAX_CONFIGURATION_VOTERS,
            &instances,
            true,
        )?;
        let homes = check_homes(&raw.homes, &zones, &instances)?;
        Ok(ClusterSettings { zones, instances, configuration, homes })
    }
}

fn check_zones(raw: &Lined<Vec<RawZone>>) -> Result<Vec<Zone>, LineFault> {
    let mut zones: Vec<Zone> = Vec::with_capacity(raw.value.len());
    for it in &raw.value {
        let zone = Zone { id: id("zones.id", &it.id)?, region: id("zones.region", &it.region)? };
        match zones.binary_search_by(|other| other.id.cmp(&zone.id)) {
            Ok(_) => return Err(duplicate("zones.id", &it.id)),
            Err(index) => zones.insert(index, zone),
        }
    }
    Ok(zones)
}

fn check_instances(raw: &[RawPeer], zones: &[Zone]) -> Result<Vec<Peer>, LineFault> {
    let mut peers: Vec<Peer> = Vec::with_capacity(raw.len());
    let mut used: Vec<SocketAddr> = Vec::new();
    for it in raw {
        let peer = check_peer(it, zones, &mut used)?;
        match peers.binary_search_by(|other| other.id.cmp(&peer.id)) {
            Ok(_) => return Err(duplicate("instances.id", &it.id)),
            Err(index) => peers.insert(index, peer),
        }
    }
    Ok(peers)
}

fn check_peer(
    raw: &RawPeer,
    zones: &[Zone],
    used: &mut Vec<SocketAddr>,
) -> Result<Peer, LineFault> {
    let peer = Peer {
        id: id("instances.id", &raw.id)?,
        kind: raw.kind,
        zone: known_zone("instances.zone", &raw.zone, zones)?,
        internal: unique_address("instances.internal", &raw.internal, used)?,
        peers: unique_address("instances.peers", &raw.peers, used)?,
        operators: unique_address("instances.operators", &raw.operators, used)?,
        callers: match &raw.callers {
            Some(text) => Some(unique_address("instances.callers", text, used)?),
            None => None,
        },
        durable: raw.durable.as_ref().is_some_and(|it| it.value),
    };
    match (peer.kind, &raw.callers, &raw.durable) {
        (PeerKind::Entry, None, _) => {
            Err(invalid("instances.callers", &raw.id, "an entry instance a callers' address"))
        }
        (PeerKind::Entry, _, Some(durable)) if durable.value => {
            Err(invalid("instances.durable", durable, "`durable` to keepers only"))
        }
        (PeerKind::Keeper, Some(callers), _) => {
            Err(invalid("instances.callers", callers, "a callers' address to entry instances only"))
        }
        _ => Ok(peer),
    }
}

/// Parses an address and checks that no other port of the deployment uses it.
fn unique_address(
    field: &str,
    text: &Text,
    used: &mut Vec<SocketAddr>,
) -> Result<SocketAddr, LineFault> {
    let address = address(field, text)?;
    match used.binary_search(&address) {
        Ok(_) => Err(duplicate(field, text)),
        Err(index) => {
            used.insert(index, address);
            Ok(address)
        }
    }
}

fn known_zone(field: &str, text: &Text, zones: &[Zone]) -> Result<ZoneId, LineFault> {
    let zone: ZoneId = id(field, text)?;
    if zones.binary_search_by(|it| it.id.cmp(&zone)).is_err() {
        let known: Vec<SmolStr> = zones.iter().map(|it| it.id.to_smolstr()).collect();
        return Err(unknown(field, text, &known));
    }
    Ok(zone)
}

fn check_voters(
    field: &str,
    raw: &Lined<Vec<Text>>,
    max_voters: usize,
    instances: &[Peer],
    durable: bool,
) -> Result<Vec<InstanceId>, LineFault> {
    let is_candidate = |it: &Peer| it.kind == PeerKind::Keeper && (it.durable || !durable);
    let mut voters: Vec<InstanceId> = Vec::with_capacity(raw.value.len());
    for text in &raw.value {
        let voter: InstanceId = id(field, text)?;
        if !instances.iter().any(|it| it.id == voter && is_candidate(it)) {
            let known: Vec<SmolStr> = instances
                .iter()
                .filter(|it| is_candidate(it))
                .map(|it| it.id.to_smolstr())
                .collect();
            return Err(unknown(field, text, &known));
        }
        match voters.binary_search(&voter) {
            Ok(_) => return Err(duplicate(field, text)),
            Err(index) => voters.insert(index, voter),
        }
    }
    if voters.is_empty() || voters.len() > max_voters {
        let text = voters.len().to_smolstr();
        let valid = smol_str::format_smolstr!("1 to {max_voters} voters");
        return Err(fault(
            raw,
            crate::settings::Fault::Invalid { field: field.into(), text, valid },
        ));
    }
    Ok(voters)
}

fn check_homes(
    raw: &Lined<Vec<RawHome>>,
    zones: &[Zone],
    instances: &[Peer],
) -> Result<Vec<HomeGroupSettings>, LineFault> {
    let mut homes: Vec<HomeGroupSettings> = Vec::with_capacity(raw.value.len());
    for it in &raw.value {
        let region: RegionId = id("homes.region", &it.region)?;
        if !zones.iter().any(|zone| zone.region == region) {
            let mut known: Vec<SmolStr> = zones.iter().map(|it| it.region.to_smolstr()).collect();
            known.sort();
            known.dedup();
            return Err(unknown("homes.region", &it.region, &known));
        }
        let voters = check_voters("homes.voters", &it.voters, MAX_HOME_VOTERS, instances, false)?;
        match homes.binary_search_by(|home| home.region.cmp(&region)) {
            Ok(_) => return Err(duplicate("homes.region", &it.region)),
            Err(index) => homes.insert(index, HomeGroupSettings { region, voters }),
        }
    }
    Ok(homes)
}
