//! The directory: which entry instances a caller should use. It replaces a load balancer in front of them.
//!
//! A caller requests a list, which has a lifetime, from the instance that it uses. Instances in the
//! same zone come first, then those in the same region, then those in other regions where requests of the
//! caller's team may be served. Instances of all other regions are listed last: a caller tries the list
//! in order, and reaches them only if no other instance accepts it. If requests of the team may not be
//! served in the region of the requested instance, its zone and region come between the last two: the
//! caller may be there only because no instance of a permitted region answered it before. Instances
//! that shut down are never listed. If none of a permitted region is heard, those that may only be
//! silent are listed first: a forbidden region that hears none of them can't forward to them either.
//! Those that have just started are listed only if no other instance is ready, not counting ready ones
//! in regions that are less permitted.
//!
//! The requested instance lists itself first while its load is at most the mean load of the nearest
//! instances. Above the mean, it redirects the caller with the probability that brings its load down to
//! the mean within one lifetime, to a random instance below the mean, weighted by the load that it is
//! short of the mean. Loads that are a heartbeat old therefore cause neither a thundering herd nor a
//! random walk.

use std::time::Duration;

use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};

use crate::{
    ids::InstanceId,
    membership::{EntryView, Membership, Seed},
    release::item::Team,
    time::Time,
};

/// Time for which a caller may use a list.
pub const LIFETIME: Duration = Duration::from_secs(10);
/// The entry instances that a caller should use, the preferred one first.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Directory {
    /// The instances, in the order of preference.
    pub entries: Vec<InstanceId>,
    /// Time after which the caller should request a new list.
    pub lifetime: Duration,
}

/// Distance of an entry instance from the caller, in the order of preference.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Distance {
    Zone,
    Region,
    PermittedRegion,
    ForbiddenZone,
    ForbiddenOwnRegion,
    ForbiddenRegion,
}

/// The directory for a caller of `team` that requests it from this instance.
///
/// ```
/// use medlarlug_core::{directory, ids::Incarnation, time::Time};
/// use medlarlug_core::membership::{InstanceKind, Membership, Seed, Settings};
/// use medlarlug_core::release::item::{Residency, Team};
///
/// let own = Seed {
///     id: "e1".parse().unwrap(),
///     kind: InstanceKind::Entry,
///     zone: "riga-a".parse().unwrap(),
///     region: "riga".parse().unwrap(),
/// };
/// let settings = Settings { own, incarnation: Incarnation(1), peers: Vec::new() };
/// let membership = Membership::new(Time::ZERO, settings);
/// let team = Team {
///     id: "survey".parse().unwrap(),
///     home: "riga".parse().unwrap(),
///     keys: Vec::new(),
///     residency: Residency::Home,
///     rate: "10/s".parse().unwrap(),
///     burst: "10".parse().unwrap(),
///     priority: 0,
/// };
/// let directory = directory::for_caller(Time::ZERO, &membership, &team, &mut rand::rng());
/// assert_eq!(directory.entries.len(), 1);
/// ```
pub fn for_caller(
    now: Time,
    membership: &Membership,
    team: &Team,
    random: &mut impl Rng,
) -> Directory {
    let is_permitted = |it: &EntryView| team.residency.permits(&team.home, &it.region);
    let mut entries = membership.entries(now);
    if !entries.iter().any(is_permitted) {
        entries.extend(membership.silent_entries(now).into_iter().filter(is_permitted));
    }
    order(membership.own(), entries, team, random)
}

/// Orders `entries` for a caller of `team` that requests the directory from the instance `own`.
pub fn order(own: &Seed, entries: Vec<EntryView>, team: &Team, random: &mut impl Rng) -> Directory {
    let entries = without_settling(own, team, entries);
    let nearest = entries.iter().map(|it| distance(own, team, it)).min();
    let near = entries.iter().filter(|it| Some(distance(own, team, it)) == nearest);
    let loads: Vec<u32> = near.map(|it| it.load).collect();
    let mean = loads.iter().map(|it| f64::from(*it)).sum::<f64>() / loads.len().max(1) as f64;
    let stays = entries.iter().find(|it| it.id == own.id).is_some_and(|it| {
        let excess = (f64::from(it.load) - mean) / f64::from(it.load.max(1));
        !random.random_bool(excess.clamp(0.0, 1.0))
    });
    let mut ranked: Vec<(Distance, f64, InstanceId)> = entries
        .into_iter()
        .map(|it| {
            let is_preferred = stays && it.id == own.id;
            let rank =
                if is_preferred { -1.0 } else { random_rank(mean - f64::from(it.load), random) };
            (distance(own, team, &it), rank, it.id)
        })
        .collect();
    ranked.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2)));
    let entries = ranked.into_iter().map(|it| it.2).collect();
    Directory { entries, lifetime: LIFETIME }
}

/// Removes the instances that have just started, unless there are no others. A ready instance in a
/// forbidden region doesn't replace one in another region: an instance also counts as just started
/// after a stall, and then may have heard of none in its own region.
fn without_settling(own: &Seed, team: &Team, entries: Vec<EntryView>) -> Vec<EntryView> {
    let standing = |it: &EntryView| distance(own, team, it).standing();
    let best_ready = entries.iter().filter(|it| !it.settling).map(standing).min();
    let is_replaced = |it: &EntryView| best_ready.is_some_and(|ready| ready <= standing(it));
    entries.into_iter().filter(|it| !it.settling || !is_replaced(it)).collect()
}

/// How far the team's residency permits a region, in the order of preference.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Standing {
    Permitted,
    ForbiddenOwn,
    Forbidden,
}

impl Distance {
    fn standing(self) -> Standing {
        match self {
            Distance::Zone | Distance::Region | Distance::PermittedRegion => Standing::Permitted,
            Distance::ForbiddenZone | Distance::ForbiddenOwnRegion => Standing::ForbiddenOwn,
            Distance::ForbiddenRegion => Standing::Forbidden,
        }
    }
}

fn distance(own: &Seed, team: &Team, entry: &EntryView) -> Distance {
    let is_permitted = team.residency.permits(&team.home, &entry.region);
    match (entry.zone == own.zone, entry.region == own.region) {
        (true, _) if is_permitted => Distance::Zone,
        (_, true) if is_permitted => Distance::Region,
        _ if is_permitted => Distance::PermittedRegion,
        (true, _) => Distance::ForbiddenZone,
        (_, true) => Distance::ForbiddenOwnRegion,
        _ => Distance::ForbiddenRegion,
    }
}

/// An exponential random variable with the rate `weight`: sorting by it gives a random order in which a
/// higher weight makes an earlier place more likely.
fn random_rank(weight: f64, random: &mut impl Rng) -> f64 {
    let uniform: f64 = random.random_range(f64::MIN_POSITIVE..1.0);
    -uniform.ln() / weight.max(MIN_WEIGHT)
}

/// Weight of an instance whose load is at the mean or above.
const MIN_WEIGHT: f64 = 1e-3;
