//! The routing core: decides on requests and updates its statistics with the outcomes.

use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::{
    ids::{Incarnation, Revision, UpstreamId, ZoneId},
    membership::{Membership, Target},
    release::Configuration,
    routing::{
        affinity::Affinity,
        destination_stats::DestinationStats,
        request::{CallerRequest, ForwardedRequest, RequestFacts},
        residency::ConfigurationLease,
        route::{AuthorizedForward, AuthorizedRoute, Choice, Refusal, Route},
    },
    time::Time,
};

/// Time after sending after which an attempt without a first token is dropped, if its end was never
/// reported.
const FIRST_TOKEN_TIMEOUT: Duration = Duration::from_secs(60);
/// Time after sending after which any attempt is dropped, if its end was never reported.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(900);
/// Time between two searches for attempts to drop.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Identifies one attempt to serve a request; unique within one router.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u64);

/// Progress of an attempt, which the embedding program reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// The first token arrived, or the first byte of the response of a plain service.
    FirstToken(AttemptId),
    /// The response is complete, or the caller disconnected.
    Ended(AttemptId),
    /// The attempt failed, which starts a cool-down of its destination.
    Failed(AttemptId),
}

/// Decides where requests are served, and keeps statistics of every destination.
#[derive(Debug, Clone)]
pub struct Router {
    pub(super) started_at: Time,
    pub(super) random: ChaCha8Rng,
    pub(super) last_attempt: u64,
    pub(super) targets: Vec<TargetIndex>,
    pub(super) indexed_version: Option<(u64, Revision)>,
    pub(super) upstreams: Vec<UpstreamStats>,
    pub(super) zones: Vec<ZoneStats>,
    pub(super) affinity: Affinity,
    attempts: Vec<Attempt>,
    pub(super) last_forward: Time,
    last_sweep: Time,
}

/// Upstreams that serve one target.
#[derive(Debug, Clone)]
pub(super) struct TargetIndex {
    pub(super) target: Target,
    pub(super) candidates: Vec<Candidate>,
}

#[derive(Debug, Clone, Copy)]
pub(super) struct Candidate {
    // Index into the upstreams of the membership.
    pub(super) upstream: usize,
    pub(super) stats: usize,
}

#[derive(Debug, Clone)]
pub(super) struct UpstreamStats {
    pub(super) id: UpstreamId,
    pub(super) incarnation: Incarnation,
    pub(super) hash: u64,
    pub(super) stats: DestinationStats,
}

#[derive(Debug, Clone)]
pub(super) struct ZoneStats {
    pub(super) id: ZoneId,
    pub(super) stats: DestinationStats,
    pub(super) last_usable: Time,
}

#[derive(Debug, Clone)]
struct Attempt {
    attempt_id: AttemptId,
    destination: Destination,
    sent_at: Time,
    awaits_token: bool,
}

impl Attempt {
    fn is_expired(&self, now: Time) -> bool {
        let lifetime = if self.awaits_token { FIRST_TOKEN_TIMEOUT } else { ATTEMPT_TIMEOUT };
        now - self.sent_at >= lifetime
    }
}

#[derive(Debug, Clone)]
enum Destination {
    Upstream(UpstreamId),
    Zone(ZoneId),
}

/// The state that a decision is based on, besides the request.
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    /// Known upstreams of the own zone, and other zones.
    pub membership: &'a Membership,
    /// The configuration in force.
    pub configuration: &'a Configuration,
    /// Whether that configuration was confirmed within its lease.
    pub lease: ConfigurationLease,
}

impl Router {
    /// Creates a router without statistics; `seed` initializes its random number generator.
    pub fn new(now: Time, seed: u64) -> Router {
        Router {
            started_at: now,
            random: ChaCha8Rng::seed_from_u64(seed),
            last_attempt: 0,
            targets: Vec::new(),
            indexed_version: None,
            upstreams: Vec::new(),
            zones: Vec::new(),
            affinity: Affinity::default(),
            attempts: Vec::new(),
            last_forward: Time::ZERO,
            last_sweep: now,
        }
    }

