//! Upstreams, and instances of other zones, at which new connections have just failed.
//!
//! A killed upstream stays in the membership until its announcement lapses, and looks idle
//! meanwhile, so that it would draw requests. It cools down for that time: it is used only when
//! no other upstream is left. The same goes for instances that are leaving.

use std::{cell::RefCell, time::Duration};

use medlarlug_core::time::Time;

/// Time for which an upstream cools down; longer than an announcement is valid.
const COOLDOWN: Duration = Duration::from_secs(3);

/// What cools down, sorted by id, and the end of each cooldown.
#[derive(Debug)]
pub struct Cooldowns<T> {
    ends: RefCell<Vec<(T, Time)>>,
}

impl<T> Default for Cooldowns<T> {
    fn default() -> Cooldowns<T> {
        Cooldowns { ends: RefCell::default() }
    }
}

impl<T: Ord + Clone> Cooldowns<T> {
    /// Begins the cooldown of `id` anew.
    pub fn begin(&self, now: Time, id: &T) {
        let mut ends = self.ends.borrow_mut();
        ends.retain(|it| now < it.1);
        match ends.binary_search_by(|it| it.0.cmp(id)) {
            Ok(index) => ends[index].1 = now + COOLDOWN,
            Err(index) => ends.insert(index, (id.clone(), now + COOLDOWN)),
        }
    }

    /// The ids that cool down, sorted.
    pub fn ids(&self, now: Time) -> Vec<T> {
        let ends = self.ends.borrow();
        ends.iter().filter(|it| now < it.1).map(|it| it.0.clone()).collect()
    }
}
