//! Which entry instances exchange their load at upstreams.
//!
//! Entry instances of a region place calls on the same upstreams, so each has to know the in-flight
//! load of the others. In a small region each instance reports to all others. The number of
//! messages grows with the square of the instances, so in a larger region each availability zone
//! has a few *collectors*. The instances of a zone report to all of its collectors, the first
//! collector sends the aggregate of the zone to the collectors of the other zones, and each
//! collector sends the aggregate over all other instances to those that ask for it. Instances ask
//! different collectors first, and the others only while theirs does not answer, so updates are
//! missing for [`COLLECTOR_TIMEOUT`] after a collector has died rather than until it is known to be
//! dead.
//!
//! The plan depends only on the live entry instances that an instance knows. Two instances that
//! disagree about these briefly report to different collectors, and the aggregates are incomplete
//! meanwhile.

use std::time::Duration;

use crate::{gateway::placement::rendezvous_rank, ids::InstanceId, ids::ZoneId};

/// Maximum number of entry instances in a region in which each reports to all others.
const MAX_DIRECT_INSTANCES: usize = 8;
/// Collectors of a zone: each serves a quarter of its instances.
const COLLECTORS_PER_ZONE: usize = 4;
/// Time without an aggregate from a collector after which the next one is asked as well: two
/// intervals between full aggregates.
pub const COLLECTOR_TIMEOUT: Duration = Duration::from_millis(600);

/// A live entry instance of the own region.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Id under which the other instances know it.
    pub id: InstanceId,
    /// The availability zone that it runs in.
    pub zone: ZoneId,
}

/// The role of an instance in the exchange.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Reports to all others of the region, and receives the reports of all of them.
    Direct,
    /// Aggregates the reports of its zone; the first collector of a zone has `place` 0.
    Collector {
        /// Index among the collectors of the zone.
        place: usize,
    },
    /// Reports to the collectors of its zone.
    Reporter,
}

/// What one instance does in the exchange.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExchangePlan {
    /// The role that follows from the region's size and the instance's rank in its zone.
    pub role: Role,
    /// Instances that receive its own load report; a reporter asks the first one for aggregates.
    pub report_to: Vec<InstanceId>,
    /// Collectors of other zones, which receive the aggregate of a collector's zone.
    pub aggregate_to: Vec<InstanceId>,
}

impl ExchangePlan {
    /// The plan of `own` among the live entry instances of its region, itself included.
    ///
    /// ```
    /// use medlarlug_core::gateway::load_exchange::{Member, ExchangePlan, Role};
    ///
    /// let zone: medlarlug_core::ids::ZoneId = "riga-a".parse().unwrap();
    /// let member = |at| Member { id: format!("entry-{at}").parse().unwrap(), zone: zone.clone() };
    /// let few: Vec<Member> = (0..3).map(member).collect();
    /// let plan = ExchangePlan::new(&few[0], &few);
    /// assert_eq!((plan.role, plan.report_to.len()), (Role::Direct, 2));
    /// ```
    pub fn new(own: &Member, region: &[Member]) -> ExchangePlan {
        if region.len() <= MAX_DIRECT_INSTANCES {
            let others = region.iter().filter(|it| it.id != own.id);
            let report_to = others.map(|it| it.id.clone()).collect();
            return ExchangePlan { role: Role::Direct, report_to, aggregate_to: Vec::new() };
        }
        let collectors = collectors(region, &own.zone);
        let role = match collectors.iter().position(|it| *it == own.id) {
            Some(place) => Role::Collector { place },
            None => Role::Reporter,
        };
        let aggregate_to = match role {
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
        report_to.sort_by_key(|it| rendezvous_rank(own.id.as_str(), it.as_str()));
        ExchangePlan { role, report_to, aggregate_to }
    }
}

/// The collectors of a zone, in their order.
fn collectors(region: &[Member], zone: &ZoneId) -> Vec<InstanceId> {
    let members = region.iter().filter(|it| it.zone == *zone);
    let mut ranked: Vec<(u64, &InstanceId)> =
        members.map(|it| (rendezvous_rank(zone.as_str(), it.id.as_str()), &it.id)).collect();
    ranked.sort();
    ranked.into_iter().rev().take(COLLECTORS_PER_ZONE).map(|it| it.1.clone()).collect()
}
