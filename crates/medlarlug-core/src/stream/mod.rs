//! Delivery of one streamed answer.
//!
//! A [`StreamTracker`] follows one request's answer from its upstream to the caller. The answer is
//! a sequence of bytes that consists of whole events, the last of which is the terminal one. The tracker
//! counts the delivered bytes, so that a lost or unresponsive connection can be replaced. It
//!
//! 1. resumes by offset on a new connection to the same upstream;
//! 2. otherwise continues after the delivered bytes on another upstream, if the engine allows it;
//! 3. otherwise restarts on another upstream, if nothing has been delivered yet;
//! 4. otherwise ends the answer with an explicit error event.
//!
//! An answer is complete only when its terminal event has been delivered; every other end is reported as an
//! error. Chunks that carry another request's id, or arrive on a replaced connection, are dropped
//! and counted.

mod tracker;

use std::time::Duration;

use crate::{ids::RequestId, refusal::Refusal};

pub use self::tracker::{StreamCounters, StreamTracker};

/// Number of a connection among those opened for one request, from 0.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionNumber(pub u32);

/// Time-outs of a stream, and the ways in which it may be recovered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamPolicy {
    /// Maximum wait for the first byte on a connection.
    pub start_timeout: Duration,
    /// Maximum wait between two chunks.
    pub chunk_timeout: Duration,
    /// Whether the upstream can resume a stream by offset.
    pub resumable: bool,
    /// Whether another upstream may continue after the delivered bytes.
    pub continuable: bool,
    /// Whether the request may run more than once; if not, it is never sent to another upstream.
    pub idempotent: bool,
    /// Consecutive connections without a delivered byte after which the answer fails.
    pub max_fruitless: u32,
}

impl Default for StreamPolicy {
    fn default() -> StreamPolicy {
        StreamPolicy {
            start_timeout: Duration::from_secs(10),
            chunk_timeout: Duration::from_secs(2),
            resumable: true,
            continuable: false,
            idempotent: true,
            max_fruitless: 4,
        }
    }
}

/// A piece of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Chunk {
    /// Request that the chunk belongs to, according to the upstream.
    pub request: RequestId,
    /// Number of bytes of the stream before the chunk.
    ///
    /// Counted from the start of the answer on a first or resumed connection, and from the point
    /// of continuation on a connection that continues elsewhere.
    pub offset: u64,
    /// Number of bytes in the chunk.
    pub length: u64,
    /// Whether the chunk ends with the terminal event.
    pub terminal: bool,
}

/// An input of [`StreamTracker::handle`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The request was sent on a connection.
    Opened {
        /// Connection whose time-out starts over, if it is the current one.
        connection: ConnectionNumber,
    },
    /// A chunk was received.
    Chunk {
        /// Connection on which it was received.
        connection: ConnectionNumber,
        /// Position and length of the received bytes, without the bytes themselves.
        chunk: Chunk,
    },
    /// A connection was reset or closed. A regular close without the terminal event counts as well.
    ConnectionLost {
        /// Connection that ended; ignored unless it is the current one.
        connection: ConnectionNumber,
    },
    /// The upstream does not know the stream, or can't resume it at the requested offset.
    ResumeRefused {
        /// Connection on which the stream was to be resumed.
        connection: ConnectionNumber,
    },
    /// No other connection may be opened, because the retry budget is used up or no other upstream
    /// is available.
    GivenUp(Refusal),
    /// Checks whether the current connection has timed out; sent at regular intervals.
    Tick,
    /// The caller closed its connection.
    CallerDisconnected,
}

/// An action that the embedding process has to carry out for a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Deliver bytes of the chunk that was just handled to the caller.
    Deliver {
        /// Bytes at the start of the chunk that the caller already has.
        skip: u64,
        /// Number of bytes to deliver after the skipped ones.
        length: u64,
    },
    /// Request the upstream's answer from `offset` on, over a new connection to the same upstream.
    Resume {
        /// Number of the new connection.
        connection: ConnectionNumber,
        /// Number of bytes of this upstream's answer that the caller has.
        offset: u64,
    },
    /// Request that another upstream continue after the bytes that the caller has.
    Continue {
        /// Number of the new connection.
        connection: ConnectionNumber,
        /// Number of bytes that the caller has.
        offset: u64,
    },
    /// Send the request to another upstream from the start; the caller has not received any byte.
    ///
    /// This is a new attempt, as is [`Effect::Continue`]: the embedding process consults
    /// [`crate::retry`] first, and sends [`Event::GivenUp`] if no retry is allowed.
    Restart {
        /// Number of the new connection.
        connection: ConnectionNumber,
    },
    /// Close a connection that is no longer used. This is no evidence of a failure of its upstream.
    Close {
        /// Replaced connection, or the current one if the caller has disconnected.
        connection: ConnectionNumber,
    },
    /// Request that the upstream of a connection cancel the work.
    CancelUpstream {
        /// Connection to that upstream, closed by an [`Effect::Close`] before.
        connection: ConnectionNumber,
    },
    /// End the answer with an explicit error event, or with a problem document if the caller has not
    /// received any byte.
    Fail(Refusal),
    /// The complete answer has been delivered.
    Complete,
}
