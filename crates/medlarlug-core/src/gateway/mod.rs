//! Decisions of a gateway in front of upstreams that announce themselves.
//!
//! A [`table::RouteTable`] maps host and path to the service that answers a call and says how often
//! the call may be tried. Callers are anonymous unless the table has [`teams`]; then
//! [`authentication`] decides by the key of a call which team it is served for. Operators replace the whole table under a version
//! number; keepers agree on the table and on evacuated availability zones through the
//! [`publication`] state machine. [`evacuation_orders`] tells late orders from current ones.
//!
//! Upstreams announce themselves to the keepers, which forward the announcements to every entry
//! instance. [`upstreams`] orders announcements by incarnation and sequence number. An entry
//! instance picks an upstream by [`placement`], using the in-flight load that the other instances of
//! its region report ([`load_exchange`], [`peer_loads`]). It limits requests to upstreams that have
//! just started ([`cold`]) and to those that ramp up after that ([`pace`]), retries calls within the [`retry_budget`] of their service, and avoids
//! upstreams that [`health`] found broken. Where an upstream limits the requests of all instances
//! together ([`upstream_limits`]), they share the limit through [`permits`]. The quotas of teams hold for
//! all instances together as well ([`quota`]). A stream goes on only at the
//! [`software_version`] that began it ([`stream_version`]); instances tell each other which one that was
//! ([`stream_bindings`]). [`contacts`] tracks the
//! instances of the system itself, and [`keeper_view`] tells whether an instance sees enough of the
//! others to act on its share of a common limit. [`connectivity`] detects that a network partition cuts
//! an instance off from all upstreams. [`stall_detector`] detects that a process was
//! stalled. [`table_fetch`] tells when a table has to be requested again, and [`table_lease`] for how long
//! the home regions of a table may be relied on. Where engines crash when their memory is exceeded,
//! [`engine_memory`] tells which have room for a call, and [`fair_share`] which team goes first.

pub mod attempt_timeout;
pub mod authentication;
pub mod availability;
pub mod brittle;
pub mod cold;
pub mod connectivity;
pub mod contacts;
pub mod engine_memory;
pub mod evacuation_orders;
pub mod fair_share;
pub mod handover;
pub mod health;
pub mod keeper_view;
pub mod load_exchange;
pub mod load_shedding;
pub mod pace;
pub mod peer_loads;
pub mod permits;
pub mod placement;
pub mod prefill_queue;
pub mod publication;
pub mod quota;
pub mod remote_region;
pub mod retry_budget;
pub mod software_version;
pub mod stall_detector;
pub mod stream_bindings;
pub mod stream_timeout;
pub mod stream_version;
pub mod table;
pub mod table_fetch;
pub mod table_lease;
pub mod teams;
pub mod upstream_limits;
pub mod upstreams;
