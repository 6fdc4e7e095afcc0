//! The routing core: decisions, and what it learns from their outcome.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    announcement::UpstreamKind,
    fingerprint::Fingerprint,
    ids::{Revision, UpstreamId, VersionId, ZoneId},
    membership::{Membership, Row, Target, Upstream, load::PROMPT_SPEED},
    release::Configuration,
    routing::{
        affinity::Affinity,
        learned::Learned,
        predict::{Prediction, predict},
        request::{Forwarded, Origin, RequestFacts},
        residency::{ConfigurationLease, Permit},
        route::{Choice, Crossing, Departure, Refusal, Route, ZoneRoute},
        weights::Weights,
    },
    time::Time,
    units::Tokens,
};

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

/// Upstreams that are compared at most; beyond that a sample is drawn.
const SAMPLE: usize = 32;
/// Time over which a returned upstream or zone takes up its full share.
const RAMP: Duration = Duration::from_secs(15);
/// Time after the own start from which newly seen places count as returned ones.
const WARM_UP: Duration = Duration::from_secs(5);
/// Requests that a returned place is given at once at the start of its ramp.
const RAMP_START: f64 = 2.0;
/// Requests in flight at which a ramp ends.
const RAMP_END: f64 = 32.0;
/// Share of the policy's deadline by which another zone has to be faster before a request leaves.
const AWAY_GAIN: f64 = 0.3;
/// The share once requests leave, smaller so that the choice doesn't flap.
const AWAY_STAY: f64 = 0.25;
/// Time for which the choice counts as leaving after the last request that left.
const AWAY_MEMORY: Duration = Duration::from_secs(2);
/// Shortest time to come back after a refusal.
const SHORTEST_RETRY: Duration = Duration::from_secs(1);
/// Longest time to come back after a refusal.
const LONGEST_RETRY: Duration = Duration::from_secs(30);

/// Decides where requests are served.
#[derive(Debug, Clone)]
pub struct Router {
    started: Time,
    random: ChaCha8Rng,
    next: u64,
    index: Vec<TargetIndex>,
    indexed: Option<(u64, Revision)>,
    upstreams: Vec<LearnedUpstream>,
    zones: Vec<LearnedZone>,
    affinity: Affinity,
    attempts: Vec<Attempt>,
    left: Time,
}

/// Places of the upstreams that serve one target.
#[derive(Debug, Clone)]
struct TargetIndex {
    target: Target,
    candidates: Vec<Candidate>,
}

#[derive(Debug, Clone, Copy)]
struct Candidate {
    upstream: usize,
    learned: usize,
}

#[derive(Debug, Clone)]
struct LearnedUpstream {
    id: UpstreamId,
    hash: u64,
    learned: Learned,
}

#[derive(Debug, Clone)]
struct LearnedZone {
    id: ZoneId,
    learned: Learned,
    seen: Time,
}

#[derive(Debug, Clone)]
struct Attempt {
    ticket: Ticket,
    place: Place,
}

#[derive(Debug, Clone)]
enum Place {
    Upstream(UpstreamId),
    Zone(ZoneId),
}

#[derive(Debug, Clone, Copy)]
struct Scored {
    candidate: Candidate,
    prediction: Prediction,
    score: f64,
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
        }
    }

    /// Decides on a request that a caller sent.
    ///
    /// # Errors
    ///
    /// Fails when residency forbids every place, when none serves the target, and when the first
    /// token would come after the deadline everywhere.
    pub fn decide(
        &mut self,
        now: Time,
        view: View<'_>,
        request: &Origin,
    ) -> Result<Choice, Refusal> {
        let local = self.best_local(now, view, &request.facts);
        let away = self.best_zone(now, view, request);
        match (local, away) {
            (Ok(route), Some(zone)) => Ok(self.home_or_away(now, view, route, zone)),
            (Ok(route), None) => Ok(Choice::Serve(route)),
            (Err(_), Some(zone)) => Ok(Choice::Forward(zone)),
            (Err(refusal), None) => Err(refusal),
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
        self.note_attempt(route.ticket, place);
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
        self.note_attempt(route.ticket, place);
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
            Event::Ended(_) => learned.end(ticket),
            Event::Failed(_) => learned.fail(now, ticket),
        }
        if !matches!(event, Event::FirstToken(_)) {
            self.attempts.remove(at);
        }
    }

    fn note_attempt(&mut self, ticket: Ticket, place: Place) {
        let at = self.attempts.partition_point(|it| it.ticket < ticket);
        self.attempts.insert(at, Attempt { ticket, place });
    }

    /// Attempts that haven't ended.
    pub fn in_flight(&self) -> usize {
        self.attempts.len()
    }
}

