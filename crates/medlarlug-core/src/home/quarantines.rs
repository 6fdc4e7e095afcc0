//! Requests that are suspected or quarantined of crashing upstreams.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    fingerprint::Fingerprint,
    home::command::Suspect,
    ids::{Incarnation, UpstreamId},
};

/// Losses that quarantine a request.
pub const QUARANTINE_CRASH_THRESHOLD: usize = 2;

/// How long a suspicion lasts after the last loss.
pub const SUSPICION_LIFETIME: Duration = Duration::from_secs(10 * 60);

/// How long a quarantine lasts.
pub const QUARANTINE_LIFETIME: Duration = Duration::from_secs(60 * 60);

/// Suspected and quarantined requests that are kept; the one that ends first makes room.
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

    /// Records that `upstream` was lost while it ran `suspects`.
    ///
    /// The loss of one incarnation counts once for a request, however many instances report it.
    pub(crate) fn lose(
        &mut self,
        clock: u64,
        upstream: &UpstreamId,
        incarnation: Incarnation,
        suspects: &[Fingerprint],
    ) -> Vec<Suspect> {
        let mut result = Vec::new();
        for fingerprint in suspects {
            let entry = self.entry(*fingerprint);
            let loss = (upstream.clone(), incarnation);
            if !entry.quarantined && !entry.crashes.contains(&loss) {
                entry.crashes.push(loss);
                entry.quarantined = entry.crashes.len() >= QUARANTINE_CRASH_THRESHOLD;
                let lifetime =
                    if entry.quarantined { QUARANTINE_LIFETIME } else { SUSPICION_LIFETIME };
                entry.until = clock.saturating_add(micros(lifetime));
            }
            result.push(entry.suspect(clock));
        }
        self.bound();
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
        self.bound();
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
        let place = match self.entries.binary_search_by_key(&fingerprint, |it| it.fingerprint) {
            Ok(found) => found,
            Err(place) => {
                let entry =
                    Entry { fingerprint, crashes: Vec::new(), quarantined: false, until: 0 };
                self.entries.insert(place, entry);
                place
            }
        };
        &mut self.entries[place]
    }

    fn bound(&mut self) {
        while self.entries.len() > MAX_SUSPECTS {
            let first = self.entries.iter().enumerate().min_by_key(|(_, it)| it.until);
            let Some((place, _)) = first else {
                return;
            };
            self.entries.remove(place);
        }
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
