//! Orders to model engines: load, unload, change role.
//!
//! One instance of a region, the *issuer*, gives orders while it holds the lease of the region's
//! home group. Every order carries a [`FencingToken`]: the term of the lease and a sequence number.
//! Engines that check fences refuse an order that is older than one they have taken. Engines that
//! don't are protected by time: the holder stops early by its own clock, and a new issuer waits
//! for the longest flight of an order before it sends the first one.
//!
//! * [`order`]: orders and fences.
//! * [`issuer`]: the core that issues them.
//! * [`plan`]: what the engines shall be ordered to do.
//! * [`bucket`]: the rate limit of the weight store.

pub mod bucket;
pub mod issuer;
pub mod order;
pub mod plan;

pub use bucket::TokenBucket;
pub use issuer::{Effect, Event, Issuer, Timing};
pub use order::{FencingToken, Order, OrderKind, Role, Task};
pub use plan::Planner;
