//! When a quarantined content runs once more, and where.
//!
//! Upstreams also crash by themselves, and a content that many callers send is in flight at whichever does: if
//! all upstreams of a service crash together, its most asked-for content is quarantined. So a quarantined
//! content is not simply refused until its time is up: one instance, on which all that see the same peers agree,
//! runs it once at a time, seconds apart. A whole run clears it everywhere. Only what loses its upstream in such
//! a trial as well is refused for long.
//!
//! Evidence is weighed by how likely it is without the content being at fault. With an upstream that crashes by
//! itself every few minutes and a trial that runs for a second, a sound content fails one trial in some hundred,
//! and two in some ten thousand; the losses that quarantine it are, after all upstreams crashed together, no
//! evidence at all.
//!
//! Bound: a content that crashes upstreams loses two or three until it is quarantined, one in each of the first
//! two trials within seconds, one in a third after [`QUARANTINE_LIFETIME`], and none after that until its facts
//! are forgotten.

use std::time::Duration;

use crate::{
    fingerprint::Fingerprint,
    gateway::placement::rank,
    ids::InstanceId,
    suspects::{FACT_LIFETIME, QUARANTINE_LIFETIME},
    time::Time,
};

/// Pause before the first trial: all instances have heard of the losses, and upstreams are back.
const FIRST_PAUSE: Duration = Duration::from_secs(2);
/// Longest pause before a trial of a content that has failed at most one.
const LONGEST_PAUSE: Duration = Duration::from_secs(60);
/// Failed trials after which a content is refused for long.
const PROVING_TRIALS: usize = 2;

/// What is known of the trials of a quarantined content.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Trials {
    /// The last loss that counts against it.
    pub last: Time,
    /// Trials that lost their upstream.
    pub failed: usize,
}

impl Trials {
    /// When the next trial may begin, after `attempts` at this instance that proved nothing, the newest one at
    /// `tried`.
    ///
    /// ```
    /// use medlarlug_core::{suspects::Trials, time::Time};
    /// use std::time::Duration;
    ///
    /// let fresh = Trials { last: Time::ZERO, failed: 0 };
    /// assert_eq!(fresh.next(0, None), Time::ZERO + Duration::from_secs(2));
    /// let proved = Trials { last: Time::ZERO, failed: 2 };
    /// assert_eq!(proved.next(0, None), Time::ZERO + Duration::from_secs(600));
    /// ```
    pub fn next(self, attempts: u32, tried: Option<Time>) -> Time {
        let doublings = u32::try_from(self.failed).unwrap_or(u32::MAX).saturating_add(attempts);
        let pause = match self.failed {
            0..PROVING_TRIALS => (FIRST_PAUSE * 2u32.pow(doublings.min(5))).min(LONGEST_PAUSE),
            PROVING_TRIALS => QUARANTINE_LIFETIME,
            _ => FACT_LIFETIME,
        };
        tried.max(Some(self.last)).unwrap_or(self.last) + pause
    }
}

/// The instance that tries a content, among those that could.
pub fn tester(content: Fingerprint, instances: &[InstanceId]) -> Option<&InstanceId> {
    let content = content.to_string();
    instances.iter().max_by_key(|instance| rank(&content, instance.as_str()))
}
