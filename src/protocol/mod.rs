//! Typed messages between processes, their codec, and the JSON of the HTTP interfaces.
//!
//! Processes exchange [`Message`]s in authenticated [`frame`]s: postcard content after a BLAKE3 hash
//! keyed with the [`DeploymentKey`]. HTTP requests between processes, and the announcements of
//! upstreams, carry such a message authentication code in a header.

pub mod deployment_key;
pub mod events;
pub mod explain;
pub mod frame;
pub mod headers;
pub mod inference;
pub mod message;
pub mod operators;
pub mod problem;

pub use deployment_key::{DeploymentKey, DeploymentKeys};
pub use message::{GroupId, GroupReply, GroupRequest, Message};
pub use problem::Problem;
