//! The two deciders that are compared: the product's router, and a naive one.

use medlarlug_core::{
    ids::{UpstreamId, ZoneId},
    membership::{Membership, load::free_slots},
    release::Configuration,
    routing::{
        AttemptId, CallerRequest, Choice, ConfigurationLease, Event, ForwardedRequest, Permit,
        RequestFacts, Router, View,
    },
    time::Time,
};

#[derive(Debug)]
pub enum Decider {
    Real(Box<Router>),
    Naive { turn: usize },
}

/// What was decided; the attempt id is the real router's.
#[derive(Debug)]
pub enum Decision {
    Serve(UpstreamId, Option<AttemptId>),
    Forward(ZoneId, Option<AttemptId>),
    Refuse,
}

impl Decider {
    pub fn origin(
        &mut self,
        now: Time,
        membership: &Membership,
        configuration: &Configuration,
        request: &CallerRequest,
    ) -> Decision {
        let lease = ConfigurationLease::Valid;
        match self {
            Decider::Real(router) => {
                let view = View { membership, configuration, lease };
                match router.decide(now, view, request) {
                    Ok(Choice::Serve(route)) => {
                        let authorized = route.authorize(configuration, &request.facts).unwrap();
                        router.record_sent(now, &authorized, &request.facts);
                        let route = authorized.route();
                        Decision::Serve(route.upstream.clone(), Some(route.attempt_id))
                    }
                    Ok(Choice::Forward(route)) => {
                        let authorized = route.authorize(configuration, lease, request).unwrap();
                        router.record_forwarded(now, &authorized);
                        let route = authorized.route();
                        Decision::Forward(route.zone.clone(), Some(route.attempt_id))
                    }
                    Err(_) => Decision::Refuse,
                }
            }
            Decider::Naive { turn } => naive(now, membership, configuration, request, turn),
        }
    }

    pub fn forwarded(
        &mut self,
        now: Time,
        membership: &Membership,
        configuration: &Configuration,
        request: &ForwardedRequest,
    ) -> Decision {
        match self {
            Decider::Real(router) => {
                let lease = ConfigurationLease::Valid;
                let view = View { membership, configuration, lease };
                let Ok(route) = router.decide_forwarded(now, view, request) else {
                    return Decision::Refuse;
                };
                let authorized = route.authorize_forwarded(configuration, request).unwrap();
                router.record_sent(now, &authorized, request.facts());
                let route = authorized.route();
                Decision::Serve(route.upstream.clone(), Some(route.attempt_id))
            }
            Decider::Naive { turn } => local(now, membership, turn)
                .map_or(Decision::Refuse, |it| Decision::Serve(it, None)),
        }
    }

    pub fn learn(&mut self, now: Time, event: Event) {
        if let Decider::Real(router) = self {
            router.handle(now, event);
        }
    }
}

/// Home zone, round robin, spill when all are full.
fn naive(
    now: Time,
    membership: &Membership,
    configuration: &Configuration,
    request: &CallerRequest,
    turn: &mut usize,
) -> Decision {
    let own = &membership.own().region;
    let is_full = membership.upstreams(now).all(|it| free_slots(&it.announcement) == 0);
    if is_full {
        let target = &request.facts.target;
        let zone = membership.zones().iter().find(|zone| {
            let has_room = zone.row(now, target).is_some_and(|it| it.summary.free > 0);
            let is_permitted = is_permitted(configuration, &request.facts, own, &zone.region);
            has_room && is_permitted && request.excluded_zones.binary_search(&zone.zone).is_err()
        });
        if let Some(zone) = zone {
            return Decision::Forward(zone.zone.clone(), None);
        }
    }
    local(now, membership, turn).map_or(Decision::Refuse, |it| Decision::Serve(it, None))
}

fn is_permitted(
    configuration: &Configuration,
    facts: &RequestFacts,
    own: &medlarlug_core::ids::RegionId,
    region: &medlarlug_core::ids::RegionId,
) -> bool {
    Permit::check(configuration, ConfigurationLease::Valid, facts, own, region).is_ok()
}

fn local(now: Time, membership: &Membership, turn: &mut usize) -> Option<UpstreamId> {
    let upstreams: Vec<_> = membership.upstreams(now).collect();
    *turn += 1;
    let chosen = upstreams.get(*turn % upstreams.len().max(1))?;
    Some(chosen.announcement.id.clone())
}
