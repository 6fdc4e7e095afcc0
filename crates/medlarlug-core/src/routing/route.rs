//! Decisions and their life cycle: a route that was chosen, and one whose residency was checked
//! at the moment of leaving.

use std::{net::SocketAddr, time::Duration};

use thiserror::Error;

use crate::{
    ids::{InstanceId, RegionId, TeamId, UpstreamId, VersionId, ZoneId},
    refusal::Reason,
    release::{Configuration, ItemKey},
    routing::{
        request::{CallerRequest, ForwardHeader, ForwardedRequest, RequestFacts},
        residency::{ConfigurationLease, Permit, ResidencyError},
        router::AttemptId,
    },
    units::Tokens,
};

/// Where a request that a caller sent goes.
#[derive(Debug, Clone, PartialEq)]
pub enum Choice {
    /// To an upstream of the own zone.
    Serve(Route),
    /// To another zone.
    Forward(ZoneRoute),
}

/// An upstream of the own zone that was chosen.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Names the attempt in the router's events.
    pub attempt_id: AttemptId,
    /// The upstream.
    pub upstream: UpstreamId,
    /// Its address.
    pub address: SocketAddr,
    /// Version of the model; `None` for a plain service.
    pub version: Option<VersionId>,
    /// Predicted time to the first token.
    pub predicted: Duration,
    /// Whether a prefix of the prompt is expected in the cache.
    pub is_warm: bool,
    pub(super) region: RegionId,
    pub(super) tokens: Tokens,
    pub(super) base: f64,
}

/// Another zone that was chosen.
#[derive(Debug, Clone, PartialEq)]
pub struct ZoneRoute {
    /// Names the attempt in the router's events.
    pub attempt_id: AttemptId,
    /// The zone.
    pub zone: ZoneId,
    /// Its region.
    pub region: RegionId,
    /// The entry instance that takes the request over.
    pub entry: InstanceId,
    /// Predicted time to the first token, links included.
    pub predicted: Duration,
    pub(super) own: RegionId,
    pub(super) tokens: Tokens,
    pub(super) base: f64,
}

/// A request that may leave for an upstream now; sending takes it by value.
#[derive(Debug, PartialEq)]
pub struct AuthorizedRoute {
    route: Route,
    permit: Permit,
}

/// A request that may cross to another zone now; sending takes it by value.
#[derive(Debug, PartialEq)]
pub struct AuthorizedForward {
    route: ZoneRoute,
    header: ForwardHeader,
    permit: Permit,
}

/// Why a request is refused before any upstream can have begun it.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Refusal {
    /// Residency forbids it.
    #[error(transparent)]
    Residency(#[from] ResidencyError),
    /// No live upstream serves the target anywhere known, or those that do have failed it.
    #[error("no live upstream serves {target}")]
    NoUpstream {
        /// What the request asks for.
        target: ItemKey,
        /// Time after which to come back.
        retry_after: Duration,
    },
    /// The target is served only in regions where residency forbids the request.
    #[error("{target} is served only where requests of team {team} are not permitted: {regions:?}")]
    ServedElsewhere {
        /// The team.
        team: TeamId,
        /// What the request asks for.
        target: ItemKey,
        /// Regions that serve it, sorted.
        regions: Vec<RegionId>,
        /// Time after which to come back: an upstream may return to a permitted region.
        retry_after: Duration,
    },
    /// The first token is predicted too late to be sure of the deadline.
    #[error("the first token is predicted after {predicted:?}, too late for {deadline:?}")]
    Deadline {
        /// Predicted time to the first token.
        predicted: Duration,
        /// Time that was left.
        deadline: Duration,
        /// Time after which to come back.
        retry_after: Duration,
    },
}

impl Refusal {
    /// The reason that callers are told.
    pub fn reason(&self) -> Reason {
        match self {
            Refusal::Residency(_) => Reason::NotPermitted,
            Refusal::ServedElsewhere { .. } => Reason::ServedElsewhere,
            Refusal::NoUpstream { .. } => Reason::NoUpstream,
            Refusal::Deadline { .. } => Reason::Overloaded,
        }
    }

    /// Time after which to come back; `None` when coming back doesn't help.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Refusal::Residency(_) => None,
            Refusal::NoUpstream { retry_after, .. }
            | Refusal::ServedElsewhere { retry_after, .. }
            | Refusal::Deadline { retry_after, .. } => Some(*retry_after),
        }
    }
}

impl Route {
    /// Checks residency at the moment of leaving.
    ///
    /// # Errors
    ///
    /// Fails when the configuration in force doesn't permit this region.
    pub fn authorize(
        self,
        configuration: &Configuration,
        facts: &RequestFacts,
    ) -> Result<AuthorizedRoute, ResidencyError> {
        let lease = ConfigurationLease::Valid;
        let permit = Permit::check(configuration, lease, facts, &self.region, &self.region)?;
        Ok(AuthorizedRoute { route: self, permit })
    }

    /// Checks residency of a forwarded request at the moment of leaving.
    ///
    /// # Errors
    ///
    /// Fails when the configuration in force doesn't permit this region.
    pub fn authorize_forwarded(
        self,
        configuration: &Configuration,
        request: &ForwardedRequest,
    ) -> Result<AuthorizedRoute, ResidencyError> {
        self.authorize(configuration, request.facts())
    }
}

impl ZoneRoute {
    /// Checks residency at the moment of leaving.
    ///
    /// # Errors
    ///
    /// Fails when the configuration in force doesn't permit the zone's region, or when it could
    /// not be confirmed and the zone is in another region.
    pub fn authorize(
        self,
        configuration: &Configuration,
        lease: ConfigurationLease,
        request: &CallerRequest,
    ) -> Result<AuthorizedForward, ResidencyError> {
        let facts = &request.facts;
        let permit = Permit::check(configuration, lease, facts, &self.own, &self.region)?;
        let header = request.header(&permit);
        Ok(AuthorizedForward { route: self, header, permit })
    }
}

impl AuthorizedRoute {
    /// The upstream and what was predicted.
    pub fn route(&self) -> &Route {
        &self.route
    }

    /// The permit.
    pub fn permit(&self) -> &Permit {
        &self.permit
    }
}

impl AuthorizedForward {
    /// The zone and what was predicted.
    pub fn route(&self) -> &ZoneRoute {
        &self.route
    }

    /// The header that goes with the request.
    pub fn header(&self) -> &ForwardHeader {
        &self.header
    }

    /// The permit.
    pub fn permit(&self) -> &Permit {
        &self.permit
    }
}
