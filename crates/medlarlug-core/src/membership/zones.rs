//! What is known of other zones, and which changes of the own summary are worth sending.

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

/// What another zone can do for one target.
#[derive(Debug, Clone, PartialEq)]
pub struct Row {
    /// The summary.
    pub summary: TargetSummary,
    /// When it was made, by the own clock.
    pub created_at: Time,
}

/// What is known of another zone.
#[derive(Debug, Clone, PartialEq)]
pub struct ZoneView {
    /// The zone.
    pub zone: ZoneId,
    /// Its region.
    pub region: RegionId,
    /// Age beyond which its rows are not used.
    pub lifetime: Duration,
    /// When its latest summary was made, by the own clock.
    pub created_at: Option<Time>,
    /// Highest configuration revision in force in it.
    pub revision: Revision,
    /// Its entry instances that callers may use, the least loaded first.
    pub entries: Vec<EntryLoad>,
    rows: Vec<Row>,
    seeds: Vec<InstanceId>,
    contact: Contact,
}

/// The instance of another zone that summaries are sent to.
#[derive(Debug, Clone, PartialEq)]
struct Contact {
    id: InstanceId,
    since: Time,
}

impl ZoneView {
    /// The row for a target, when it is younger than its lifetime.
    pub fn row(&self, now: Time, target: &Target) -> Option<&Row> {
        let place = self.rows.binary_search_by(|it| it.summary.target.cmp(target)).ok()?;
        let row = &self.rows[place];
        (now - row.created_at < self.lifetime).then_some(row)
    }

    /// All rows that are younger than their lifetime, sorted by target.
    pub fn rows(&self, now: Time) -> impl Iterator<Item = &Row> {
        self.rows.iter().filter(move |it| now - it.created_at < self.lifetime)
    }

    /// Whether a summary of the zone arrived within its lifetime.
    pub fn has_fresh_summary(&self, now: Time) -> bool {
        self.created_at.is_some_and(|created_at| now - created_at < self.lifetime)
    }

