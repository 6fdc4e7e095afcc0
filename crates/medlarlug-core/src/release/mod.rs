//! Release notes and the configuration that they produce.
//!
//! Operators drive the gateway through *release notes*. A note lists the items that it adds,
//! changes and withdraws against a base revision, and carries the operator's own number. An
//! accepted note turns the configuration of one [`Revision`](crate::ids::Revision) into that of
//! the next; an accepted revision is never taken back.
//!
//! * [`item`]: what a note can list: regions, models, services, teams, links, the policy.
//! * [`note`]: the note as written (raw) and as checked.
//! * [`configuration`]: the items in force at one revision.
//! * [`validation`]: what a configuration has to fulfil as a whole.
//!
//! A withdrawn model or service is *draining* at first: it takes no new request, while running
//! ones go on. It is removed at a later revision, when no instance runs a request for it.

pub mod configuration;
pub mod item;
pub mod note;
pub mod validation;

pub use configuration::{Configuration, TeamHome};
pub use item::{Item, ItemKey};
pub use note::{NoteError, RawNote, ReleaseNote};
