//! The quarantines that follow from a set of facts.

use std::time::Duration;

use crate::{
    fingerprint::Fingerprint,
    suspects::{
        CrashId, FACT_LIFETIME, Fact, QUARANTINE_CRASHES_ISOLATED, QUARANTINE_LIFETIME,
        RequestContents, Trials,
        records::CrashRecords,
        verdict::{Quarantine, Verdict},
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
    records: CrashRecords,
    verdict: Verdict,
}

impl CrashLedger {
    /// Whether no crash is known.
    pub fn is_empty(&self) -> bool {
        self.records.crashes().is_empty()
    }

    /// Merges a fact; returns whether it was new and therefore has to be forwarded.
    pub fn apply(&mut self, now: Time, fact: &Fact) -> bool {
        self.apply_all(now, std::slice::from_ref(fact))
    }

    /// Merges facts that arrived together; returns whether any was new.
    pub fn apply_all(&mut self, now: Time, facts: &[Fact]) -> bool {
        let (mut is_new, mut is_outdated) = (false, false);
        for fact in facts {
            let change = self.records.apply(now, fact);
            let is_compared = match fact {
                Fact::Cleared { fingerprint, .. } => {
                    change.is_new && self.verdict.compares(*fingerprint)
                }
                Fact::Crashed(_) => false,
            };
            is_new |= change.is_new;
            is_outdated |= change.has_evidence || is_compared;
        }
        if is_outdated {
            self.verdict = Verdict::of(&self.records);
        }
        is_new
    }

    /// Forgets facts older than [`FACT_LIFETIME`].
    pub fn expire(&mut self, now: Time) {
        if self.records.expire(now) {
            self.verdict = Verdict::of(&self.records);
        }
    }

    /// Status of the content `fingerprint`.
    pub fn status(&self, now: Time, fingerprint: Fingerprint) -> ContentStatus {
        if let Some(quarantine) = self.verdict.quarantine(fingerprint) {
            let end = quarantine.last_crash + quarantine_lifetime(quarantine.crashes);
            return match now < end {
                true => ContentStatus::Quarantined { retry_after: end - now },
                false => ContentStatus::Suspect,
            };
        }
        match self.records.counted(fingerprint).any(|it| !self.verdict.explains(it)) {
            true => ContentStatus::Suspect,
            false => ContentStatus::Clear,
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
        let quarantine = self.verdict.quarantine(fingerprint);
        quarantine.is_some_and(|it| it.group.iter().all(|other| contents.contains(*other)))
    }

    /// The contents that can't be told apart from a quarantined one, itself included; empty if it is not
    /// quarantined.
    pub fn group_of(&self, fingerprint: Fingerprint) -> &[Fingerprint] {
        self.verdict.quarantine(fingerprint).map_or(&[], |it| &it.group)
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
        let quarantine = self.verdict.quarantine(fingerprint)?;
        Some(Trials { last_crash: quarantine.last_crash, failed: quarantine.failed })
    }

    /// The quarantines in force and the time until each ends, sorted by fingerprint.
    pub fn quarantines(&self, now: Time) -> Vec<(Fingerprint, Duration)> {
        let in_force = |it: &Quarantine| match self.status(now, it.fingerprint) {
            ContentStatus::Quarantined { retry_after } => Some((it.fingerprint, retry_after)),
            _ => None,
        };
        self.verdict.quarantines.iter().filter_map(in_force).collect()
    }

    /// The crashes that count against `fingerprint`, sorted.
    pub fn crashes_of(&self, fingerprint: Fingerprint) -> Vec<CrashId> {
        self.records.counted(fingerprint).cloned().collect()
    }

    /// Whether any crash counts against `fingerprint`.
    pub fn is_doubted(&self, fingerprint: Fingerprint) -> bool {
        self.records.counted(fingerprint).next().is_some()
    }

    /// Whether the crash counts against `fingerprint`.
    pub fn counts_against(&self, fingerprint: Fingerprint, crash: &CrashId) -> bool {
        self.records.counts(fingerprint, crash)
    }

    /// Age of the newest of `crashes`; `None` if none of them is known.
    pub fn newest_crash_age(&self, now: Time, crashes: &[CrashId]) -> Option<Duration> {
        let known = crashes.iter().filter_map(|key| self.records.find(key).ok());
        known.map(|found| now - self.records.crashes()[found].at).min()
    }

    /// All facts with their ages as of `now`, for an instance that has just started and for a snapshot.
    pub fn facts(&self, now: Time) -> Vec<Fact> {
        self.records.facts(now)
    }

    /// Reports that cover only the requests with a content that has more than one crash against it, and of
    /// their parts only those contents. They keep these contents quarantined.
    pub fn repeated_crashes(&self, now: Time) -> Vec<Fact> {
        self.records.repeated_crashes(now)
    }
}

/// Lifetime of a quarantine after `crashes` crashes: doubled by each one beyond the second, up to
/// [`FACT_LIFETIME`].
fn quarantine_lifetime(crashes: usize) -> Duration {
    let doublings = crashes.saturating_sub(QUARANTINE_CRASHES_ISOLATED).min(8);
    (QUARANTINE_LIFETIME * (1 << doublings)).min(FACT_LIFETIME)
}
