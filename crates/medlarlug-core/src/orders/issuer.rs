//! The core that issues orders under a lease.

use std::time::Duration;

use crate::{
    ids::{Term, UpstreamId},
    orders::order::{Fence, Order, Task},
    units::Rate,
};

/// Durations and limits of an [`Issuer`]; equal on all instances of a region.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Timing {
    /// Length of a lease, as asked for.
    pub lease: Duration,
    /// Time between two requests for the lease.
    pub renewal: Duration,
    /// Longest time between the sending of an order and its arrival at an engine.
    pub flight: Duration,
    /// Time after which an unanswered order is given up; at least `flight`.
    pub patience: Duration,
    /// Most that two clocks of the region can differ in speed: 0.01 is one part in a hundred.
    pub drift: f64,
    /// Loads a second that the region's weight store permits.
    pub loads: Rate,
    /// Loads that may be started at once after a pause.
    pub burst: u32,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            lease: Duration::from_secs(10),
            renewal: Duration::from_secs(3),
            flight: Duration::from_secs(5),
            patience: Duration::from_secs(30),
            drift: 0.01,
            loads: Rate::try_from(0.5).expect("above zero"),
            burst: 2,
        }
    }
}

/// An event for an [`Issuer`].
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The home group answered the request for a lease with this token.
    Granted {
        /// Token of [`Effect::Acquire`].
        token: u64,
        /// Term of the lease.
        term: Term,
        /// Its length, from when it was asked for.
        duration: Duration,
    },
    /// Another instance holds the lease.
    Held,
    /// A task to order, and whether its engine checks fencing numbers.
    Wanted {
        /// The task.
        task: Task,
        /// Whether the engine refuses an old fencing number.
        fencing: bool,
    },
    /// The engine answered an order.
    Answered {
        /// The engine.
        upstream: UpstreamId,
        /// Fencing number of the order.
        fence: Fence,
    },
    /// Time has passed.
    Tick,
}

/// What an [`Issuer`] wants to be done.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Ask the home group for the lease.
    Acquire {
        /// Names the request.
        token: u64,
        /// Length to ask for.
        duration: Duration,
    },
    /// Send an order at once; drop it when it can't leave within the flight time.
    Send(Order),
    /// An order was not answered in time; whether it was carried out is not known.
    GivenUp(Order),
}
