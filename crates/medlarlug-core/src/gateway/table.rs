//! Routes by host and path prefix, and the services that they target.
//!
//! A table is validated once, when it is built. Every route targets a service of the table, no two
//! routes have the same host and prefix, and no route has a timeout of zero.

use std::{cmp::Reverse, fmt, str::FromStr, time::Duration};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use thiserror::Error;

use super::teams::{TeamError, TeamTable};
use crate::ids::RegionId;

/// Number that operators give to a whole table; the highest is active.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct TableVersion(pub u64);

impl fmt::Display for TableVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for TableVersion {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(TableVersion)
    }
}

/// Name of a service in a table; any text.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ServiceName(pub SmolStr);

impl fmt::Display for ServiceName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for ServiceName {
    type Err = std::convert::Infallible;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(ServiceName(text.into()))
    }
}

/// How the calls of a route may be run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// A call may run more than once.
    Idempotent,
    /// A call runs at most once.
    AtMostOnce,
    /// A call is answered by a stream of events.
    Stream {
        /// Whether another upstream may continue after the last event delivered. The call of a
        /// stream that may not be resumed runs at most once.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a call may run more than once.
    pub fn is_retryable(self) -> bool {
        match self {
            RouteKind::Idempotent => true,
            RouteKind::AtMostOnce => false,
            RouteKind::Stream { resumable } => resumable,
        }
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream { .. })
    }
}

/// The home regions of a host, to which its callers are led. A caller names no route, so it sends the
/// calls of all routes there.
///
/// These are the regions that may serve all routes that have homes; if there is none, those that may
/// serve more than half of them; else those that may serve the most.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct HostHomes {
    /// Regions that may serve equally many routes, each rank sorted. The rank with the most routes is
    /// first; there is none if no route has homes.
    pub ranks: Vec<Vec<RegionId>>,
}

impl HostHomes {
    fn of_routes(routes: &[Route]) -> HostHomes {
        let with_homes = routes.iter().filter(|it| !it.homes.is_empty());
        let count = with_homes.clone().count();
        let mut homes: Vec<&RegionId> = with_homes.flat_map(|it| &it.homes).collect();
        homes.sort();
        let mut regions: Vec<&[&RegionId]> = homes.chunk_by(|a, b| a == b).collect();
        regions.sort_by_key(|served| Reverse(served.len()));
        let most = regions.first().map_or(0, |served| served.len());
        let least = if most == count { count } else { most.min(count / 2 + 1) };
        let ranks = regions.chunk_by(|a, b| a.len() == b.len());
        let ranks = ranks.take_while(|rank| rank[0].len() >= least);
        let names = |rank: &[&[&RegionId]]| rank.iter().map(|served| served[0].clone()).collect();
        HostHomes { ranks: ranks.map(names).collect() }
    }

    /// All home regions, in order of preference.
    pub fn regions(&self) -> impl Iterator<Item = &RegionId> {
        self.ranks.iter().flatten()
    }
}

/// A service that a route targets, and its share of the route's calls.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Name of the service in the same table.
    pub service: ServiceName,
    /// Share of the calls, relative to the other targets.
    pub weight: u32,
}

/// A route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route, for log lines and error messages.
    pub name: SmolStr,
    /// Host that it serves, in lower case.
    pub host: SmolStr,
    /// Prefix of the paths that it serves; starts and ends with a slash.
    pub prefix: SmolStr,
    /// How its calls may be run.
    pub kind: RouteKind,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Latency objective: to the complete answer, or to the first event of a stream.
    pub objective: Duration,
    /// Longest pause between two events of a stream that is on time.
    pub pause: Duration,
    /// Priority of its calls; 0 is served first.
    pub priority: u8,
    /// Target services, at least one of them with a weight above zero.
    pub targets: Vec<Target>,
    /// Number of upstreams that may run one call.
    pub attempts: u32,
    /// Regions that may serve the route, sorted; all if empty.
    pub homes: Vec<RegionId>,
    /// Whether callers need no key although the table has teams.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_anonymous: bool,
}

impl Route {
    /// Whether upstreams of `region` may serve the route.
    pub fn may_be_served_in(&self, region: &RegionId) -> bool {
        self.homes.is_empty() || self.homes.binary_search(region).is_ok()
    }

