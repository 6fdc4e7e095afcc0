//! The quarantines that follow from a set of facts.

use std::time::Duration;

use crate::{
    fingerprint::Fingerprint,
    suspects::{
        CrashId, CrashReport, FACT_LIFETIME, Fact, MAX_STORED_CRASHES, QUARANTINE_CRASHES_ISOLATED,
        QUARANTINE_CRASHES_SHARED, QUARANTINE_LIFETIME, Trials,
    },
    time::Time,
};

/// What the facts say about a content.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ContentStatus {
    /// Nothing counts against it.
    Clear,
    /// It was in flight on a lost upstream; it runs alone.
    Suspect,
    /// It is not run.
    Quarantined {
        /// Time until it may be tried again.
        retry_after: Duration,
    },
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Loss {
    key: CrashId,
    at: Time,
    in_flight: Vec<Fingerprint>,
    cleared: Vec<Fingerprint>,
    trials: Vec<Fingerprint>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Quarantine {
    fingerprint: Fingerprint,
    last: Time,
    crashes: usize,
    alone: usize,
    failed: usize,
}

/// One loss that may be due to a content.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Evidence {
    fingerprint: Fingerprint,
    at: Time,
    /// Whether no other content can have caused it.
    is_alone: bool,
    /// Whether the content ran as a trial.
    is_trial: bool,
}

/// A set of facts and the quarantines that follow from it.
///
/// ```
/// use medlarlug_core::{
///     fingerprint::Fingerprint,
///     suspects::{Fact, CrashId, CrashLedger, CrashReport, ContentStatus},
///     time::Time,
/// };
/// use std::time::Duration;
///
/// let crashing = Fingerprint::of(b"crash");
/// let lost = |upstream: &str| Fact::Crashed(CrashReport {
///     key: CrashId {
///         upstream: upstream.parse().unwrap(),
///         incarnation: medlarlug_core::ids::Incarnation(1),
///     },
///     age: Duration::ZERO,
///     in_flight: vec![crashing],
///     trials: Vec::new(),
/// });
/// let mut ledger = CrashLedger::default();
/// ledger.apply(Time::ZERO, &lost("engine-1"));
/// ledger.apply(Time::ZERO, &lost("engine-1"));
/// assert_eq!(ledger.status(Time::ZERO, crashing), ContentStatus::Suspect);
/// ledger.apply(Time::ZERO, &lost("engine-2"));
/// assert!(matches!(ledger.status(Time::ZERO, crashing), ContentStatus::Quarantined { .. }));
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CrashLedger {
    crashes: Vec<Loss>,
    quarantines: Vec<Quarantine>,
    suspects: Vec<Fingerprint>,
}

impl CrashLedger {
    /// Whether no loss is known.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// Merges a fact; tells whether it was new, so that it is worth handing on.
    pub fn apply(&mut self, now: Time, fact: &Fact) -> bool {
        self.apply_all(now, std::slice::from_ref(fact))
    }

    /// Merges facts that arrived together; tells whether any was new.
    pub fn apply_all(&mut self, now: Time, facts: &[Fact]) -> bool {
        let mut is_new = false;
        for fact in facts {
            is_new |= match fact {
                Fact::Crashed(report) => self.learn_loss(now, report),
                Fact::Cleared { fingerprint, crashes, age } => {
                    self.learn_clearance(now.saturating_sub(*age), *fingerprint, crashes)
                }
            };
        }
        if is_new {
            self.drop_oldest();
            self.quarantine_all();
        }
        is_new
    }

    /// Forgets the facts that are too old.
    pub fn expire(&mut self, now: Time) {
        let count = self.crashes.len();
        self.crashes.retain(|it| now - it.at < FACT_LIFETIME);
        if self.crashes.len() < count {
            self.quarantine_all();
        }
    }

