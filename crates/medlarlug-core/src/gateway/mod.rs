//! Decisions of a gateway in front of upstreams that announce themselves.
//!
//! Callers are anonymous: a [`table::RouteTable`] maps host and path to the service that answers a
//! call and says how often the call may be tried. Operators replace the whole table under a version
//! number; keepers agree on the table and on evacuated availability zones through the
//! [`publication`] state machine.
//!
//! Upstreams announce themselves to the keepers, which forward the announcements to every entry
//! instance. [`upstreams`] orders announcements by incarnation and sequence number. An entry
//! instance picks an upstream by [`placing`], using the in-flight load that the other instances of
//! its region report ([`load_exchange`], [`peer_loads`]). It limits requests to upstreams that have
//! just started ([`cold`]), retries calls within the [`budget`] of their service, and avoids
//! upstreams that [`health`] found broken. Where an upstream limits the requests of all instances
//! together ([`named_limits`]), they share the limit through [`allotment`]. [`contacts`] tracks the
//! instances of the system itself, and [`view`] tells whether an instance sees enough of the others
//! to act on its share of a common limit. [`stall`] detects that a process was stalled.

pub mod allotment;
pub mod availability;
pub mod away;
pub mod budget;
pub mod cold;
pub mod contacts;
pub mod handover;
pub mod health;
pub mod load_exchange;
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
