//! The replicated state machine that accepts release notes.
//!
//! One replication group of keepers orders all [`Command`]s, and each keeper applies them in that order
//! to its [`ConfigurationGroup`]. Applying a command reads no clock and no random source, so all
//! copies are equal.
//!
//! An accepted note raises the revision by one. A note's number is used once: a retry of the same note
//! gets the first reply, and another note with a used number is refused as a conflict that names both
//! operators. Besides notes, the group records three decisions that have to be unique in the whole
//! deployment: that a withdrawn item has drained, that a team's bookings have moved to its new home
//! region, and whether a home group is the first of its region.
//!
//! * [`command`]: commands and replies.
//! * [`state`]: the state machine.
//! * [`draining`]: when withdrawn items are removed; state of the leader, not replicated.
//! * [`tracker`]: at which instances a revision is in effect; state of the leader, not replicated.

pub mod command;
pub mod draining;
pub mod state;
pub mod tracker;

pub use command::{Accepted, Change, Command, Refusal, Reply};
pub use draining::DrainTracker;
pub use state::{ConfigurationGroup, HomeMove};
pub use tracker::{Rollout, RolloutTracker, ZoneRollout};
