//! The replicated state machine that accepts release notes.
//!
//! One group of keepers orders all [`Command`]s; each keeper applies them in that order to its
//! [`ConfigurationGroup`]. Applying reads no clock and no random source, so all copies are equal.
//!
//! An accepted note raises the revision by one. A note's number is used once: the same note sent
//! again gets the first answer again, another note under a used number is a conflict that names
//! both operators. Beside notes, the group decides three things that have to be decided once for
//! the whole deployment: when a withdrawn item has drained, when a team's bookings have moved to
//! its new home region, and whether a home group is the region's first.
//!
//! * [`command`]: commands and replies.
//! * [`state`]: the state machine.
//! * [`draining`]: when withdrawn items are removed; kept by the leader only.
//! * [`tracker`]: where a revision is in force; kept by the leader only, not replicated.

pub mod command;
pub mod draining;
pub mod state;
pub mod tracker;

pub use command::{Accepted, Change, Command, Refusal, Reply};
pub use draining::DrainTracker;
pub use state::{ConfigurationGroup, HomeMove};
pub use tracker::{Rollout, RolloutTracker, ZoneRollout};
