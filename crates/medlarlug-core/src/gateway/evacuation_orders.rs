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

use crate::ids::ZoneId;

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
/// use medlarlug_core::{gateway::evacuation_orders::{EvacuationLog, Timeliness}, ids::ZoneId};
///
/// let zone: ZoneId = "riga-a".parse().unwrap();
/// let mut log = EvacuationLog::default();
/// log.observe(1, &[zone.clone()]);
/// log.observe(2, &[]);
/// log.observe(3, &[zone.clone()]);
///
/// assert_eq!(log.judge(&zone, false, 1), Timeliness::Outdated);
/// assert_eq!(log.judge(&zone, true, 1), Timeliness::Current);
/// assert_eq!(log.judge(&zone, false, 3), Timeliness::Current);
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EvacuationLog {
    /// Number of changes observed.
    round: u64,
    /// Evacuated zones, sorted.
    evacuated: Vec<ZoneId>,
    /// The change after which each zone is as it is now, sorted by zone.
    changes: Vec<(ZoneId, u64)>,
    /// The last change that may have concerned any zone, since several were observed at once.
    common: u64,
}

impl EvacuationLog {
    /// Records the evacuated zones, sorted, after `round` changes.
    pub fn observe(&mut self, round: u64, evacuated: &[ZoneId]) {
        if round <= self.round {
            return;
        }
        match (round - self.round, self.changed_zone(evacuated)) {
            (1, Some(zone)) => match self.changes.binary_search_by(|it| it.0.cmp(&zone)) {
                Ok(at) => self.changes[at].1 = round,
                Err(at) => self.changes.insert(at, (zone, round)),
            },
            _ => {
                self.common = round;
                self.changes.clear();
            }
        }
        self.round = round;
        self.evacuated = evacuated.to_vec();
    }

    /// Judges an order for `zone` that was received after `known_round` changes.
    pub fn judge(&self, zone: &ZoneId, evacuates: bool, known_round: u64) -> Timeliness {
        let is_evacuated = self.evacuated.binary_search(zone).is_ok();
        if known_round > self.round {
            return Timeliness::Unknown;
        }
        if is_evacuated == evacuates || self.last_change(zone) <= known_round {
            return Timeliness::Current;
        }
        Timeliness::Outdated
    }

    fn last_change(&self, zone: &ZoneId) -> u64 {
        let own = self.changes.binary_search_by(|it| it.0.cmp(zone));
        own.map_or(self.common, |at| self.changes[at].1)
    }

    /// The zone by which `evacuated` differs from what was observed last, if it is a single one.
    fn changed_zone(&self, evacuated: &[ZoneId]) -> Option<ZoneId> {
        let added = evacuated.iter().filter(|it| self.evacuated.binary_search(it).is_err());
        let removed = self.evacuated.iter().filter(|it| evacuated.binary_search(it).is_err());
        let mut changed = added.chain(removed);
        let first = changed.next()?;
        changed.next().is_none().then(|| first.clone())
    }
}
