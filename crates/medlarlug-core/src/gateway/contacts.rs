//! The instances of the system, discovered from a few contact addresses.
//!
//! A process is configured with the addresses of some keepers. It introduces itself to them, learns
//! about the other keepers from them, and keeps trying to reach all keepers that it knows. An
//! instance that was not heard of for a while is forgotten, unless it is one of the configured
//! contacts.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    gateway::table::{HostHomes, ServiceName},
    ids::{InstanceId, RegionId, ZoneId},
    time::Time,
};

/// The kind of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum InstanceKind {
    /// Receives calls.
    Entry,
    /// Holds the replicated state.
    Keeper,
}

/// What an instance says about itself when it connects.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceInfo {
    /// Id under which the other instances know it.
    pub id: InstanceId,
    /// Whether it is an entry instance or a keeper.
    #[serde(rename = "part")]
    pub kind: InstanceKind,
    /// The availability zone that it runs in.
    pub zone: ZoneId,
    /// The region that it runs in.
    pub region: RegionId,
    /// Address for other instances.
    pub internal: SocketAddr,
    /// Address for callers; entry instances only.
    #[serde(rename = "front")]
    pub public: Option<SocketAddr>,
}

/// Predicted wait for one service at an entry instance, which shows whether it could serve calls of
/// other regions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceWait {
    /// The service that the prediction is for.
    pub service: ServiceName,
    /// Predicted wait of a call of reference size, in milliseconds; `None` if no upstream is
    /// usable.
    pub wait_ms: Option<u32>,
}

/// Predicted wait of a call of reference size in a region.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RegionWait {
    /// The region that serves the call.
    pub region: RegionId,
    /// The service that the prediction is for.
    pub service: ServiceName,
    /// Median over the live entry instances of the region, in milliseconds.
    pub wait_ms: u32,
}

/// State that an entry instance reports.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Whether it accepts new callers.
    pub ready: bool,
    /// Predicted waits for calls of other regions, sorted by service.
    #[serde(rename = "spare")]
    pub service_waits: Vec<ServiceWait>,
}

/// A known instance.
#[derive(Debug, Clone, PartialEq)]
pub struct Contact {
    /// What the instance says about itself.
    pub info: InstanceInfo,
    /// Its newest reported status.
    pub status: Status,
    /// When it was last heard, by this process or by the one that forwarded the heartbeat.
    pub last_seen: Time,
    /// When it last reported that it no longer takes callers, after it had taken some.
    leaving_since: Option<Time>,
    /// Number of its last change, see [`Contacts::changed_since`].
    change: u64,
}

impl Contact {
    /// Whether it left so recently that it still accepts callers.
    fn has_begun_to_leave(&self, now: Time) -> bool {
        let since = self.leaving_since.filter(|_| !self.status.ready);
        since.is_some_and(|since| now - since < LEAVING_NAMED_TIME)
    }
}

/// Time without a heartbeat after which an instance no longer counts as live.
pub const LIVENESS_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time without a heartbeat after which a keeper forgets an instance.
pub const FORGET_AFTER: Duration = Duration::from_secs(30);

/// The known instances, sorted by id.
#[derive(Debug, Clone, Default)]
pub struct Contacts {
    known: Vec<Contact>,
    change: u64,
    /// Largest number of entry instances that were known at once.
    peak_entries: usize,
}

impl Contacts {
    /// Handles a message of an instance that was heard `age` before `now`. Returns whether the
    /// instance is new or has changed.
    pub fn update(
        &mut self,
        now: Time,
        info: InstanceInfo,
        status: Option<Status>,
        age: Duration,
    ) -> bool {
        let last_seen = now.saturating_sub(age);
        match self.index_of(&info.id) {
            Ok(at) => {
                let known = &mut self.known[at];
                if last_seen < known.last_seen {
                    return false;
                }
                let is_ready = status.as_ref().map_or(known.status.ready, |it| it.ready);
                if known.status.ready && !is_ready {
                    known.leaving_since = Some(last_seen);
                }
                let has_changed = known.info != info || known.status.ready != is_ready;
                known.info = info;
                known.last_seen = last_seen;
                if let Some(status) = status {
                    known.status = status;
                }
                if has_changed {
                    self.change += 1;
                    known.change = self.change;
                }
                has_changed
            }
            Err(at) => {
                let status = status.unwrap_or_default();
                self.change += 1;
                let change = self.change;
                let contact = Contact { info, status, last_seen, leaving_since: None, change };
                self.known.insert(at, contact);
                let entries = self.known.iter().filter(|it| it.info.kind == InstanceKind::Entry);
                self.peak_entries = self.peak_entries.max(entries.count());
                true
            }
        }
    }

