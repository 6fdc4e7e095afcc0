//! The known facts, with an index of the contents that they name.

use std::collections::{BTreeSet, HashMap};

use crate::{
    fingerprint::Fingerprint,
    suspects::{
        CrashId, CrashReport, FACT_LIFETIME, Fact, MAX_STORED_CONTENTS, MAX_STORED_CRASHES,
        RequestContents,
    },
    time::Time,
};

/// What is known of one crash.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Crash {
    pub(super) key: CrashId,
    pub(super) at: Time,
    /// Sorted.
    in_flight: Vec<RequestContents>,
    /// Sorted.
    cleared: Vec<Fingerprint>,
    /// Sorted.
    trials: Vec<Fingerprint>,
}

/// A crash at which a content was in flight.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Sighting {
    crash: CrashId,
    /// Whether the crash counts against the content, as it has not been cleared of it.
    counts: bool,
}

/// What the crashes say of one content.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct ContentRecord {
    /// Sorted by crash.
    sightings: Vec<Sighting>,
    /// The requests that held the content at these crashes, sorted by their fingerprints.
    holders: Vec<Fingerprint>,
}

/// What a fact has changed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Change {
    /// Whether the fact was new.
    pub(super) is_new: bool,
    /// Whether there is more or other evidence, except that a content was cleared of crashes.
    pub(super) has_evidence: bool,
    /// Whether the contents with more than one crash against them, or these crashes, may have changed.
    pub(super) has_repeated: bool,
}

/// The known crashes, sorted by id, and an index of the contents that were in flight at them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct CrashRecords {
    crashes: Vec<Crash>,
    index: HashMap<Fingerprint, ContentRecord>,
    /// The contents with more than one crash that counts against them.
    repeated: BTreeSet<Fingerprint>,
    /// Number of contents that the crashes name; a content of several requests counts for each.
    contents: usize,
}

impl CrashRecords {
    pub(super) fn crashes(&self) -> &[Crash] {
        &self.crashes
    }

    /// The contents with more than one crash that counts against them, sorted.
    pub(super) fn repeated(&self) -> impl Iterator<Item = Fingerprint> {
        self.repeated.iter().copied()
    }

    pub(super) fn find(&self, key: &CrashId) -> Result<usize, usize> {
        self.crashes.binary_search_by(|it| it.key.cmp(key))
    }

    /// The crashes that count against a content, sorted.
    pub(super) fn counted(&self, content: Fingerprint) -> impl Iterator<Item = &CrashId> {
        self.sightings(content).iter().filter(|it| it.counts).map(|it| &it.crash)
    }

    /// Whether a crash counts against a content.
    pub(super) fn counts(&self, content: Fingerprint, crash: &CrashId) -> bool {
        let sightings = self.sightings(content);
        let found = sightings.binary_search_by(|it| it.crash.cmp(crash));
        found.is_ok_and(|found| sightings[found].counts)
    }

    /// The requests that held a content at any crash, sorted by their fingerprints.
    pub(super) fn holders(&self, content: Fingerprint) -> &[Fingerprint] {
        self.index.get(&content).map_or(&[], |it| &it.holders)
    }

    /// Adds a fact.
    pub(super) fn apply(&mut self, now: Time, fact: &Fact) -> Change {
        let mut change = match fact {
            Fact::Crashed(report) => self.apply_crash(now, report),
            Fact::Cleared { fingerprint, crashes, age } => {
                self.apply_clearance(now.saturating_sub(*age), *fingerprint, crashes)
            }
        };
        if self.drop_oldest() {
            (change.has_evidence, change.has_repeated) = (true, true);
        }
        change
    }

    /// Forgets facts older than [`FACT_LIFETIME`]; returns whether there were any.
    pub(super) fn expire(&mut self, now: Time) -> bool {
        let is_expired = |it: &mut Crash| now - it.at >= FACT_LIFETIME;
        let expired: Vec<Crash> = self.crashes.extract_if(.., is_expired).collect();
        expired.iter().for_each(|it| self.forget_contents(it));
        !expired.is_empty()
    }

