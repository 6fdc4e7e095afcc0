//! The routing core: decisions, and what it learns from their outcome.

use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::{
    ids::{Incarnation, Revision, UpstreamId, ZoneId},
    membership::{Membership, Target},
    release::Configuration,
    routing::{
        affinity::Affinity,
        destination_stats::Learned,
        request::{Forwarded, Origin, RequestFacts},
        residency::ConfigurationLease,
        route::{Choice, Crossing, Departure, Refusal, Route},
    },
    time::Time,
};

/// Time without a first token after which an attempt whose end nobody told is forgotten.
const WAITING_LIFETIME: Duration = Duration::from_secs(60);
/// Time after its start at which any attempt whose end nobody told is forgotten.
const ATTEMPT_LIFETIME: Duration = Duration::from_secs(900);
/// Time between two searches for forgotten attempts.
const SWEEP_PERIOD: Duration = Duration::from_secs(1);

/// Names one attempt to serve a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// What became of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// The first token, or the first byte of a plain service's answer, arrived.
    FirstToken(Ticket),
    /// The answer is complete, or the caller went away.
    Ended(Ticket),
    /// The attempt failed.
    Failed(Ticket),
}

/// Decides where requests are served.
#[derive(Debug, Clone)]
pub struct Router {
    pub(super) started: Time,
    pub(super) random: ChaCha8Rng,
    pub(super) next: u64,
    pub(super) index: Vec<TargetIndex>,
    pub(super) indexed: Option<(u64, Revision)>,
    pub(super) upstreams: Vec<LearnedUpstream>,
    pub(super) zones: Vec<LearnedZone>,
    pub(super) affinity: Affinity,
    attempts: Vec<Attempt>,
    pub(super) left: Time,
    swept: Time,
}

/// Places of the upstreams that serve one target.
#[derive(Debug, Clone)]
pub(super) struct TargetIndex {
    pub(super) target: Target,
    pub(super) candidates: Vec<Candidate>,
}

#[derive(Debug, Clone, Copy)]
pub(super) struct Candidate {
    pub(super) upstream: usize,
    pub(super) learned: usize,
}

#[derive(Debug, Clone)]
pub(super) struct LearnedUpstream {
    pub(super) id: UpstreamId,
    pub(super) incarnation: Incarnation,
    pub(super) hash: u64,
    pub(super) learned: Learned,
}

#[derive(Debug, Clone)]
pub(super) struct LearnedZone {
    pub(super) id: ZoneId,
    pub(super) learned: Learned,
    pub(super) seen: Time,
}

#[derive(Debug, Clone)]
struct Attempt {
    ticket: Ticket,
    place: Place,
    sent: Time,
    is_waiting: bool,
}

impl Attempt {
    fn is_forgotten(&self, now: Time) -> bool {
        let lifetime = if self.is_waiting { WAITING_LIFETIME } else { ATTEMPT_LIFETIME };
        now - self.sent >= lifetime
    }
}

#[derive(Debug, Clone)]
enum Place {
    Upstream(UpstreamId),
    Zone(ZoneId),
}

/// What a decision is made on, besides the request.
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    /// Upstreams and zones.
    pub membership: &'a Membership,
    /// The configuration in force.
    pub configuration: &'a Configuration,
    /// Whether that configuration was confirmed lately.
    pub lease: ConfigurationLease,
}

impl Router {
    /// A router that has learned nothing; `seed` feeds its random draws.
    pub fn new(now: Time, seed: u64) -> Router {
        Router {
            started: now,
            random: ChaCha8Rng::seed_from_u64(seed),
            next: 0,
            index: Vec::new(),
            indexed: None,
            upstreams: Vec::new(),
            zones: Vec::new(),
            affinity: Affinity::default(),
            attempts: Vec::new(),
            left: Time::ZERO,
            swept: now,
        }
    }

