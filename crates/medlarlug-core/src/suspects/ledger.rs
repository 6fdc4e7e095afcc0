//! The quarantines that follow from a set of facts.

use std::time::Duration;

use crate::{
    fingerprint::Fingerprint,
    suspects::{
        CrashId, CrashReport, FACT_LIFETIME, Fact, MAX_STORED_CRASHES, QUARANTINE_CRASHES_ISOLATED,
        QUARANTINE_CRASHES_SHARED, QUARANTINE_LIFETIME, RequestContents, Trials,
    },
    time::Time,
};

/// Status of a content, derived from the known facts; the most restrictive is the greatest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ContentStatus {
    /// No crash counts against it.
    Clear,
    /// It was in flight on an upstream that crashed, so it has an upstream to itself where possible.
    Suspect,
    /// It is refused, except for trials.
    Quarantined {
        /// Time until the quarantine ends.
        retry_after: Duration,
    },
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Crash {
    key: CrashId,
    at: Time,
    in_flight: Vec<RequestContents>,
    cleared: Vec<Fingerprint>,
    trials: Vec<Fingerprint>,
    /// The contents in flight that have not been cleared, sorted.
    suspects: Vec<Fingerprint>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Quarantine {
    fingerprint: Fingerprint,
    last_crash: Time,
    crashes: usize,
    isolated: usize,
    failed: usize,
    /// The contents that the same requests held at these crashes, this one included; any of them may be
    /// at fault.
    group: Vec<Fingerprint>,
}

/// One crash that a content may have caused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Evidence {
    fingerprint: Fingerprint,
    at: Time,
    /// Whether only one request may have caused the crash.
    is_isolated: bool,
    /// Whether the content ran there as a trial.
    is_trial: bool,
}

/// The set of known facts and the quarantines derived from it.
///
/// ```
/// use medlarlug_core::{
///     fingerprint::Fingerprint,
///     suspects::{ContentStatus, CrashId, CrashLedger, CrashReport, Fact, RequestContents},
///     time::Time,
/// };
/// use std::time::Duration;
///
/// let crashing = Fingerprint::of(b"crash");
/// let crashed = |upstream: &str| Fact::Crashed(CrashReport {
///     key: CrashId {
///         upstream: upstream.parse().unwrap(),
///         incarnation: medlarlug_core::ids::Incarnation(1),
///     },
///     age: Duration::ZERO,
///     in_flight: vec![RequestContents::new(crashing, Vec::new())],
///     trials: Vec::new(),
/// });
/// let mut ledger = CrashLedger::default();
/// ledger.apply(Time::ZERO, &crashed("engine-1"));
/// ledger.apply(Time::ZERO, &crashed("engine-1"));
/// assert_eq!(ledger.status(Time::ZERO, crashing), ContentStatus::Suspect);
/// ledger.apply(Time::ZERO, &crashed("engine-2"));
/// assert!(matches!(ledger.status(Time::ZERO, crashing), ContentStatus::Quarantined { .. }));
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CrashLedger {
    crashes: Vec<Crash>,
    quarantines: Vec<Quarantine>,
    suspects: Vec<Fingerprint>,
}

impl CrashLedger {
    /// Whether no crash is known.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// Merges a fact; returns whether it was new and therefore has to be forwarded.
    pub fn apply(&mut self, now: Time, fact: &Fact) -> bool {
        self.apply_all(now, std::slice::from_ref(fact))
    }

    /// Merges facts that arrived together; returns whether any was new.
    pub fn apply_all(&mut self, now: Time, facts: &[Fact]) -> bool {
        let mut is_new = false;
        for fact in facts {
            is_new |= match fact {
                Fact::Crashed(report) => self.apply_crash(now, report),
                Fact::Cleared { fingerprint, crashes, age } => {
                    self.apply_clearance(now.saturating_sub(*age), *fingerprint, crashes)
                }
            };
        }
        if is_new {
            self.drop_oldest();
            self.recompute_quarantines();
        }
        is_new
    }

    /// Forgets facts older than [`FACT_LIFETIME`].
    pub fn expire(&mut self, now: Time) {
        let count = self.crashes.len();
        self.crashes.retain(|it| now - it.at < FACT_LIFETIME);
        if self.crashes.len() < count {
            self.recompute_quarantines();
        }
    }

    /// Status of the content `fingerprint`.
    pub fn status(&self, now: Time, fingerprint: Fingerprint) -> ContentStatus {
        if let Some(quarantine) = self.quarantine(fingerprint) {
            let end = quarantine.last_crash + quarantine_lifetime(quarantine.crashes);
            return match now < end {
                true => ContentStatus::Quarantined { retry_after: end - now },
                false => ContentStatus::Suspect,
            };
        }
        match self.suspects.binary_search(&fingerprint) {
            Ok(_) => ContentStatus::Suspect,
            Err(_) => ContentStatus::Clear,
        }
    }

