//! Residency: the hard filter on where a request may be served.
//!
//! A [`Permit`] is only created by [`Permit::check`]. Whatever sends a request out of the process
//! takes a permit by value, so that no request leaves without a check against the configuration in
//! force at that moment. Whatever sends it later under the same permit, over another connection or to
//! another instance, calls [`Permit::recheck`] before.

use thiserror::Error;

use crate::{
    ids::{RegionId, RequestId, Revision, TeamId},
    release::{
        Configuration, ItemKey,
        item::{Residency, Team},
    },
    routing::request::RequestFacts,
};

/// Whether the instance has confirmed its configuration revision within the lease time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigurationLease {
    /// The revision was confirmed within the lease.
    Valid,
    /// The revision was not confirmed in time, so requests stay in the region of the instance, and
    /// those of a team with listed regions are served there only if it is the team's home: a newer
    /// revision may have removed the region from the list.
    Lapsed,
}

/// Proof that a request may be served in a region.
#[derive(Debug, PartialEq, Eq)]
pub struct Permit {
    request: RequestId,
    region: RegionId,
    revision: Revision,
}

/// Why a request may not be served in a region.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ResidencyError {
    /// The configuration has no such team.
    #[error("team {team} is unknown at revision {revision}")]
    UnknownTeam {
        /// Id that the request names.
        team: TeamId,
        /// Revision in force.
        revision: Revision,
    },
    /// The residency rules of the team or of the target forbid the region.
    #[error("a request of team {team} for {target} may not be served in region {region}")]
    Forbidden {
        /// Team of the request.
        team: TeamId,
        /// Model or service that the request names.
        target: ItemKey,
        /// Region in which the request would have been served.
        region: RegionId,
    },
    /// The configuration lease has lapsed, so no request leaves the region, and a team with listed
    /// regions is served in its home region only.
    #[error("revision {revision} is not confirmed in region {region}")]
    Unconfirmed {
        /// Revision in force.
        revision: Revision,
        /// The instance's own region.
        region: RegionId,
    },
    /// A forwarded request reached another region than the one it was checked for.
    #[error("the request was meant for region {meant}, this is {region}")]
    Misdirected {
        /// Region for which the sender checked residency.
        meant: RegionId,
        /// Region of the receiver.
        region: RegionId,
    },
}

impl Permit {
    /// Checks that a request may be served in `region` when it is sent from the region `own`.
    ///
    /// # Errors
    ///
    /// Fails when the configuration in force doesn't permit the region, and when the lease of the
    /// configuration has lapsed and the request would leave its region, or the team has listed
    /// regions and another home.
    pub fn check(
        configuration: &Configuration,
        lease: ConfigurationLease,
        facts: &RequestFacts,
        own: &RegionId,
        region: &RegionId,
    ) -> Result<Permit, ResidencyError> {
        let is_permitted = Configuration::is_permitted;
        check_region(configuration, lease, facts, own, region, is_permitted)?;
        let revision = configuration.revision;
        Ok(Permit { request: facts.id.clone(), region: region.clone(), revision })
    }

    /// Checks again that the request may be served in the region. The target may be draining by now,
    /// because the request was accepted before.
    ///
    /// # Errors
    ///
    /// As for [`Permit::check`], except that a draining target is permitted.
    pub fn recheck(
        &self,
        configuration: &Configuration,
        lease: ConfigurationLease,
        facts: &RequestFacts,
        own: &RegionId,
    ) -> Result<(), ResidencyError> {
        let may_continue = Configuration::may_continue;
        check_region(configuration, lease, facts, own, &self.region, may_continue)
    }

    /// The request that was checked.
    pub fn request(&self) -> &RequestId {
        &self.request
    }

    /// The region in which the request may be served.
    pub fn region(&self) -> &RegionId {
        &self.region
    }

    /// The configuration revision that the request was checked against.
    pub fn revision(&self) -> Revision {
        self.revision
    }
}

fn check_region(
    configuration: &Configuration,
    lease: ConfigurationLease,
    facts: &RequestFacts,
    own: &RegionId,
    region: &RegionId,
    is_permitted: impl Fn(&Configuration, &Team, &ItemKey, &RegionId) -> bool,
) -> Result<(), ResidencyError> {
    let revision = configuration.revision;
    if lease == ConfigurationLease::Lapsed && own != region {
        return Err(ResidencyError::Unconfirmed { revision, region: own.clone() });
    }
    let unknown = || ResidencyError::UnknownTeam { team: facts.team.clone(), revision };
    let team = configuration.team(&facts.team).ok_or_else(unknown)?;
    let target = facts.target.key();
    if !is_permitted(configuration, team, &target, region) {
        let team = facts.team.clone();
        return Err(ResidencyError::Forbidden { team, target, region: region.clone() });
    }
    if lease == ConfigurationLease::Lapsed && is_listed_elsewhere(team, region) {
        return Err(ResidencyError::Unconfirmed { revision, region: own.clone() });
    }
    Ok(())
}

/// Whether the team's data is limited to listed regions and `region` is not its home.
fn is_listed_elsewhere(team: &Team, region: &RegionId) -> bool {
    matches!(team.residency, Residency::Regions(_)) && team.home != *region
}
