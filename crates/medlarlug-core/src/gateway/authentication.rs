//! Decides for which team a call is served, and by which route.
//!
//! A table with teams requires a key on every route that is not anonymous. An unknown key is rejected
//! only by an instance that has the newest table it could have: any other one asks the caller to come
//! back, because the key may have been added since.
//!
//! Of two instances that serve a forwarded call, the one with the newer table decides, as in
//! [`Handover::resolve`](super::handover::Handover::resolve). The sender has removed the key and names
//! the team with the key's fingerprint. Earlier builds name no team and pass the key on, so the
//! receiver checks it itself.

use thiserror::Error;

use super::{
    handover::ForwardedTeam,
    table::{Route, RouteTable, TableVersion},
    teams::Team,
};
use crate::{fingerprint::Fingerprint, ids::RegionId};

/// What an instance knows about the team of a call.
#[derive(Debug, Clone)]
pub struct Evidence<'a> {
    /// Fingerprint of the key that the call carries.
    pub key: Option<Fingerprint>,
    /// How the call was forwarded; `None` if it came from its caller.
    pub forwarding: Option<Forwarding>,
    /// Whether the instance is in touch with the keepers and has the newest table it knows of.
    pub is_current: bool,
    /// Region of the instance.
    pub region: &'a RegionId,
}

/// What the instance that forwarded a call knows about its team.
#[derive(Debug, Clone)]
pub struct Forwarding {
    /// Version of the table by which the call was routed.
    pub version: TableVersion,
    /// The accepted team; `None` if the route is anonymous, there are no teams, or an earlier build
    /// has forwarded the call.
    pub team: Option<ForwardedTeam>,
}

/// A team that a call is served for.
#[derive(Debug, Clone, PartialEq)]
pub struct AcceptedTeam {
    /// The team.
    pub team: Team,
    /// Fingerprint of the key that the call was accepted with.
    pub key: Fingerprint,
    /// Whether the instance that forwarded the call has charged the quota of the team.
    pub is_charged: bool,
}

/// Who a call is served for.
#[derive(Debug, Clone, PartialEq)]
pub enum Identity {
    /// There are no teams: headers are passed on as they are.
    Unchecked,
    /// The call needs no key and carries none.
    Anonymous,
    /// A team whose key was accepted.
    Team(AcceptedTeam),
}

/// A call that may be served.
#[derive(Debug, Clone, PartialEq)]
pub struct Acceptance {
    /// Who it is served for.
    pub identity: Identity,
    /// Its route, with the priority of the team, and with the home regions that the route and the team
    /// have in common.
    pub route: Route,
}

/// Why a call is not served.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum AuthenticationError {
    /// It carries no key, and its route is not anonymous.
    #[error("no key")]
    MissingKey,
    /// No team holds its key.
    #[error("unknown key")]
    UnknownKey,
    /// No team of a table that may be out of date holds its key.
    #[error("key not in a table that may be out of date")]
    Undecided,
    /// No region is a home region of both its route and its team.
    #[error("route and team have no home region in common")]
    NoCommonHome,
    /// It was forwarded to a region that may not serve it.
    #[error("not served in this region")]
    ForeignRegion,
}

impl From<AuthenticationError> for &'static str {
    /// Short name of the error, for metrics.
    fn from(error: AuthenticationError) -> &'static str {
        match error {
            AuthenticationError::MissingKey => "no_key",
            AuthenticationError::UnknownKey => "unknown_key",
            AuthenticationError::Undecided => "undecided",
            AuthenticationError::NoCommonHome => "no_common_home",
            AuthenticationError::ForeignRegion => "foreign_region",
        }
    }
}

/// Decides who a call is served for. `route` is the one by which the instance with the newer table
/// routes it.
///
/// # Errors
///
/// The call is not served, see [`AuthenticationError`].
///
/// ```
/// use medlarlug_core::gateway::{
///     authentication::{AuthenticationError, Evidence, authenticate},
///     table::{CallerLimits, RouteTable, TableVersion},
///     teams::TeamTable,
/// };
/// # use medlarlug_core::gateway::table::{Route, RouteKind};
/// # let route = Route {
/// #     name: "mend".into(), host: "kochi.example".into(), prefix: "/mend/".into(),
/// #     kind: RouteKind::Idempotent, timeout: Default::default(), objective: Default::default(),
/// #     pause: Default::default(), priority: 0, targets: vec![], attempts: 1, homes: vec![],
/// #     is_anonymous: false,
/// # };
///
/// let table = RouteTable::new(TableVersion(7), vec![], vec![], CallerLimits::default()).unwrap();
/// let table = table.with_teams(TeamTable::default());
/// let region = "kochi".parse().unwrap();
/// let evidence = Evidence { key: None, forwarding: None, is_current: true, region: &region };
/// let refused = authenticate(&table, route, evidence);
/// assert_eq!(refused, Err(AuthenticationError::MissingKey));
/// ```
pub fn authenticate(
    table: &RouteTable,
    route: Route,
    evidence: Evidence,
) -> Result<Acceptance, AuthenticationError> {
    let Evidence { key, forwarding, is_current, region } = evidence;
    let is_forwarded = forwarding.is_some();
    let is_sender_newer = forwarding.as_ref().is_some_and(|it| it.version > table.version());
    let sent = forwarding.and_then(|it| it.team);
    let acceptance = match (table.teams(), sent) {
        // The route of the sender has the priority and the home regions of the team already.
        (teams, Some(sent)) if is_sender_newer => {
            let quota = teams.and_then(|it| it.by_name(&sent.name)).and_then(|it| it.quota);
            let (priority, homes) = (Some(route.priority), route.homes.clone());
            let team = Team { name: sent.name, priority, homes, quota };
            let accepted = AcceptedTeam { team, key: sent.key, is_charged: true };
            Acceptance { identity: Identity::Team(accepted), route }
        }
        // The newer table has no teams, so the team that the sender has set no longer holds.
        (None, Some(_)) => Acceptance { identity: Identity::Anonymous, route },
        (None, None) => Acceptance { identity: Identity::Unchecked, route },
        (Some(teams), sent) => {
            let is_charged = sent.is_some();
            match sent.map(|it| it.key).or(key) {
                Some(key) => {
                    let team = teams.by_key(key).ok_or(match is_current && !is_sender_newer {
                        true => AuthenticationError::UnknownKey,
                        false => AuthenticationError::Undecided,
                    })?;
                    let route = restrict(route, team).ok_or(AuthenticationError::NoCommonHome)?;
                    let accepted = AcceptedTeam { team: team.clone(), key, is_charged };
                    Acceptance { identity: Identity::Team(accepted), route }
                }
                None if route.is_anonymous => Acceptance { identity: Identity::Anonymous, route },
                // An earlier build does not pass on whether the newer route is anonymous.
                None if is_sender_newer => return Err(AuthenticationError::Undecided),
                None => return Err(AuthenticationError::MissingKey),
            }
        }
    };
    if is_forwarded && !acceptance.route.may_be_served_in(region) {
        return Err(AuthenticationError::ForeignRegion);
    }
    Ok(acceptance)
}

/// The route with the priority of a team, and with the home regions that both have in common; `None`
/// if there are none.
fn restrict(mut route: Route, team: &Team) -> Option<Route> {
    route.priority = team.priority.unwrap_or(route.priority);
    route.restrict_homes(&team.homes).then_some(route)
}
