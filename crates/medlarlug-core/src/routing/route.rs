//! Routing decisions: the chosen route, the same route after its residency check right before
//! sending, and the reasons for a refusal.

use std::{net::SocketAddr, time::Duration};

use thiserror::Error;

use crate::{
    ids::{InstanceId, RegionId, TeamId, UpstreamId, VersionId, ZoneId},
    refusal::Reason,
    release::{Configuration, ItemKey},
    routing::{
        local::MIN_RETRY_AFTER,
        request::{CallerRequest, ForwardHeader, ForwardedRequest, RequestFacts},
        residency::{ConfigurationLease, Permit, ResidencyError},
        router::AttemptId,
    },
    units::Tokens,
};

/// The destination chosen for a request from a caller.
#[derive(Debug, Clone, PartialEq)]
pub enum Choice {
    /// The request is sent to an upstream of the own zone.
    Serve(Route),
    /// The request is forwarded to another zone, or to another instance of the own one.
    Forward(ZoneRoute),
}

/// A route to an upstream of the own zone.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Identifies the attempt in the router's events.
    pub attempt_id: AttemptId,
    /// Upstream that the request is sent to.
    pub upstream: UpstreamId,
    /// Address that the upstream announced.
    pub address: SocketAddr,
    /// Version of the model that the upstream serves; `None` for a plain service.
    pub version: Option<VersionId>,
    /// Predicted time to the first token.
    pub predicted: Duration,
    /// Whether a prefix of the prompt is expected to be cached at the upstream.
    pub is_warm: bool,
    pub(super) region: RegionId,
    pub(super) tokens: Tokens,
    pub(super) base: f64,
}

/// A route to an instance of another zone, or to another instance of the own one.
#[derive(Debug, Clone, PartialEq)]
pub struct ZoneRoute {
    /// Identifies the attempt in the router's events.
    pub attempt_id: AttemptId,
    /// Zone that the request is forwarded to.
    pub zone: ZoneId,
    /// Region of the zone, for the residency check.
    pub region: RegionId,
    /// Entry instance of the zone that receives the request.
    pub entry: InstanceId,
    /// Predicted time to the first token, including the delay of the link.
    pub predicted: Duration,
    pub(super) own: RegionId,
    pub(super) tokens: Tokens,
    pub(super) base: f64,
}

/// A route to an upstream whose residency was checked; sending the request takes it by value.
#[derive(Debug, PartialEq)]
pub struct AuthorizedRoute {
    route: Route,
    permit: Permit,
    is_forwarded: bool,
}

/// A route to another zone whose residency was checked; forwarding the request takes it by value.
#[derive(Debug, PartialEq)]
pub struct AuthorizedForward {
    route: ZoneRoute,
    header: ForwardHeader,
    permit: Permit,
}

/// Why a request is refused before any upstream can have started it.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Refusal {
    /// Residency forbids the request.
    #[error(transparent)]
    Residency(#[from] ResidencyError),
    /// No known live upstream serves the target, or those that do have failed the request.
    #[error("no live upstream serves {target}")]
    NoUpstream {
        /// Model or service that the request names.
        target: ItemKey,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
    /// The target is served only in regions where residency forbids the request.
    #[error("{target} is served only where requests of team {team} are not permitted: {regions:?}")]
    ServedElsewhere {
        /// Team of the request.
        team: TeamId,
        /// Model or service that the request names.
        target: ItemKey,
        /// Regions that serve the target, sorted.
        regions: Vec<RegionId>,
        /// Time after which the caller may retry: an upstream may return to a permitted region.
        retry_after: Duration,
    },
    /// The first token is predicted too late to meet the deadline safely.
    #[error("first token predicted after {predicted:?}, too late for the deadline of {deadline:?}")]
    Deadline {
        /// Predicted time to the first token.
        predicted: Duration,
        /// Time that was left until the deadline.
        deadline: Duration,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
}

impl Refusal {
    /// The reason that is reported to the caller.
    pub fn reason(&self) -> Reason {
        match self {
            Refusal::Residency(ResidencyError::Unconfirmed { .. }) => Reason::Unconfirmed,
            Refusal::Residency(_) => Reason::NotPermitted,
            Refusal::ServedElsewhere { .. } => Reason::ServedElsewhere,
            Refusal::NoUpstream { .. } => Reason::NoUpstream,
            Refusal::Deadline { .. } => Reason::Overloaded,
        }
    }

    /// Time after which the caller may retry; `None` when a retry can't succeed.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Refusal::Residency(ResidencyError::Unconfirmed { .. }) => Some(MIN_RETRY_AFTER),
            Refusal::Residency(_) => None,
            Refusal::NoUpstream { retry_after, .. }
            | Refusal::ServedElsewhere { retry_after, .. }
            | Refusal::Deadline { retry_after, .. } => Some(*retry_after),
        }
    }
}