    /// Handles a heartbeat of a known instance that is `age` old.
    pub fn renew(&mut self, now: Time, id: &InstanceId, age: Duration) {
        if let Ok(at) = self.index_of(id) {
            let last_seen = now.saturating_sub(age);
            self.known[at].last_seen = self.known[at].last_seen.max(last_seen);
        }
    }

    /// Handles a heartbeat of the instance at an internal address.
    pub fn renew_at(&mut self, now: Time, address: SocketAddr) {
        if let Some(contact) = self.known.iter_mut().find(|it| it.info.internal == address) {
            contact.last_seen = now;
        }
    }

    /// Number of the last change.
    pub fn last_change(&self) -> u64 {
        self.change
    }

    /// The instances that changed after the change with number `change`.
    pub fn changed_since(&self, change: u64) -> impl Iterator<Item = &Contact> {
        self.known.iter().filter(move |contact| contact.change > change)
    }

    /// Predicted waits by region and service, sorted: the median of what the live, ready entry
    /// instances of the region report.
    pub fn waits(&self, now: Time) -> Vec<RegionWait> {
        let mut all: Vec<(RegionId, ServiceName, u32)> = self
            .live_entries(now)
            .filter(|contact| contact.status.ready)
            .flat_map(|contact| {
                let region = &contact.info.region;
                let waits = contact.status.service_waits.iter();
                waits.filter_map(|it| Some((region.clone(), it.service.clone(), it.wait_ms?)))
            })
            .collect();
        all.sort();
        let groups = all.chunk_by(|a, b| (&a.0, &a.1) == (&b.0, &b.1));
        let medians = groups.map(|group| {
            let (region, service, wait_ms) = group[group.len() / 2].clone();
            RegionWait { region, service, wait_ms }
        });
        medians.collect()
    }

    /// Forgets an instance that has left for good or was found dead.
    pub fn remove(&mut self, id: &InstanceId) {
        if let Ok(at) = self.index_of(id) {
            self.known.remove(at);
        }
    }

    /// Forgets instances without a heartbeat for longer than `limit`.
    pub fn forget_expired(&mut self, now: Time, limit: Duration) {
        self.known.retain(|contact| now - contact.last_seen <= limit);
    }

    /// All known instances, sorted by id.
    pub fn all(&self) -> &[Contact] {
        &self.known
    }

    /// The instance with `id`, live or not.
    pub fn get(&self, id: &InstanceId) -> Option<&Contact> {
        self.index_of(id).ok().map(|at| &self.known[at])
    }

    /// Instances that were heard within [`LIVENESS_TIMEOUT`].
    pub fn live(&self, now: Time) -> impl Iterator<Item = &Contact> {
        self.known.iter().filter(move |contact| now - contact.last_seen <= LIVENESS_TIMEOUT)
    }

    /// Entry instances that were heard within [`LIVENESS_TIMEOUT`].
    pub fn live_entries(&self, now: Time) -> impl Iterator<Item = &Contact> {
        self.live(now).filter(|contact| contact.info.kind == InstanceKind::Entry)
    }

    /// The number of ready entry instances of each region, and the time since the newest message of one
    /// of them, sorted by region. Instances that no longer count as live are included, so the time shows
    /// whether the others of their region went silent together.
    pub fn ready_by_region(&self, now: Time) -> Vec<(RegionId, usize, Duration)> {
        let mut regions: Vec<(RegionId, usize, Duration)> = Vec::new();
        let entries = self.known.iter().filter(|it| it.info.kind == InstanceKind::Entry);
        for contact in entries.filter(|it| it.status.ready) {
            let age = now - contact.last_seen;
            let live = usize::from(age <= LIVENESS_TIMEOUT);
            match regions.binary_search_by(|it| it.0.cmp(&contact.info.region)) {
                Ok(at) => {
                    regions[at].1 += live;
                    regions[at].2 = regions[at].2.min(age);
                }
                Err(at) => regions.insert(at, (contact.info.region.clone(), live, age)),
            }
        }
        regions
    }

    /// Largest number of entry instances that were known at once, forgotten ones included.
    pub fn peak_entries(&self) -> usize {
        self.peak_entries
    }

    fn index_of(&self, id: &InstanceId) -> Result<usize, usize> {
        self.known.binary_search_by(|contact| contact.info.id.cmp(id))
    }
}

