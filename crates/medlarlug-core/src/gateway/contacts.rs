//! The instances of the system, learned from a few contact addresses.
//!
//! A process is told the addresses of some keepers. It introduces itself to these, learns of the
//! other keepers from them, and keeps trying all it has heard of. An instance that was not heard
//! of for a while is forgotten, unless it is one of the configured contacts.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    gateway::table::ServiceName,
    ids::{InstanceId, RegionId, ZoneId},
    time::Time,
};

/// What an instance does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum InstanceKind {
    /// Takes calls in.
    Entry,
    /// Keeps the replicated state.
    Keeper,
}

/// How an instance introduces itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceInfo {
    /// Its id.
    pub id: InstanceId,
    /// What it does.
    pub part: InstanceKind,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its region.
    pub region: RegionId,
    /// Where other instances reach it.
    pub internal: SocketAddr,
    /// Where callers reach it; entry instances only.
    pub front: Option<SocketAddr>,
}

/// Work that an entry instance could take over from other regions, for one service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceWait {
    /// The service.
    pub service: ServiceName,
    /// Predicted wait of a call of usual size, in milliseconds; `None` if no upstream is usable.
    pub wait_ms: Option<u32>,
}

/// Predicted wait of a call of usual size in a region.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RegionWait {
    /// The region.
    pub region: RegionId,
    /// The service.
    pub service: ServiceName,
    /// The wait, in milliseconds.
    pub wait_ms: u32,
}

/// What an entry instance tells of its state.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Whether it takes new callers.
    pub ready: bool,
    /// What it could take over, sorted by service.
    pub spare: Vec<ServiceWait>,
}

/// A known instance.
#[derive(Debug, Clone, PartialEq)]
pub struct Contact {
    /// How it introduced itself.
    pub info: InstanceInfo,
    /// Its newest status.
    pub status: Status,
    /// When it was last heard, by this process or by the one that told of it.
    pub last_seen: Time,
    /// Number of its last change, see [`Contacts::changed_since`].
    change: u64,
}

/// Silence after which an instance is no longer taken to be alive.
pub const LIVENESS_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Silence after which a keeper forgets an instance.
pub const FORGET_AFTER: Duration = Duration::from_secs(30);

/// The known instances, sorted by id.
#[derive(Debug, Clone, Default)]
pub struct Contacts {
    known: Vec<Contact>,
    change: u64,
    /// The most entry instances that were known at once.
    most_entries: usize,
}

impl Contacts {
    /// Takes in that an instance was heard `age` before `now`. Returns whether it is new or has
    /// changed.
    pub fn update(
        &mut self,
        now: Time,
        card: InstanceInfo,
        status: Option<Status>,
        age: Duration,
    ) -> bool {
        let heard = now.saturating_sub(age);
        match self.place(&card.id) {
            Ok(at) => {
                let known = &mut self.known[at];
                if heard < known.last_seen {
                    return false;
                }
                let is_ready = status.as_ref().map_or(known.status.ready, |it| it.ready);
                let is_new = known.info != card || known.status.ready != is_ready;
                known.info = card;
                known.last_seen = heard;
                if let Some(status) = status {
                    known.status = status;
                }
                if is_new {
                    self.change += 1;
                    known.change = self.change;
                }
                is_new
            }
            Err(at) => {
                let status = status.unwrap_or_default();
                self.change += 1;
                self.known.insert(
                    at,
                    Contact { info: card, status, last_seen: heard, change: self.change },
                );
                let entries = self.known.iter().filter(|it| it.info.part == InstanceKind::Entry);
                self.most_entries = self.most_entries.max(entries.count());
                true
            }
        }
    }

    /// Takes in a sign of life of a known instance.
    pub fn renew(&mut self, now: Time, id: &InstanceId, age: Duration) {
        if let Ok(at) = self.place(id) {
            let heard = now.saturating_sub(age);
            self.known[at].last_seen = self.known[at].last_seen.max(heard);
        }
    }

