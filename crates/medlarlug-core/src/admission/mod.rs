//! Admission: which waiting request starts next, and which is refused before it starts.
//!
//! One [`AdmissionQueue`] per instance and target holds the requests that wait for a free slot. A
//! request starts at once, waits, or is refused; a waiting request starts or is refused by its
//! deadline. The order is start-time fair queueing: a request's *start tag* is the larger of the
//! queue's virtual time and its team's last finish tag, and its finish tag adds its cost, so that
//! waiting teams share the slots by cost, however many requests each of them sends. A higher priority
//! goes first, except for every eighth start, which goes to the lowest tag regardless of priority.
//!
//! The queue is bounded by time: a request whose predicted start plus its own minimum time to the first
//! byte lies past its deadline, or whose predicted wait exceeds the bound, is refused at once,
//! with the predicted time until the queue has drained as its retry delay.

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
    /// Maximum predicted wait for a slot; a request with a longer one is refused.
    pub max_wait: Duration,
    /// Initial estimate of the service time of a request of mean cost; measurements then adjust it.
    pub initial_service: Duration,
    /// Seed of the jitter on the retry delay of refusals.
    pub seed: u64,
}

impl Default for AdmissionPolicy {
    fn default() -> AdmissionPolicy {
        AdmissionPolicy {
            max_wait: Duration::from_secs(5),
            initial_service: Duration::from_millis(500),
            seed: 1,
        }
    }
}

/// A request to be admitted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// Id that all events and effects of this request carry.
    pub request: RequestId,
    /// Team that sent the request; teams share the slots by cost.
    pub team: TeamId,
    /// Requests with a higher value start first.
    pub priority: u8,
    /// Time by which the answer has to begin.
    pub deadline: Time,
    /// Minimum time from the start of the request to the first byte of its answer.
    pub min_latency: Duration,
    /// Amount of work, in thousandths of a mean request: a mean request costs 1,000.
    pub cost: u32,
}

/// An input of [`AdmissionQueue::handle`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A new request, to be started, queued or refused.
    Arrived(Arrival),
    /// From now on, at most this many requests may run at once.
    Capacity(u32),
    /// A started request has ended and releases its slot.
    Finished {
        /// Request that ended; ignored if it is not running.
        request: RequestId,
    },
    /// Refuses requests that can no longer start in time; sent at regular intervals.
    Tick,
    /// The caller of a waiting or running request closed its connection.
    CallerDisconnected {
        /// Request to forget; its slot is released if it was running.
        request: RequestId,
    },
}

/// An action that the embedding process has to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Route the request and send it to an upstream.
    Start {
        /// Request that occupies a slot from now on, until [`Event::Finished`].
        request: RequestId,
    },
    /// Refuse the request to the caller.
    Refuse {
        /// Request that leaves the queue without having started.
        request: RequestId,
        /// The answer.
        refusal: Refusal,
    },
}
