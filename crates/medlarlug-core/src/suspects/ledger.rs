//! The quarantines that follow from a set of facts.

use std::time::Duration;

use crate::{
    fingerprint::Fingerprint,
    suspects::{
        CERTAIN_LOSSES, FACT_LIFETIME, Fact, LossKey, LossReport, MAX_LOSSES_KEPT,
        QUARANTINE_LIFETIME, QUARANTINING_LOSSES, Trials,
    },
    time::Time,
};

/// What the facts say about a content.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// Nothing counts against it.
    Clear,
    /// It was in flight on a lost upstream; it runs alone.
    Suspect,
    /// It is not run.
    Quarantined {
        /// Time until it may be tried again.
        after: Duration,
    },
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Loss {
    key: LossKey,
    at: Time,
    flying: Vec<Fingerprint>,
    cleared: Vec<Fingerprint>,
    tried: Vec<Fingerprint>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Quarantine {
    fingerprint: Fingerprint,
    last: Time,
    losses: usize,
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
///     suspects::{Fact, LossKey, LossLedger, LossReport, Standing},
///     time::Time,
/// };
/// use std::time::Duration;
///
/// let crashing = Fingerprint::of(b"crash");
/// let lost = |upstream: &str| Fact::Lost(LossReport {
///     key: LossKey {
///         upstream: upstream.parse().unwrap(),
///         incarnation: medlarlug_core::ids::Incarnation(1),
///     },
///     age: Duration::ZERO,
///     flying: vec![crashing],
///     tried: Vec::new(),
/// });
/// let mut ledger = LossLedger::default();
/// ledger.learn(Time::ZERO, &lost("engine-1"));
/// ledger.learn(Time::ZERO, &lost("engine-1"));
/// assert_eq!(ledger.standing(Time::ZERO, crashing), Standing::Suspect);
/// ledger.learn(Time::ZERO, &lost("engine-2"));
/// assert!(matches!(ledger.standing(Time::ZERO, crashing), Standing::Quarantined { .. }));
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LossLedger {
    losses: Vec<Loss>,
    quarantines: Vec<Quarantine>,
    suspects: Vec<Fingerprint>,
}

impl LossLedger {
    /// Whether no loss is known.
    pub fn is_empty(&self) -> bool {
        self.losses.is_empty()
    }

    /// Merges a fact; tells whether it was new, so that it is worth handing on.
    pub fn learn(&mut self, now: Time, fact: &Fact) -> bool {
        self.learn_all(now, std::slice::from_ref(fact))
    }

    /// Merges facts that arrived together; tells whether any was new.
    pub fn learn_all(&mut self, now: Time, facts: &[Fact]) -> bool {
        let mut is_new = false;
        for fact in facts {
            is_new |= match fact {
                Fact::Lost(report) => self.learn_loss(now, report),
                Fact::Cleared { fingerprint, losses, age } => {
                    self.learn_clearance(now.saturating_sub(*age), *fingerprint, losses)
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
        let count = self.losses.len();
        self.losses.retain(|it| now - it.at < FACT_LIFETIME);
        if self.losses.len() < count {
            self.quarantine_all();
        }
    }

    /// What the facts say about `fingerprint`.
    pub fn standing(&self, now: Time, fingerprint: Fingerprint) -> Standing {
        if let Ok(found) = self.quarantines.binary_search_by_key(&fingerprint, |it| it.fingerprint)
        {
            let quarantine = &self.quarantines[found];
            let end = quarantine.last + quarantine_lifetime(quarantine.losses);
            return match now < end {
                true => Standing::Quarantined { after: end - now },
                false => Standing::Suspect,
            };
        }
        match self.suspects.binary_search(&fingerprint) {
            Ok(_) => Standing::Suspect,
            Err(_) => Standing::Clear,
        }
    }

    /// The trials of a content that was quarantined and has not been cleared since; `None` if it may run as any
    /// other.
    pub fn trials(&self, fingerprint: Fingerprint) -> Option<Trials> {
        let found =
            self.quarantines.binary_search_by_key(&fingerprint, |it| it.fingerprint).ok()?;
        let Quarantine { last, failed, .. } = self.quarantines[found];
        Some(Trials { last, failed })
    }

    /// The quarantines in force, sorted by fingerprint, and the time until each ends.
    pub fn quarantines(&self, now: Time) -> Vec<(Fingerprint, Duration)> {
        let standing = |it: &Quarantine| match self.standing(now, it.fingerprint) {
            Standing::Quarantined { after } => Some((it.fingerprint, after)),
            _ => None,
        };
        self.quarantines.iter().filter_map(standing).collect()
    }

    /// The losses that count against `fingerprint`, sorted.
    pub fn losses_of(&self, fingerprint: Fingerprint) -> Vec<LossKey> {
        let losses = self.losses.iter().filter(|it| it.is_suspect(fingerprint));
        losses.map(|it| it.key.clone()).collect()
    }

    /// Age of the newest of `losses` that is known.
    pub fn age_of(&self, now: Time, losses: &[LossKey]) -> Option<Duration> {
        let known = losses.iter().filter_map(|key| self.find(key).ok());
        known.map(|found| now - self.losses[found].at).min()
    }

    /// Every fact, for an instance that has just started and for a snapshot.
    pub fn facts(&self, now: Time) -> Vec<Fact> {
        let mut facts = Vec::new();
        for loss in &self.losses {
            let (key, age) = (loss.key.clone(), now - loss.at);
            for &fingerprint in &loss.cleared {
                facts.push(Fact::Cleared { fingerprint, losses: vec![key.clone()], age });
            }
            let (flying, tried) = (loss.flying.clone(), loss.tried.clone());
            facts.push(Fact::Lost(LossReport { key, age, flying, tried }));
        }
        facts
    }

    /// The losses of contents that more than one loss counts against: what is needed to keep them
    /// from running, and no more.
    pub fn repeated_losses(&self, now: Time) -> Vec<Fact> {
        let suspects = self.losses.iter().flat_map(Loss::suspects);
        let mut suspects: Vec<Fingerprint> = suspects.collect();
        suspects.sort_unstable();
        let repeated: Vec<Fingerprint> =
            suspects.chunk_by(|a, b| a == b).filter(|it| it.len() > 1).map(|it| it[0]).collect();
        let facts = self.losses.iter().filter_map(|loss| {
            let mut flying = loss.suspects();
            flying.retain(|it| repeated.binary_search(it).is_ok());
            let mut tried = loss.tried.clone();
            tried.retain(|it| flying.binary_search(it).is_ok());
            let report = LossReport { key: loss.key.clone(), age: now - loss.at, flying, tried };
            (!report.flying.is_empty()).then_some(Fact::Lost(report))
        });
        facts.collect()
    }

    fn find(&self, key: &LossKey) -> Result<usize, usize> {
        self.losses.binary_search_by(|it| it.key.cmp(key))
    }

    /// The loss under `key`, new if it was not known; its earliest moment is kept.
    fn loss(&mut self, key: &LossKey, at: Time) -> &mut Loss {
        let place = match self.find(key) {
            Ok(found) => found,
            Err(place) => {
                let (flying, cleared, tried) = (Vec::new(), Vec::new(), Vec::new());
                let loss = Loss { key: key.clone(), at, flying, cleared, tried };
                self.losses.insert(place, loss);
                place
            }
        };
        let loss = &mut self.losses[place];
        loss.at = loss.at.min(at);
        loss
    }

    fn learn_loss(&mut self, now: Time, report: &LossReport) -> bool {
        if report.age >= FACT_LIFETIME {
            return false;
        }
        let loss = self.loss(&report.key, now.saturating_sub(report.age));
        let is_tried = merge(&mut loss.tried, &report.tried);
        merge(&mut loss.flying, &report.flying) || is_tried
    }

    fn learn_clearance(&mut self, at: Time, fingerprint: Fingerprint, losses: &[LossKey]) -> bool {
        let mut is_new = false;
        for key in losses {
            is_new |= merge(&mut self.loss(key, at).cleared, &[fingerprint]);
        }
        is_new
    }

    fn drop_oldest(&mut self) {
        while self.losses.len() > MAX_LOSSES_KEPT {
            let oldest = (0..self.losses.len()).min_by_key(|&it| self.losses[it].at);
            self.losses.remove(oldest.unwrap_or(0));
        }
    }

    /// Quarantines the strongest candidates first; the losses they explain count against no other.
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
        for loss in &self.losses {
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
                let is_trial = loss.tried.binary_search(&fingerprint).is_ok();
                Evidence { fingerprint, at: loss.at, is_alone, is_trial }
            }));
        }
        evidence.sort_unstable();
        evidence
    }
}

impl Loss {
    fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        let is_flying = self.flying.binary_search(&fingerprint).is_ok();
        is_flying && self.cleared.binary_search(&fingerprint).is_err()
    }

    fn suspects(&self) -> Vec<Fingerprint> {
        self.flying.iter().copied().filter(|&it| self.is_suspect(it)).collect()
    }
}