impl Route {
    /// Checks residency against the configuration in force, right before the request is sent.
    ///
    /// # Errors
    ///
    /// Fails when the configuration in force doesn't permit this region, and as [`Permit::check`]
    /// does when its lease has lapsed.
    pub fn authorize(
        self,
        configuration: &Configuration,
        lease: ConfigurationLease,
        facts: &RequestFacts,
    ) -> Result<AuthorizedRoute, ResidencyError> {
        let permit = Permit::check(configuration, lease, facts, &self.region, &self.region)?;
        Ok(AuthorizedRoute { route: self, permit, is_forwarded: false })
    }

    /// Checks residency of a forwarded request, right before it is sent to the upstream. The lease of
    /// the sender, which has checked residency as well, stands for that of this instance.
    ///
    /// # Errors
    ///
    /// Fails when the configuration in force doesn't permit this region.
    pub fn authorize_forwarded(
        self,
        configuration: &Configuration,
        request: &ForwardedRequest,
    ) -> Result<AuthorizedRoute, ResidencyError> {
        let authorized =
            self.authorize(configuration, ConfigurationLease::Valid, request.facts())?;
        Ok(AuthorizedRoute { is_forwarded: true, ..authorized })
    }
}

impl ZoneRoute {
    /// Checks residency against the configuration in force, right before the request is forwarded.
    ///
    /// # Errors
    ///
    /// Fails when the configuration in force doesn't permit the zone's region, or when its lease
    /// has lapsed and the zone is in another region.
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
    /// The chosen upstream and the prediction for it.
    pub fn route(&self) -> &Route {
        &self.route
    }

    /// Proof that the upstream's region is permitted.
    pub fn permit(&self) -> &Permit {
        &self.permit
    }

    /// Checks residency again, right before the request is sent over a connection.
    ///
    /// # Errors
    ///
    /// Fails when the configuration in force doesn't permit this region any more, and as
    /// [`Permit::recheck`] does when its lease has lapsed, unless the request was forwarded.
    pub fn recheck(
        &self,
        configuration: &Configuration,
        lease: ConfigurationLease,
        facts: &RequestFacts,
    ) -> Result<(), ResidencyError> {
        let lease = if self.is_forwarded { ConfigurationLease::Valid } else { lease };
        self.permit.recheck(configuration, lease, facts, &self.route.region)
    }
}

impl AuthorizedForward {
    /// The chosen zone and the prediction for it.
    pub fn route(&self) -> &ZoneRoute {
        &self.route
    }

    /// The header that is sent with the request.
    pub fn header(&self) -> &ForwardHeader {
        &self.header
    }

    /// Proof that the zone's region is permitted.
    pub fn permit(&self) -> &Permit {
        &self.permit
    }

    /// Checks residency again, right before the request is sent over a connection.
    ///
    /// # Errors
    ///
    /// Fails when the configuration in force doesn't permit the zone's region any more, or when its
    /// lease has lapsed and the zone is in another region.
    pub fn recheck(
        &self,
        configuration: &Configuration,
        lease: ConfigurationLease,
    ) -> Result<(), ResidencyError> {
        self.permit.recheck(configuration, lease, self.header.facts(), &self.route.own)
    }
}
