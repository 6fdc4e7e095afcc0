//! Decides whether the body of a call may enter a region: the own one, for its upstreams, or that of
//! another instance. Every request that carries a body needs a [`ResidencyPermit`].

use medlarlug_core::{
    gateway::{
        table::{Route, RouteTable, TableVersion},
        table_lease::{ResidencyError, ResidencyPermit},
        teams::TeamName,
    },
    ids::RegionId,
};

use super::{Entry, call::Call, choice::Hop, plan::Plan};
use crate::metrics as names;

/// The home regions that a call obeys.
#[derive(Debug, Clone, Copy)]
pub(super) struct Residency<'a> {
    /// The route, restricted to the home regions of the table `version`.
    pub(super) route: &'a Route,
    pub(super) version: TableVersion,
    pub(super) team: Option<&'a TeamName>,
}

impl Residency<'_> {
    /// The home regions of the route and of the team in a newer table; empty for any region.
    pub(super) fn homes_in<'t>(&self, newer: &'t RouteTable, call: &Call) -> [&'t [RegionId]; 2] {
        let team = self.team.zip(newer.teams()).and_then(|(name, teams)| teams.by_name(name));
        let team_homes = team.map_or(&[][..], |team| &team.homes);
        let route_homes = newer.route(&call.host, call.path()).map_or(&[][..], |it| &it.homes);
        [route_homes, team_homes]
    }
}

impl Entry {
    /// Permits the body of a call to enter a region, by the newest table here. The table may have
    /// arrived, and the time for which it may be relied on may have ended, since the call was planned.
    ///
    /// # Errors
    ///
    /// The region is no home of the call, or its homes may be out of date.
    pub(super) fn permit(
        &self,
        call: &Call,
        residency: Residency,
        region: &RegionId,
    ) -> Result<ResidencyPermit, ResidencyError> {
        let table = self.table.borrow();
        let newer = table.as_ref().filter(|it| it.version() > residency.version);
        let [route, team] = newer.map_or([&[][..]; 2], |newer| residency.homes_in(newer, call));
        let version = newer.map_or(residency.version, |it| it.version());
        let homes = [&residency.route.homes, route, team];
        if self.may_lack_homes(version) {
            return Err(ResidencyError::Outdated);
        }
        self.lease.borrow().permit(self.now(), version, &homes, region)
    }

    /// Whether the call's home regions, or that it has none, may be out of date.
    pub(super) fn lacks_confirmation(&self, plan: &Plan) -> bool {
        let version = plan.homes_version.max(self.version());
        let is_unconfirmed =
            !plan.route.homes.is_empty() && !self.lease.borrow().holds(self.now(), version);
        is_unconfirmed || self.may_lack_homes(version)
    }

    /// Whether a table that has replaced the table `version` may give routes their first home regions, since
    /// other routes have some, and has been known for too long.
    fn may_lack_homes(&self, version: TableVersion) -> bool {
        self.lease.borrow().is_outdated(self.now(), version)
            && self.table.borrow().as_ref().is_some_and(|it| it.may_have_homes())
    }

    /// Whether neither the call's route nor a team may have home regions, or these may be relied on. The team
    /// is not known yet.
    pub(super) fn may_rely_on_homes(&self, call: &Call) -> bool {
        let table = self.table.borrow();
        let Some(table) = table.as_ref() else { return false };
        let route = table.route(&call.host, call.path());
        let may_have_homes =
            table.teams().is_some() || route.is_some_and(|it| !it.homes.is_empty());
        let is_held = || self.lease.borrow().holds(self.now(), table.version());
        (!may_have_homes || is_held()) && !self.may_lack_homes(table.version())
    }

    /// Logs and counts a call that is refused because its home regions may be out of date.
    pub(super) fn record_unconfirmed(&self, call: &Call, plan: &Plan) {
        let age = plan.confirmation_age(self);
        metrics::counter!(names::UNCONFIRMED_CALLS).increment(1);
        tracing::info!(
            request = %call.id,
            table = plan.homes_version.max(self.version()).0,
            newest = self.head.borrow().version.0,
            confirmed_ms = age.map(|it| it.as_millis() as u64),
            is_forwarded = plan.is_forwarded,
            "refusing: homes of the table not confirmed"
        );
    }

    /// The region in which a hop is.
    pub(super) fn region_of_hop(&self, hop: &Hop) -> RegionId {
        match hop {
            Hop::Upstream { .. } => self.settings.borrow().info.region.clone(),
            Hop::Peer { region, .. } => region.clone(),
        }
    }
}
