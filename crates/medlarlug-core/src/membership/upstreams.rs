//! Upstreams of the own zone: leases, tombstones and news for the other instances.

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

/// What is known of one upstream.
#[derive(Debug, Clone, PartialEq)]
pub struct Upstream {
    /// Its latest announcement.
    pub announcement: Announcement,
    /// When that announcement reached the zone.
    pub received_at: Time,
    /// Prefixes in its cache, as far as its events tell.
    pub warm: WarmSet,
    shape: u32,
    key: UpstreamKey,
    unsent: Unsent,
    /// When an instance of higher rank last passed a renewal on.
    told: Option<Time>,
    /// When the own instance last passed a renewal on.
    passed: Option<Time>,
    pending: PendingEvents,
}

/// Cache events that the other instances of the zone haven't been sent.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct PendingEvents {
    cached: Vec<ShortFingerprint>,
    evicted: Vec<ShortFingerprint>,
}

impl PendingEvents {
    fn add(&mut self, news: &LoadUpdate) {
        self.cached.extend(&news.cached);
        self.evicted.extend(&news.evicted);
        for prints in [&mut self.cached, &mut self.evicted] {
            let surplus = prints.len().saturating_sub(MAX_PENDING_CACHE_EVENTS);
            prints.drain(..surplus);
        }
    }
}

/// What the other instances of the zone have to be told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Unsent {
    Nothing,
    Load,
    Everything,
}

impl Upstream {
    fn new(announcement: Announcement, received_at: Time, unsent: Unsent) -> Upstream {
        let shape = shape(&announcement);
        let mut upstream = Upstream {
            key: key(&announcement, shape),
            announcement,
            received_at,
            warm: WarmSet::default(),
            shape,
            unsent,
            told: None,
            passed: None,
            pending: PendingEvents::default(),
        };
        upstream.note_cache();
        upstream
    }

    /// Whether it takes new work: its lease runs and it doesn't leave.
    pub fn is_usable(&self, now: Time) -> bool {
        !self.announcement.leaving && now - self.received_at < UPSTREAM_LEASE
    }

    /// Whether it serves a target.
    pub fn serves(&self, target: &Target) -> bool {
        match (&self.announcement.kind, target) {
            (UpstreamKind::Engine { models }, Target::Model(id)) => {
                models.iter().any(|it| it.model == *id)
            }
            (UpstreamKind::Service { service }, Target::Service(id)) => service == id,
            _ => false,
        }
    }

    /// Whether it has an adapter of a model loaded.
    pub fn has_adapter(&self, target: &Target, adapter: &AdapterId) -> bool {
        match (&self.announcement.kind, target) {
            (UpstreamKind::Engine { models }, Target::Model(id)) => {
                models.iter().any(|it| it.model == *id && it.adapters.contains(adapter))
            }
            _ => false,
        }
    }

    /// The targets that it serves.
    pub fn targets(&self) -> Vec<Target> {
        match &self.announcement.kind {
            UpstreamKind::Engine { models } => {
                models.iter().map(|it| Target::Model(it.model.clone())).collect()
            }
            UpstreamKind::Service { service } => vec![Target::Service(service.clone())],
        }
    }

    /// Whether another instance passes the renewals on; of all that the upstream announces itself
    /// to, the one with the highest rank does, so that each renewal travels once.
    fn is_told(&self, now: Time) -> bool {
        self.told.is_some_and(|told| now - told < RELAY_TIMEOUT)
    }

    fn order(&self) -> (Incarnation, u64) {
        (self.announcement.incarnation, self.announcement.sequence)
    }

    fn note_cache(&mut self) {
        let news = LoadUpdate::from(&self.announcement.load);
        self.note_events(&news);
    }

    fn note_events(&mut self, news: &LoadUpdate) {
        news.evicted.iter().for_each(|it| self.warm.remove(*it));
        news.cached.iter().for_each(|it| self.warm.insert(*it));
    }
}

fn shape(announcement: &Announcement) -> u32 {
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

fn key(announcement: &Announcement, shape: u32) -> UpstreamKey {
    let mut hasher = StableHasher::new();
    (&announcement.id, announcement.incarnation, shape).hash(&mut hasher);
    UpstreamKey(hasher.short().to_be_bytes())
}

/// Marks announcements up to (incarnation, sequence) as void.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Tombstone {
    id: UpstreamId,
    incarnation: Incarnation,
    sequence: u64,
    since: Time,
    rounds: u8,
}

/// Sequence of a tombstone that no announcement of the incarnation lifts.
const LEFT: u64 = u64::MAX;

