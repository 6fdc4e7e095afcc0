//! Release notes and the configuration that they produce.
//!
//! Operators configure the gateway with *release notes*. A note lists the items that it adds, changes and
//! withdraws relative to a base revision, and has a number that the operator assigns. An accepted note
//! turns the configuration of one [`Revision`](crate::ids::Revision) into that of the next. An accepted
//! revision is never undone.
//!
//! * [`item`]: the items that a note can list: regions, models, services, teams, links, the policy.
//! * [`note`]: release notes, as written by an operator and as checked.
//! * [`configuration`]: the items in effect at one revision.
//! * [`validation`]: rules that a configuration has to satisfy as a whole.
//!
//! A withdrawn model or service is *draining* at first: it accepts no new requests, while running ones
//! continue. It is removed at a later revision, when no instance runs a request for it any more.

pub mod configuration;
pub mod item;
pub mod note;
pub mod validation;

pub use configuration::{Configuration, TeamHome};
pub use item::{Item, ItemKey};
pub use note::{NoteError, RawNote, ReleaseNote};