    /// The instance that summaries are sent to: the zone's speaker while it is heard, otherwise
    /// each entry instance in turn.
    fn contact(&mut self, now: Time) -> InstanceId {
        let last = self
            .created_at
            .map_or(self.contact.since, |created_at| created_at.max(self.contact.since));
        if now - last >= CONTACT_TIMEOUT.max(self.lifetime / 2) {
            let place = self.seeds.iter().position(|it| *it == self.contact.id).unwrap_or(0);
            let next = &self.seeds[(place + 1) % self.seeds.len()];
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
    /// The zones of the entry instances in `seeds`, other than the `own` zone.
    pub(super) fn new(own: &Seed, seeds: &[Seed]) -> ZoneTable {
        let mut zones: Vec<ZoneView> = Vec::new();
        for seed in seeds.iter().filter(|it| it.zone != own.zone) {
            match zones.binary_search_by(|it| it.zone.cmp(&seed.zone)) {
                Ok(place) => zones[place].seeds.push(seed.id.clone()),
                Err(place) => zones.insert(place, ZoneView::unheard(own, seed)),
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
        let place = self.zones.binary_search_by(|it| it.zone.cmp(zone)).ok()?;
        Some(&self.zones[place])
    }

    /// Takes news in; answers whether it is newer than what was known.
    pub(super) fn learn(&mut self, now: Time, news: &ZoneUpdate) -> bool {
        let Ok(place) = self.zones.binary_search_by(|it| it.zone.cmp(&news.zone)) else {
            return false;
        };
        let zone = &mut self.zones[place];
        let created_at = now.saturating_sub(news.age.into());
        if zone.created_at.is_some_and(|known| created_at <= known + SAME_AGE) {
            return false;
        }
        zone.created_at = Some(created_at);
        zone.revision = zone.revision.max(news.revision);
        zone.entries = news.entries.clone();
        zone.contact = Contact { id: news.speaker.clone(), since: now };
        for summary in &news.rows {
            let row = Row { summary: summary.clone(), created_at };
            match zone.rows.binary_search_by(|it| it.summary.target.cmp(&summary.target)) {
                Ok(place) => zone.rows[place] = row,
                Err(place) => zone.rows.insert(place, row),
            }
        }
        true
    }

    /// Contacts in the other zones of a region.
    pub(super) fn contacts(&mut self, now: Time, region: &RegionId) -> Vec<InstanceId> {
        let zones = self.zones.iter_mut().filter(|it| it.region == *region);
        zones.map(|it| it.contact(now)).collect()
    }

    /// One contact in every region other than `own`; the zone differs by `turn`.
    pub(super) fn far_contacts(
        &mut self,
        now: Time,
        own: &RegionId,
        turn: usize,
    ) -> Vec<InstanceId> {
        let mut regions: Vec<RegionId> = self.zones.iter().map(|it| it.region.clone()).collect();
        regions.retain(|it| it != own);
        regions.sort();
        regions.dedup();
        let mut contacts = Vec::new();
        for region in regions {
            let mut zones: Vec<&mut ZoneView> =
                self.zones.iter_mut().filter(|it| it.region == region).collect();
            let place = turn % zones.len();
            contacts.push(zones[place].contact(now));
        }
        contacts
    }
}

/// Difference in age within which two summaries count as the same one.
const SAME_AGE: Duration = Duration::from_millis(100);

impl ZoneView {
    fn unheard(own: &Seed, seed: &Seed) -> ZoneView {
        let is_near = own.region == seed.region;
        ZoneView {
            zone: seed.zone.clone(),
            region: seed.region.clone(),
            lifetime: if is_near { REGION_LIFETIME } else { CROSS_REGION_LIFETIME },
            created_at: None,
            revision: Revision(0),
            entries: Vec::new(),
            rows: Vec::new(),
            seeds: vec![seed.id.clone()],
            contact: Contact { id: seed.id.clone(), since: Time::ZERO },
        }
    }
}

/// Rows of the own summary that are due in one scope, within its byte budget.
#[derive(Debug, Clone)]
pub(super) struct Outbox {
    sent: Vec<Row>,
    refresh: Duration,
    /// Whether rows tell which prefixes are warm.
    tells_warm: bool,
    budget: f64,
    rate: f64,
    filled: Time,
}

/// Bytes that a message takes besides its rows.
const HEADER_BYTES: f64 = 30.0;
/// Bytes of a row besides the name of its target and its warm prefixes.
const ROW_BYTES: f64 = 11.0;
/// Bytes of the warm prefixes of a row.
const WARM_BYTES: f64 = 8.0;
/// Bytes of an entry instance besides its name.
const ENTRY_BYTES: f64 = 3.0;

impl Outbox {
    /// An outbox for the other zones of the region, of which there are `zones`.
    pub(super) fn near(zones: usize) -> Outbox {
        Outbox::new(REGION_REFRESH, REGION_BYTES_PER_SECOND / zones.max(1) as f64, true)
    }

    /// An outbox for other regions, which have `zones` zones.
    pub(super) fn far(zones: usize) -> Outbox {
        Outbox::new(
            CROSS_REGION_REFRESH,
            CROSS_REGION_BYTES_PER_SECOND / zones.max(1) as f64,
            zones <= MAX_ZONES_WITH_WARM_PREFIXES,
        )
    }

    fn new(refresh: Duration, rate: f64, tells_warm: bool) -> Outbox {
        let (budget, filled) = (MAX_SAVED_BYTES, Time::ZERO);
        Outbox { sent: Vec::new(), refresh, tells_warm, budget, rate, filled }
    }

    /// Takes the rows that are to be sent now: new and much changed ones, then those due for a
    /// refresh, the longest unsent first. Answers `None` when nothing is due or affordable.
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
            rows.iter().filter_map(|it| Some((self.urgency(now, it)?, it))).collect();
        due.sort_by_key(|it| it.0);
        let due_count = due.len();
        let mut taken = Vec::new();
        for (_, row) in due {
            let warm = if self.tells_warm { WARM_BYTES } else { 0.0 };
            let bytes = ROW_BYTES + warm + name_bytes(&row.target);
            if cost + bytes > self.budget {
                break;
            }
            cost += bytes;
            let warm = if self.tells_warm { row.warm } else { Sketch::default() };
            taken.push(TargetSummary { warm, ..row.clone() });
        }
        let is_full = self.budget >= MAX_SAVED_BYTES;
        let is_partial = taken.len() < due_count.min(MIN_BATCH_ROWS) && !is_full;
        if taken.is_empty() || is_partial {
            return None;
        }
        self.budget -= cost;
        for row in &taken {
            self.note_sent(now, row);
        }
        Some(taken)
    }

    fn fill(&mut self, now: Time) {
        let earned = (now - self.filled).as_secs_f64() * self.rate;
        self.budget = (self.budget + earned).min(MAX_SAVED_BYTES);
        self.filled = now;
    }

    fn find(&self, target: &Target) -> Result<usize, usize> {
        self.sent.binary_search_by(|it| it.summary.target.cmp(target))
    }

    /// When the row was last sent, if it is due; the origin of time for a new one.
    fn urgency(&self, now: Time, row: &TargetSummary) -> Option<Time> {
        let Ok(place) = self.find(&row.target) else {
            return Some(Time::ZERO);
        };
        let last = &self.sent[place];
        let is_due = now - last.created_at >= self.refresh || row.differs(&last.summary);
        is_due.then_some(last.created_at)
    }

    fn note_sent(&mut self, now: Time, row: &TargetSummary) {
        let sent = Row { summary: row.clone(), created_at: now };
        match self.find(&row.target) {
            Ok(place) => self.sent[place] = sent,
            Err(place) => self.sent.insert(place, sent),
        }
    }
}

fn name_bytes(target: &Target) -> f64 {
    match target {
        Target::Model(id) => id.as_str().len() as f64,
        Target::Service(id) => id.as_str().len() as f64,
    }
}