    /// All facts with their ages as of `now`.
    pub(super) fn facts(&self, now: Time) -> Vec<Fact> {
        let mut facts = Vec::new();
        for crash in &self.crashes {
            let (key, age) = (crash.key.clone(), now - crash.at);
            for &fingerprint in &crash.cleared {
                facts.push(Fact::Cleared { fingerprint, crashes: vec![key.clone()], age });
            }
            let (in_flight, trials) = (crash.in_flight.clone(), crash.trials.clone());
            facts.push(Fact::Crashed(CrashReport { key, age, in_flight, trials }));
        }
        facts
    }

    /// Reports that cover only the requests with a content that has more than one crash against it, and of
    /// their parts only those contents. They keep these contents quarantined.
    pub(super) fn repeated_crashes(&self, now: Time) -> Vec<Fact> {
        let with_crash = |it| self.counted(it).map(move |crash| (crash, it));
        let mut counted: Vec<(&CrashId, Fingerprint)> =
            self.repeated().flat_map(with_crash).collect();
        counted.sort_unstable();
        let report = |counted: &[(&CrashId, Fingerprint)]| {
            let crash = &self.crashes[self.find(counted[0].0).ok()?];
            let is_repeated =
                |it: Fingerprint| counted.binary_search_by_key(&it, |pair| pair.1).is_ok();
            let in_flight = crash.in_flight.iter().map(|it| it.with_parts(is_repeated));
            let mut in_flight: Vec<RequestContents> =
                in_flight.filter(|it| it.iter().any(is_repeated)).collect();
            in_flight.sort_unstable();
            in_flight.dedup();
            let mut trials = crash.trials.clone();
            trials.retain(|it| in_flight.iter().any(|request| request.contains(*it)));
            let (key, age) = (crash.key.clone(), now - crash.at);
            Some(Fact::Crashed(CrashReport { key, age, in_flight, trials }))
        };
        counted.chunk_by(|a, b| a.0 == b.0).filter_map(report).collect()
    }

    fn sightings(&self, content: Fingerprint) -> &[Sighting] {
        self.index.get(&content).map_or(&[], |it| &it.sightings)
    }

    /// The place of the crash with the id `key`, inserted if it was not known; the earliest reported moment
    /// is kept. Returns whether that has changed the record.
    fn place_of(&mut self, key: &CrashId, at: Time) -> (usize, bool) {
        match self.find(key) {
            Ok(found) => {
                let is_earlier = at < self.crashes[found].at;
                self.crashes[found].at = self.crashes[found].at.min(at);
                (found, is_earlier)
            }
            Err(place) => {
                let (in_flight, cleared, trials) = (Vec::new(), Vec::new(), Vec::new());
                let crash = Crash { key: key.clone(), at, in_flight, cleared, trials };
                self.crashes.insert(place, crash);
                (place, true)
            }
        }
    }

    fn apply_crash(&mut self, now: Time, report: &CrashReport) -> Change {
        if report.age >= FACT_LIFETIME {
            return Change::default();
        }
        let (place, has_changed) = self.place_of(&report.key, now.saturating_sub(report.age));
        let mut is_new = false;
        for trial in &report.trials {
            is_new |= insert(&mut self.crashes[place].trials, *trial);
        }
        for request in &report.in_flight {
            let Some(covered) = self.crashes[place].add_request(request) else { continue };
            is_new = true;
            self.contents = self.contents + request.iter().count() - covered;
            let Crash { key, cleared, .. } = &self.crashes[place];
            for content in request.iter() {
                let ContentRecord { sightings, holders } = self.index.entry(content).or_default();
                insert(holders, request.whole());
                let Err(at) = sightings.binary_search_by(|it| it.crash.cmp(key)) else { continue };
                let counts = cleared.binary_search(&content).is_err();
                sightings.insert(at, Sighting { crash: key.clone(), counts });
                if counts && is_repeated(sightings) {
                    self.repeated.insert(content);
                }
            }
        }
        let has_evidence = is_new || has_changed;
        Change { is_new, has_evidence, has_repeated: has_evidence }
    }

