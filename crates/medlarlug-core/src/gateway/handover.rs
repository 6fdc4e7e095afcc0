//! A call that one region hands over to another.
//!
//! The two entry instances may hold different tables. Whoever has the newer one decides how the
//! call is routed, so that neither goes back behind a table that it has served by. The attempts
//! that the first instance has left bind in either case.

use serde::{Deserialize, Serialize};

use super::table::{Route, RouteTable, ServiceName, TableVersion};

/// How the first instance routed the call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover {
    /// The table that the route is from.
    pub version: TableVersion,
    /// The route, with the attempts that are left.
    pub route: Route,
    /// The service that was picked by the route's weights.
    pub service: ServiceName,
}

impl Handover {
    /// The route and service by which an instance with the table `own` serves the call; `None` if
    /// its newer table has no route for it. `point`, between 0 and 1, picks among the services of
    /// a route that no longer leads to the one that was picked.
    pub fn resolve(
        self,
        own: &RouteTable,
        host: &str,
        path: &str,
        point: f64,
    ) -> Option<(Route, ServiceName)> {
        if self.version > own.version() {
            return Some((self.route, self.service));
        }
        let route = own.route(host, path)?;
        let is_target = route.targets.iter().any(|it| it.service == self.service && it.weight > 0);
        let service = match is_target {
            true => self.service,
            false => route.target_at(point).service.clone(),
        };
        let attempts = route.attempts.min(self.route.attempts);
        Some((Route { attempts, ..route.clone() }, service))
    }
}

/// The attempts of a call: how many upstreams may run it, and how many have, or may have.
///
/// ```
/// use medlarlug_core::gateway::handover::Attempts;
///
/// let mut attempts = Attempts::new(3);
/// attempts.ran(1);
/// assert_eq!(attempts.left(), 2);
/// attempts.use_all();
/// assert_eq!(attempts.left(), 0);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempts {
    allowed: u32,
    runs: u32,
}

impl Attempts {
    /// A call that `allowed` upstreams may run, one at least.
    pub fn new(allowed: u32) -> Attempts {
        Attempts { allowed: allowed.max(1), runs: 0 }
    }

    /// Upstreams have begun to run the call, or may have.
    pub fn ran(&mut self, upstreams: u32) {
        self.runs = self.runs.saturating_add(upstreams);
    }

    /// Another instance failed before it reported how many upstreams ran the call: it may have used
    /// every attempt.
    pub fn use_all(&mut self) {
        self.runs = self.runs.max(self.allowed);
    }

    /// Upstreams that ran the call, or may have.
    pub fn runs(self) -> u32 {
        self.runs
    }

    /// Upstreams that may still run it.
    pub fn left(self) -> u32 {
        self.allowed.saturating_sub(self.runs)
    }
}
