//! Orders to evacuate an availability zone, or to withdraw its evacuation, that arrive late.
//!
//! An operator that gets no answer sends its order again, to another keeper, and goes on to other
//! orders. The first copy may still be on its way: in a link between two keepers, or at a keeper that
//! stood still. It must not undo what was ordered since. Orders carry no number of their operator, so
//! the keeper that receives one notes how many changes of the evacuated zones it knew then. The leader
//! carries the order out only if the zone has not changed since.
//!
//! Operators may order the same again at any time, so an order that is already in effect is never
//! outdated.

use crate::{gateway::cold::Evacuations, ids::ZoneId};

/// Whether an order may still be carried out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Timeliness {
    /// The zone has not changed since the order was received, or the order is in effect already.
    Current,
    /// The zone has changed since. The operator has to send the order again if it still wants it.
    Outdated,
    /// The receiver knew changes that are not known here yet.
    Unknown,
}

/// When each zone was last evacuated or taken back, as the number of changes up to then.
///
/// ```
/// use medlarlug_core::{
///     gateway::{cold::Evacuations, evacuation_orders::{EvacuationLog, Timeliness}},
///     ids::ZoneId,
/// };
///
/// let zones: [ZoneId; 1] = ["riga-a".parse().unwrap()];
/// let states = [(0, 0), (1, 1), (2, 0), (3, 1)];
/// let states = states.map(|(round, count)| Evacuations { round, zones: &zones[..count] });
/// let mut log = EvacuationLog::default();
/// states.windows(2).for_each(|pair| log.observe(pair[0], pair[1]));
///
/// assert_eq!(log.judge(states[3], &zones[0], false, 1), Timeliness::Outdated);
/// assert_eq!(log.judge(states[3], &zones[0], true, 1), Timeliness::Current);
/// assert_eq!(log.judge(states[3], &zones[0], false, 3), Timeliness::Current);
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EvacuationLog {
    /// The number of changes up to the last one of each zone, sorted by zone.
    changes: Vec<(ZoneId, u64)>,
    /// The same for all other zones: an upper bound, as changes were not seen one by one.
    common: u64,
}

impl EvacuationLog {
    /// Records that the evacuated zones have changed.
    pub fn observe(&mut self, before: Evacuations, now: Evacuations) {
        let Some(zones) = now.changed_since(before) else {
            self.common = now.round;
            return self.changes.clear();
        };
        for zone in zones {
            match self.changes.binary_search_by(|it| it.0.cmp(&zone)) {
                Ok(at) => self.changes[at].1 = now.round,
                Err(at) => self.changes.insert(at, (zone, now.round)),
            }
        }
    }

    /// Judges an order for `zone` that was received after `known_round` changes, in the present state.
    pub fn judge(
        &self,
        now: Evacuations,
        zone: &ZoneId,
        evacuates: bool,
        known_round: u64,
    ) -> Timeliness {
        if known_round > now.round {
            return Timeliness::Unknown;
        }
        if now.contains(zone) == evacuates || self.last_change(zone) <= known_round {
            return Timeliness::Current;
        }
        Timeliness::Outdated
    }

    fn last_change(&self, zone: &ZoneId) -> u64 {
        let own = self.changes.binary_search_by(|it| it.0.cmp(zone));
        own.map_or(self.common, |at| self.changes[at].1)
    }
}