    fn apply_clearance(&mut self, at: Time, content: Fingerprint, crashes: &[CrashId]) -> Change {
        let mut change = Change::default();
        for key in crashes {
            let (place, has_changed) = self.place_of(key, at);
            change.has_evidence |= has_changed;
            if !insert(&mut self.crashes[place].cleared, content) {
                continue;
            }
            change.is_new = true;
            let Some(ContentRecord { sightings, .. }) = self.index.get_mut(&content) else {
                continue;
            };
            let Ok(found) = sightings.binary_search_by(|it| it.crash.cmp(key)) else { continue };
            change.has_repeated |= is_repeated(sightings);
            sightings[found].counts = false;
            if !is_repeated(sightings) {
                self.repeated.remove(&content);
            }
            // The evidence of a crash that only one request may have caused is stronger.
            change.has_evidence |= self.crashes[place].open_requests(2) < 2;
        }
        change
    }

    /// Drops the oldest crashes beyond the bounds; returns whether there were any.
    fn drop_oldest(&mut self) -> bool {
        let mut has_dropped = false;
        while self.crashes.len() > MAX_STORED_CRASHES
            || (self.contents > MAX_STORED_CONTENTS && self.crashes.len() > 1)
        {
            let oldest = (0..self.crashes.len()).min_by_key(|&it| self.crashes[it].at);
            let dropped = self.crashes.remove(oldest.unwrap_or(0));
            self.forget_contents(&dropped);
            has_dropped = true;
        }
        has_dropped
    }

    /// Removes the contents of a crash, which is not among the crashes any more, from the index.
    fn forget_contents(&mut self, crash: &Crash) {
        let CrashRecords { crashes, index, repeated, contents } = self;
        for content in crash.in_flight.iter().flat_map(RequestContents::iter) {
            *contents -= 1;
            let Some(record) = index.get_mut(&content) else { continue };
            let Ok(found) = record.sightings.binary_search_by(|it| it.crash.cmp(&crash.key)) else {
                continue;
            };
            record.sightings.remove(found);
            if !is_repeated(&record.sightings) {
                repeated.remove(&content);
            }
            if record.sightings.is_empty() {
                index.remove(&content);
                continue;
            }
            let others = record.sightings.iter().filter_map(|it| {
                let place = crashes.binary_search_by(|known| known.key.cmp(&it.crash)).ok()?;
                Some(&crashes[place])
            });
            let requests = others.flat_map(|it| &it.in_flight).filter(|it| it.contains(content));
            record.holders = requests.map(RequestContents::whole).collect();
            record.holders.sort_unstable();
            record.holders.dedup();
        }
    }
}

impl Crash {
    /// Whether only one request may have caused the crash.
    pub(super) fn is_isolated(&self) -> bool {
        self.open_requests(2) == 1
    }

    /// Whether the content ran there as a trial.
    pub(super) fn was_trial(&self, content: Fingerprint) -> bool {
        self.trials.binary_search(&content).is_ok()
    }

    /// Number of requests that may have caused the crash, up to `limit`.
    fn open_requests(&self, limit: usize) -> usize {
        let is_open = |it: &&RequestContents| {
            it.iter().any(|content| self.cleared.binary_search(&content).is_err())
        };
        self.in_flight.iter().filter(is_open).take(limit).count()
    }

    /// Adds a request that was in flight, in place of those that it covers: a report may leave out parts of
    /// a request that another one names. Returns the number of contents that were covered, or `None` if the
    /// request itself is.
    fn add_request(&mut self, request: &RequestContents) -> Option<usize> {
        let covers = |it: &RequestContents, other: &RequestContents| {
            other.parts().iter().all(|part| it.contains(*part))
        };
        let begin = self.in_flight.partition_point(|it| it.whole() < request.whole());
        let same = self.in_flight[begin..].iter().take_while(|it| it.whole() == request.whole());
        let end = begin + same.count();
        if self.in_flight[begin..end].iter().any(|it| covers(it, request)) {
            return None;
        }
        let covered = self.in_flight.extract_if(begin..end, |it| covers(request, it));
        let count = covered.map(|it| it.iter().count()).sum();
        let place = self.in_flight.partition_point(|it| it < request);
        self.in_flight.insert(place, request.clone());
        Some(count)
    }
}

fn is_repeated(sightings: &[Sighting]) -> bool {
    sightings.iter().filter(|it| it.counts).take(2).count() == 2
}

/// Adds an item to a sorted set; returns whether it was new.
fn insert<T: Ord>(set: &mut Vec<T>, item: T) -> bool {
    let found = set.binary_search(&item);
    if let Err(place) = found {
        set.insert(place, item);
    }
    found.is_err()
}