    /// Status of the most restricted content of a request. If the evidence can't tell contents apart, a
    /// request with only some of them is a suspect, so that its run shows which one is at fault.
    pub fn request_status(&self, now: Time, contents: &RequestContents) -> ContentStatus {
        let status = |fingerprint| match self.status(now, fingerprint) {
            ContentStatus::Quarantined { .. } if !self.binds(fingerprint, contents) => {
                ContentStatus::Suspect
            }
            status => status,
        };
        contents.iter().map(status).max().unwrap_or(ContentStatus::Clear)
    }

    /// The contents of a request because of which it may run only in a trial, the request as a whole
    /// first.
    pub fn quarantined_contents(&self, contents: &RequestContents) -> Vec<Fingerprint> {
        contents.iter().filter(|&it| self.binds(it, contents)).collect()
    }

    /// Whether the content is quarantined, and the request holds all contents that can't be told apart
    /// from it.
    fn binds(&self, fingerprint: Fingerprint, contents: &RequestContents) -> bool {
        let quarantine = self.quarantine(fingerprint);
        quarantine.is_some_and(|it| it.group.iter().all(|other| contents.contains(*other)))
    }

    /// The contents that can't be told apart from a quarantined one, itself included; empty if it is not
    /// quarantined.
    pub fn group_of(&self, fingerprint: Fingerprint) -> &[Fingerprint] {
        self.quarantine(fingerprint).map_or(&[], |it| &it.group)
    }

    fn quarantine(&self, fingerprint: Fingerprint) -> Option<&Quarantine> {
        let found =
            self.quarantines.binary_search_by_key(&fingerprint, |it| it.fingerprint).ok()?;
        Some(&self.quarantines[found])
    }

    /// The contents that a trial with this request tests: the request as a whole if it is quarantined
    /// itself, since its crash would say nothing about the parts, and otherwise its quarantined parts.
    pub fn tested_contents(&self, contents: &RequestContents) -> Vec<Fingerprint> {
        let mut tested = self.quarantined_contents(contents);
        if tested.first() == Some(&contents.whole()) {
            tested.truncate(1);
        }
        tested
    }

    /// The trials of a content that was quarantined and has not been cleared since; `None` if it may
    /// run without a trial.
    pub fn trials(&self, fingerprint: Fingerprint) -> Option<Trials> {
        let quarantine = self.quarantine(fingerprint)?;
        Some(Trials { last_crash: quarantine.last_crash, failed: quarantine.failed })
    }

    /// The quarantines in force and the time until each ends, sorted by fingerprint.
    pub fn quarantines(&self, now: Time) -> Vec<(Fingerprint, Duration)> {
        let in_force = |it: &Quarantine| match self.status(now, it.fingerprint) {
            ContentStatus::Quarantined { retry_after } => Some((it.fingerprint, retry_after)),
            _ => None,
        };
        self.quarantines.iter().filter_map(in_force).collect()
    }

    /// The crashes that count against `fingerprint`, sorted.
    pub fn crashes_of(&self, fingerprint: Fingerprint) -> Vec<CrashId> {
        let crashes = self.crashes.iter().filter(|it| it.is_suspect(fingerprint));
        crashes.map(|it| it.key.clone()).collect()
    }

    /// Age of the newest of `crashes`; `None` if none of them is known.
    pub fn newest_crash_age(&self, now: Time, crashes: &[CrashId]) -> Option<Duration> {
        let known = crashes.iter().filter_map(|key| self.find(key).ok());
        known.map(|found| now - self.crashes[found].at).min()
    }