/// What an upstream's news changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Change {
    /// Nothing, or its load.
    None,
    /// It is new, came back, or changed what it serves.
    Up,
    /// It leaves.
    Leaving,
    /// The news is older than a tombstone that the sender has missed.
    Void,
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

    /// Rises whenever an upstream enters, goes or changes what it serves.
    pub(super) fn generation(&self) -> u64 {
        self.generation
    }

    pub(super) fn tombstones(&self) -> usize {
        self.tombstones.len()
    }

    pub(super) fn get(&self, id: &UpstreamId) -> Option<&Upstream> {
        let place = self.find(id).ok()?;
        Some(&self.upstreams[place])
    }

    fn find(&self, id: &UpstreamId) -> Result<usize, usize> {
        self.upstreams.binary_search_by(|it| it.announcement.id.cmp(id))
    }

    fn find_key(&self, key: UpstreamKey) -> Option<usize> {
        self.upstreams.iter().position(|it| it.key == key)
    }

    /// The upstream that news is about; fails with the key of an upstream that is not known.
    pub(super) fn subject(&self, news: &UpstreamUpdate) -> Result<UpstreamId, UpstreamKey> {
        match news {
            UpstreamUpdate::Full { announcement, .. } => Ok(announcement.id.clone()),
            UpstreamUpdate::Left { id, .. } => Ok(id.clone()),
            UpstreamUpdate::Renewal { key, .. } => {
                let place = self.find_key(*key).ok_or(*key)?;
                Ok(self.upstreams[place].announcement.id.clone())
            }
        }
    }

    fn find_tombstone(&self, id: &UpstreamId) -> Result<usize, usize> {
        self.tombstones.binary_search_by(|it| it.id.cmp(id))
    }

    fn is_void(&self, id: &UpstreamId, order: (Incarnation, u64)) -> bool {
        self.find_tombstone(id).is_ok_and(|place| {
            let tombstone = &self.tombstones[place];
            order <= (tombstone.incarnation, tombstone.sequence)
        })
    }

    /// Takes in an announcement that arrived from the upstream itself.
    pub(super) fn announce(&mut self, now: Time, announcement: Announcement) -> Change {
        self.accept(announcement, now, now, true)
    }

    /// Takes in news from another instance of the zone; `is_preferred` tells whether it goes before
    /// the own one in passing renewals of the upstream on.
    pub(super) fn learn(&mut self, now: Time, news: UpstreamUpdate, is_preferred: bool) -> Change {
        match news {
            UpstreamUpdate::Full { announcement, age } => {
                self.accept(*announcement, now.saturating_sub(age), now, false)
            }
            UpstreamUpdate::Renewal { key, sequence, age, load } => {
                let Some(place) = self.find_key(key) else {
                    return Change::None;
                };
                // Otherwise the one whose turn comes first would pass every renewal on.
                if is_preferred {
                    self.upstreams[place].told = Some(now);
                    self.upstreams[place].unsent = Unsent::Nothing;
                }
                self.renew(place, sequence, now.saturating_sub(age.into()), load)
            }
            UpstreamUpdate::Left { id, incarnation } => self.leave(now, &id, incarnation),
        }
    }

    fn accept(
        &mut self,
        announcement: Announcement,
        received_at: Time,
        now: Time,
        is_first_hand: bool,
    ) -> Change {
        let (id, incarnation) = (announcement.id.clone(), announcement.incarnation);
        let order = (incarnation, announcement.sequence);
        if self.is_void(&id, order) {
            return Change::Void;
        }
        if now - received_at >= UPSTREAM_LEASE {
            return Change::None;
        }
        let is_leaving = announcement.leaving;
        let mut unsent = if is_first_hand { Unsent::Everything } else { Unsent::Nothing };
        let change = match self.find(&id) {
            Ok(place) => {
                let known = &mut self.upstreams[place];
                if order < known.order() {
                    return Change::None;
                }
                if order == known.order() {
                    known.unsent = if is_first_hand { known.unsent } else { Unsent::Nothing };
                    return Change::None;
                }
                let is_same = known.shape == shape(&announcement) && order.0 == known.order().0;
                if is_same && is_first_hand && known.unsent != Unsent::Everything {
                    unsent = if known.is_told(now) { Unsent::Nothing } else { Unsent::Load };
                }
                known.announcement = announcement;
                known.received_at = received_at;
                known.unsent = unsent;
                known.note_cache();
                match unsent {
                    Unsent::Load => known.pending.add(&LoadUpdate::from(&known.announcement.load)),
                    _ => known.pending = PendingEvents::default(),
                }
                if is_same {
                    Change::None
                } else {
                    known.shape = shape(&known.announcement);
                    known.key = key(&known.announcement, known.shape);
                    Change::Up
                }
            }
            Err(place) => {
                self.upstreams.insert(place, Upstream::new(announcement, received_at, unsent));
                Change::Up
            }
        };
        if change == Change::Up {
            self.generation += 1;
        }
        if is_leaving { self.leave(now, &id, incarnation) } else { change }
    }

    fn renew(
        &mut self,
        place: usize,
        sequence: u64,
        received_at: Time,
        load: LoadUpdate,
    ) -> Change {
        let known = &self.upstreams[place];
        let order = (known.announcement.incarnation, sequence);
        if self.is_void(&known.announcement.id, order) {
            return Change::Void;
        }
        let known = &mut self.upstreams[place];
        if order < known.order() {
            return Change::None;
        }
        if order > known.order() {
            known.announcement.sequence = sequence;
            known.announcement.load = LoadReport::from(&load);
            known.received_at = received_at;
            known.note_events(&load);
        }
        Change::None
    }

    fn leave(&mut self, now: Time, id: &UpstreamId, incarnation: Incarnation) -> Change {
        let is_known = self.find_tombstone(id).is_ok_and(|place| {
            let tombstone = &self.tombstones[place];
            (tombstone.incarnation, tombstone.sequence) >= (incarnation, LEFT)
        });
        if is_known {
            return Change::None;
        }
        self.bury(now, id, incarnation, LEFT);
        if let Ok(place) = self.find(id)
            && self.upstreams[place].announcement.incarnation <= incarnation
        {
            self.upstreams.remove(place);
            self.generation += 1;
        }
        Change::Leaving
    }

    fn bury(&mut self, now: Time, id: &UpstreamId, incarnation: Incarnation, sequence: u64) {
        let rounds = if sequence == LEFT { LEAVING_SENDS } else { 0 };
        let tombstone = Tombstone { id: id.clone(), incarnation, sequence, since: now, rounds };
        match self.find_tombstone(id) {
            Ok(place) => self.tombstones[place] = tombstone,
            Err(place) => self.tombstones.insert(place, tombstone),
        }
        if self.tombstones.len() > MAX_TOMBSTONES {
            let oldest = (0..self.tombstones.len()).min_by_key(|it| self.tombstones[*it].since);
            self.tombstones.remove(oldest.unwrap_or(0));
        }
    }

    /// Takes out upstreams whose lease ran out, and gives their ids.
    pub(super) fn expire(&mut self, now: Time) -> Vec<UpstreamId> {
        self.tombstones.retain(|it| now - it.since < TOMBSTONE_LIFETIME);
        let is_dead = |it: &Upstream| now - it.received_at >= UPSTREAM_LEASE;
        let dead: Vec<_> = self.upstreams.extract_if(.., |it| is_dead(it)).collect();
        if !dead.is_empty() {
            self.generation += 1;
        }
        for it in &dead {
            let (incarnation, sequence) = it.order();
            self.bury(now, &it.announcement.id, incarnation, sequence);
        }
        dead.into_iter().map(|it| it.announcement.id).collect()
    }

    /// Whether there is news that can't wait for the next message with renewals.
    pub(super) fn has_urgent_news(&self) -> bool {
        self.tombstones.iter().any(|it| it.rounds > 0)
            || self.upstreams.iter().any(|it| it.unsent == Unsent::Everything)
    }

    /// News that the other instances of the zone haven't been sent.
    pub(super) fn take_news(&mut self, now: Time) -> Vec<UpstreamUpdate> {
        let mut news = Vec::new();
        for it in &mut self.tombstones {
            if it.rounds > 0 {
                it.rounds -= 1;
                news.push(UpstreamUpdate::Left { id: it.id.clone(), incarnation: it.incarnation });
            }
        }
        for it in &mut self.upstreams {
            match it.unsent {
                Unsent::Nothing => continue,
                Unsent::Load if it.passed.is_some_and(|last| now - last < RELAY_INTERVAL) => {
                    continue;
                }
                Unsent::Load => news.push(renewal(now, it)),
                Unsent::Everything => news.push(full(now, it)),
            }
            it.unsent = Unsent::Nothing;
            it.passed = Some(now);
        }
        news
    }

    /// Everything that is known, tombstones included.
    pub(super) fn whole_view(&self, now: Time) -> Vec<UpstreamUpdate> {
        let left = self.tombstones.iter().filter(|it| it.sequence == LEFT);
        let left =
            left.map(|it| UpstreamUpdate::Left { id: it.id.clone(), incarnation: it.incarnation });
        left.chain(self.upstreams.iter().map(|it| full(now, it))).collect()
    }

    /// The news that answers for one upstream: its announcement, or its tombstone.
    pub(super) fn answer(&self, now: Time, id: &UpstreamId) -> Option<UpstreamUpdate> {
        if let Some(upstream) = self.get(id) {
            return Some(full(now, upstream));
        }
        let place = self.find_tombstone(id).ok()?;
        let tombstone = &self.tombstones[place];
        let incarnation = tombstone.incarnation;
        (tombstone.sequence == LEFT).then(|| UpstreamUpdate::Left { id: id.clone(), incarnation })
    }

    /// The whole announcement that a key stands for.
    pub(super) fn answer_key(&self, now: Time, key: UpstreamKey) -> Option<UpstreamUpdate> {
        Some(full(now, &self.upstreams[self.find_key(key)?]))
    }

    /// Hash of the upstreams that take work.
    pub(super) fn digest(&self) -> u32 {
        let mut hasher = StableHasher::new();
        for it in &self.upstreams {
            (&it.announcement.id, it.announcement.incarnation, it.shape).hash(&mut hasher);
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