/// Upstreams of the own zone.
impl Router {
    fn best_local(
        &mut self,
        now: Time,
        view: View<'_>,
        facts: &RequestFacts,
    ) -> Result<Route, Refusal> {
        let own = &view.membership.own().region;
        Permit::check(view.configuration, view.lease, facts, own, own)?;
        self.refresh_index(now, view);
        let weights = Weights::of(view.configuration);
        let senders =
            1.0 + SENDER_SHARE * f64::from(view.membership.open_entries().saturating_sub(1));
        let mut best: Option<Scored> = None;
        for (candidate, recent) in self.candidates(now, view, facts) {
            let upstream = &view.membership.all_upstreams()[candidate.upstream];
            if !is_eligible(now, upstream, facts) {
                continue;
            }
            let learned = &self.upstreams[candidate.learned].learned;
            let prediction = predict(now, facts, upstream, learned, recent, senders);
            let penalty = self.penalty(now, learned);
            let work = prediction.tokens.0 as f64;
            let hash = self.upstreams[candidate.learned].hash;
            let draw = if prediction.is_warm { 1.0 } else { rendezvous(facts, hash) };
            let seconds =
                prediction.first_token + prediction.crowding + penalty - RENDEZVOUS_GAIN * draw;
            let score = weights.score(seconds, work, 0.0);
            if best.is_none_or(|it| score < it.score) {
                best = Some(Scored { candidate, prediction, score });
            }
        }
        let target = facts.target.key();
        let best = best.ok_or(Refusal::NoUpstream { target, retry: SHORTEST_RETRY })?;
        let first_token = Duration::from_secs_f64(best.prediction.first_token);
        within_deadline(first_token, facts.deadline)?;
        let upstream = &view.membership.all_upstreams()[best.candidate.upstream];
        Ok(self.route(view, facts, upstream, best))
    }

    /// Candidates, and the length of a prefix that was sent to each lately.
    fn candidates(
        &mut self,
        now: Time,
        view: View<'_>,
        facts: &RequestFacts,
    ) -> Vec<(Candidate, Option<Tokens>)> {
        let Ok(place) = self.index.binary_search_by(|it| it.target.cmp(&facts.target)) else {
            return Vec::new();
        };
        let all = &self.index[place].candidates;
        let recent = self.affinity.upstreams(now, &facts.prefixes);
        let upstreams = view.membership.all_upstreams();
        let id = |it: &Candidate| &upstreams[it.upstream].announcement.id;
        let recent_of = |it: &Candidate| {
            recent.iter().find(|(upstream, _)| *upstream == id(it)).map(|(_, tokens)| *tokens)
        };
        if all.len() <= SAMPLE {
            return all.iter().map(|it| (*it, recent_of(it))).collect();
        }
        let mut sample = Vec::with_capacity(SAMPLE + recent.len());
        for (upstream, tokens) in &recent {
            if let Ok(found) = all.binary_search_by(|it| id(it).cmp(upstream)) {
                sample.push((all[found], Some(*tokens)));
            }
        }
        let usable = |it: &Candidate| is_eligible(now, &upstreams[it.upstream], facts);
        for _ in 0..SAMPLE {
            let drawn = all[self.random.random_range(0..all.len())];
            sample.push((drawn, None));
        }
        if !sample.iter().any(|(it, _)| usable(it)) {
            sample.extend(all.iter().filter(|it| usable(it)).map(|it| (*it, None)));
        }
        sample
    }

    /// Seconds that are added to the prediction of a paused or returning place.
    fn penalty(&self, now: Time, learned: &Learned) -> f64 {
        let pause = if learned.is_paused(now) { PAUSED_PENALTY } else { 0.0 };
        pause + self.ramp_penalty(now, learned)
    }

    fn ramp_penalty(&self, now: Time, learned: &Learned) -> f64 {
        let is_return = learned.since > self.started + WARM_UP;
        let progress = (now - learned.since).as_secs_f64() / RAMP.as_secs_f64();
        if !is_return || progress >= 1.0 {
            return 0.0;
        }
        let limit = RAMP_START + (RAMP_END - RAMP_START) * progress;
        if (learned.in_flight() as f64) < limit { 0.0 } else { RAMP_PENALTY }
    }

    fn route(
        &mut self,
        view: View<'_>,
        facts: &RequestFacts,
        upstream: &Upstream,
        best: Scored,
    ) -> Route {
        Route {
            ticket: self.ticket(),
            upstream: upstream.announcement.id.clone(),
            address: upstream.announcement.address,
            version: version(view.configuration, upstream, &facts.target),
            predicted: Duration::from_secs_f64(best.prediction.first_token),
            is_warm: best.prediction.is_warm,
            region: view.membership.own().region.clone(),
            tokens: best.prediction.tokens,
            base: best.prediction.base,
        }
    }

