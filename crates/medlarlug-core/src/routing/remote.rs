//! Chooses the best other zone, or another instance of the own one, and decides whether a request is
//! forwarded to it.

use std::time::Duration;

use rand::RngExt;

use crate::{
    ids::{InstanceId, ZoneId},
    membership::{Row, load::PREFILL_TOKENS_PER_SECOND},
    routing::{
        destination_stats::DestinationStats,
        local::{MIN_RETRY_AFTER, within_deadline},
        request::{CallerRequest, RequestFacts},
        residency::Permit,
        route::{Choice, Refusal, Route, ZoneRoute},
        router::{AttemptId, Router, View, ZoneStats},
        weights::Weights,
    },
    time::Time,
    units::Tokens,
};

/// Share of the policy's deadline by which another zone has to be faster than the own one before
/// requests are forwarded.
const REMOTE_MARGIN: f64 = 0.12;
/// That share while requests are already forwarded; it is smaller, so that the decision doesn't
/// oscillate.
const REMOTE_MARGIN_WHILE_FORWARDING: f64 = 0.09;
/// Added to the share for a request whose prefix is cached in the own zone. Such a request costs
/// less there than elsewhere, so requests without a cached prefix are forwarded first.
const WARM_PREFIX_MARGIN: f64 = 0.17;
/// Time after a forwarded request for which requests count as being forwarded already.
const FORWARDING_MEMORY: Duration = Duration::from_secs(2);
/// Absence from the candidates after which a zone counts as returned, so that its traffic ramps up.
const ZONE_ABSENCE: Duration = Duration::from_secs(10);
/// Seconds by which each request beyond the free slots of a zone delays the next one, per upstream.
const SECONDS_PER_EXCESS_REQUEST: f64 = 0.25;
/// Share of the tokens of a prefix in the sketch of a zone that are assumed to be cached.
const SKETCH_CREDIT: f64 = 0.5;

