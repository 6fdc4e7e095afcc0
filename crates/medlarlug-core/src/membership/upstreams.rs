//! Upstreams of the own zone: leases, tombstones, and updates for the other instances.

use std::hash::Hash;

use crate::{
    announcement::{Announcement, LoadReport, UpstreamKind},
    ids::{AdapterId, Incarnation, UpstreamId},
    membership::{
        LoadUpdate, Millis, ShortFingerprint, Target, UpstreamKey, UpstreamUpdate,
        hash::StableHasher,
        timing::{
            LEAVING_SENDS, MAX_PENDING_CACHE_EVENTS, MAX_TOMBSTONES, RELAY_INTERVAL, RELAY_TIMEOUT,
            TOMBSTONE_LIFETIME, UPSTREAM_LEASE,
        },
        warm::WarmSet,
    },
    time::Time,
};

/// An upstream of the own zone.
#[derive(Debug, Clone, PartialEq)]
pub struct Upstream {
    /// Latest announcement; renewals update its sequence number and load.
    pub announcement: Announcement,
    /// When that announcement reached the zone, by this instance's clock.
    pub received_at: Time,
    /// Prefixes in its cache, according to its cache events.
    pub warm: WarmSet,
    /// Hash of what it announced besides its load.
    properties_hash: u32,
    key: UpstreamKey,
    unsent: Unsent,
    /// When an instance of higher rank last relayed a renewal of it.
    peer_relay: Option<Time>,
    /// When this instance last relayed a renewal of it.
    relayed_at: Option<Time>,
    pending: PendingEvents,
}

/// Cache events that have not been sent to the other instances of the zone yet.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct PendingEvents {
    cached: Vec<ShortFingerprint>,
    evicted: Vec<ShortFingerprint>,
}

impl PendingEvents {
    fn add(&mut self, update: &LoadUpdate) {
        self.cached.extend(&update.cached);
        self.evicted.extend(&update.evicted);
        for fingerprints in [&mut self.cached, &mut self.evicted] {
            let surplus = fingerprints.len().saturating_sub(MAX_PENDING_CACHE_EVENTS);
            fingerprints.drain(..surplus);
        }
    }
}

/// What has to be sent to the other instances of the zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Unsent {
    Nothing,
    Load,
    Everything,
}

impl Upstream {
    fn new(announcement: Announcement, received_at: Time, unsent: Unsent) -> Upstream {
        let properties_hash = properties_hash(&announcement);
        let mut upstream = Upstream {
            key: key(&announcement, properties_hash),
            announcement,
            received_at,
            warm: WarmSet::default(),
            properties_hash,
            unsent,
            peer_relay: None,
            relayed_at: None,
            pending: PendingEvents::default(),
        };
        upstream.apply_cache_events();
        upstream
    }

    /// Whether it accepts new requests: its lease is valid and it isn't leaving.
    pub fn is_usable(&self, now: Time) -> bool {
        !self.announcement.leaving && now - self.received_at < UPSTREAM_LEASE
    }

    /// Whether it serves a target, whatever its version.
    pub fn serves(&self, target: &Target) -> bool {
        match (&self.announcement.kind, target) {
            (UpstreamKind::Engine { models }, Target::Model(id)) => {
                models.iter().any(|it| it.model == *id)
            }
            (UpstreamKind::Service { service }, Target::Service(id)) => service == id,
            _ => false,
        }
    }

    /// Whether it has an adapter of a model loaded; false for a service.
    pub fn has_adapter(&self, target: &Target, adapter: &AdapterId) -> bool {
        match (&self.announcement.kind, target) {
            (UpstreamKind::Engine { models }, Target::Model(id)) => {
                models.iter().any(|it| it.model == *id && it.adapters.contains(adapter))
            }
            _ => false,
        }
    }

    /// The targets that it serves: the models that it has loaded, or its one service.
    pub fn targets(&self) -> Vec<Target> {
        match &self.announcement.kind {
            UpstreamKind::Engine { models } => {
                models.iter().map(|it| Target::Model(it.model.clone())).collect()
            }
            UpstreamKind::Service { service } => vec![Target::Service(service.clone())],
        }
    }

    /// Whether another instance relays the renewals. Of all instances that the upstream announces
    /// itself to, the one with the highest rank does, so that each renewal is sent once.
    fn is_relayed_by_peer(&self, now: Time) -> bool {
        self.peer_relay.is_some_and(|relayed_at| now - relayed_at < RELAY_TIMEOUT)
    }

    fn version(&self) -> (Incarnation, u64) {
        (self.announcement.incarnation, self.announcement.sequence)
    }

