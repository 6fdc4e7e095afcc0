//! Chooses the best upstream of the own zone.

use std::time::Duration;

use rand::RngExt;

use crate::{
    announcement::UpstreamKind,
    fingerprint::Fingerprint,
    ids::{Incarnation, UpstreamId, VersionId},
    membership::{Target, Upstream},
    release::Configuration,
    routing::{
        destination_stats::DestinationStats,
        predict::{Prediction, predict},
        request::RequestFacts,
        residency::Permit,
        route::{Refusal, Route},
        router::{AttemptId, Candidate, Router, TargetIndex, UpstreamStats, View},
        weights::Weights,
    },
    time::Time,
    units::Tokens,
};

/// Candidates up to which all are compared; among more, a random sample of this size is compared.
const SAMPLE_SIZE: usize = 32;
/// Time over which the traffic of a returned upstream or zone ramps up.
const RAMP_DURATION: Duration = Duration::from_secs(15);
/// Time after the start of this instance from which a newly seen upstream or zone counts as
/// returned.
const STARTUP_GRACE: Duration = Duration::from_secs(5);
/// Requests in flight that a returned upstream or zone may have at the start of its ramp.
const RAMP_START_REQUESTS: f64 = 2.0;
/// Requests in flight that a returned upstream or zone may have at the end of its ramp.
const RAMP_END_REQUESTS: f64 = 32.0;
/// Shortest time that a refused caller is asked to wait before a retry.
pub(super) const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Longest time that a refused caller is asked to wait before a retry.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);
/// Share of its deadline within which the first token of a request has to be predicted, so that a
/// late one may still meet the deadline.
const ADMITTED_DEADLINE_SHARE: f64 = 0.8;
/// Seconds added to the prediction of an upstream or zone in its cool-down after a failure.
const COOLDOWN_PENALTY_SECONDS: f64 = 10.0;
/// Seconds added to the prediction of an upstream or zone that has reached the limit of its ramp.
const RAMP_PENALTY_SECONDS: f64 = 2.0;
/// Requests that each other entry instance of the zone is assumed to have sent for each request
/// that this instance sent.
const PEER_SEND_RATIO: f64 = 1.0;
/// Most seconds taken off the prediction of an upstream because the prefix hashes to it.
const RENDEZVOUS_BONUS_SECONDS: f64 = 0.6;

#[derive(Debug, Clone, Copy)]
struct Scored {
    candidate: Candidate,
    prediction: Prediction,
    score: f64,
}

impl Router {
    pub(super) fn best_local_upstream(
        &mut self,
        now: Time,
        view: View<'_>,
        facts: &RequestFacts,
    ) -> Result<Route, Refusal> {
        let own = &view.membership.own().region;
        Permit::check(view.configuration, view.lease, facts, own, own)?;
        self.refresh_index(now, view);
        let weights = Weights::of(view.configuration);
        let senders = 1.0
            + PEER_SEND_RATIO * f64::from(view.membership.accepting_entries().saturating_sub(1));
        let mut best: Option<Scored> = None;
        for (candidate, recent) in self.candidates(now, view, facts) {
            let upstream = &view.membership.all_upstreams()[candidate.upstream];
            if !is_eligible(now, upstream, facts) {
                continue;
            }
            let stats = &self.upstreams[candidate.stats].stats;
            let prediction = predict(now, facts, upstream, stats, recent, senders);
            let penalty = self.penalty(now, stats);
            let tokens = prediction.tokens.0 as f64;
            let hash = self.upstreams[candidate.stats].hash;
            let weight = if prediction.is_warm { 1.0 } else { rendezvous(facts, hash) };
            let seconds = prediction.first_token + prediction.crowding + penalty
                - RENDEZVOUS_BONUS_SECONDS * weight;
            let score = weights.score(seconds, tokens, 0.0);
            if best.is_none_or(|it| score < it.score) {
                best = Some(Scored { candidate, prediction, score });
            }
        }
        let target = facts.target.key();
        let best = best.ok_or(Refusal::NoUpstream { target, retry_after: MIN_RETRY_AFTER })?;
        let first_token = Duration::from_secs_f64(best.prediction.first_token);
        within_deadline(first_token, facts.deadline)?;
        let upstream = &view.membership.all_upstreams()[best.candidate.upstream];
        Ok(self.route(view, facts, upstream, best))
    }

