//! Facts in the order in which they became known, to be passed on.

use std::collections::VecDeque;

use crate::{
    suspects::{Fact, LossLedger},
    time::Time,
};

/// Contents that the log names at most; the oldest facts go first. At 19 bytes each, a receiver that
/// has just connected is sent 150 KB.
pub const MAX_CONTENTS_TOLD: usize = 8_192;

/// The facts that a process passes on to others, each of which has been told a first part of them.
///
/// ```
/// use medlarlug_core::{
///     fingerprint::Fingerprint,
///     ids::Incarnation,
///     suspects::{Fact, FactLog, LossKey, LossReport},
///     time::Time,
/// };
/// use std::time::Duration;
///
/// let key = LossKey { upstream: "engine-1".parse().unwrap(), incarnation: Incarnation(1) };
/// let flying = vec![Fingerprint::of(b"crash")];
/// let fact = Fact::Lost(LossReport { key, age: Duration::ZERO, flying, tried: Vec::new() });
/// let mut log = FactLog::default();
/// let told = log.end();
/// log.learn(Time::ZERO, &fact);
/// log.learn(Time::ZERO, &fact);
/// assert_eq!(log.since(Time::ZERO, told), [fact]);
/// assert!(log.since(Time::ZERO, log.end()).is_empty());
/// ```
#[derive(Debug, Clone, Default)]
pub struct FactLog {
    ledger: LossLedger,
    /// Number of the first fact that is kept.
    first: u64,
    facts: VecDeque<(Fact, Time)>,
    /// Contents that the kept facts name.
    contents: usize,
}

impl FactLog {
    /// Takes a fact in; tells whether it was new.
    pub fn learn(&mut self, now: Time, fact: &Fact) -> bool {
        if !self.ledger.learn(now, fact) {
            return false;
        }
        self.contents += fact.contents();
        self.facts.push_back((fact.clone(), now));
        while self.contents > MAX_CONTENTS_TOLD
            && let Some((dropped, _)) = self.facts.pop_front()
        {
            self.contents -= dropped.contents();
            self.first += 1;
        }
        true
    }

    /// The losses of contents that more than one loss counts against.
    pub fn repeated_losses(&self, now: Time) -> Vec<Fact> {
        self.ledger.repeated_losses(now)
    }

    /// Forgets the facts that are too old.
    pub fn expire(&mut self, now: Time) {
        self.ledger.expire(now);
    }

    /// Number of facts so far.
    pub fn end(&self) -> u64 {
        self.first + self.facts.len() as u64
    }

    /// The facts after the first `told`, as they are told now.
    pub fn since(&self, now: Time, told: u64) -> Vec<Fact> {
        let skipped = told.saturating_sub(self.first) as usize;
        self.facts.iter().skip(skipped).map(|(fact, learned)| fact.after(now - *learned)).collect()
    }
}