    fn apply_cache_events(&mut self) {
        let update = LoadUpdate::from(&self.announcement.load);
        self.apply_events(&update);
    }

    fn apply_events(&mut self, update: &LoadUpdate) {
        update.evicted.iter().for_each(|it| self.warm.remove(*it));
        update.cached.iter().for_each(|it| self.warm.insert(*it));
    }
}

/// Hash of what an upstream announced besides its id, its incarnation and its load.
fn properties_hash(announcement: &Announcement) -> u32 {
    let Announcement { address, kind, slots, fencing, .. } = announcement;
    let mut hasher = StableHasher::new();
    (address, slots, fencing).hash(&mut hasher);
    match kind {
        UpstreamKind::Engine { models } => {
            for it in models {
                (&it.model, &it.version, &it.adapters).hash(&mut hasher);
            }
        }
        UpstreamKind::Service { service } => service.hash(&mut hasher),
    }
    hasher.short()
}

fn key(announcement: &Announcement, properties_hash: u32) -> UpstreamKey {
    let mut hasher = StableHasher::new();
    (&announcement.id, announcement.incarnation, properties_hash).hash(&mut hasher);
    UpstreamKey(hasher.short().to_be_bytes())
}

/// Makes announcements up to this incarnation and sequence outdated.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Tombstone {
    id: UpstreamId,
    incarnation: Incarnation,
    sequence: u64,
    created_at: Time,
    /// Messages in which it is still to be sent.
    remaining_sends: u8,
}

/// Sequence number of a tombstone that no announcement of the same incarnation overrides.
const LEFT_SEQUENCE: u64 = u64::MAX;

/// What an update on an upstream changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Change {
    /// Nothing, or its load.
    None,
    /// The upstream is new, has returned, or has changed what it serves.
    Up,
    /// Its incarnation accepts no new requests any more, and now has a tombstone.
    Leaving,
    /// The update is older than a tombstone, which the sender has missed.
    Outdated,
}

/// The upstreams of one zone, sorted by id, and the tombstones.
#[derive(Debug, Clone, Default)]
pub(super) struct UpstreamTable {
    upstreams: Vec<Upstream>,
    tombstones: Vec<Tombstone>,
    generation: u64,
}

impl UpstreamTable {
    pub(super) fn all(&self) -> &[Upstream] {
        &self.upstreams
    }

    /// Increases whenever an upstream is added, is removed or changes what it serves.
    pub(super) fn generation(&self) -> u64 {
        self.generation
    }

    pub(super) fn tombstones(&self) -> usize {
        self.tombstones.len()
    }

    pub(super) fn get(&self, id: &UpstreamId) -> Option<&Upstream> {
        let index = self.find(id).ok()?;
        Some(&self.upstreams[index])
    }

    fn find(&self, id: &UpstreamId) -> Result<usize, usize> {
        self.upstreams.binary_search_by(|it| it.announcement.id.cmp(id))
    }

    fn find_key(&self, key: UpstreamKey) -> Option<usize> {
        self.upstreams.iter().position(|it| it.key == key)
    }

    /// The upstream that an update is about; fails with its key if no upstream with this key is
    /// known.
    pub(super) fn upstream_of(&self, update: &UpstreamUpdate) -> Result<UpstreamId, UpstreamKey> {
        match update {
            UpstreamUpdate::Full { announcement, .. } => Ok(announcement.id.clone()),
            UpstreamUpdate::Left { id, .. } => Ok(id.clone()),
            UpstreamUpdate::Renewal { key, .. } => {
                let index = self.find_key(*key).ok_or(*key)?;
                Ok(self.upstreams[index].announcement.id.clone())
            }
        }
    }

    fn find_tombstone(&self, id: &UpstreamId) -> Result<usize, usize> {
        self.tombstones.binary_search_by(|it| it.id.cmp(id))
    }

    fn is_outdated(&self, id: &UpstreamId, version: (Incarnation, u64)) -> bool {
        self.find_tombstone(id).is_ok_and(|index| {
            let tombstone = &self.tombstones[index];
            version <= (tombstone.incarnation, tombstone.sequence)
        })
    }

    /// Applies an announcement that arrived from the upstream itself.
    pub(super) fn announce(&mut self, now: Time, announcement: Announcement) -> Change {
        self.accept(announcement, now, now, true)
    }

