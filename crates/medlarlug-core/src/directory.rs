//! Which entry instances a caller should use, without a balancer before them.
//!
//! A caller asks any instance and gets a list with a lifetime. Near instances come first; among
//! equally near ones the order is random, and an instance is the likelier to come first the less
//! loaded it is. Instances that leave are never listed.
//!
//! The draw instead of plain sorting by load keeps callers that ask within one heartbeat from
//! following the same stale report to the same instance.

use std::time::Duration;

use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};

use crate::{
    ids::{InstanceId, RegionId, ZoneId},
    membership::{EntryView, Membership},
    time::Time,
};

/// Time for which a caller may use a list.
pub const LIFETIME: Duration = Duration::from_secs(10);
/// Power by which a lower load makes an instance likelier to come first.
const LOAD_POWER: i32 = 2;

/// The entry instances that a caller should use, the preferred one first.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Directory {
    /// The instances, in order.
    pub entries: Vec<InstanceId>,
    /// Time after which the caller should ask again.
    pub lifetime: Duration,
}

/// Distance of an entry instance from the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Distance {
    Zone,
    Region,
    Elsewhere,
}

/// The directory for a caller next to the zone of the instance that is asked.
///
/// ```
/// use medlarlug_core::{directory, ids::Incarnation, time::Time};
/// use medlarlug_core::membership::{InstanceKind, Membership, Seed, Settings};
///
/// let own = Seed {
///     id: "e1".parse().unwrap(),
///     kind: InstanceKind::Entry,
///     zone: "riga-a".parse().unwrap(),
///     region: "riga".parse().unwrap(),
/// };
/// let settings = Settings { own, incarnation: Incarnation(1), peers: Vec::new() };
/// let membership = Membership::new(Time::ZERO, settings);
/// let directory = directory::for_caller(Time::ZERO, &membership, &mut rand::rng());
/// assert_eq!(directory.entries.len(), 1);
/// ```
pub fn for_caller(now: Time, membership: &Membership, random: &mut impl Rng) -> Directory {
    let own = membership.own();
    order(&own.zone, &own.region, membership.entries(now), random)
}

/// Orders `entries` for a caller in a zone.
pub fn order(
    zone: &ZoneId,
    region: &RegionId,
    entries: Vec<EntryView>,
    random: &mut impl Rng,
) -> Directory {
    let mut ranked: Vec<(Distance, f64, InstanceId)> = entries
        .into_iter()
        .map(|it| (distance(zone, region, &it), rank(it.load, random), it.id))
        .collect();
    ranked.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2)));
    let entries = ranked.into_iter().map(|it| it.2).collect();
    Directory { entries, lifetime: LIFETIME }
}

fn distance(zone: &ZoneId, region: &RegionId, entry: &EntryView) -> Distance {
    if entry.zone == *zone {
        Distance::Zone
    } else if entry.region == *region {
        Distance::Region
    } else {
        Distance::Elsewhere
    }
}

/// An exponential draw whose mean grows with the load: sorting by it orders the instances at
/// random with weights that fall with the load.
fn rank(load: u32, random: &mut impl Rng) -> f64 {
    let weight = 1.0 / f64::from(load.saturating_add(1)).powi(LOAD_POWER);
    let uniform: f64 = random.random_range(f64::MIN_POSITIVE..1.0);
    -uniform.ln() / weight
}
