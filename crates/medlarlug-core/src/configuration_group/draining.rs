//! When withdrawn items are removed.
//!
//! The leader of the configuration group removes the draining items when no request can use them
//! any more. No count of running requests is collected for this; time has to pass instead: from
//! the moment when every live instance uses the newest note, or when the configuration leases of
//! the others have run out, the longest request time.
//!
//! The time counts from the newest note, whatever it withdrew. A note that comes in between delays the
//! removal of all draining items.

use std::time::Duration;

use crate::{
    ids::Revision,
    release::{Configuration, ItemKey},
    time::Time,
};

/// Longest time that a request is taken to run; what runs longer than this after the withdrawal
/// of its item can't be resumed.
pub const MAX_REQUEST_DURATION: Duration = Duration::from_secs(10 * 60);

/// Waits until the draining items of a configuration are unused.
///
/// ```
/// use medlarlug_core::{
///     configuration_group::DrainTracker, ids::Revision, release::Configuration, time::Time,
/// };
///
/// let mut draining = DrainTracker::default();
/// let nothing = Configuration::new(Revision(1), Vec::new());
/// assert!(draining.removable_items(Time::ZERO, &nothing, true).is_empty());
/// ```
#[derive(Debug, Clone, Default)]
pub struct DrainTracker {
    // The note that is in force everywhere, and since when.
    settled: Option<(Revision, Time)>,
}

impl DrainTracker {
    /// The draining items that no request uses any more.
    ///
    /// `is_everywhere` tells whether the newest revision is in force at every instance that may
    /// send a request to another region; see
    /// [`Rollout::is_complete`](crate::configuration_group::Rollout::is_complete).
    pub fn removable_items(
        &mut self,
        now: Time,
        configuration: &Configuration,
        is_everywhere: bool,
    ) -> Vec<ItemKey> {
        let edited = configuration.edited;
        let since = match self.settled {
            Some((settled, since)) if settled == edited => since,
            _ if is_everywhere => {
                self.settled = Some((edited, now));
                now
            }
            _ => return Vec::new(),
        };
        if now - since < MAX_REQUEST_DURATION {
            return Vec::new();
        }
        configuration.draining().iter().map(|it| it.key()).collect()
    }

    /// Forgets what was seen, as this process does not lead any more.
    pub fn reset(&mut self) {
        self.settled = None;
    }
}