    /// Applies an update from another instance of the zone. `is_preferred` is whether that instance
    /// ranks higher than this one for relaying renewals of the upstream.
    pub(super) fn apply(
        &mut self,
        now: Time,
        update: UpstreamUpdate,
        is_preferred: bool,
    ) -> Change {
        match update {
            UpstreamUpdate::Full { announcement, age } => {
                self.accept(*announcement, now.saturating_sub(age), now, false)
            }
            UpstreamUpdate::Renewal { key, sequence, age, load } => {
                let Some(index) = self.find_key(key) else {
                    return Change::None;
                };
                // Without this check, the instance whose tick comes first would relay every
                // renewal.
                if is_preferred {
                    self.upstreams[index].peer_relay = Some(now);
                    self.upstreams[index].unsent = Unsent::Nothing;
                }
                self.apply_renewal(index, sequence, now.saturating_sub(age.into()), load)
            }
            UpstreamUpdate::Left { id, incarnation } => self.mark_left(now, &id, incarnation),
        }
    }

    fn accept(
        &mut self,
        announcement: Announcement,
        received_at: Time,
        now: Time,
        is_direct: bool,
    ) -> Change {
        let (id, incarnation) = (announcement.id.clone(), announcement.incarnation);
        let version = (incarnation, announcement.sequence);
        if self.is_outdated(&id, version) {
            return Change::Outdated;
        }
        if now - received_at >= UPSTREAM_LEASE {
            return Change::None;
        }
        let is_leaving = announcement.leaving;
        let mut unsent = if is_direct { Unsent::Everything } else { Unsent::Nothing };
        let change = match self.find(&id) {
            Ok(index) => {
                let known = &mut self.upstreams[index];
                if version < known.version() {
                    return Change::None;
                }
                if version == known.version() {
                    known.unsent = if is_direct { known.unsent } else { Unsent::Nothing };
                    return Change::None;
                }
                let is_renewal = known.properties_hash == properties_hash(&announcement)
                    && version.0 == known.version().0;
                if is_renewal && is_direct && known.unsent != Unsent::Everything {
                    unsent =
                        if known.is_relayed_by_peer(now) { Unsent::Nothing } else { Unsent::Load };
                }
                known.announcement = announcement;
                known.received_at = received_at;
                known.unsent = unsent;
                known.apply_cache_events();
                match unsent {
                    Unsent::Load => known.pending.add(&LoadUpdate::from(&known.announcement.load)),
                    _ => known.pending = PendingEvents::default(),
                }
                if is_renewal {
                    Change::None
                } else {
                    known.properties_hash = properties_hash(&known.announcement);
                    known.key = key(&known.announcement, known.properties_hash);
                    Change::Up
                }
            }
            Err(index) => {
                self.upstreams.insert(index, Upstream::new(announcement, received_at, unsent));
                Change::Up
            }
        };
        if change == Change::Up {
            self.generation += 1;
        }
        if is_leaving { self.mark_left(now, &id, incarnation) } else { change }
    }

    fn apply_renewal(
        &mut self,
        index: usize,
        sequence: u64,
        received_at: Time,
        load: LoadUpdate,
    ) -> Change {
        let known = &self.upstreams[index];
        let version = (known.announcement.incarnation, sequence);
        if self.is_outdated(&known.announcement.id, version) {
            return Change::Outdated;
        }
        let known = &mut self.upstreams[index];
        if version < known.version() {
            return Change::None;
        }
        if version > known.version() {
            known.announcement.sequence = sequence;
            known.announcement.load = LoadReport::from(&load);
            known.received_at = received_at;
            known.apply_events(&load);
        }
        Change::None
    }

    fn mark_left(&mut self, now: Time, id: &UpstreamId, incarnation: Incarnation) -> Change {
        let is_applied = self.find_tombstone(id).is_ok_and(|index| {
            let tombstone = &self.tombstones[index];
            (tombstone.incarnation, tombstone.sequence) >= (incarnation, LEFT_SEQUENCE)
        });
        if is_applied {
            return Change::None;
        }
        self.add_tombstone(now, id, incarnation, LEFT_SEQUENCE);
        if let Ok(index) = self.find(id)
            && self.upstreams[index].announcement.incarnation <= incarnation
        {
            self.upstreams.remove(index);
            self.generation += 1;
        }
        Change::Leaving
    }

    fn add_tombstone(
        &mut self,
        now: Time,
        id: &UpstreamId,
        incarnation: Incarnation,
        sequence: u64,
    ) {
        let remaining_sends = if sequence == LEFT_SEQUENCE { LEAVING_SENDS } else { 0 };
        let tombstone =
            Tombstone { id: id.clone(), incarnation, sequence, created_at: now, remaining_sends };
        match self.find_tombstone(id) {
            Ok(index) => self.tombstones[index] = tombstone,
            Err(index) => self.tombstones.insert(index, tombstone),
        }
        if self.tombstones.len() > MAX_TOMBSTONES {
            let oldest =
                (0..self.tombstones.len()).min_by_key(|it| self.tombstones[*it].created_at);
            self.tombstones.remove(oldest.unwrap_or(0));
        }
    }