impl Router {
    /// The best permitted zone that is predicted to meet the deadline. Fails with the refusal of
    /// the earliest zone if all are too late, and with `None` if no zone serves the request.
    pub(super) fn best_remote_zone(
        &mut self,
        now: Time,
        view: View<'_>,
        request: &CallerRequest,
    ) -> Result<ZoneRoute, Option<Refusal>> {
        let facts = &request.facts;
        let own = view.membership.own();
        let weights = Weights::of(view.configuration);
        let mut best: Option<(f64, ZoneRoute)> = None;
        let mut late: Option<Duration> = None;
        for zone in view.membership.zones() {
            if request.excluded_zones.binary_search(&zone.zone).is_ok() || zone.entries.is_empty() {
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
            let index = self.zone_index(now, &zone.zone);
            self.mark_usable(now, index);
            let stats = &self.zones[index].stats;
            let link = weights.link(view.configuration, &own.region, region);
            let forecast = zone_forecast(facts, row, stats);
            let base = forecast.base + 2.0 * link.delay;
            let first_token = base * stats.latency_ratio(now) + stats.overdue(now);
            let penalty = self.penalty(now, stats);
            let score = weights.score(first_token + penalty, forecast.tokens.0 as f64, link.price);
            let predicted = Duration::from_secs_f64(first_token);
            if within_deadline(predicted, facts.deadline).is_err() {
                late = Some(late.map_or(predicted, |it| it.min(predicted)));
                continue;
            }
            if best.as_ref().is_none_or(|(least, _)| score < *least) {
                let entry =
                    zone.entries[self.random.random_range(0..zone.entries.len())].id.clone();
                let route = ZoneRoute {
                    attempt_id: AttemptId(0),
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
        let late = late.and_then(|it| within_deadline(it, facts.deadline).err());
        let (_, mut route) = best.ok_or(late)?;
        route.attempt_id = self.next_attempt_id();
        Ok(route)
    }

    /// Chooses one of the other entry instances `peers` of the own zone, for a request that this
    /// instance can't send to the zone's upstreams because no connection to them opens. The upstreams
    /// that the request excludes count as usable there.
    ///
    /// # Errors
    ///
    /// Fails when there are no peers, when one of them has refused the request before, and as
    /// [`Router::decide_forwarded`] does.
    pub fn decide_in_zone(
        &mut self,
        now: Time,
        view: View<'_>,
        request: &CallerRequest,
        peers: &[InstanceId],
    ) -> Result<ZoneRoute, Refusal> {
        let own = view.membership.own();
        let facts = RequestFacts { excluded: Vec::new(), ..request.facts.clone() };
        let local = self.best_local_upstream(now, view, &facts)?;
        if peers.is_empty() || request.excluded_zones.binary_search(&own.zone).is_ok() {
            let target = facts.target.key();
            return Err(Refusal::NoUpstream { target, retry_after: MIN_RETRY_AFTER });
        }
        let entry = peers[self.random.random_range(0..peers.len())].clone();
        Ok(ZoneRoute {
            attempt_id: local.attempt_id,
            zone: own.zone.clone(),
            region: own.region.clone(),
            entry,
            predicted: local.predicted,
            own: own.region.clone(),
            tokens: local.tokens,
            base: local.base,
        })
    }

    /// Serves a request in the own zone unless another one is better by a margin, which is smaller
    /// while requests are already forwarded.
    pub(super) fn local_or_remote(
        &self,
        now: Time,
        view: View<'_>,
        local: Route,
        remote: ZoneRoute,
    ) -> Choice {
        let weights = Weights::of(view.configuration);
        let own = view.membership.own();
        let is_forwarding =
            self.last_forward > Time::ZERO && now - self.last_forward < FORWARDING_MEMORY;
        let share = if is_forwarding { REMOTE_MARGIN_WHILE_FORWARDING } else { REMOTE_MARGIN };
        let warm_share = if local.is_warm { WARM_PREFIX_MARGIN } else { 0.0 };
        let margin = (share + warm_share) * weights.deadline;
        let link = weights.link(view.configuration, &own.region, &remote.region);
        let local_score = weights.score(local.predicted.as_secs_f64(), local.tokens.0 as f64, 0.0);
        let remote_score =
            weights.score(remote.predicted.as_secs_f64(), remote.tokens.0 as f64, 0.0);
        let margin = weights.score(margin, 0.0, 0.0).max(weights.score(0.0, 0.0, link.price));
        let remote_score = remote_score + margin;
        if remote_score < local_score { Choice::Forward(remote) } else { Choice::Serve(local) }
    }

    pub(super) fn zone_index(&mut self, now: Time, id: &ZoneId) -> usize {
        match self.zones.binary_search_by(|it| it.id.cmp(id)) {
            Ok(index) => index,
            Err(index) => {
                let stats = DestinationStats::new(now);
                self.zones.insert(index, ZoneStats { id: id.clone(), stats, last_usable: now });
                index
            }
        }
    }

    /// Records that the zone is usable; after a longer absence its traffic ramps up again.
    fn mark_usable(&mut self, now: Time, index: usize) {
        let zone = &mut self.zones[index];
        if now - zone.last_usable > ZONE_ABSENCE {
            zone.stats.available_since = now;
        }
        zone.last_usable = now;
    }
}

struct ZoneForecast {
    base: f64,
    tokens: Tokens,
}

fn zone_forecast(facts: &RequestFacts, row: &Row, stats: &DestinationStats) -> ZoneForecast {
    let summary = &row.summary;
    let since = stats.sent_since(row.created_at);
    let upstreams = f64::from(summary.upstreams.max(1));
    let excess = f64::from(since.requests) - f64::from(summary.free);
    let waiting = summary.queueing.duration().as_secs_f64()
        + excess.max(0.0) * SECONDS_PER_EXCESS_REQUEST / upstreams
        + since.tokens as f64 / upstreams / PREFILL_TOKENS_PER_SECOND;
    let warm = facts.prefixes.iter().find(|it| summary.warm.contains(it.fingerprint.into()));
    let saved = warm.map_or(0.0, |it| it.tokens.0 as f64 * SKETCH_CREDIT);
    let tokens = Tokens(facts.prompt.0.saturating_sub(saved as u64));
    ZoneForecast { base: waiting + tokens.0 as f64 / PREFILL_TOKENS_PER_SECOND, tokens }
}