    /// Decides on a request from a caller.
    ///
    /// # Errors
    ///
    /// Fails when residency forbids every destination or every one that serves the target, when
    /// none serves it, and when the first token is predicted too late for the deadline everywhere.
    pub fn decide(
        &mut self,
        now: Time,
        view: View<'_>,
        request: &CallerRequest,
    ) -> Result<Choice, Refusal> {
        self.sweep(now);
        let local = self.best_local_upstream(now, view, &request.facts);
        let remote = self.best_remote_zone(now, view, request);
        match (local, remote) {
            (Ok(route), Ok(zone)) => Ok(self.local_or_remote(now, view, route, zone)),
            (Ok(route), Err(_)) => Ok(Choice::Serve(route)),
            (Err(_), Ok(zone)) => Ok(Choice::Forward(zone)),
            (Err(local), Err(remote)) => {
                Err(self.refusal(now, view, &request.facts, local, remote))
            }
        }
    }

    /// Decides on a request that another zone forwarded: it is served in the own zone or refused. The
    /// sender had a valid lease of the configuration, or was in this region.
    ///
    /// # Errors
    ///
    /// Fails as [`Router::decide`] does, for the own zone only.
    pub fn decide_forwarded(
        &mut self,
        now: Time,
        view: View<'_>,
        request: &ForwardedRequest,
    ) -> Result<Route, Refusal> {
        self.sweep(now);
        let view = View { lease: ConfigurationLease::Valid, ..view };
        self.best_local_upstream(now, view, request.facts())
    }

    /// Records that a request is sent to an upstream.
    pub fn record_sent(&mut self, now: Time, authorized: &AuthorizedRoute, facts: &RequestFacts) {
        let route = authorized.route();
        let index = self.upstream_index(now, &route.upstream);
        let predicted = route.predicted.as_secs_f64();
        let stats = &mut self.upstreams[index].stats;
        stats.record_sent(now, route.attempt_id, route.tokens, route.base, predicted);
        self.affinity.record(now, &facts.prefixes, &route.upstream);
        let destination = Destination::Upstream(route.upstream.clone());
        self.add_attempt(now, route.attempt_id, destination);
    }

    /// Records that a request is forwarded to another zone.
    pub fn record_forwarded(&mut self, now: Time, authorized: &AuthorizedForward) {
        let route = authorized.route();
        let predicted = route.predicted.as_secs_f64();
        let index = self.zone_index(now, &route.zone);
        let stats = &mut self.zones[index].stats;
        stats.record_sent(now, route.attempt_id, route.tokens, route.base, predicted);
        self.last_forward = now;
        let destination = Destination::Zone(route.zone.clone());
        self.add_attempt(now, route.attempt_id, destination);
    }

    /// Updates the statistics with the outcome of an attempt; unknown attempts are ignored.
    pub fn handle(&mut self, now: Time, event: Event) {
        let (Event::FirstToken(attempt_id) | Event::Ended(attempt_id) | Event::Failed(attempt_id)) =
            event;
        let Ok(at) = self.attempts.binary_search_by_key(&attempt_id, |it| it.attempt_id) else {
            return;
        };
        let stats = match self.attempts[at].destination.clone() {
            Destination::Upstream(id) => {
                let index = self.upstream_index(now, &id);
                &mut self.upstreams[index].stats
            }
            Destination::Zone(id) => {
                let index = self.zone_index(now, &id);
                &mut self.zones[index].stats
            }
        };
        match event {
            Event::FirstToken(_) => stats.record_first_token(now, attempt_id),
            Event::Ended(_) => stats.record_end(now, attempt_id),
            Event::Failed(_) => stats.record_failure(now, attempt_id),
        }
        match event {
            Event::FirstToken(_) => self.attempts[at].awaits_token = false,
            Event::Ended(_) | Event::Failed(_) => {
                self.attempts.remove(at);
            }
        }
    }

    fn add_attempt(&mut self, now: Time, attempt_id: AttemptId, destination: Destination) {
        let at = self.attempts.partition_point(|it| it.attempt_id < attempt_id);
        self.attempts
            .insert(at, Attempt { attempt_id, destination, sent_at: now, awaits_token: true });
    }

    /// Drops attempts whose end was never reported, so that they don't count as overdue forever.
    fn sweep(&mut self, now: Time) {
        if now - self.last_sweep < SWEEP_INTERVAL {
            return;
        }
        self.last_sweep = now;
        let expired = self.attempts.iter().filter(|it| it.is_expired(now));
        let expired: Vec<AttemptId> = expired.map(|it| it.attempt_id).collect();
        for attempt_id in expired {
            self.handle(now, Event::Ended(attempt_id));
        }
    }

    /// Number of attempts that haven't ended.
    pub fn in_flight(&self) -> usize {
        self.attempts.len()
    }
}
