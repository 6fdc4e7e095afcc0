//! Requests that are suspected of crashing upstreams, or quarantined for it.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    fingerprint::Fingerprint,
    home::command::Suspect,
    ids::{Incarnation, UpstreamId},
};

/// Number of crashes after which a suspected request is quarantined.
pub const QUARANTINE_CRASH_THRESHOLD: usize = 2;

/// Duration of a suspicion, counted from the last crash.
pub const SUSPICION_LIFETIME: Duration = Duration::from_secs(10 * 60);

/// Duration of a quarantine.
pub const QUARANTINE_LIFETIME: Duration = Duration::from_secs(60 * 60);

/// Maximum number of suspected and quarantined requests; beyond it, the entry that expires first is evicted.
pub const MAX_SUSPECTS: usize = 4_096;

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Entry {
    #[serde(rename = "print")]
    fingerprint: Fingerprint,
    #[serde(rename = "losses")]
    crashes: Vec<(UpstreamId, Incarnation)>,
    quarantined: bool,
    until: u64,
}

impl Entry {
    fn suspect(&self, clock: u64) -> Suspect {
        let remaining = Duration::from_micros(self.until.saturating_sub(clock));
        let crashes = u32::try_from(self.crashes.len()).unwrap_or(u32::MAX);
        Suspect {
            fingerprint: self.fingerprint,
            crashes,
            quarantined: self.quarantined.then_some(remaining),
        }
    }
}

/// Suspected and quarantined requests, sorted by fingerprint.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Quarantines {
    entries: Vec<Entry>,
}

impl Quarantines {
    pub(crate) fn expire(&mut self, clock: u64) {
        self.entries.retain(|it| it.until > clock);
    }

    /// Records that `upstream` crashed while it ran `suspects`.
    ///
    /// The crash of one incarnation counts once for a request, however many instances report it.
    pub(crate) fn record_crash(
        &mut self,
        clock: u64,
        upstream: &UpstreamId,
        incarnation: Incarnation,
        suspects: &[Fingerprint],
    ) -> Vec<Suspect> {
        let mut result = Vec::new();
        for fingerprint in suspects {
            let entry = self.entry(*fingerprint);
            let crash = (upstream.clone(), incarnation);
            if !entry.quarantined && !entry.crashes.contains(&crash) {
                entry.crashes.push(crash);
                entry.quarantined = entry.crashes.len() >= QUARANTINE_CRASH_THRESHOLD;
                let lifetime =
                    if entry.quarantined { QUARANTINE_LIFETIME } else { SUSPICION_LIFETIME };
                entry.until = clock.saturating_add(micros(lifetime));
            }
            result.push(entry.suspect(clock));
        }
        self.evict_excess();
        result
    }

    pub(crate) fn clear(&mut self, fingerprint: Fingerprint) {
        self.entries.retain(|it| it.fingerprint != fingerprint || it.quarantined);
    }

    pub(crate) fn quarantine(&mut self, clock: u64, fingerprint: Fingerprint, remaining: Duration) {
        let until = clock.saturating_add(micros(remaining.min(QUARANTINE_LIFETIME)));
        let entry = self.entry(fingerprint);
        entry.until = if entry.quarantined { entry.until.max(until) } else { until };
        entry.quarantined = true;
        self.evict_excess();
    }

    pub(crate) fn find(&self, clock: u64, fingerprint: Fingerprint) -> Option<Suspect> {
        let found = self.entries.binary_search_by_key(&fingerprint, |it| it.fingerprint).ok()?;
        Some(self.entries[found].suspect(clock)).filter(|_| self.entries[found].until > clock)
    }

    pub(crate) fn quarantined(&self, clock: u64) -> Vec<Suspect> {
        let valid = self.entries.iter().filter(|it| it.quarantined && it.until > clock);
        valid.map(|it| it.suspect(clock)).collect()
    }

    fn entry(&mut self, fingerprint: Fingerprint) -> &mut Entry {
        let index = match self.entries.binary_search_by_key(&fingerprint, |it| it.fingerprint) {
            Ok(found) => found,
            Err(index) => {
                let entry =
                    Entry { fingerprint, crashes: Vec::new(), quarantined: false, until: 0 };
                self.entries.insert(index, entry);
                index
            }
        };
        &mut self.entries[index]
    }

    fn evict_excess(&mut self) {
        while self.entries.len() > MAX_SUSPECTS {
            let first = self.entries.iter().enumerate().min_by_key(|(_, it)| it.until);
            let Some((index, _)) = first else {
                return;
            };
            self.entries.remove(index);
        }
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