    /// Candidates for the request, each with the length of the longest prefix that was recently
    /// sent to it.
    fn candidates(
        &mut self,
        now: Time,
        view: View<'_>,
        facts: &RequestFacts,
    ) -> Vec<(Candidate, Option<Tokens>)> {
        let Ok(index) = self.targets.binary_search_by(|it| it.target.cmp(&facts.target)) else {
            return Vec::new();
        };
        let all = &self.targets[index].candidates;
        let recent = self.affinity.upstreams(now, &facts.prefixes);
        let upstreams = view.membership.all_upstreams();
        let id = |it: &Candidate| &upstreams[it.upstream].announcement.id;
        let recent_of = |it: &Candidate| {
            recent.iter().find(|(upstream, _)| *upstream == id(it)).map(|(_, tokens)| *tokens)
        };
        if all.len() <= SAMPLE_SIZE {
            return all.iter().map(|it| (*it, recent_of(it))).collect();
        }
        let mut sample = Vec::with_capacity(SAMPLE_SIZE + recent.len());
        for (upstream, tokens) in &recent {
            if let Ok(found) = all.binary_search_by(|it| id(it).cmp(upstream)) {
                sample.push((all[found], Some(*tokens)));
            }
        }
        let usable = |it: &Candidate| is_eligible(now, &upstreams[it.upstream], facts);
        for _ in 0..SAMPLE_SIZE {
            let drawn = all[self.random.random_range(0..all.len())];
            sample.push((drawn, None));
        }
        if !sample.iter().any(|(it, _)| usable(it)) {
            sample.extend(all.iter().filter(|it| usable(it)).map(|it| (*it, None)));
        }
        sample
    }

    /// Whether a live upstream of the own zone serves the request, even if the request excludes it.
    pub(super) fn is_served_here(
        &mut self,
        now: Time,
        view: View<'_>,
        facts: &RequestFacts,
    ) -> bool {
        self.refresh_index(now, view);
        let Ok(index) = self.targets.binary_search_by(|it| it.target.cmp(&facts.target)) else {
            return false;
        };
        let upstreams = view.membership.all_upstreams();
        self.targets[index].candidates.iter().any(|it| serves(now, &upstreams[it.upstream], facts))
    }

    /// Seconds added to the prediction of an upstream or zone that is in a cool-down or ramps up.
    pub(super) fn penalty(&self, now: Time, stats: &DestinationStats) -> f64 {
        let cooldown = if stats.is_cooling_down(now) { COOLDOWN_PENALTY_SECONDS } else { 0.0 };
        cooldown + self.ramp_penalty(now, stats)
    }

    fn ramp_penalty(&self, now: Time, stats: &DestinationStats) -> f64 {
        let has_returned = stats.available_since > self.started_at + STARTUP_GRACE;
        let progress = (now - stats.available_since).as_secs_f64() / RAMP_DURATION.as_secs_f64();
        if !has_returned || progress >= 1.0 {
            return 0.0;
        }
        let limit = RAMP_START_REQUESTS + (RAMP_END_REQUESTS - RAMP_START_REQUESTS) * progress;
        if (stats.in_flight() as f64) < limit { 0.0 } else { RAMP_PENALTY_SECONDS }
    }

