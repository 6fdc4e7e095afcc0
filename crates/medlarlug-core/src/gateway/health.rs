//! What an entry instance learns about upstreams from its own calls.
//!
//! An upstream that refuses connections or goes silent is avoided for a while that doubles with
//! each further failure. One that answers but fails a part of its calls is not avoided: its share
//! of failures makes it look slower to [`placement`](super::placement), so that it is used last.

use std::time::Duration;

use crate::{gateway::cold::Observations, ids::UpstreamId, time::Time};

/// First time for which an upstream is avoided that takes no more calls; places free up within a
/// few steps of an engine.
const FIRST_REST: Duration = Duration::from_millis(150);
/// Longest time for which an upstream is avoided that takes no more calls.
const LONGEST_REST: Duration = Duration::from_millis(1_200);
/// First time for which a broken upstream is avoided; a restart takes seconds.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
/// Longest time for which a broken upstream is avoided.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);
/// Weight of the newest call in the share of failed calls: a few failures in a row, as they happen
/// everywhere, do not make an upstream look broken.
const SMOOTHING: f64 = 0.06;

/// How a call ended, as far as the health of its upstream is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEnd {
    /// A whole answer.
    Answered,
    /// A whole answer of an upstream that counted as cold.
    AnsweredCold,
    /// The upstream answered with a failure of its own, or with what is no answer.
    Failed,
    /// The connection ended before the answer was whole.
    Broken,
    /// The upstream refused the call as not run: it is full, or says so.
    Refused,
    /// No connection, or silence.
    Unreachable,
}

#[derive(Debug, Clone)]
struct Health {
    id: UpstreamId,
    strikes: u32,
    avoid: Option<Time>,
    observations: Observations,
    failures: f64,
}

/// The health of upstreams, sorted by id.
#[derive(Debug, Clone, Default)]
pub struct Healths {
    known: Vec<Health>,
}

impl Health {
    /// Avoids the upstream for a time that doubles with each strike, unless it is avoided already.
    fn strike(&mut self, now: Time, first: Duration, longest: Duration) -> Option<Duration> {
        if self.avoid.is_some_and(|until| now < until) {
            return None;
        }
        let pause = (first * 2u32.pow(self.strikes.min(3))).min(longest);
        self.strikes += 1;
        self.avoid = Some(now + pause);
        Some(pause)
    }
}

impl Healths {
    /// Takes in how a call ended. Returns how long the upstream is avoided from now on, if that
    /// is news.
    pub fn ended(&mut self, now: Time, id: &UpstreamId, end: CallEnd) -> Option<Duration> {
        let health = self.entry(id);
        match end {
            CallEnd::Answered | CallEnd::AnsweredCold => {
                if end == CallEnd::Answered {
                    health.observations.answered = Some(now);
                }
                health.failures *= 1.0 - SMOOTHING;
                health.strikes = 0;
                health.avoid = None;
                None
            }
            CallEnd::Failed | CallEnd::Broken => {
                if end == CallEnd::Broken {
                    health.observations.broken = Some(now);
                }
                health.failures += SMOOTHING * (1.0 - health.failures);
                None
            }
            CallEnd::Refused => health.strike(now, FIRST_REST, LONGEST_REST),
            CallEnd::Unreachable => {
                health.observations.unreachable = Some(now);
                health.strike(now, FIRST_PAUSE, LONGEST_PAUSE)
            }
        }
    }

    /// Takes in that the upstream may have crashed at `when`. It is not avoided, since it may be back.
    pub fn crashed(&mut self, when: Time, id: &UpstreamId) {
        let observations = &mut self.entry(id).observations;
        observations.unreachable = observations.unreachable.max(Some(when));
    }

    /// Forgets what was learned about an upstream, which has a new incarnation.
    pub fn forget(&mut self, id: &UpstreamId) {
        if let Ok(at) = self.place(id) {
            self.known.remove(at);
        }
    }

    /// Whether the upstream is to be avoided.
    pub fn is_avoided(&self, now: Time, id: &UpstreamId) -> bool {
        let at = self.place(id);
        at.is_ok_and(|at| self.known[at].avoid.is_some_and(|until| now < until))
    }

    /// What calls have shown of the upstream's connections.
    pub fn observations(&self, id: &UpstreamId) -> Observations {
        self.place(id).map(|at| self.known[at].observations).unwrap_or_default()
    }

    /// Share of the upstream's recent calls that failed, 0 to 1.
    pub fn failures(&self, id: &UpstreamId) -> f64 {
        self.place(id).map_or(0.0, |at| self.known[at].failures)
    }

    fn place(&self, id: &UpstreamId) -> Result<usize, usize> {
        self.known.binary_search_by(|it| it.id.cmp(id))
    }

    fn entry(&mut self, id: &UpstreamId) -> &mut Health {
        let at = match self.place(id) {
            Ok(at) => at,
            Err(at) => {
                let health = Health {
                    id: id.clone(),
                    strikes: 0,
                    avoid: None,
                    observations: Observations::default(),
                    failures: 0.0,
                };
                self.known.insert(at, health);
                at
            }
        };
        &mut self.known[at]
    }
}
