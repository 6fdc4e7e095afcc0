//! Who tells whom of the load at upstreams.
//!
//! Entry instances of a region place calls on the same upstreams, so each has to know what the
//! others have under way. In a small region each tells all others. That grows with the square of the
//! instances, so in a larger one each availability zone has a few *collectors*: the instances of the
//! zone report to all of these, the first one sends the sum over the zone to those of the other zones,
//! and each tells those that ask it what all others have under way. Instances ask different collectors
//! first, and the others only while theirs is silent, so news are missing for [`SILENCE`] after a
//! collector has died, and not until it is known to be dead.
//!
//! Everything here follows from the live entry instances that an instance knows. Two that disagree
//! about these report to different collectors for a moment; the sums lack a part then.

use std::time::Duration;

use crate::{gateway::placement::rank, ids::InstanceId, ids::ZoneId};

/// Entry instances of a region up to which each tells all others.
const DIRECT_INSTANCES: usize = 8;
/// Collectors of a zone: each tells a quarter of its instances.
const COLLECTORS: usize = 4;
/// Silence of a collector after which the next one is asked as well: two of its whole sums.
pub const SILENCE: Duration = Duration::from_millis(600);

/// A live entry instance of the own region.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Its id.
    pub id: InstanceId,
    /// Its availability zone.
    pub zone: ZoneId,
}

/// What an instance does in the exchange.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Tells all others of the region itself, and hears all of them.
    Direct,
    /// Sums up the reports of its zone; `place` is 0 for the first collector.
    Collector {
        /// Its place among the collectors of the zone.
        place: usize,
    },
    /// Reports to the collectors of its zone.
    Reporter,
}

/// The part of one instance in the exchange.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// What it does.
    pub role: Role,
    /// To whom it reports its own load; a reporter asks the first one for sums.
    pub report_to: Vec<InstanceId>,
    /// Collectors of other zones, to which a collector sends the sum over its zone.
    pub sum_to: Vec<InstanceId>,
}

impl Plan {
    /// The part of `own` among the live entry instances of its region, itself included.
    ///
    /// ```
    /// use medlarlug_core::gateway::load_exchange::{Member, Plan, Role};
    ///
    /// let zone: medlarlug_core::ids::ZoneId = "riga-a".parse().unwrap();
    /// let member = |at| Member { id: format!("entry-{at}").parse().unwrap(), zone: zone.clone() };
    /// let few: Vec<Member> = (0..3).map(member).collect();
    /// let plan = Plan::of(&few[0], &few);
    /// assert_eq!((plan.role, plan.report_to.len()), (Role::Direct, 2));
    /// ```
    pub fn of(own: &Member, region: &[Member]) -> Plan {
        if region.len() <= DIRECT_INSTANCES {
            let others = region.iter().filter(|it| it.id != own.id);
            let report_to = others.map(|it| it.id.clone()).collect();
            return Plan { role: Role::Direct, report_to, sum_to: Vec::new() };
        }
        let collectors = collectors(region, &own.zone);
        let role = match collectors.iter().position(|it| *it == own.id) {
            Some(place) => Role::Collector { place },
            None => Role::Reporter,
        };
        let sum_to = match role {
            Role::Collector { .. } => {
                let mut zones: Vec<&ZoneId> = region.iter().map(|it| &it.zone).collect();
                zones.sort();
                zones.dedup();
                let others = zones.into_iter().filter(|zone| **zone != own.zone);
                others.flat_map(|zone| self::collectors(region, zone)).collect()
            }
            Role::Direct | Role::Reporter => Vec::new(),
        };
        let mut report_to: Vec<InstanceId> =
            collectors.into_iter().filter(|it| *it != own.id).collect();
        report_to.sort_by_key(|it| rank(own.id.as_str(), it.as_str()));
        Plan { role, report_to, sum_to }
    }
}

/// The collectors of a zone, in their order.
fn collectors(region: &[Member], zone: &ZoneId) -> Vec<InstanceId> {
    let members = region.iter().filter(|it| it.zone == *zone);
    let mut ranked: Vec<(u64, &InstanceId)> =
        members.map(|it| (rank(zone.as_str(), it.id.as_str()), &it.id)).collect();
    ranked.sort();
    ranked.into_iter().rev().take(COLLECTORS).map(|it| it.1.clone()).collect()
}
