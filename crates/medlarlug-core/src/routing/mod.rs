//! Where a request is served.
//!
//! A decision weighs every permitted place by its predicted time to the first token and by the
//! price of the link and of the work. The prediction starts from lagging reports; it adds what
//! this instance has sent since, takes off what the prefix cache saves, and is corrected by the
//! ratio of observed to predicted times, so that an upstream which reports itself idle but is
//! slow loses its traffic.
//!
//! * [`residency`]: the hard filter on regions; a [`Permit`] proves that it was applied.
//! * [`request`]: the facts of a request and its one crossing between zones, as types.
//! * [`route`]: a decision, and its life cycle up to the moment of leaving.
//! * [`router`]: the core that decides and learns.

mod affinity;
mod destination_stats;
pub mod dump;
mod local;
mod predict;
mod refusal;
mod remote;
pub mod request;
pub mod residency;
pub mod route;
pub mod router;
mod weights;

pub use dump::RouterDump;
pub use request::{ForwardHeader, Forwarded, Origin, Prefix, RequestFacts};
pub use residency::{ConfigurationLease, Permit, ResidencyError};
pub use route::{Choice, Crossing, Departure, Refusal, Route, ZoneRoute};
pub use router::{Event, Router, Ticket, View};