    fn ticket(&mut self) -> Ticket {
        self.next += 1;
        Ticket(self.next)
    }

    fn refresh_index(&mut self, now: Time, view: View<'_>) {
        let key = (view.membership.generation(), view.configuration.revision);
        if self.indexed == Some(key) {
            return;
        }
        let upstreams = view.membership.all_upstreams();
        let is_known =
            |id: &UpstreamId| upstreams.binary_search_by(|it| it.announcement.id.cmp(id)).is_ok();
        self.upstreams.retain(|it| it.learned.in_flight() > 0 || is_known(&it.id));
        for upstream in upstreams {
            self.upstream_place(now, &upstream.announcement.id);
        }
        self.index.clear();
        for (place, upstream) in upstreams.iter().enumerate() {
            let learned = self.upstream_place(now, &upstream.announcement.id);
            for target in upstream.targets() {
                if is_served(view.configuration, upstream, &target) {
                    self.add_candidate(target, Candidate { upstream: place, learned });
                }
            }
        }
        self.indexed = Some(key);
    }

    fn add_candidate(&mut self, target: Target, candidate: Candidate) {
        match self.index.binary_search_by(|it| it.target.cmp(&target)) {
            Ok(place) => self.index[place].candidates.push(candidate),
            Err(place) => {
                let candidates = vec![candidate];
                self.index.insert(place, TargetIndex { target, candidates });
            }
        }
    }

    fn upstream_place(&mut self, now: Time, id: &UpstreamId) -> usize {
        match self.upstreams.binary_search_by(|it| it.id.cmp(id)) {
            Ok(place) => place,
            Err(place) => {
                let learned = Learned::new(now);
                let hash = Fingerprint::of(id.as_str().as_bytes()).0 as u64;
                self.upstreams.insert(place, LearnedUpstream { id: id.clone(), hash, learned });
                self.indexed = self.indexed.filter(|_| place + 1 == self.upstreams.len());
                place
            }
        }
    }
}

/// Other zones.
impl Router {
    fn best_zone(&mut self, now: Time, view: View<'_>, request: &Origin) -> Option<ZoneRoute> {
        let facts = &request.facts;
        let own = view.membership.own();
        let weights = Weights::of(view.configuration);
        let mut best: Option<(f64, ZoneRoute)> = None;
        for zone in view.membership.zones() {
            if request.refused.binary_search(&zone.zone).is_ok() || zone.entries.is_empty() {
                continue;
            }
            let Some(row) = zone.row(now, &facts.target).filter(|it| it.summary.upstreams > 0)
            else {
                continue;
            };
            let region = &zone.region;
            if Permit::check(view.configuration, view.lease, facts, &own.region, region).is_err() {
                continue;
            }
            let place = self.zone_place(now, &zone.zone);
            self.see_zone(now, place);
            let learned = &self.zones[place].learned;
            let link = weights.link(view.configuration, &own.region, region);
            let forecast = zone_forecast(facts, row, learned);
            let base = forecast.base + 2.0 * link.delay;
            let first_token = base * learned.bias(now) + learned.overdue(now);
            let penalty = self.penalty(now, learned);
            let score = weights.score(first_token + penalty, forecast.tokens.0 as f64, link.price);
            let predicted = Duration::from_secs_f64(first_token);
            let is_in_time = within_deadline(predicted, facts.deadline).is_ok();
            if is_in_time && best.as_ref().is_none_or(|(least, _)| score < *least) {
                let entry =
                    zone.entries[self.random.random_range(0..zone.entries.len())].id.clone();
                let route = ZoneRoute {
                    ticket: Ticket(0),
                    zone: zone.zone.clone(),
                    region: region.clone(),
                    entry,
                    predicted,
                    own: own.region.clone(),
                    tokens: forecast.tokens,
                    base,
                };
                best = Some((score, route));
            }
        }
        let (_, mut route) = best?;
        route.ticket = self.ticket();
        Some(route)
    }

    /// Keeps a request at home unless another zone is faster by a margin, which is smaller while
    /// requests leave already.
    fn home_or_away(&self, now: Time, view: View<'_>, home: Route, away: ZoneRoute) -> Choice {
        let weights = Weights::of(view.configuration);
        let own = view.membership.own();
        let is_leaving = self.left > Time::ZERO && now - self.left < AWAY_MEMORY;
        let share = if is_leaving { AWAY_STAY } else { AWAY_GAIN };
        let margin = share * weights.deadline;
        let link = weights.link(view.configuration, &own.region, &away.region);
        let stay = weights.score(home.predicted.as_secs_f64(), home.tokens.0 as f64, 0.0);
        let leave = weights.score(away.predicted.as_secs_f64(), away.tokens.0 as f64, 0.0);
        let margin = weights.score(margin, 0.0, 0.0).max(weights.score(0.0, 0.0, link.price));
        let leave = leave + margin;
        if leave < stay { Choice::Forward(away) } else { Choice::Serve(home) }
    }

