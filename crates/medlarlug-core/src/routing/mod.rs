//! Where a request is served.
//!
//! * [`residency`]: the hard filter on regions.
//! * [`request`]: the facts of a request and its one crossing between zones, as types.

pub mod request;
pub mod residency;

pub use request::{ForwardHeader, Forwarded, Origin, Prefix, RequestFacts};
pub use residency::{ConfigurationLease, Permit, ResidencyError};
