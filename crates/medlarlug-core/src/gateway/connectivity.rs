//! Whether this instance reaches the upstreams of its region.
//!
//! A network partition may cut an entry instance off from all upstreams while callers, keepers and
//! other instances still reach it. Its connections to upstreams then hang, are reset, or live on while
//! new ones fail. A single call can't tell this from an upstream that is down. So a failed call starts
//! a *check*, unless an upstream has just answered: the instance opens connections to several
//! upstreams that announce themselves to keepers. If none opens, the instance is *isolated*.
//!
//! An isolated instance sends nothing to upstreams. It forwards its calls to instances that reach
//! them, and refuses calls that others forward to it, which then try another instance
//! ([`PeerPaths`]). It repeats the check with one connection at a time, so that the end of a partition
//! causes no flood of connections.

use std::time::Duration;

use crate::{gateway::table::ServiceName, ids::InstanceId, time::Time};

/// Number of upstreams that a check connects to after a failed call.
pub const CHECK_SIZE: usize = 3;
/// Mean time between two checks of an isolated instance, each of one upstream.
pub const ISOLATED_CHECK_INTERVAL: Duration = Duration::from_millis(400);
/// Time after an answer of any upstream within which a failed call starts no check.
const ANSWER_LIFETIME: Duration = Duration::from_millis(500);
/// Time for which an instance that has refused a forwarded call for lack of a path gets no further
/// calls for the service.
const MISSING_PATH_LIFETIME: Duration = Duration::from_millis(1_500);

/// Result of a check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Check {
    /// When it began.
    pub began: Time,
    /// Number of upstreams to which a connection opened.
    pub reached: usize,
    /// Number of upstreams to which none opened.
    pub failed: usize,
}

/// How a check changed the state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The instance reaches no upstream.
    Isolated {
        /// Time since an upstream last answered; `None` if none ever did.
        since_answer: Option<Duration>,
    },
    /// The instance reaches upstreams again, or none announces itself any more.
    Connected {
        /// Time for which it was isolated.
        isolated_for: Duration,
    },
}

/// Whether this instance reaches any upstream.
///
/// ```
/// use medlarlug_core::{gateway::connectivity::{Check, Connectivity}, time::Time};
///
/// let mut connectivity = Connectivity::default();
/// assert!(connectivity.needs_check(Time::ZERO));
/// let check = Check { began: Time::ZERO, reached: 0, failed: 3 };
/// assert!(connectivity.record_check(Time::ZERO, check).is_some());
/// assert!(connectivity.is_isolated());
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct Connectivity {
    last_answer: Option<Time>,
    isolated_since: Option<Time>,
}

impl Connectivity {
    /// Whether the instance reaches no upstream.
    pub fn is_isolated(&self) -> bool {
        self.isolated_since.is_some()
    }

    /// Records an answer of an upstream. It does not end an isolation: connections that were open
    /// before may live on.
    pub fn record_answer(&mut self, now: Time) {
        self.last_answer = Some(now);
    }

    /// Whether a check is due after a call to an upstream has failed.
    pub fn needs_check(&self, now: Time) -> bool {
        !self.is_isolated() && self.last_answer.is_none_or(|last| now - last > ANSWER_LIFETIME)
    }

    /// Applies a check that ended at `now`.
    pub fn record_check(&mut self, now: Time, check: Check) -> Option<Change> {
        let Check { began, reached, failed } = check;
        if reached > 0 || failed == 0 {
            let since = self.isolated_since.take()?;
            return Some(Change::Connected { isolated_for: now - since });
        }
        if self.is_isolated() || self.last_answer.is_some_and(|last| last > began) {
            return None;
        }
        self.isolated_since = Some(now);
        Some(Change::Isolated { since_answer: self.last_answer.map(|last| now - last) })
    }
}

/// Instances that have refused forwarded calls because they reach no upstream of the service.
#[derive(Debug, Clone, Default)]
pub struct PeerPaths {
    /// When each last refused, sorted by instance and service.
    missing: Vec<(InstanceId, ServiceName, Time)>,
}

impl PeerPaths {
    /// Records that an instance reaches no upstream of a service.
    pub fn record_missing(&mut self, now: Time, instance: &InstanceId, service: &ServiceName) {
        self.missing.retain(|it| now - it.2 < MISSING_PATH_LIFETIME);
        match self.index_of(instance, service) {
            Ok(at) => self.missing[at].2 = now,
            Err(at) => self.missing.insert(at, (instance.clone(), service.clone(), now)),
        }
    }

    /// Whether an instance has recently said that it reaches no upstream of a service.
    pub fn is_missing(&self, now: Time, instance: &InstanceId, service: &ServiceName) -> bool {
        let at = self.index_of(instance, service);
        at.is_ok_and(|at| now - self.missing[at].2 < MISSING_PATH_LIFETIME)
    }

    fn index_of(&self, instance: &InstanceId, service: &ServiceName) -> Result<usize, usize> {
        self.missing.binary_search_by(|it| (&it.0, &it.1).cmp(&(instance, service)))
    }
}
