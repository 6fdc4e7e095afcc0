//! Upstreams, and instances of other zones, to which new connections have just failed.
//!
//! A killed upstream stays in the membership until its announcement expires. Until then it looks
//! idle and would attract requests. It is put into cooldown for that time: it is used only when no
//! other upstream is left. The same applies to instances that are leaving.

use std::{cell::RefCell, time::Duration};

use medlarlug_core::time::Time;

/// Duration of a cooldown; longer than the lifetime of an announcement.
const COOLDOWN: Duration = Duration::from_secs(3);

/// The cooldowns in progress: ids, sorted, each with the end of its cooldown.
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
    /// Starts the cooldown of `id`, or restarts it.
    pub fn begin(&self, now: Time, id: &T) {
        let mut ends = self.ends.borrow_mut();
        ends.retain(|it| now < it.1);
        match ends.binary_search_by(|it| it.0.cmp(id)) {
            Ok(index) => ends[index].1 = now + COOLDOWN,
            Err(index) => ends.insert(index, (id.clone(), now + COOLDOWN)),
        }
    }

    /// The ids in cooldown, sorted.
    pub fn ids(&self, now: Time) -> Vec<T> {
        let ends = self.ends.borrow();
        ends.iter().filter(|it| now < it.1).map(|it| it.0.clone()).collect()
    }
}
