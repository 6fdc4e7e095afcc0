//! The facts of a request that decide its route, and its crossing between zones as types.
//!
//! A request that a caller sent is an [`CallerRequest`]; it may be handed to one other zone, which
//! consumes it and yields a [`ForwardHeader`]. The receiver turns the header into a [`ForwardedRequest`],
//! which has no way to be handed on: a loop between zones can't be written.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    fingerprint::Fingerprint,
    ids::{AdapterId, RegionId, RequestId, TeamId, UpstreamId, ZoneId},
    membership::Target,
    release::Configuration,
    routing::residency::{ConfigurationLease, Permit, ResidencyError},
    units::Tokens,
};

/// The facts of a request that decide its route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RequestFacts {
    /// The request.
    pub id: RequestId,
    /// Whose it is.
    pub team: TeamId,
    /// What it asks for.
    pub target: Target,
    /// The adapter that it asks for.
    pub adapter: Option<AdapterId>,
    /// Estimated length of the prompt.
    pub prompt: Tokens,
    /// Fingerprints of the prompt's prefixes, the longest first.
    pub prefixes: Vec<Prefix>,
    /// Priority; a higher one goes first.
    pub priority: u8,
    /// Time that is left until the first token is of no use.
    pub deadline: Duration,
    /// Upstreams that are not to be used, sorted.
    pub excluded: Vec<UpstreamId>,
}

impl RequestFacts {
    /// Keeps the request from being sent to an upstream.
    pub fn exclude(&mut self, upstream: &UpstreamId) {
        if let Err(place) = self.excluded.binary_search(upstream) {
            self.excluded.insert(place, upstream.clone());
        }
    }
}

/// A prefix of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prefix {
    /// Fingerprint of the prefix.
    #[serde(rename = "print")]
    pub fingerprint: Fingerprint,
    /// Its length.
    pub tokens: Tokens,
}

/// A request that came from a caller, at the instance that took it in.
#[derive(Debug, Clone, PartialEq)]
pub struct CallerRequest {
    /// The facts.
    pub facts: RequestFacts,
    /// Zones that refused it as not run or can't be reached, sorted.
    pub excluded_zones: Vec<ZoneId>,
}

impl CallerRequest {
    /// A request as a caller sent it.
    pub fn new(facts: RequestFacts) -> CallerRequest {
        CallerRequest { facts, excluded_zones: Vec::new() }
    }

    /// The header under which the request crosses to another zone.
    ///
    /// The permit shows that residency was checked for the receiving region just before.
    pub fn header(&self, permit: &Permit) -> ForwardHeader {
        ForwardHeader { facts: self.facts.clone(), region: permit.region().clone() }
    }

    /// Marks a zone that refused the request as not run.
    pub fn exclude_zone(&mut self, zone: ZoneId) {
        if let Err(place) = self.excluded_zones.binary_search(&zone) {
            self.excluded_zones.insert(place, zone);
        }
    }
}

/// A request on its way between two zones.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ForwardHeader {
    facts: RequestFacts,
    region: RegionId,
}

impl ForwardHeader {
    /// The request.
    pub fn request(&self) -> &RequestId {
        &self.facts.id
    }
}

/// A request that another zone handed over; it is served in this zone or refused as not run.
#[derive(Debug, Clone, PartialEq)]
pub struct ForwardedRequest {
    facts: RequestFacts,
}

impl ForwardedRequest {
    /// Takes a request over, if it may be served in this region by the revision in force here.
    ///
    /// # Errors
    ///
    /// Fails when residency forbids `own` region, or when the request was meant for another one.
    pub fn receive(
        header: ForwardHeader,
        configuration: &Configuration,
        own: &RegionId,
    ) -> Result<ForwardedRequest, ResidencyError> {
        if header.region != *own {
            return Err(ResidencyError::Misdirected { meant: header.region, region: own.clone() });
        }
        let lease = ConfigurationLease::Valid;
        Permit::check(configuration, lease, &header.facts, own, own)?;
        Ok(ForwardedRequest { facts: header.facts })
    }

    /// Keeps the request from being sent to an upstream.
    pub fn exclude(&mut self, upstream: &UpstreamId) {
        self.facts.exclude(upstream);
    }

    /// Lets the request be sent to every upstream again.
    pub fn clear_excluded(&mut self) {
        self.facts.excluded.clear();
    }

    /// Takes time off that the request has waited.
    pub fn deduct_wait(&mut self, waited: Duration) {
        self.facts.deadline = self.facts.deadline.saturating_sub(waited);
    }

    /// The facts.
    pub fn facts(&self) -> &RequestFacts {
        &self.facts
    }
}
