//! The verdicts that follow from a set of facts.

use std::time::Duration;

use crate::{
    fingerprint::Fingerprint,
    ids::{Incarnation, UpstreamId},
    suspects::{
        CERTAIN_LOSSES, CONVICTING_LOSSES, CONVICTION_LIFETIME, FACT_LIFETIME, Fact, LossReport,
        MAX_LOSSES_KEPT,
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
    Convicted {
        /// Time until it may be tried again.
        after: Duration,
    },
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Loss {
    upstream: UpstreamId,
    incarnation: Incarnation,
    at: Time,
    flying: Vec<Fingerprint>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Verdict {
    fingerprint: Fingerprint,
    last: Time,
    losses: usize,
}

/// A set of facts and the verdicts that follow from it.
///
/// ```
/// use medlarlug_core::{
///     fingerprint::Fingerprint,
///     suspects::{Fact, LossLedger, LossReport, Standing},
///     time::Time,
/// };
/// use std::time::Duration;
///
/// let crashing = Fingerprint::of(b"crash");
/// let lost = |upstream: &str| Fact::Lost(LossReport {
///     upstream: upstream.parse().unwrap(),
///     incarnation: medlarlug_core::ids::Incarnation(1),
///     age: Duration::ZERO,
///     flying: vec![crashing],
/// });
/// let mut ledger = LossLedger::default();
/// ledger.learn(Time::ZERO, &lost("engine-1"));
/// ledger.learn(Time::ZERO, &lost("engine-1"));
/// assert_eq!(ledger.standing(Time::ZERO, crashing), Standing::Suspect);
/// ledger.learn(Time::ZERO, &lost("engine-2"));
/// assert!(matches!(ledger.standing(Time::ZERO, crashing), Standing::Convicted { .. }));
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LossLedger {
    losses: Vec<Loss>,
    cleared: Vec<(Fingerprint, Time)>,
    verdicts: Vec<Verdict>,
}

impl LossLedger {
    /// Merges a fact; tells whether it was new.
    pub fn learn(&mut self, now: Time, fact: &Fact) -> bool {
        let is_new = match fact {
            Fact::Lost(report) => self.merge_loss(now, report),
            Fact::Cleared { fingerprint, age } => {
                self.merge_clearance(*fingerprint, now.saturating_sub(*age))
            }
        };
        if is_new {
            self.judge();
        }
        is_new
    }

    /// Forgets the facts that are too old.
    pub fn expire(&mut self, now: Time) {
        let count = self.losses.len();
        self.losses.retain(|it| now - it.at < FACT_LIFETIME);
        self.cleared.retain(|it| now - it.1 < FACT_LIFETIME);
        if self.losses.len() < count {
            self.judge();
        }
    }

    /// What the facts say about `fingerprint`.
    pub fn standing(&self, now: Time, fingerprint: Fingerprint) -> Standing {
        if let Ok(found) = self.verdicts.binary_search_by_key(&fingerprint, |it| it.fingerprint) {
            let verdict = &self.verdicts[found];
            let end = verdict.last + conviction_lifetime(verdict.losses);
            return match now < end {
                true => Standing::Convicted { after: end - now },
                false => Standing::Suspect,
            };
        }
        let mut losses = self.losses.iter().filter(|it| self.counts(it, fingerprint));
        match losses.any(|loss| !self.is_explained(loss)) {
            true => Standing::Suspect,
            false => Standing::Clear,
        }
    }

    /// The convictions in force, sorted by fingerprint, and the time until each ends.
    pub fn convictions(&self, now: Time) -> Vec<(Fingerprint, Duration)> {
        let standing = |it: &Verdict| match self.standing(now, it.fingerprint) {
            Standing::Convicted { after } => Some((it.fingerprint, after)),
            _ => None,
        };
        self.verdicts.iter().filter_map(standing).collect()
    }

    /// Every fact, for an instance that has just started and for a snapshot.
    pub fn facts(&self, now: Time) -> Vec<Fact> {
        let losses = self.losses.iter().map(|it| {
            Fact::Lost(LossReport {
                upstream: it.upstream.clone(),
                incarnation: it.incarnation,
                age: now - it.at,
                flying: it.flying.clone(),
            })
        });
        let cleared = self
            .cleared
            .iter()
            .map(|&(fingerprint, at)| Fact::Cleared { fingerprint, age: now - at });
        losses.chain(cleared).collect()
    }

    fn merge_loss(&mut self, now: Time, report: &LossReport) -> bool {
        if report.age >= FACT_LIFETIME {
            return false;
        }
        let at = now.saturating_sub(report.age);
        let key = (&report.upstream, report.incarnation);
        match self.losses.binary_search_by(|it| (&it.upstream, it.incarnation).cmp(&key)) {
            Ok(found) => self.losses[found].merge(&report.flying),
            Err(place) => {
                let mut loss = Loss {
                    upstream: report.upstream.clone(),
                    incarnation: report.incarnation,
                    at,
                    flying: Vec::new(),
                };
                loss.merge(&report.flying);
                self.losses.insert(place, loss);
                self.drop_oldest();
                true
            }
        }
    }

    fn drop_oldest(&mut self) {
        if self.losses.len() <= MAX_LOSSES_KEPT {
            return;
        }
        let oldest = (0..self.losses.len()).min_by_key(|&it| self.losses[it].at);
        if let Some(oldest) = oldest {
            self.losses.remove(oldest);
        }
    }

    fn merge_clearance(&mut self, fingerprint: Fingerprint, at: Time) -> bool {
        match self.cleared.binary_search_by_key(&fingerprint, |it| it.0) {
            Ok(found) if self.cleared[found].1 >= at => false,
            Ok(found) => {
                self.cleared[found].1 = at;
                true
            }
            Err(place) => {
                self.cleared.insert(place, (fingerprint, at));
                true
            }
        }
    }

    fn counts(&self, loss: &Loss, fingerprint: Fingerprint) -> bool {
        let cleared = match self.cleared.binary_search_by_key(&fingerprint, |it| it.0) {
            Ok(found) => Some(self.cleared[found].1),
            Err(_) => None,
        };
        loss.holds(fingerprint) && cleared.is_none_or(|at| loss.at > at)
    }

    fn is_explained(&self, loss: &Loss) -> bool {
        self.verdicts.iter().any(|it| self.counts(loss, it.fingerprint))
    }

    /// Convicts the strongest candidates first; the losses they explain count against no other.
    fn judge(&mut self) {
        self.verdicts.clear();
        loop {
            let candidates = self.candidates();
            let Some(strongest) = candidates.iter().map(|it| it.0).max() else {
                return;
            };
            let convicted = candidates.into_iter().filter(|it| it.0 == strongest);
            self.verdicts.extend(convicted.map(|it| it.1));
            self.verdicts.sort_by_key(|it| it.fingerprint);
        }
    }

    /// Contents that the unexplained losses convict, with the strength of the evidence: losses
    /// with no other request in flight, then all losses.
    fn candidates(&self) -> Vec<((usize, usize), Verdict)> {
        let open: Vec<&Loss> = self.losses.iter().filter(|it| !self.is_explained(it)).collect();
        let mut contents: Vec<Fingerprint> =
            open.iter().flat_map(|it| it.flying.iter().copied()).collect();
        contents.sort_unstable();
        contents.dedup();
        contents.into_iter().filter_map(|it| self.candidate(&open, it)).collect()
    }

    fn candidate(
        &self,
        open: &[&Loss],
        fingerprint: Fingerprint,
    ) -> Option<((usize, usize), Verdict)> {
        let losses: Vec<&&Loss> = open.iter().filter(|it| self.counts(it, fingerprint)).collect();
        let alone = losses.iter().filter(|it| it.flying.len() == 1).count();
        let is_convicted =
            losses.len() >= CERTAIN_LOSSES || (losses.len() >= CONVICTING_LOSSES && alone > 0);
        let last = losses.iter().map(|it| it.at).max()?;
        let verdict = Verdict { fingerprint, last, losses: losses.len() };
        is_convicted.then_some(((alone, verdict.losses), verdict))
    }
}

impl Loss {
    fn holds(&self, fingerprint: Fingerprint) -> bool {
        self.flying.binary_search(&fingerprint).is_ok()
    }

    fn merge(&mut self, flying: &[Fingerprint]) -> bool {
        let count = self.flying.len();
        self.flying.extend_from_slice(flying);
        self.flying.sort_unstable();
        self.flying.dedup();
        self.flying.len() > count
    }
}

/// Lifetime of a conviction by `losses` losses: doubled by each beyond the second.
fn conviction_lifetime(losses: usize) -> Duration {
    let doublings = losses.saturating_sub(CONVICTING_LOSSES).min(8);
    (CONVICTION_LIFETIME * (1 << doublings)).min(FACT_LIFETIME)
}