    /// What the facts say about `fingerprint`.
    pub fn status(&self, now: Time, fingerprint: Fingerprint) -> ContentStatus {
        if let Ok(found) = self.quarantines.binary_search_by_key(&fingerprint, |it| it.fingerprint)
        {
            let quarantine = &self.quarantines[found];
            let end = quarantine.last + quarantine_lifetime(quarantine.crashes);
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

    /// The trials of a content that was quarantined and has not been cleared since; `None` if it may run as any
    /// other.
    pub fn trials(&self, fingerprint: Fingerprint) -> Option<Trials> {
        let found =
            self.quarantines.binary_search_by_key(&fingerprint, |it| it.fingerprint).ok()?;
        let Quarantine { last, failed, .. } = self.quarantines[found];
        Some(Trials { last_crash: last, failed })
    }

    /// The quarantines in force, sorted by fingerprint, and the time until each ends.
    pub fn quarantines(&self, now: Time) -> Vec<(Fingerprint, Duration)> {
        let standing = |it: &Quarantine| match self.status(now, it.fingerprint) {
            ContentStatus::Quarantined { retry_after } => Some((it.fingerprint, retry_after)),
            _ => None,
        };
        self.quarantines.iter().filter_map(standing).collect()
    }

    /// The crashes that count against `fingerprint`, sorted.
    pub fn crashes_of(&self, fingerprint: Fingerprint) -> Vec<CrashId> {
        let crashes = self.crashes.iter().filter(|it| it.is_suspect(fingerprint));
        crashes.map(|it| it.key.clone()).collect()
    }

    /// Age of the newest of `crashes` that is known.
    pub fn newest_crash_age(&self, now: Time, crashes: &[CrashId]) -> Option<Duration> {
        let known = crashes.iter().filter_map(|key| self.find(key).ok());
        known.map(|found| now - self.crashes[found].at).min()
    }

    /// Every fact, for an instance that has just started and for a snapshot.
    pub fn facts(&self, now: Time) -> Vec<Fact> {
        let mut facts = Vec::new();
        for loss in &self.crashes {
            let (key, age) = (loss.key.clone(), now - loss.at);
            for &fingerprint in &loss.cleared {
                facts.push(Fact::Cleared { fingerprint, crashes: vec![key.clone()], age });
            }
            let (in_flight, trials) = (loss.in_flight.clone(), loss.trials.clone());
            facts.push(Fact::Crashed(CrashReport { key, age, in_flight, trials }));
        }
        facts
    }

    /// The crashes of contents that more than one loss counts against: what is needed to keep them
    /// from running, and no more.
    pub fn repeated_crashes(&self, now: Time) -> Vec<Fact> {
        let suspects = self.crashes.iter().flat_map(Loss::suspects);
        let mut suspects: Vec<Fingerprint> = suspects.collect();
        suspects.sort_unstable();
        let repeated: Vec<Fingerprint> =
            suspects.chunk_by(|a, b| a == b).filter(|it| it.len() > 1).map(|it| it[0]).collect();
        let facts = self.crashes.iter().filter_map(|loss| {
            let mut in_flight = loss.suspects();
            in_flight.retain(|it| repeated.binary_search(it).is_ok());
            let mut trials = loss.trials.clone();
            trials.retain(|it| in_flight.binary_search(it).is_ok());
            let report =
                CrashReport { key: loss.key.clone(), age: now - loss.at, in_flight, trials };
            (!report.in_flight.is_empty()).then_some(Fact::Crashed(report))
        });
        facts.collect()
    }

    fn find(&self, key: &CrashId) -> Result<usize, usize> {
        self.crashes.binary_search_by(|it| it.key.cmp(key))
    }

    /// The loss under `key`, new if it was not known; its earliest moment is kept.
    fn loss(&mut self, key: &CrashId, at: Time) -> &mut Loss {
        let place = match self.find(key) {
            Ok(found) => found,
            Err(place) => {
                let (in_flight, cleared, trials) = (Vec::new(), Vec::new(), Vec::new());
                let loss = Loss { key: key.clone(), at, in_flight, cleared, trials };
                self.crashes.insert(place, loss);
                place
            }
        };
        let loss = &mut self.crashes[place];
        loss.at = loss.at.min(at);
        loss
    }

    fn learn_loss(&mut self, now: Time, report: &CrashReport) -> bool {
        if report.age >= FACT_LIFETIME {
            return false;
        }
        let loss = self.loss(&report.key, now.saturating_sub(report.age));
        let is_tried = merge(&mut loss.trials, &report.trials);
        merge(&mut loss.in_flight, &report.in_flight) || is_tried
    }

    fn learn_clearance(&mut self, at: Time, fingerprint: Fingerprint, crashes: &[CrashId]) -> bool {
        let mut is_new = false;
        for key in crashes {
            is_new |= merge(&mut self.loss(key, at).cleared, &[fingerprint]);
        }
        is_new
    }

    fn drop_oldest(&mut self) {
        while self.crashes.len() > MAX_STORED_CRASHES {
            let oldest = (0..self.crashes.len()).min_by_key(|&it| self.crashes[it].at);
            self.crashes.remove(oldest.unwrap_or(0));
        }
    }

    /// Quarantines the strongest candidates first; the crashes they explain count against no other.
    fn quarantine_all(&mut self) {
        self.quarantines.clear();
        loop {
            let open = self.unexplained_losses();
            let candidates: Vec<Quarantine> = open
                .chunk_by(|a, b| a.fingerprint == b.fingerprint)
                .filter_map(candidate)
                .collect();
            let Some(strongest) = candidates.iter().map(Quarantine::strength).max() else {
                self.suspects = open.into_iter().map(|it| it.fingerprint).collect();
                self.suspects.dedup();
                return;
            };
            let quarantined = candidates.into_iter().filter(|it| it.strength() == strongest);
            self.quarantines.extend(quarantined);
            self.quarantines.sort_by_key(|it| it.fingerprint);
        }
    }

    /// Each unexplained loss of each content, sorted by content and time.
    fn unexplained_losses(&self) -> Vec<Evidence> {
        let mut evidence = Vec::new();
        for loss in &self.crashes {
            let suspects = loss.suspects();
            let is_quarantined = |it: &Fingerprint| {
                self.quarantines
                    .binary_search_by_key(it, |quarantine| quarantine.fingerprint)
                    .is_ok()
            };
            if suspects.iter().any(is_quarantined) {
                continue;
            }
            let is_alone = suspects.len() == 1;
            evidence.extend(suspects.into_iter().map(|fingerprint| {
                let is_trial = loss.trials.binary_search(&fingerprint).is_ok();
                Evidence { fingerprint, at: loss.at, is_alone, is_trial }
            }));
        }
        evidence.sort_unstable();
        evidence
    }
}

impl Loss {
    fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        let is_flying = self.in_flight.binary_search(&fingerprint).is_ok();
        is_flying && self.cleared.binary_search(&fingerprint).is_err()
    }

    fn suspects(&self) -> Vec<Fingerprint> {
        self.in_flight.iter().copied().filter(|&it| self.is_suspect(it)).collect()
    }
}

impl Quarantine {
    /// Losses that nothing else can have caused, then all crashes.
    fn strength(&self) -> (usize, usize) {
        (self.alone, self.crashes)
    }
}

/// The quarantine of one content, if its crashes are reason for it.
fn candidate(evidence: &[Evidence]) -> Option<Quarantine> {
    let crashes = evidence.len();
    let alone = evidence.iter().filter(|it| it.is_alone).count();
    let failed = evidence.iter().filter(|it| it.is_trial).count();
    let is_likely = crashes >= QUARANTINE_CRASHES_ISOLATED && alone > 0;
    if !is_likely && crashes < QUARANTINE_CRASHES_SHARED {
        return None;
    }
    let &Evidence { fingerprint, at: last, .. } = evidence.last()?;
    Some(Quarantine { fingerprint, last, crashes, alone, failed })
}

/// Adds `more` to a sorted set; tells whether it grew.
fn merge(set: &mut Vec<Fingerprint>, more: &[Fingerprint]) -> bool {
    let count = set.len();
    set.extend_from_slice(more);
    set.sort_unstable();
    set.dedup();
    set.len() > count
}

/// Lifetime of a quarantine by `crashes` crashes: doubled by each beyond the second.
fn quarantine_lifetime(crashes: usize) -> Duration {
    let doublings = crashes.saturating_sub(QUARANTINE_CRASHES_ISOLATED).min(8);
    (QUARANTINE_LIFETIME * (1 << doublings)).min(FACT_LIFETIME)
}
