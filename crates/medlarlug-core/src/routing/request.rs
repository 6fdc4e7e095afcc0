//! The properties of a request that decide its route, and the types of requests that are forwarded
//! between zones.
//!
//! A request from a caller is a [`CallerRequest`]. It may be forwarded to one other zone, under a
//! [`ForwardHeader`]. The receiver turns the header into a [`ForwardedRequest`], which has no
//! method to forward it again, so the types rule out a forwarding loop.

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

/// The properties of a request that decide its route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RequestFacts {
    /// Id of the request, under which its attempts are recorded.
    pub id: RequestId,
    /// The team that sent it.
    pub team: TeamId,
    /// The model or service that it names.
    pub target: Target,
    /// The adapter that it names, if any.
    pub adapter: Option<AdapterId>,
    /// Estimated length of the prompt.
    pub prompt: Tokens,
    /// Prefixes of the prompt, the longest first.
    pub prefixes: Vec<Prefix>,
    /// Priority; requests with a higher one are served first.
    pub priority: u8,
    /// Time that is left for the first token to arrive.
    pub deadline: Duration,
    /// Upstreams that must not be used, sorted.
    pub excluded: Vec<UpstreamId>,
}

impl RequestFacts {
    /// Adds an upstream to those that must not be used.
    pub fn exclude(&mut self, upstream: &UpstreamId) {
        if let Err(index) = self.excluded.binary_search(upstream) {
            self.excluded.insert(index, upstream.clone());
        }
    }
}

/// A prefix of a prompt, by which cached work is recognized.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prefix {
    /// Fingerprint of the bytes of the prefix.
    #[serde(rename = "print")]
    pub fingerprint: Fingerprint,
    /// Length of the prefix, estimated from its bytes.
    pub tokens: Tokens,
}

/// A request from a caller, at the instance that received it.
#[derive(Debug, Clone, PartialEq)]
pub struct CallerRequest {
    /// The properties that decide its route.
    pub facts: RequestFacts,
    /// Zones that refused it without running it or can't be reached, sorted.
    pub excluded_zones: Vec<ZoneId>,
}

impl CallerRequest {
    /// A request that no zone has refused yet.
    pub fn new(facts: RequestFacts) -> CallerRequest {
        CallerRequest { facts, excluded_zones: Vec::new() }
    }

    /// The header under which the request is forwarded to another zone.
    ///
    /// The permit proves that residency was checked for the region of the receiver.
    pub fn header(&self, permit: &Permit) -> ForwardHeader {
        ForwardHeader { facts: self.facts.clone(), region: permit.region().clone() }
    }

    /// Adds a zone to those that refused the request without running it or can't be reached.
    pub fn exclude_zone(&mut self, zone: ZoneId) {
        if let Err(index) = self.excluded_zones.binary_search(&zone) {
            self.excluded_zones.insert(index, zone);
        }
    }
}

/// A request that is forwarded from one zone to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ForwardHeader {
    facts: RequestFacts,
    region: RegionId,
}

impl ForwardHeader {
    /// Id of the request.
    pub fn request(&self) -> &RequestId {
        &self.facts.id
    }

    pub(super) fn facts(&self) -> &RequestFacts {
        &self.facts
    }
}

/// A request that another zone forwarded. It is served in this zone or refused as not run, never
/// forwarded again.
#[derive(Debug, Clone, PartialEq)]
pub struct ForwardedRequest {
    facts: RequestFacts,
}

impl ForwardedRequest {
    /// Accepts a forwarded request if the configuration in force here permits it in this region.
    ///
    /// # Errors
    ///
    /// Fails when residency forbids the region `own`, or when the sender meant another region.
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

    /// Adds an upstream to those that must not be used.
    pub fn exclude(&mut self, upstream: &UpstreamId) {
        self.facts.exclude(upstream);
    }

    /// Clears the excluded upstreams, so that the request may be sent to all of them again.
    pub fn clear_excluded(&mut self) {
        self.facts.excluded.clear();
    }

    /// Deducts the time that the request has waited here from its deadline.
    pub fn deduct_wait(&mut self, waited: Duration) {
        self.facts.deadline = self.facts.deadline.saturating_sub(waited);
    }

    /// The properties that decide its route.
    pub fn facts(&self) -> &RequestFacts {
        &self.facts
    }
}
