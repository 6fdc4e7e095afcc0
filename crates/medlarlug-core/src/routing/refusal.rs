//! Chooses the refusal of a request that neither the own zone nor another one can serve: the target
//! is served nowhere, it is served only where the request is not permitted, or the first token is
//! predicted too late.

use crate::{
    ids::RegionId,
    routing::{
        local::MIN_RETRY_AFTER,
        request::RequestFacts,
        residency::{Permit, ResidencyError},
        route::Refusal,
        router::{Router, View},
    },
    time::Time,
};

/// Whether a region serves a request, and whether it may.
#[derive(Debug, Clone, PartialEq)]
struct RegionStatus {
    region: RegionId,
    is_permitted: bool,
    is_served: bool,
}

impl Router {
    /// Combines the refusal by the own zone and that by the best other zone.
    pub(super) fn refusal(
        &mut self,
        now: Time,
        view: View<'_>,
        facts: &RequestFacts,
        local: Refusal,
        remote: Option<Refusal>,
    ) -> Refusal {
        if matches!(
            local,
            Refusal::Deadline { .. } | Refusal::Residency(ResidencyError::UnknownTeam { .. })
        ) {
            return local;
        }
        if let Some(late) = remote {
            return late;
        }
        if matches!(local, Refusal::Residency(ResidencyError::Unconfirmed { .. })) {
            return local;
        }
        let statuses = self.region_statuses(now, view, facts);
        let is_somewhere_permitted = statuses.iter().any(|it| it.is_permitted);
        if !is_somewhere_permitted && matches!(local, Refusal::Residency(_)) {
            return local;
        }
        let (target, retry_after) = (facts.target.key(), MIN_RETRY_AFTER);
        let is_served = statuses.iter().any(|it| it.is_permitted && it.is_served);
        let regions = forbidden_regions(statuses);
        if is_served || regions.is_empty() {
            return Refusal::NoUpstream { target, retry_after };
        }
        Refusal::ServedElsewhere { team: facts.team.clone(), target, regions, retry_after }
    }

    /// Status of the own region, and of the region of each other zone.
    fn region_statuses(
        &mut self,
        now: Time,
        view: View<'_>,
        facts: &RequestFacts,
    ) -> Vec<RegionStatus> {
        let own = view.membership.own().region.clone();
        let is_permitted = |region: &RegionId| is_permitted(view, facts, region);
        let is_served = self.is_served_here(now, view, facts);
        let mut statuses =
            vec![RegionStatus { is_permitted: is_permitted(&own), is_served, region: own }];
        for zone in view.membership.zones() {
            let row = zone.row(now, &facts.target);
            statuses.push(RegionStatus {
                region: zone.region.clone(),
                is_permitted: is_permitted(&zone.region),
                is_served: row.is_some_and(|it| it.summary.upstreams > 0),
            });
        }
        statuses
    }
}

/// Whether the residency rules permit a region. A lapsed configuration lease is ignored.
fn is_permitted(view: View<'_>, facts: &RequestFacts, region: &RegionId) -> bool {
    let own = &view.membership.own().region;
    let permit = Permit::check(view.configuration, view.lease, facts, own, region);
    matches!(permit, Ok(_) | Err(ResidencyError::Unconfirmed { .. }))
}

/// Regions that serve the request but are forbidden to it, sorted and without duplicates.
fn forbidden_regions(statuses: Vec<RegionStatus>) -> Vec<RegionId> {
    let forbidden = statuses.into_iter().filter(|it| it.is_served && !it.is_permitted);
    let mut regions: Vec<RegionId> = forbidden.map(|it| it.region).collect();
    regions.sort();
    regions.dedup();
    regions
}
