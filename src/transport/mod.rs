//! Transport: HTTP towards callers, upstreams and operators; nng between processes.
//!
//! * [`links`]: one nng socket for each peer, and one that receives from all of them.
//! * [`http_server`]: HTTP/1 servers with limits on clients.
//! * [`http_client`]: pooled HTTP/1 connections to upstreams and other instances.
//! * [`answers`]: complete answers of upstreams, with bounds on all together.
//! * [`event_buffer`]: the incomplete events of streams, within the same bounds.
//! * [`body`]: the bodies of requests and answers.
//! * [`memory`]: what the servers of a process hold for their clients, within one budget.
//! * [`signals`]: graceful shutdown on SIGTERM and SIGINT.

pub mod answers;
pub mod body;
pub mod event_buffer;
pub mod http_client;
pub mod http_server;
pub mod links;
pub mod memory;
pub mod signals;

/// Counter: received messages that were dropped because the queue to the event loop was full.
pub const DROPPED_MESSAGES: &str = "medlarlug_link_dropped_messages_total";

/// Counter: received frames that were not authenticated or were for another instance.
pub const REFUSED_FRAMES: &str = "medlarlug_link_refused_frames_total";

/// Counter: bytes of frames queued for other processes.
pub const SENT_BYTES: &str = "medlarlug_link_sent_bytes_total";

/// Counter: bytes of frames received from other processes.
pub const RECEIVED_BYTES: &str = "medlarlug_link_received_bytes_total";
