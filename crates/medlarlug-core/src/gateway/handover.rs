//! A call that one region forwards to another.
//!
//! The two entry instances may hold different route tables. The instance with the newer table
//! decides how the call is routed, so that neither routes by a table older than one that it has
//! already used. The remaining attempts of the first instance bind the second in either case.

use serde::{Deserialize, Serialize};

use super::{
    software_version::SoftwareVersion,
    table::{Route, RouteTable, ServiceName, TableVersion},
    teams::TeamName,
};
use crate::fingerprint::Fingerprint;

/// How the first instance routed the call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover {
    /// Version of the table that the route is from.
    pub version: TableVersion,
    /// The route, with the number of attempts that remain.
    pub route: Route,
    /// The service that was picked by the route's weights.
    pub service: ServiceName,
    /// Requests for the call that may still reach an upstream.
    pub arrivals: u32,
    /// The software version at which the stream has to go on, if the caller has events of it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub software: Option<SoftwareVersion>,
    /// The team that the call is served for. Earlier builds skip it and send none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub team: Option<ForwardedTeam>,
}

/// The team of a forwarded call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardedTeam {
    /// Name that upstreams receive.
    pub name: TeamName,
    /// Fingerprint of the key that the call was accepted with.
    pub key: Fingerprint,
}

impl Handover {
    /// The route and service by which an instance with the table `own` serves the call; `None` if
    /// its newer table has no route for it. `point`, between 0 and 1, picks among the services of a
    /// route that no longer targets the service that was picked before.
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

/// What an instance did with a call that another instance forwarded to it.
///
/// Every answer to such a call carries a report, whatever its status. An answer without a report,
/// or no answer, may mean that all remaining attempts were used; see
/// [`Attempts::record_missing_report`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverReport {
    /// Upstreams that started to run the call, or may have.
    pub runs: u32,
    /// Requests that reached an upstream, refused ones included.
    pub arrivals: u32,
    /// Whether the instance guarantees that the call has not run, and will not run because of this
    /// forwarding.
    pub is_refused: bool,
    /// Whether it refused because it reaches no upstream of the service, so that another instance of
    /// its region may serve the call.
    #[serde(default)]
    pub lacks_path: bool,
}

impl HandoverReport {
    /// The call reached no upstream and may be tried elsewhere.
    pub const REFUSED: HandoverReport =
        HandoverReport { runs: 0, arrivals: 0, is_refused: true, lacks_path: false };
    /// The instance itself rejected the call.
    pub const REJECTED: HandoverReport =
        HandoverReport { is_refused: false, ..HandoverReport::REFUSED };
}

/// The attempts of a call: how many upstreams may run it, how many requests for it may reach one,
/// and how many have, or may have.
///
/// ```
/// use medlarlug_core::gateway::handover::{Attempts, HandoverReport};
///
/// let mut attempts = Attempts::new(3, 4);
/// attempts.record_refusal();
/// attempts.record_report(HandoverReport { runs: 1, arrivals: 2, ..HandoverReport::REJECTED });
/// assert_eq!((attempts.runs_left(), attempts.arrivals_left()), (2, 1));
/// attempts.record_missing_report();
/// assert_eq!((attempts.runs_left(), attempts.arrivals_left()), (0, 0));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempts {
    max_runs: u32,
    runs: u32,
    max_arrivals: u32,
    arrivals: u32,
}

impl Attempts {
    /// A call that `max_runs` upstreams may run, with at most `max_arrivals` requests that reach
    /// one; both are at least one.
    pub fn new(max_runs: u32, max_arrivals: u32) -> Attempts {
        let (max_runs, max_arrivals) = (max_runs.max(1), max_arrivals.max(1));
        Attempts { max_runs, runs: 0, max_arrivals, arrivals: 0 }
    }

    /// Records that an upstream has started to run the call, or may have.
    pub fn record_run(&mut self) {
        self.record_report(HandoverReport { runs: 1, arrivals: 1, ..HandoverReport::REJECTED });
    }

    /// Records that a request reached an upstream, which has not run the call.
    pub fn record_refusal(&mut self) {
        self.record_report(HandoverReport { arrivals: 1, ..HandoverReport::REFUSED });
    }

    /// Adds what another instance reports that it did with the call.
    pub fn record_report(&mut self, report: HandoverReport) {
        self.runs = self.runs.saturating_add(report.runs);
        self.arrivals = self.arrivals.saturating_add(report.arrivals);
    }

    /// Records that another instance had the call and that its report is missing: it may have used
    /// all remaining attempts.
    pub fn record_missing_report(&mut self) {
        self.runs = self.runs.max(self.max_runs);
        self.arrivals = self.arrivals.max(self.max_arrivals);
    }

    /// Upstreams that ran the call, or may have.
    pub fn runs(self) -> u32 {
        self.runs
    }

    /// Requests for the call that reached an upstream, or may have.
    pub fn arrivals(self) -> u32 {
        self.arrivals
    }

    /// Upstreams that may still run the call.
    pub fn runs_left(self) -> u32 {
        self.max_runs.saturating_sub(self.runs)
    }

    /// Requests that may still reach an upstream.
    pub fn arrivals_left(self) -> u32 {
        self.max_arrivals.saturating_sub(self.arrivals)
    }

    /// Whether another request may be sent.
    pub fn may_send(self) -> bool {
        self.runs_left() > 0 && self.arrivals_left() > 0
    }

    /// The report to the instance that forwarded the call.
    pub fn report(self, is_refused: bool) -> HandoverReport {
        HandoverReport { runs: self.runs, arrivals: self.arrivals, is_refused, lacks_path: false }
    }
}
