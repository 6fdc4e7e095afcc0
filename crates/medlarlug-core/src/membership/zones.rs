//! The other zones as known from their summaries, and the rows of the own summary that are due to
//! be sent.

use std::time::Duration;

use crate::{
    ids::{InstanceId, RegionId, Revision, ZoneId},
    membership::{
        EntryLoad, Seed, Sketch, Target, TargetSummary, ZoneUpdate,
        timing::{
            CONTACT_TIMEOUT, CROSS_REGION_BYTES_PER_SECOND, CROSS_REGION_LIFETIME,
            CROSS_REGION_REFRESH, MAX_SAVED_BYTES, MAX_ZONES_WITH_WARM_PREFIXES, MIN_BATCH_ROWS,
            REGION_BYTES_PER_SECOND, REGION_LIFETIME, REGION_REFRESH,
        },
    },
    time::Time,
};

/// What another zone can serve of one target.
#[derive(Debug, Clone, PartialEq)]
pub struct Row {
    /// The latest summary of the target.
    pub summary: TargetSummary,
    /// When the summary was created, by this instance's clock.
    pub created_at: Time,
}

/// Another zone, as known from its summaries.
#[derive(Debug, Clone, PartialEq)]
pub struct ZoneView {
    /// Id of the zone.
    pub zone: ZoneId,
    /// Region of the zone, which determines the lifetime of its rows.
    pub region: RegionId,
    /// Age from which its rows are not used.
    pub lifetime: Duration,
    /// When its latest summary was created, by this instance's clock; `None` before the first.
    pub created_at: Option<Time>,
    /// Highest configuration revision in force in it.
    pub revision: Revision,
    /// Its entry instances that accept callers, the least loaded first, as its latest summary names
    /// them.
    pub entries: Vec<EntryLoad>,
    rows: Vec<Row>,
    seeds: Vec<InstanceId>,
    contact: Contact,
}

/// The instance of another zone that summaries are sent to, and since when.
#[derive(Debug, Clone, PartialEq)]
struct Contact {
    id: InstanceId,
    since: Time,
}

impl ZoneView {
    /// The row of a target, if it is younger than its lifetime.
    pub fn row(&self, now: Time, target: &Target) -> Option<&Row> {
        let index = self.rows.binary_search_by(|it| it.summary.target.cmp(target)).ok()?;
        let row = &self.rows[index];
        (now - row.created_at < self.lifetime).then_some(row)
    }

    /// All rows that are younger than their lifetime, sorted by target.
    pub fn rows(&self, now: Time) -> impl Iterator<Item = &Row> {
        self.rows.iter().filter(move |it| now - it.created_at < self.lifetime)
    }

    /// Whether a summary of the zone was created within its lifetime.
    pub fn has_fresh_summary(&self, now: Time) -> bool {
        self.created_at.is_some_and(|created_at| now - created_at < self.lifetime)
    }

    /// The instance that summaries are sent to: the speaker of the zone while its summaries arrive,
    /// otherwise each of its entry instances in turn.
    fn contact(&mut self, now: Time) -> InstanceId {
        let last = self
            .created_at
            .map_or(self.contact.since, |created_at| created_at.max(self.contact.since));
        if now - last >= CONTACT_TIMEOUT.max(self.lifetime / 2) {
            let index = self.seeds.iter().position(|it| *it == self.contact.id).unwrap_or(0);
            let next = &self.seeds[(index + 1) % self.seeds.len()];
            self.contact = Contact { id: next.clone(), since: now };
        }
        self.contact.id.clone()
    }
}

/// The other zones, sorted by id.
#[derive(Debug, Clone, Default)]
pub(super) struct ZoneTable {
    zones: Vec<ZoneView>,
}

impl ZoneTable {
    /// The zones of the entry instances in `seeds`, except the `own` zone.
    pub(super) fn new(own: &Seed, seeds: &[Seed]) -> ZoneTable {
        let mut zones: Vec<ZoneView> = Vec::new();
        for seed in seeds.iter().filter(|it| it.zone != own.zone) {
            match zones.binary_search_by(|it| it.zone.cmp(&seed.zone)) {
                Ok(index) => zones[index].seeds.push(seed.id.clone()),
                Err(index) => zones.insert(index, ZoneView::never_seen(own, seed)),
            }
        }
        for zone in &mut zones {
            zone.seeds.sort();
            zone.contact.id = zone.seeds[0].clone();
        }
        ZoneTable { zones }
    }

