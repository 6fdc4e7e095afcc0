//! Facts in the order in which they were received, for forwarding to other processes.

use std::collections::VecDeque;

use crate::{
    suspects::{Fact, records::CrashRecords},
    time::Time,
};

/// Maximum number of contents that the facts in the log name; the oldest facts are dropped first. At 19
/// bytes each, a receiver that has just connected is sent 150 KB.
pub const MAX_LOGGED_CONTENTS: usize = 8_192;

/// The facts that a process forwards to others; each receiver has been sent all facts up to its own
/// position.
///
/// ```
/// use medlarlug_core::{
///     fingerprint::Fingerprint,
///     ids::Incarnation,
///     suspects::{CrashId, CrashReport, Fact, FactLog, RequestContents},
///     time::Time,
/// };
/// use std::time::Duration;
///
/// let key = CrashId { upstream: "engine-1".parse().unwrap(), incarnation: Incarnation(1) };
/// let in_flight = vec![RequestContents::new(Fingerprint::of(b"crash"), Vec::new())];
/// let fact = Fact::Crashed(CrashReport { key, age: Duration::ZERO, in_flight, trials: Vec::new() });
/// let mut log = FactLog::default();
/// let position = log.end();
/// log.apply(Time::ZERO, &fact);
/// log.apply(Time::ZERO, &fact);
/// assert_eq!(log.since(Time::ZERO, position), [fact]);
/// assert!(log.since(Time::ZERO, log.end()).is_empty());
/// ```
#[derive(Debug, Clone, Default)]
pub struct FactLog {
    records: CrashRecords,
    /// Position of the oldest fact that is kept.
    first: u64,
    facts: VecDeque<(Fact, Time)>,
    /// Number of contents that the kept facts name.
    contents: usize,
    /// Whether the repeated crashes may have changed since they were last taken.
    has_repeated_changed: bool,
}

impl FactLog {
    /// Applies a fact; returns whether it was new.
    pub fn apply(&mut self, now: Time, fact: &Fact) -> bool {
        let change = self.records.apply(now, fact);
        self.has_repeated_changed |= change.has_repeated;
        if !change.is_new {
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

    /// Reports that cover the contents with more than one crash against them.
    pub fn repeated_crashes(&self, now: Time) -> Vec<Fact> {
        self.records.repeated_crashes(now)
    }

    /// Like [`FactLog::repeated_crashes`], but `None` if they have not changed since the last call.
    pub fn take_changed_crashes(&mut self, now: Time) -> Option<Vec<Fact>> {
        let has_changed = std::mem::take(&mut self.has_repeated_changed);
        has_changed.then(|| self.repeated_crashes(now))
    }

    /// Forgets what is known by facts older than [`FACT_LIFETIME`](super::FACT_LIFETIME); the log is
    /// bounded by its number of contents only.
    pub fn expire(&mut self, now: Time) {
        self.has_repeated_changed |= self.records.expire(now);
    }

    /// Position after the newest fact: the number of facts ever logged.
    pub fn end(&self) -> u64 {
        self.first + self.facts.len() as u64
    }

    /// The facts from `position` on, with their ages as of `now`.
    pub fn since(&self, now: Time, position: u64) -> Vec<Fact> {
        let skipped = position.saturating_sub(self.first) as usize;
        self.facts
            .iter()
            .skip(skipped)
            .map(|(fact, received)| fact.aged_by(now - *received))
            .collect()
    }
}
