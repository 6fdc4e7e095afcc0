//! When a quarantined content runs as a trial, and at which instance.
//!
//! Upstreams also crash without a faulty content, and a content that many callers send is in flight on
//! whichever one does: if all upstreams of a service crash together, its most requested content is
//! quarantined. A quarantined content is therefore not just refused until its quarantine ends. One
//! instance, which all instances that see the same peers agree on, runs it as a trial: one request at a
//! time, seconds apart. A completed trial clears the content at all instances. Only a content that
//! crashes its upstream in trials as well is refused for long. Any request that holds a quarantined part
//! can be its trial.
//!
//! Evidence is weighed by how likely it is if the content is not at fault. If an upstream crashes by
//! itself every few minutes and a trial runs for a second, a sound content fails one trial in a few
//! hundred, and two in a row once in some ten thousand. After all upstreams have crashed together, the
//! crashes that led to the quarantine are no evidence at all.
//!
//! Bound: a content that crashes upstreams crashes two or three before it is quarantined, one in each
//! of the first two trials within seconds, one in a third trial after [`QUARANTINE_LIFETIME`], and none
//! after that until its facts are forgotten.

use std::time::Duration;

use crate::{
    fingerprint::Fingerprint,
    gateway::placement::rendezvous_rank,
    ids::InstanceId,
    suspects::{FACT_LIFETIME, QUARANTINE_LIFETIME},
    time::Time,
};

/// Delay before the first trial, by which all instances have received the crash reports and upstreams have
/// restarted.
const FIRST_TRIAL_DELAY: Duration = Duration::from_secs(2);
/// Maximum delay before a trial of a content that has failed at most one.
const MAX_TRIAL_DELAY: Duration = Duration::from_secs(60);
/// Failed trials after which the next trial waits for [`QUARANTINE_LIFETIME`].
const FAILED_TRIALS_BEFORE_LONG_DELAY: usize = 2;

/// The trial history of a quarantined content.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Trials {
    /// Time of the newest crash that counts against the content.
    pub last_crash: Time,
    /// Number of trials that crashed their upstream.
    pub failed: usize,
}

impl Trials {
    /// When the next trial may begin, after `attempts` inconclusive trials at this instance, the newest
    /// one at `last_attempt`.
    ///
    /// ```
    /// use medlarlug_core::{suspects::Trials, time::Time};
    /// use std::time::Duration;
    ///
    /// let fresh = Trials { last_crash: Time::ZERO, failed: 0 };
    /// assert_eq!(fresh.next_trial_at(0, None), Time::ZERO + Duration::from_secs(2));
    /// let convicted = Trials { last_crash: Time::ZERO, failed: 2 };
    /// assert_eq!(convicted.next_trial_at(0, None), Time::ZERO + Duration::from_secs(600));
    /// ```
    pub fn next_trial_at(self, attempts: u32, last_attempt: Option<Time>) -> Time {
        let doublings = u32::try_from(self.failed).unwrap_or(u32::MAX).saturating_add(attempts);
        let delay = match self.failed {
            0..FAILED_TRIALS_BEFORE_LONG_DELAY => {
                (FIRST_TRIAL_DELAY * 2u32.pow(doublings.min(5))).min(MAX_TRIAL_DELAY)
            }
            FAILED_TRIALS_BEFORE_LONG_DELAY => QUARANTINE_LIFETIME,
            _ => FACT_LIFETIME,
        };
        last_attempt.max(Some(self.last_crash)).unwrap_or(self.last_crash) + delay
    }
}

/// The one of `instances` that runs the trials of `content`; does not depend on their order.
pub fn trial_instance(content: Fingerprint, instances: &[InstanceId]) -> Option<&InstanceId> {
    let content = content.to_string();
    instances.iter().max_by_key(|instance| rendezvous_rank(&content, instance.as_str()))
}