    /// Restricts the route to regions that also belong to `homes`, which allows all if empty. Returns
    /// false and changes nothing if that leaves none.
    pub fn restrict_homes(&mut self, homes: &[RegionId]) -> bool {
        if homes.is_empty() {
            return true;
        }
        if self.homes.is_empty() {
            self.homes = homes.to_vec();
            self.homes.sort();
            return true;
        }
        let common = self.homes.iter().filter(|home| homes.contains(home));
        let common: Vec<RegionId> = common.cloned().collect();
        let has_common = !common.is_empty();
        if has_common {
            self.homes = common;
        }
        has_common
    }

    /// The target at `point` of the route's weights, where `point` lies between 0 and 1.
    pub fn target_at(&self, point: f64) -> &Target {
        let total: u32 = self.targets.iter().map(|target| target.weight).sum();
        let mut left = point * f64::from(total);
        for target in &self.targets {
            left -= f64::from(target.weight);
            if left < 0.0 && target.weight > 0 {
                return target;
            }
        }
        let last = self.targets.iter().rfind(|target| target.weight > 0);
        last.unwrap_or(&self.targets[0])
    }
}

/// What the table specifies about the model engines of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// Requests that an engine works on concurrently.
    pub slots: u32,
    /// Tokens that fit into an engine's memory.
    pub memory: u64,
    /// Tokens in one event of a stream; zero if the table does not say.
    pub stride: u32,
}

/// A service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name by which routes refer to it.
    pub name: ServiceName,
    /// Path of the health check of its upstreams.
    pub health: SmolStr,
    /// Connections that one upstream accepts from all callers together.
    pub connections: u32,
    /// Requests per second that a cold upstream tolerates; zero if its upstreams are never cold.
    pub cold_rate: f64,
    /// Specification of its model engines; `None` for a plain service.
    pub engine: Option<EngineSpec>,
}

/// Limits on what a caller may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Longest request head, in bytes.
    pub header_bytes: usize,
    /// Longest request body, in bytes.
    pub body_bytes: usize,
    /// Time in which the request head has to arrive.
    pub header_time: Duration,
    /// Time for which an idle connection stays open.
    pub idle_time: Duration,
}

impl Default for CallerLimits {
    fn default() -> CallerLimits {
        CallerLimits {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}

/// Why a table is invalid.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum TableError {
    /// A route targets a service that the table does not contain.
    #[error("route `{route}` leads to the unknown service `{service}`")]
    UnknownService {
        /// Name of the route.
        route: SmolStr,
        /// Name of the missing service.
        service: ServiceName,
    },
    /// Two routes have the same host and prefix.
    #[error("routes `{first}` and `{second}` share `{host}{prefix}`")]
    DuplicateRoute {
        /// Name of one route.
        first: SmolStr,
        /// Name of the other route.
        second: SmolStr,
        /// Their host.
        host: SmolStr,
        /// Their prefix.
        prefix: SmolStr,
    },
    /// The weights of a route add up to zero.
    #[error("the weights of route `{route}` add up to zero")]
    ZeroWeight {
        /// Name of the route.
        route: SmolStr,
    },
    /// A route has a timeout of zero.
    #[error("the timeout of route `{route}` is zero")]
    ZeroTimeout {
        /// Name of the route.
        route: SmolStr,
    },
    /// The teams are inconsistent.
    #[error(transparent)]
    Teams(#[from] TeamError),
    /// A prefix does not start and end with a slash.
    #[error("prefix `{prefix}` of route `{route}` has to begin and end with a slash")]
    InvalidPrefix {
        /// Name of the route.
        route: SmolStr,
        /// Rejected prefix, exactly as given in the route.
        prefix: SmolStr,
    },
}

/// All routes and services under one version.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RouteTable {
    version: TableVersion,
    /// Sorted by host and prefix.
    routes: Vec<Route>,
    /// The homes of each host, sorted by host.
    homes: Vec<(SmolStr, HostHomes)>,
    /// Sorted by name.
    services: Vec<Service>,
    limits: CallerLimits,
    teams: Option<TeamTable>,
}

impl RouteTable {
    /// Builds a table from its parts, in any order.
    ///
    /// # Errors
    ///
    /// The parts are inconsistent, see [`TableError`].
    ///
    /// ```
    /// use medlarlug_core::gateway::table::{CallerLimits, RouteTable, TableVersion};
    ///
    /// let table = RouteTable::new(TableVersion(7), vec![], vec![], CallerLimits::default())?;
    /// assert!(table.route("kochi.example", "/mend/1").is_none());
    /// # Ok::<(), medlarlug_core::gateway::table::TableError>(())
    /// ```
    pub fn new(
        version: TableVersion,
        mut routes: Vec<Route>,
        mut services: Vec<Service>,
        limits: CallerLimits,
    ) -> Result<RouteTable, TableError> {
        services.sort_by(|a, b| a.name.cmp(&b.name));
        routes.sort_by(|a, b| (&a.host, &a.prefix).cmp(&(&b.host, &b.prefix)));
        for route in &mut routes {
            route.homes.sort();
            route.homes.dedup();
            check_route(route, &services)?;
        }
        for pair in routes.windows(2) {
            if pair[0].host == pair[1].host && pair[0].prefix == pair[1].prefix {
                return Err(TableError::DuplicateRoute {
                    first: pair[0].name.clone(),
                    second: pair[1].name.clone(),
                    host: pair[0].host.clone(),
                    prefix: pair[0].prefix.clone(),
                });
            }
        }
        let hosts = routes.chunk_by(|a, b| a.host == b.host);
        let homes = hosts.map(|routes| (routes[0].host.clone(), HostHomes::of_routes(routes)));
        let homes = homes.collect();
        Ok(RouteTable { version, routes, homes, services, limits, teams: None })
    }

