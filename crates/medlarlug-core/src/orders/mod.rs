//! Orders to model engines: load, unload, change role.
//!
//! One instance of a region, the *issuer*, sends orders while it holds the lease of the region's
//! home group. Every order carries a [`FencingToken`]: the term of the lease and a sequence number.
//! Engines that check fencing tokens refuse an order that is older than one they have accepted.
//! Other engines are protected by time-outs: the holder stops before its lease ends by its own
//! clock, and a new issuer waits for the longest delivery time of an order before it sends the
//! first one.
//!
//! * [`order`]: orders and fencing tokens.
//! * [`issuer`]: the core that issues orders.
//! * [`plan`]: which orders the engines need.
//! * [`bucket`]: the rate limit of the weight store.

pub mod bucket;
pub mod issuer;
pub mod order;
pub mod plan;

pub use bucket::TokenBucket;
pub use issuer::{Effect, Event, Issuer, Timing};
pub use order::{Fence as FencingToken, Order, OrderKind, Role, Task};
pub use plan::Planner;
