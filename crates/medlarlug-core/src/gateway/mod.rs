//! Decisions of a gateway in front of upstreams that announce themselves.
//!
//! Callers are anonymous here: a [`table::RouteTable`] says by host and path which service serves a
//! call and how often it may be tried. Operators replace the whole table under a version; keepers
//! agree on it and on evacuated availability zones through the [`publication`] state machine.
//!
//! Upstreams announce themselves to the keepers, which pass the news on to every entry instance.
//! [`upstreams`] orders that news by incarnation and sequence. An entry instance picks an upstream
//! by [`placement`] and by what others have under way there, which [`load_exchange`] spreads within a region
//! and [`peer_loads`] sums up. It sends no more than [`cold`] allows to one that has just started, repeats calls
//! within the [`retry_budget`] of their service, and avoids upstreams that [`health`] found broken.
//! Where an upstream names a limit for all instances ([`upstream_limits`]), these share it by [`permits`].
//! [`contacts`] keeps track of the instances of the system itself, and [`keeper_view`] tells whether one sees
//! enough of the others to act on its part of a common limit. [`stall_detector`] notices when a process was
//! stalled.

pub mod attempt_timeout;
pub mod availability;
pub mod cold;
pub mod contacts;
pub mod handover;
pub mod health;
pub mod keeper_view;
pub mod load_exchange;
pub mod load_shedding;
pub mod peer_loads;
pub mod permits;
pub mod placement;
pub mod prefill_queue;
pub mod publication;
pub mod remote_region;
pub mod retry_budget;
pub mod stall_detector;
pub mod stream_timeout;
pub mod table;
pub mod upstream_limits;
pub mod upstreams;
