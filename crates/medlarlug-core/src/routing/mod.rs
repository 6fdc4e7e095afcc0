//! Decides where a request is served.
//!
//! A decision scores every permitted destination, an upstream or another zone, by its predicted
//! time to the first token and by the price of the link and of the prompt tokens to process. The
//! prediction starts from load reports, which lag. It adds what this instance has sent since the
//! report, subtracts what the prefix cache saves, and is multiplied by the ratio of the observed to
//! the predicted times. An upstream that reports itself idle but is slow thus loses its traffic.
//!
//! * [`residency`]: the hard filter on regions; a [`Permit`] proves that it was applied.
//! * [`request`]: the properties of a request, and the types that let it be forwarded only once.
//! * [`route`]: a decision, and its residency check right before the request is sent.
//! * [`router`]: the core that decides and keeps statistics.

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
pub use request::{CallerRequest, ForwardHeader, ForwardedRequest, Prefix, RequestFacts};
pub use residency::{ConfigurationLease, Permit, ResidencyError};
pub use route::{AuthorizedForward, AuthorizedRoute, Choice, Refusal, Route, ZoneRoute};
pub use router::{AttemptId, Event, Router, View};
