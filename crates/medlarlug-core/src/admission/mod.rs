//! Admission: which waiting request starts next, and which is refused before it starts.
//!
//! One [`AdmissionQueue`] per instance and target holds the requests that wait for a free slot. A
//! request starts at once, waits, or is refused; once it waits, it starts or is refused by its
//! deadline. The order is start-time fair queueing: a request's *start tag* is the larger of the
//! queue's virtual time and its team's last finish tag, and its finish tag adds its cost, so that
//! teams that wait share the slots by cost, whatever each of them sends. A higher priority goes
//! first, but for every eighth start, which goes to the lowest tag of all.
//!
//! The queue is bounded by time: a request whose predicted start plus its own shortest service
//! time lies past its deadline, or whose predicted wait exceeds the bound, is refused at once,
//! with the time until the queue will have drained as the time to come back.

mod queue;

use std::time::Duration;

use crate::{
    ids::{RequestId, TeamId},
    refusal::Refusal,
    time::Time,
};

pub use self::queue::AdmissionQueue;

/// Bounds of the queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmissionPolicy {
    /// Longest predicted wait for a slot.
    pub max_wait: Duration,
    /// Service time of one unit of cost, until requests have been measured.
    pub initial_service_time: Duration,
    /// Seed of the jitter on the time to come back.
    pub seed: u64,
}

impl Default for AdmissionPolicy {
    fn default() -> AdmissionPolicy {
        AdmissionPolicy {
            max_wait: Duration::from_secs(5),
            initial_service_time: Duration::from_millis(500),
            seed: 1,
        }
    }
}

/// A request that asks to start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// The request.
    pub request: RequestId,
    /// Whose it is.
    pub team: TeamId,
    /// A higher one goes first.
    pub priority: u8,
    /// Moment by which its answer has to begin.
    pub deadline: Time,
    /// Shortest time from start to the first byte of the answer.
    pub min_time_to_first_byte: Duration,
    /// Work that it brings, in units of a mean request's thousandth; 1,000 is a mean request.
    pub cost: u32,
}

/// What happens to the queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A request came.
    Arrived(Arrival),
    /// This many requests may run at once from now on.
    Capacity(u32),
    /// A started request has ended and frees its slot.
    Finished {
        /// The request.
        request: RequestId,
    },
    /// Time passes.
    Tick,
    /// The caller closed its connection.
    CallerDisconnected {
        /// The request.
        request: RequestId,
    },
}

/// What the shell has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Route the request and send it.
    Start {
        /// The request.
        request: RequestId,
    },
    /// Give the caller its final answer now.
    Refuse {
        /// The request.
        request: RequestId,
        /// The answer.
        refusal: Refusal,
    },
}