    /// Adds the teams whose keys callers have to present.
    pub fn with_teams(self, teams: TeamTable) -> RouteTable {
        RouteTable { teams: Some(teams), ..self }
    }

    /// The teams whose keys callers have to present; `None` if callers need no key.
    pub fn teams(&self) -> Option<&TeamTable> {
        self.teams.as_ref()
    }

    /// Number that operators gave to the table.
    pub fn version(&self) -> TableVersion {
        self.version
    }

    /// All routes, sorted by host and prefix.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// All services, sorted by name.
    pub fn services(&self) -> &[Service] {
        &self.services
    }

    /// Limits on what callers may send.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// The service with `name`.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        let at = self.services.binary_search_by(|service| service.name.cmp(name)).ok()?;
        Some(&self.services[at])
    }

    /// The route of `host` with the longest prefix that matches `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.to_ascii_lowercase();
        let slashes = path.char_indices().rev().filter(|(_, c)| *c == '/');
        for (end, _) in slashes {
            let prefix = &path[..=end];
            let found = self.routes.binary_search_by(|it| {
                (it.host.as_str(), it.prefix.as_str()).cmp(&(&host, prefix))
            });
            if let Ok(at) = found {
                return Some(&self.routes[at]);
            }
        }
        None
    }

    /// Whether a route or a team may have home regions.
    pub fn may_have_homes(&self) -> bool {
        self.teams.is_some() || self.homes.iter().any(|(_, homes)| !homes.ranks.is_empty())
    }

    /// The home regions of a host; `None` if the table has no route of it.
    ///
    /// ```
    /// use medlarlug_core::gateway::table::RouteTable;
    ///
    /// assert!(RouteTable::default().homes_of("kochi.example").is_none());
    /// ```
    pub fn homes_of(&self, host: &str) -> Option<&HostHomes> {
        let host = host.to_ascii_lowercase();
        let at = self.homes.binary_search_by(|it| it.0.as_str().cmp(&host)).ok()?;
        Some(&self.homes[at].1)
    }
}

fn check_route(route: &Route, services: &[Service]) -> Result<(), TableError> {
    let name = || route.name.clone();
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        return Err(TableError::InvalidPrefix { route: name(), prefix: route.prefix.clone() });
    }
    if route.timeout.is_zero() {
        return Err(TableError::ZeroTimeout { route: name() });
    }
    for target in &route.targets {
        if services.binary_search_by(|it| it.name.cmp(&target.service)).is_err() {
            let service = target.service.clone();
            return Err(TableError::UnknownService { route: name(), service });
        }
    }
    if route.targets.iter().all(|target| target.weight == 0) {
        return Err(TableError::ZeroWeight { route: name() });
    }
    Ok(())
}
