//! Typed messages between processes, their codec, and the JSON of the HTTP interfaces.
//!
//! Processes exchange [`Message`]s in authenticated [`frame`]s: postcard for the content and a
//! keyed BLAKE3 hash under the [`DeploymentKey`] around it. HTTP requests between processes, and
//! the announcements of upstreams, carry the same kind of code in a header.

pub mod deployment_key;
pub mod events;
pub mod frame;
pub mod headers;
pub mod inference;
pub mod message;
pub mod operators;
pub mod problem;

pub use deployment_key::{DeploymentKey, DeploymentKeys};
pub use message::{GroupId, GroupReply, GroupRequest, Message};
pub use problem::Problem;
