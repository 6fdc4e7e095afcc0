//! The best other zone, and whether a request leaves its own.

use std::time::Duration;

use rand::RngExt;

use crate::{
    ids::ZoneId,
    membership::{Row, load::PROMPT_SPEED},
    routing::{
        destination_stats::Learned,
        local::within_deadline,
        request::{Origin, RequestFacts},
        residency::Permit,
        route::{Choice, Refusal, Route, ZoneRoute},
        router::{LearnedZone, Router, Ticket, View},
        weights::Weights,
    },
    time::Time,
    units::Tokens,
};

/// Share of the policy's deadline by which another zone has to be faster before a request leaves.
const AWAY_GAIN: f64 = 0.12;
/// The share once requests leave, smaller so that the choice doesn't flap.
const AWAY_STAY: f64 = 0.09;
/// What is added to the share for a request whose prefix is warm at home. Such a request costs
/// less there than in another zone, so the cold ones leave first.
const WARM_STAY: f64 = 0.17;
/// Time for which the choice counts as leaving after the last request that left.
const AWAY_MEMORY: Duration = Duration::from_secs(2);
/// Time without being a candidate after which a zone counts as returned.
const ZONE_GAP: Duration = Duration::from_secs(10);
/// Seconds by which each request beyond a zone's free slots delays the next, per upstream.
const SLOT_SECONDS: f64 = 0.25;
/// Share of a prefix in a zone's sketch that is counted on.
const SKETCH_TRUST: f64 = 0.5;

impl Router {
    /// The best permitted zone that can meet the deadline; without one, the refusal of the zone
    /// that comes closest to it.
    pub(super) fn best_zone(
        &mut self,
        now: Time,
        view: View<'_>,
        request: &Origin,
    ) -> Result<ZoneRoute, Option<Refusal>> {
        let facts = &request.facts;
        let own = view.membership.own();
        let weights = Weights::of(view.configuration);
        let mut best: Option<(f64, ZoneRoute)> = None;
        let mut late: Option<Duration> = None;
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
            if within_deadline(predicted, facts.deadline).is_err() {
                late = Some(late.map_or(predicted, |it| it.min(predicted)));
                continue;
            }
            if best.as_ref().is_none_or(|(least, _)| score < *least) {
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
        let late = late.and_then(|it| within_deadline(it, facts.deadline).err());
        let (_, mut route) = best.ok_or(late)?;
        route.ticket = self.ticket();
        Ok(route)
    }

    /// Keeps a request at home unless another zone is faster by a margin, which is smaller while
    /// requests leave already.
    pub(super) fn home_or_away(
        &self,
        now: Time,
        view: View<'_>,
        home: Route,
        away: ZoneRoute,
    ) -> Choice {
        let weights = Weights::of(view.configuration);
        let own = view.membership.own();
        let is_leaving = self.left > Time::ZERO && now - self.left < AWAY_MEMORY;
        let share = if is_leaving { AWAY_STAY } else { AWAY_GAIN };
        let stay = if home.is_warm { WARM_STAY } else { 0.0 };
        let margin = (share + stay) * weights.deadline;
        let link = weights.link(view.configuration, &own.region, &away.region);
        let stay = weights.score(home.predicted.as_secs_f64(), home.tokens.0 as f64, 0.0);
        let leave = weights.score(away.predicted.as_secs_f64(), away.tokens.0 as f64, 0.0);
        let margin = weights.score(margin, 0.0, 0.0).max(weights.score(0.0, 0.0, link.price));
        let leave = leave + margin;
        if leave < stay { Choice::Forward(away) } else { Choice::Serve(home) }
    }

    pub(super) fn zone_place(&mut self, now: Time, id: &ZoneId) -> usize {
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
    let warm = facts.prefixes.iter().find(|it| summary.warm.contains(it.print.into()));
    let saved = warm.map_or(0.0, |it| it.tokens.0 as f64 * SKETCH_TRUST);
    let tokens = Tokens(facts.prompt.0.saturating_sub(saved as u64));
    ZoneForecast { base: waiting + tokens.0 as f64 / PROMPT_SPEED, tokens }
}