/// Time for which an entry instance that has begun to leave is still named: shorter than the time for
/// which it accepts connections by the time for which callers cache an answer.
const LEAVING_NAMED_TIME: Duration = Duration::from_millis(500);

/// A caller that asks for entry instances.
#[derive(Debug, Clone, Copy)]
pub struct DirectoryQuery<'a> {
    /// The availability zone of the caller.
    pub zone: Option<&'a ZoneId>,
    /// The region of the caller.
    pub region: Option<&'a RegionId>,
    /// The home regions of the host; `None` if its routes are not known, so that they may have any.
    pub homes: Option<&'a HostHomes>,
}

/// Which instances an answer of the directory names. The names are values of the label `scope` of the
/// metric of answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// Ready instances of the caller's availability zone.
    Zone,
    /// Ready instances of the caller's region.
    Region,
    /// Ready instances of home regions of one rank.
    Homes,
    /// Instances of the caller's region or of the home regions that have just begun to leave.
    Leaving,
    /// All ready instances, since no route of the host has homes.
    Anywhere,
    /// None: the bodies of the host's calls may enter no region that has ready instances.
    Withheld,
    /// None, since no ready instance is known.
    Nowhere,
}

impl Scope {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Scope::Zone => "zone",
            Scope::Region => "region",
            Scope::Homes => "homes",
            Scope::Leaving => "leaving",
            Scope::Anywhere => "anywhere",
            Scope::Withheld => "withheld",
            Scope::Nowhere => "nowhere",
        }
    }
}

/// An answer of the directory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listing {
    /// Addresses of entry instances for callers.
    pub addresses: Vec<SocketAddr>,
    /// Which instances these are.
    pub scope: Scope,
}

/// The entry instances for a caller: ready ones of its zone, else of its region, else of the home
/// regions of the first rank that has any; else those of all these regions that have just begun to
/// leave, as in a rolling restart.
///
/// Other ready ones are named only for a host none of whose routes has homes. A caller names no route,
/// so it would send the bodies of calls with homes to the same instances. A caller without an answer
/// asks the next keeper.
pub fn entry_addresses(contacts: &Contacts, now: Time, query: DirectoryQuery) -> Listing {
    let DirectoryQuery { zone, region, homes } = query;
    let infos = |is_named: &dyn Fn(&Contact) -> bool| -> Vec<&InstanceInfo> {
        contacts.live_entries(now).filter(|it| is_named(it)).map(|contact| &contact.info).collect()
    };
    let addresses = |infos: &[&InstanceInfo], filter: &dyn Fn(&InstanceInfo) -> bool| {
        let matching = infos.iter().filter(|info| filter(info));
        matching.filter_map(|info| info.public).collect::<Vec<SocketAddr>>()
    };
    let ready = infos(&|contact| contact.status.ready);
    let is_in_region = |info: &InstanceInfo| Some(&info.region) == region;
    let ranks = homes.map_or(&[][..], |homes| &homes.ranks);
    let in_zone = addresses(&ready, &|info| Some(&info.zone) == zone);
    if in_zone.len() >= MIN_ZONE_ENTRIES {
        return Listing { addresses: in_zone, scope: Scope::Zone };
    }
    let in_region = addresses(&ready, &is_in_region);
    if !in_region.is_empty() {
        return Listing { addresses: in_region, scope: Scope::Region };
    }
    for rank in ranks {
        let in_rank = addresses(&ready, &|info| rank.contains(&info.region));
        if !in_rank.is_empty() {
            return Listing { addresses: in_rank, scope: Scope::Homes };
        }
    }
    let leaving = infos(&|contact| contact.has_begun_to_leave(now));
    let is_in_home = |info: &InstanceInfo| ranks.iter().any(|rank| rank.contains(&info.region));
    let near = addresses(&leaving, &|info| is_in_region(info) || is_in_home(info));
    if !near.is_empty() {
        return Listing { addresses: near, scope: Scope::Leaving };
    }
    let anywhere = addresses(&ready, &|_| true);
    match homes {
        _ if anywhere.is_empty() => Listing { addresses: anywhere, scope: Scope::Nowhere },
        Some(homes) if homes.ranks.is_empty() => {
            Listing { addresses: anywhere, scope: Scope::Anywhere }
        }
        _ => Listing { addresses: Vec::new(), scope: Scope::Withheld },
    }
}

/// Minimum number of ready entry instances in a zone for its callers to be kept within it.
const MIN_ZONE_ENTRIES: usize = 2;
