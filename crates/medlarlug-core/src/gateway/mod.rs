//! Decisions of a gateway in front of upstreams that announce themselves.
//!
//! Callers are anonymous here: a [`table::RouteTable`] says by host and path which service serves a
//! call and how often it may be tried. Operators replace the whole table under a version; keepers
//! agree on it and on evacuated availability zones through the [`publication`] state machine.
//!
//! Upstreams announce themselves to the keepers, which pass the news on to every entry instance.
//! [`upstreams`] orders that news by incarnation and sequence. An entry instance picks an upstream
//! by [`placing`] and by what others have under way there, which [`exchange`] spreads within a region
//! and [`peer_loads`] sums up. It sends no more than [`cold`] allows to one that has just started, repeats calls
//! within the [`budget`] of their service, and avoids upstreams that [`health`] found broken.
//! Where an upstream names a limit for all instances ([`named_limits`]), these share it by [`allotment`].
//! [`contacts`] keeps track of the instances of the system itself, and [`view`] tells whether one sees
//! enough of the others to act on its part of a common limit. [`stall`] notices when a process was
//! stalled.

pub mod allotment;
pub mod availability;
pub mod away;
pub mod budget;
pub mod cold;
pub mod contacts;
pub mod exchange;
pub mod handover;
pub mod health;
pub mod named_limits;
pub mod patience;
pub mod peer_loads;
pub mod placing;
pub mod publication;
pub mod refusing;
pub mod silence;
pub mod stall;
pub mod table;
pub mod turns;
pub mod upstreams;
pub mod view;
