//! Replication of a log by a leader.
//!
//! Work in progress: the public types.

mod config;
mod event;
mod membership;
mod message;

pub use self::{
    config::Config,
    event::{Effect, Event, Persist, Rejection, Restored, Role, Ticket},
    membership::{Change, FormationId, Member, MemberKey, MemberRole, Membership, StorageId},
    message::{Body, Entry, Envelope, HardState, Hello, Message, Payload, Position, Snapshot},
};
