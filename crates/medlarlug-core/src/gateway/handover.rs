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
    /// Requests for the call that may still reach an upstream.
    pub arrivals: u32,
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

/// What an instance did with a call that another one handed to it.
///
/// Every answer to such a call carries it, whatever kind of answer it is. An answer without one, or no answer,
/// may stand for everything that was left; see [`Attempts::record_missing_report`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverReport {
    /// Upstreams that began to run the call, or may have.
    pub runs: u32,
    /// Requests that reached an upstream, refused ones included.
    pub arrivals: u32,
    /// Whether the instance promises that the call has not run, and never will by this hand-over.
    pub is_refused: bool,
}

impl HandoverReport {
    /// A call that reached no upstream and may be tried elsewhere.
    pub const REFUSED: HandoverReport = HandoverReport { runs: 0, arrivals: 0, is_refused: true };
    /// A call that the instance rejected by itself.
    pub const REJECTED: HandoverReport =
        HandoverReport { is_refused: false, ..HandoverReport::REFUSED };
}

/// The attempts of a call: how many upstreams may run it and how many requests for it may reach one, and
/// how many have, or may have.
///
/// ```
/// use medlarlug_core::gateway::handover::{Attempts, HandoverReport};
///
/// let mut attempts = Attempts::new(3, 4);
/// attempts.record_refusal();
/// attempts.record_report(HandoverReport { runs: 1, arrivals: 2, is_refused: false });
/// assert_eq!((attempts.runs_left(), attempts.arrivals_left()), (2, 1));
/// attempts.record_missing_report();
/// assert_eq!((attempts.runs_left(), attempts.arrivals_left()), (0, 0));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempts {
    allowed: u32,
    runs: u32,
    most_arrivals: u32,
    arrivals: u32,
}

impl Attempts {
    /// A call that `allowed` upstreams may run, with `most_arrivals` requests that reach one; one
    /// of each at least.
    pub fn new(allowed: u32, most_arrivals: u32) -> Attempts {
        let (allowed, most_arrivals) = (allowed.max(1), most_arrivals.max(1));
        Attempts { allowed, runs: 0, most_arrivals, arrivals: 0 }
    }

    /// An upstream has begun to run the call, or may have.
    pub fn record_run(&mut self) {
        self.record_report(HandoverReport { runs: 1, arrivals: 1, is_refused: false });
    }

    /// An upstream was reached and has not run the call.
    pub fn record_refusal(&mut self) {
        self.record_report(HandoverReport { runs: 0, arrivals: 1, is_refused: true });
    }

    /// Another instance reports what it did with the call.
    pub fn record_report(&mut self, report: HandoverReport) {
        self.runs = self.runs.saturating_add(report.runs);
        self.arrivals = self.arrivals.saturating_add(report.arrivals);
    }

    /// Another instance had the call, and what it did with it is not known: it may have used all that was
    /// left.
    pub fn record_missing_report(&mut self) {
        self.runs = self.runs.max(self.allowed);
        self.arrivals = self.arrivals.max(self.most_arrivals);
    }

    /// Upstreams that ran the call, or may have.
    pub fn runs(self) -> u32 {
        self.runs
    }

    /// Requests for the call that reached an upstream, or may have.
    pub fn arrivals(self) -> u32 {
        self.arrivals
    }

    /// Upstreams that may still run it.
    pub fn runs_left(self) -> u32 {
        self.allowed.saturating_sub(self.runs)
    }

    /// Requests that may still reach an upstream.
    pub fn arrivals_left(self) -> u32 {
        self.most_arrivals.saturating_sub(self.arrivals)
    }

    /// Whether another request may go out.
    pub fn may_send(self) -> bool {
        self.runs_left() > 0 && self.arrivals_left() > 0
    }

    /// What is told to the instance that handed the call over.
    pub fn report(self, is_refused: bool) -> HandoverReport {
        HandoverReport { runs: self.runs, arrivals: self.arrivals, is_refused }
    }
}
