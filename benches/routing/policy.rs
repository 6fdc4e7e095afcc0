//! The two routers that are compared: the routing core and a naive one.

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
    Naive { next_index: usize },
}

/// The outcome of a routing decision. Only the routing core assigns attempt ids.
#[derive(Debug)]
pub enum Decision {
    Serve(UpstreamId, Option<AttemptId>),
    Forward(ZoneId, Option<AttemptId>),
    Refuse,
}

impl Decider {
    pub fn decide(
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
                        let authorized = route
                            .authorize(configuration, ConfigurationLease::Valid, &request.facts)
                            .unwrap();
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
            Decider::Naive { next_index } => {
                naive(now, membership, configuration, request, next_index)
            }
        }
    }

    pub fn decide_forwarded(
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
            Decider::Naive { next_index } => next_local_upstream(now, membership, next_index)
                .map_or(Decision::Refuse, |it| Decision::Serve(it, None)),
        }
    }

    pub fn apply(&mut self, now: Time, event: Event) {
        if let Decider::Real(router) = self {
            router.handle(now, event);
        }
    }
}

/// Round robin in the local zone; forwards to the first permitted zone with free slots if all local
/// upstreams are full.
fn naive(
    now: Time,
    membership: &Membership,
    configuration: &Configuration,
    request: &CallerRequest,
    next_index: &mut usize,
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
    next_local_upstream(now, membership, next_index)
        .map_or(Decision::Refuse, |it| Decision::Serve(it, None))
}

fn is_permitted(
    configuration: &Configuration,
    facts: &RequestFacts,
    own: &medlarlug_core::ids::RegionId,
    region: &medlarlug_core::ids::RegionId,
) -> bool {
    Permit::check(configuration, ConfigurationLease::Valid, facts, own, region).is_ok()
}

fn next_local_upstream(
    now: Time,
    membership: &Membership,
    next_index: &mut usize,
) -> Option<UpstreamId> {
    let upstreams: Vec<_> = membership.upstreams(now).collect();
    *next_index += 1;
    let chosen = upstreams.get(*next_index % upstreams.len().max(1))?;
    Some(chosen.announcement.id.clone())
}