    fn route(
        &mut self,
        view: View<'_>,
        facts: &RequestFacts,
        upstream: &Upstream,
        best: Scored,
    ) -> Route {
        Route {
            attempt_id: self.next_attempt_id(),
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

    pub(super) fn next_attempt_id(&mut self) -> AttemptId {
        self.last_attempt += 1;
        AttemptId(self.last_attempt)
    }

    fn refresh_index(&mut self, now: Time, view: View<'_>) {
        let key = (view.membership.generation(), view.configuration.revision);
        if self.indexed_version == Some(key) {
            return;
        }
        let upstreams = view.membership.all_upstreams();
        let is_listed =
            |id: &UpstreamId| upstreams.binary_search_by(|it| it.announcement.id.cmp(id)).is_ok();
        self.upstreams.retain(|it| it.stats.in_flight() > 0 || is_listed(&it.id));
        for upstream in upstreams {
            let index = self.upstream_index(now, &upstream.announcement.id);
            self.reset_on_restart(now, index, upstream.announcement.incarnation);
        }
        self.targets.clear();
        for (index, upstream) in upstreams.iter().enumerate() {
            let stats = self.upstream_index(now, &upstream.announcement.id);
            for target in upstream.targets() {
                if is_served(view.configuration, upstream, &target) {
                    self.add_candidate(target, Candidate { upstream: index, stats });
                }
            }
        }
        self.indexed_version = Some(key);
    }

    /// Resets the statistics of an upstream that has restarted, since its cache is empty and its
    /// speed may differ.
    fn reset_on_restart(&mut self, now: Time, index: usize, incarnation: Incarnation) {
        let known = &mut self.upstreams[index];
        let is_restart = known.incarnation != incarnation && known.incarnation != Incarnation(0);
        known.incarnation = incarnation;
        if is_restart {
            known.stats = DestinationStats::new(now);
            self.affinity.remove(&known.id);
        }
    }

    fn add_candidate(&mut self, target: Target, candidate: Candidate) {
        match self.targets.binary_search_by(|it| it.target.cmp(&target)) {
            Ok(index) => self.targets[index].candidates.push(candidate),
            Err(index) => {
                let candidates = vec![candidate];
                self.targets.insert(index, TargetIndex { target, candidates });
            }
        }
    }

    pub(super) fn upstream_index(&mut self, now: Time, id: &UpstreamId) -> usize {
        match self.upstreams.binary_search_by(|it| it.id.cmp(id)) {
            Ok(index) => index,
            Err(index) => {
                let stats = DestinationStats::new(now);
                let hash = Fingerprint::of(id.as_str().as_bytes()).0 as u64;
                self.upstreams.insert(
                    index,
                    UpstreamStats { id: id.clone(), incarnation: Incarnation(0), hash, stats },
                );
                self.indexed_version =
                    self.indexed_version.filter(|_| index + 1 == self.upstreams.len());
                index
            }
        }
    }
}

/// Rendezvous weight between zero and one. All instances compute the same weight for a prefix and
/// an upstream, so that their requests with this prefix reach the same cache. The distribution
/// strongly favours few upstreams.
fn rendezvous(facts: &RequestFacts, upstream: u64) -> f64 {
    let Some(prefix) = facts.prefixes.last() else {
        return 0.0;
    };
    let mixed = (prefix.fingerprint.0 as u64 ^ upstream).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mixed = (mixed ^ (mixed >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    ((mixed >> 11) as f64 / (1u64 << 53) as f64).powi(4)
}

fn is_eligible(now: Time, upstream: &Upstream, facts: &RequestFacts) -> bool {
    serves(now, upstream, facts) && facts.excluded.binary_search(&upstream.announcement.id).is_err()
}

/// Whether the upstream is usable and has the adapter that the request names.
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

/// The first version in the preference order of the configuration that the upstream has loaded;
/// `None` for a plain service.
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

/// Checks that the first token is predicted early enough to meet the deadline.
pub(super) fn within_deadline(predicted: Duration, deadline: Duration) -> Result<(), Refusal> {
    let latest = deadline.mul_f64(ADMITTED_DEADLINE_SHARE);
    if predicted <= latest {
        return Ok(());
    }
    let retry_after = (predicted - latest).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
    Err(Refusal::Deadline { predicted, deadline, retry_after })
}
