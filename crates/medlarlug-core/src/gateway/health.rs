//! What an entry instance learns about upstreams from its own calls.
//!
//! An upstream that refuses calls or can't be reached is avoided for a time that doubles with each
//! further failure. An upstream that answers but fails some of its calls is not avoided: its
//! failure rate adds to its cost in [`placement`](super::placement), so that it is used last.

use std::time::Duration;

use crate::{gateway::cold::Observations, ids::UpstreamId, time::Time};

/// First time for which an upstream that refuses calls is avoided; slots become free within a few
/// steps of an engine.
const FIRST_REFUSAL_BACKOFF: Duration = Duration::from_millis(150);
/// Longest time for which an upstream that refuses calls is avoided.
const MAX_REFUSAL_BACKOFF: Duration = Duration::from_millis(1_200);
/// First time for which an unreachable upstream is avoided; a restart takes seconds.
const FIRST_FAILURE_BACKOFF: Duration = Duration::from_millis(500);
/// Longest time for which an unreachable upstream is avoided.
const MAX_FAILURE_BACKOFF: Duration = Duration::from_secs(4);
/// Weight of the newest call in the failure rate. It is small because a few failures in a row
/// happen at any upstream and don't mean that it is broken.
const FAILURE_RATE_SMOOTHING: f64 = 0.06;

/// Outcome of a request, as far as the health of its upstream is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamOutcome {
    /// The answer was complete.
    Answered,
    /// The answer was complete, and the upstream counted as cold.
    AnsweredCold,
    /// The upstream answered with a failure of its own, or with an invalid answer.
    Failed,
    /// The connection ended before the answer was complete.
    Broken,
    /// The upstream refused the call without running it, for example because it is full.
    Refused,
    /// The connection could not be opened, or the upstream did not respond.
    Unreachable,
}

#[derive(Debug, Clone)]
struct Health {
    id: UpstreamId,
    consecutive_failures: u32,
    avoided_until: Option<Time>,
    /// Whether it is avoided because no connection to it opened.
    is_unreachable: bool,
    observations: Observations,
    failure_rate: f64,
}

/// The health of upstreams, sorted by id.
#[derive(Debug, Clone, Default)]
pub struct HealthTracker {
    known: Vec<Health>,
}

impl Health {
    /// Avoids the upstream for a time that doubles with each consecutive failure, unless it is
    /// already avoided.
    fn back_off(&mut self, now: Time, first: Duration, max: Duration) -> Option<Duration> {
        if self.avoided_until.is_some_and(|until| now < until) {
            return None;
        }
        let backoff = (first * 2u32.pow(self.consecutive_failures.min(3))).min(max);
        self.consecutive_failures += 1;
        self.avoided_until = Some(now + backoff);
        Some(backoff)
    }
}

impl HealthTracker {
    /// Records the outcome of a request. Returns how long the upstream is avoided from now on, if
    /// that has changed.
    pub fn record(
        &mut self,
        now: Time,
        id: &UpstreamId,
        outcome: UpstreamOutcome,
    ) -> Option<Duration> {
        let health = self.entry(id);
        health.is_unreachable = outcome == UpstreamOutcome::Unreachable;
        match outcome {
            UpstreamOutcome::Answered | UpstreamOutcome::AnsweredCold => {
                if outcome == UpstreamOutcome::Answered {
                    health.observations.last_answer = Some(now);
                }
                health.failure_rate *= 1.0 - FAILURE_RATE_SMOOTHING;
                health.consecutive_failures = 0;
                health.avoided_until = None;
                None
            }
            UpstreamOutcome::Failed | UpstreamOutcome::Broken => {
                if outcome == UpstreamOutcome::Broken {
                    health.observations.last_broken = Some(now);
                }
                health.failure_rate += FAILURE_RATE_SMOOTHING * (1.0 - health.failure_rate);
                None
            }
            UpstreamOutcome::Refused => {
                health.back_off(now, FIRST_REFUSAL_BACKOFF, MAX_REFUSAL_BACKOFF)
            }
            UpstreamOutcome::Unreachable => {
                health.observations.last_unreachable = Some(now);
                health.back_off(now, FIRST_FAILURE_BACKOFF, MAX_FAILURE_BACKOFF)
            }
        }
    }

    /// Records that the upstream may have crashed at `when`. It is not avoided, since it may be
    /// back.
    pub fn record_crash(&mut self, when: Time, id: &UpstreamId) {
        let observations = &mut self.entry(id).observations;
        observations.last_unreachable = observations.last_unreachable.max(Some(when));
    }

    /// Records that the instance has closed its own connections to the upstream.
    pub fn record_unwatched(&mut self, now: Time, id: &UpstreamId) {
        self.entry(id).observations.unwatched_since = Some(now);
    }

    /// Records that another instance vouches for the upstream.
    pub fn record_vouch(&mut self, now: Time, id: &UpstreamId) {
        self.entry(id).observations.vouched_at = Some(now);
    }

    /// Forgets the health of an upstream that has a new incarnation.
    pub fn forget(&mut self, id: &UpstreamId) {
        if let Ok(at) = self.index_of(id) {
            self.known.remove(at);
        }
    }

    /// Whether calls should avoid the upstream now.
    pub fn is_avoided(&self, now: Time, id: &UpstreamId) -> bool {
        let at = self.index_of(id);
        at.is_ok_and(|at| self.known[at].avoided_until.is_some_and(|until| now < until))
    }

    /// Whether calls should avoid the upstream now because no connection to it opened.
    pub fn is_unreachable(&self, now: Time, id: &UpstreamId) -> bool {
        self.is_avoided(now, id) && self.index_of(id).is_ok_and(|at| self.known[at].is_unreachable)
    }

    /// What calls have shown of the upstream's connections.
    pub fn observations(&self, id: &UpstreamId) -> Observations {
        self.index_of(id).map(|at| self.known[at].observations).unwrap_or_default()
    }

    /// Share of the upstream's recent calls that failed, from 0 to 1.
    pub fn failure_rate(&self, id: &UpstreamId) -> f64 {
        self.index_of(id).map_or(0.0, |at| self.known[at].failure_rate)
    }

    fn index_of(&self, id: &UpstreamId) -> Result<usize, usize> {
        self.known.binary_search_by(|it| it.id.cmp(id))
    }

    fn entry(&mut self, id: &UpstreamId) -> &mut Health {
        let at = match self.index_of(id) {
            Ok(at) => at,
            Err(at) => {
                let health = Health {
                    id: id.clone(),
                    consecutive_failures: 0,
                    avoided_until: None,
                    is_unreachable: false,
                    observations: Observations::default(),
                    failure_rate: 0.0,
                };
                self.known.insert(at, health);
                at
            }
        };
        &mut self.known[at]
    }
}