    /// Decides on a request that a caller sent.
    ///
    /// # Errors
    ///
    /// Fails when residency forbids every place or every place that serves the target, when none
    /// serves it, and when the first token is predicted too late for the deadline everywhere.
    pub fn decide(
        &mut self,
        now: Time,
        view: View<'_>,
        request: &Origin,
    ) -> Result<Choice, Refusal> {
        self.sweep(now);
        let local = self.best_local(now, view, &request.facts);
        let away = self.best_zone(now, view, request);
        match (local, away) {
            (Ok(route), Ok(zone)) => Ok(self.home_or_away(now, view, route, zone)),
            (Ok(route), Err(_)) => Ok(Choice::Serve(route)),
            (Err(_), Ok(zone)) => Ok(Choice::Forward(zone)),
            (Err(home), Err(away)) => Err(self.refusal(now, view, &request.facts, home, away)),
        }
    }

    /// Decides on a request that another zone handed over: it is served here or refused.
    ///
    /// # Errors
    ///
    /// Fails as [`Router::decide`] does, for the own zone only.
    pub fn decide_forwarded(
        &mut self,
        now: Time,
        view: View<'_>,
        request: &Forwarded,
    ) -> Result<Route, Refusal> {
        self.sweep(now);
        self.best_local(now, view, request.facts())
    }

    /// Notes that a request is sent to an upstream.
    pub fn sent(&mut self, now: Time, departure: &Departure, facts: &RequestFacts) {
        let route = departure.route();
        let place = self.upstream_place(now, &route.upstream);
        let predicted = route.predicted.as_secs_f64();
        let learned = &mut self.upstreams[place].learned;
        learned.send(now, route.ticket, route.tokens, route.base, predicted);
        self.affinity.note(now, &facts.prefixes, &route.upstream);
        let place = Place::Upstream(route.upstream.clone());
        self.note_attempt(now, route.ticket, place);
    }

    /// Notes that a request is sent to another zone.
    pub fn crossed(&mut self, now: Time, crossing: &Crossing) {
        let route = crossing.route();
        let predicted = route.predicted.as_secs_f64();
        let place = self.zone_place(now, &route.zone);
        let learned = &mut self.zones[place].learned;
        learned.send(now, route.ticket, route.tokens, route.base, predicted);
        self.left = now;
        let place = Place::Zone(route.zone.clone());
        self.note_attempt(now, route.ticket, place);
    }

    /// Learns what became of an attempt.
    pub fn handle(&mut self, now: Time, event: Event) {
        let (Event::FirstToken(ticket) | Event::Ended(ticket) | Event::Failed(ticket)) = event;
        let Ok(at) = self.attempts.binary_search_by_key(&ticket, |it| it.ticket) else {
            return;
        };
        let learned = match self.attempts[at].place.clone() {
            Place::Upstream(id) => {
                let place = self.upstream_place(now, &id);
                &mut self.upstreams[place].learned
            }
            Place::Zone(id) => {
                let place = self.zone_place(now, &id);
                &mut self.zones[place].learned
            }
        };
        match event {
            Event::FirstToken(_) => learned.first_token(now, ticket),
            Event::Ended(_) => learned.end(now, ticket),
            Event::Failed(_) => learned.fail(now, ticket),
        }
        match event {
            Event::FirstToken(_) => self.attempts[at].is_waiting = false,
            Event::Ended(_) | Event::Failed(_) => {
                self.attempts.remove(at);
            }
        }
    }

    fn note_attempt(&mut self, now: Time, ticket: Ticket, place: Place) {
        let at = self.attempts.partition_point(|it| it.ticket < ticket);
        self.attempts.insert(at, Attempt { ticket, place, sent: now, is_waiting: true });
    }

    /// Takes out attempts whose end was never told, so that they don't count as overdue for good.
    fn sweep(&mut self, now: Time) {
        if now - self.swept < SWEEP_PERIOD {
            return;
        }
        self.swept = now;
        let forgotten = self.attempts.iter().filter(|it| it.is_forgotten(now));
        let forgotten: Vec<Ticket> = forgotten.map(|it| it.ticket).collect();
        for ticket in forgotten {
            self.handle(now, Event::Ended(ticket));
        }
    }

    /// Attempts that haven't ended.
    pub fn in_flight(&self) -> usize {
        self.attempts.len()
    }
}