    /// All facts with their ages as of `now`, for an instance that has just started and for a snapshot.
    pub fn facts(&self, now: Time) -> Vec<Fact> {
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
    pub fn repeated_crashes(&self, now: Time) -> Vec<Fact> {
        let suspects = self.crashes.iter().flat_map(|it| &it.suspects).copied();
        let mut suspects: Vec<Fingerprint> = suspects.collect();
        suspects.sort_unstable();
        let repeated: Vec<Fingerprint> =
            suspects.chunk_by(|a, b| a == b).filter(|it| it.len() > 1).map(|it| it[0]).collect();
        let facts = self.crashes.iter().filter_map(|crash| {
            let is_repeated =
                |it: Fingerprint| crash.is_suspect(it) && repeated.binary_search(&it).is_ok();
            let in_flight = crash.in_flight.iter().map(|it| it.with_parts(is_repeated));
            let mut in_flight: Vec<RequestContents> =
                in_flight.filter(|it| it.iter().any(is_repeated)).collect();
            in_flight.sort_unstable();
            in_flight.dedup();
            let mut trials = crash.trials.clone();
            trials.retain(|it| in_flight.iter().any(|request| request.contains(*it)));
            let report =
                CrashReport { key: crash.key.clone(), age: now - crash.at, in_flight, trials };
            (!report.in_flight.is_empty()).then_some(Fact::Crashed(report))
        });
        facts.collect()
    }

    fn find(&self, key: &CrashId) -> Result<usize, usize> {
        self.crashes.binary_search_by(|it| it.key.cmp(key))
    }

    /// The crash with the id `key`, inserted if it was not known; the earliest reported moment is kept.
    fn crash_mut(&mut self, key: &CrashId, at: Time) -> &mut Crash {
        let place = match self.find(key) {
            Ok(found) => found,
            Err(place) => {
                let crash = Crash {
                    key: key.clone(),
                    at,
                    in_flight: Vec::new(),
                    cleared: Vec::new(),
                    trials: Vec::new(),
                    suspects: Vec::new(),
                };
                self.crashes.insert(place, crash);
                place
            }
        };
        let crash = &mut self.crashes[place];
        crash.at = crash.at.min(at);
        crash
    }

    fn apply_crash(&mut self, now: Time, report: &CrashReport) -> bool {
        if report.age >= FACT_LIFETIME {
            return false;
        }
        let crash = self.crash_mut(&report.key, now.saturating_sub(report.age));
        let has_new_trials = merge(&mut crash.trials, &report.trials);
        let has_new_requests = crash.add_requests(&report.in_flight);
        has_new_requests || has_new_trials
    }

    fn apply_clearance(&mut self, at: Time, fingerprint: Fingerprint, crashes: &[CrashId]) -> bool {
        let mut is_new = false;
        for key in crashes {
            let crash = self.crash_mut(key, at);
            is_new |= merge(&mut crash.cleared, &[fingerprint]);
            crash.update_suspects();
        }
        is_new
    }

    fn drop_oldest(&mut self) {
        while self.crashes.len() > MAX_STORED_CRASHES {
            let oldest = (0..self.crashes.len()).min_by_key(|&it| self.crashes[it].at);
            self.crashes.remove(oldest.unwrap_or(0));
        }
    }

    /// Recomputes all quarantines, those with the strongest evidence first. A crash that a quarantined
    /// content explains counts against no other content.
    fn recompute_quarantines(&mut self) {
        self.quarantines.clear();
        loop {
            let unexplained = self.unexplained_crashes();
            let candidates: Vec<Quarantine> = unexplained
                .chunk_by(|a, b| a.fingerprint == b.fingerprint)
                .filter_map(candidate)
                .collect();
            let Some(strongest) = candidates.iter().map(Quarantine::strength).max() else {
                self.suspects = unexplained.into_iter().map(|it| it.fingerprint).collect();
                self.suspects.dedup();
                return;
            };
            let strongest =
                candidates.into_iter().filter(|it| it.strength() == strongest).collect();
            self.quarantines.extend(self.most_specific(strongest));
            self.quarantines.sort_by_key(|it| it.fingerprint);
        }
    }

    /// Those of the candidates that are most likely at fault, with their groups.
    ///
    /// A content that most requests hold is in flight at every crash, so one that only some of its
    /// requests hold explains the same crashes better. A single request is in flight at several crashes
    /// if it is retried, so one that different requests have in common explains them better, too.
    fn most_specific(&self, candidates: Vec<Quarantine>) -> Vec<Quarantine> {
        let holders = self.holders(&candidates);
        let is_narrower = |one: &[Fingerprint], than: &[Fingerprint]| {
            one.len() < than.len() && one.iter().all(|it| than.binary_search(it).is_ok())
        };
        let has_narrower =
            |own: &[Fingerprint]| holders.iter().any(|other| is_narrower(other, own));
        let held = candidates.into_iter().zip(&holders);
        let specific: Vec<(Quarantine, &Vec<Fingerprint>)> =
            held.filter(|(_, holders)| !has_narrower(holders)).collect();
        let are_shared = specific.iter().any(|(_, holders)| holders.len() > 1);
        let likely = specific.iter().filter(|(_, holders)| holders.len() > 1 || !are_shared);
        let with_group = likely.map(|(quarantine, holders)| {
            let same = specific.iter().filter(|(_, other)| other == holders);
            let group = same.map(|(it, _)| it.fingerprint).collect();
            Quarantine { group, ..quarantine.clone() }
        });
        with_group.collect()
    }

    /// For each of the candidates, which are sorted by content: the requests that held it at a crash,
    /// sorted by their fingerprints.
    fn holders(&self, candidates: &[Quarantine]) -> Vec<Vec<Fingerprint>> {
        let mut holders = vec![Vec::new(); candidates.len()];
        for request in self.crashes.iter().flat_map(|crash| &crash.in_flight) {
            for content in request.iter() {
                if let Ok(found) = candidates.binary_search_by_key(&content, |it| it.fingerprint) {
                    holders[found].push(request.whole());
                }
            }
        }
        for wholes in &mut holders {
            wholes.sort_unstable();
            wholes.dedup();
        }
        holders
    }

    /// Each crash that no quarantined content explains, for each of its suspects, sorted by content and
    /// time.
    fn unexplained_crashes(&self) -> Vec<Evidence> {
        let mut evidence = Vec::new();
        for crash in &self.crashes {
            let is_quarantined = |it: &Fingerprint| {
                self.quarantines
                    .binary_search_by_key(it, |quarantine| quarantine.fingerprint)
                    .is_ok()
            };
            if crash.suspects.iter().any(is_quarantined) {
                continue;
            }
            let is_isolated = crash.is_isolated();
            evidence.extend(crash.suspects.iter().map(|&fingerprint| Evidence {
                fingerprint,
                at: crash.at,
                is_isolated,
                is_trial: crash.trials.binary_search(&fingerprint).is_ok(),
            }));
        }
        evidence.sort_unstable();
        evidence
    }
}

impl Crash {
    fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        self.suspects.binary_search(&fingerprint).is_ok()
    }

