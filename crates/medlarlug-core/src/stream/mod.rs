//! Delivery of one streamed answer.
//!
//! A [`StreamTracker`] follows one request's answer from its upstream to the caller. The answer is
//! a sequence of bytes in whole events; its last event is the terminal one. The tracker counts
//! what was delivered, so that a connection which went silent can be replaced:
//!
//! 1. resume by offset on a new connection to the same upstream;
//! 2. else continue on another upstream, from what was delivered, where the engine allows it;
//! 3. else start again elsewhere, if nothing was delivered yet;
//! 4. else end the answer with an explicit error event.
//!
//! An answer is complete only when the terminal event was delivered; nothing else ends it without
//! an error. Chunks that carry another request's id, or come on a replaced connection, are dropped
//! and counted.

mod tracker;

use std::time::Duration;

use crate::{ids::RequestId, refusal::Refusal};

pub use self::tracker::{StreamCounters, StreamTracker};

/// Numbers the connections that were opened for one request, from 0.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionNumber(pub u32);

/// What a stream may do, and how long it waits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamPolicy {
    /// Longest wait for the first byte on a connection.
    pub first_byte_timeout: Duration,
    /// Longest wait between two chunks.
    pub chunk_timeout: Duration,
    /// Whether the upstream resumes a stream by offset.
    pub resumable: bool,
    /// Whether another upstream may continue from what was delivered.
    pub continuable: bool,
    /// Whether the work may be repeated; if not, it is never sent to another upstream.
    pub idempotent: bool,
    /// Connections in a row that may bring nothing; then the answer has failed.
    pub max_fruitless_connections: u32,
}

impl Default for StreamPolicy {
    fn default() -> StreamPolicy {
        StreamPolicy {
            first_byte_timeout: Duration::from_secs(10),
            chunk_timeout: Duration::from_secs(2),
            resumable: true,
            continuable: false,
            idempotent: true,
            max_fruitless_connections: 4,
        }
    }
}

/// A piece of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Chunk {
    /// Request that it answers, as the upstream says.
    pub request: RequestId,
    /// Bytes of the stream that come before it.
    ///
    /// Counted from the start of the answer on a first or resumed connection, and from the point
    /// of continuation on a connection that continues elsewhere.
    pub offset: u64,
    /// Its bytes.
    pub length: u64,
    /// Whether it ends with the terminal event.
    pub terminal: bool,
}

/// What happens to a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The request was sent on a connection.
    Opened {
        /// The connection.
        connection: ConnectionNumber,
    },
    /// A chunk came.
    Chunk {
        /// Connection on which it came.
        connection: ConnectionNumber,
        /// The chunk.
        chunk: Chunk,
    },
    /// A connection was reset, or ended; an end without the terminal event is a loss too.
    ConnectionLost {
        /// The connection.
        connection: ConnectionNumber,
    },
    /// The upstream does not know the stream, or can't resume at the offset.
    ResumeRefused {
        /// Connection on which it was asked.
        connection: ConnectionNumber,
    },
    /// No other connection may be opened, because the retry budget is used up or no other upstream
    /// is there.
    GivenUp(Refusal),
    /// Time passes; the tracker looks for silence.
    Tick,
    /// The caller closed its connection.
    CallerDisconnected,
}

/// What the shell has to do for a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Pass bytes of the chunk just handled on to the caller.
    Deliver {
        /// Bytes at the chunk's start that the caller has already.
        skip: u64,
        /// Bytes that follow and are passed on.
        length: u64,
    },
    /// Ask the same upstream, on a new connection, for the bytes from `offset` of its answer on.
    Resume {
        /// Number of the new connection.
        connection: ConnectionNumber,
        /// Bytes of this upstream's answer that the caller has.
        offset: u64,
    },
    /// Ask another upstream to continue after the bytes that the caller has.
    Continue {
        /// Number of the new connection.
        connection: ConnectionNumber,
        /// Bytes that the caller has.
        offset: u64,
    },
    /// Send the request to another upstream from its start; the caller has no byte yet.
    ///
    /// It is a new attempt, as is [`Effect::Continue`]: the shell asks [`crate::retry`] first and
    /// reports [`Event::GivenUp`] if that gives up.
    Restart {
        /// Number of the new connection.
        connection: ConnectionNumber,
    },
    /// Close a connection that is not used any more; says nothing against its upstream.
    Close {
        /// The connection.
        connection: ConnectionNumber,
    },
    /// Tell the upstream of a connection to cancel the work.
    CancelUpstream {
        /// The connection.
        connection: ConnectionNumber,
    },
    /// End the answer with an explicit error event, or with a problem document if the caller has
    /// no byte yet.
    Fail(Refusal),
    /// The whole answer was delivered.
    Complete,
}
