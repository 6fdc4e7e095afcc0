//! The best upstream of the own zone.

use std::time::Duration;

use rand::RngExt;

use crate::{
    announcement::UpstreamKind,
    fingerprint::Fingerprint,
    ids::{Incarnation, UpstreamId, VersionId},
    membership::{Target, Upstream},
    release::Configuration,
    routing::{
        destination_stats::Learned,
        predict::{Prediction, predict},
        request::RequestFacts,
        residency::Permit,
        route::{Refusal, Route},
        router::{Candidate, LearnedUpstream, Router, TargetIndex, Ticket, View},
        weights::Weights,
    },
    time::Time,
    units::Tokens,
};

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
/// Shortest time to come back after a refusal.
pub(super) const SHORTEST_RETRY: Duration = Duration::from_secs(1);
/// Longest time to come back after a refusal.
const LONGEST_RETRY: Duration = Duration::from_secs(30);
/// Share of its deadline in which a request's first token has to be predicted: a prediction that
/// comes true late would still meet the deadline.
const ADMITTED_SHARE: f64 = 0.8;
/// Seconds that are added for a place that failed lately.
const PAUSED_PENALTY: f64 = 10.0;
/// Seconds that are added for a returning place that has its share already.
const RAMP_PENALTY: f64 = 2.0;
/// Share of the own sends that each other entry instance of the zone is taken to have sent alike.
const SENDER_SHARE: f64 = 1.0;
/// Seconds that the upstream which the prefix hashes to is ahead of others.
const RENDEZVOUS_GAIN: f64 = 0.6;

#[derive(Debug, Clone, Copy)]
struct Scored {
    candidate: Candidate,
    prediction: Prediction,
    score: f64,
}

impl Router {
    pub(super) fn best_local(
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

    /// Whether a live upstream of the own zone serves the request, also one that is excluded.
    pub(super) fn is_served_here(
        &mut self,
        now: Time,
        view: View<'_>,
        facts: &RequestFacts,
    ) -> bool {
        self.refresh_index(now, view);
        let Ok(place) = self.index.binary_search_by(|it| it.target.cmp(&facts.target)) else {
            return false;
        };
        let upstreams = view.membership.all_upstreams();
        self.index[place].candidates.iter().any(|it| serves(now, &upstreams[it.upstream], facts))
    }

    /// Seconds that are added to the prediction of a paused or returning place.
    pub(super) fn penalty(&self, now: Time, learned: &Learned) -> f64 {
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

    pub(super) fn ticket(&mut self) -> Ticket {
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
            let place = self.upstream_place(now, &upstream.announcement.id);
            self.meet(now, place, upstream.announcement.incarnation);
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

    /// Forgets what was learned of an earlier incarnation: its cache and its speed are gone.
    fn meet(&mut self, now: Time, place: usize, incarnation: Incarnation) {
        let known = &mut self.upstreams[place];
        let is_restart = known.incarnation != incarnation && known.incarnation != Incarnation(0);
        known.incarnation = incarnation;
        if is_restart {
            known.learned = Learned::new(now);
            self.affinity.forget(&known.id);
        }
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

    pub(super) fn upstream_place(&mut self, now: Time, id: &UpstreamId) -> usize {
        match self.upstreams.binary_search_by(|it| it.id.cmp(id)) {
            Ok(place) => place,
            Err(place) => {
                let learned = Learned::new(now);
                let hash = Fingerprint::of(id.as_str().as_bytes()).0 as u64;
                self.upstreams.insert(
                    place,
                    LearnedUpstream { id: id.clone(), incarnation: Incarnation(0), hash, learned },
                );
                self.indexed = self.indexed.filter(|_| place + 1 == self.upstreams.len());
                place
            }
        }
    }
}

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
    serves(now, upstream, facts) && facts.excluded.binary_search(&upstream.announcement.id).is_err()
}

/// Whether a live upstream has the adapter that the request asks for.
fn serves(now: Time, upstream: &Upstream, facts: &RequestFacts) -> bool {
    upstream.is_usable(now)
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

/// Whether the first token is predicted early enough for the deadline.
pub(super) fn within_deadline(predicted: Duration, deadline: Duration) -> Result<(), Refusal> {
    let latest = deadline.mul_f64(ADMITTED_SHARE);
    if predicted <= latest {
        return Ok(());
    }
    let retry = (predicted - latest).clamp(SHORTEST_RETRY, LONGEST_RETRY);
    Err(Refusal::Deadline { predicted, deadline, retry })
}