    /// Takes in a sign of life of the instance at an internal address.
    pub fn renew_at(&mut self, now: Time, address: SocketAddr) {
        if let Some(contact) = self.known.iter_mut().find(|it| it.info.internal == address) {
            contact.last_seen = now;
        }
    }

    /// Number of the last change.
    pub fn change(&self) -> u64 {
        self.change
    }

    /// The instances that changed after the change with number `change`.
    pub fn changed_since(&self, change: u64) -> impl Iterator<Item = &Contact> {
        self.known.iter().filter(move |contact| contact.change > change)
    }

    /// Predicted waits in milliseconds by region and service, sorted: the median of what the live
    /// entry instances of the region tell.
    pub fn waits(&self, now: Time) -> Vec<RegionWait> {
        let mut all: Vec<(RegionId, ServiceName, u32)> = self
            .live_entries(now)
            .filter(|contact| contact.status.ready)
            .flat_map(|contact| {
                let region = &contact.info.region;
                let told = contact.status.spare.iter();
                told.filter_map(|it| Some((region.clone(), it.service.clone(), it.wait_ms?)))
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
        if let Ok(at) = self.place(id) {
            self.known.remove(at);
        }
    }

    /// Forgets instances that were silent for `limit`.
    pub fn forget(&mut self, now: Time, limit: Duration) {
        self.known.retain(|contact| now - contact.last_seen <= limit);
    }

    /// All known instances, sorted by id.
    pub fn all(&self) -> &[Contact] {
        &self.known
    }

    /// The instance with `id`.
    pub fn get(&self, id: &InstanceId) -> Option<&Contact> {
        self.place(id).ok().map(|at| &self.known[at])
    }

    /// Instances that were heard within [`LIVENESS_TIMEOUT`].
    pub fn live(&self, now: Time) -> impl Iterator<Item = &Contact> {
        self.known.iter().filter(move |contact| now - contact.last_seen <= LIVENESS_TIMEOUT)
    }

    /// Entry instances that were heard within [`LIVENESS_TIMEOUT`].
    pub fn live_entries(&self, now: Time) -> impl Iterator<Item = &Contact> {
        self.live(now).filter(|contact| contact.info.part == InstanceKind::Entry)
    }

    /// The most entry instances that were known at once, forgotten ones included.
    pub fn peak_entries(&self) -> usize {
        self.most_entries
    }

    fn place(&self, id: &InstanceId) -> Result<usize, usize> {
        self.known.binary_search_by(|contact| contact.info.id.cmp(id))
    }
}

/// The addresses of entry instances to name to a caller in `zone` of `region`, near ones first:
/// those of its zone, else of its region, else of a region in `homes`, else any.
pub fn entry_addresses(
    contacts: &Contacts,
    now: Time,
    zone: Option<&ZoneId>,
    region: Option<&RegionId>,
    homes: &[RegionId],
) -> Vec<SocketAddr> {
    let ready: Vec<&InstanceInfo> = contacts
        .live_entries(now)
        .filter(|contact| contact.status.ready)
        .map(|contact| &contact.info)
        .collect();
    let named = |filter: &dyn Fn(&InstanceInfo) -> bool| -> Vec<SocketAddr> {
        ready.iter().filter(|card| filter(card)).filter_map(|card| card.front).collect()
    };
    let in_zone = named(&|card| Some(&card.zone) == zone);
    if in_zone.len() >= MIN_ZONE_ENTRIES {
        return in_zone;
    }
    let in_region = named(&|card| Some(&card.region) == region);
    if !in_region.is_empty() {
        return in_region;
    }
    let at_home = named(&|card| homes.contains(&card.region));
    if !at_home.is_empty() {
        return at_home;
    }
    named(&|_| true)
}

/// Entry instances that a zone has at least if its callers are kept within it.
const MIN_ZONE_ENTRIES: usize = 2;