    /// Removes upstreams whose lease has expired, and returns their ids.
    pub(super) fn expire(&mut self, now: Time) -> Vec<UpstreamId> {
        self.tombstones.retain(|it| now - it.created_at < TOMBSTONE_LIFETIME);
        let is_dead = |it: &Upstream| now - it.received_at >= UPSTREAM_LEASE;
        let dead: Vec<_> = self.upstreams.extract_if(.., |it| is_dead(it)).collect();
        if !dead.is_empty() {
            self.generation += 1;
        }
        for it in &dead {
            let (incarnation, sequence) = it.version();
            self.add_tombstone(now, &it.announcement.id, incarnation, sequence);
        }
        dead.into_iter().map(|it| it.announcement.id).collect()
    }

    /// Whether there are updates that can't wait for the next message with renewals.
    pub(super) fn has_urgent_updates(&self) -> bool {
        self.tombstones.iter().any(|it| it.remaining_sends > 0)
            || self.upstreams.iter().any(|it| it.unsent == Unsent::Everything)
    }

    /// Returns the updates that the other instances of the zone have not been sent, and marks them
    /// as sent.
    pub(super) fn take_updates(&mut self, now: Time) -> Vec<UpstreamUpdate> {
        let mut updates = Vec::new();
        for it in &mut self.tombstones {
            if it.remaining_sends > 0 {
                it.remaining_sends -= 1;
                updates
                    .push(UpstreamUpdate::Left { id: it.id.clone(), incarnation: it.incarnation });
            }
        }
        for it in &mut self.upstreams {
            match it.unsent {
                Unsent::Nothing => continue,
                Unsent::Load if it.relayed_at.is_some_and(|last| now - last < RELAY_INTERVAL) => {
                    continue;
                }
                Unsent::Load => updates.push(renewal(now, it)),
                Unsent::Everything => updates.push(full(now, it)),
            }
            it.unsent = Unsent::Nothing;
            it.relayed_at = Some(now);
        }
        updates
    }

    /// Updates with everything that is known, including tombstones.
    pub(super) fn full_view(&self, now: Time) -> Vec<UpstreamUpdate> {
        let left = self.tombstones.iter().filter(|it| it.sequence == LEFT_SEQUENCE);
        let left =
            left.map(|it| UpstreamUpdate::Left { id: it.id.clone(), incarnation: it.incarnation });
        left.chain(self.upstreams.iter().map(|it| full(now, it))).collect()
    }

    /// The latest update on one upstream: its announcement, or its tombstone.
    pub(super) fn current_update(&self, now: Time, id: &UpstreamId) -> Option<UpstreamUpdate> {
        if let Some(upstream) = self.get(id) {
            return Some(full(now, upstream));
        }
        let index = self.find_tombstone(id).ok()?;
        let tombstone = &self.tombstones[index];
        let incarnation = tombstone.incarnation;
        (tombstone.sequence == LEFT_SEQUENCE)
            .then(|| UpstreamUpdate::Left { id: id.clone(), incarnation })
    }

    /// The full announcement of the upstream with a key.
    pub(super) fn full_update(&self, now: Time, key: UpstreamKey) -> Option<UpstreamUpdate> {
        Some(full(now, &self.upstreams[self.find_key(key)?]))
    }

    /// Hash of the known upstreams, their incarnations and properties, for comparison with other
    /// instances.
    pub(super) fn digest(&self) -> u32 {
        let mut hasher = StableHasher::new();
        for it in &self.upstreams {
            (&it.announcement.id, it.announcement.incarnation, it.properties_hash)
                .hash(&mut hasher);
        }
        hasher.short()
    }
}

fn full(now: Time, upstream: &Upstream) -> UpstreamUpdate {
    let announcement = Box::new(upstream.announcement.clone());
    UpstreamUpdate::Full { announcement, age: now - upstream.received_at }
}

fn renewal(now: Time, upstream: &mut Upstream) -> UpstreamUpdate {
    let PendingEvents { cached, evicted } = std::mem::take(&mut upstream.pending);
    let Announcement { sequence, load, .. } = &upstream.announcement;
    let load = LoadUpdate { cached, evicted, ..LoadUpdate::from(load) };
    let age = Millis::from(now - upstream.received_at);
    UpstreamUpdate::Renewal { key: upstream.key, sequence: *sequence, age, load }
}
