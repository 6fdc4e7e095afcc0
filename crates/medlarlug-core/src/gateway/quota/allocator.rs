//! The pools that an instance keeps for its region.

use std::{collections::VecDeque, time::Duration};

use super::{Answer, AskedCall, Budget, Pool};
use crate::{gateway::teams::TeamName, ids::InstanceId, time::Time};

/// Time for which a new allocator waits before its pools fill, and for which a larger number of live
/// instances has to be seen before it counts. In it, instances that no longer hear each other have
/// all noticed: pings take 0.4 s, heartbeats of keepers 0.8 s, and the upkeep 0.5 s.
pub(super) const HOLD_TIME: Duration = Duration::from_secs(2);
/// Pause in the processing of a process after which its pools are void: others may have noticed.
pub(super) const FREEZE_TIME: Duration = Duration::from_secs(1);
/// Time for which grants are remembered for repeated requests. It exceeds the wait of a call.
const GRANT_MEMORY: Duration = Duration::from_millis(500);

/// The pools that an instance keeps for its region.
#[derive(Debug, Clone, Default)]
pub struct Allocator {
    /// Sorted by team.
    pools: Vec<(TeamName, Pool)>,
    /// Numbers of live instances of the region within the last [`HOLD_TIME`], and since when.
    live: VecDeque<(Time, usize)>,
    /// Largest number of live instances of the region that was ever seen at once.
    peak: usize,
    /// The lowest number in `live` as a share of `peak`.
    fraction: f64,
    granted: VecDeque<(Time, InstanceId, u32)>,
    /// Time up to which pools of newly allocated teams don't fill.
    held_until: Time,
}

impl Allocator {
    /// Number of pools.
    pub(super) fn len(&self) -> usize {
        self.pools.len()
    }

    /// Sets the teams that this instance allocates, sorted, with their budgets. `is_new_view` tells
    /// whether the live instances have changed, so that another instance may still keep a pool.
    pub fn set_teams(&mut self, now: Time, teams: Vec<(TeamName, Budget)>, is_new_view: bool) {
        if is_new_view {
            self.held_until = now + HOLD_TIME;
        }
        let (start, fraction) = (self.held_until.max(now), self.fraction);
        let mut old = std::mem::take(&mut self.pools).into_iter().peekable();
        for (name, budget) in teams {
            while old.next_if(|it| it.0 < name).is_some() {}
            let pool = match old.next_if(|it| it.0 == name) {
                Some((_, mut pool)) => {
                    pool.set_budget(now, budget);
                    pool
                }
                None => Pool::new(budget, fraction, start),
            };
            self.pools.push((name, pool));
        }
    }

    /// Records the number of live entry instances of the region, and applies earlier numbers that
    /// have become old enough.
    pub fn set_live(&mut self, now: Time, live: usize) {
        self.peak = self.peak.max(live);
        if self.live.back().is_none_or(|it| it.1 != live) {
            self.live.push_back((now, live));
        }
        while self.live.get(1).is_some_and(|next| now - next.0 >= HOLD_TIME) {
            self.live.pop_front();
        }
        let lowest = self.live.iter().map(|it| it.1).min().unwrap_or(live);
        let fraction = lowest as f64 / self.peak.max(1) as f64;
        if fraction != self.fraction {
            self.fraction = fraction;
            self.pools.iter_mut().for_each(|(_, pool)| pool.set_fraction(now, fraction));
        }
    }

    /// Voids all saved tokens after the process was stalled.
    pub fn restart(&mut self, now: Time) {
        self.held_until = now + HOLD_TIME;
        self.pools.iter_mut().for_each(|(_, pool)| pool.restart(now + HOLD_TIME));
    }

    /// Handles a call of a team at the instance `from`. `None` if this instance doesn't allocate the
    /// team's tokens, or not yet.
    pub fn ask(
        &mut self,
        now: Time,
        from: &InstanceId,
        team: &TeamName,
        call: &AskedCall,
    ) -> Option<Answer> {
        let at = self.pools.binary_search_by(|it| it.0.cmp(team)).ok()?;
        let pool = &mut self.pools[at].1;
        if !pool.is_open(now) {
            return None;
        }
        while self.granted.front().is_some_and(|it| now - it.0 > GRANT_MEMORY) {
            self.granted.pop_front();
        }
        let id = call.id;
        if call.is_repeated && self.granted.iter().any(|it| it.2 == id && it.1 == *from) {
            return Some(Answer { id, shortage: None });
        }
        let shortage = pool.take(now, call.cost, call.is_repeated).err();
        if shortage.is_none() {
            self.granted.push_back((now, from.clone(), id));
        }
        Some(Answer { id, shortage })
    }

    /// The pool of a team.
    pub fn pool(&mut self, team: &TeamName) -> Option<&mut Pool> {
        let at = self.pools.binary_search_by(|it| it.0.cmp(team)).ok()?;
        Some(&mut self.pools[at].1)
    }
}
