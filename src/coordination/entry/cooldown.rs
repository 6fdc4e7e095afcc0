//! Upstreams at which new connections have just failed.
//!
//! A killed upstream stays in the membership until its announcement lapses, and looks idle
//! meanwhile, so that it would draw requests. It cools down for that time: it is used only when
//! no other upstream is left.

use std::{cell::RefCell, time::Duration};

use medlarlug_core::{ids::UpstreamId, time::Time};

/// Time for which an upstream cools down; as long as an announcement is valid.
const COOLDOWN: Duration = Duration::from_secs(3);

/// The upstreams that cool down, sorted by id, and the end of each cooldown.
#[derive(Debug, Default)]
pub struct Cooldowns {
    ends: RefCell<Vec<(UpstreamId, Time)>>,
}

impl Cooldowns {
    /// Begins the cooldown of an upstream anew.
    pub fn begin(&self, now: Time, upstream: &UpstreamId) {
        let mut ends = self.ends.borrow_mut();
        ends.retain(|it| now < it.1);
        match ends.binary_search_by(|it| it.0.cmp(upstream)) {
            Ok(found) => ends[found].1 = now + COOLDOWN,
            Err(place) => ends.insert(place, (upstream.clone(), now + COOLDOWN)),
        }
    }

    /// The upstreams that cool down, sorted.
    pub fn upstreams(&self, now: Time) -> Vec<UpstreamId> {
        let ends = self.ends.borrow();
        ends.iter().filter(|it| now < it.1).map(|it| it.0.clone()).collect()
    }
}