    pub(super) fn all(&self) -> &[ZoneView] {
        &self.zones
    }

    pub(super) fn get(&self, zone: &ZoneId) -> Option<&ZoneView> {
        let index = self.zones.binary_search_by(|it| it.zone.cmp(zone)).ok()?;
        Some(&self.zones[index])
    }

    /// Applies an update; returns whether it is newer than what was known.
    pub(super) fn apply(&mut self, now: Time, update: &ZoneUpdate) -> bool {
        let Ok(index) = self.zones.binary_search_by(|it| it.zone.cmp(&update.zone)) else {
            return false;
        };
        let zone = &mut self.zones[index];
        let created_at = now.saturating_sub(update.age.into());
        if zone.created_at.is_some_and(|known| created_at <= known + SAME_SUMMARY_TOLERANCE) {
            return false;
        }
        zone.created_at = Some(created_at);
        zone.revision = zone.revision.max(update.revision);
        zone.entries = update.entries.clone();
        zone.contact = Contact { id: update.speaker.clone(), since: now };
        for summary in &update.rows {
            let row = Row { summary: summary.clone(), created_at };
            match zone.rows.binary_search_by(|it| it.summary.target.cmp(&summary.target)) {
                Ok(index) => zone.rows[index] = row,
                Err(index) => zone.rows.insert(index, row),
            }
        }
        true
    }

    /// One contact in each other zone of a region.
    pub(super) fn contacts(&mut self, now: Time, region: &RegionId) -> Vec<InstanceId> {
        let zones = self.zones.iter_mut().filter(|it| it.region == *region);
        zones.map(|it| it.contact(now)).collect()
    }

    /// One contact in each region other than `own`. `rotation` selects the zone, so that a caller
    /// which increments it reaches the zones of a region in turn.
    pub(super) fn cross_region_contacts(
        &mut self,
        now: Time,
        own: &RegionId,
        rotation: usize,
    ) -> Vec<InstanceId> {
        let mut regions: Vec<RegionId> = self.zones.iter().map(|it| it.region.clone()).collect();
        regions.retain(|it| it != own);
        regions.sort();
        regions.dedup();
        let mut contacts = Vec::new();
        for region in regions {
            let mut zones: Vec<&mut ZoneView> =
                self.zones.iter_mut().filter(|it| it.region == region).collect();
            let index = rotation % zones.len();
            contacts.push(zones[index].contact(now));
        }
        contacts
    }
}

/// Summaries whose creation times differ by no more than this count as the same one.
const SAME_SUMMARY_TOLERANCE: Duration = Duration::from_millis(100);

impl ZoneView {
    fn never_seen(own: &Seed, seed: &Seed) -> ZoneView {
        let is_own_region = own.region == seed.region;
        ZoneView {
            zone: seed.zone.clone(),
            region: seed.region.clone(),
            lifetime: if is_own_region { REGION_LIFETIME } else { CROSS_REGION_LIFETIME },
            created_at: None,
            revision: Revision(0),
            entries: Vec::new(),
            rows: Vec::new(),
            seeds: vec![seed.id.clone()],
            contact: Contact { id: seed.id.clone(), since: Time::ZERO },
        }
    }
}

/// The rows of the own summary that are due for one scope, within its byte budget.
#[derive(Debug, Clone)]
pub(super) struct Outbox {
    sent: Vec<Row>,
    refresh: Duration,
    /// Whether rows include the sketch of cached prefixes.
    includes_warm: bool,
    budget_bytes: f64,
    byte_rate: f64,
    filled_at: Time,
}

/// Bytes that a message takes besides its rows and entry instances.
const HEADER_BYTES: f64 = 30.0;
/// Bytes of a row besides the name of its target and its sketch.
const ROW_BYTES: f64 = 11.0;
/// Bytes of the sketch of a row.
const WARM_BYTES: f64 = 8.0;
/// Bytes of an entry instance besides its id.
const ENTRY_BYTES: f64 = 3.0;