    /// Whether only one request may have caused the crash.
    fn is_isolated(&self) -> bool {
        let may_be_cause = |it: &&RequestContents| it.iter().any(|it| self.is_suspect(it));
        self.in_flight.iter().filter(may_be_cause).take(2).count() == 1
    }

    /// Adds requests that were in flight; returns whether any was new. A report may leave out parts of a
    /// request that another one names.
    fn add_requests(&mut self, requests: &[RequestContents]) -> bool {
        let mut merged = self.in_flight.clone();
        merge(&mut merged, requests);
        let is_covered = |request: &RequestContents, same: &[RequestContents]| {
            let covers =
                |it: &RequestContents| request.parts().iter().all(|part| it.contains(*part));
            same.iter().any(|it| it != request && covers(it))
        };
        let by_request = merged.chunk_by(|a, b| a.whole() == b.whole());
        let kept = by_request.flat_map(|same| same.iter().filter(|it| !is_covered(it, same)));
        let kept: Vec<RequestContents> = kept.cloned().collect();
        if kept == self.in_flight {
            return false;
        }
        self.in_flight = kept;
        self.update_suspects();
        true
    }

    fn update_suspects(&mut self) {
        let contents = self.in_flight.iter().flat_map(RequestContents::iter);
        let mut suspects: Vec<Fingerprint> =
            contents.filter(|it| self.cleared.binary_search(it).is_err()).collect();
        suspects.sort_unstable();
        suspects.dedup();
        self.suspects = suspects;
    }
}

impl Quarantine {
    /// Sort key: crashes that nothing else can have caused, then all crashes.
    fn strength(&self) -> (usize, usize) {
        (self.isolated, self.crashes)
    }
}

/// The quarantine of the content that all of `evidence` is about, if there is enough of it.
fn candidate(evidence: &[Evidence]) -> Option<Quarantine> {
    let crashes = evidence.len();
    let isolated = evidence.iter().filter(|it| it.is_isolated).count();
    let failed = evidence.iter().filter(|it| it.is_trial).count();
    let is_likely = crashes >= QUARANTINE_CRASHES_ISOLATED && isolated > 0;
    if !is_likely && crashes < QUARANTINE_CRASHES_SHARED {
        return None;
    }
    let &Evidence { fingerprint, at: last_crash, .. } = evidence.last()?;
    let group = vec![fingerprint];
    Some(Quarantine { fingerprint, last_crash, crashes, isolated, failed, group })
}

/// Adds `more` to the sorted `set`; returns whether it grew.
fn merge<T: Ord + Clone>(set: &mut Vec<T>, more: &[T]) -> bool {
    let count = set.len();
    set.extend_from_slice(more);
    set.sort_unstable();
    set.dedup();
    set.len() > count
}

/// Lifetime of a quarantine after `crashes` crashes: doubled by each one beyond the second, up to
/// [`FACT_LIFETIME`].
fn quarantine_lifetime(crashes: usize) -> Duration {
    let doublings = crashes.saturating_sub(QUARANTINE_CRASHES_ISOLATED).min(8);
    (QUARANTINE_LIFETIME * (1 << doublings)).min(FACT_LIFETIME)
}