    fn zone_place(&mut self, now: Time, id: &ZoneId) -> usize {
        match self.zones.binary_search_by(|it| it.id.cmp(id)) {
            Ok(place) => place,
            Err(place) => {
                let learned = Learned::new(now);
                self.zones.insert(place, LearnedZone { id: id.clone(), learned, seen: now });
                place
            }
        }
    }

    /// Starts a ramp when the zone was not usable for a while.
    fn see_zone(&mut self, now: Time, place: usize) {
        let zone = &mut self.zones[place];
        if now - zone.seen > ZONE_GAP {
            zone.learned.since = now;
        }
        zone.seen = now;
    }
}

/// Seconds that are added for a place that failed lately.
const PAUSED_PENALTY: f64 = 10.0;
/// Seconds that are added for a returning place that has its share already.
const RAMP_PENALTY: f64 = 2.0;
/// Time without being a candidate after which a zone counts as returned.
const ZONE_GAP: Duration = Duration::from_secs(10);

struct ZoneForecast {
    base: f64,
    tokens: Tokens,
}

fn zone_forecast(facts: &RequestFacts, row: &Row, learned: &Learned) -> ZoneForecast {
    let summary = &row.summary;
    let since = learned.sent_since(row.made);
    let upstreams = f64::from(summary.upstreams.max(1));
    let excess = f64::from(since.requests) - f64::from(summary.free);
    let waiting = summary.queueing.duration().as_secs_f64()
        + excess.max(0.0) * SLOT_SECONDS / upstreams
        + since.tokens as f64 / upstreams / PROMPT_SPEED;
    let warm = facts.prefixes.iter().find(|it| summary.warm.contains(it.print));
    let saved = warm.map_or(0.0, |it| it.tokens.0 as f64 * SKETCH_TRUST);
    let tokens = Tokens(facts.prompt.0.saturating_sub(saved as u64));
    ZoneForecast { base: waiting + tokens.0 as f64 / PROMPT_SPEED, tokens }
}

/// Seconds by which each request beyond a zone's free slots delays the next, per upstream.
const SLOT_SECONDS: f64 = 0.25;
/// Share of a prefix in a zone's sketch that is counted on.
const SKETCH_TRUST: f64 = 0.5;

/// Share of the own sends that each other entry instance of the zone is taken to have sent alike.
const SENDER_SHARE: f64 = 0.5;
/// Seconds that the upstream which the prefix hashes to is ahead of others.
const RENDEZVOUS_GAIN: f64 = 0.6;

/// A draw between zero and one that every instance makes alike for a prefix and an upstream, so
/// that their requests with one prefix meet in one cache. It favours few upstreams strongly.
fn rendezvous(facts: &RequestFacts, upstream: u64) -> f64 {
    let Some(prefix) = facts.prefixes.last() else {
        return 0.0;
    };
    let mixed = (prefix.print.0 as u64 ^ upstream).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mixed = (mixed ^ (mixed >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    ((mixed >> 11) as f64 / (1u64 << 53) as f64).powi(4)
}

fn is_eligible(now: Time, upstream: &Upstream, facts: &RequestFacts) -> bool {
    upstream.is_usable(now)
        && facts.excluded.binary_search(&upstream.announcement.id).is_err()
        && facts.adapter.as_ref().is_none_or(|it| upstream.has_adapter(&facts.target, it))
}

fn is_served(configuration: &Configuration, upstream: &Upstream, target: &Target) -> bool {
    match target {
        Target::Model(_) => version(configuration, upstream, target).is_some(),
        Target::Service(id) => configuration.service(id).is_some(),
    }
}

/// The version that an upstream would serve a model with: the most preferred one it has loaded.
fn version(
    configuration: &Configuration,
    upstream: &Upstream,
    target: &Target,
) -> Option<VersionId> {
    let Target::Model(id) = target else {
        return None;
    };
    let UpstreamKind::Engine { models } = &upstream.announcement.kind else {
        return None;
    };
    let has =
        |version: &&VersionId| models.iter().any(|it| it.model == *id && it.version == **version);
    configuration.model(id)?.versions.iter().find(has).cloned()
}

fn within_deadline(predicted: Duration, deadline: Duration) -> Result<(), Refusal> {
    if predicted <= deadline {
        return Ok(());
    }
    let retry = (predicted - deadline).clamp(SHORTEST_RETRY, LONGEST_RETRY);
    Err(Refusal::Deadline { predicted, deadline, retry })
}