impl Outbox {
    /// An outbox for the other zones of the region; `zones` is their number.
    pub(super) fn within_region(zones: usize) -> Outbox {
        Outbox::new(REGION_REFRESH, REGION_BYTES_PER_SECOND / zones.max(1) as f64, true)
    }

    /// An outbox for the other regions; `zones` is the number of their zones.
    pub(super) fn cross_region(zones: usize) -> Outbox {
        Outbox::new(
            CROSS_REGION_REFRESH,
            CROSS_REGION_BYTES_PER_SECOND / zones.max(1) as f64,
            zones <= MAX_ZONES_WITH_WARM_PREFIXES,
        )
    }

    fn new(refresh: Duration, byte_rate: f64, includes_warm: bool) -> Outbox {
        let (budget_bytes, filled_at) = (MAX_SAVED_BYTES, Time::ZERO);
        Outbox { sent: Vec::new(), refresh, includes_warm, budget_bytes, byte_rate, filled_at }
    }

    /// Takes the rows that are to be sent now: new and considerably changed ones, then those due
    /// for a refresh, the least recently sent first. Returns `None` when no row is due or the
    /// budget doesn't suffice.
    pub(super) fn take(
        &mut self,
        now: Time,
        rows: &[TargetSummary],
        entries: &[EntryLoad],
    ) -> Option<Vec<TargetSummary>> {
        self.fill(now);
        let entry_bytes: f64 = entries.iter().map(|it| it.id.as_str().len() as f64).sum();
        let mut cost = HEADER_BYTES + entry_bytes + ENTRY_BYTES * entries.len() as f64;
        let mut due: Vec<(Time, &TargetSummary)> =
            rows.iter().filter_map(|it| Some((self.due_since(now, it)?, it))).collect();
        due.sort_by_key(|it| it.0);
        let due_count = due.len();
        let mut taken = Vec::new();
        for (_, row) in due {
            let warm = if self.includes_warm { WARM_BYTES } else { 0.0 };
            let bytes = ROW_BYTES + warm + name_bytes(&row.target);
            if cost + bytes > self.budget_bytes {
                break;
            }
            cost += bytes;
            let warm = if self.includes_warm { row.warm } else { Sketch::default() };
            taken.push(TargetSummary { warm, ..row.clone() });
        }
        let is_full = self.budget_bytes >= MAX_SAVED_BYTES;
        let is_partial = taken.len() < due_count.min(MIN_BATCH_ROWS) && !is_full;
        if taken.is_empty() || is_partial {
            return None;
        }
        self.budget_bytes -= cost;
        for row in &taken {
            self.record_sent(now, row);
        }
        Some(taken)
    }

    fn fill(&mut self, now: Time) {
        let earned = (now - self.filled_at).as_secs_f64() * self.byte_rate;
        self.budget_bytes = (self.budget_bytes + earned).min(MAX_SAVED_BYTES);
        self.filled_at = now;
    }

    fn find(&self, target: &Target) -> Result<usize, usize> {
        self.sent.binary_search_by(|it| it.summary.target.cmp(target))
    }

    /// When the row was last sent, if it is due; the origin of time for a new row.
    fn due_since(&self, now: Time, row: &TargetSummary) -> Option<Time> {
        let Ok(index) = self.find(&row.target) else {
            return Some(Time::ZERO);
        };
        let last = &self.sent[index];
        let is_due = now - last.created_at >= self.refresh || row.differs(&last.summary);
        is_due.then_some(last.created_at)
    }

    fn record_sent(&mut self, now: Time, row: &TargetSummary) {
        let sent = Row { summary: row.clone(), created_at: now };
        match self.find(&row.target) {
            Ok(index) => self.sent[index] = sent,
            Err(index) => self.sent.insert(index, sent),
        }
    }
}

fn name_bytes(target: &Target) -> f64 {
    match target {
        Target::Model(id) => id.as_str().len() as f64,
        Target::Service(id) => id.as_str().len() as f64,
    }
}
