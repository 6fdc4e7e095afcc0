//! Which entry instances a caller should use, without a balancer before them.
//!
//! A caller asks the instance that it uses and gets a list with a lifetime. Near instances come
//! first; instances that leave are never listed, those that have just started only when no other
//! instance is ready.
//!
//! The asked instance names itself first while its load is at most the mean of the near ones.
//! Above it, it sends the caller on with the probability that brings its load to the mean within
//! one lifetime, and draws among the instances below the mean, weighed by what they lack. Loads
//! that are a heartbeat old so cause neither a herd nor a random walk.

use std::time::Duration;

use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};

use crate::{
    ids::InstanceId,
    membership::{EntryView, Membership, Seed},
    time::Time,
};

/// Time for which a caller may use a list.
pub const LIFETIME: Duration = Duration::from_secs(10);
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
    order(membership.own(), membership.entries(now), random)
}

/// Orders `entries` for a caller that asks the instance `own`.
pub fn order(own: &Seed, entries: Vec<EntryView>, random: &mut impl Rng) -> Directory {
    let entries = without_settling(entries);
    let nearest = entries.iter().map(|it| distance(own, it)).min();
    let near = entries.iter().filter(|it| Some(distance(own, it)) == nearest);
    let loads: Vec<u32> = near.map(|it| it.load).collect();
    let mean = loads.iter().map(|it| f64::from(*it)).sum::<f64>() / loads.len().max(1) as f64;
    let stays = entries.iter().find(|it| it.id == own.id).is_some_and(|it| {
        let excess = (f64::from(it.load) - mean) / f64::from(it.load.max(1));
        !random.random_bool(excess.clamp(0.0, 1.0))
    });
    let mut ranked: Vec<(Distance, f64, InstanceId)> = entries
        .into_iter()
        .map(|it| {
            let is_kept = stays && it.id == own.id;
            let rank = if is_kept { -1.0 } else { draw(mean - f64::from(it.load), random) };
            (distance(own, &it), rank, it.id)
        })
        .collect();
    ranked.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2)));
    let entries = ranked.into_iter().map(|it| it.2).collect();
    Directory { entries, lifetime: LIFETIME }
}

/// The instances but for those that have just started, unless there are no others.
fn without_settling(entries: Vec<EntryView>) -> Vec<EntryView> {
    let has_ready = entries.iter().any(|it| !it.settling);
    entries.into_iter().filter(|it| !it.settling || !has_ready).collect()
}

fn distance(own: &Seed, entry: &EntryView) -> Distance {
    if entry.zone == own.zone {
        Distance::Zone
    } else if entry.region == own.region {
        Distance::Region
    } else {
        Distance::Elsewhere
    }
}

/// An exponential draw with the weight `lack`: sorting by it orders the instances at random, the
/// likelier to the front the more load they lack.
fn draw(lack: f64, random: &mut impl Rng) -> f64 {
    let uniform: f64 = random.random_range(f64::MIN_POSITIVE..1.0);
    -uniform.ln() / lack.max(LEAST_LACK)
}

/// Weight of an instance that lacks no load.
const LEAST_LACK: f64 = 1e-3;
