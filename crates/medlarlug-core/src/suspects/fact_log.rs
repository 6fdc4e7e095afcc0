//! Facts in the order in which they became known, to be passed on.

use std::collections::VecDeque;

use crate::{
    suspects::{CrashLedger, Fact},
    time::Time,
};

/// Contents that the log names at most; the oldest facts go first. At 19 bytes each, a receiver that
/// has just connected is sent 150 KB.
pub const MAX_LOGGED_CONTENTS: usize = 8_192;

/// The facts that a process passes on to others, each of which has been told a first part of them.
///
/// ```
/// use medlarlug_core::{
///     fingerprint::Fingerprint,
///     ids::Incarnation,
///     suspects::{Fact, FactLog, CrashId, CrashReport},
///     time::Time,
/// };
/// use std::time::Duration;
///
/// let key = CrashId { upstream: "engine-1".parse().unwrap(), incarnation: Incarnation(1) };
/// let in_flight = vec![Fingerprint::of(b"crash")];
/// let fact = Fact::Crashed(CrashReport { key, age: Duration::ZERO, in_flight, trials: Vec::new() });
/// let mut log = FactLog::default();
/// let told = log.end();
/// log.apply(Time::ZERO, &fact);
/// log.apply(Time::ZERO, &fact);
/// assert_eq!(log.since(Time::ZERO, told), [fact]);
/// assert!(log.since(Time::ZERO, log.end()).is_empty());
/// ```
#[derive(Debug, Clone, Default)]
pub struct FactLog {
    ledger: CrashLedger,
    /// Number of the first fact that is kept.
    first: u64,
    facts: VecDeque<(Fact, Time)>,
    /// Contents that the kept facts name.
    contents: usize,
}

impl FactLog {
    /// Takes a fact in; tells whether it was new.
    pub fn apply(&mut self, now: Time, fact: &Fact) -> bool {
        if !self.ledger.apply(now, fact) {
            return false;
        }
        self.contents += fact.content_count();
        self.facts.push_back((fact.clone(), now));
        while self.contents > MAX_LOGGED_CONTENTS
            && let Some((dropped, _)) = self.facts.pop_front()
        {
            self.contents -= dropped.content_count();
            self.first += 1;
        }
        true
    }

    /// The crashes of contents that more than one loss counts against.
    pub fn repeated_crashes(&self, now: Time) -> Vec<Fact> {
        self.ledger.repeated_crashes(now)
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
        self.facts
            .iter()
            .skip(skipped)
            .map(|(fact, learned)| fact.aged_by(now - *learned))
            .collect()
    }
}
