//! The replicated state machine of one region's home group.
//!
//! The home group stores the data of its region that must be neither lost nor duplicated: booking
//! intents and outcomes, request records, quarantines of requests that crash upstreams, and the lease
//! of the order issuer. Every keeper of the group applies the same [`Command`]s in the same order to
//! its [`HomeGroup`].
//!
//! The state machine reads no clock. Each command carries the time since the leader's previous command,
//! measured on the leader's monotonic clock, and the state adds these up to a logical clock. The first
//! command of a new leader carries zero, so apart from clock drift the logical clock never runs ahead of
//! real time: a retention period or lease that has expired by the logical clock has expired in real time.
//!
//! * [`command`]: commands and replies.
//! * [`booking`]: booking keys, recorded answers and the life cycle of a booking.
//! * [`state`]: the state machine.
//! * [`attempt`]: the state machine with which an entry instance carries out a booking.

pub mod attempt;
pub mod booking;
mod bookings;
pub mod command;
mod issuer_lease;
mod moves;
mod quarantines;
mod records;
mod retention;
pub mod state;

pub use booking::{
    Body, Booking, BookingKey, BookingKeyError, BookingState, FoundingToken, Handover,
    OutcomeQuery, Owner, RecordedAnswer, StateLoss,
};
pub use command::{Action, Begin, BeginReply, Command, RecordLookup, Reply, Suspect};
pub use issuer_lease::IssuerLease;
pub use state::HomeGroup;
