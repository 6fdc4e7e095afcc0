//! Why no place takes a request: served nowhere, served only where it isn't permitted, or late.

use crate::{
    ids::RegionId,
    routing::{
        local::SHORTEST_RETRY,
        request::RequestFacts,
        residency::{Permit, ResidencyError},
        route::Refusal,
        router::{Router, View},
    },
    time::Time,
};

/// What a region could do for a request that no place takes.
#[derive(Debug, Clone, PartialEq)]
struct Place {
    region: RegionId,
    is_permitted: bool,
    is_served: bool,
}

impl Router {
    /// The refusal of a request from the outcomes at home and in the best other zone.
    pub(super) fn refusal(
        &mut self,
        now: Time,
        view: View<'_>,
        facts: &RequestFacts,
        home: Refusal,
        away: Option<Refusal>,
    ) -> Refusal {
        if matches!(
            home,
            Refusal::Deadline { .. } | Refusal::Residency(ResidencyError::Team { .. })
        ) {
            return home;
        }
        if let Some(late) = away {
            return late;
        }
        let places = self.places(now, view, facts);
        let is_somewhere_permitted = places.iter().any(|it| it.is_permitted);
        if !is_somewhere_permitted && matches!(home, Refusal::Residency(_)) {
            return home;
        }
        let (target, retry) = (facts.target.key(), SHORTEST_RETRY);
        let is_served = places.iter().any(|it| it.is_permitted && it.is_served);
        let regions = forbidden_regions(places);
        if is_served || regions.is_empty() {
            return Refusal::NoUpstream { target, retry };
        }
        Refusal::ServedElsewhere { team: facts.team.clone(), target, regions, retry }
    }

    /// The own region, and that of each other zone.
    fn places(&mut self, now: Time, view: View<'_>, facts: &RequestFacts) -> Vec<Place> {
        let own = view.membership.own().region.clone();
        let is_permitted = |region: &RegionId| is_permitted(view, facts, region);
        let is_served = self.is_served_here(now, view, facts);
        let mut places = vec![Place { is_permitted: is_permitted(&own), is_served, region: own }];
        for zone in view.membership.zones() {
            let row = zone.row(now, &facts.target);
            places.push(Place {
                region: zone.region.clone(),
                is_permitted: is_permitted(&zone.region),
                is_served: row.is_some_and(|it| it.summary.upstreams > 0),
            });
        }
        places
    }
}

/// Whether the rules permit a region; a lapsed lease of the configuration doesn't count.
fn is_permitted(view: View<'_>, facts: &RequestFacts, region: &RegionId) -> bool {
    let own = &view.membership.own().region;
    let permit = Permit::check(view.configuration, view.lease, facts, own, region);
    matches!(permit, Ok(_) | Err(ResidencyError::Unconfirmed { .. }))
}

/// Regions that serve the request and are forbidden to it, sorted.
fn forbidden_regions(places: Vec<Place>) -> Vec<RegionId> {
    let forbidden = places.into_iter().filter(|it| it.is_served && !it.is_permitted);
    let mut regions: Vec<RegionId> = forbidden.map(|it| it.region).collect();
    regions.sort();
    regions.dedup();
    regions
}
