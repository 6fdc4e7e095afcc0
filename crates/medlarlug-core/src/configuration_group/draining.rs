//! Removal of withdrawn items.
//!
//! The leader of the configuration group removes draining items once no request can use them any more.
//! It does not count running requests. Instead it waits until every live instance uses the newest note,
//! or the configuration leases of those that do not have expired, and then for
//! [`MAX_REQUEST_DURATION`].
//!
//! The wait restarts with every note, whatever the note withdrew: a further note delays the removal of
//! all draining items.

use std::time::Duration;

use crate::{
    ids::Revision,
    release::{Configuration, ItemKey},
    time::Time,
};

/// Longest assumed duration of a request. A request that runs longer than this after its item was
/// withdrawn cannot be resumed.
pub const MAX_REQUEST_DURATION: Duration = Duration::from_secs(10 * 60);

/// Tracks when the draining items of a configuration can be removed.
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
    // Revision of the last note whose rollout completed, and when this leader first saw it complete.
    in_effect: Option<(Revision, Time)>,
}

impl DrainTracker {
    /// Keys of the draining items that no request uses any more.
    ///
    /// `is_rollout_complete` says whether the newest note is in effect at every instance that may
    /// send a request to another region; see
    /// [`Rollout::is_complete`](crate::configuration_group::Rollout::is_complete).
    pub fn removable_items(
        &mut self,
        now: Time,
        configuration: &Configuration,
        is_rollout_complete: bool,
    ) -> Vec<ItemKey> {
        let last_note = configuration.note_revision;
        let since = match self.in_effect {
            Some((in_effect, since)) if in_effect == last_note => since,
            _ if is_rollout_complete => {
                self.in_effect = Some((last_note, now));
                now
            }
            _ => return Vec::new(),
        };
        if now - since < MAX_REQUEST_DURATION {
            return Vec::new();
        }
        configuration.draining().iter().map(|it| it.key()).collect()
    }

    /// Discards the state, for use when this process stops being the leader.
    pub fn reset(&mut self) {
        self.in_effect = None;
    }
}
