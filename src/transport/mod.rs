//! Transport: HTTP towards callers, upstreams and operators; nng between processes.
//!
//! * [`links`]: one nng socket for each peer, and one that receives from all of them.
//! * [`http_server`]: bounded HTTP/1 servers on the one loop.
//! * [`http_client`]: HTTP/1 connections to upstreams and other instances.
//! * [`body`]: the bodies of requests and answers.

pub mod body;
pub mod http_client;
pub mod http_server;
pub mod links;
pub mod signals;

/// Counter: messages between processes that were dropped because the loop was behind.
pub const DROPPED_MESSAGES: &str = "medlarlug_link_dropped_messages_total";

/// Counter: frames that were not authenticated or were for another instance.
pub const REFUSED_FRAMES: &str = "medlarlug_link_refused_frames_total";

/// Counter: bytes of messages sent to other processes.
pub const SENT_BYTES: &str = "medlarlug_link_sent_bytes_total";

/// Counter: bytes of messages received from other processes.
pub const RECEIVED_BYTES: &str = "medlarlug_link_received_bytes_total";
