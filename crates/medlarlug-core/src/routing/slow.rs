//! Places that are much slower than those beside them: they get a probe now and then.

use std::time::Duration;

use crate::time::Time;

/// Ratio to the usual one from which on an observation counts as slow.
const SLOW: f64 = 4.0;
/// Slow observations in a row that make a place a slow one.
const STREAK: u32 = 2;
/// Ratio to the usual one at which a probe shows that the place has recovered.
const RECOVERED: f64 = 2.0;
/// Shortest prediction that a probe is compared with, in seconds: the prefix that it counted on
/// may have left the cache.
const SHORTEST_PROBE: f64 = 0.25;
/// Time to the first probe; each further one doubles it.
const FIRST_PROBE: Duration = Duration::from_secs(10);
/// Longest time between two probes.
const LONGEST_PROBE: Duration = Duration::from_secs(60);

/// Whether a place is a slow one, and when it is tried again.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Slowness {
    usual: f64,
    streak: u32,
    probing: Option<Probing>,
}

#[derive(Debug, Clone, Copy)]
struct Probing {
    due: Time,
    period: Duration,
}

impl Slowness {
    /// Notes the usual ratio of observed to predicted times of the places compared with this one.
    pub(super) fn compare(&mut self, usual: f64) {
        self.usual = usual;
    }

    /// Notes a first token that took some time, against its prediction, both in seconds; gives
    /// whether a slow place has recovered.
    pub(super) fn first_token(&mut self, now: Time, took: f64, base: f64) -> bool {
        let limit = RECOVERED * self.usual * base.max(SHORTEST_PROBE);
        if self.probing.is_some() && took <= limit {
            *self = Slowness { usual: self.usual, ..Slowness::default() };
            return true;
        }
        if !self.is_slow(took, base) {
            self.streak = 0;
        }
        self.wait(now, took, base);
        false
    }

    /// Notes that a request waited for some time, whether a first token came or not.
    pub(super) fn wait(&mut self, now: Time, waited: f64, base: f64) {
        if !self.is_slow(waited, base) {
            return;
        }
        self.streak += 1;
        if self.streak >= STREAK && self.probing.is_none() {
            self.probing = Some(Probing { due: now + FIRST_PROBE, period: FIRST_PROBE });
        }
    }

    fn is_slow(&self, took: f64, base: f64) -> bool {
        self.usual > 0.0 && took > SLOW * self.usual * base.max(SHORTEST_PROBE)
    }

    /// Notes that a request was sent: to a slow place it is its probe.
    pub(super) fn send(&mut self, now: Time) {
        if let Some(probing) = &mut self.probing {
            probing.period = (probing.period * 2).min(LONGEST_PROBE);
            probing.due = now + probing.period;
        }
    }

    /// Whether the place is a slow one whose next probe is not due.
    pub(super) fn is_barred(&self, now: Time) -> bool {
        self.probing.is_some_and(|it| now < it.due)
    }

    /// The usual ratio, for a slow place whose probe is due: it is tried as if it were usual.
    pub(super) fn probe(&self, now: Time) -> Option<f64> {
        self.probing.filter(|it| now >= it.due).map(|_| self.usual)
    }
}
