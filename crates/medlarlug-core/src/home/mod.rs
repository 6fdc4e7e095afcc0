//! The replicated state machine of one region's home group.
//!
//! The home group records what must not be lost or doubled in its region: booking intents and
//! outcomes, records of requests, quarantines of requests that crash upstreams, and the lease of
//! the issuer of orders. Every keeper of the group applies the same [`Command`]s in the same
//! order to its [`HomeGroup`].
//!
//! Time comes in with the commands: each carries the time that passed on the leader's monotonic
//! clock since its previous command. The state sums these into a logical clock. A new leader
//! begins with zero, so the logical clock never runs ahead of real time, apart from clock drift:
//! a retention or lease that has ended by the logical clock has ended in real time.
//!
//! * [`command`]: commands and replies.
//! * [`booking`]: keys, recorded answers and the life cycle of a booking.
//! * [`state`]: the state machine.
//! * [`attempt`]: the owner's side of a booking, on the entry instance.

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