impl Quarantine {
    /// Losses that nothing else can have caused, then all losses.
    fn strength(&self) -> (usize, usize) {
        (self.alone, self.losses)
    }
}

/// The quarantine of one content, if its losses are reason for it.
fn candidate(evidence: &[Evidence]) -> Option<Quarantine> {
    let losses = evidence.len();
    let alone = evidence.iter().filter(|it| it.is_alone).count();
    let failed = evidence.iter().filter(|it| it.is_trial).count();
    let is_likely = losses >= QUARANTINING_LOSSES && alone > 0;
    if !is_likely && losses < CERTAIN_LOSSES {
        return None;
    }
    let &Evidence { fingerprint, at: last, .. } = evidence.last()?;
    Some(Quarantine { fingerprint, last, losses, alone, failed })
}

/// Adds `more` to a sorted set; tells whether it grew.
fn merge(set: &mut Vec<Fingerprint>, more: &[Fingerprint]) -> bool {
    let count = set.len();
    set.extend_from_slice(more);
    set.sort_unstable();
    set.dedup();
    set.len() > count
}

/// Lifetime of a quarantine by `losses` losses: doubled by each beyond the second.
fn quarantine_lifetime(losses: usize) -> Duration {
    let doublings = losses.saturating_sub(QUARANTINING_LOSSES).min(8);
    (QUARANTINE_LIFETIME * (1 << doublings)).min(FACT_LIFETIME)
}
